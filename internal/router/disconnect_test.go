package router

import (
	"testing"
	"time"

	"limeladder/balance"
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
