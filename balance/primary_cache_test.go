package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestPrimaryCacheAcceptsEvidence(t *testing.T) {
	primary, other := &endpoint{id: "a"}, &endpoint{id: "b"}
	const observed, suspect = 10 * time.Second, 20 * time.Second
	for _, c := range []struct {
		name     string
		state    primaryState
		endpoint *endpoint
		at       Time
		want     bool
	}{
		{"any endpoint while the primary is unknown", primaryUnknown, other, 0, true},
		{"the cached primary again", primaryCached, primary, observed - ms, true},
		{"another endpoint, newer", primaryCached, other, observed + ms, true},
		{"another endpoint, not newer", primaryCached, other, observed, false},
		{"the suspect primary, not newer than the suspicion", primarySuspect, primary, suspect, false},
		{"the suspect primary, newer than the suspicion", primarySuspect, primary, suspect + ms, true},
		{"another endpoint while the primary is suspect", primarySuspect, other, observed + ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := primaryCache{state: c.state, endpoint: primary, observedAt: observed, suspectSince: suspect}
			if got := cache.acceptsEvidence(c.endpoint, c.at); got != c.want {
				t.Errorf("acceptsEvidence() = %v, want the opposite", got)
			}
		})
	}
}

func TestSuspectPrimaryIsReportedOnce(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	var updates []PrimaryUpdate
	for range 3 {
		updates = append(updates, actionsOf[PrimaryUpdate](h.step(ms, EndpointList{Entries: []EndpointEntry{
			{Endpoint: "a", Zone: "a", Group: 1, State: EndpointDraining},
		}}))...)
	}
	if len(updates) != 1 || updates[0].Confirmed || updates[0].Endpoint != "a" || updates[0].Reason == "" {
		t.Errorf("updates %+v, want a single one that reports a as suspect, with a reason", updates)
	}
}

func TestExploratoryWritesGoInOrder(t *testing.T) {
	h := newHarness(t, testConfig(), threeEndpoints(ListCached))
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.expectSends(
		h.step(ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "b", Status: StatusMiss, Role: RoleReplica}),
		"c",
	)
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: 2, Endpoint: "c", Status: StatusMiss, Role: RoleReplica}))
	h.expectSends(h.step(50*ms, h.request("write"))) // after one round of misses, writes stay pending
	h.expectSends(
		h.step(50*ms, HealthCheckResult{Endpoint: "c", Status: StatusDone, Role: RolePrimary, Position: h.now + 40*ms}),
		"c",
		"c",
	)
}

func TestMissMarksThePrimarySuspect(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.expectSends(
		h.step(
			ms,
			AttemptResult{
				ID:       q.ID,
				Attempt:  1,
				Endpoint: "b",
				Status:   StatusDone,
				Elapsed:  ms,
				Finished: true,
				Role:     RolePrimary,
			},
		),
	)
	h.expectSends(h.step(ms, h.request("write")), "b")
}

func TestListDoesNotOverrideObservedPrimary(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	l := threeEndpoints(ListFull)
	l.Entries[1].Primary = true
	h.step(ms, l)
	h.expectSends(h.step(ms, h.request("write")), "a")
}

// A list that is 4 s old and names the primary of two changes ago must not change where writes go: responses and health
// checks have shown newer roles.
func TestOutdatedListDoesNotChangePrimary(t *testing.T) {
	h := newReadyHarness(t, testConfig()) // a is the primary
	list := func(primary string) EndpointList {
		l := threeEndpoints(ListDelta)
		for i := range l.Entries {
			l.Entries[i].Primary = l.Entries[i].Endpoint == primary
		}
		return l
	}
	h.step(ms, list("a"))
	answer := func(n string, role Role) AttemptResult {
		return AttemptResult{
			ID:       fmt.Sprint("q", h.requestCount),
			Endpoint: n,
			Status:   StatusDone,
			Elapsed:  ms,
			Finished: true,
			Role:     role,
			Position: h.now,
		}
	}
	write := func(want string) {
		t.Helper()
		h.expectSends(h.step(ms, h.request("write")), want)
		h.step(ms, answer(want, RolePrimary))
	}
	write("a")
	// The old primary reports itself as replica, then the new one as primary.
	for _, change := range [][2]string{{"a", "b"}, {"b", "c"}} {
		h.step(100*ms, HealthCheckResult{Endpoint: change[0], Status: StatusDone, Role: RoleReplica, Position: h.now})
		h.step(100*ms, HealthCheckResult{Endpoint: change[1], Status: StatusDone, Role: RolePrimary, Position: h.now})
		write(change[1])
	}
	for _, late := range []string{"b", "b", "a", "c"} { // outdated lists in any order, also repeated
		h.step(2*time.Second, list(late))
		write("c")
	}
}

func TestListSetsPrimaryOfNewGroup(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[2].Primary = true
	h := newHarness(t, testConfig(), l)
	h.expectSends(h.step(ms, h.request("write")), "c")
}

// During a switchover, the old primary rejects writes while it completes earlier ones and still serves reads as
// primary. These responses must not make it the cached primary again.
func TestPrimaryDoesNotFlapDuringSwitchover(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	old, q := h.request("write"), h.request("write")
	h.expectSends(h.step(ms, old, q), "a", "a")
	h.expectSends(h.step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.step(5*ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "b", Status: StatusMiss, Role: RoleReplica})
	h.step(ms, AttemptResult{ID: q.ID, Attempt: 2, Endpoint: "c", Status: StatusMiss, Role: RoleReplica})
	acts := h.step(
		5*ms,
		AttemptResult{ID: old.ID, Endpoint: "a", Status: StatusDone, Elapsed: 15 * ms, Finished: true, Role: RolePrimary},
	)
	h.expectSends(acts)
	r := h.request("any")
	for n := 0; n < 10; n++ { // until the random draw selects a
		s := actionsOf[Send](h.step(ms, r))
		if len(s) == 1 && s[0].Endpoint == "a" {
			break
		}
		r = h.request("any")
	}
	h.expectSends(
		h.step(
			5*ms,
			AttemptResult{ID: r.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary},
		),
	)
}

// Only this instance can't reach a primary whose group goes on committing, so the primary is tried again for writes.
func TestUnreachablePrimaryOfACommittingGroupIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, h.request("any"))
	h.reportAll("a")
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	for i, id := range []string{"b", "c"} {
		h.step(
			ms,
			AttemptResult{ID: q.ID, Attempt: i + 1, Endpoint: id, Status: StatusMiss, Role: RoleReplica, Position: h.now},
		)
	}
	acts := []Action{}
	for range 60 {
		acts = append(acts, h.step(10*ms,
			HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})...)
	}
	h.expectSends(acts, "a")
}

// All endpoints have responded as replicas. After one of them is promoted, a write must try them again, without any
// health check.
func TestSuccessorThatWasAReplicaIsTriedAgain(t *testing.T) {
	c := testConfig()
	c.HealthChecks = false
	h := newHarness(t, c, threeEndpoints(ListCached))
	write := func(primary string) (served bool) {
		acts := h.step(100*ms, h.request("write"))
		for range 6 {
			for _, s := range actionsOf[Send](acts) {
				o := AttemptResult{
					ID:       s.ID,
					Attempt:  h.attempts(s.ID) - 1,
					Endpoint: s.Endpoint,
					Status:   StatusMiss,
					Elapsed:  ms,
					Role:     RoleReplica,
				}
				if s.Endpoint == primary {
					o.Status, o.Role, o.Finished, served = StatusDone, RolePrimary, true, true
				}
				acts = h.step(ms, o)
			}
		}
		return served
	}
	if write("") {
		t.Fatal("write served while no endpoint is primary, want it not served")
	}
	h.step(time.Second)
	if !write("c") {
		t.Fatal("write not served after c was promoted, want c tried again")
	}
}
