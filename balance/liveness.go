package balance

import "time"

// lostConnectionFactor is after how many times its silence timeout an attempt counts as lost on a silent connection,
// if the endpoint has answered later ones.
const lostConnectionFactor = 2

const (
	// silenceFactor is how many times its mean latency the slowest of many attempts may take: the spread of latency.
	silenceFactor = 1.5
	// fewAttemptsFactor is added for a single attempt, and its n-th part for each of n: the more are in flight, the
	// sooner one of them should be answered.
	fewAttemptsFactor = 5
)

// silenceTimeout is how long an endpoint with these attempts in flight may answer nothing before it is suspect. It
// goes by the slowest class among them and by how slow the endpoint is: neither a long request nor a queue is
// silence.
func silenceTimeout(inFlight ...*attempt) time.Duration {
	latency := 0.0
	for _, attempt := range inFlight {
		class := attempt.request.class
		latency = max(latency, class.latency, attempt.endpoint.limit.latencyRatio*class.LatencyObjective.Seconds())
	}
	return max(pauseThreshold, secondsToDuration(latency*(silenceFactor+fewAttemptsFactor/float64(len(inFlight)))))
}

// checkProgress looks for endpoints that make no progress, and cancels attempts that can safely be repeated
// elsewhere.
func (b *Balancer) checkProgress() {
	stillBusy := b.busyEndpoints[:0]
	for _, endpoint := range b.busyEndpoints {
		if len(endpoint.inFlight) == 0 {
			continue
		}
		stillBusy = append(stillBusy, endpoint)
		timeout := b.checkSilence(endpoint)
		for _, attempt := range endpoint.inFlight {
			b.answerCancelled(attempt)
			b.cancelSilent(attempt, timeout)
		}
	}
	clear(b.busyEndpoints[len(stillBusy):])
	b.busyEndpoints = stillBusy
	if b.now-b.throughput.measuredAt >= time.Second {
		b.measureThroughput()
	}
}

// checkSilence marks the endpoint suspect if it has answered nothing for its silence timeout, and returns that
// timeout.
func (b *Balancer) checkSilence(endpoint *endpoint) time.Duration {
	live := b.liveAttempts(endpoint)
	if len(live) == 0 {
		return silenceTimeout(endpoint.inFlight...)
	}
	timeout := silenceTimeout(live...)
	at := max(endpoint.health.lastAnswerAt, live[0].sentAt, b.wake.runningSince) + timeout
	if b.now > at {
		b.markSuspect(endpoint, "answers nothing")
	} else {
		b.wake.dueAt(at + 1)
	}
	return timeout
}

// liveAttempts are the attempts in flight whose answers still say something of the endpoint. An attempt whose
// connection has fallen silent, while the endpoint answers what was sent later, would make a busy endpoint look dead:
// it counts as lost. The result is valid until the next call.
func (b *Balancer) liveAttempts(endpoint *endpoint) []*attempt {
	live := b.liveScratch[:0]
	for _, attempt := range endpoint.inFlight {
		if attempt.connectionLost {
			continue
		}
		lostAt := b.runningSince(attempt) + lostConnectionFactor*silenceTimeout(attempt)
		if endpoint.health.lastAnswerAt > attempt.sentAt && b.now > lostAt {
			attempt.connectionLost = true
			continue
		}
		b.wake.dueAt(lostAt + 1)
		live = append(live, attempt)
	}
	b.liveScratch = live
	return live
}

// runningSince is since when an attempt has been in flight without a pause of this instance.
func (b *Balancer) runningSince(attempt *attempt) Time {
	return max(attempt.sentAt, b.wake.runningSince)
}

// answerCancelled rejects the request of a cancelled attempt before its client leaves: the end of the attempt may
// come after that.
func (b *Balancer) answerCancelled(attempt *attempt) {
	request := attempt.request
	if !attempt.cancelled || request.answered {
		return
	}
	answerBy := request.lastAnswer()
	b.wake.dueAt(answerBy)
	if b.now >= answerBy {
		b.giveUp(request)
	}
}

// cancelSilent cancels an attempt that is not answered for the timeout, if its request can be repeated elsewhere.
func (b *Balancer) cancelSilent(attempt *attempt, timeout time.Duration) {
	if attempt.cancelled || !b.mayCancel(attempt) {
		return
	}
	at := b.runningSince(attempt) + timeout
	if b.now <= at && !attempt.connectionLost {
		b.wake.dueAt(at + 1)
		return
	}
	attempt.cancelled = true
	b.emit(Cancel{ID: attempt.request.id, Attempt: attempt.number})
}

// mayCancel says whether an attempt at a silent endpoint, or on a silent connection, can be cancelled and repeated.
func (b *Balancer) mayCancel(attempt *attempt) bool {
	silent := attempt.endpoint.health.suspect || attempt.connectionLost
	if !silent || attempt.request.answered {
		return false
	}
	repeatable := attempt.request.class.Idempotency == Idempotent && b.retries.covers(1)
	return repeatable && b.config.Cancellation
}
