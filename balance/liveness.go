package balance

import "time"

// lostConnectionFactor is the multiple of its silence timeout after which an unanswered attempt counts as lost with its
// connection, if the endpoint has answered later attempts.
const lostConnectionFactor = 2

const (
	// silenceFactor is the multiple of the mean latency that the slowest of many attempts may take: it allows for the
	// spread of latency.
	silenceFactor = 1.5
	// fewAttemptsFactor, divided by the number of attempts in flight, is added to silenceFactor: the more attempts are
	// in flight, the sooner one of them should be answered.
	fewAttemptsFactor = 5
)

// silenceTimeout returns how long an endpoint with these attempts in flight may leave all of them unanswered before it
// becomes suspect. It depends on the slowest class among them and on the endpoint's latency, so that neither a long
// request nor a queue at the endpoint counts as silence.
func silenceTimeout(inFlight ...*attempt) time.Duration {
	latency := 0.0
	for _, attempt := range inFlight {
		class := attempt.request.class
		latency = max(latency, class.latency, attempt.endpoint.limit.latencyRatio*class.LatencyObjective.Seconds())
	}
	return max(pauseThreshold, secondsToDuration(latency*(silenceFactor+fewAttemptsFactor/float64(len(inFlight)))))
}

// checkProgress marks endpoints that make no progress as suspect, and cancels their attempts that can safely be
// repeated elsewhere. Once a second it also measures the throughput.
func (b *Balancer) checkProgress() {
	stillBusy := b.busyEndpoints[:0]
	for _, endpoint := range b.busyEndpoints {
		if len(endpoint.inFlight) == 0 {
			continue
		}
		stillBusy = append(stillBusy, endpoint)
		timeout := b.checkSilence(endpoint)
		for _, attempt := range endpoint.inFlight {
			b.rejectCancelled(attempt)
			b.cancelSilent(attempt, timeout)
		}
	}
	clear(b.busyEndpoints[len(stillBusy):])
	b.busyEndpoints = stillBusy
	if b.now-b.throughput.measuredAt >= time.Second {
		b.measureThroughput()
	}
}

// checkSilence marks the endpoint suspect if it has answered no attempt for its silence timeout, and returns the
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

// liveAttempts returns the attempts in flight whose connections are not lost. If a connection is silent while the
// endpoint answers attempts that were sent later, its attempt is marked as lost: it would make a busy endpoint look
// down. The result is valid until the next call.
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

// runningSince returns the time since which the attempt has been in flight without a pause of this instance.
func (b *Balancer) runningSince(attempt *attempt) Time {
	return max(attempt.sentAt, b.wake.runningSince)
}

// rejectCancelled rejects the request of a cancelled attempt before its client times out, since the result of the
// attempt may arrive later than that.
func (b *Balancer) rejectCancelled(attempt *attempt) {
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

// cancelSilent cancels an attempt that was not answered within the timeout or whose connection is lost, if its request
// can be repeated elsewhere.
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

// mayCancel reports whether the attempt is at a suspect endpoint or on a lost connection, and can be cancelled and
// repeated elsewhere.
func (b *Balancer) mayCancel(attempt *attempt) bool {
	silent := attempt.endpoint.health.suspect || attempt.connectionLost
	if !silent || attempt.request.answered {
		return false
	}
	repeatable := attempt.request.class.Idempotency == Idempotent && b.retries.covers(1)
	return repeatable && b.config.Cancellation
}
