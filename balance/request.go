package balance

import (
	"slices"
	"time"
)

// request is a request that is owed an answer, or whose attempts have not all ended.
type request struct {
	id            string
	class         *classState
	group         *replicaGroup
	sessionKey    int64 // 0 = none
	minPosition   Time  // the replication position that a session read or a read of the latest data has to see
	arrivedAt     Time
	objectiveAt   Time // an answer by then has full weight
	deadline      Time // the client disconnects then; never once a response streams
	usefulUntil   Time // see lastUsefulSend
	weight        float64
	rank          float64 // priority among the pending requests of its group
	attempts      []*attempt
	priorAttempts int         // before it was handed in again
	missedBy      []*endpoint // those that sent it back as a miss
	inFlight      int         // attempts
	answered      bool        // or the client has disconnected
	abandoned     bool        // it is to be answered at the end of the step
	reached       bool        // an attempt has reached an endpoint
	mayHaveRun    bool        // or may be running
	firstRunAt    Time        // when the first attempt that may have run was sent
	firstRunZone  string
}

// attempt is one send of a request.
type attempt struct {
	request        *request
	endpoint       *endpoint
	sentAt         Time
	number         int // from 0
	ended          bool
	cancelled      bool
	connectionLost bool // its connection is silent, the endpoint is not
	streaming      bool // its response is passed on as it comes
}

// attemptsUsed is how many attempts a request has used.
func (q *request) attemptsUsed() int { return len(q.attempts) + q.priorAttempts }

// wasMissedBy says that the endpoint has sent the request back as a miss.
func (q *request) wasMissedBy(endpoint *endpoint) bool { return slices.Contains(q.missedBy, endpoint) }

// halfTime is the last moment in which rejecting what was never sent costs nothing: half of the client's time. What
// is pending and never sent keeps its client from asking again, of the next primary or elsewhere.
func (q *request) halfTime() Time {
	return q.arrivedAt + (q.deadline-q.arrivedAt)/2 - tickInterval
}

// lastAnswer is the last moment in which an answer still reaches the client.
func (q *request) lastAnswer() Time { return q.deadline - 2*tickInterval }

// openAttempt returns the attempt with the number if it has not ended, else nil.
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

// setObjective derives the objective of a new request from its class. Work for a client that retries is lost once its
// objective has passed. Where retries are marked, a timeout below the longest one was cut by the end of all its
// attempts, so the rest of that time has already passed.
func (q *request) setObjective(event Request, now Time) {
	class := q.class
	elapsed := time.Duration(0)
	if event.Retry && event.TimeLeft < class.longestTimeout-time.Millisecond {
		elapsed = max(0, class.ClientTimeout-event.TimeLeft)
	}
	stretch := time.Duration(class.ObjectiveStretch * float64(event.EstimatedWork))
	q.objectiveAt = min(q.deadline, now+class.LatencyObjective-elapsed+stretch)
}

// handleRequest queues a new request. One whose class is not configured fails, and one whose group has no endpoint is
// rejected: a client may make up any group, and each would be kept and looked at for ever.
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
	if event.PriorAttempts == 0 { // one that is handed in again has earned its part
		b.healthChecks.earn()
		b.retries.earn()
	}
	b.requests[request.id] = request
	group.pending = append(group.pending, request)
}

// minPosition is the replication position that a new request has to see, whenever it is sent.
func (b *Balancer) minPosition(class *classState, event Request) Time {
	switch {
	case class.Consistency == ConsistencyLatest:
		return b.now
	case class.Consistency != ConsistencySession:
		return 0
	case !b.config.ClientSessionTokens:
		return b.sessionCommits[event.SessionID].position
	case event.SinceSessionWrite > 0:
		return b.now - event.SinceSessionWrite + commitRounding
	}
	return 0
}

// handleDisconnect notes that a client has disconnected.
func (b *Balancer) handleDisconnect(event ClientDisconnected) {
	if request := b.requests[event.ID]; request != nil {
		b.closeRequest(request)
	}
}

// handleFirstByte notes that a response has begun to stream. An event that names no attempt, or one that has ended,
// says nothing of this response.
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

// startStreaming notes that a response is passed on as it comes, and says whether that is news. How long the client's
// side takes over the rest is no sign of the endpoint's load or health, and what it still gives must not be
// cancelled: the attempt does not count among those in flight any more.
func (a *attempt) startStreaming(now Time) bool {
	if a.streaming {
		return false
	}
	a.streaming = true
	a.endpoint.health.lastAnswerAt = now
	a.endpoint.removeInFlight(a)
	return true
}

// removeInFlight takes an attempt out of those in flight.
func (e *endpoint) removeInFlight(ended *attempt) {
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == ended })
}

// closeRequest notes that nothing is owed for the request any more, and drops it once its attempts have ended.
func (b *Balancer) closeRequest(request *request) {
	request.answered = true
	if request.inFlight == 0 {
		delete(b.requests, request.id)
	}
}
