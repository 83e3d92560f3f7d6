package balance

import (
	"testing"
	"time"
)

func TestReplicationPositionOnlyAdvances(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name     string
		reported Time
		want     Time
	}{
		{"newer", 6 * time.Second, 6 * time.Second},
		{"older", 4 * time.Second, 5 * time.Second},
		{"in the future", 11 * time.Second, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := replicationState{position: 5 * time.Second}
			state.advance(c.reported, now)
			if state.position != c.want {
				t.Errorf("position %v, want %v", state.position, c.want)
			}
		})
	}
}

func TestReplicationKnownBehind(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name      string
		lag       time.Duration
		reported  time.Duration // age of the report
		staleness time.Duration // bound of the read
		want      bool
	}{
		{"recent enough", 100 * ms, ms, 300 * ms, false},
		{"too old", 400 * ms, ms, 300 * ms, true},
		{"too old, but the report is older than the active window", 400 * ms, activeWindow, 300 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var state replicationState
			state.observeLag(c.lag, now-c.reported)
			if got := state.knownBehind(now-c.staleness, now); got != c.want {
				t.Errorf("knownBehind() = %v, want the opposite", got)
			}
		})
	}
}

// A lag that an endpoint reported seconds ago must not exclude it permanently.
func TestOldLagIsIgnored(t *testing.T) {
	c := testConfig()
	c.FreshnessCheck = FreshnessCheckReject
	h := newReadyHarness(t, c)
	h.now += 500 * ms
	for _, id := range []string{"b", "c"} {
		q := h.request("any")
		for s := ""; s != id; {
			q = h.request("any")
			s = h.expectSends(h.step(0, q), "bc")[0].Endpoint
		}
		h.step(
			ms,
			AttemptResult{
				ID:       q.ID,
				Endpoint: id,
				Status:   StatusDone,
				Finished: true,
				Role:     RoleReplica,
				Position: h.now - time.Second,
			},
		)
	}
	h.expectSends(h.step(ms, h.request("bounded")), "a")
	h.expectSends(h.step(3*time.Second, h.request("bounded")), "bc")
}

func TestBoundedReadsGoToThePrimaryWhenPositionsExpire(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(299*ms, h.request("bounded")), "bc")
	h.failAllHealthChecks()
	h.expectSends(h.step(2*ms, h.request("bounded")), "a")
}

func TestSessionReadNeedsItsCommit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("session")
	q.SinceSessionWrite = 10 * ms
	h.expectSends(h.step(5*ms, q), "bc") // committed 5 ms before the positions were reported
	h.failAllHealthChecks()
	q = h.request("session")
	q.SinceSessionWrite = 4 * ms
	h.expectSends(h.step(5*ms, q), "a")
}

func TestSessionReadWithoutTokenNeedsItsCommit(t *testing.T) {
	c := testConfig()
	c.ClientSessionTokens = false
	h := newReadyHarness(t, c)
	w := h.request("write")
	h.expectSends(h.step(ms, w), "a")
	h.step(
		20*ms,
		AttemptResult{
			ID:       w.ID,
			Endpoint: "a",
			Status:   StatusDone,
			Elapsed:  20 * ms,
			Finished: true,
			Role:     RolePrimary,
			Position: h.now,
		},
	)
	h.failAllHealthChecks()
	h.expectSends(h.step(ms, h.request("session")), "a")
	h.step(20*ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})
	h.expectSends(h.step(ms, h.request("session")), "b")
}

// A former primary that returns may still report itself as primary. Its old data must not count as recent.
func TestPrimaryRoleIsNotEvidenceOfPosition(t *testing.T) {
	c := testConfig()
	h := newReadyHarness(t, c)
	h.now += time.Second
	q := h.request("latest")
	h.expectSends(h.step(0, q), "a")
	h.step(
		5*ms,
		AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary},
	)
	w := h.request("write")
	h.expectSends(h.step(ms, w), "a")
	h.step(ms, AttemptResult{ID: w.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica})
	h.failAllHealthChecks()
	for range 10 {
		h.expectSends(h.step(ms, h.request("bounded")))
	}
}
