package router

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// The stage between admit and route: what asks for a primary is held while its bank changes its own. changeover.Model
// decides; here it is told what happens, and what it asks is carried out. Without it none of this costs anything.

// holder is the model and the timer that wakes it.
type failoverQueue struct {
	tracker     *failover.Tracker
	classes     map[string]failover.Class
	timer       *eventloop.Timer
	timerDue    time.Duration                                 // when the timer is due
	onPromotion func(bank int64, term uint64, primary string) // told of each successor, nil = nobody is
}

// HoldThrough turns holding on. It is called before the first list.
func (router *Router) EnableFailoverQueue(cfg failover.Config, seed uint64, change func(bank int64, term uint64, primary string)) {
	router.failoverQueue = &failoverQueue{tracker: failover.New(cfg, seed), classes: cfg.Classes, onPromotion: change}
}

// Banks is what those on call see of the changes; nil where nothing is held.
func (router *Router) FailoverViews() []failover.GroupView {
	if router.failoverQueue == nil {
		return nil
	}
	return router.failoverQueue.tracker.Views(router.loop.Now())
}

// Announce says that operators are about to change a bank's primary, and whether the bank is known.
func (router *Router) AnnounceFailover(bank int64, within time.Duration) bool {
	if router.failoverQueue == nil {
		return false
	}
	known := router.failoverQueue.tracker.Announce(router.loop.Now(), bank, within)
	router.Step()
	return known
}

// Hint is what an earlier start knew of a bank.
func (router *Router) RestoreTerm(bank int64, term uint64, primary string) {
	if router.failoverQueue != nil {
		router.failoverQueue.tracker.RestoreTerm(bank, term, primary)
	}
}

// holds takes a request into the model's queue, if its bank is in change.
func (router *Router) enqueue(req *request) bool {
	h := router.failoverQueue
	if h == nil || !h.tracker.ShouldQueue(req.Group, req.Class) {
		return false
	}
	req.queued = true
	size := 0
	if s, ok := req.Job.(interface{ Size() int }); ok {
		size = s.Size()
	}
	now := router.loop.Now()
	h.tracker.Enqueue(now, failover.Request{ID: req.id, Group: req.Group, Class: req.Class, Client: router.clientKey(req), Deadline: req.ReceivedAt + req.Deadline, Size: size})
	router.wakeFailoverQueue(now + 10*time.Millisecond)
	return true
}

func (router *Router) clientKey(req *request) string {
	if req.Client != "" {
		return req.Client
	}
	return req.Session
}

// withdraw takes a request back from the module, as if its client had gone, and holds it. Nothing of it may have run.
func (router *Router) withdraw(req *request) {
	if req.finished || req.queued || req.attempt != nil || req.mayHaveRun || req.responseStarted {
		return
	}
	if !router.failoverQueue.tracker.ShouldQueue(req.Group, req.Class) {
		return
	}
	if router.balancer.MaxAttempts() > 0 && req.priorAttempts+req.attemptCount >= router.balancer.MaxAttempts() {
		return // the module ends it
	}
	router.withdrawFromBalancer(req)
	req.priorAttempts += req.attemptCount
	req.attemptCount = 0
	router.enqueue(req)
}

// sent tells of an attempt.
func (router *Router) attemptSent(req *request) {
	if req.queueable {
		router.failoverQueue.tracker.AttemptSent(req.sentAt, req.endpoint, req.id)
		router.wakeFailoverQueue(req.sentAt + 50*time.Millisecond)
	}
}

// heard tells of an attempt's end, and holds again what has proved not to have run.
func (router *Router) attemptEnded(req *request, res Result, took, now time.Duration) {
	h := router.failoverQueue
	if h == nil {
		return
	}
	end := failover.EndInconclusive
	switch res.Status {
	case balance.StatusDone:
		end = failover.EndAnswered
	case balance.StatusMiss:
		if end = failover.EndAnswered; router.IsWrite(req.Class) {
			end = failover.EndNotPrimary
		}
	case balance.StatusBusy:
		end = failover.EndRejected
	case balance.StatusConnectFailed, balance.StatusReset:
		end = failover.EndUnreachable
	}
	class := ""
	if req.queueable && res.Status == balance.StatusDone {
		class = req.Class
	}
	h.tracker.AttemptEnded(now, req.endpoint, req.id, end, failoverRole(res.Role), res.Position, class, took)
	if req.queueable && res.Status != balance.StatusDone {
		router.withdraw(req)
	}
}

func failoverRole(r balance.Role) failover.Role {
	switch r {
	case balance.RolePrimary:
		return failover.RolePrimary
	case balance.RoleReplica:
		return failover.RoleReplica
	}
	return failover.RoleUnknown
}

func (router *Router) healthCheckEnded(node string, res Result) {
	if h := router.failoverQueue; h != nil {
		h.tracker.HealthCheckEnded(router.loop.Now(), node, res.Status == balance.StatusDone, failoverRole(res.Role), res.Position)
	}
}

func (router *Router) updatePrimary(a balance.PrimaryUpdate) {
	h := router.failoverQueue
	if h == nil {
		return
	}
	if !a.Confirmed {
		h.tracker.SuspectPrimary(router.loop.Now(), a.Group, a.Endpoint)
		return
	}
	_, before, _, _ := h.tracker.Group(a.Group)
	h.tracker.ObservePrimary(router.loop.Now(), a.Group, a.Endpoint)
	if _, term, primary, _ := h.tracker.Group(a.Group); term != before && h.onPromotion != nil {
		h.onPromotion(a.Group, term, primary)
	}
}

func (router *Router) suspendFailoverEndpoint(node string, out bool) {
	if h := router.failoverQueue; h != nil {
		h.tracker.Suspend(router.loop.Now(), node, out)
	}
}

func (router *Router) updateFailoverEndpoints(l balance.EndpointList) {
	h := router.failoverQueue
	if h == nil || l.Kind == balance.ListFailed || l.Kind == balance.ListSilent {
		return
	}
	var in []failover.Endpoint
	for _, e := range l.Entries {
		in = append(in, failover.Endpoint{ID: e.Endpoint, Group: e.Group, Draining: e.State == balance.EndpointDraining, Removed: e.State == balance.EndpointRemoved})
	}
	h.tracker.UpdateEndpoints(router.loop.Now(), in, l.Kind != balance.ListDelta)
}

// released tells that a request is answered.
func (router *Router) requestDone(req *request) {
	if req.queueable && router.failoverQueue.tracker.InProgress() {
		router.failoverQueue.tracker.RequestDone(router.loop.Now(), req.Group, req.id)
	}
}

// wakeHolder sees to it that the model is looked at by then.
func (router *Router) wakeFailoverQueue(at time.Duration) {
	h := router.failoverQueue
	if h.timer != nil && h.timerDue <= at {
		return
	}
	h.timer.Stop()
	h.timerDue = at
	h.timer = router.loop.AfterFunc(at-router.loop.Now(), func() {
		h.timer = nil
		router.tickFailoverQueue()
	})
}

func (router *Router) tickFailoverQueue() {
	if next := router.failoverQueue.tracker.Tick(router.loop.Now()); next > 0 {
		router.wakeFailoverQueue(next)
	}
}

// changes carries out what the model asks.
func (router *Router) performFailoverActions() {
	h := router.failoverQueue
	if h == nil || !h.tracker.HasActions() {
		return
	}
	for h.tracker.HasActions() {
		for _, a := range h.tracker.Actions() {
			router.performFailoverAction(a)
		}
		router.tickFailoverQueue()
	}
}

func (router *Router) performFailoverAction(a failover.Action) {
	h := router.failoverQueue
	switch a.Kind {
	case failover.ActionRelease:
		if req := router.inFlight[a.ID]; req != nil && req.queued && !req.finished {
			req.queued = false
			router.submit(req)
		}
	case failover.ActionReject:
		if req := router.inFlight[a.ID]; req != nil && req.queued {
			req.queued = false
			router.log.Debug("held in vain", "request", req.Label, "class", req.Class, "why", a.Reason.String())
			router.reject(req, a.RetryAfter)
		}
	case failover.ActionHealthCheck:
		router.checkHealth(a.Endpoint, false)
	case failover.ActionWithdraw:
		var out []*request
		for _, req := range router.inFlight {
			if req.queueable && req.Group == a.Group {
				out = append(out, req)
			}
		}
		slices.SortFunc(out, func(a, b *request) int {
			return cmp.Or(cmp.Compare(a.ReceivedAt, b.ReceivedAt), cmp.Compare(a.id, b.id))
		})
		for _, req := range out {
			router.withdraw(req)
		}
	case failover.ActionPhaseChanged:
		phase, term, primary, last := h.tracker.Group(a.Group)
		text := "bank " + strconv.FormatInt(a.Group, 10) + ": " + phase.String() + ", term " + strconv.FormatUint(term, 10) + ", " + last.Evidence.String()
		router.log.Info("changeover", "bank", a.Group, "phase", phase.String(), "term", term, "primary", primary, "evidence", last.Evidence.String(), "node", last.Endpoint)
		router.audited(audit.Note{Topic: "changeover", Text: text})
	}
}
