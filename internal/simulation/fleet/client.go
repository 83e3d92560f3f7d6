package fleet

import (
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/router"
	"limeladder/internal/simulation/model"
)

// request is one request of a client with all its retries. It implements router.Client.
type request struct {
	fleet          *Fleet
	id             int
	class          *Class
	group          int64
	session        *session
	work           time.Duration
	arrivedAt      time.Duration
	deadline       time.Duration // the end of its client timeout
	minPosition    time.Duration // the replication position that it has to see, as known to its client when it was sent
	sends          int
	router         *instance // the router that received it last; nil while it is on its way
	incarnation    int       // of router
	routerID       string    // the router's id of the request
	ended          bool
	disconnected   bool          // its client has disconnected or timed out
	copiesInFlight int           // copies at endpoints
	executions     int           // by endpoints
	responses      int           // final responses since the client sent it last
	openAttempts   int           // open attempts of its router since the client sent it last, whatever its class
	statementsSent int           // statements written by its router since the client sent it last
	position       time.Duration // the replication position in its response
}

// startRequest draws the next request and sends it to a router.
func (f *Fleet) startRequest() {
	f.lastRequestID++
	drawn, sum := f.clientRNG.Float64(), 0.0
	for _, k := range f.cfg.Classes {
		sum += k.Share
	}
	drawn *= sum
	k := &f.cfg.Classes[len(f.cfg.Classes)-1]
	for i := range f.cfg.Classes {
		if drawn < f.cfg.Classes[i].Share {
			k = &f.cfg.Classes[i]
			break
		}
		drawn -= f.cfg.Classes[i].Share
	}
	q := &request{
		fleet: f, id: f.lastRequestID, class: k, session: &f.sessions[f.clientRNG.IntN(len(f.sessions))],
		work: max(time.Microsecond, k.Work.Draw(f.clientRNG)), arrivedAt: f.clock.Now(),
	}
	q.group = int64(q.session.group + 1)
	q.deadline = q.arrivedAt + k.ClientTimeout
	f.inFlight++
	f.observer.requestArrived(q)
	if f.cfg.Leave > 0 && f.clientRNG.Float64() < f.cfg.Leave {
		f.clock.After(time.Duration(f.clientRNG.Float64()*float64(k.ClientTimeout)/2), q.disconnect)
	}
	f.clock.At(q.deadline, q.timeOut)
	q.send()
}

// send sends the request to its session's router if that runs, otherwise to a random one.
func (q *request) send() {
	f := q.fleet
	r := f.routers[f.clientRNG.IntN(len(f.routers))]
	if homeRouter := q.session.homeRouter; homeRouter >= 0 && f.routers[homeRouter].alive {
		r = f.routers[homeRouter]
	}
	for range 8 {
		if r.alive {
			break
		}
		r = f.routers[f.clientRNG.IntN(len(f.routers))]
	}
	q.sends++
	q.responses, q.statementsSent, q.openAttempts, q.router = 0, 0, 0, nil
	delay := f.addJitter(f.cfg.Client)
	f.clock.After(delay, func() {
		now := f.clock.Now()
		if q.ended || q.disconnected {
			return
		}
		if !r.alive {
			q.retry(0)
			return
		}
		q.router, q.incarnation = r, r.incarnation
		switch q.minPosition = 0; q.class.Consistency {
		case balance.ConsistencySession:
			q.minPosition = q.session.lastWritePosition
		case balance.ConsistencyLatest:
			q.minPosition = now
		}
		x := router.Request{
			ClientRequestID: fmt.Sprint("q", q.id, ".", q.sends), Class: q.class.Name, Group: q.group,
			Session:       fmt.Sprint("s", q.id%len(f.sessions)),
			ClientTimeout: q.deadline - now - f.cfg.Client, ReceivedAt: now, Retry: q.sends > 1, Job: q,
		}
		if q.class.Consistency == balance.ConsistencySession {
			x.MinPosition = q.minPosition
		}
		id, err := r.core.Accept(x, q)
		if err != nil {
			q.retry(0)
			return
		}
		q.routerID = id
		r.run()
	})
}

// recordResponse counts a final response. It reports false, and a violation, if the client has had one since it sent
// the request last.
func (q *request) recordResponse() bool {
	if q.responses++; q.responses > 1 {
		q.fleet.observer.reportViolation("answered", "request %d has %d answers", q.id, q.responses)
		return false
	}
	return true
}

// Served implements router.Client.
func (q *request) Served(a router.Response) {
	if !q.recordResponse() {
		return
	}
	q.position = a.(time.Duration)
	q.fleet.clock.After(q.fleet.addJitter(q.fleet.cfg.Client), func() {
		if q.class.Consistency == balance.ConsistencyWrite {
			q.session.lastWritePosition = max(q.session.lastWritePosition, q.position)
		}
		q.finish(served)
	})
}

// Rejected implements router.Client.
func (q *request) Rejected(after time.Duration) {
	if q.recordResponse() {
		q.fleet.observer.requestRejected(q)
		q.fleet.clock.After(q.fleet.addJitter(q.fleet.cfg.Client), func() { q.retry(after) })
	}
}

// Failed implements router.Client.
func (q *request) Failed(string) {
	if q.recordResponse() {
		q.fleet.clock.After(q.fleet.addJitter(q.fleet.cfg.Client), func() {
			if q.class.Idempotency == balance.Idempotent {
				q.retry(0)
			} else {
				q.finish(failed)
			}
		})
	}
}

// Disconnected implements router.Client. The model knows a disconnect at once.
func (q *request) Disconnected(bool) bool { return q.disconnected }

// HasRoomFor implements router.Client.
func (q *request) HasRoomFor(router.Response) bool { return true }

// WithholdsResponse implements router.Client.
func (q *request) WithholdsResponse() bool { return false }

// ResponseStarted implements router.Client. It does nothing, because responses of the model have one part.
func (q *request) ResponseStarted(router.Response, router.FlowController) {}
func (q *request) ResponsePart([]byte)                                    {}
func (q *request) ResponseTruncated()                                     { q.Failed("cut") }

// retry retries the request after a pause, unless its retries or its time are used up.
func (q *request) retry(after time.Duration) {
	f := q.fleet
	if q.ended || q.disconnected {
		return
	}
	wait := f.cfg.Backoff
	if f.clientRNG.Float64() < f.cfg.Honour {
		wait = max(wait, after)
	}
	if q.sends > f.cfg.Retries || f.clock.Now()+wait >= q.deadline {
		q.finish(rejected)
		return
	}
	f.clock.After(wait, func() {
		if !q.ended && !q.disconnected {
			q.send()
		}
	})
}

func (q *request) disconnect() {
	if q.ended {
		return
	}
	q.disconnected = true
	if q.router != nil && q.router.alive && q.router.incarnation == q.incarnation && q.responses == 0 {
		q.router.core.Disconnect(q.routerID)
		q.router.run()
	}
	q.finish(disconnected)
}

// timeOut ends the request at its client timeout. A router that has not answered by then violates a rule.
func (q *request) timeOut() {
	if q.ended {
		return
	}
	if q.router != nil && q.router.alive && q.router.incarnation == q.incarnation && q.responses == 0 {
		q.fleet.observer.reportViolation("late", "request %d of %s was not answered in time by %v",
			q.id, q.class.Name, q.router)
	}
	q.disconnected = true
	q.finish(expired)
}

func (q *request) finish(how ending) {
	if q.ended {
		return
	}
	q.ended = true
	q.fleet.inFlight--
	q.fleet.observer.requestEnded(q, how)
}

// endRequestsOf ends the open requests of a router that has stopped: their clients see the connection close.
func (f *Fleet) endRequestsOf(r *instance) {
	for _, q := range f.observer.openRequestsOf(r) {
		q.responses++
		f.clock.After(f.addJitter(f.cfg.Client), func() {
			if q.class.Idempotency == balance.Idempotent {
				q.retry(0)
			} else {
				q.finish(failed)
			}
		})
	}
}

// recordExecution counts an execution by an endpoint at a replication position, which had to be at least minPosition.
func (f *Fleet) recordExecution(q *request, m *model.Endpoint, position, minPosition time.Duration) {
	q.executions++
	f.observer.checkExecution(q, m, position, minPosition)
}
