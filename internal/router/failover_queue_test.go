package router

import (
	"strconv"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// Queued writes are released to a new primary gradually: a few at first, and more with each answer.
func TestEachAnswerReleasesMorePendingWrites(t *testing.T) {
	router, loop := newInstantRouter(t, true, true)
	peers := &manualPeers{instantPeers: instantPeers{loop}}
	router.Connect(peers, peers)
	released := func() int { return router.FailoverViews()[0].ReleasedInFlight }
	wantReleased := func(want int) {
		t.Helper()
		router.Step()
		if n := released(); n != want {
			t.Fatalf("got %d writes released, want %d", n, want)
		}
	}
	suspectPrimary(router)
	acceptWrites(t, router, loop, 500)
	router.Step()
	if pending := router.FailoverViews()[0].Pending; pending != 500 || len(peers.inFlight) != 0 {
		t.Fatalf("got %d writes queued, %d sent, want 500 queued, 0 sent", pending, len(peers.inFlight))
	}
	router.perform(balance.PrimaryUpdate{Group: 0, Endpoint: "n1", Confirmed: true})
	wantReleased(8)
	peers.endAll(balance.StatusDone)
	wantReleased(16)
	peers.endAll(balance.StatusDone)
	if n := released(); n < 24 || n > 32 {
		t.Fatalf("got %d writes released, want 24 to 32", n)
	}
	for range 6 {
		router.Step()
		peers.endAll(balance.StatusDone)
	}
	router.Step()
	if n := released(); n < 64 {
		t.Fatalf("got %d writes released after eight rounds of answers, want at least 64", n)
	}
}

// acceptWrites passes count writes of 500 clients to a router.
func acceptWrites(tb testing.TB, router *Router, loop *eventloop.Loop, count int) {
	tb.Helper()
	for i := range count {
		accept(tb, router, Request{
			Class:           writeClass,
			ClientRequestID: strconv.Itoa(i),
			ClientAddress:   strconv.Itoa(i % 500),
			ClientTimeout:   3 * time.Second,
			ReceivedAt:      loop.Now(),
		}, instantPeers{loop})
	}
}

// A write is requeued only if it cannot have been executed and has an attempt left.
func TestOnlyUnexecutedWritesAreRequeued(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*request)
		queued bool
	}{
		{"no attempt was executed", func(*request) {}, true},
		{"an attempt may have been executed", func(req *request) { req.attempts.mayHaveRun = true }, false},
		{"an attempt is in flight", func(req *request) { req.attempts.inFlight = instantPeers{} }, false},
		{"the response has started", func(req *request) { req.attempts.responseStarted = true }, false},
		{"the request is answered", func(req *request) { req.finished = true }, false},
		{"all attempts are used", func(req *request) { req.attempts.priorAttempts = 3 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := &fakeQueueHost{}
			queue := newTestQueue(host)
			queue.primaryUpdated(balance.PrimaryUpdate{Group: 7, Endpoint: "n1"})
			req := newQueuedRequest("1", 7)
			req.queued = false
			req.attempts.requested = 1
			test.change(req)
			queue.requeue(req)
			if req.queued != test.queued || len(host.withdrawn) == 1 != test.queued {
				t.Errorf("got queued %v, withdrawn %v, which is not what the test case expects", req.queued, host.withdrawn)
			}
		})
	}
}

// A queued write is submitted to the balancer when a new primary is observed, and is rejected when it cannot be served
// in time.
func TestQueuedWriteIsReleasedOrRejected(t *testing.T) {
	host := &fakeQueueHost{}
	queue := newTestQueue(host)
	queue.primaryUpdated(balance.PrimaryUpdate{Group: 7, Endpoint: "n1"})
	released := newQueuedRequest("released", 7)
	released.queued = false
	if !queue.enqueue(released) || !released.queued {
		t.Fatal("the write was not queued")
	}
	tooLate := newQueuedRequest("too late", 7)
	tooLate.ClientTimeout = time.Millisecond
	queue.enqueue(tooLate)
	host.requests = []*request{released, tooLate}
	queue.performActions()
	if len(host.rejected) != 1 || host.rejected[0] != "too late" {
		t.Errorf("got rejected %v, want only the write that is too late", host.rejected)
	}
	queue.primaryUpdated(balance.PrimaryUpdate{Group: 7, Endpoint: "n2", Confirmed: true})
	queue.performActions()
	if len(host.submitted) != 1 || host.submitted[0] != "released" || released.queued {
		t.Errorf("got submitted %v, want only the released write", host.submitted)
	}
}

// The methods of a nil queue, which means that it is disabled, do nothing.
func TestNilFailoverQueueDoesNothing(t *testing.T) {
	var queue *failoverQueue
	req := newQueuedRequest("1", 7)
	if queue.queuesClass(writeClass) {
		t.Error("a nil queue queues the requests of a class")
	}
	queue.attemptSent(req)
	queue.attemptEnded(req, &Result{}, 0, 0)
	queue.requestDone(req)
	queue.healthCheckEnded("n1", &Result{})
	queue.primaryUpdated(balance.PrimaryUpdate{})
	queue.endpointSuspended("n1", true)
	queue.endpointsUpdated(testEndpoints(true))
	queue.performActions()
}

// fakeQueueHost implements failoverQueueHost and records the calls of the queue.
type fakeQueueHost struct {
	requests  []*request
	submitted []string
	withdrawn []string
	rejected  []string
}

func (*fakeQueueHost) IsWrite(class string) bool { return class == writeClass }

func (h *fakeQueueHost) request(id string) *request {
	for _, req := range h.requests {
		if req.id == id {
			return req
		}
	}
	return nil
}

func (h *fakeQueueHost) queueableRequests(int64) []*request { return h.requests }
func (h *fakeQueueHost) submit(req *request)                { h.submitted = append(h.submitted, req.id) }

func (h *fakeQueueHost) withdraw(req *request) { h.withdrawn = append(h.withdrawn, req.id) }
func (h *fakeQueueHost) checkHealth(string)    {}

func (h *fakeQueueHost) reject(req *request, _ time.Duration, _ string) {
	h.rejected = append(h.rejected, req.id)
}

// newTestQueue returns a queue whose clock does not advance.
func newTestQueue(host failoverQueueHost) *failoverQueue {
	cfg := failover.Config{
		Instances:       1,
		Classes:         map[string]failover.Class{writeClass: {PriorityWeight: 1, Work: 10 * time.Millisecond}},
		MaxPending:      10,
		MaxPendingBytes: 1 << 20,
		DeadlineMargin:  10 * time.Millisecond,
	}
	return &failoverQueue{
		host:        host,
		tracker:     failover.New(cfg, 1),
		loop:        eventloop.NewWithClock(func() time.Duration { return time.Hour }),
		log:         discardLogger(),
		classes:     cfg.Classes,
		maxAttempts: 4,
	}
}

// newQueuedRequest returns a queued write.
func newQueuedRequest(id string, group int64) *request {
	received := Request{Class: writeClass, Group: group, ClientTimeout: time.Second, ReceivedAt: time.Hour}
	return &request{Request: received, id: id, queueable: true, queued: true}
}
