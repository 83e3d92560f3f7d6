package balance

import (
	"testing"
)

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     Status
		answered   bool
		reached    bool
		mayHaveRun bool
		retryCost  float64
	}{
		{"done", StatusDone, true, true, false, 1},
		{"error", StatusError, true, true, true, 1},
		{"busy", StatusBusy, true, true, false, 0},
		{"timed out", StatusTimedOut, false, true, true, 1},
		{"connect failed", StatusConnectFailed, false, false, false, 1},
		{"reset", StatusReset, false, true, true, 1},
		{"cancelled", StatusCancelled, false, true, true, 1},
		{"not sent", StatusNotSent, false, false, false, 1},
		{"miss", StatusMiss, true, true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.status.answered(); got != c.answered {
				t.Errorf("answered() = %v, want the opposite", got)
			}
			if got := c.status.reachedEndpoint(); got != c.reached {
				t.Errorf("reachedEndpoint() = %v, want the opposite", got)
			}
			if got := c.status.mayHaveRun(); got != c.mayHaveRun {
				t.Errorf("mayHaveRun() = %v, want the opposite", got)
			}
			if got := c.status.retryCost(); got != c.retryCost {
				t.Errorf("retryCost() = %v, want the cost in the table", got)
			}
		})
	}
}

func TestLateOutcomesAreIgnored(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	s := h.expectSends(h.step(ms, q), "bc")[0]
	done := AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true}
	h.step(ms, done)
	done.Attempt = 7
	h.step(ms, done, AttemptResult{ID: "unknown"})
	if n := len(h.balancer.requests); n != 0 {
		t.Errorf("%d requests are kept, want none", n)
	}
}
