package router

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
)

// When a client disconnects, the attempt of a read is cancelled, while a write runs to its end. Neither is answered.
func TestDisconnectCancelsReadsOnly(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			runFor(router, loop, 100*time.Millisecond, func() {
				req := Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: 1}
				id := accept(t, router, req, client)
				loop.AfterFunc(20*time.Millisecond, func() { router.Disconnect(id) })
			})
			cancelled := class == readClass
			if len(peers.attempts) != 1 || peers.attempts[0].ended != cancelled {
				t.Errorf("got %d attempts: %+v, want one, cancelled only for a read", len(peers.attempts), peers.attempts)
			}
			if client.answers() != 0 || (router.InFlight() == 0) != cancelled {
				t.Errorf("got %+v, %d in flight, want no answer, and only a write in flight", client, router.InFlight())
			}
		})
	}
}

// No attempt, neither the first one nor a retry, starts for a client that has disconnected, even if Disconnect was not
// called yet. An attempt that still waits for a backend connection when its client disconnects is not written. Both
// hold for reads and writes.
func TestNoAttemptStartsForADisconnectedClient(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			t.Run("before the first attempt", func(t *testing.T) { disconnectBeforeFirstAttempt(t, class) })
			t.Run("before a retry", func(t *testing.T) { disconnectBeforeRetry(t, class) })
			t.Run("before the attempt is written", func(t *testing.T) { disconnectBeforeWrite(t, class) })
		})
	}
}

func disconnectBeforeFirstAttempt(t *testing.T, class string) {
	t.Helper()
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop, disconnected: true}
	runFor(router, loop, 100*time.Millisecond, func() {
		accept(t, router, Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: 1}, client)
	})
	if router.Counts().Disconnected != 1 {
		t.Errorf("got %+v, want 1 disconnected", router.Counts())
	}
	checkNoAnswerAndNothingInFlight(t, router, peers, client, 0)
}

func disconnectBeforeRetry(t *testing.T, class string) {
	t.Helper()
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop}
	runFor(router, loop, 200*time.Millisecond, func() {
		accept(t, router, Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: 1}, client)
		loop.AfterFunc(20*time.Millisecond, func() {
			client.disconnected = true
			peers.attempts[0].end(balance.StatusBusy)
		})
	})
	checkNoAnswerAndNothingInFlight(t, router, peers, client, 1)
}

func disconnectBeforeWrite(t *testing.T, class string) {
	t.Helper()
	router, peers, loop := newTestRouter(t)
	peers.written = false
	client := &fakeClient{loop: loop}
	runFor(router, loop, 100*time.Millisecond, func() {
		req := Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: 1}
		id := accept(t, router, req, client)
		loop.AfterFunc(20*time.Millisecond, func() {
			client.disconnected = true
			if !peers.attempts[0].Abandoned() {
				t.Error("the attempt is not reported as abandoned")
			}
			router.Disconnect(id)
		})
	})
	checkNoAnswerAndNothingInFlight(t, router, peers, client, 1)
	if !peers.attempts[0].ended {
		t.Error("the attempt was not cancelled")
	}
}

// checkNoAnswerAndNothingInFlight checks that a request has had the given number of attempts and no answer,
// and that it is no longer in flight.
func checkNoAnswerAndNothingInFlight(t *testing.T, router *Router, peers *fakePeers, client *fakeClient, attempts int) {
	t.Helper()
	if len(peers.attempts) != attempts {
		t.Fatalf("got %d attempts, want %d", len(peers.attempts), attempts)
	}
	if client.answers() != 0 || router.InFlight() != 0 {
		t.Errorf("got %+v, %d in flight, want no answer and 0 in flight", client, router.InFlight())
	}
}

// A client that had left came again under the id of its write, which was still running or had just run, and the write
// ran twice. The id is taken while the attempt runs and for a while after it; that of a write that has not run is free.
func TestWriteOfDepartedClientIsNotRunAgain(t *testing.T) {
	for _, test := range []struct {
		name    string
		class   string
		status  balance.Status
		again   time.Duration // when the client comes again
		wantErr error
	}{
		{"while it runs", writeClass, balance.StatusDone, 30 * time.Millisecond, ErrDuplicateRequest},
		{"after it has run", writeClass, balance.StatusDone, 100 * time.Millisecond, ErrDuplicateRequest},
		{"after it may have run", writeClass, balance.StatusReset, 100 * time.Millisecond, ErrDuplicateRequest},
		{"after it was refused", writeClass, balance.StatusBusy, 100 * time.Millisecond, nil},
		{"long after it has run", writeClass, balance.StatusDone, departedWriteTime + time.Second, nil},
		{"a read", readClass, balance.StatusDone, 100 * time.Millisecond, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Hour
			loop := eventloop.NewWithClock(func() time.Duration { return now })
			router, peers := newTestRouterOnLoop(t, loop, true)
			request := Request{
				ClientRequestID: "same", Class: test.class, ClientTimeout: time.Second, ReceivedAt: now, Job: 1,
			}
			id := accept(t, router, request, &fakeClient{loop: loop})
			loop.RunOnce(router.Step)
			router.Disconnect(id)
			now += 50 * time.Millisecond
			if test.again > 50*time.Millisecond && !peers.attempts[0].ended {
				peers.attempts[0].end(test.status)
				loop.RunOnce(router.Step)
				now += test.again
			}
			request.ReceivedAt = now
			request.Job = 2
			if _, err := router.Accept(request, &fakeClient{loop: loop}); !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v for the request that comes again, want %v", err, test.wantErr)
			}
		})
	}
}

// The ids that are remembered are bounded in number.
func TestDepartedWritesAreBounded(t *testing.T) {
	departed := newDepartedWrites()
	for i := range 3 * maxDepartedWrites {
		departed.add(strconv.Itoa(i), time.Duration(i))
	}
	if len(departed.ids) > maxDepartedWrites || len(departed.order) != len(departed.ids) {
		t.Errorf("got %d ids in an order of %d, want at most %d", len(departed.ids), len(departed.order), maxDepartedWrites)
	}
	newest := strconv.Itoa(3*maxDepartedWrites - 1)
	if !departed.contains(newest, 0) || departed.contains("0", 0) {
		t.Error("want the newest id remembered and the oldest one forgotten")
	}
}
