package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// releasedIDs returns the IDs of the requests in the pending release actions.
func releasedIDs(tracker *Tracker) (ids []string) {
	for _, action := range tracker.Actions() {
		if action.Kind == ActionRelease {
			ids = append(ids, action.ID)
		}
	}
	return ids
}

// Queued requests are released in the order of their deadlines. Few are released at first, more with each response, and
// fewer after the successor has shed a request.
func TestReleaseUsesSlowStart(t *testing.T) {
	cfg := testConfig()
	cfg.MaxPending = 1000
	cfg.MaxPendingBytes = 1 << 20
	cfg.Instances = 4
	tracker := newTestTracker(cfg, 1, 1)
	tracker.SuspectPrimary(1, 0, "n0-0")
	if !slices.Contains(actionKinds(tracker), ActionWithdraw) {
		t.Fatal("no action withdraws the requests from the decision module")
	}
	deadlineOrder := func(i int) int { return i * 37 % 100 }
	for i := range 100 {
		deadline := time.Second + time.Duration(deadlineOrder(i))*ms
		tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Client: fmt.Sprint(i % 9), Deadline: deadline})
	}
	if kinds := actionKinds(tracker); len(kinds) != 0 {
		t.Fatalf("actions are %v while the requests are queued, want none", kinds)
	}
	tracker.ObservePrimary(3, 0, "n0-1")
	released := releasedIDs(tracker)
	if want := int(initialReleaseLimit) / cfg.Instances; len(released) != want {
		t.Fatalf("%d requests are released at first, want %d", len(released), want)
	}
	for i := 0; len(released) < 60; i++ {
		tracker.AttemptEnded(4, "n0-1", released[i], EndAnswered, RolePrimary, 0, "job", 10*ms)
		more := releasedIDs(tracker)
		if len(more) > 2 {
			t.Fatalf("%d requests are released after one response, want at most 2", len(more))
		}
		released = append(released, more...)
	}
	before := len(tracker.groups[0].release.inFlight)
	tracker.AttemptEnded(5, "n0-1", released[len(released)-1], EndRejected, RolePrimary, 0, "", 0)
	if more := releasedIDs(tracker); len(more) != 0 || before < 10 {
		t.Fatalf("%d requests are released after a rejection, want 0; %d were in flight, want at least 10", len(more), before)
	}
	for i := 1; i < len(released); i++ {
		var previous, next int
		if _, err := fmt.Sscan(released[i-1]+" "+released[i], &previous, &next); err != nil {
			t.Fatal(err)
		}
		if deadlineOrder(previous) > deadlineOrder(next) {
			t.Fatalf("%s is released before %s, which has an earlier deadline", released[i-1], released[i])
		}
	}
}

func TestReleaseWindowAdaptsToResults(t *testing.T) {
	for name, test := range map[string]struct {
		limit float64
		end   AttemptEnd
		want  float64
	}{
		"a response":                    {2, EndAnswered, 3},
		"a response at the maximum":     {maxReleaseLimit, EndAnswered, maxReleaseLimit},
		"a rejection":                   {8, EndRejected, 4},
		"a rejection at the minimum":    {1, EndRejected, 1},
		"an unreachable endpoint":       {8, EndUnreachable, 8},
		"an endpoint that is a replica": {8, EndNotPrimary, 8},
		"an inconclusive end":           {8, EndInconclusive, 8},
	} {
		t.Run(name, func(t *testing.T) {
			window := releaseWindow{limit: test.limit}
			window.adapt(test.end)
			if window.limit != test.want {
				t.Errorf("limit is %v, want %v", window.limit, test.want)
			}
		})
	}
}

// Released requests whose end is never reported don't stop the release of the others.
func TestReleaseContinuesWithoutResponses(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = initialReleaseLimit // so that the initial limit is one request
	tracker := newTestTracker(cfg, 1, 1)
	tracker.SuspectPrimary(1, 0, "n0-0")
	for i := range 3 {
		tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Minute})
	}
	tracker.ObservePrimary(3, 0, "n0-1")
	if released := releasedIDs(tracker); len(released) != 1 {
		t.Fatalf("released %v at first, want one request", released)
	}
	tracker.Tick(3 + settleTime - 1)
	if released := releasedIDs(tracker); len(released) != 0 {
		t.Fatalf("released %v before settleTime has passed, want none", released)
	}
	tracker.Tick(3 + settleTime)
	if released := releasedIDs(tracker); len(released) != 1 {
		t.Fatalf("released %v after settleTime, want one request", released)
	}
}

func TestRequestDoneAllowsAnotherRelease(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = initialReleaseLimit // so that the initial limit is one request
	tracker := newTestTracker(cfg, 1, 1)
	tracker.SuspectPrimary(1, 0, "n0-0")
	for _, id := range []string{"a", "b", "c"} {
		tracker.Enqueue(2, Request{ID: id, Class: "job", Deadline: time.Minute})
	}
	tracker.RequestDone(2, 0, "b") // its client has disconnected
	tracker.ObservePrimary(3, 0, "n0-1")
	if released := releasedIDs(tracker); !slices.Equal(released, []string{"a"}) {
		t.Fatalf("released %v at first, want a", released)
	}
	tracker.RequestDone(4, 0, "a")
	if released := releasedIDs(tracker); !slices.Equal(released, []string{"c"}) {
		t.Fatalf("released %v after the end of the first request, want c", released)
	}
	tracker.RequestDone(5, 0, "c")
	if tracker.InProgress() {
		t.Fatal("InProgress is true after the end of all requests, want false")
	}
}
