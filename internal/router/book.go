package router

import (
	"slices"
	"time"

	"limeladder/balance"
)

// Counts is what has happened since the start.
type Counts struct {
	Accepted, Served, Rejected, Failed, Disconnected uint64
	RejectedForSiteLoss                              uint64 // of those refused, at the door while a site was lost
	Expired                                          uint64 // of those refused, because their time was over before they could be begun
	Attempts                                         [balance.StatusMiss + 1]uint64
}

// Counts returns a copy of the counters.
func (router *Router) Counts() Counts { return router.counts }

// book enters the end of an attempt and tells the module of it.
func (router *Router) recordAttempt(req *request, leg int, res Result) {
	now := router.loop.Now()
	router.log.Debug("attempt", "request", req.Label, "class", req.Class, "leg", leg, "node", req.endpoint, "status", int(res.Status),
		"role", int(res.Role), "took", now-req.sentAt)
	if slices.Contains([]balance.Status{balance.StatusError, balance.StatusTimedOut, balance.StatusReset, balance.StatusCancelled}, res.Status) {
		req.mayHaveRun = true
	}
	router.auditAttempt(req, res.Status)
	// Guards the module's sight of load: how long a slow peer takes over an answer says nothing of how busy it is.
	took := now - req.sentAt
	if res.ResponseStartedAt > 0 {
		took = res.ResponseStartedAt - req.sentAt
	}
	if res.Status == balance.StatusDone {
		router.attemptEnded(req, res, took, now) // before its end is told: an answer that is not counted lets no more out
		if c, ok := req.client.(Committer); ok && !req.finished && res.Position > 0 && res.Code == "" && router.IsWrite(req.Class) {
			c.Committed(res.Position)
		}
		router.forwardResponse(req, res.Response, res.Code)
	} else if req.responseStarted {
		router.truncate(req)
	}
	router.reportOutcome(req, leg, req.endpoint, res, took)
	if res.Status != balance.StatusDone {
		router.attemptEnded(req, res, took, now)
	}
	router.release(req)
}

func (router *Router) reportOutcome(req *request, leg int, node string, res Result, took time.Duration) {
	router.counts.Attempts[res.Status]++
	router.recordSiteEvidence(node, res)
	router.balancerEvents = append(router.balancerEvents, balance.AttemptResult{
		ID: req.id, Attempt: leg, Endpoint: node, Status: res.Status, Elapsed: took,
		Finished: req.finished, Role: res.Role, Position: res.Position,
	})
}

func (router *Router) withdrawFromBalancer(req *request) {
	router.balancerEvents = append(router.balancerEvents, balance.ClientDisconnected{ID: req.id})
}

// forget drops a request that is answered and has nothing out.
func (router *Router) release(req *request) {
	if req.finished && req.attempt == nil {
		req.timer.Stop()
		req.timer = nil
		delete(router.inFlight, req.id)
		router.requestDone(req)
	}
}
