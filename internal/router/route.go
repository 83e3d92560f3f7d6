package router

import (
	"hash/fnv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// reasonMayHaveRun is sent to the client when the balancer gives up a request that may have been executed.
const reasonMayHaveRun = "the request may have run"

// UpdateEndpoints passes an endpoint list from discovery to the balancer, the failover queue and the site monitor.
func (r *Router) UpdateEndpoints(list balance.EndpointList) {
	r.notifyBalancer(list)
	r.failoverQueue.endpointsUpdated(list)
	r.siteMonitor.endpointsUpdated(list)
}

// Suspend takes an endpoint out of service on behalf of an operator, or resumes it. The change is in effect when
// Suspend returns.
func (r *Router) Suspend(endpoint string, suspended bool) {
	// The backends are notified first: earlier events of the same step may still request a health check.
	r.backends.Suspend(endpoint, suspended)
	r.notifyBalancer(balance.Suspend{Endpoint: endpoint, Suspended: suspended})
	r.failoverQueue.endpointSuspended(endpoint, suspended)
	r.Step()
}

// SetOtherProcess records whether another process of this router serves clients. While one does, reads of sessions
// without tokens see all writes, since this process does not learn which sessions have written through the other.
func (r *Router) SetOtherProcess(serving bool) {
	r.notifyBalancer(balance.OtherProcess{Serving: serving})
}

// Step lets the balancer, the failover queue and the site monitor process pending events, and performs the actions that
// they return. The event loop calls it whenever it has delivered all input that had arrived.
func (r *Router) Step() {
	for {
		r.stepBalancer()
		r.siteMonitor.step()
		if len(r.balancerEvents) == 0 {
			return
		}
	}
}

// stepBalancer repeats until neither the failover queue nor the balancer has anything left to do.
func (r *Router) stepBalancer() {
	for {
		r.failoverQueue.performActions()
		if len(r.balancerEvents) == 0 {
			return
		}
		events := r.balancerEvents
		r.balancerEvents = nil
		for _, action := range r.balancer.Step(r.loop.Now(), events) {
			r.perform(action)
		}
	}
}

// notifyBalancer queues an event for the balancer's next step.
func (r *Router) notifyBalancer(event balance.Event) {
	r.balancerEvents = append(r.balancerEvents, event)
}

// submit submits a request to the balancer.
func (r *Router) submit(req *request) {
	now := r.loop.Now()
	event := balance.Request{
		ID:            req.id,
		Class:         req.Class,
		Group:         req.Group,
		TimeLeft:      max(0, req.answerBy-now),
		Retry:         req.Retry,
		PriorAttempts: req.attempts.priorAttempts,
	}
	if req.Session != "" && dependsOnSession(r.classes[req.Class].Consistency) {
		event.SessionID = sessionID(req.Session)
	}
	if req.MinPosition > 0 {
		event.SinceSessionWrite = max(1, now-req.MinPosition)
	}
	r.notifyBalancer(event)
}

// dependsOnSession reports whether the balancer needs to know the session of a request. It does for writes, and for
// reads that have to see the writes of their session.
func dependsOnSession(consistency balance.Consistency) bool {
	return consistency == balance.ConsistencySession || consistency == balance.ConsistencyWrite
}

// sessionID returns the number that identifies a session to the balancer. It is never 0, which means no session, and
// has at most 53 bits.
func sessionID(session string) int64 {
	hash := fnv.New64a()
	hash.Write([]byte(session))
	return int64(hash.Sum64()>>11) | 1
}

// withdraw removes a request from the balancer, as if its client had disconnected.
func (r *Router) withdraw(req *request) {
	r.notifyBalancer(balance.ClientDisconnected{ID: req.id})
}

// perform performs one action of the balancer.
func (r *Router) perform(action balance.Action) {
	switch action := action.(type) {
	case balance.Send:
		r.performSend(action)
	case balance.Reject:
		r.performReject(action)
	case balance.Fail:
		r.performFail(action)
	case balance.Cancel:
		r.performCancel(action)
	case balance.HealthCheck:
		r.checkHealthForBalancer(action.Endpoint)
	case balance.Timer:
		r.performTimer(action)
	case balance.PollEndpointList:
		r.discovery.Poll()
	case balance.PrimaryUpdate:
		r.performPrimaryUpdate(action)
	case balance.LogMessage:
		r.performLog(action)
	}
}

func (r *Router) performSend(action balance.Send) {
	req := r.inFlight[action.ID]
	if req != nil {
		r.startAttempt(req, action)
	}
}

func (r *Router) performReject(action balance.Reject) {
	req := r.inFlight[action.ID]
	if req != nil {
		r.reject(req, action.RetryAfter, action.Reason.String())
	}
}

func (r *Router) performFail(action balance.Fail) {
	req := r.inFlight[action.ID]
	if req != nil {
		r.fail(req, reasonMayHaveRun)
	}
}

func (r *Router) performCancel(action balance.Cancel) {
	req := r.inFlight[action.ID]
	if req != nil && req.acceptsCancel(action.Attempt) {
		r.cancelAttempt(req, balance.StatusCancelled)
	}
}

func (r *Router) performTimer(action balance.Timer) {
	r.balancerTimer.Stop()
	r.balancerTimer = r.loop.AfterFunc(action.After, func() { r.notifyBalancer(balance.Wake{}) })
}

func (r *Router) performPrimaryUpdate(update balance.PrimaryUpdate) {
	r.failoverQueue.primaryUpdated(update)
	r.siteMonitor.primaryUpdated(update)
	r.audit.record(audit.Primary{
		Group:    update.Group,
		Endpoint: update.Endpoint,
		Believed: update.Confirmed,
		Reason:   update.Reason,
	})
}

func (r *Router) performLog(entry balance.LogMessage) {
	text := entry.Text[:min(len(entry.Text), r.limits.Router.LogTextBytes)]
	r.log.Info("balancer decision", "detail", text)
	r.audit.record(audit.Note{Topic: "decision", Text: text})
}

// earliest returns the earlier of two points in time. Zero and negative values mean that none is set.
func earliest(a, b time.Duration) time.Duration {
	if a <= 0 {
		return max(b, 0)
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}
