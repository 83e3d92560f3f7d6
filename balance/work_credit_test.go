package balance

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

func TestWorkCreditRefills(t *testing.T) {
	var credit workCredit
	if credit.isStarted() {
		t.Fatal("new credit is started, want it not started")
	}
	credit.start(0.5, time.Second)
	credit.refill(0.1, 2, 6*time.Second)
	if credit.tokens != 1 {
		t.Errorf("%v tokens after 5 s, want 1", credit.tokens)
	}
	credit.refill(0.1, 2, time.Minute)
	if credit.tokens != 2 {
		t.Errorf("%v tokens after a minute, want the burst, 2", credit.tokens)
	}
	if credit.reset(); credit.isStarted() {
		t.Error("credit is started after reset, want it not started")
	}
}

func TestWholeShareNeedsNoCredit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms)
	request := &request{class: h.balancer.classes["any"], group: h.balancer.groups[1]}
	if check := h.balancer.checkCredit(request, h.balancer.endpoints["b"]); !check.covered || check.cost != 0 {
		t.Errorf("got check %+v, want it covered at no cost", check)
	}
}

// The share of one of 80 instances in an endpoint is under one attempt. The credit that it saves up must suffice for a
// long read even though short reads refill and check the same credit in between.
func TestShortReadsDoNotStarveLongReads(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	h := newHarness(
		t,
		c,
		EndpointList{
			Kind: ListCached,
			Entries: []EndpointEntry{
				{Endpoint: "a", Group: 1, State: EndpointReady, Primary: true},
				{Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady},
			},
		},
	)
	type end struct {
		at Time
		AttemptResult
	}
	var inFlight []end
	longReads, served := 0, 0
	for i := range 6000 { // a minute
		var events []Event
		if i%15 == 0 {
			events = append(events, h.request("bounded"))
		}
		if i%200 == 100 && i > 1000 { // once latencies have been observed
			longReads++
			events = append(events, h.request("any"))
		}
		for len(inFlight) > 0 && inFlight[0].at <= h.now {
			events = append(events, inFlight[0].AttemptResult)
			inFlight = inFlight[1:]
		}
		acts := h.step(10*ms, events...)
		for _, p := range actionsOf[HealthCheck](acts) {
			role := map[string]Role{"a": RolePrimary, "b": RoleReplica}[p.Endpoint]
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now})
		}
		for _, s := range actionsOf[Send](acts) {
			q := h.balancer.requests[s.ID]
			took := 20 * ms
			if q.class.Name == "any" {
				took = 300 * ms
				served++
			}
			role := map[string]Role{"a": RolePrimary, "b": RoleReplica}[s.Endpoint]
			inFlight = append(
				inFlight,
				end{h.now + took, AttemptResult{
					ID: s.ID, Attempt: h.attempts(s.ID) - 1, Endpoint: s.Endpoint, Status: StatusDone,
					Elapsed: took, Role: role, Position: h.now, Finished: true,
				}},
			)
			slices.SortStableFunc(inFlight, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		}
	}
	if served < longReads*3/4 {
		t.Fatalf("%d of %d long reads sent, want at least three quarters", served, longReads)
	}
}
