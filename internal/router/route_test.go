package router

import (
	"testing"
	"time"

	"limeladder/balance"
)

func TestEarliestTakesZeroForNone(t *testing.T) {
	for _, test := range []struct{ a, b, want time.Duration }{
		{0, 0, 0}, {1, 0, 1}, {0, 1, 1}, {1, 2, 1}, {2, 1, 1}, {-1, 3, 3}, {3, -1, 3}, {-1, -1, 0},
	} {
		if got := earliest(test.a, test.b); got != test.want {
			t.Errorf("earliest(%d, %d) is %d, not %d", test.a, test.b, got, test.want)
		}
	}
}

func TestSessionIDIsNeverZeroAndHas53BitsAtMost(t *testing.T) {
	for _, session := range []string{"s", "another session", "\x00"} {
		id := sessionID(session)
		if id <= 0 || id >= 1<<53 || id != sessionID(session) {
			t.Errorf("session %q has the id %d", session, id)
		}
	}
}

// A cancellation that crosses the start of a response, or is for an earlier attempt, cancels nothing.
func TestOnlyTheNewestAttemptWithoutResponseIsCancelled(t *testing.T) {
	req := &request{}
	req.attempts.request()
	second := req.attempts.request()
	if second != 1 || !req.acceptsCancel(1) || req.acceptsCancel(0) {
		t.Errorf("after two attempts: %+v", req.attempts)
	}
	req.attempts.responseStarted = true
	if req.acceptsCancel(1) {
		t.Error("its response would be cut off")
	}
}

func TestOrderingFollowsTheConsistencyOfTheClass(t *testing.T) {
	router := &Router{classes: map[string]balance.Class{
		"any":     {Consistency: balance.ConsistencyAny},
		"session": {Consistency: balance.ConsistencySession},
		"latest":  {Consistency: balance.ConsistencyLatest},
		"write":   {Consistency: balance.ConsistencyWrite},
		"key":     {Consistency: balance.ConsistencyAny, Idempotency: balance.IdempotentWithKey},
	}}
	for class, want := range map[string]Ordering{
		"any":     {},
		"session": {ReadsOwnWrites: true},
		"latest":  {ReadsAllWrites: true},
		"write":   {Writes: true},
		"key":     {Writes: true},
	} {
		if got := router.OrderingOf(class); got != want {
			t.Errorf("%s: %+v, not %+v", class, got, want)
		}
	}
}
