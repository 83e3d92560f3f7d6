package balance

import (
	"testing"
)

func TestNonIdempotentWriteIsNeverRepeated(t *testing.T) {
	for _, s := range []Status{StatusError, StatusTimedOut, StatusReset, StatusCancelled} {
		h := newReadyHarness(t, testConfig())
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		acts := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: s})
		h.expectSends(acts)
		if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Reject](acts)) != 0 {
			t.Fatalf("status %d: %v, want one failure", s, acts)
		}
	}
}

func TestNonIdempotentWriteThatNeverRanIsRetried(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed}))
	h.expectSends(h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed}), "b")
}

func TestIdempotencyKeyAllowsRepeatsInsideTheWindow(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("keyed")
	h.expectSends(h.step(ms, q), "a")
	first := h.now
	repeat := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusError, Role: RolePrimary})
	h.expectSends(repeat, "a")
	// A repeat that waits for its connection is not written behind the window either.
	if by := actionsOf[Send](repeat)[0].NotAfter; by == 0 || by >= first+h.balancer.classes["keyed"].IdempotencyWindow {
		t.Fatalf(
			"the repeat may be written until %v, the window ends at %v",
			by,
			first+h.balancer.classes["keyed"].IdempotencyWindow,
		)
	}
	acts := h.step(460*ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "a", Status: StatusError, Role: RolePrimary})
	h.expectSends(acts)
	for range 100 {
		acts = append(acts, h.step(10*ms)...)
	}
	if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts)) != 0 || len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("%v, want one failure and no send", acts)
	}
}
