package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// startDiscovery starts a discovery server with the given handler and returns its address.
func startDiscovery(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// await returns the next value of a channel that a handler sends to. what names the awaited event in the failure.
func await[T any](t *testing.T, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting until %s", what)
	}
	panic("unreachable")
}

const listFormat = `{"version":%d,"full":%v,"servers":[{"id":"s%d","addr":"127.0.0.1:1","state":"ready"}]}`

// Guards against a large fleet in which each router needs two scheduled calls to the discovery that it moves to, and
// receives no change meanwhile: the router resumes from the version that it has, and keeps the old watch until the new
// discovery responds.
func TestMoveResumesFromKnownVersion(t *testing.T) {
	oldEvents, oldEnded := make(chan int, 9), make(chan bool, 9)
	oldWatched := make(chan bool, 9)
	old := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if !isWatch(r) {
			fmt.Fprintf(w, listFormat, 5, true, 5)
			return
		}
		oldWatched <- true
		select {
		case version := <-oldEvents:
			fmt.Fprintf(w, listFormat, version, false, version)
		case <-r.Context().Done():
			oldEnded <- true
		}
	})
	newCalls, newEvents := make(chan string, 9), make(chan int, 9)
	next := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		newCalls <- r.URL.RawQuery
		select {
		case version := <-newEvents:
			if version == 0 {
				http.Error(w, "overbooked", http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintf(w, listFormat, version, false, version)
		case <-r.Context().Done():
		}
	})
	lim := testLimits()
	lim.Discovery.ResumeFromKnown = true
	lim.Discovery.LongPollTimeout = 20 * time.Second
	watch := newTestWatch(t, lim, old)
	watch.poll()
	watch.nextList(t)
	await(t, "the old discovery is watched", oldWatched)
	watch.runInLoop(func() { watch.watcher.MoveTo(next) })
	// Until the new discovery has sent a list, the calls have the wait of a first watch.
	if query := await(t, "the new discovery is called", newCalls); query != "index=5&wait=3000" {
		t.Errorf("the first call has the query %q, want index=5&wait=3000", query)
	}
	newEvents <- 0 // the new discovery rejects the call
	if watch.nextFailure(t) {
		t.Error("a rejected call was reported as unanswered")
	}
	oldEvents <- 6
	if list := watch.nextList(t); list.Version != 6 {
		t.Errorf("list %+v, want version 6 from the old discovery", list)
	}
	await(t, "the old discovery is watched again", oldWatched)
	watch.poll()
	if query := await(t, "the new discovery is called again", newCalls); query != "index=6&wait=3000" {
		t.Errorf("the second call has the query %q, want index=6&wait=3000", query)
	}
	newEvents <- 7
	if list := watch.nextList(t); list.Version != 7 {
		t.Errorf("list %+v, want version 7 from the new discovery", list)
	}
	if query := await(t, "the new discovery is watched", newCalls); query != "index=7&wait=20000" {
		t.Errorf("the third call has the query %q, want index=7&wait=20000", query)
	}
	await(t, "the old watch ends", oldEnded)
	if len(watch.failures) > 0 {
		t.Error("the end of the old watch was reported as a failure")
	}
}

// If the old discovery fails before the new one responds, no failure is reported.
func TestOldDiscoveryFailsDuringMove(t *testing.T) {
	oldWatched, endOld := make(chan bool, 9), make(chan bool)
	old := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if !isWatch(r) {
			fmt.Fprintf(w, listFormat, 5, true, 5)
			return
		}
		oldWatched <- true
		<-endOld
		resetConnection(t, w, "")
	})
	newWatched, answer := make(chan bool, 9), make(chan bool)
	next := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		newWatched <- true
		select {
		case <-answer:
			fmt.Fprintf(w, listFormat, 6, false, 6)
		case <-r.Context().Done():
		}
	})
	lim := testLimits()
	lim.Discovery.ResumeFromKnown = true
	lim.Discovery.LongPollTimeout = 20 * time.Second
	watch := newTestWatch(t, lim, old)
	watch.poll()
	watch.nextList(t)
	await(t, "the old discovery is watched", oldWatched)
	watch.runInLoop(func() { watch.watcher.MoveTo(next) })
	await(t, "the new discovery is watched", newWatched)
	close(endOld)
	for kept := true; kept; {
		watch.runInLoop(func() { kept = watch.watcher.previous != nil })
	}
	close(answer)
	if list := watch.nextList(t); list.Version != 6 {
		t.Errorf("list %+v, want version 6", list)
	}
	if len(watch.failures) > 0 {
		t.Error("the end of the old discovery was reported as a failure")
	}
}

// Guards against a router of a large fleet that discards the lists of the discovery that it moves to, because their
// versions are lower than those of the previous one: the first complete list is used.
func TestMoveAcceptsLowerVersions(t *testing.T) {
	old := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, listFormat, 5, true, 5)
	})
	for _, watchedFull := range []bool{true, false} {
		t.Run(fmt.Sprint("answer to the watch is complete: ", watchedFull), func(t *testing.T) {
			next := startDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, listFormat, 2, watchedFull || !isWatch(r), 2)
			})
			lim := testLimits()
			lim.Discovery.ResumeFromKnown = true
			watch := newTestWatch(t, lim, old)
			watch.poll()
			watch.nextList(t)
			watch.runInLoop(func() { watch.watcher.MoveTo(next) })
			if !watchedFull {
				watch.nextFailure(t)
				watch.poll()
			}
			if list := watch.nextList(t); list.Version != 2 || !list.Full {
				t.Errorf("list %+v, want the complete one of version 2", list)
			}
		})
	}
}
