package router

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
)

// peer plays servers, watcher and events, and keeps the calls that are out.
type testPeers struct {
	t       *testing.T
	calls   []*testAttempt
	written bool // whether what is cancelled had been written
	events  []audit.Event
}

type testAttempt struct {
	peers   *testPeers
	attempt Attempt
	done    func(Result)
	ended   bool

	status balance.Status
}

func (p *testPeers) Start(a Attempt, done func(Result)) AttemptHandle {
	c := &testAttempt{peers: p, attempt: a, done: done}
	for _, o := range p.calls {
		if !o.ended && o.attempt.Job == a.Job {
			p.t.Error("two attempts at once")
		}
	}
	p.calls = append(p.calls, c)
	return c
}

func (p *testPeers) HealthCheck(node string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (p *testPeers) Poll()                  {}
func (p *testPeers) Suspend(string, bool)   {}
func (p *testPeers) Record(e audit.Event)   { p.events = append(p.events, e) }
func (c *testAttempt) Cancel() bool         { c.ended = true; return c.peers.written }
func (c *testAttempt) NotWritten() bool     { return !c.ended && !c.peers.written }
func (c *testAttempt) end(s balance.Status) { c.ended, c.status = true, s; c.done(Result{Status: s}) }

// owed counts the answers to one request.
type testClient struct {
	served, rejected, failed                   int
	responsesStarted, responseBytes, truncated int
	disconnected                               bool
	retryAfter                                 time.Duration
	answeredAt                                 time.Duration
	loop                                       *eventloop.Loop
}

func (o *testClient) Disconnected(bool) bool         { return o.disconnected }
func (o *testClient) ResponseStarted(Response, Flow) { o.responsesStarted++ }
func (o *testClient) ResponsePart(p []byte)          { o.responseBytes += len(p) }
func (o *testClient) ResponseTruncated()             { o.truncated++ }
func (o *testClient) Served(Response)                { o.served++; o.answeredAt = o.loop.Now() }
func (o *testClient) Rejected(after time.Duration) {
	o.rejected++
	o.retryAfter = after
	o.answeredAt = o.loop.Now()
}
func (o *testClient) Failed(string) { o.failed++; o.answeredAt = o.loop.Now() }
func (o *testClient) answers() int  { return o.served + o.rejected + o.failed }

func newTestRouter(t *testing.T) (*Router, *testPeers, *eventloop.Loop) {
	l := eventloop.New()
	router, p := newTestRouterOn(t, l, true)
	return router, p, l
}

// startOn is start on a loop that the test made; the primary may be missing.
func newTestRouterOn(t *testing.T, l *eventloop.Loop, primary bool) (*Router, *testPeers) {
	p := &testPeers{t: t, written: true}
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	router, err := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), balance.Config{
		Instances: 1, Zone: "a", Cancellation: true,
		MaxAttempts: 4, Classes: []balance.Class{
			{Name: "look", LatencyObjective: 100 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyAny},
			{Name: "job", LatencyObjective: 100 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent},
		},
	}, 1, p)
	if err != nil {
		t.Fatal(err)
	}
	router.Connect(p, p)
	router.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: primary}, {Endpoint: "n2", Zone: "a", State: balance.EndpointReady},
	}})
	return router, p
}

// play runs the loop for a while; do is called in it first.
func runFor(router *Router, l *eventloop.Loop, d time.Duration, do func()) {
	l.Post(do)
	l.Post(func() { l.AfterFunc(d, l.Stop) })
	l.Run(router.Step)
}

func TestFinalAnswerComesBeforeClientDeadline(t *testing.T) {
	for class, written := range map[string]bool{"job": true, "look": true} {
		router, p, l := newTestRouter(t)
		p.written = written
		o := &testClient{loop: l}
		var at time.Duration
		runFor(router, l, 200*time.Millisecond, func() {
			at = l.Now()
			router.Accept(Request{Class: class, Deadline: 120 * time.Millisecond, ReceivedAt: at, Job: 1}, o)
		})
		if len(p.calls) == 0 || !p.calls[0].ended {
			t.Fatalf("%s: its attempt is still out", class)
		}
		if o.answers() != 1 || class == "job" && o.failed != 1 || class == "look" && o.rejected != 1 {
			t.Fatalf("%s: %+v", class, o)
		}
		if o.answeredAt-at >= 120*time.Millisecond {
			t.Logf("%s: answered after %v", class, o.answeredAt-at) // a busy machine may be late; the order is what is tested
		}
		if o.rejected == 1 && o.retryAfter <= 0 {
			t.Fatal("a refusal that does not say when to come back")
		}
		if router.InFlight() != 0 {
			t.Fatalf("%d in hand", router.InFlight())
		}
	}
}

// Once an answer is passed on neither the end of the client's time nor the module ends it; if it breaks off the client is
// told by Cut, once, and nothing is sent again.
func TestStreamedResponse(t *testing.T) {
	for _, end := range []balance.Status{balance.StatusDone, balance.StatusReset, balance.StatusError} {
		router, p, l := newTestRouter(t)
		o := &testClient{loop: l}
		runFor(router, l, 400*time.Millisecond, func() {
			router.Accept(Request{Class: "look", Deadline: 120 * time.Millisecond, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				p.calls[0].attempt.OnResponseStarted(nil, nil)
				p.calls[0].attempt.OnResponsePart(make([]byte, 7))
				router.perform(balance.Cancel{ID: "1", Attempt: 0})
			})
			l.AfterFunc(300*time.Millisecond, func() {
				p.calls[0].attempt.OnResponsePart(make([]byte, 7))
				p.calls[0].end(end)
			})
		})
		if done := end == balance.StatusDone; o.responsesStarted != 1 || o.responseBytes != 14 || o.answers()+o.truncated != 1 || done != (o.served == 1) || len(p.calls) != 1 || router.InFlight() != 0 {
			t.Errorf("%v: %+v, %d attempts, %d in hand", end, o, len(p.calls), router.InFlight())
		}
		var recorded []*audit.Answer
		for _, e := range p.events {
			if a, ok := e.(*audit.Answer); ok {
				recorded = append(recorded, a)
			}
		}
		if want := map[bool]audit.Outcome{true: audit.Served, false: audit.Cut}[end == balance.StatusDone]; len(recorded) != 1 || recorded[0].Outcome != want ||
			len(recorded[0].Attempts) != 1 || recorded[0].Attempts[0].End != end {
			t.Errorf("%v: recorded as %+v", end, recorded)
		}
	}
}

// The module hears when an answer began to come, not when a slow peer had given the whole of it.
func TestElapsedEndsWithFirstByte(t *testing.T) {
	router, p, l := newTestRouter(t)
	var took time.Duration
	runFor(router, l, 200*time.Millisecond, func() {
		at := l.Now()
		router.Accept(Request{Class: "look", Deadline: time.Second, ReceivedAt: at, Job: 1}, &testClient{loop: l})
		l.AfterFunc(150*time.Millisecond, func() {
			p.calls[0].done(Result{Status: balance.StatusDone, ResponseStartedAt: at + 10*time.Millisecond})
			took = router.balancerEvents[len(router.balancerEvents)-1].(balance.AttemptResult).Elapsed
		})
	})
	if took > 10*time.Millisecond {
		t.Fatal(took)
	}
}

func TestUnwrittenRequestIsRejected(t *testing.T) {
	router, p, l := newTestRouter(t)
	p.written = false
	o := &testClient{loop: l}
	runFor(router, l, 200*time.Millisecond, func() {
		router.Accept(Request{Class: "job", Deadline: 120 * time.Millisecond, ReceivedAt: l.Now(), Job: 1}, o)
	})
	if o.rejected != 1 || o.answers() != 1 {
		t.Fatalf("%+v", o)
	}
}

func TestInvalidAndExcessRequestsAreRejected(t *testing.T) {
	router, _, l := newTestRouter(t)
	router.limits.Router.InFlightRequests = 1
	a, b, c := &testClient{loop: l}, &testClient{loop: l}, &testClient{loop: l}
	runFor(router, l, 50*time.Millisecond, func() {
		for want, req := range map[error]Request{ErrUnknownClass: {Class: "none", Deadline: time.Second}, ErrNoTimeLeft: {Class: "look"}} {
			if _, err := router.Accept(req, a); err != want {
				t.Errorf("%v, not %v", err, want)
			}
		}
		router.Accept(Request{Label: "b", Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 2}, b)
		// It would be given what another client has asked for.
		if _, err := router.Accept(Request{Label: "b", Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 4}, a); err != ErrDuplicateRequest {
			t.Error(err)
		}
		router.Accept(Request{Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 3}, c)
	})
	if a.answers() != 0 || b.answers() != 0 || c.rejected != 1 || c.retryAfter <= 0 {
		t.Fatalf("%+v %+v %+v", a, b, c)
	}
}

// Whatever the db machines do and whenever clients leave, each request ends once, no job goes out again after it
// may have run, and nothing stays behind.
func TestRandomOutcomes(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	router, p, l := newTestRouter(t)
	var all []*testClient
	left := map[int]bool{}
	var ids []string
	tick := func() {}
	n := 0
	tick = func() {
		if n++; n > 300 {
			return
		}
		o := &testClient{loop: l}
		class := []string{"look", "job"}[rng.IntN(2)]
		id, _ := router.Accept(Request{
			Class: class, Label: fmt.Sprint(class, n), Deadline: time.Duration(20+rng.IntN(80)) * time.Millisecond,
			ReceivedAt: l.Now(), Job: fmt.Sprintf("%s%d", class, n),
		}, o)
		ids = append(ids, id)
		all = append(all, o)
		if i := rng.IntN(len(all)); rng.IntN(6) == 0 && all[i].answers() == 0 {
			left[i] = true
			router.Disconnect(ids[i])
		}
		for _, c := range p.calls {
			if !c.ended && rng.IntN(3) == 0 {
				c.end([]balance.Status{
					balance.StatusDone, balance.StatusDone, balance.StatusError, balance.StatusBusy, balance.StatusConnectFailed,
					balance.StatusReset, balance.StatusNotSent, balance.StatusMiss,
				}[rng.IntN(8)])
			}
		}
		l.AfterFunc(time.Millisecond, tick)
	}
	runFor(router, l, 800*time.Millisecond, tick)
	may := map[any]bool{}
	for _, c := range p.calls {
		if may[c.attempt.Job] {
			t.Fatalf("%v: sent again", c.attempt.Job)
		}
		// A call that ended without a status was cancelled at its deadline: it may have run.
		safe := c.status == balance.StatusBusy || c.status == balance.StatusConnectFailed || c.status == balance.StatusNotSent || c.status == balance.StatusMiss
		may[c.attempt.Job] = strings.HasPrefix(c.attempt.Job.(string), "job") && !safe
	}
	recorded, outcomes := map[string]*audit.Answer{}, map[audit.Outcome]int{}
	for _, e := range p.events {
		if a, ok := e.(*audit.Answer); ok {
			if recorded[a.Request] != nil {
				t.Fatalf("%s is recorded twice", a.Request)
			}
			recorded[a.Request] = a
			outcomes[a.Outcome]++
		}
	}
	if c := router.Counts(); len(recorded) != len(all) || uint64(outcomes[audit.Served]) != c.Served || uint64(outcomes[audit.Refused]) != c.Rejected ||
		uint64(outcomes[audit.Failed]) != c.Failed || uint64(outcomes[audit.Left]) != c.Disconnected {
		t.Fatalf("%d records of %d requests: %v, counted %+v", len(recorded), len(all), outcomes, c)
	}
	for id, a := range recorded {
		if len(a.Attempts) == 0 && (a.Outcome == audit.Served || a.MayRun) || a.Writes != strings.HasPrefix(id, "job") ||
			a.Outcome == audit.Refused && (a.Retry <= 0 || a.MayRun) || a.Outcome == audit.Failed && !a.MayRun && a.Writes || a.Total < a.Queued {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	for i, o := range all {
		want := 1
		if left[i] {
			want = 0
		}
		if o.answers() != want {
			t.Fatalf("request %d, left %v: %+v", i, left[i], o)
		}
	}
	if router.InFlight() != 0 || len(router.openLabels) != 0 {
		t.Fatalf("%d in hand, %d open", router.InFlight(), len(router.openLabels))
	}
}

// A client that leaves gives up the attempt of its read, and hears nothing; what may change data runs to its end.
func TestDisconnectCancelsReadsOnly(t *testing.T) {
	for class, given := range map[string]bool{"look": true, "job": false} {
		router, p, l := newTestRouter(t)
		o := &testClient{loop: l}
		runFor(router, l, 100*time.Millisecond, func() {
			id, _ := router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() { router.Disconnect(id) })
		})
		if len(p.calls) != 1 || p.calls[0].ended != given || o.answers() != 0 || (router.InFlight() == 0) != given {
			t.Errorf("%s: %d attempts, %+v, %d in hand", class, len(p.calls), o, router.InFlight())
		}
	}
}

// A client that has gone gets no attempt begun, first or further, though the close has yet to be told; nor does one go out that
// waits for a connection when its client leaves, whatever the class.
func TestNoAttemptStartsForADisconnectedClient(t *testing.T) {
	for _, class := range []string{"look", "job"} {
		router, p, l := newTestRouter(t)
		o := &testClient{loop: l, disconnected: true}
		runFor(router, l, 100*time.Millisecond, func() { router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o) })
		if len(p.calls) != 0 || o.answers() != 0 || router.InFlight() != 0 || router.Counts().Disconnected != 1 {
			t.Errorf("%s: %d attempts, %+v, %d in hand", class, len(p.calls), o, router.InFlight())
		}

		// It goes between two attempts.
		router, p, l = newTestRouter(t)
		o = &testClient{loop: l}
		runFor(router, l, 200*time.Millisecond, func() {
			router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				o.disconnected = true
				p.calls[0].end(balance.StatusBusy)
			})
		})
		if len(p.calls) != 1 || o.answers() != 0 || router.InFlight() != 0 {
			t.Errorf("%s, a further one: %d attempts, %+v, %d in hand", class, len(p.calls), o, router.InFlight())
		}

		// It leaves while its attempt waits for a connection; the attempt asks again right before it is written.
		router, p, l = newTestRouter(t)
		p.written = false
		o = &testClient{loop: l}
		runFor(router, l, 100*time.Millisecond, func() {
			id, _ := router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				o.disconnected = true
				if !p.calls[0].attempt.Abandoned() {
					t.Errorf("%s: its attempt is still wanted", class)
				}
				router.Disconnect(id)
			})
		})
		if len(p.calls) != 1 || !p.calls[0].ended || o.answers() != 0 || router.InFlight() != 0 {
			t.Errorf("%s, waiting: %d attempts, %+v, %d in hand", class, len(p.calls), o, router.InFlight())
		}
	}
}

// What is taken late in a shutdown is answered before the platform ends the process, though its client would wait longer.
func TestShutdownDeadlineBoundsLateRequests(t *testing.T) {
	for _, class := range []string{"look", "job"} {
		router, _, l := newTestRouter(t)
		early, late, last := &testClient{loop: l}, &testClient{loop: l}, &testClient{loop: l}
		runFor(router, l, 400*time.Millisecond, func() {
			router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, early)
			router.SetShutdownDeadline(l.Now() + 100*time.Millisecond)
			router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 2}, late)
			l.AfterFunc(150*time.Millisecond, func() {
				router.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 3}, last)
			})
		})
		if early.answers() != 0 && early.answeredAt <= late.answeredAt || late.answers() != 1 || last.rejected != 1 || last.answers() != 1 {
			t.Errorf("%s: %+v %+v %+v", class, early, late, last)
		}
	}
}
