package balance

// tokenBucket limits the requests of a tenant to this instance's share of the tenant's quota.
type tokenBucket struct {
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	refilledAt Time
}

// newTokenBucket returns a full bucket. The burst is the tokens of one second, but at least a few requests: at a rate
// under one token per second the tokens of one second would never cover a request.
func newTokenBucket(rate float64) *tokenBucket {
	burst := max(rate, creditBurst)
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take takes a token for one request and reports whether the request is within the quota.
func (t *tokenBucket) take(now Time) bool {
	t.tokens = min(t.burst, t.tokens+t.rate*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// priorityWeight returns the weight of a request of the class and the tenant. It is lower for requests over the
// tenant's quota.
func (b *Balancer) priorityWeight(class *classState, tenant string) float64 {
	quota := b.quotas[tenant]
	if quota == nil || quota.take(b.now) {
		return class.PriorityWeight
	}
	return class.PriorityWeight * b.config.OverQuotaWeight
}
