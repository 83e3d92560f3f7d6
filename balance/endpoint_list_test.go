package balance

import (
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
		{"ready again after it drained", discoveryState{state: EndpointReady, everDraining: true}, true, true},
		{"draining", discoveryState{state: EndpointDraining}, true, false},
		{"removed", discoveryState{state: EndpointRemoved}, false, false},
		{"removed softly", discoveryState{state: EndpointRemoved}, true, true},
		{"removed softly after it drained", discoveryState{state: EndpointRemoved, everDraining: true}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.allowsSends(c.softRemoval); got != c.want {
				t.Errorf("allows sends: %v", got)
			}
		})
	}
}

func TestDrainStopsAtOnce(t *testing.T) {
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
	h.expectSends(h.step(ms, h.request("any")), "b") // a is absent from the full list, b is back
}

// An endpoint that operators have suspended gets nothing, no health checks either, whatever the list says of it; a
// suspended primary is suspect. Once resumed it is checked and used at once, though it was suspect and its position
// is old.
func TestSuspend(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(0, Suspend{Endpoint: "b", Suspended: true}, Suspend{Endpoint: "later", Suspended: true})
	for range 200 {
		h.reportAll("a")
		change := EndpointList{Entries: []EndpointEntry{
			{Endpoint: "b", Group: 1, State: EndpointReady, StartedAt: h.now},
			{Endpoint: "later", Group: 1, State: EndpointReady},
		}}
		for _, l := range []EndpointList{threeEndpoints(ListFull), change} {
			acts := h.step(10*ms, l, h.request("bounded"), h.request("any"))
			for _, s := range actionsOf[Send](acts) {
				if s.Endpoint == "b" || s.Endpoint == "later" {
					t.Fatalf("sent: %+v", s)
				}
				h.step(
					0,
					AttemptResult{
						ID:       s.ID,
						Endpoint: s.Endpoint,
						Status:   StatusDone,
						Elapsed:  ms,
						Role:     RoleReplica,
						Finished: true,
					},
				)
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				if p.Endpoint == "b" {
					t.Fatal("probed")
				}
			}
		}
	}
	h.step(0, EndpointList{Kind: ListFull, Entries: threeEndpoints(ListFull).Entries[:1]})
	h.step(2*expiryDelay, h.request("any")) // b is forgotten by now
	h.reportAll("a")
	if n := h.balancer.endpoints["b"]; n != nil {
		t.Fatal("not forgotten")
	}
	h.step(0, threeEndpoints(ListFull))
	h.expectSends(
		h.step(0, Suspend{Endpoint: "a", Suspended: true}, h.request("write")),
		"bc",
	) // its primary is suspended: the round goes on without it
	h.reportAll("c")
	if s := h.step(ms, h.request("any"), h.request("any")); len(actionsOf[Send](s)) == 0 ||
		actionsOf[Send](s)[0].Endpoint != "c" {
		t.Fatalf("%v", s)
	}
	n := h.balancer.endpoints["b"]
	n.health.suspect, n.health.unreachable, n.health.recoveryAt, n.outlier.failureRate = true, true, never, 1
	h.now += time.Second // its position has aged
	acts := h.step(0, Suspend{Endpoint: "b"}, h.request("bounded"))
	if n.health.suspect || h.balancer.warmupFactor(n) == 1 || len(actionsOf[Send](acts)) > 0 ||
		len(actionsOf[HealthCheck](acts)) == 0 {
		t.Fatalf("%+v: %v", n, acts)
	}
	for range 300 {
		acts = h.step(
			10*ms,
			h.request("bounded"),
			HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now},
		)
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint == "b" {
				return
			}
		}
	}
	t.Fatal("never used again")
}
