package balance

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet, or whose attempts have not all ended.
type request struct {
	id            string
	class         *classState
	group         *replicaGroup
	sessionKey    int64 // 0 = no session
	minPosition   Time  // the replication position that a session read or a read of the latest data requires
	arrivedAt     Time
	objectiveAt   Time // end of the latency objective: an answer by then has full weight
	deadline      Time // the client times out then; never once a response streams
	usefulUntil   Time // see lastUsefulSend
	weight        float64
	rank          float64 // priority among the pending requests of its group
	attempts      []*attempt
	priorAttempts int         // attempts before the request was submitted again
	missedBy      []*endpoint // endpoints that answered with a miss
	inFlight      int         // number of attempts in flight
	answered      bool        // has its final answer, or the client has disconnected
	abandoned     bool        // gets its final answer at the end of the step, without another attempt
	reached       bool        // an attempt has reached an endpoint
	mayHaveRun    bool        // an attempt may have run, or may still be running
	firstRunAt    Time        // when the first attempt that may have run was sent
	firstRunZone  string      // zone of the endpoint of that attempt
}

// attempt is one send of a request.
type attempt struct {
	request        *request
	endpoint       *endpoint
	sentAt         Time
	number         int // from 0
	ended          bool
	cancelled      bool
	connectionLost bool // its connection is silent, though the endpoint answers other attempts
	streaming      bool // its response is being streamed to the client
}

// attemptsUsed returns how many attempts the request has used.
func (q *request) attemptsUsed() int { return len(q.attempts) + q.priorAttempts }

// wasMissedBy reports whether the endpoint has answered the request with a miss.
func (q *request) wasMissedBy(endpoint *endpoint) bool { return slices.Contains(q.missedBy, endpoint) }

// halfTime returns the last time at which rejecting an unsent request costs nothing, a tick before half of the client
// timeout. While an unsent request is pending, its client can't retry it with the next primary or elsewhere.
func (q *request) halfTime() Time {
	return q.arrivedAt + (q.deadline-q.arrivedAt)/2 - tickInterval
}

// lastAnswer returns the last time at which an answer still reaches the client.
func (q *request) lastAnswer() Time { return q.deadline - 2*tickInterval }

// openAttempt returns the attempt with the given number, or nil if there is none or it has ended.
func (q *request) openAttempt(number int) *attempt {
	if number < 0 || number >= len(q.attempts) {
		return nil
	}
	attempt := q.attempts[number]
	if attempt.ended {
		return nil
	}
	return attempt
}

// setObjective sets the end of the latency objective of a new request. The objective of a client's retry counts from
// the client's first try, since an answer after it would be late. Where retries are marked, the timeout of a retry is
// shorter than the longest timeout of its class only if it was cut to the time that the client has left, so the
// difference to the client timeout has already passed.
func (q *request) setObjective(event Request, now Time) {
	class := q.class
	elapsed := time.Duration(0)
	if event.Retry && event.TimeLeft < class.longestTimeout-time.Millisecond {
		elapsed = max(0, class.ClientTimeout-event.TimeLeft)
	}
	stretch := time.Duration(class.ObjectiveStretch * float64(event.EstimatedWork))
	q.objectiveAt = min(q.deadline, now+class.LatencyObjective-elapsed+stretch)
}

// handleRequest queues a new request. A request whose class is not configured fails. Once any endpoint is known, a
// request whose group has none is rejected: clients can name arbitrary groups, and the balancer would have to keep and
// check each of them.
func (b *Balancer) handleRequest(event Request) {
	class := b.classes[event.Class]
	if class == nil {
		b.emit(Fail{ID: event.ID})
		return
	}
	if b.requests[event.ID] != nil {
		return
	}
	if b.groups[event.Group] == nil && len(b.endpoints) > 0 {
		b.emit(Reject{ID: event.ID, RetryAfter: b.retryAfter(class), Reason: RejectNoGroup})
		return
	}
	group := b.groupFor(event.Group)
	class.longestTimeout = max(class.longestTimeout, event.TimeLeft)
	request := &request{
		id:            event.ID,
		class:         class,
		group:         group,
		sessionKey:    event.SessionID,
		minPosition:   b.minPosition(class, event),
		arrivedAt:     b.now,
		deadline:      b.now + event.TimeLeft,
		weight:        b.priorityWeight(class, event.Tenant),
		priorAttempts: event.PriorAttempts,
	}
	request.setObjective(event, b.now)
	group.lastRequestAt = b.now
	class.arrivals++
	if event.PriorAttempts == 0 { // a request that is submitted again has already earned its share
		b.healthChecks.earn()
		b.retries.earn()
	}
	b.requests[request.id] = request
	group.pending = append(group.pending, request)
}

// minPosition returns the replication position that a new request requires, whenever it is sent.
func (b *Balancer) minPosition(class *classState, event Request) Time {
	switch {
	case class.Consistency == ConsistencyLatest:
		return b.now
	case class.Consistency != ConsistencySession:
		return 0
	case !b.config.ClientSessionTokens && event.SessionID == 0:
		return 0
	case !b.config.ClientSessionTokens:
		return b.sessionCommits.requiredNow(sessionInGroup{event.SessionID, event.Group}, b.now)
	case event.SinceSessionWrite > 0:
		return b.now - event.SinceSessionWrite + commitRounding
	}
	return 0
}

// handleDisconnect closes the request of a client that has disconnected.
func (b *Balancer) handleDisconnect(event ClientDisconnected) {
	if request := b.requests[event.ID]; request != nil {
		b.closeRequest(request)
	}
}

// handleFirstByte records that a response has begun to stream. It ignores events of unknown or ended attempts.
func (b *Balancer) handleFirstByte(event FirstByte) {
	request := b.requests[event.ID]
	if request == nil || request.inFlight == 0 {
		return
	}
	if event.Attempt != len(request.attempts)-1 {
		return
	}
	request.deadline = never
	attempt := request.attempts[event.Attempt]
	if attempt.startStreaming(b.now) {
		b.recordSuccess(request, attempt.endpoint, b.now-attempt.sentAt)
	}
}

// startStreaming records that the response is being streamed and reports whether it was not before. The attempt no
// longer counts as in flight: the time that the client takes to read the rest is not a sign of the endpoint's load or
// health, and a streaming response must not be cancelled.
func (a *attempt) startStreaming(now Time) bool {
	if a.streaming {
		return false
	}
	a.streaming = true
	a.endpoint.health.lastAnswerAt = now
	a.endpoint.removeInFlight(a)
	return true
}

// removeInFlight removes an attempt from the attempts in flight.
func (e *endpoint) removeInFlight(ended *attempt) {
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == ended })
}

// closeRequest marks the request as answered, and deletes it once its attempts have ended.
func (b *Balancer) closeRequest(request *request) {
	request.answered = true
	if request.inFlight == 0 {
		delete(b.requests, request.id)
	}
}
