package balance

import (
	"math/rand/v2"
	"slices"
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
		search.scheduleNextRound(time.Second, rng)
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
	for _, successor := range []string{"b", "c", "d", "e", "f"} {
		t.Run(successor, func(t *testing.T) {
			c := testConfig()
			c.Instances = 80
			c.HealthCheckCost = 0.08
			list := EndpointList{Kind: ListCached}
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				list.Entries = append(list.Entries,
					EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, Primary: id == "a"},
					EndpointEntry{Endpoint: id + "2", Zone: "a", Group: 2, State: EndpointReady, Primary: id == "a"},
				)
			}
			s := &searchHarness{harness: newHarness(t, c, list), primary: "a", used: map[string]bool{}}
			s.play(20)
			list.Kind = ListDelta
			list.Entries[0].State = EndpointDraining
			for _, id := range []string{"y", "z"} { // recent enough, but warming up: they can take next to nothing
				list.Entries = append(list.Entries,
					EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, StartedAt: s.now},
				)
			}
			s.step(ms, list)
			s.play(3) // there is no primary for now
			s.primary = successor
			clear(s.used)
			s.play(25)
			if !s.used[successor] {
				t.Errorf("%s is the primary, and is not found", successor)
			}
		})
	}
}

// searchHarness answers the attempts and health checks of an instance whose replicas are all behind, except y and z.
type searchHarness struct {
	*harness
	primary string
	used    map[string]bool // endpoints that got an attempt
}

// play lets a read of the first group come so many times, and reads of another group that spend all there is.
func (s *searchHarness) play(times int) {
	for range times {
		s.answer(s.step(100*ms, s.request("bounded")))
		for range 4 {
			q := s.request("bounded")
			q.Group = 2
			s.answer(s.step(25*ms, q))
		}
		for range 5 { // an instance is woken for what is pending
			s.answer(s.step(100*ms, Wake{}))
		}
	}
}

func (s *searchHarness) answer(actions []Action) {
	for _, send := range actionsOf[Send](actions) {
		s.used[send.Endpoint] = true
		s.answer(s.step(0, AttemptResult{
			ID: send.ID, Endpoint: send.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true,
		}))
	}
	for _, check := range actionsOf[HealthCheck](actions) {
		result := HealthCheckResult{
			Endpoint: check.Endpoint, Status: StatusDone, Role: RoleReplica, Position: s.now - 10*time.Second,
		}
		switch check.Endpoint {
		case "y", "z":
			result.Position = s.now - 100*ms
		case s.primary, "a2":
			result.Role = RolePrimary
			result.Position = s.now
		}
		s.answer(s.step(0, result))
	}
}

// A budget of one health check a round reaches all endpoints in turn.
func TestPrimarySearchChecksTheOldestFirst(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	b := h.balancer
	group := b.groups[1]
	var checked []string
	for round := range 6 {
		b.now = h.now + time.Duration(round+1)*time.Second
		b.actions = nil
		b.healthChecks.tokens = 1
		group.search.nextAt = b.now
		b.searchPrimary(group)
		for _, check := range actionsOf[HealthCheck](b.actions) {
			checked = append(checked, check.Endpoint)
			b.endpoints[check.Endpoint].check.inFlight = false
		}
	}
	if !slices.Equal(checked, []string{"a", "b", "c", "a", "b", "c"}) {
		t.Errorf("checked %v, want each in its turn", checked)
	}
}
