package router

import (
	"testing"
	"time"

	"limeladder/balance"
)

// A client that leaves cancels the attempt of its read, and hears nothing; what may change data runs to its end.
func TestDisconnectCancelsReadsOnly(t *testing.T) {
	for _, class := range bothClasses {
		t.Run(class, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			runFor(router, loop, 100*time.Millisecond, func() {
				req := Request{Class: class, Deadline: time.Second, ReceivedAt: loop.Now(), Job: 1}
				id := accept(t, router, req, client)
				loop.AfterFunc(20*time.Millisecond, func() { router.Disconnect(id) })
			})
			cancelled := class == readClass
			if len(peers.attempts) != 1 || peers.attempts[0].ended != cancelled {
				t.Errorf("%d attempts: %+v", len(peers.attempts), peers.attempts)
			}
			if client.answers() != 0 || (router.InFlight() == 0) != cancelled {
				t.Errorf("%+v, %d in flight", client, router.InFlight())
			}
		})
	}
}

// No attempt starts for a client that has left, be it the first one or a retry, although Disconnect was not called
// yet; nor is one written that has no connection yet when its client leaves, whatever the class.
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
		accept(t, router, Request{Class: class, Deadline: time.Second, ReceivedAt: loop.Now(), Job: 1}, client)
	})
	if router.Counts().Disconnected != 1 {
		t.Errorf("%+v", router.Counts())
	}
	checkNothingLeft(t, router, peers, client, 0)
}

func disconnectBeforeRetry(t *testing.T, class string) {
	t.Helper()
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop}
	runFor(router, loop, 200*time.Millisecond, func() {
		accept(t, router, Request{Class: class, Deadline: time.Second, ReceivedAt: loop.Now(), Job: 1}, client)
		loop.AfterFunc(20*time.Millisecond, func() {
			client.disconnected = true
			peers.attempts[0].end(balance.StatusBusy)
		})
	})
	checkNothingLeft(t, router, peers, client, 1)
}

func disconnectBeforeWrite(t *testing.T, class string) {
	t.Helper()
	router, peers, loop := newTestRouter(t)
	peers.written = false
	client := &fakeClient{loop: loop}
	runFor(router, loop, 100*time.Millisecond, func() {
		req := Request{Class: class, Deadline: time.Second, ReceivedAt: loop.Now(), Job: 1}
		id := accept(t, router, req, client)
		loop.AfterFunc(20*time.Millisecond, func() {
			client.disconnected = true
			if !peers.attempts[0].Abandoned() {
				t.Error("its attempt is still wanted")
			}
			router.Disconnect(id)
		})
	})
	checkNothingLeft(t, router, peers, client, 1)
	if !peers.attempts[0].ended {
		t.Error("its attempt was not cancelled")
	}
}

// checkNothingLeft checks that a request has had so many attempts and no answer, and that nothing of it is in flight.
func checkNothingLeft(t *testing.T, router *Router, peers *fakePeers, client *fakeClient, attempts int) {
	t.Helper()
	if len(peers.attempts) != attempts {
		t.Fatalf("%d attempts, not %d", len(peers.attempts), attempts)
	}
	if client.answers() != 0 || router.InFlight() != 0 {
		t.Errorf("%+v, %d in flight", client, router.InFlight())
	}
}
