package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// checkedPeers are peers of which a test says how an endpoint answers health checks.
type checkedPeers struct {
	*fakePeers
	loop   *eventloop.Loop
	status func(endpoint string) balance.Status
	checks map[string]int // by endpoint
}

func (p *checkedPeers) HealthCheck(endpoint string, done func(Result)) {
	p.checks[endpoint]++
	result := Result{Status: p.status(endpoint), Role: balance.RoleReplica}
	p.loop.Post(func() { done(result) })
}

// siteStateOf returns what a router takes a site for.
func siteStateOf(t *testing.T, router *Router, site string) sitefailover.SiteState {
	t.Helper()
	for _, view := range router.SiteViews() {
		if view.Site == site {
			return view.State
		}
	}
	t.Fatalf("site %s is not known", site)
	return sitefailover.SiteHealthy
}

// Guards against a router that learns by its own requests only, and so too late, that a lost site is back, and that it
// fails again while it recovers: the site's return is not paced then.
func TestLostSiteIsCheckedWithoutRequests(t *testing.T) {
	router, fake, loop := newTestRouter(t)
	peers := &checkedPeers{fakePeers: fake, loop: loop, checks: map[string]int{}}
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
	note := func() { states = append(states, siteStateOf(t, router, "b")) }
	refused := &Result{Status: balance.StatusConnectFailed}
	runFor(router, loop, 5*time.Second, func() {
		for range 2 { // requests that find the site down; there are none later
			router.siteMonitor.recordResult("b1", refused)
			router.siteMonitor.recordResult("b2", refused)
		}
		loop.AfterFunc(time.Second, func() {
			note()
			up = true
		})
		loop.AfterFunc(2500*time.Millisecond, func() { // as long as a site is up that flaps
			note()
			up = false
		})
		loop.AfterFunc(4*time.Second, note)
	})
	want := []sitefailover.SiteState{sitefailover.SiteLost, sitefailover.SiteRecovering, sitefailover.SiteLost}
	for i, state := range states {
		if state != want[i] {
			t.Errorf("the site is %v, want %v", states, want)
			break
		}
	}
	const mostChecks = int(5*time.Second/siteCheckInterval) + 1
	for _, endpoint := range []string{"b1", "b2", "b3"} {
		if n := peers.checks[endpoint]; n > mostChecks+5 { // the rotation of all endpoints asks once a second
			t.Errorf("%s was checked %d times", endpoint, n)
		}
	}
}

// Guards against checks of all routers together that are more than an endpoint should get.
func TestSiteChecksOfALargeFleet(t *testing.T) {
	for instances, want := range map[int]time.Duration{1: siteCheckInterval, 6: siteCheckInterval, 300: 15 * time.Second} {
		if got := newSiteChecks(nil, instances).interval; got != want {
			t.Errorf("%d routers: one check each %v, want %v", instances, got, want)
		}
	}
}
