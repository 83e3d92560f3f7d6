package router

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
	"limeladder/internal/limits"
)

// The classes of the test routers.
const (
	readClass  = "read"
	writeClass = "write"
)

// bothClasses has a read class, which is idempotent, and a write class, which is not.
var bothClasses = []string{readClass, writeClass}

// fakePeers implements Backends, DiscoveryPoller and Audit. It keeps the started attempts, which the test ends.
type fakePeers struct {
	t        *testing.T
	attempts []*fakeAttempt
	written  bool // reported by Cancel: whether cancelled attempts had been written
	events   []audit.Event
}

// fakeAttempt is an attempt that was started on a fakePeers. It implements AttemptHandle.
type fakeAttempt struct {
	Attempt
	peers  *fakePeers
	done   func(Result)
	ended  bool
	status balance.Status // passed to end by the test
}

func (p *fakePeers) Start(attempt Attempt, done func(Result)) AttemptHandle {
	for _, other := range p.attempts {
		if !other.ended && other.Job == attempt.Job {
			p.t.Error("got two attempts of one request in flight, want at most one")
		}
	}
	started := &fakeAttempt{Attempt: attempt, peers: p, done: done}
	p.attempts = append(p.attempts, started)
	return started
}

func (p *fakePeers) HealthCheck(_ string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (p *fakePeers) Poll()                    {}
func (p *fakePeers) Suspend(string, bool)     {}
func (p *fakePeers) Record(event audit.Event) { p.events = append(p.events, event) }

// answers returns the recorded answers.
func (p *fakePeers) answers() []*audit.Answer {
	var answers []*audit.Answer
	for _, event := range p.events {
		if answer, ok := event.(*audit.Answer); ok {
			answers = append(answers, answer)
		}
	}
	return answers
}

func (a *fakeAttempt) Cancel() bool {
	a.ended = true
	return a.peers.written
}

func (a *fakeAttempt) NotWritten() bool { return !a.ended && !a.peers.written }

func (a *fakeAttempt) end(status balance.Status) {
	a.ended = true
	a.status = status
	a.done(Result{Status: status})
}

// fakeClient implements Client and counts the answers to one request.
type fakeClient struct {
	loop         *eventloop.Loop
	disconnected bool
	hasNoRoom    bool // there is no memory to keep a response
	withholds    bool // responses that have started are kept until they are complete

	served           int
	rejected         int
	failed           int
	truncated        int
	responsesStarted int
	responseBytes    int
	retryAfter       time.Duration
	answeredAt       time.Duration
}

func (c *fakeClient) Disconnected(bool) bool                   { return c.disconnected }
func (c *fakeClient) HasRoomFor(Response) bool                 { return !c.hasNoRoom }
func (c *fakeClient) WithholdsResponse() bool                  { return c.withholds }
func (c *fakeClient) ResponseStarted(Response, FlowController) { c.responsesStarted++ }
func (c *fakeClient) ResponsePart(part []byte)                 { c.responseBytes += len(part) }
func (c *fakeClient) ResponseTruncated()                       { c.truncated++ }

func (c *fakeClient) Served(Response) {
	c.served++
	c.answeredAt = c.loop.Now()
}

func (c *fakeClient) Rejected(retryAfter time.Duration) {
	c.rejected++
	c.retryAfter = retryAfter
	c.answeredAt = c.loop.Now()
}

func (c *fakeClient) Failed(string) {
	c.failed++
	c.answeredAt = c.loop.Now()
}

// answers returns the number of final answers other than truncated responses.
func (c *fakeClient) answers() int { return c.served + c.rejected + c.failed }

// instantPeers implements Backends, with endpoints that answer immediately, as well as AttemptHandle, DiscoveryPoller
// and Client.
type instantPeers struct{ loop *eventloop.Loop }

func (p instantPeers) Start(_ Attempt, done func(Result)) AttemptHandle {
	p.loop.Post(func() { done(Result{Status: balance.StatusDone, Role: balance.RolePrimary}) })
	return p
}

func (instantPeers) HealthCheck(_ string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (instantPeers) NotWritten() bool                         { return false }
func (instantPeers) Disconnected(bool) bool                   { return false }
func (instantPeers) Cancel() bool                             { return true }
func (instantPeers) Suspend(string, bool)                     {}
func (instantPeers) Poll()                                    {}
func (instantPeers) HasRoomFor(Response) bool                 { return true }
func (instantPeers) WithholdsResponse() bool                  { return false }
func (instantPeers) ResponseStarted(Response, FlowController) {}
func (instantPeers) ResponsePart([]byte)                      {}
func (instantPeers) ResponseTruncated()                       {}
func (instantPeers) Rejected(time.Duration)                   {}
func (instantPeers) Failed(string)                            {}
func (instantPeers) Served(Response)                          {}

// manualPeers implements Backends, with endpoints that answer when the test calls endAll.
type manualPeers struct {
	instantPeers
	inFlight []func(Result)
}

func (p *manualPeers) Start(_ Attempt, done func(Result)) AttemptHandle {
	p.inFlight = append(p.inFlight, done)
	return p
}

// endAll ends the attempts in flight.
func (p *manualPeers) endAll(status balance.Status) {
	ending := p.inFlight
	p.inFlight = nil
	for _, done := range ending {
		done(Result{Status: status, Role: balance.RolePrimary})
	}
}

// discardLogger returns a logger that discards its output. It formats each record, so that its cost is that of a real
// one.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testClass returns a class of the test routers.
func testClass(name string, clientTimeout time.Duration) balance.Class {
	class := balance.Class{
		Name:             name,
		LatencyObjective: 100 * time.Millisecond,
		ClientTimeout:    clientTimeout,
		PriorityWeight:   1,
		Consistency:      balance.ConsistencyAny,
	}
	if name == writeClass {
		class.Consistency = balance.ConsistencyWrite
		class.Idempotency = balance.NonIdempotent
	}
	return class
}

// testEndpoints returns a replica group of n1 and n2. If primary is set, n1 is its primary.
func testEndpoints(primary bool) balance.EndpointList {
	return balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: primary},
		{Endpoint: "n2", Zone: "a", State: balance.EndpointReady},
	}}
}

// newTestRouter returns a router with a primary, its peers and its loop.
func newTestRouter(t *testing.T) (*Router, *fakePeers, *eventloop.Loop) {
	t.Helper()
	loop := eventloop.New()
	router, peers := newTestRouterOnLoop(t, loop, true)
	return router, peers, loop
}

// newTestRouterOnLoop is like newTestRouter, but uses the given loop, and has a primary only if primary is set.
func newTestRouterOnLoop(t *testing.T, loop *eventloop.Loop, primary bool) (*Router, *fakePeers) {
	t.Helper()
	peers := &fakePeers{t: t, written: true}
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	cfg := balance.Config{
		Instances:    1,
		Zone:         "a",
		Cancellation: true,
		MaxAttempts:  4,
		Classes:      []balance.Class{testClass(readClass, time.Second), testClass(writeClass, time.Second)},
	}
	router, err := New(loop, lim, discardLogger(), cfg, 1, peers)
	if err != nil {
		t.Fatal(err)
	}
	router.Connect(peers, peers)
	router.UpdateEndpoints(testEndpoints(primary))
	return router, peers
}

// newInstantRouter returns a router without audit whose endpoints answer immediately.
func newInstantRouter(tb testing.TB, withQueue, primary bool) (*Router, *eventloop.Loop) {
	tb.Helper()
	loop := eventloop.New()
	lim := limits.New(192, 8192, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	cfg := balance.Config{
		Instances:   1,
		Zone:        "a",
		MaxAttempts: 4,
		Classes:     []balance.Class{testClass(writeClass, 3*time.Second)},
	}
	router, err := New(loop, lim, discardLogger(), cfg, 1, nil)
	if err != nil {
		tb.Fatal(err)
	}
	router.Connect(instantPeers{loop}, instantPeers{loop})
	if withQueue {
		enableTestFailoverQueue(router)
	}
	router.UpdateEndpoints(testEndpoints(primary))
	router.Step()
	return router, loop
}

// enableTestFailoverQueue enables the failover queue of a router.
func enableTestFailoverQueue(router *Router) {
	router.EnableFailoverQueue(failover.Config{
		Instances:       1,
		Classes:         map[string]failover.Class{writeClass: {PriorityWeight: 1, Work: 10 * time.Millisecond}},
		MaxPending:      20_000,
		MaxPendingBytes: 1 << 30,
		DeadlineMargin:  10 * time.Millisecond,
	}, 1, nil)
}

// suspectPrimary makes a router suspect the primary n1, while no other primary is known.
func suspectPrimary(router *Router) {
	router.perform(balance.PrimaryUpdate{Group: 0, Endpoint: "n1"})
}

// accept passes a valid request to a router and returns its id.
func accept(tb testing.TB, router *Router, req Request, client Client) (id string) {
	tb.Helper()
	id, err := router.Accept(req, client)
	if err != nil {
		tb.Errorf("Accept returned %v for a valid request", err)
	}
	return id
}

// runFor runs the loop for the given duration, starting with a call of first in the loop's goroutine.
func runFor(router *Router, loop *eventloop.Loop, duration time.Duration, first func()) {
	loop.Post(first)
	loop.Post(func() { loop.AfterFunc(duration, loop.Stop) })
	loop.Run(router.Step)
}

// provesNotRun reports whether the status of an attempt proves that it was not executed.
func provesNotRun(status balance.Status) bool {
	safe := []balance.Status{
		balance.StatusBusy, balance.StatusConnectFailed, balance.StatusNotSent, balance.StatusMiss,
	}
	return slices.Contains(safe, status)
}
