package balance

import (
	"testing"
	"time"
)

// A lag that an endpoint reported seconds ago must not keep it out for good.
func TestOldLagIsForgotten(t *testing.T) {
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

func TestBoundedReadsGoToThePrimaryWhenPositionsAge(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(299*ms, h.request("bounded")), "bc")
	h.failAllHealthChecks()
	h.expectSends(h.step(2*ms, h.request("bounded")), "a")
}

func TestSessionReadNeedsItsCommit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("session")
	q.SinceSessionWrite = 10 * ms
	h.expectSends(h.step(5*ms, q), "bc") // committed 5 ms before the positions were told
	h.failAllHealthChecks()
	q = h.request("session")
	q.SinceSessionWrite = 4 * ms
	h.expectSends(h.step(5*ms, q), "a")
}

func TestRememberedCommit(t *testing.T) {
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

// A primary that was replaced while it was away may still call itself primary: its old data must not count as new.
func TestPrimaryRoleIsNoPosition(t *testing.T) {
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
