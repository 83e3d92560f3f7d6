package router

import (
	"errors"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
)

// fakeSharedIDs is a SharedRequestIDs without a limit: when each id expires.
type fakeSharedIDs map[string]time.Duration

func (f fakeSharedIDs) Claim(id string, now, until time.Duration) bool {
	if now < f[id] {
		return false
	}
	f[id] = until
	return true
}

func (f fakeSharedIDs) Keep(id string, until time.Duration) { f[id] = until }
func (f fakeSharedIDs) Release(id string)                   { delete(f, id) }

// Guards against a write that runs in both processes of a hot restart, because its client has left the one and come
// again at the other: the other accepts an id only if the write can't have run, was answered, or is long over.
func TestWriteIsNotAcceptedWhileTheOtherProcessMayRunIt(t *testing.T) {
	const runs, long = 50 * time.Millisecond, 5 * time.Minute
	const running = balance.Status(255) // the attempt has not ended
	for _, test := range []struct {
		name    string
		class   string
		status  balance.Status // of its attempt
		departs bool           // its client
		again   time.Duration
		wantErr error
	}{
		{"while it runs", writeClass, running, false, runs, ErrDuplicateRequest},
		{"while it runs for a client that has left", writeClass, running, true, runs, ErrDuplicateRequest},
		{"after it has run for a client that has left", writeClass, balance.StatusDone, true, runs, ErrDuplicateRequest},
		{"long after that", writeClass, balance.StatusDone, true, departedWriteTime + runs, nil},
		{"after it was refused", writeClass, balance.StatusBusy, true, runs, nil},
		{"after it was answered", writeClass, balance.StatusDone, false, runs, nil},
		{"long after its process was killed", writeClass, running, false, long, nil},
		{"a read", readClass, running, false, runs, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Hour
			loop := eventloop.NewWithClock(func() time.Duration { return now })
			router, peers := newTestRouterOnLoop(t, loop, true)
			other, _ := newTestRouterOnLoop(t, loop, true)
			shared := fakeSharedIDs{}
			router.ShareRequestIDs(shared)
			other.ShareRequestIDs(shared)
			request := Request{
				ClientRequestID: "same", Class: test.class, ClientTimeout: time.Second, ReceivedAt: now, Job: 1,
			}
			id := accept(t, router, request, &fakeClient{loop: loop})
			loop.RunOnce(router.Step)
			if test.departs {
				router.Disconnect(id)
			}
			if test.status != running {
				peers.attempts[0].end(test.status)
				loop.RunOnce(router.Step)
			}
			now += test.again
			request.ReceivedAt = now
			if _, err := other.Accept(request, &fakeClient{loop: loop}); !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v for the request that comes again, want %v", err, test.wantErr)
			}
		})
	}
}
