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

// testTimeout is when a test gives up waiting. It is longer than any machine stalls.
const testTimeout = 20 * time.Second

// recordingListener keeps what a Watcher reports.
type recordingListener struct {
	lists    chan config.EndpointList
	failures chan bool // unanswered or not
}

func newRecordingListener() recordingListener {
	return recordingListener{make(chan config.EndpointList, 999), make(chan bool, 999)}
}

func (l recordingListener) EndpointListReceived(list config.EndpointList) { l.lists <- list }
func (l recordingListener) PollFailed(unanswered bool)                    { l.failures <- unanswered }

// nextList returns the next list. No call may fail before it.
func (l recordingListener) nextList(t *testing.T) config.EndpointList {
	t.Helper()
	select {
	case list := <-l.lists:
		return list
	case unanswered := <-l.failures:
		t.Fatalf("a call failed, unanswered: %v", unanswered)
	case <-time.After(testTimeout):
		t.Fatal("no list was reported")
	}
	return config.EndpointList{}
}

// nextFailure returns whether the next call that fails is unanswered. No list may come before it.
func (l recordingListener) nextFailure(t *testing.T) (unanswered bool) {
	t.Helper()
	select {
	case unanswered := <-l.failures:
		return unanswered
	case list := <-l.lists:
		t.Fatalf("a list was reported: %+v", list)
	case <-time.After(testTimeout):
		t.Fatal("no failure was reported")
	}
	return false
}

// testWatch is a Watcher that runs in an event loop of its own.
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

// startWatch polls a discovery that answers with a handler.
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

// runInLoop runs f in the loop, and returns when it has ended.
func (w *testWatch) runInLoop(f func()) {
	done := make(chan bool)
	w.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// testLimits let calls wait for longer than any machine stalls. A call that such a stall would end as unanswered is
// followed by no other before Poll, and a test that waits for its list would wait for ever.
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

// hijack returns the connection of a call.
func hijack(t *testing.T, w http.ResponseWriter) net.Conn {
	t.Helper()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
	}
	return conn
}

// resetConnection ends a call's connection with a reset, after it has written a text.
func resetConnection(t *testing.T, w http.ResponseWriter, text string) {
	t.Helper()
	conn := hijack(t, w)
	fmt.Fprint(conn, text)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func TestWatchGoesOn(t *testing.T) {
	calls := 0
	watch := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		calls++
		wantIndex := ""
		if calls > 1 {
			wantIndex = fmt.Sprint(calls - 2) // the first list has version 0
		}
		if calls == 3 {
			w.Header().Set("Connection", "close") // an answer that ends its connection
		}
		if r.URL.Query().Get("index") != wantIndex {
			t.Errorf("call %d: %s", calls, r.URL)
		}
		const format = `{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready","cell":3}]}`
		fmt.Fprintf(w, format, calls-1, calls == 1)
	})
	for version := range int64(6) {
		list := watch.nextList(t)
		if list.Version != version || list.Full != (version == 0) {
			t.Fatalf("%+v", list)
		}
		if len(list.Endpoints) != 1 || list.Endpoints[0].Cell != 3 {
			t.Fatalf("%+v", list)
		}
	}
	if len(watch.failures) > 0 {
		t.Fatal("a call failed")
	}
}

// A Watcher that knows a list begins with a watch.
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
			t.Fatalf("the first call asks for %q", query)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call")
	}
}

// failingDiscovery is a discovery whose calls fail.
type failingDiscovery struct {
	handler        func(t *testing.T) http.HandlerFunc
	shortTimeout   bool // a call is given up soon
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
		"silent after half of a list": {answer(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, `{"version":7,"servers":[`)
			flush(w)
			<-r.Context().Done()
		}), true, true},
		"a list that trickles": {answer(func(w http.ResponseWriter, r *http.Request) {
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
		"reset after a whole list without a length": {reset("HTTP/1.1 200 OK\r\n\r\n" +
			`{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`), false, true},
		"a list without end": {answer(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"version":7,"servers":[`)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, strings.Repeat(`{"id":"s","state":"ready"},`, 100))
			}
		}), false, false},
		"reset": {reset(""), false, false},
	}
}

// A call that fails is reported, as unanswered or not, and followed by no other before Poll.
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
					t.Fatalf("unanswered: %v", unanswered)
				}
				watch.poll()
			}
		})
	}
}

// A watch that is reset later than discovery rejects a call is unanswered: the link or discovery is lost.
func TestWatchThatIsResetLateIsUnanswered(t *testing.T) {
	const callTimeout = 20 * time.Millisecond
	var calls atomic.Int32
	resetLate := make(chan bool) // closed once a watch that ends from now on ends late
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
			t.Fatal("the call was reported as rejected")
		}
		watch.poll()
	}
}

// A watch moves at once, with the full list first. What the old address answers after that is ignored.
func TestMoveTo(t *testing.T) {
	watched, goOn := make(chan bool, 9), make(chan bool)
	watch := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			watched <- true
			<-goOn
		}
		fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"old","state":"ready"}]}`)
	})
	answerOld := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(answerOld) // a server does not end while a call to it is out
	watch.nextList(t)
	select {
	case <-watched:
	case <-time.After(testTimeout):
		t.Fatal("no watch")
	}
	calls := 0
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if isWatch(r) != (calls > 1) {
			t.Errorf("call %d: %s", calls, r.URL)
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
			t.Fatalf("%+v", list)
		}
		if i == 0 {
			answerOld() // too late
		}
	}
	watch.loop.Post(watch.watcher.Stop)
	if len(watch.failures) > 0 {
		t.Fatal("a move was reported as a failure")
	}
}

// A CallError says which call failed and how; its text is the cause.
func TestCallError(t *testing.T) {
	watcher := &Watcher{address: "127.0.0.1:1", call: call{kind: CallWatch}}
	var err error = watcher.newCallError(CallUnanswered, fmt.Errorf("watch ended: %w", io.EOF))
	var callError *CallError
	if !errors.As(err, &callError) || !errors.Is(err, io.EOF) || err.Error() != "watch ended: EOF" {
		t.Fatalf("%v", err)
	}
	if callError.Call != CallWatch || callError.Failure != CallUnanswered || callError.Address != "127.0.0.1:1" {
		t.Fatalf("%+v", callError)
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
