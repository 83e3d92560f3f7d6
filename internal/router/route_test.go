package router

import (
	"testing"
	"time"

	"limeladder/balance"
)

func TestEarliestIgnoresUnsetTimes(t *testing.T) {
	for _, test := range []struct{ a, b, want time.Duration }{
		{0, 0, 0}, {1, 0, 1}, {0, 1, 1}, {1, 2, 1}, {2, 1, 1}, {-1, 3, 3}, {3, -1, 3}, {-1, -1, 0},
	} {
		if got := earliest(test.a, test.b); got != test.want {
			t.Errorf("earliest(%d, %d) = %d, want %d", test.a, test.b, got, test.want)
		}
	}
}

func TestSessionIDIsPositiveAndFitsIn53Bits(t *testing.T) {
	for _, session := range []string{"s", "another session", "\x00"} {
		id := sessionID(session)
		if id <= 0 || id >= 1<<53 || id != sessionID(session) {
			t.Errorf("session %q: got id %d, want a stable id from 1 to 1<<53 - 1", session, id)
		}
	}
}

// A cancellation of an earlier attempt, or one that arrives after the response has started, is ignored.
func TestOnlyTheNewestAttemptWithoutResponseIsCancelled(t *testing.T) {
	req := &request{}
	req.attempts.nextNumber()
	second := req.attempts.nextNumber()
	if second != 1 || !req.acceptsCancel(1) || req.acceptsCancel(0) {
		t.Errorf("after two attempts: got %+v, want only attempt 1 to accept a cancellation", req.attempts)
	}
	req.attempts.responseStarted = true
	if req.acceptsCancel(1) {
		t.Error("an attempt whose response has started accepts a cancellation")
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
			t.Errorf("class %s: got %+v, want %+v", class, got, want)
		}
	}
}
