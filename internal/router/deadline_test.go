package router

import (
	"fmt"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
)

func TestRequestExpiredBeforeItWasReadIsRejectedAndNeverSent(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			runFor(router, loop, 50*time.Millisecond, func() {
				receivedAt := loop.Now() - 195*time.Millisecond
				req := Request{Class: class, Deadline: 200 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
				accept(t, router, req, client)
			})
			if client.rejected != 1 || client.answers() != 1 || client.retryAfter <= 0 {
				t.Errorf("%+v", client)
			}
			if len(peers.attempts) > 0 || router.InFlight() != 0 || router.Counts().Expired != 1 {
				t.Errorf("%d attempts, %d in flight, %+v", len(peers.attempts), router.InFlight(), router.Counts())
			}
		})
	}
}

// A request that was queued unread for a part of its time has the rest of it, counted from its receipt.
func TestDeadlineCountsFromReceipt(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop}
	var acceptedAt time.Duration
	runFor(router, loop, time.Second, func() {
		acceptedAt = loop.Now()
		receivedAt := acceptedAt - 200*time.Millisecond
		req := Request{Class: readClass, Deadline: 900 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
		accept(t, router, req, client)
	})
	if len(peers.attempts) != 1 {
		t.Fatalf("%d attempts", len(peers.attempts))
	}
	if left := peers.attempts[0].Deadline - acceptedAt; left != 690*time.Millisecond {
		t.Fatalf("the attempt has %v", left)
	}
	if client.rejected != 1 || client.answers() != 1 {
		t.Fatalf("%+v", client)
	}
}

func TestFinalAnswerComesBeforeClientDeadline(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			var receivedAt time.Duration
			runFor(router, loop, 200*time.Millisecond, func() {
				receivedAt = loop.Now()
				req := Request{Class: class, Deadline: 120 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
				accept(t, router, req, client)
			})
			if len(peers.attempts) == 0 || !peers.attempts[0].ended {
				t.Fatal("its attempt is still in flight")
			}
			// Only a write that was written may have run with an effect.
			want := map[string]int{readClass: client.rejected, writeClass: client.failed}
			if client.answers() != 1 || want[class] != 1 {
				t.Fatalf("%+v", client)
			}
			if elapsed := client.answeredAt - receivedAt; elapsed >= 120*time.Millisecond {
				t.Logf("answered after %v", elapsed) // a busy machine may be late; the order is what is tested
			}
			if client.rejected == 1 && client.retryAfter <= 0 {
				t.Fatal("a rejection that does not say when to retry")
			}
			if router.InFlight() != 0 {
				t.Fatalf("%d in flight", router.InFlight())
			}
		})
	}
}

func TestUnwrittenRequestIsRejected(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	peers.written = false
	client := &fakeClient{loop: loop}
	runFor(router, loop, 200*time.Millisecond, func() {
		req := Request{Class: writeClass, Deadline: 120 * time.Millisecond, ReceivedAt: loop.Now(), Job: 1}
		accept(t, router, req, client)
	})
	if client.rejected != 1 || client.answers() != 1 {
		t.Fatalf("%+v", client)
	}
}

// A request that is accepted late in a shutdown is answered before the platform ends the process, although its client
// would wait longer.
func TestShutdownDeadlineBoundsLateRequests(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, _, loop := newTestRouter(t)
			early := &fakeClient{loop: loop}
			late := &fakeClient{loop: loop}
			last := &fakeClient{loop: loop}
			send := func(job int, client Client) {
				req := Request{Class: class, Deadline: time.Second, ReceivedAt: loop.Now(), Job: job}
				accept(t, router, req, client)
			}
			runFor(router, loop, 400*time.Millisecond, func() {
				send(1, early)
				router.SetShutdownDeadline(loop.Now() + 100*time.Millisecond)
				send(2, late)
				loop.AfterFunc(150*time.Millisecond, func() { send(3, last) })
			})
			if early.answers() != 0 && early.answeredAt <= late.answeredAt {
				t.Errorf("accepted before the shutdown: %+v", early)
			}
			if late.answers() != 1 {
				t.Errorf("accepted during the shutdown: %+v", late)
			}
			if last.rejected != 1 || last.answers() != 1 {
				t.Errorf("accepted after the shutdown deadline: %+v", last)
			}
		})
	}
}

// Each request gets one answer, no later than it was meant to leave, to the nanosecond: queued for a failover, queued
// in the balancer, or in flight at an endpoint that never answers. The clock is the test's own, so that a busy machine
// has no influence.
func TestEachAnswerIsInTimeInVirtualTime(t *testing.T) {
	t.Run("silent endpoints", func(t *testing.T) {
		run := playInVirtualTime(t, true, false)
		if len(run.peers.attempts) == 0 {
			t.Error("nothing was sent")
		}
	})
	t.Run("no primary", func(t *testing.T) {
		playInVirtualTime(t, false, false)
	})
	t.Run("failover queue", func(t *testing.T) {
		run := playInVirtualTime(t, true, true)
		if len(run.peers.attempts) == 0 {
			t.Error("nothing was sent")
		}
		if run.maxPending < 50 {
			t.Errorf("%d queued at most", run.maxPending)
		}
	})
}

// virtualRun is a router that is asked for 400 answers in virtual time.
type virtualRun struct {
	router     *Router
	peers      *fakePeers
	loop       *eventloop.Loop
	clock      time.Duration
	requests   []virtualRequest
	maxPending int // in the failover queue at once
}

type virtualRequest struct {
	client     *fakeClient
	class      string
	receivedAt time.Duration
	answerBy   time.Duration
}

// playInVirtualTime sends all requests, runs until nothing is left to do, and checks their answers.
func playInVirtualTime(t *testing.T, primary, withQueue bool) *virtualRun {
	t.Helper()
	run := &virtualRun{clock: time.Hour}
	run.loop = eventloop.NewWithClock(func() time.Duration { return run.clock })
	run.router, run.peers = newTestRouterOn(t, run.loop, primary)
	if withQueue {
		enableTestFailoverQueue(run.router)
		suspectPrimary(run.router)
	}
	for i := range 400 {
		run.send(t, i)
	}
	end := run.clock + 8*time.Second
	for run.clock < end {
		next := run.loop.RunOnce(run.router.Step)
		if withQueue {
			run.maxPending = max(run.maxPending, run.router.FailoverViews()[0].Pending)
		}
		if next == 0 {
			break
		}
		run.clock = max(run.clock, next)
	}
	run.check(t)
	return run
}

// send schedules request i: one each 7 ms, each fourth a read, with all kinds of deadlines.
func (run *virtualRun) send(t *testing.T, i int) {
	t.Helper()
	delay := time.Duration(i) * 7 * time.Millisecond
	class := writeClass
	if i%4 == 3 {
		class = readClass
	}
	req := Request{
		Class:           class,
		ClientRequestID: fmt.Sprint("r", i),
		Deadline:        time.Duration(20+i*37%3000) * time.Millisecond,
		ReceivedAt:      run.clock + delay,
		Job:             i,
	}
	client := &fakeClient{loop: run.loop}
	run.requests = append(run.requests, virtualRequest{
		client:     client,
		class:      class,
		receivedAt: req.ReceivedAt,
		answerBy:   req.ReceivedAt + req.Deadline - run.router.answerMargin(req.Deadline),
	})
	run.loop.AfterFunc(delay, func() { accept(t, run.router, req, client) })
}

func (run *virtualRun) check(t *testing.T) {
	t.Helper()
	for i, req := range run.requests {
		answers := req.client.answers()
		answeredAt := req.client.answeredAt
		if answers != 1 || answeredAt > req.answerBy || answeredAt < req.receivedAt {
			t.Errorf("r%d, a %s: %d answers, after %v of %v", i, req.class, answers,
				answeredAt-req.receivedAt, req.answerBy-req.receivedAt)
		}
	}
	if n := run.router.InFlight(); n != 0 {
		t.Errorf("%d in flight", n)
	}
}

// The balancer hears when a response began to arrive, not when a slow peer had sent all of it.
func TestElapsedEndsWithFirstByte(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	var elapsed time.Duration
	runFor(router, loop, 200*time.Millisecond, func() {
		now := loop.Now()
		req := Request{Class: readClass, Deadline: time.Second, ReceivedAt: now, Job: 1}
		accept(t, router, req, &fakeClient{loop: loop})
		loop.AfterFunc(150*time.Millisecond, func() {
			result := Result{Status: balance.StatusDone, ResponseStartedAt: now + 10*time.Millisecond}
			peers.attempts[0].done(result)
			last := router.balancerEvents[len(router.balancerEvents)-1]
			elapsed = last.(balance.AttemptResult).Elapsed
		})
	})
	if elapsed > 10*time.Millisecond {
		t.Fatal(elapsed)
	}
}
