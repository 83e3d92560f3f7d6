package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig returns a configuration with a class of each consistency, named after it, and the class "keyed" of writes
// with an idempotency key.
func testConfig() Config {
	return Config{
		Instances: 1, Zone: "a", OverQuotaWeight: 0.1, TimerResolution: ms, HealthChecks: true, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 6, SlowStartFrom: 0.25,
		SlowStartWindow: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second, ClientSessionTokens: true,
		Classes: []Class{
			{
				Name:             "any",
				LatencyObjective: 400 * ms,
				ClientTimeout:    2 * time.Second,
				PriorityWeight:   1,
				LateWeightShare:  0.2,
				Consistency:      ConsistencyAny,
			},
			{
				Name:             "bounded",
				LatencyObjective: 400 * ms,
				ClientTimeout:    2 * time.Second,
				PriorityWeight:   1,
				Consistency:      ConsistencyBounded,
				MaxStaleness:     300 * ms,
			},
			{
				Name:             "session",
				LatencyObjective: 400 * ms,
				ClientTimeout:    2 * time.Second,
				PriorityWeight:   1,
				Consistency:      ConsistencySession,
			},
			{
				Name:             "latest",
				LatencyObjective: 400 * ms,
				ClientTimeout:    2 * time.Second,
				PriorityWeight:   1,
				Consistency:      ConsistencyLatest,
			},
			{
				Name:             "write",
				LatencyObjective: 400 * ms,
				ClientTimeout:    3 * time.Second,
				PriorityWeight:   3,
				LateWeightShare:  0.3,
				Consistency:      ConsistencyWrite,
				Idempotency:      NonIdempotent,
			},
			{
				Name:              "keyed",
				LatencyObjective:  400 * ms,
				ClientTimeout:     3 * time.Second,
				PriorityWeight:    3,
				LateWeightShare:   0.3,
				Consistency:       ConsistencyWrite,
				Idempotency:       IdempotentWithKey,
				IdempotencyScope:  ScopeGroup,
				IdempotencyWindow: 500 * ms,
			},
		},
	}
}

// harness drives one balancer step by step. It does not simulate endpoints: each test passes the results itself.
type harness struct {
	t            *testing.T
	balancer     *Balancer
	now          Time
	requestCount int
}

func newHarness(t *testing.T, c Config, events ...Event) *harness {
	t.Helper()
	b, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, balancer: b, now: 100 * time.Second}
	h.step(0, events...)
	return h
}

// threeEndpoints returns a list of the given kind with the endpoints a, b and c of group 1, all ready.
func threeEndpoints(kind EndpointListKind) EndpointList {
	return EndpointList{Kind: kind, Entries: []EndpointEntry{
		{
			Endpoint: "a",
			Zone:     "a",
			Group:    1,
			State:    EndpointReady,
		},
		{Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady},
		{Endpoint: "c", Zone: "a", Group: 1, State: EndpointReady},
	}}
}

// step advances the time by d and passes the events to the balancer.
func (h *harness) step(d time.Duration, events ...Event) []Action {
	h.now += d
	return h.balancer.Step(h.now, events)
}

// request returns a new request of the class for group 1, with its own id.
func (h *harness) request(class string) Request {
	h.requestCount++
	return Request{ID: fmt.Sprint("q", h.requestCount), Class: class, Group: 1, SessionID: 5, TimeLeft: time.Second}
}

// newReadyHarness returns a harness with three endpoints whose balancer knows that a is the primary, and the
// replication positions of all.
func newReadyHarness(t *testing.T, c Config) *harness {
	t.Helper()
	h := newHarness(t, c, threeEndpoints(ListCached))
	h.reportAll("a")
	return h
}

// reportAll passes a health check result of each endpoint, with the current position. The endpoint with the id primary
// reports itself as the primary.
func (h *harness) reportAll(primary string) {
	for _, id := range []string{"a", "b", "c"} {
		role := RoleReplica
		if id == primary {
			role = RolePrimary
		}
		h.step(0, HealthCheckResult{Endpoint: id, Status: StatusDone, Role: role, Position: h.now})
	}
}

// failAllHealthChecks passes a timed out health check of each endpoint.
func (h *harness) failAllHealthChecks() {
	for _, id := range []string{"a", "b", "c"} {
		h.step(0, HealthCheckResult{Endpoint: id, Status: StatusTimedOut})
	}
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](acts []Action) []A {
	var out []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// expectSends checks that the actions contain one send for each string in want, in order, and returns the sends. Each
// string lists the one-letter ids of the endpoints that the send may go to.
func (h *harness) expectSends(acts []Action, want ...string) []Send {
	h.t.Helper()
	got := actionsOf[Send](acts)
	ok := len(got) == len(want)
	for i := 0; ok && i < len(want); i++ {
		ok = strings.Contains(want[i], got[i].Endpoint)
	}
	if !ok {
		h.t.Fatalf("got sends %v, want them to endpoints %v", got, want)
	}
	return got
}

// attempts returns the number of attempts of an open request, or 0 if there is no such request.
func (h *harness) attempts(id string) int {
	if q := h.balancer.requests[id]; q != nil {
		return len(q.attempts)
	}
	return 0
}
