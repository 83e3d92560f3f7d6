package router

import (
	"fmt"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
)

func TestExpiredRequestIsRejectedAndNeverSent(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			runFor(router, loop, 50*time.Millisecond, func() {
				receivedAt := loop.Now() - 195*time.Millisecond
				req := Request{Class: class, ClientTimeout: 200 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
				accept(t, router, req, client)
			})
			if client.rejected != 1 || client.answers() != 1 || client.retryAfter <= 0 {
				t.Errorf("got %+v, want one rejection with a Retry-After", client)
			}
			if len(peers.attempts) > 0 || router.InFlight() != 0 || router.Counts().Expired != 1 {
				t.Errorf("got %d attempts, %d in flight, %+v, want 0 attempts, 0 in flight, 1 expired",
					len(peers.attempts), router.InFlight(), router.Counts())
			}
		})
	}
}

// A request that was queued unread for part of its deadline has only the remaining time, counted from its receipt.
func TestDeadlineCountsFromReceipt(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop}
	var acceptedAt time.Duration
	runFor(router, loop, time.Second, func() {
		acceptedAt = loop.Now()
		receivedAt := acceptedAt - 200*time.Millisecond
		req := Request{Class: readClass, ClientTimeout: 900 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
		accept(t, router, req, client)
	})
	if len(peers.attempts) != 1 {
		t.Fatalf("got %d attempts, want 1", len(peers.attempts))
	}
	if left := peers.attempts[0].Deadline - acceptedAt; left != 690*time.Millisecond {
		t.Fatalf("time left for the attempt is %v, want 690ms", left)
	}
	if client.rejected != 1 || client.answers() != 1 {
		t.Fatalf("got %+v, want one rejection", client)
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
				req := Request{Class: class, ClientTimeout: 120 * time.Millisecond, ReceivedAt: receivedAt, Job: 1}
				accept(t, router, req, client)
			})
			if len(peers.attempts) == 0 || !peers.attempts[0].ended {
				t.Fatal("no attempt was started, or the first one is still in flight")
			}
			// Only a write that was sent to an endpoint may have had an effect.
			want := map[string]int{readClass: client.rejected, writeClass: client.failed}
			if client.answers() != 1 || want[class] != 1 {
				t.Fatalf("got %+v, want one answer: a rejection of the read, a failure of the write", client)
			}
			if elapsed := client.answeredAt - receivedAt; elapsed >= 120*time.Millisecond {
				t.Logf("answered after %v", elapsed) // no error: a busy machine may be late; see TestAnswersAreOnTimeInVirtualTime
			}
			if client.rejected == 1 && client.retryAfter <= 0 {
				t.Fatal("rejection has no Retry-After")
			}
			if router.InFlight() != 0 {
				t.Fatalf("got %d requests in flight, want 0", router.InFlight())
			}
		})
	}
}

func TestUnwrittenRequestIsRejected(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	peers.written = false
	client := &fakeClient{loop: loop}
	runFor(router, loop, 200*time.Millisecond, func() {
		req := Request{Class: writeClass, ClientTimeout: 120 * time.Millisecond, ReceivedAt: loop.Now(), Job: 1}
		accept(t, router, req, client)
	})
	if client.rejected != 1 || client.answers() != 1 {
		t.Fatalf("got %+v, want one rejection", client)
	}
}

// A request that is accepted late in a shutdown is answered before the platform ends the process, even if its client
// would wait longer.
func TestShutdownDeadlineBoundsLateRequests(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, _, loop := newTestRouter(t)
			early := &fakeClient{loop: loop}
			late := &fakeClient{loop: loop}
			last := &fakeClient{loop: loop}
			send := func(job int, client Client) {
				req := Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: job}
				accept(t, router, req, client)
			}
			runFor(router, loop, 400*time.Millisecond, func() {
				send(1, early)
				router.SetShutdownDeadline(loop.Now() + 100*time.Millisecond)
				send(2, late)
				loop.AfterFunc(150*time.Millisecond, func() { send(3, last) })
			})
			if early.answers() != 0 && early.answeredAt <= late.answeredAt {
				t.Errorf("accepted before the shutdown: got %+v, want no answer before that of the later request", early)
			}
			if late.answers() != 1 {
				t.Errorf("accepted during the shutdown: got %+v, want one answer", late)
			}
			if last.rejected != 1 || last.answers() != 1 {
				t.Errorf("accepted after the shutdown deadline: got %+v, want one rejection", last)
			}
		})
	}
}

// Each request gets one answer no later than at its answerBy time, to the nanosecond, whether it is queued for a
// failover, queued in the balancer, or in flight at an endpoint that never answers. The test uses a virtual clock, so
// that the load of the machine has no influence.
func TestAnswersAreOnTimeInVirtualTime(t *testing.T) {
	t.Run("silent endpoints", func(t *testing.T) {
		run := runInVirtualTime(t, true, false)
		if len(run.peers.attempts) == 0 {
			t.Error("got no attempts, want at least one")
		}
	})
	t.Run("no primary", func(t *testing.T) {
		runInVirtualTime(t, false, false)
	})
	t.Run("failover queue", func(t *testing.T) {
		run := runInVirtualTime(t, true, true)
		if len(run.peers.attempts) == 0 {
			t.Error("got no attempts, want at least one")
		}
		if run.maxPending < 50 {
			t.Errorf("got at most %d requests queued at once, want at least 50", run.maxPending)
		}
	})
}

// virtualRun is a run of a router that gets 400 requests in virtual time.
type virtualRun struct {
	router     *Router
	peers      *fakePeers
	loop       *eventloop.Loop
	clock      time.Duration
	requests   []virtualRequest
	maxPending int // highest number of requests in the failover queue
}

type virtualRequest struct {
	client     *fakeClient
	class      string
	receivedAt time.Duration
	answerBy   time.Duration
}

// runInVirtualTime sends all requests, runs the loop until nothing is left to do, and checks the answers.
func runInVirtualTime(t *testing.T, primary, withQueue bool) *virtualRun {
	t.Helper()
	run := &virtualRun{clock: time.Hour}
	run.loop = eventloop.NewWithClock(func() time.Duration { return run.clock })
	run.router, run.peers = newTestRouterOnLoop(t, run.loop, primary)
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

// send schedules request i. There is one every 7 ms, every fourth is a read, and deadlines range from 20 to 3019 ms.
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
		ClientTimeout:   time.Duration(20+i*37%3000) * time.Millisecond,
		ReceivedAt:      run.clock + delay,
		Job:             i,
	}
	client := &fakeClient{loop: run.loop}
	run.requests = append(run.requests, virtualRequest{
		client:     client,
		class:      class,
		receivedAt: req.ReceivedAt,
		answerBy:   req.ReceivedAt + req.ClientTimeout - run.router.answerMargin(req.ClientTimeout),
	})
	run.loop.AfterFunc(delay, func() { accept(t, run.router, req, client) })
}

func (run *virtualRun) check(t *testing.T) {
	t.Helper()
	for i, req := range run.requests {
		answers := req.client.answers()
		answeredAt := req.client.answeredAt
		if answers != 1 || answeredAt > req.answerBy || answeredAt < req.receivedAt {
			t.Errorf("request r%d of class %s: got %d answers, the last after %v, want one within %v", i, req.class, answers,
				answeredAt-req.receivedAt, req.answerBy-req.receivedAt)
		}
	}
	if n := run.router.InFlight(); n != 0 {
		t.Errorf("got %d requests in flight, want 0", n)
	}
}

// The elapsed time that is reported to the balancer ends when the response begins to arrive, not when a slow endpoint
// has sent all of it.
func TestElapsedEndsWithFirstByte(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	var elapsed time.Duration
	runFor(router, loop, 200*time.Millisecond, func() {
		now := loop.Now()
		req := Request{Class: readClass, ClientTimeout: time.Second, ReceivedAt: now, Job: 1}
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
