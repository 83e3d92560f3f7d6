package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// When the queue is full the least valuable request of the client that has the most queued is rejected; one that
// can't be answered in time is rejected at once; each with a time to retry that follows the failover.
func TestWhichRequestIsRejectedFirst(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	tracker.SuspectPrimary(0, 0, "n0-0")
	tracker.Actions()

	tracker.Enqueue(1, Request{ID: "late", Class: "job", Client: "a", Deadline: 20 * ms})
	late := tracker.Actions()
	if len(late) != 1 || late[0].Kind != ActionReject || late[0].Reason != ReasonDeadline {
		t.Fatalf("%+v", late)
	}
	if wait := late[0].RetryAfter; wait < defaultFailoverDuration || wait > defaultFailoverDuration*5/4 {
		t.Fatalf("retry after %v", wait)
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
			t.Fatalf("%+v", action)
		}
		rejected = append(rejected, action.ID)
	}
	if !slices.Equal(rejected, []string{"a18", "a-small"}) {
		t.Fatalf("%v are rejected", rejected)
	}

	// A failover that lasts longer than usual is expected to go on for longer.
	tracker.Enqueue(10*time.Second, Request{ID: "now", Class: "job", Deadline: 10*time.Second + ms})
	for _, action := range tracker.Actions() {
		if action.ID == "now" && action.RetryAfter < 4*time.Second {
			t.Fatalf("%+v", action)
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
		t.Fatalf("%+v", actions)
	}
	tracker.Enqueue(1, Request{ID: "too much", Class: "small", Deadline: time.Minute, Size: cfg.MaxPendingBytes + 1})
	if tracker.IsPending("too much") || tracker.pending.bytes > cfg.MaxPendingBytes {
		t.Fatalf("%d bytes are queued", tracker.pending.bytes)
	}
}

func TestShouldQueue(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 2)
	check := func(when string, group int64, class string, want bool) {
		t.Helper()
		if got := tracker.ShouldQueue(group, class); got != want {
			t.Errorf("%s: ShouldQueue(%d, %q) is %v", when, group, class, got)
		}
	}
	check("steady", 0, "job", false)
	check("of an unknown group", 9, "job", false)
	tracker.SuspectPrimary(1, 0, "n0-0")
	check("primary lost", 0, "job", true)
	check("primary lost", 0, "unknown class", false)
	check("primary of another group lost", 1, "job", false)
	for i := range int(2 * initialReleaseLimit) {
		tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Minute})
	}
	tracker.ObservePrimary(3, 0, "n0-1")
	check("behind a queue that is being released", 0, "job", true)
	releaseAll(tracker)
	check("with the queue released", 0, "job", false)
}
