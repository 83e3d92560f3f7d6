package router

import (
	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// List passes on what discovery has told.
func (router *Router) UpdateEndpoints(l balance.EndpointList) {
	router.balancerEvents = append(router.balancerEvents, l)
	router.updateFailoverEndpoints(l)
	router.updateSiteEndpoints(l)
}

// Suspend takes a db machine out for operators, or lets it back in. It binds when it returns.
func (router *Router) Suspend(node string, out bool) {
	router.backends.Suspend(node, out) // first: what came before in the same step may still ask for a probe
	router.balancerEvents = append(router.balancerEvents, balance.Suspend{Endpoint: node, Suspended: out})
	router.suspendFailoverEndpoint(node, out)
	router.Step()
}

// Step lets the decision module look at what has come and carries out what it decides. The loop calls it each
// time all that had come is handed over.
func (router *Router) Step() {
	for again := true; again; again = len(router.balancerEvents) > 0 {
		for router.performFailoverActions(); len(router.balancerEvents) > 0; router.performFailoverActions() {
			events := router.balancerEvents
			router.balancerEvents = nil
			for _, a := range router.balancer.Step(router.loop.Now(), events) {
				router.perform(a)
			}
		}
		router.stepSites()
	}
}

func (router *Router) perform(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		if req := router.inFlight[a.ID]; req != nil {
			router.startAttempt(req, a)
		}
	case balance.Reject:
		if req := router.inFlight[a.ID]; req != nil {
			router.reject(req, a.RetryAfter)
		}
	case balance.Fail:
		if req := router.inFlight[a.ID]; req != nil {
			router.fail(req, "the request may have run")
		}
	case balance.Cancel:
		if req := router.inFlight[a.ID]; req != nil && req.attemptCount-1 == a.Attempt && !req.responseStarted {
			router.cancel(req, balance.StatusCancelled)
		}
	case balance.HealthCheck:
		router.checkHealth(a.Endpoint, true)
	case balance.Timer:
		router.balancerTimer.Stop()
		router.balancerTimer = router.loop.AfterFunc(a.After, func() { router.balancerEvents = append(router.balancerEvents, balance.Wake{}) })
	case balance.PollEndpointList:
		router.discovery.Poll()
	case balance.PrimaryUpdate:
		router.updatePrimary(a)
		if router.siteMonitor != nil && a.Confirmed {
			router.siteMonitor.events = append(router.siteMonitor.events, sitefailover.PrimaryObserved{Group: a.Group, Endpoint: a.Endpoint})
		}
		router.audited(audit.Primary{Group: a.Group, Node: a.Endpoint, Believed: a.Confirmed, Why: a.Reason})
	case balance.LogLine:
		text := a.Text[:min(len(a.Text), router.limits.Router.LogTextBytes)]
		router.log.Info(text)
		router.audited(audit.Note{Topic: "decision", Text: text})
	}
}
