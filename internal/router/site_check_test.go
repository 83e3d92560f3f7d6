package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// healthCheckPeers is a fakePeers whose results of health checks are set by the test.
type healthCheckPeers struct {
	*fakePeers
	loop   *eventloop.Loop
	status func(endpoint string) balance.Status
	checks map[string]int // by endpoint
}

func (p *healthCheckPeers) HealthCheck(endpoint string, done func(Result)) {
	p.checks[endpoint]++
	result := Result{Status: p.status(endpoint), Role: balance.RoleReplica}
	p.loop.Post(func() { done(result) })
}

// siteStateOf returns a router's view of the state of a site.
func siteStateOf(t *testing.T, router *Router, site string) sitefailover.SiteState {
	t.Helper()
	for _, view := range router.SiteViews() {
		if view.Site == site {
			return view.State
		}
	}
	t.Fatalf("site %s is unknown to the router", site)
	return sitefailover.SiteHealthy
}

// Guards against a router that notices only by its own requests, and therefore too late, that a lost site is back and
// that it fails again while it recovers. The recovery of the site would not be paced then.
func TestLostSiteIsCheckedWithoutRequests(t *testing.T) {
	router, fake, loop := newTestRouter(t)
	peers := &healthCheckPeers{fakePeers: fake, loop: loop, checks: map[string]int{}}
	router.Connect(peers, peers)
	router.healthChecksEnabled = true
	router.EnableSiteMonitor(sitefailover.DefaultMonitorConfig("a", time.Second, 100))
	router.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "a1", Zone: "a", State: balance.EndpointReady, Primary: true},
		{Endpoint: "b1", Zone: "b", State: balance.EndpointReady},
		{Endpoint: "b2", Zone: "b", State: balance.EndpointReady},
		{Endpoint: "b3", Zone: "b", State: balance.EndpointReady},
	}})
	up := false
	peers.status = func(endpoint string) balance.Status {
		if up || endpoint == "a1" {
			return balance.StatusDone
		}
		return balance.StatusConnectFailed
	}
	var states []sitefailover.SiteState
	recordState := func() { states = append(states, siteStateOf(t, router, "b")) }
	refused := &Result{Status: balance.StatusConnectFailed}
	runFor(router, loop, 5*time.Second, func() {
		for range 2 { // failed requests that show that the site is down; no more follow
			router.siteMonitor.recordResult("b1", refused)
			router.siteMonitor.recordResult("b2", refused)
		}
		loop.AfterFunc(time.Second, func() {
			recordState()
			up = true
		})
		loop.AfterFunc(2500*time.Millisecond, func() { // like a flapping site, b is up for 1.5 s
			recordState()
			up = false
		})
		loop.AfterFunc(4*time.Second, recordState)
	})
	want := []sitefailover.SiteState{sitefailover.SiteLost, sitefailover.SiteRecovering, sitefailover.SiteLost}
	for i, state := range states {
		if state != want[i] {
			t.Errorf("got site states %v, want %v", states, want)
			break
		}
	}
	const mostChecks = int(5*time.Second/siteCheckInterval) + 1
	for _, endpoint := range []string{"b1", "b2", "b3"} {
		if n := peers.checks[endpoint]; n > mostChecks+5 { // the utilization checks add at most one per second
			t.Errorf("endpoint %s was checked %d times, want fewer", endpoint, n)
		}
	}
}

// Guards against too many checks of an endpoint by all routers together.
func TestSiteCheckIntervalGrowsWithInstances(t *testing.T) {
	for instances, want := range map[int]time.Duration{1: siteCheckInterval, 6: siteCheckInterval, 300: 15 * time.Second} {
		if got := newSiteChecker(nil, instances).interval; got != want {
			t.Errorf("%d routers: got a check interval of %v, want %v", instances, got, want)
		}
	}
}
