package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// If the queue is full, the least valuable request of the client with the most queued requests is rejected. A request
// that can't be served before its deadline is rejected immediately. The Retry-After of both follows the expected
// duration of the failover.
func TestRejectionOrderOfFullQueue(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	tracker.SuspectPrimary(0, 0, "n0-0")
	tracker.Actions()

	tracker.Enqueue(1, Request{ID: "late", Class: "job", Client: "a", Deadline: 20 * ms})
	late := tracker.Actions()
	if len(late) != 1 || late[0].Kind != ActionReject || late[0].Reason != ReasonDeadline {
		t.Fatalf("actions are %+v, want one rejection for the deadline", late)
	}
	if wait := late[0].RetryAfter; wait < defaultFailoverDuration || wait > defaultFailoverDuration*5/4 {
		t.Fatalf("retry after %v, want the default failover duration and at most a quarter more", wait)
	}

	for i := range 19 {
		tracker.Enqueue(2, Request{ID: fmt.Sprint("a", i), Class: "job", Client: "a", Deadline: time.Minute})
	}
	tracker.Enqueue(2, Request{ID: "b0", Class: "small", Client: "b", Deadline: time.Minute})
	tracker.Enqueue(3, Request{ID: "b1", Class: "small", Client: "b", Deadline: time.Minute})
	tracker.Enqueue(4, Request{ID: "a-small", Class: "small", Client: "a", Deadline: time.Minute})
	var rejected []string
	for _, action := range tracker.Actions() {
		if action.Kind != ActionReject || action.Reason != ReasonQueueFull {
			t.Fatalf("action is %+v, want a rejection because the queue is full", action)
		}
		rejected = append(rejected, action.ID)
	}
	if !slices.Equal(rejected, []string{"a18", "a-small"}) {
		t.Fatalf("rejected %v, want a18 and a-small", rejected)
	}

	// A failover that has lasted longer than usual is expected to last for half of that time again.
	tracker.Enqueue(10*time.Second, Request{ID: "now", Class: "job", Deadline: 10*time.Second + ms})
	for _, action := range tracker.Actions() {
		if action.ID == "now" && action.RetryAfter < 4*time.Second {
			t.Fatalf("action is %+v, want a RetryAfter of at least 4s", action)
		}
	}
}

func TestQueueIsBoundedInBytes(t *testing.T) {
	cfg := testConfig()
	tracker := newTestTracker(cfg, 1, 1)
	tracker.SuspectPrimary(0, 0, "n0-0")
	tracker.Actions()
	tracker.Enqueue(1, Request{ID: "fits", Class: "job", Deadline: time.Minute, Size: cfg.MaxPendingBytes})
	tracker.Enqueue(1, Request{ID: "empty", Class: "job", Deadline: time.Minute})
	if actions := tracker.Actions(); len(actions) != 0 {
		t.Fatalf("actions are %+v within the bound, want none", actions)
	}
	tracker.Enqueue(1, Request{ID: "too much", Class: "small", Deadline: time.Minute, Size: cfg.MaxPendingBytes + 1})
	if tracker.IsPending("too much") || tracker.pending.bytes > cfg.MaxPendingBytes {
		t.Fatalf("%d bytes are queued, want at most MaxPendingBytes, and the request that exceeds it rejected",
			tracker.pending.bytes)
	}
}

func TestShouldQueue(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 2)
	check := func(when string, group int64, class string, want bool) {
		t.Helper()
		if got := tracker.ShouldQueue(group, class); got != want {
			t.Errorf("%s: ShouldQueue(%d, %q) is %v, want the opposite", when, group, class, got)
		}
	}
	check("steady", 0, "job", false)
	check("unknown group", 9, "job", false)
	tracker.SuspectPrimary(1, 0, "n0-0")
	check("primary lost", 0, "job", true)
	check("primary lost", 0, "unknown class", false)
	check("primary of another group lost", 1, "job", false)
	for i := range int(2 * initialReleaseLimit) {
		tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Minute})
	}
	tracker.ObservePrimary(3, 0, "n0-1")
	check("while the queue is being released", 0, "job", true)
	releaseAll(tracker)
	check("after the release of the queue", 0, "job", false)
}
