package balance

import (
	"testing"
	"time"
)

func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget()
	for range int(maxRetryBudget) {
		if !budget.covers(1) {
			t.Fatal("a retry within the saved budget is not covered")
		}
		budget.spend(1)
	}
	if budget.covers(1) {
		t.Fatal("a retry beyond the budget is covered")
	}
	if !budget.covers(0) {
		t.Error("a retry that costs nothing is not covered")
	}
	for range 11 {
		budget.earn()
	}
	if !budget.covers(1) {
		t.Error("a retry is not covered after eleven requests, want it covered after ten")
	}
}

func TestRepeatMayRunTwice(t *testing.T) {
	for _, c := range []struct {
		name       string
		class      Class
		mayHaveRun bool
		want       bool
	}{
		{"has not run", Class{Idempotency: NonIdempotent}, false, false},
		{"idempotent", Class{Idempotency: Idempotent}, true, false},
		{"not idempotent", Class{Idempotency: NonIdempotent}, true, true},
		{"a key known to the group", Class{Idempotency: IdempotentWithKey, IdempotencyScope: ScopeGroup}, true, true},
		{"a key known to all", Class{Idempotency: IdempotentWithKey, IdempotencyScope: ScopeAll}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := &request{class: &classState{Class: c.class}, mayHaveRun: c.mayHaveRun}
			if got := request.repeatMayRunTwice(); got != c.want {
				t.Errorf("repeatMayRunTwice() = %v, want the opposite", got)
			}
		})
	}
}

func TestFirstRunStartsTheIdempotencyWindow(t *testing.T) {
	request := &request{class: &classState{Class: Class{IdempotencyWindow: time.Second}}}
	request.recordRun(&attempt{sentAt: 10 * time.Second, endpoint: &endpoint{zone: "a"}})
	request.recordRun(&attempt{sentAt: 20 * time.Second, endpoint: &endpoint{zone: "b"}})
	if want := 11*time.Second - tickInterval; request.idempotentUntil() != want || request.firstRunZone != "a" {
		t.Errorf("idempotent until %v in zone %s, want %v in zone a", request.idempotentUntil(), request.firstRunZone, want)
	}
}

func TestNonIdempotentWriteIsNeverRepeated(t *testing.T) {
	for _, s := range []Status{StatusError, StatusTimedOut, StatusReset, StatusCancelled} {
		h := newReadyHarness(t, testConfig())
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		acts := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: s})
		h.expectSends(acts)
		if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Reject](acts)) != 0 {
			t.Fatalf("status %d: got actions %v, want one Fail", s, acts)
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

func TestIdempotencyKeyAllowsRepeatsWithinTheWindow(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("keyed")
	h.expectSends(h.step(ms, q), "a")
	first := h.now
	repeat := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusError, Role: RolePrimary})
	h.expectSends(repeat, "a")
	// A repeat that has to wait for its connection must not be written after the window either.
	if by := actionsOf[Send](repeat)[0].NotAfter; by == 0 || by >= first+h.balancer.classes["keyed"].IdempotencyWindow {
		t.Fatalf(
			"the repeat may be written until %v, want a time before %v, the end of the window",
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
		t.Fatalf("got actions %v, want one Fail and no Send", acts)
	}
}
