package balance

// tokenBucket counts the requests of a tenant against this instance's share of the tenant's quota.
type tokenBucket struct {
	rate       float64 // tokens a second
	burst      float64
	tokens     float64
	refilledAt Time
}

// newTokenBucket returns a full bucket. Where the rate is under one a second, a second's worth never makes one
// request, so the burst is a few requests at least.
func newTokenBucket(rate float64) *tokenBucket {
	burst := max(rate, creditBurst)
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take counts one request and says whether it is within the quota.
func (t *tokenBucket) take(now Time) bool {
	t.tokens = min(t.burst, t.tokens+t.rate*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// priorityWeight is the weight of a request of the class and the tenant: less for requests beyond the tenant's quota.
func (b *Balancer) priorityWeight(class *classState, tenant string) float64 {
	quota := b.quotas[tenant]
	if quota == nil || quota.take(b.now) {
		return class.PriorityWeight
	}
	return class.PriorityWeight * b.config.OverQuotaWeight
}
