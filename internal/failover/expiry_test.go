package failover

import (
	"testing"
	"time"
)

func TestWorkEstimates(t *testing.T) {
	work := newWorkEstimates(map[string]Class{"job": {Work: 10 * ms}})
	if got := work.expected("job"); got != 10*ms {
		t.Errorf("expected duration is %v before a measurement, want 10ms", got)
	}
	work.record("job", 20*ms)
	if got := work.expected("job"); got != 11*ms {
		t.Errorf("expected duration is %v after a measurement of 20 ms, want 11ms", got)
	}
	if got := work.expected("unknown"); got != 0 {
		t.Errorf("expected duration is %v for an unknown class, want 0", got)
	}
}

// rejections calls Tick and returns the requests that are rejected, with the reasons.
func rejections(tracker *Tracker, now time.Duration) map[string]Reason {
	tracker.Tick(now)
	reasons := map[string]Reason{}
	for _, action := range tracker.Actions() {
		if action.Kind == ActionReject {
			reasons[action.ID] = action.Reason
		}
	}
	return reasons
}

func TestRequestsExpire(t *testing.T) {
	cfg := testConfig()
	cfg.MaxPendingTime = 300 * ms
	tracker := newTestTracker(cfg, 1, 1)
	tracker.SuspectPrimary(0, 0, "n0-0")
	tracker.Enqueue(0, Request{ID: "deadline", Class: "job", Deadline: 220 * ms}) // less 10 ms margin and 10 ms work
	tracker.Enqueue(0, Request{ID: "first", Class: "job", Deadline: time.Minute})
	tracker.Enqueue(100*ms, Request{ID: "second", Class: "job", Deadline: time.Minute})
	for _, step := range []struct {
		now    time.Duration
		id     string // "" = none
		reason Reason
	}{
		{200*ms - 1, "", 0},
		{200 * ms, "deadline", ReasonDeadline},
		{300*ms - 1, "", 0},
		{300 * ms, "first", ReasonQueueTimeout},
		{400*ms - 1, "", 0},
		{400 * ms, "second", ReasonQueueTimeout},
	} {
		got := rejections(tracker, step.now)
		if step.id == "" {
			if len(got) != 0 {
				t.Fatalf("at %v: rejected %v, want none", step.now, got)
			}
			continue
		}
		if reason, ok := got[step.id]; !ok || reason != step.reason || len(got) != 1 {
			t.Fatalf("at %v: rejected %v, want %s: %v", step.now, got, step.id, step.reason)
		}
	}
}

// Tick returns the time at which the next request expires.
func TestTickReturnsNextExpiry(t *testing.T) {
	tracker := New(testConfig(), 1)
	tracker.Enqueue(0, Request{ID: "q", Class: "job", Deadline: 220 * ms})
	if next := tracker.Tick(0); next != 200*ms {
		t.Fatalf("next tick is at %v, want 200ms", next)
	}
	tracker.RequestDone(1, 0, "q")
	if next := tracker.Tick(1); next != 0 {
		t.Fatalf("next tick is at %v with an empty queue, want 0", next)
	}
}
