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
		t.Fatalf("first round at %v, want it at once, at 1s", search.nextAt)
	}
	for round := range 10 {
		search.scheduleNextRound(time.Second, rng)
		if wait := search.nextAt - time.Second; wait < healthCheckInterval/2 || wait > primarySearchInterval*3/2 {
			t.Errorf("round %d: next round after %v, outside the interval with its jitter", round, wait)
		}
	}
	if search.interval != primarySearchInterval {
		t.Errorf("interval %v after ten rounds, want %v", search.interval, primarySearchInterval)
	}
}

// Hundreds of instances that search for a lost primary must not overload its group with health checks.
func TestPrimarySearchIsRateLimited(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, h.request("write"))
	h.reportAll("a")
	h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "a", Zone: "a", Group: 1, State: EndpointRemoved}}})
	checks := 0
	for i := range 500 {
		var events []Event
		if i%50 == 0 {
			q := h.request("write")
			events = append(events, q)
		}
		for _, p := range actionsOf[HealthCheck](h.step(10*ms, events...)) {
			checks++
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - 10*ms})
		}
	}
	if checks < 3 || checks > 25 {
		t.Fatalf("%d health checks in 5 s without a primary, want 3 to 25", checks)
	}
}

// One of 80 instances earns 0.75 health checks per request, and reads of another group use them up. The primary of its
// group drains, and another endpoint is promoted. The reads that need the new primary must find it, whichever endpoint
// it is, though the data of all others is too old.
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
			s.run(20)
			list.Kind = ListDelta
			list.Entries[0].State = EndpointDraining
			for _, id := range []string{"y", "z"} { // recent enough, but warming up, so they take hardly any reads
				list.Entries = append(list.Entries,
					EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, StartedAt: s.now},
				)
			}
			s.step(ms, list)
			s.run(3) // without a primary
			s.primary = successor
			clear(s.used)
			s.run(25)
			if !s.used[successor] {
				t.Errorf("no attempt at the new primary %s, want it found", successor)
			}
		})
	}
}

// searchHarness answers the attempts and health checks of an instance. The data of all its replicas is too old, except
// that of y and z.
type searchHarness struct {
	*harness
	primary string
	used    map[string]bool // ids of the endpoints that got an attempt
}

// run sends the given number of reads of group 1, each followed by reads of group 2 that use up the health check
// budget.
func (s *searchHarness) run(times int) {
	for range times {
		s.answer(s.step(100*ms, s.request("bounded")))
		for range 4 {
			q := s.request("bounded")
			q.Group = 2
			s.answer(s.step(25*ms, q))
		}
		for range 5 { // the timer wakes the instance for pending requests
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

// With a budget of one health check per round, all endpoints are checked in turn.
func TestPrimarySearchChecksLeastRecentlyCheckedFirst(t *testing.T) {
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
		t.Errorf("checked %v, want each endpoint in turn", checked)
	}
}
