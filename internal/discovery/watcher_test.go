package discovery

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// testTimeout limits each wait of a test. It is longer than any stall of a test machine.
const testTimeout = 20 * time.Second

// recordingListener is a Listener that records the lists and failures.
type recordingListener struct {
	lists    chan config.EndpointList
	failures chan bool // true = unanswered
}

func newRecordingListener() recordingListener {
	return recordingListener{make(chan config.EndpointList, 999), make(chan bool, 999)}
}

func (l recordingListener) EndpointListReceived(list config.EndpointList) { l.lists <- list }
func (l recordingListener) PollFailed(unanswered bool)                    { l.failures <- unanswered }

// nextList returns the next list. The test fails if a call fails before it.
func (l recordingListener) nextList(t *testing.T) config.EndpointList {
	t.Helper()
	select {
	case list := <-l.lists:
		return list
	case unanswered := <-l.failures:
		t.Fatalf("a call failed (unanswered: %v), want a list", unanswered)
	case <-time.After(testTimeout):
		t.Fatal("no list was reported in time")
	}
	return config.EndpointList{}
}

// nextFailure reports whether the next failed call is unanswered. The test fails if a list is received before it.
func (l recordingListener) nextFailure(t *testing.T) (unanswered bool) {
	t.Helper()
	select {
	case unanswered := <-l.failures:
		return unanswered
	case list := <-l.lists:
		t.Fatalf("list %+v was reported, want a failed call", list)
	case <-time.After(testTimeout):
		t.Fatal("no failed call was reported in time")
	}
	return false
}

// testWatch is a Watcher with its own event loop and a recordingListener.
type testWatch struct {
	recordingListener
	watcher *Watcher
	loop    *eventloop.Loop
}

// newTestWatch returns a Watcher that has made no call yet.
func newTestWatch(t *testing.T, lim limits.Limits, address string) *testWatch {
	t.Helper()
	loop := eventloop.New()
	engine, err := transport.New(loop, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	listener := newRecordingListener()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	watcher := New(loop, engine, lim, log, address, listener)
	go loop.Run(func() {})
	t.Cleanup(func() {
		loop.Post(watcher.Stop)
		loop.Stop()
		engine.Stop()
	})
	return &testWatch{recordingListener: listener, watcher: watcher, loop: loop}
}

// startWatch starts a discovery server with the given handler and a Watcher that polls it.
func startWatch(t *testing.T, lim limits.Limits, handler http.HandlerFunc) *testWatch {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	watch := newTestWatch(t, lim, server.Listener.Addr().String())
	watch.poll()
	return watch
}

func (w *testWatch) poll() { w.loop.Post(w.watcher.Poll) }

// runInLoop runs f in the event loop and waits until it has returned.
func (w *testWatch) runInLoop(f func()) {
	done := make(chan bool)
	w.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// testLimits returns limits whose call timeouts are longer than any stall of a test machine. If a stall ended a call as
// unanswered, no other call would follow before Poll, and a test that waits for a list would not end.
func testLimits() limits.Limits {
	lim := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second)
	lim.Backend.ConnectTimeout = 10 * time.Second
	lim.Discovery.LongPollTimeout = 30 * time.Millisecond
	lim.Discovery.WatchSlack = 10 * time.Second
	lim.Discovery.CallTimeout = 10 * time.Second
	return lim
}

func isWatch(r *http.Request) bool { return r.URL.RawQuery != "" }

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }

// hijack takes the connection of a call over from the HTTP server.
func hijack(t *testing.T, w http.ResponseWriter) net.Conn {
	t.Helper()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
	}
	return conn
}

// resetConnection writes a text to the connection of a call and then resets the connection.
func resetConnection(t *testing.T, w http.ResponseWriter, text string) {
	t.Helper()
	conn := hijack(t, w)
	fmt.Fprint(conn, text)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func TestWatchIsRenewedAfterEachList(t *testing.T) {
	calls := 0
	watch := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		calls++
		wantIndex := ""
		if calls > 1 {
			wantIndex = fmt.Sprint(calls - 2) // the first list has version 0
		}
		if calls == 3 {
			w.Header().Set("Connection", "close") // the next call needs a new connection
		}
		if r.URL.Query().Get("index") != wantIndex {
			t.Errorf("call %d requests %s, want the version of the previous list as index", calls, r.URL)
		}
		const format = `{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready","cell":3}]}`
		fmt.Fprintf(w, format, calls-1, calls == 1)
	})
	for version := range int64(6) {
		list := watch.nextList(t)
		if list.Version != version || list.Full != (version == 0) {
			t.Fatalf("list %+v, want consecutive versions from 0, only the first list full", list)
		}
		if len(list.Endpoints) != 1 || list.Endpoints[0].Group != 3 {
			t.Fatalf("list %+v, want one endpoint in cell 3", list)
		}
	}
	if len(watch.failures) > 0 {
		t.Fatal("a call failed, want none to fail")
	}
}

// A Watcher that resumes from a known version begins with a watch.
func TestResumeFrom(t *testing.T) {
	queries := make(chan string, 9)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	watch := newTestWatch(t, testLimits(), server.Listener.Addr().String())
	watch.runInLoop(func() {
		watch.watcher.ResumeFrom(41)
		watch.watcher.Poll()
	})
	select {
	case query := <-queries:
		if query != "index=41&wait=30" {
			t.Fatalf("the first call has the query %q, want index=41&wait=30", query)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call was received in time")
	}
}

// failingDiscovery is a discovery server whose calls fail.
type failingDiscovery struct {
	handler        func(t *testing.T) http.HandlerFunc
	shortTimeout   bool // the calls have a short deadline
	wantUnanswered bool
}

func failingDiscoveries() map[string]failingDiscovery {
	answer := func(handler http.HandlerFunc) func(*testing.T) http.HandlerFunc {
		return func(*testing.T) http.HandlerFunc { return handler }
	}
	reset := func(text string) func(*testing.T) http.HandlerFunc {
		return func(t *testing.T) http.HandlerFunc {
			t.Helper()
			return func(w http.ResponseWriter, _ *http.Request) { resetConnection(t, w, text) }
		}
	}
	return map[string]failingDiscovery{
		"silent": {answer(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}), true, true},
		"silent after a part of a list": {answer(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, `{"version":7,"servers":[`)
			flush(w)
			<-r.Context().Done()
		}), true, true},
		"slow list that never ends": {answer(func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				fmt.Fprint(w, " ")
				flush(w)
				time.Sleep(5 * time.Millisecond)
			}
		}), true, true},
		"busy": {answer(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}), false, false},
		"garbage": {answer(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "{")
		}), false, true},
		"unknown state": {answer(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"servers":[{"id":"s","state":"odd"}]}`)
		}), false, true},
		"reset after a full list without a length": {reset("HTTP/1.1 200 OK\r\n\r\n" +
			`{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`), false, true},
		"list that exceeds the size limit": {answer(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"version":7,"servers":[`)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, strings.Repeat(`{"id":"s","state":"ready"},`, 100))
			}
		}), false, false},
		"reset": {reset(""), false, false},
	}
}

// A failed call is reported with the right value of unanswered, and Poll makes the next call.
func TestFailuresAreReported(t *testing.T) {
	for name, test := range failingDiscoveries() {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			if test.shortTimeout {
				lim.Discovery.WatchSlack = 200 * time.Millisecond
				lim.Discovery.CallTimeout = 200 * time.Millisecond
			}
			watch := startWatch(t, lim, test.handler(t))
			for range 2 {
				if unanswered := watch.nextFailure(t); unanswered != test.wantUnanswered {
					t.Fatalf("unanswered is %v, want the opposite", unanswered)
				}
				watch.poll()
			}
		})
	}
}

// A watch whose connection is reset after more time than discovery takes to reject a call counts as unanswered, because
// the link or discovery has failed.
func TestWatchResetLateIsUnanswered(t *testing.T) {
	const callTimeout = 20 * time.Millisecond
	var calls atomic.Int32
	resetLate := make(chan bool) // closed once the shorter call timeout is set
	lim := testLimits()
	lim.Discovery.LongPollTimeout = 20 * time.Second
	watch := startWatch(t, lim, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`)
			return
		}
		<-resetLate
		time.Sleep(2 * callTimeout)
		resetConnection(t, w, "")
	})
	watch.nextList(t)
	watch.loop.Post(func() {
		watch.watcher.limits.Discovery.CallTimeout = callTimeout
		close(resetLate)
	})
	for range 2 {
		if !watch.nextFailure(t) {
			t.Fatal("the call was reported as rejected, want unanswered")
		}
		watch.poll()
	}
}

// After a move the Watcher calls the new address without delay and requests the full list first. Later responses of the
// old address are ignored.
func TestMoveTo(t *testing.T) {
	watched, release := make(chan bool, 9), make(chan bool)
	watch := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			watched <- true
			<-release
		}
		fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"old","state":"ready"}]}`)
	})
	answerOld := sync.OnceFunc(func() { close(release) })
	t.Cleanup(answerOld) // a server does not close while a call to it is in flight
	watch.nextList(t)
	select {
	case <-watched:
	case <-time.After(testTimeout):
		t.Fatal("no watch was received in time")
	}
	calls := 0
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if isWatch(r) != (calls > 1) {
			t.Errorf("call %d requests %s, want the full list first, then watches", calls, r.URL)
		}
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[{"id":"new","state":"ready"}]}`, calls, calls == 1)
	}))
	t.Cleanup(func() {
		other.CloseClientConnections()
		other.Close()
	})
	watch.loop.Post(func() { watch.watcher.MoveTo(other.Listener.Addr().String()) })
	for i := range 3 {
		list := watch.nextList(t)
		if list.Endpoints[0].ID != "new" || list.Full != (i == 0) {
			t.Fatalf("list %+v, want the new endpoint, only the first list full", list)
		}
		if i == 0 {
			answerOld() // too late: the Watcher has moved
		}
	}
	watch.loop.Post(watch.watcher.Stop)
	if len(watch.failures) > 0 {
		t.Fatal("the move was reported as a failure")
	}
}

// A CallError contains the kind and address of the call and the kind of failure; its text is that of the cause.
func TestCallError(t *testing.T) {
	watcher := &Watcher{address: "127.0.0.1:1", call: call{kind: CallWatch}}
	var err error = watcher.newCallError(CallUnanswered, fmt.Errorf("connection lost during the call: %w", io.EOF))
	var callError *CallError
	if !errors.As(err, &callError) || !errors.Is(err, io.EOF) || err.Error() != "connection lost during the call: EOF" {
		t.Fatalf("error %v, want a CallError that wraps io.EOF and has its text", err)
	}
	if callError.Call != CallWatch || callError.Failure != CallUnanswered || callError.Address != "127.0.0.1:1" {
		t.Fatalf("%+v, want an unanswered watch at 127.0.0.1:1", callError)
	}
	for got, want := range map[string]string{
		CallSnapshot.String():   "snapshot",
		CallWatch.String():      "watch",
		CallRejected.String():   "rejected",
		CallUnanswered.String(): "unanswered",
		CallInvalid.String():    "invalid",
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
