package router

import (
	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// List passes on what discovery has told.
func (r *Router) UpdateEndpoints(l balance.EndpointList) {
	r.pending = append(r.pending, l)
	r.listed(l)
	r.listedSites(l)
}

// Suspend takes a db machine out for operators, or lets it back in. It binds when it returns.
func (r *Router) Suspend(node string, out bool) {
	r.servers.Suspend(node, out) // first: what came before in the same step may still ask for a probe
	r.pending = append(r.pending, balance.Suspend{Endpoint: node, Suspended: out})
	r.barred(node, out)
	r.Step()
}

// Step lets the decision module look at what has come and carries out what it decides. The loop calls it each
// time all that had come is handed over.
func (r *Router) Step() {
	for again := true; again; again = len(r.pending) > 0 {
		for r.changes(); len(r.pending) > 0; r.changes() {
			events := r.pending
			r.pending = nil
			for _, a := range r.module.Step(r.loop.Now(), events) {
				r.act(a)
			}
		}
		r.stepSites()
	}
}

func (r *Router) act(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		if q := r.inHand[a.ID]; q != nil {
			r.send(q, a)
		}
	case balance.Reject:
		if q := r.inHand[a.ID]; q != nil {
			r.refuse(q, a.RetryAfter)
		}
	case balance.Fail:
		if q := r.inHand[a.ID]; q != nil {
			r.fail(q, "the request may have run")
		}
	case balance.Cancel:
		if q := r.inHand[a.ID]; q != nil && q.tries-1 == a.Attempt && !q.began {
			r.cancel(q, balance.StatusCancelled)
		}
	case balance.HealthCheck:
		r.probe(a.Endpoint, true)
	case balance.Timer:
		r.wake.Stop()
		r.wake = r.loop.AfterFunc(a.After, func() { r.pending = append(r.pending, balance.Wake{}) })
	case balance.PollEndpointList:
		r.watcher.Poll()
	case balance.PrimaryUpdate:
		r.believe(a)
		if r.sites != nil && a.Confirmed {
			r.sites.events = append(r.sites.events, sitefailover.PrimaryObserved{Group: a.Group, Endpoint: a.Endpoint})
		}
		r.record(audit.Primary{Group: a.Group, Node: a.Endpoint, Believed: a.Confirmed, Why: a.Reason})
	case balance.LogMessage:
		text := a.Text[:min(len(a.Text), r.lim.Router.LogTextBytes)]
		r.log.Info(text)
		r.record(audit.Note{Topic: "decision", Text: text})
	}
}
