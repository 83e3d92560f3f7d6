package failover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{
		Instances: 1,
		Classes: map[string]Class{
			"job":   {PriorityWeight: 1, Work: 10 * ms},
			"small": {PriorityWeight: 0.1, Work: 10 * ms},
		},
		MaxPending:      20,
		MaxPendingBytes: 2000,
		DeadlineMargin:  10 * ms,
	}
}

// newTestTracker returns a Tracker with the given number of groups, with IDs from 0. Each group has three endpoints, in
// group 0 n0-0, n0-1 and n0-2. The first endpoint of each group is its primary.
func newTestTracker(cfg Config, seed uint64, groups int) *Tracker {
	tracker := New(cfg, seed)
	var entries []Endpoint
	for group := range groups {
		for i := range 3 {
			entries = append(entries, Endpoint{ID: fmt.Sprintf("n%d-%d", group, i), Group: int64(group)})
		}
	}
	tracker.UpdateEndpoints(0, entries, true)
	for group := range groups {
		tracker.ObservePrimary(0, int64(group), fmt.Sprintf("n%d-0", group))
	}
	tracker.Actions()
	return tracker
}

func actionKinds(tracker *Tracker) (kinds []ActionKind) {
	for _, action := range tracker.Actions() {
		kinds = append(kinds, action.Kind)
	}
	return kinds
}

// requestState is the state of a request in the fake router.
type requestState string

const (
	stateNew      requestState = "new"
	statePending  requestState = "pending"
	stateReleased requestState = "released"
	stateDone     requestState = "done"
)

// fakeRouter is a router around a Tracker. It checks the actions that the Tracker requests.
type fakeRouter struct {
	t         *rapid.T
	tracker   *Tracker
	now       time.Duration
	states    map[string]requestState
	deadlines map[string]time.Duration
	groups    map[string]int64
	terms     map[int64]uint64
}

func newFakeRouter(t *rapid.T) *fakeRouter {
	cfg := testConfig()
	if rapid.Bool().Draw(t, "timed") {
		cfg.MaxPendingTime = 300 * ms
	}
	return &fakeRouter{
		t:         t,
		tracker:   newTestTracker(cfg, rapid.Uint64().Draw(t, "seed"), 2),
		now:       time.Second,
		states:    map[string]requestState{},
		deadlines: map[string]time.Duration{},
		groups:    map[string]int64{},
		terms:     map[int64]uint64{},
	}
}

func (r *fakeRouter) carryOutActions() {
	r.t.Helper()
	for r.tracker.HasActions() {
		for _, action := range r.tracker.Actions() {
			switch action.Kind {
			case ActionRelease:
				r.release(action)
			case ActionReject:
				r.reject(action)
			case ActionHealthCheck:
				endpoint := r.tracker.endpoints[action.Endpoint]
				if endpoint == nil || endpoint.draining || endpoint.suspended {
					r.t.Fatalf("health check of %s, which is out of service", action.Endpoint)
				}
			case ActionWithdraw, ActionPhaseChanged:
			}
		}
	}
}

func (r *fakeRouter) release(action Action) {
	r.t.Helper()
	if r.states[action.ID] != statePending {
		r.t.Fatalf("request %s is released in state %s, want pending", action.ID, r.states[action.ID])
	}
	phase, _, primary, _ := r.tracker.Group(action.Group)
	if phase != PhaseSuccessorSeen || primary == "" {
		r.t.Fatalf("request %s is released in phase %v to primary %q, want the phase successor seen and a known primary",
			action.ID, phase, primary)
	}
	r.states[action.ID] = stateReleased
}

func (r *fakeRouter) reject(action Action) {
	r.t.Helper()
	if state := r.states[action.ID]; state != statePending && state != stateNew {
		r.t.Fatalf("request %s is rejected in state %s, want pending or new", action.ID, state)
	}
	if action.RetryAfter <= 0 {
		r.t.Fatalf("request %s is rejected without a Retry-After", action.ID)
	}
	r.states[action.ID] = stateDone
}

// checkInvariants compares the queue with the states of the requests in the router and with its bounds, and checks that
// no term has decreased.
func (r *fakeRouter) checkInvariants() {
	r.t.Helper()
	expected := 0
	for id, state := range r.states {
		if state != statePending {
			continue
		}
		expected++
		if !r.tracker.IsPending(id) {
			r.t.Fatalf("request %s is not in the queue, want it pending", id)
		}
	}
	bytes, inGroups := 0, 0
	for _, group := range r.tracker.orderedGroups {
		for _, request := range group.pending {
			bytes += request.Size
		}
		inGroups += len(group.pending)
		if group.term < r.terms[group.id] {
			r.t.Fatalf("term of group %d decreased from %d to %d", group.id, r.terms[group.id], group.term)
		}
		r.terms[group.id] = group.term
	}
	queue, cfg := &r.tracker.pending, &r.tracker.cfg
	if expected != len(queue.byID) || expected != inGroups || expected > cfg.MaxPending {
		r.t.Fatalf("%d requests should be pending, at most MaxPending; %d are by ID, %d in groups",
			expected, len(queue.byID), inGroups)
	}
	if bytes != queue.bytes || bytes > cfg.MaxPendingBytes {
		r.t.Fatalf("%d bytes are pending, the queue counts %d, want equal numbers of at most MaxPendingBytes",
			bytes, queue.bytes)
	}
	inClientQueues := 0
	for _, client := range queue.clients {
		inClientQueues += len(client.pending)
	}
	if inClientQueues != expected {
		r.t.Fatalf("%d requests should be pending; %d are in the queues of clients", expected, inClientQueues)
	}
}

func (r *fakeRouter) drawEndpoint() string {
	group := rapid.IntRange(0, 1).Draw(r.t, "group of endpoint")
	return fmt.Sprintf("n%d-%d", group, rapid.IntRange(0, 2).Draw(r.t, "endpoint"))
}

// enqueue creates a random request, and enqueues it if ShouldQueue returns true.
func (r *fakeRouter) enqueue(group int64) {
	t := r.t
	request := Request{
		ID:       fmt.Sprint("q", len(r.states)+1),
		Group:    group,
		Class:    rapid.SampledFrom([]string{"job", "small"}).Draw(t, "class"),
		Client:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "client"),
		Deadline: r.now + time.Duration(rapid.IntRange(0, 500).Draw(t, "wait"))*ms,
		Size:     rapid.IntRange(0, 400).Draw(t, "size"),
	}
	if !r.tracker.ShouldQueue(group, request.Class) {
		return
	}
	r.states[request.ID] = stateNew
	r.deadlines[request.ID] = request.Deadline
	r.groups[request.ID] = group
	r.tracker.Enqueue(r.now, request)
	if r.tracker.IsPending(request.ID) {
		r.states[request.ID] = statePending
		return
	}
	for _, action := range r.tracker.actions { // it may have been released immediately
		if action.ID == request.ID && action.Kind == ActionRelease {
			r.states[request.ID] = statePending
		}
	}
}

// completeOneRequest reports the end of one pending or released request.
func (r *fakeRouter) completeOneRequest() {
	for id, state := range r.states {
		if state == statePending || state == stateReleased {
			r.tracker.RequestDone(r.now, r.groups[id], id)
			r.states[id] = stateDone
			return
		}
	}
}

// drawEvent reports a random event to the Tracker.
func (r *fakeRouter) drawEvent() {
	t, tracker := r.t, r.tracker
	group := int64(rapid.IntRange(0, 1).Draw(t, "group"))
	switch rapid.IntRange(0, 13).Draw(t, "event") {
	case 0, 1, 2, 3:
		r.enqueue(group)
	case 4:
		tracker.AttemptEnded(r.now, r.drawEndpoint(), "x", EndUnreachable, RoleUnknown, 0, "", 0)
	case 5:
		tracker.AttemptEnded(r.now, r.drawEndpoint(), "x", EndNotPrimary, RoleReplica, 0, "", 0)
	case 6:
		answered := rapid.Bool().Draw(t, "answered")
		role := Role(rapid.IntRange(0, 2).Draw(t, "role"))
		tracker.HealthCheckEnded(r.now, r.drawEndpoint(), answered, role, r.now)
	case 7:
		primary := rapid.IntRange(0, 2).Draw(t, "primary")
		tracker.ObservePrimary(r.now, group, fmt.Sprintf("n%d-%d", group, primary))
	case 8:
		_, _, primary, _ := tracker.Group(group)
		tracker.SuspectPrimary(r.now, group, primary)
	case 9:
		tracker.Announce(r.now, group, 200*ms)
	case 10:
		tracker.SetSuspended(r.now, r.drawEndpoint(), rapid.Bool().Draw(t, "suspended"))
	case 11:
		id := r.drawEndpoint()
		entry := Endpoint{ID: id, Group: int64(id[1] - '0')}
		entry.Draining = rapid.Bool().Draw(t, "draining")
		entry.Removed = rapid.IntRange(0, 9).Draw(t, "removed") == 0
		tracker.UpdateEndpoints(r.now, []Endpoint{entry}, false)
	case 12:
		r.completeOneRequest()
	case 13:
		tracker.AttemptSent(r.now, r.drawEndpoint(), "x")
	}
}

func (r *fakeRouter) tick() {
	r.t.Helper()
	r.tracker.Tick(r.now)
	r.carryOutActions()
	r.checkInvariants()
}

// In any order of events, terms never decrease, the queue stays within its bounds, requests are released only to a
// known primary, endpoints out of service get no health checks, and no request stays in the queue after its deadline.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := newFakeRouter(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			router.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
			router.drawEvent()
			router.tick()
		}
		for range 200 { // without further events
			router.now += 5 * ms
			router.tick()
		}
		for id, state := range router.states {
			if state == statePending && router.now > router.deadlines[id] {
				t.Fatalf("request %s is still pending %v after its deadline", id, router.now-router.deadlines[id])
			}
		}
	})
}

func BenchmarkEnqueueAndRelease(b *testing.B) {
	const requests = 10_000
	for b.Loop() {
		cfg := testConfig()
		cfg.MaxPending = requests
		cfg.MaxPendingBytes = 1 << 30
		tracker := newTestTracker(cfg, 1, 1)
		tracker.SuspectPrimary(1, 0, "n0-0")
		for i := range requests {
			tracker.Enqueue(2, Request{
				ID:       fmt.Sprint(i),
				Class:    "job",
				Client:   fmt.Sprint(i % 100),
				Deadline: time.Second + time.Duration(i*7919%requests)*ms,
			})
		}
		tracker.Actions()
		tracker.ObservePrimary(3, 0, "n0-1")
		if released := releaseAll(tracker); released != requests {
			b.Fatal(released)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/requests, "ns/enqueue+release")
}

// releaseAll reports a response to each released request until no more are released, and returns their number.
func releaseAll(tracker *Tracker) (released int) {
	for tracker.HasActions() {
		for _, action := range tracker.Actions() {
			if action.Kind == ActionRelease {
				released++
				tracker.AttemptEnded(4, "n0-1", action.ID, EndAnswered, RolePrimary, 0, "job", ms)
			}
		}
	}
	return released
}
