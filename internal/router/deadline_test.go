package router

import (
	"fmt"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// What waited unread behind others for all of its time is refused at once, and nothing of it is sent on.
func TestRequestExpiredBeforeItWasReadIsRejectedAndNeverSent(t *testing.T) {
	for _, class := range []string{"look", "job"} {
		router, p, l := newTestRouter(t)
		o := &testClient{loop: l}
		var at time.Duration
		runFor(router, l, 50*time.Millisecond, func() {
			at = l.Now()
			if _, err := router.Accept(Request{Class: class, Deadline: 200 * time.Millisecond, ReceivedAt: at - 195*time.Millisecond, Job: 1}, o); err != nil {
				t.Error(err)
			}
		})
		if o.rejected != 1 || o.answers() != 1 || o.retryAfter <= 0 || len(p.calls) > 0 || router.InFlight() != 0 || router.Counts().Expired != 1 {
			t.Fatalf("%s: %+v, %d sent, %d in hand, %+v", class, o, len(p.calls), router.InFlight(), router.Counts())
		}
	}
}

// What waited behind others for a part of its time has the rest of it, counted from when it came.
func TestDeadlineCountsFromReceipt(t *testing.T) {
	router, p, l := newTestRouter(t)
	o := &testClient{loop: l}
	var at time.Duration
	runFor(router, l, time.Second, func() {
		at = l.Now()
		router.Accept(Request{Class: "look", Deadline: 900 * time.Millisecond, ReceivedAt: at - 200*time.Millisecond, Job: 1}, o)
	})
	if len(p.calls) != 1 || p.calls[0].attempt.Deadline != at+690*time.Millisecond {
		t.Fatalf("%d sent, until %v", len(p.calls), p.calls[0].attempt.Deadline-at)
	}
	if o.rejected != 1 || o.answers() != 1 {
		t.Fatalf("%+v", o)
	}
}

// Each request gets one answer, no later than it was meant to leave, to the nanosecond: held through a change of primary, held by
// the module, or out at a db machine that never answers. The clock is the test's own, so no busy machine has a part in it.
func TestEachAnswerIsInTimeInVirtualTime(t *testing.T) {
	for name, c := range map[string]struct{ primary, hold bool }{
		"silent machines": {primary: true}, "no primary": {}, "held": {primary: true, hold: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := time.Hour
			l := eventloop.NewWithClock(func() time.Duration { return clock })
			router, p := newTestRouterOn(t, l, c.primary)
			if c.hold {
				router.EnableFailoverQueue(failover.Config{
					Instances: 1, Classes: map[string]failover.Class{"job": {PriorityWeight: 1, Work: 10 * time.Millisecond}},
					MaxPending: 20_000, MaxPendingBytes: 1 << 30, DeadlineMargin: 10 * time.Millisecond,
				}, 1, nil)
				router.perform(balance.PrimaryUpdate{Group: 0, Endpoint: "n1"}) // it leads no more, and nobody follows
			}
			type owing struct {
				o       *testClient
				class   string
				meant   time.Duration
				arrived time.Duration
			}
			var all []owing
			var held int
			for i := range 400 {
				at, class, deadline := clock+time.Duration(i)*7*time.Millisecond, "job", time.Duration(20+i*37%3000)*time.Millisecond
				if i%4 == 3 {
					class = "look"
				}
				all = append(all, owing{&testClient{loop: l}, class, at + deadline - router.answerMargin(deadline), at})
				l.AfterFunc(at-clock, func() {
					if _, err := router.Accept(Request{Class: class, Label: fmt.Sprint("r", i), Deadline: deadline, ReceivedAt: at, Job: i}, all[i].o); err != nil {
						t.Error(err)
					}
				})
			}
			for end := clock + 8*time.Second; clock < end; {
				next := l.RunOnce(router.Step)
				if c.hold {
					held = max(held, router.FailoverViews()[0].Pending)
				}
				if next == 0 {
					break
				}
				clock = max(clock, next)
			}
			if c.hold && held < 50 {
				t.Fatalf("%d held at most", held)
			}
			if c.primary && len(p.calls) == 0 {
				t.Fatal("nothing was sent")
			}
			for i, a := range all {
				if a.o.answers() != 1 || a.o.answeredAt > a.meant || a.o.answeredAt < a.arrived {
					t.Errorf("r%d, a %s: %d answers, at %v of %v", i, a.class, a.o.answers(), a.o.answeredAt-a.arrived, a.meant-a.arrived)
				}
			}
			if router.InFlight() != 0 {
				t.Errorf("%d in hand", router.InFlight())
			}
		})
	}
}
