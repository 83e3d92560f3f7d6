package discovery

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"limeladder/internal/limits"
)

const smallList = `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready"}]}`

// Guards against giving up a call whose response is still arriving at its deadline: discovery counts the list as
// delivered once it has written it. The server holds the rest of the response back until the deadline has passed on the
// watcher's clock.
func TestArrivingAnswerIsAwaitedBeyondTimeout(t *testing.T) {
	lim := testLimits()
	lim.Backend.StallTimeout = 20 * time.Second // longer than the gap that CallTimeout allows
	lim.Discovery.CallTimeout = 2 * time.Second // allows gaps of a quarter of it, 0.5 s
	began, rest := make(chan bool), make(chan bool)
	sendRest := sync.OnceFunc(func() { close(rest) })
	watch := startWatch(t, lim, func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			<-r.Context().Done()
			return
		}
		send := func(text string) {
			fmt.Fprint(w, text)
			flush(w)
		}
		send(" ")
		close(began)
		for arriving := true; arriving; {
			select {
			case <-rest:
				arriving = false
			case <-time.After(10 * time.Millisecond):
				send(" ")
			}
		}
		send(smallList)
	})
	t.Cleanup(sendRest)
	<-began
	var deadline time.Duration
	watch.runInLoop(func() { deadline = watch.watcher.call.startedAt + lim.Discovery.CallTimeout })
	for passed := false; !passed; time.Sleep(time.Millisecond) {
		watch.runInLoop(func() { passed = watch.loop.Now() > deadline+10*time.Millisecond })
	}
	sendRest()
	if list := watch.nextList(t); list.Version != 7 {
		t.Fatalf("list %+v, want version 7", list)
	}
}

// A response that arrives while the loop is busy past the call's deadline is read before the call is given up.
func TestReceivedAnswerIsReadBeforeTimeout(t *testing.T) {
	lim := testLimits()
	lim.Discovery.CallTimeout = 300 * time.Millisecond
	called, busy := make(chan bool), make(chan bool)
	watch := startWatch(t, lim, func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			<-r.Context().Done()
			return
		}
		close(called)
		<-busy
		fmt.Fprint(w, smallList)
	})
	<-called
	watch.runInLoop(func() {
		connection := watch.watcher.connection
		if connection == nil {
			t.Error("the watcher has no connection, want one")
			close(busy)
			return
		}
		close(busy)
		deadline := watch.watcher.call.startedAt + lim.Discovery.CallTimeout
		for connection.HasNothingToReport() || watch.loop.Now() <= deadline {
			time.Sleep(time.Millisecond) // keeps the loop busy until the response is there and the deadline has passed
		}
	})
	if list := watch.nextList(t); list.Version != 7 {
		t.Fatalf("list %+v, want version 7", list)
	}
}

// The changes that a silent watch misses are requested again in time, counted from the beginning of the silence: within
// 6 s plus the shortest drain grace that the settings have had, 2 s. In fleets of more than 10 routers, whose watches
// wait longer, it is 7 s plus the grace: 2 s after the end of the wait of 5 s. Each bound includes the 2 s that a call
// may wait for its scheduled turn.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	// The decision module polls again within half of the grace.
	const maxTurnWait, grace = 2 * time.Second, 2 * time.Second
	for routers, deliveryBound := range map[int]time.Duration{
		1:   6 * time.Second,
		3:   6 * time.Second,
		10:  6 * time.Second,
		30:  7 * time.Second,
		300: 7 * time.Second,
	} {
		lim := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(routers)
		failed := lim.Discovery.LongPollTimeout + lim.Discovery.WatchSlack
		if again := failed + grace/2; again+maxTurnWait > deliveryBound+grace {
			t.Errorf("%d routers: polled again %v after the silence began, want delivery within %v plus the grace",
				routers, again, deliveryBound)
		}
		if routers <= 10 && failed+250*time.Millisecond*3/2+maxTurnWait > deliveryBound+500*time.Millisecond {
			t.Errorf("%d routers: the watch failed after %v, which is too late for its delivery bound", routers, failed)
		}
	}
}
