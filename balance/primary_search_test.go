package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestPrimarySearchSlowsDown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var search primarySearch
	search.start(time.Second)
	if search.nextAt != time.Second {
		t.Fatalf("first round at %v, want at once", search.nextAt)
	}
	for round := range 10 {
		search.roundSent(time.Second, rng)
		if wait := search.nextAt - time.Second; wait < healthCheckInterval/2 || wait > primarySearchInterval*3/2 {
			t.Errorf("round %d: next one after %v", round, wait)
		}
	}
	if search.interval != primarySearchInterval {
		t.Errorf("interval %v after ten rounds, want %v", search.interval, primarySearchInterval)
	}
}

// Hundreds of instances that each look for a lost primary must not overload its group with health checks.
func TestSearchForALostPrimaryIsBounded(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, h.request("write"))
	h.reportAll("a")
	h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "a", Zone: "a", Group: 1, State: EndpointRemoved}}})
	probes := 0
	for i := range 500 {
		var events []Event
		if i%50 == 0 {
			q := h.request("write")
			events = append(events, q)
		}
		for _, p := range actionsOf[HealthCheck](h.step(10*ms, events...)) {
			probes++
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - 10*ms})
		}
	}
	if probes < 3 || probes > 25 {
		t.Fatalf("%d probes in 5 s without a primary", probes)
	}
}

// An instance of eighty earns a health check in three requests, and reads of another group spend them. Its group's
// primary leaves, and another endpoint becomes primary: it is found by the reads that need it, whichever one it is,
// though all others are behind.
func TestLostPrimaryIsFoundOnASmallBudget(t *testing.T) {
	for _, leader := range []string{"b", "c", "d", "e", "f"} {
		c := testConfig()
		c.Instances = 80
		c.HealthCheckCost = 0.08
		list := EndpointList{Kind: ListCached}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			list.Entries = append(
				list.Entries,
				EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, Primary: id == "a"},
				EndpointEntry{Endpoint: id + "2", Zone: "a", Group: 2, State: EndpointReady, Primary: id == "a"},
			)
		}
		h := newHarness(t, c, list)
		led, found := "a", false
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, s := range actionsOf[Send](acts) {
				found = found || s.Endpoint == leader
				run(h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true}))
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				role, at := RoleReplica, h.now-10*time.Second
				switch p.Endpoint {
				case "y", "z":
					at = h.now - 100*ms
				case led, "a2":
					role, at = RolePrimary, h.now
				}
				run(h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: at}))
			}
		}
		ask := func(times int) {
			for range times {
				run(h.step(100*ms, h.request("bounded")))
				for range 4 { // reads of another group spend all there is
					q := h.request("bounded")
					q.Group = 2
					run(h.step(25*ms, q))
				}
				for range 5 { // an instance is woken for what it holds
					run(h.step(100*ms, Wake{}))
				}
			}
		}
		ask(20)
		list.Entries[0].State, list.Kind = EndpointDraining, ListDelta
		for _, id := range []string{"y", "z"} { // recent enough, but cold: they can take next to nothing
			list.Entries = append(
				list.Entries,
				EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, StartedAt: h.now},
			)
		}
		h.step(ms, list)
		ask(3) // nobody leads for now
		led = leader
		if ask(25); !found {
			t.Errorf("%s leads, and is not found", leader)
		}
	}
}
