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

// An answer that is arriving when its call's time is over is used, and no call fails: discovery counts as delivered
// what it writes. The rest of the answer is held back until that time is over on the watcher's own clock.
func TestAnswerThatIsArrivingIsNotGivenUp(t *testing.T) {
	lim := testLimits()
	lim.Backend.StallTimeout = 20 * time.Second // so that only the length of the answer ends it, and
	lim.Discovery.CallTimeout = 2 * time.Second // its gaps may be 0.5 s
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
		t.Fatalf("%+v", list)
	}
}

// An answer that has arrived while the loop was busy beyond the call's time is read before the call is given up.
func TestAnswerThatHasArrivedIsReadFirst(t *testing.T) {
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
			t.Error("no connection")
			close(busy)
			return
		}
		close(busy)
		deadline := watch.watcher.call.startedAt + lim.Discovery.CallTimeout
		for connection.Quiet() || watch.loop.Now() <= deadline {
			time.Sleep(time.Millisecond) // the loop is busy until the answer is there and the call's time is over
		}
	})
	if list := watch.nextList(t); list.Version != 7 {
		t.Fatalf("%+v", list)
	}
}

// What a silent watch misses is asked for again, with the 2 s that a call may wait for its turn, within 6 s of the
// beginning of its silence; for a watch that waits longer, within 2 s of the end of its wait and the shortest grace
// that the settings have known.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	const turn, grace = 2 * time.Second, 2 * time.Second // the decision module polls again within half of the grace
	for routers, delivered := range map[int]time.Duration{
		1:   6 * time.Second,
		3:   6 * time.Second,
		10:  6 * time.Second,
		30:  7 * time.Second,
		300: 7 * time.Second,
	} {
		lim := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(routers)
		failed := lim.Discovery.LongPollTimeout + lim.Discovery.WatchSlack
		if again := failed + grace/2; again+turn > delivered+grace {
			t.Errorf("%d routers: polled %v after the silence, delivered by %v", routers, again, delivered)
		}
		if routers <= 10 && failed+250*time.Millisecond*3/2+turn > delivered+500*time.Millisecond {
			t.Errorf("%d routers: failed after %v", routers, failed)
		}
	}
}
