package balance

import (
	"slices"
	"testing"
	"time"
)

func TestDiscoveryStateAllowsSends(t *testing.T) {
	for _, c := range []struct {
		name        string
		state       discoveryState
		softRemoval bool
		want        bool
	}{
		{"ready", discoveryState{state: EndpointReady}, false, true},
		{"ready again after draining", discoveryState{state: EndpointReady, everDraining: true}, true, true},
		{"draining", discoveryState{state: EndpointDraining}, true, false},
		{"removed", discoveryState{state: EndpointRemoved}, false, false},
		{"soft removal", discoveryState{state: EndpointRemoved}, true, true},
		{"soft removal after draining", discoveryState{state: EndpointRemoved, everDraining: true}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.allowsSends(c.softRemoval); got != c.want {
				t.Errorf("allowsSends() = %v, want the opposite", got)
			}
		})
	}
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	l := EndpointList{
		Entries: []EndpointEntry{
			{Endpoint: "b", Zone: "a", Group: 1, State: EndpointDraining},
			{Endpoint: "c", Group: 1, State: EndpointRemoved},
		},
	}
	h.step(ms, l)
	for range 5 {
		h.expectSends(h.step(ms, h.request("any")), "a")
	}
	h.step(ms, EndpointList{Kind: ListFull, Entries: threeEndpoints(ListFull).Entries[1:2]})
	h.expectSends(h.step(ms, h.request("any")), "b") // the full list contains only b
}

// A suspended endpoint gets neither attempts nor health checks, whatever its state in the list, and a suspended primary
// is suspect. A resumed endpoint is checked at once and used soon, even if it was suspect and its position is old.
func TestSuspendAndResume(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(0, Suspend{Endpoint: "b", Suspended: true}, Suspend{Endpoint: "later", Suspended: true})
	for range 200 {
		h.reportAll("a")
		change := EndpointList{Entries: []EndpointEntry{
			{Endpoint: "b", Group: 1, State: EndpointReady, StartedAt: h.now},
			{Endpoint: "later", Group: 1, State: EndpointReady},
		}}
		for _, list := range []EndpointList{threeEndpoints(ListFull), change} {
			h.expectUnused(h.step(10*ms, list, h.request("bounded"), h.request("any")), "b", "later")
		}
	}
	h.step(0, EndpointList{Kind: ListFull, Entries: threeEndpoints(ListFull).Entries[:1]})
	h.step(2*expiryDelay, h.request("any")) // b has expired by now
	h.reportAll("a")
	if h.balancer.endpoints["b"] != nil {
		t.Fatal("removed endpoint b is still known, want it expired")
	}
	h.step(0, threeEndpoints(ListFull))
	// The primary is suspended, so exploratory writes go to the other endpoints.
	h.expectSends(h.step(0, Suspend{Endpoint: "a", Suspended: true}, h.request("write")), "bc")
	h.reportAll("c")
	sends := actionsOf[Send](h.step(ms, h.request("any"), h.request("any")))
	if len(sends) == 0 || sends[0].Endpoint != "c" {
		t.Fatalf("sent %v, want the first read at c", sends)
	}
	h.expectResumption()
}

// expectUnused checks that the actions send neither attempts nor health checks to the endpoints, and answers the
// attempts.
func (h *harness) expectUnused(actions []Action, endpoints ...string) {
	h.t.Helper()
	for _, send := range actionsOf[Send](actions) {
		if slices.Contains(endpoints, send.Endpoint) {
			h.t.Fatalf("sent %+v, want no attempt at an endpoint out of service", send)
		}
		h.step(0, AttemptResult{
			ID: send.ID, Endpoint: send.Endpoint, Status: StatusDone, Elapsed: ms, Role: RoleReplica, Finished: true,
		})
	}
	for _, check := range actionsOf[HealthCheck](actions) {
		if slices.Contains(endpoints, check.Endpoint) {
			h.t.Fatalf("got %+v, want no health check of an endpoint out of service", check)
		}
	}
}

// expectResumption resumes the suspended endpoint b, after it was suspect and an outlier, and checks that it gets a
// health check at once and an attempt soon.
func (h *harness) expectResumption() {
	h.t.Helper()
	resumed := h.balancer.endpoints["b"]
	resumed.health.suspect = true
	resumed.health.unreachable = true
	resumed.health.recoveryAt = never
	resumed.outlier.failureRate = 1
	h.now += time.Second // its position has expired
	actions := h.step(0, Suspend{Endpoint: "b"}, h.request("bounded"))
	if resumed.health.suspect || h.balancer.warmupFactor(resumed) == 1 {
		h.t.Fatalf("endpoint %+v, want it resumed and warming up", resumed)
	}
	if len(actionsOf[Send](actions)) > 0 || len(actionsOf[HealthCheck](actions)) == 0 {
		h.t.Fatalf("got actions %v, want a health check and no send", actions)
	}
	for range 300 {
		report := HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now}
		actions = h.step(10*ms, h.request("bounded"), report)
		toResumed := func(send Send) bool { return send.Endpoint == "b" }
		if slices.ContainsFunc(actionsOf[Send](actions), toResumed) {
			return
		}
	}
	h.t.Fatal("resumed endpoint b got no attempt within 3 s")
}
