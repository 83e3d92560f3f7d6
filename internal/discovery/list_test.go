package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
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

func sampleResponses() []string {
	return []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nConnection: close\r\n\r\n",
	}
}

func feedResponse(text string, next func(left int) int) (response *httpResponse, whole bool, err error) {
	response = &httpResponse{maxHeaderBytes: 512, maxBodyBytes: 4096}
	for p := []byte(text); len(p) > 0 && !whole && err == nil; {
		n := next(len(p))
		whole, err = response.feed(p[:n])
		p = p[n:]
	}
	return response, whole, err
}

func TestRandomCutsAndGarbage(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for i, text := range sampleResponses() {
		for range 200 {
			response, whole, err := feedResponse(text, func(left int) int { return 1 + rng.IntN(left) })
			if !whole || err != nil || i < 2 && string(response.body) != "hello" || i == 2 && (response.status != 503 || !response.closesConnection) {
				t.Fatalf("answer %d: %v %v %+v", i, whole, err, response)
			}
			bad := []byte(text)
			for range 1 + rng.IntN(6) {
				bad[rng.IntN(len(bad))] = byte(rng.Uint32())
			}
			feedResponse(string(bad), func(left int) int { return 1 + rng.IntN(left) })
		}
	}
}

func FuzzResponse(f *testing.F) {
	for _, text := range sampleResponses() {
		f.Add(text)
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		a, whole1, err1 := feedResponse(text, func(left int) int { return left })
		b, whole2, err2 := feedResponse(text, func(left int) int { return 1 })
		if len(a.body) > 4096 || len(b.body) > 4096 || whole1 && whole2 && string(a.body) != string(b.body) {
			t.Fatalf("%v %v %v %v", whole1, whole2, err1, err2)
		}
	})
}

type recordingListener struct {
	lists chan config.EndpointList
	fails chan bool
}

func (s recordingListener) EndpointListReceived(l config.EndpointList) { s.lists <- l }
func (s recordingListener) PollFailed(silent bool)                     { s.fails <- silent }

func startWatch(t *testing.T, lim limits.Limits, h http.HandlerFunc) (recordingListener, *Watcher, *eventloop.Loop) {
	srv := httptest.NewServer(h)
	l := eventloop.New()
	e, err := transport.New(l, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s := recordingListener{make(chan config.EndpointList, 99), make(chan bool, 99)}
	watcher := New(l, e, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), srv.Listener.Addr().String(), s)
	go l.Run(func() {})
	l.Post(watcher.Poll)
	t.Cleanup(func() { l.Post(watcher.Stop); l.Stop(); e.Stop(); srv.CloseClientConnections(); srv.Close() })
	return s, watcher, l
}

// lim has calls that wait far longer than any machine stalls. Guards the tests: a call that ends as silent by such a
// stall is followed by none before Track, and who waits for its list would wait for ever.
func testLimits() limits.Limits {
	l := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second)
	l.Backend.ConnectTimeout, l.Discovery.LongPollTimeout, l.Discovery.WatchSlack, l.Discovery.CallTimeout = 10*time.Second, 30*time.Millisecond, 10*time.Second, 10*time.Second
	return l
}

// heard is the next list. No call may fail before it.
func nextList(t *testing.T, s recordingListener) config.EndpointList {
	t.Helper()
	select {
	case l := <-s.lists:
		return l
	case silent := <-s.fails:
		t.Fatalf("a call failed, silent: %v", silent)
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is told")
	}
	return config.EndpointList{}
}

func TestWatchGoesOn(t *testing.T) {
	n := 0
	s, _, _ := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		n++         // the first list has version 0
		if n == 3 { // an answer that ends its connection
			w.Header().Set("Connection", "close")
		}
		if want := map[bool]string{true: "", false: fmt.Sprint(n - 2)}[n == 1]; r.URL.Query().Get("index") != want {
			t.Errorf("call %d: %s", n, r.URL)
		}
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready","cell":3}]}`, n-1, n == 1)
	})
	for i := range int64(6) {
		if l := nextList(t, s); l.Version != i || l.Full != (i == 0) || len(l.Endpoints) != 1 || l.Endpoints[0].Cell != 3 {
			t.Fatalf("%+v", l)
		}
	}
	if len(s.fails) > 0 {
		t.Fatal("a call failed")
	}
}

// lateAfter is how long a call must have waited in TestFailuresAreTold for a reset to be no refusal.
const lateResetDelay = 20 * time.Millisecond

func TestFailuresAreTold(t *testing.T) {
	var calls atomic.Int32
	late := make(chan bool) // closed once a watch that ends from now on ends late
	for name, h := range map[string]http.HandlerFunc{
		"silent": func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"silent, half of a list": func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "{\"version\":7,\"servers\":[")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"silent, a list that trickles": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				io.WriteString(w, " ")
				w.(http.Flusher).Flush()
				time.Sleep(5 * time.Millisecond)
			}
		},
		"busy":    func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) },
		"garbage": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "{") },
		"state":   func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, `{"servers":[{"id":"s","state":"odd"}]}`) },
		"silent, a whole list without a length that is reset": func(w http.ResponseWriter, r *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"version\":7,\"full\":true,\"servers\":[{\"id\":\"s\",\"state\":\"ready\"}]}")
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"silent, a list without end": func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "{\"version\":7,\"servers\":[")
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, strings.Repeat("{\"id\":\"s\",\"state\":\"ready\"},", 100))
			}
		},
		"reset": func(w http.ResponseWriter, r *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"silent, a watch that is reset late": func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`)
				return
			}
			<-late
			time.Sleep(2 * lateResetDelay)
			c, _, _ := w.(http.Hijacker).Hijack()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			switch {
			case name == "silent", strings.HasSuffix(name, "half of a list"), strings.HasSuffix(name, "trickles"):
				lim.Discovery.WatchSlack, lim.Discovery.CallTimeout = 200*time.Millisecond, 200*time.Millisecond
			case strings.HasSuffix(name, "late"):
				lim.Discovery.LongPollTimeout = 20 * time.Second
			}
			s, watcher, l := startWatch(t, lim, h)
			if strings.HasSuffix(name, "late") {
				nextList(t, s)
				l.Post(func() { watcher.limits.Discovery.CallTimeout = lateResetDelay; close(late) })
			}
			for range 2 { // after a failure nothing is asked before Track
				select {
				case silent := <-s.fails:
					if silent == (name == "busy" || name == "reset" || strings.HasSuffix(name, "without end")) {
						t.Fatalf("silent: %v", silent)
					}
					l.Post(watcher.Poll)
				case got := <-s.lists:
					t.Fatalf("%+v", got)
				case <-time.After(20 * time.Second):
					t.Fatal("nothing told")
				}
			}
		})
	}
}

// An answer that is on its way in when its call's time is over is heard, and no call fails: what discovery writes
// counts as told. The rest is held back until that time is over on the watcher's own clock.
func TestAnAnswerThatIsComingIsNotGivenUp(t *testing.T) {
	lim := testLimits()
	lim.Backend.StallTimeout, lim.Discovery.CallTimeout = 20*time.Second, 2*time.Second // so that only the length of the answer ends it, and its gaps may be 0.5 s
	began, rest := make(chan bool), make(chan bool)
	letGo := sync.OnceFunc(func() { close(rest) })
	text := `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready"}]}`
	s, watcher, l := startWatch(t, lim, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		send := func(p string) {
			io.WriteString(w, p)
			w.(http.Flusher).Flush()
		}
		send(" ")
		close(began)
		for waits := true; waits; { // it goes on to come
			select {
			case <-rest:
				waits = false
			case <-time.After(10 * time.Millisecond):
				send(" ")
			}
		}
		send(text)
	})
	t.Cleanup(letGo)
	<-began
	var due time.Duration
	runInLoop(l, func() { due = watcher.call.startedAt + lim.Discovery.CallTimeout })
	for over := false; !over; time.Sleep(time.Millisecond) {
		runInLoop(l, func() { over = l.Now() > due+10*time.Millisecond })
	}
	letGo()
	if got := nextList(t, s); got.Version != 7 {
		t.Fatalf("%+v", got)
	}
}

// An answer that has come while the loop was busy beyond the call's time is looked at before the call is given up.
func TestAnAnswerThatHasComeIsLookedAtFirst(t *testing.T) {
	lim := testLimits()
	lim.Discovery.CallTimeout = 300 * time.Millisecond
	asked, busy := make(chan bool), make(chan bool)
	s, watcher, l := startWatch(t, lim, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		close(asked)
		<-busy
		io.WriteString(w, `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"ready"}]}`)
	})
	<-asked
	runInLoop(l, func() {
		if watcher.connection == nil {
			t.Error("no connection")
			close(busy)
			return
		}
		close(busy)
		for watcher.connection.Quiet() || l.Now() <= watcher.call.startedAt+lim.Discovery.CallTimeout {
			time.Sleep(time.Millisecond) // the loop is busy until the answer is there, and the call's time over
		}
	})
	if got := nextList(t, s); got.Version != 7 {
		t.Fatalf("%+v", got)
	}
}

// in runs f in the loop.
func runInLoop(l *eventloop.Loop, f func()) {
	done := make(chan bool)
	l.Post(func() { f(); close(done) })
	<-done
}

// A list without a length ends with its connection; it may come indented, in any pieces.
func TestAListWithoutALengthInPieces(t *testing.T) {
	text := "{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"s\",\n      \"state\": \"ready\"\n    }\n  ]\n}\n"
	for _, piece := range []int{1, 7, len(text)} {
		s, _, _ := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				return
			}
			c, _, _ := w.(http.Hijacker).Hijack()
			defer c.Close()
			for p := "HTTP/1.1 200 OK\r\n\r\n" + text; p != ""; p = p[min(piece, len(p)):] {
				io.WriteString(c, p[:min(piece, len(p))])
			}
		})
		if l := nextList(t, s); l.Version != 7 || len(l.Endpoints) != 1 {
			t.Fatalf("%+v", l)
		}
	}
}

// What a watch that falls silent misses is asked for again, with the 2 s that a call may wait for its turn, within 6
// s of its silence; for a watch that waits longer, within 2 s of the end of its wait and the shortest grace that the
// settings have known.
func TestASilentWatchIsOpenedAnewInTime(t *testing.T) {
	for routers, told := range map[int]time.Duration{1: 6 * time.Second, 3: 6 * time.Second, 10: 6 * time.Second, 30: 7 * time.Second, 300: 7 * time.Second} {
		l := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(routers)
		const turn, grace = 2 * time.Second, 2 * time.Second // the decision module asks again within half of the grace
		if again := l.Discovery.LongPollTimeout + l.Discovery.WatchSlack + grace/2; again+turn > told+grace {
			t.Errorf("%d routers: asked again %v after the silence, told by %v", routers, again, told)
		}
		if found := l.Discovery.LongPollTimeout + l.Discovery.WatchSlack; routers <= 10 && found+250*time.Millisecond*3/2+turn > told+500*time.Millisecond {
			t.Errorf("%d routers: found after %v", routers, found)
		}
	}
}

// A list that is empty, or older than the one that is known, is not believed, and said once; a discovery that goes
// on to give an older one has started anew. Behind an older answer the whole list is asked for.
func TestUnfitListsAreNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		bad    string
		fails  int
		within int64
	}{
		"empty": {`{"version":9,"full":true,"servers":[]}`, 4, 0},
		"older": {`{"version":3,"full":true,"servers":[{"id":"old","state":"ready"}]}`, 2, 3},
	} {
		t.Run(name, func(t *testing.T) {
			calls, whole := 0, 0
			s, watcher, l := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
				if calls++; r.URL.RawQuery == "" {
					whole++
				}
				if calls == 1 {
					fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`)
					return
				}
				fmt.Fprint(w, c.bad)
			})
			var text strings.Builder
			l.Post(func() { watcher.log = slog.New(slog.NewTextHandler(&text, nil)) })
			if got := nextList(t, s); got.Version != 7 {
				t.Fatalf("%+v", got)
			}
			for i := range c.fails {
				select {
				case silent := <-s.fails:
					if silent != (i <= maxOlderAnswers) { // it was written, so it counts as told; but not for ever at once
						t.Fatalf("fault %d: asked for again soon: %v", i, silent)
					}
					l.Post(watcher.Poll)
				case got := <-s.lists:
					t.Fatalf("%+v", got)
				case <-time.After(20 * time.Second):
					t.Fatal("nothing is told")
				}
			}
			if c.within > 0 {
				if got := nextList(t, s); got.Version != c.within {
					t.Fatalf("%+v", got)
				}
			}
			done := make(chan int)
			l.Post(func() { watcher.Stop(); done <- strings.Count(text.String(), "discovery call failed") })
			if n := <-done; n != 1 {
				t.Errorf("said %d times", n)
			}
			if name == "older" && whole < 2 {
				t.Errorf("the whole list was asked for %d times", whole)
			}
		})
	}
}

// A watch moves at once, with the whole list first; what the old address says or does after that is not heard.
func TestMove(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	s, watcher, l := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "" {
			asked <- true
			<-goOn
		}
		fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"old","state":"ready"}]}`)
	})
	answer := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(answer) // a server does not end while a call to it is out
	nextList(t, s)
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Fatal("no watch")
	}
	lists := 0
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lists++; (lists == 1) != (r.URL.RawQuery == "") {
			t.Errorf("call %d: %s", lists, r.URL)
		}
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[{"id":"new","state":"ready"}]}`, lists, lists == 1)
	}))
	defer other.Close()
	l.Post(func() { watcher.MoveTo(other.Listener.Addr().String()) })
	for i := range 3 {
		got := nextList(t, s)
		if got.Endpoints[0].ID != "new" || got.Full != (i == 0) {
			t.Fatalf("%+v", got)
		}
		if i == 0 {
			answer() // the old one answers, too late
		}
	}
	l.Post(watcher.Stop)
	if len(s.fails) > 0 {
		t.Fatal("a move is no failure")
	}
}
