package router

import (
	"strconv"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// What is queued goes out to a new primary a few at first, and more with each answer.
func TestEachAnswerReleasesMorePendingWrites(t *testing.T) {
	router, loop := newInstantRouter(t, true, true)
	peers := &manualPeers{instantPeers: instantPeers{loop}}
	router.Connect(peers, peers)
	released := func() int { return router.FailoverViews()[0].ReleasedInFlight }
	wantReleased := func(want int) {
		t.Helper()
		router.Step()
		if n := released(); n != want {
			t.Fatalf("%d released, not %d", n, want)
		}
	}
	suspectPrimary(router)
	acceptWrites(t, router, loop, 500)
	router.Step()
	if pending := router.FailoverViews()[0].Pending; pending != 500 || len(peers.inFlight) != 0 {
		t.Fatalf("%d queued, %d sent", pending, len(peers.inFlight))
	}
	router.perform(balance.PrimaryUpdate{Group: 0, Endpoint: "n1", Confirmed: true})
	wantReleased(8)
	peers.endAll(balance.StatusDone)
	wantReleased(16)
	peers.endAll(balance.StatusDone)
	if n := released(); n < 24 || n > 32 {
		t.Fatalf("%d released", n)
	}
	for range 6 {
		router.Step()
		peers.endAll(balance.StatusDone)
	}
	router.Step()
	if n := released(); n < 64 {
		t.Fatalf("%d released after eight rounds of answers", n)
	}
}

// acceptWrites hands so many writes to a router.
func acceptWrites(tb testing.TB, router *Router, loop *eventloop.Loop, count int) {
	tb.Helper()
	for i := range count {
		accept(tb, router, Request{
			Class:           writeClass,
			ClientRequestID: strconv.Itoa(i),
			ClientAddress:   strconv.Itoa(i % 500),
			Deadline:        3 * time.Second,
			ReceivedAt:      loop.Now(),
		}, instantPeers{loop})
	}
}

// A write goes back to the queue only if it is proved not to have run and may have another attempt.
func TestOnlyWritesThatHaveNotRunAreQueuedAgain(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*request)
		queued bool
	}{
		{"no attempt has run", func(*request) {}, true},
		{"one may have run", func(req *request) { req.attempts.mayHaveRun = true }, false},
		{"one is in flight", func(req *request) { req.attempts.inFlight = instantPeers{} }, false},
		{"its response has started", func(req *request) { req.attempts.responseStarted = true }, false},
		{"it is answered", func(req *request) { req.finished = true }, false},
		{"it has used its attempts", func(req *request) { req.attempts.prior = 3 }, false},
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
				t.Errorf("queued %v, withdrawn %v", req.queued, host.withdrawn)
			}
		})
	}
}

// A queued write goes to the balancer when a new primary is seen, and is answered when it can't be served in time.
func TestQueuedWriteIsReleasedOrRejected(t *testing.T) {
	host := &fakeQueueHost{}
	queue := newTestQueue(host)
	queue.primaryUpdated(balance.PrimaryUpdate{Group: 7, Endpoint: "n1"})
	released := newQueuedRequest("released", 7)
	released.queued = false
	if !queue.enqueue(released) || !released.queued {
		t.Fatal("not queued")
	}
	tooLate := newQueuedRequest("too late", 7)
	tooLate.Deadline = time.Millisecond
	queue.enqueue(tooLate)
	host.requests = []*request{released, tooLate}
	queue.performActions()
	if len(host.rejected) != 1 || host.rejected[0] != "too late" {
		t.Errorf("rejected: %v", host.rejected)
	}
	queue.primaryUpdated(balance.PrimaryUpdate{Group: 7, Endpoint: "n2", Confirmed: true})
	queue.performActions()
	if len(host.submitted) != 1 || host.submitted[0] != "released" || released.queued {
		t.Errorf("submitted: %v", host.submitted)
	}
}

// While the queue is off its methods do nothing.
func TestNilFailoverQueueDoesNothing(t *testing.T) {
	var queue *failoverQueue
	req := newQueuedRequest("1", 7)
	if queue.takesClass(writeClass) {
		t.Error("it takes a class")
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

// fakeQueueHost stands for the Router and notes what the queue asks of it.
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

// newTestQueue returns a queue on a clock that stands still.
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
		log:         discardLog(),
		classes:     cfg.Classes,
		maxAttempts: 4,
	}
}

// newQueuedRequest returns a write that is queued.
func newQueuedRequest(id string, group int64) *request {
	received := Request{Class: writeClass, Group: group, Deadline: time.Second, ReceivedAt: time.Hour}
	return &request{Request: received, id: id, queueable: true, queued: true}
}
