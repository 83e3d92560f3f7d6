package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// base is a made-up deployment: one class of each need.
func testConfig() Config {
	return Config{
		Instances: 1, Zone: "a", OverQuotaWeight: 0.1, TimerResolution: ms, HealthChecks: true, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 6, SlowStartFrom: 0.25,
		SlowStartWindow: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second, ClientSessionTokens: true,
		Classes: []Class{
			{Name: "any", LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.2, Consistency: ConsistencyAny},
			{Name: "bounded", LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1, Consistency: ConsistencyBounded, MaxStaleness: 300 * ms},
			{Name: "session", LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1, Consistency: ConsistencySession},
			{Name: "latest", LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1, Consistency: ConsistencyLatest},
			{Name: "write", LatencyObjective: 400 * ms, ClientTimeout: 3 * time.Second, PriorityWeight: 3, LateWeightShare: 0.3, Consistency: ConsistencyWrite,
				Idempotency: NonIdempotent},
			{Name: "keyed", LatencyObjective: 400 * ms, ClientTimeout: 3 * time.Second, PriorityWeight: 3, LateWeightShare: 0.3, Consistency: ConsistencyWrite,
				Idempotency: IdempotentWithKey, IdempotencyScope: ScopeGroup, IdempotencyWindow: 500 * ms},
		},
	}
}

// rig drives one Router by hand. It models no member: each test says what comes back.
type harness struct {
	t            *testing.T
	balancer     *Balancer
	now          Time
	requestCount int
}

func newHarness(t *testing.T, c Config, events ...Event) *harness {
	t.Helper()
	r, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, balancer: r, now: 100 * time.Second}
	h.step(0, events...)
	return h
}

// three is a list of a group 1 with the members a, b and c.
func threeEndpoints(kind EndpointListKind) EndpointList {
	return EndpointList{Kind: kind, Entries: []EndpointEntry{
		{Endpoint: "a", Zone: "a", Group: 1, State: EndpointReady}, {Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady},
		{Endpoint: "c", Zone: "a", Group: 1, State: EndpointReady}}}
}

func (h *harness) step(d time.Duration, events ...Event) []Action {
	h.now += d
	return h.balancer.Step(h.now, events)
}

func (h *harness) request(class string) Request {
	h.requestCount++
	return Request{ID: fmt.Sprint("q", h.requestCount), Class: class, Group: 1, SessionID: 5, TimeLeft: time.Second}
}

// ready is a rig whose router knows that a is the primary, and the positions of all.
func newReadyHarness(t *testing.T, c Config) *harness {
	h := newHarness(t, c, threeEndpoints(ListCached))
	h.reportAll("a")
	return h
}

// reports lets each member answer a probe now.
func (h *harness) reportAll(primary string) {
	for _, id := range []string{"a", "b", "c"} {
		role := RoleReplica
		if id == primary {
			role = RolePrimary
		}
		h.step(0, HealthCheckResult{Endpoint: id, Status: StatusDone, Role: role, Position: h.now})
	}
}

// silence lets all probes that are out come back with nothing.
func (h *harness) failAllHealthChecks() {
	for _, id := range []string{"a", "b", "c"} {
		h.step(0, HealthCheckResult{Endpoint: id, Status: StatusTimedOut})
	}
}

func actionsOf[A Action](acts []Action) []A {
	var out []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func (h *harness) expectSends(acts []Action, want ...string) []Send {
	h.t.Helper()
	got := actionsOf[Send](acts)
	ok := len(got) == len(want)
	for i := 0; ok && i < len(want); i++ {
		ok = strings.Contains(want[i], got[i].Endpoint)
	}
	if !ok {
		h.t.Fatalf("sent %v, want %v", got, want)
	}
	return got
}

func TestOrdinaryPath(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, c := range []struct{ class, to string }{
		{"write", "a"}, {"latest", "a"}, {"bounded", "bc"}, {"any", "bc"}, {"session", "bc"},
	} {
		h.expectSends(h.step(ms, h.request(c.class)), c.to)
	}
}

func TestOwnZoneFirst(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[1].Zone = "far"
	h := newHarness(t, testConfig(), l)
	h.reportAll("a")
	for range 5 {
		h.expectSends(h.step(ms, h.request("any")), "c")
	}
}

func TestRandomDrawUsesBothReplicas(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	seen := map[string]int{}
	for range 40 {
		q := h.request("any")
		s := h.expectSends(h.step(ms, q), "bc")[0]
		seen[s.Endpoint]++
		h.step(ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
	}
	if seen["b"] < 5 || seen["c"] < 5 {
		t.Fatalf("draw is lopsided: %v", seen)
	}
}

func TestFreshRouterProbesAndHolds(t *testing.T) {
	h := newHarness(t, testConfig(), threeEndpoints(ListCached))
	acts := h.step(ms, h.request("latest"), h.request("bounded"))
	h.expectSends(acts)
	if got := len(actionsOf[HealthCheck](acts)); got != 3 {
		t.Fatalf("%d probes on first use, want 3", got)
	}
	acts = h.step(ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.expectSends(acts, "b") // the read waits for the reports that are on their way
	h.expectSends(h.step(ms, HealthCheckResult{Endpoint: "c", Status: StatusDone, Role: RoleReplica, Position: h.now}), "c")
}

// A storm of probes: hundreds of instances that each look for a lost primary must not ask without end.
func TestProbesForALostPrimaryAreBounded(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, h.request("write"))
	h.reportAll("a")
	h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "a", Zone: "a", Group: 1, State: EndpointRemoved}}})
	probes := 0
	for i := range 500 {
		var events []Event
		if i%50 == 0 {
			q := h.request("write")
			events = append(events, q)
		}
		for _, p := range actionsOf[HealthCheck](h.step(10*ms, events...)) {
			probes++
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - 10*ms})
		}
	}
	if probes < 3 || probes > 25 {
		t.Fatalf("%d probes in 5 s without a primary", probes)
	}
}

// What a member said of its lag seconds ago must not keep it out for good.
func TestOldLagIsForgotten(t *testing.T) {
	c := testConfig()
	c.FreshnessCheck = FreshnessCheckReject
	h := newReadyHarness(t, c)
	h.now += 500 * ms
	for _, id := range []string{"b", "c"} {
		q := h.request("any")
		for s := ""; s != id; {
			q = h.request("any")
			s = h.expectSends(h.step(0, q), "bc")[0].Endpoint
		}
		h.step(ms, AttemptResult{ID: q.ID, Endpoint: id, Status: StatusDone, Finished: true, Role: RoleReplica, Position: h.now - time.Second})
	}
	h.expectSends(h.step(ms, h.request("bounded")), "a")
	h.expectSends(h.step(3*time.Second, h.request("bounded")), "bc")
}

func TestUnknownGroupTriesWritesInOrder(t *testing.T) {
	h := newHarness(t, testConfig(), threeEndpoints(ListCached))
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "b", Status: StatusMiss, Role: RoleReplica}), "c")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: 2, Endpoint: "c", Status: StatusMiss, Role: RoleReplica}))
	h.expectSends(h.step(50*ms, h.request("write"))) // one round of misses, then hold
	h.expectSends(h.step(50*ms, HealthCheckResult{Endpoint: "c", Status: StatusDone, Role: RolePrimary, Position: h.now + 40*ms}), "c", "c")
}

func TestMissTurnsTheEntryDirty(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "b", Status: StatusDone, Elapsed: ms, Finished: true, Role: RolePrimary}))
	h.expectSends(h.step(ms, h.request("write")), "b")
}

func TestLateListDoesNotOverrideAnAnswer(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	l := threeEndpoints(ListFull)
	l.Entries[1].Primary = true
	h.step(ms, l)
	h.expectSends(h.step(ms, h.request("write")), "a")
}

// A role that the list says 4 s late, behind two changes, moves no write: answers have told what came since.
func TestRoleOfTheListFourSecondsOld(t *testing.T) {
	h := newReadyHarness(t, testConfig()) // a leads
	list := func(leads string) EndpointList {
		l := threeEndpoints(ListDelta)
		for i := range l.Entries {
			l.Entries[i].Primary = l.Entries[i].Endpoint == leads
		}
		return l
	}
	h.step(ms, list("a"))
	answer := func(n string, role Role) AttemptResult {
		return AttemptResult{ID: fmt.Sprint("q", h.requestCount), Endpoint: n, Status: StatusDone, Elapsed: ms, Finished: true, Role: role, Position: h.now}
	}
	write := func(want string) {
		t.Helper()
		h.expectSends(h.step(ms, h.request("write")), want)
		h.step(ms, answer(want, RolePrimary))
	}
	write("a")
	for _, change := range [][2]string{{"a", "b"}, {"b", "c"}} { // each says that it leads no more, the next one that it does
		h.step(100*ms, HealthCheckResult{Endpoint: change[0], Status: StatusDone, Role: RoleReplica, Position: h.now})
		h.step(100*ms, HealthCheckResult{Endpoint: change[1], Status: StatusDone, Role: RolePrimary, Position: h.now})
		write(change[1])
	}
	for _, late := range []string{"b", "b", "a", "c"} { // in any order, again, and of what has been denied since
		h.step(2*time.Second, list(late))
		write("c")
	}
}

func TestListNamesThePrimaryOfAnUnknownGroup(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[2].Primary = true
	h := newHarness(t, testConfig(), l)
	h.expectSends(h.step(ms, h.request("write")), "c")
}

func TestBoundedReadsGoToThePrimaryWhenPositionsAge(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(299*ms, h.request("bounded")), "bc")
	h.failAllHealthChecks()
	h.expectSends(h.step(2*ms, h.request("bounded")), "a")
}

func TestSessionReadNeedsItsCommit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("session")
	q.SinceSessionWrite = 10 * ms
	h.expectSends(h.step(5*ms, q), "bc") // committed 5 ms before the positions were told
	h.failAllHealthChecks()
	q = h.request("session")
	q.SinceSessionWrite = 4 * ms
	h.expectSends(h.step(5*ms, q), "a")
}

func TestRememberedCommit(t *testing.T) {
	c := testConfig()
	c.ClientSessionTokens = false
	h := newReadyHarness(t, c)
	w := h.request("write")
	h.expectSends(h.step(ms, w), "a")
	h.step(20*ms, AttemptResult{ID: w.ID, Endpoint: "a", Status: StatusDone, Elapsed: 20 * ms, Finished: true, Role: RolePrimary, Position: h.now})
	h.failAllHealthChecks()
	h.expectSends(h.step(ms, h.request("session")), "a")
	h.step(20*ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})
	h.expectSends(h.step(ms, h.request("session")), "b")
}

func TestReadMissGoesToOneOtherThenThePrimary(t *testing.T) {
	c := testConfig()
	c.FreshnessCheck = FreshnessCheckReject
	h := newReadyHarness(t, c)
	h.now += 500 * ms // the positions no longer prove anything: any replica may be tried
	q := h.request("bounded")
	first := h.expectSends(h.step(0, q), "bc")[0].Endpoint
	other := map[string]string{"b": "c", "c": "b"}[first]
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: first, Status: StatusMiss, Role: RoleReplica}), other)
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: other, Status: StatusMiss, Role: RoleReplica}), "a")
}

func TestDrainStopsAtOnce(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	l := EndpointList{Entries: []EndpointEntry{{Endpoint: "b", Zone: "a", Group: 1, State: EndpointDraining}, {Endpoint: "c", Group: 1, State: EndpointRemoved}}}
	h.step(ms, l)
	for range 5 {
		h.expectSends(h.step(ms, h.request("any")), "a")
	}
	h.step(ms, EndpointList{Kind: ListFull, Entries: threeEndpoints(ListFull).Entries[1:2]})
	h.expectSends(h.step(ms, h.request("any")), "b") // a is absent from the full list, b is back
}

func TestUnsafeWriteIsNeverRepeated(t *testing.T) {
	for _, s := range []Status{StatusError, StatusTimedOut, StatusReset, StatusCancelled} {
		h := newReadyHarness(t, testConfig())
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		acts := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: s})
		h.expectSends(acts)
		if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Reject](acts)) != 0 {
			t.Fatalf("status %d: %v, want one failure", s, acts)
		}
	}
}

func TestUnsafeWriteThatNeverRanIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed}))
	h.expectSends(h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed}), "b")
}

// A connection that could not be opened is no outage for this instance if a probe passes: the same primary again.
func TestOneFailedConnectionIsNoOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.expectSends(h.step(100*ms), "a")
}

func TestKeyedRepeatsOnlyInsideTheWindow(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("keyed")
	h.expectSends(h.step(ms, q), "a")
	first := h.now
	repeat := h.step(50*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusError, Role: RolePrimary})
	h.expectSends(repeat, "a")
	// The way counts in: a repeat that waits for its connection is not written behind the window either.
	if by := actionsOf[Send](repeat)[0].NotAfter; by == 0 || by >= first+h.balancer.classes["keyed"].IdempotencyWindow {
		t.Fatalf("the repeat may be written until %v, the window ends at %v", by, first+h.balancer.classes["keyed"].IdempotencyWindow)
	}
	acts := h.step(460*ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "a", Status: StatusError, Role: RolePrimary})
	h.expectSends(acts)
	for range 100 {
		acts = append(acts, h.step(10*ms)...)
	}
	if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts)) != 0 || len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("%v, want one failure and no send", acts)
	}
}

func TestHeldWriteIsRefusedInTime(t *testing.T) {
	for held, most := range map[float64]time.Duration{0: time.Second, 0.3: 500 * ms} {
		c := testConfig()
		c.LateRejectCost = held
		h := newHarness(t, c, EndpointList{Kind: ListCached})
		q := h.request("write")
		var acts []Action
		h.step(0, q)
		for h.now < 102*time.Second && len(actionsOf[Reject](acts)) == 0 {
			acts = h.step(10 * ms)
		}
		if at := h.now - 100*time.Second; at > most || at < most-100*ms {
			t.Fatalf("refused after %v, the client waits 1 s", at)
		}
		if actionsOf[Reject](acts)[0].RetryAfter == 0 {
			t.Fatal("a refusal without a retry-after")
		}
	}
}

// Nor does waiting for a connection go beyond half of the client's time.
func TestSendIsOnlyGoodForHalfOfTheTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, class := range []string{"write", "any", "latest"} {
		at := h.now + ms
		s := h.expectSends(h.step(ms, h.request(class)), "abc")[0]
		if s.NotAfter < at+450*ms || s.NotAfter > at+500*ms {
			t.Errorf("%s: by %v", class, s.NotAfter-at)
		}
	}
}

func TestWritesDoNotPileUpOnASilentPrimary(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sends := 0
	for range 300 {
		acts := h.step(10*ms, h.request("write"))
		sends += len(actionsOf[Send](acts))
	}
	if sends > 20 {
		t.Fatalf("%d writes went to a silent primary", sends)
	}
}

func TestSilentReplicaIsAvoidedAndItsReadsMove(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	stuck := map[string]bool{}
	moved, late := 0, 0
	for i := range 300 {
		q := h.request("any")
		acts := h.step(10*ms, q)
		for len(acts) > 0 {
			var next []Event
			for _, s := range actionsOf[Send](acts) {
				if s.Endpoint == "b" {
					stuck[s.ID] = true
					if i > 200 {
						late++
					}
					continue
				}
				if stuck[s.ID] {
					moved++
				}
				next = append(next, AttemptResult{ID: s.ID, Attempt: h.attempts(s.ID) - 1, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 5 * ms, Finished: true})
			}
			for _, c := range actionsOf[Cancel](acts) {
				next = append(next, AttemptResult{ID: c.ID, Attempt: c.Attempt, Endpoint: "b", Status: StatusCancelled})
			}
			acts = nil
			if len(next) > 0 {
				acts = h.step(0, next...)
			}
		}
	}
	if moved == 0 || late > 3 {
		t.Fatalf("%d reads moved, %d sent to a silent member after 2 s", moved, late)
	}
}

func (h *harness) attempts(id string) int {
	if q := h.balancer.requests[id]; q != nil {
		return len(q.attempts)
	}
	return 0
}

func TestColdMemberStaysWithinItsBudget(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[1].StartedAt = 99900 * ms
	l.Entries[2].State = EndpointDraining
	h := newHarness(t, testConfig(), l)
	h.reportAll("a")
	sends := 0
	for range 100 {
		q := h.request("any")
		acts := h.step(10*ms, q)
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint == "b" {
				sends++
			}
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusBusy})
		}
	}
	// Nothing is known of what a warm member does: work goes one at a time, and what was turned away counts.
	if sends == 0 || sends > 30 {
		t.Fatalf("%d sends in a second to a cold member", sends)
	}
}

func TestListIsAskedForWithBackoff(t *testing.T) {
	c := testConfig()
	c.PollDiscovery = true
	h := newHarness(t, c, EndpointList{Kind: ListFailed})
	asks := 0
	for range 500 {
		acts := h.step(10 * ms)
		if len(actionsOf[PollEndpointList](acts)) > 0 {
			asks++
			h.step(0, EndpointList{Kind: ListFailed})
		}
	}
	if asks < 2 || asks > 8 {
		t.Fatalf("%d calls in 5 s of failures", asks)
	}
}

func TestBadSettings(t *testing.T) {
	c := testConfig()
	c.Classes[1].MaxStaleness = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "Bound") {
		t.Fatalf("error %v does not name the field", err)
	}
	c = testConfig()
	c.Classes[0].ClientTimeout = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "GiveUp") {
		t.Fatalf("error %v does not name the field", err)
	}
}

// play feeds odd but legal events and checks what must hold whatever comes. It models no member: outcomes are drawn.
func playEvents(t *testing.T, seed uint64) []Action { return playEventsWith(t, seed, testConfig()) }

func playEventsWith(t *testing.T, seed uint64, c Config) []Action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c.FreshnessCheck = FreshnessCheck(rng.IntN(3))
	c.ClientSessionTokens = rng.IntN(2) == 0
	r, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	type live struct {
		class     string
		die       Time
		over      bool
		mayRun    bool
		begun     bool // its answer is passed on as it comes
		out, legs int
	}
	type try struct {
		id, node string
		leg      int
		at       Time
	}
	reqs, open := map[string]*live{}, []try{}
	barred, suspended, since := map[string]bool{}, map[string]bool{}, map[string]int{}
	now, n := 50*time.Second, 0
	events := []Event{threeEndpoints(ListCached)}
	var all []Action
	for i := range 600 {
		if i < 400 && rng.IntN(2) == 0 {
			n++
			k := c.Classes[rng.IntN(len(c.Classes))].Name
			q := Request{ID: fmt.Sprint("q", n), Class: k, Group: 1, SessionID: int64(rng.IntN(3)), TimeLeft: time.Duration(50+rng.IntN(900)) * ms,
				SinceSessionWrite: time.Duration(rng.IntN(500)) * ms}
			reqs[q.ID] = &live{class: k, die: now + q.TimeLeft}
			events = append(events, q)
		}
		var keep []try
		for _, a := range open {
			q := reqs[a.id]
			due := now >= q.die && !q.begun
			if !due && !q.over && rng.IntN(8) == 0 {
				q.begun = true
				events = append(events, FirstByte{ID: a.id, Attempt: a.leg})
			}
			if !due && (rng.IntN(4) != 0 && i < 590 || q.begun && rng.IntN(20) != 0 && i < 500) {
				keep = append(keep, a)
				continue
			}
			o := AttemptResult{ID: a.id, Attempt: a.leg, Endpoint: a.node, Status: Status(rng.IntN(9)), Elapsed: now - a.at, Role: Role(rng.IntN(3))}
			if due {
				o.Status = StatusTimedOut
			}
			if o.Role != RoleUnknown && rng.IntN(2) == 0 {
				o.Position = now - time.Duration(rng.IntN(800))*ms
			}
			q.out--
			if o.Status == StatusDone || q.begun {
				q.over = true
			}
			o.Finished = q.over
			switch o.Status {
			case StatusError, StatusTimedOut, StatusReset, StatusCancelled, StatusDone:
				q.mayRun = true
			}
			events = append(events, o)
		}
		open = keep
		switch rng.IntN(12) {
		case 0:
			node := []string{"a", "b", "c"}[rng.IntN(3)]
			s := EndpointState(rng.IntN(3))
			barred[node] = s != EndpointReady
			events = append(events, EndpointList{Entries: []EndpointEntry{{Endpoint: node, Zone: "a", Group: 1, State: s, StartedAt: now}}})
		case 1:
			events = append(events, HealthCheckResult{Endpoint: []string{"a", "b", "x"}[rng.IntN(3)], Status: Status(rng.IntN(9)), Role: Role(rng.IntN(3)), Position: now - time.Duration(rng.IntN(300))*ms})
		case 2:
			events = append(events, AttemptResult{ID: "nobody", Attempt: 3}, ClientDisconnected{ID: "nobody"}, Wake{}, FirstByte{ID: "nobody"},
				FirstByte{ID: fmt.Sprint("q", 1+rng.IntN(n+1)), Attempt: -1})
		case 4:
			node := []string{"a", "b", "c", "x"}[rng.IntN(4)]
			if out := rng.IntN(2) == 0; out != suspended[node] {
				suspended[node], since[node] = out, i
			}
			events = append(events, Suspend{Endpoint: node, Suspended: suspended[node]})
		case 3:
			id := fmt.Sprint("q", 1+rng.IntN(n+1))
			if q := reqs[id]; q != nil && !q.over {
				q.over = true
				events = append(events, ClientDisconnected{ID: id})
			}
		}
		acts := r.Step(now, events)
		all = append(all, acts...)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				q := reqs[a.ID]
				if q == nil || q.over || q.out > 0 {
					t.Fatalf("seed %d: send of %q, which is over or out", seed, a.ID)
				}
				if q.mayRun && q.class == "write" {
					t.Fatalf("seed %d: second run of unsafe %s", seed, a.ID)
				}
				if suspended[a.Endpoint] {
					t.Fatalf("seed %d: send to %s, which is suspended", seed, a.Endpoint)
				}
				if barred[a.Endpoint] {
					t.Fatalf("seed %d: send to %s, which drains or is gone", seed, a.Endpoint)
				}
				open = append(open, try{a.ID, a.Endpoint, q.legs, now})
				q.out++
				if q.legs++; c.MaxAttempts > 0 && q.legs > c.MaxAttempts {
					t.Fatalf("seed %d: attempt %d of %s", seed, q.legs, a.ID)
				}
			case PollEndpointList:
				if !c.PollDiscovery {
					t.Fatalf("seed %d: the list is asked for where it is pushed", seed)
				}
			case HealthCheck:
				if !c.HealthChecks {
					t.Fatalf("seed %d: a probe where there are none", seed)
				}
				if suspended[a.Endpoint] && since[a.Endpoint] < i { // one may be asked for by an event before, in the same step
					t.Fatalf("seed %d: probe of %s, which is suspended", seed, a.Endpoint)
				}
			case Cancel:
				if !c.Cancellation {
					t.Fatalf("seed %d: a cancel where there are none", seed)
				}
				if q := reqs[a.ID]; q.begun && a.Attempt == q.legs-1 {
					t.Fatalf("seed %d: the answer to %s is cut off", seed, a.ID)
				}
			case Reject:
				q := reqs[a.ID]
				if q == nil || q.over || q.begun || q.mayRun && (q.class == "write" || q.class == "keyed") {
					t.Fatalf("seed %d: refusal of %s", seed, a.ID)
				}
				q.over = true
			case Fail:
				if q := reqs[a.ID]; q == nil || q.over || q.begun {
					t.Fatalf("seed %d: second answer to %s", seed, a.ID)
				}
				reqs[a.ID].over = true
			}
		}
		now += time.Duration(1+rng.IntN(12)) * ms
	}
	for id, q := range reqs {
		if !q.over {
			t.Fatalf("seed %d: %s has no final answer", seed, id)
		}
	}
	return all
}

func FuzzInvariants(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { playEvents(t, seed) })
}

// Settings at their extremes, alone and together, keep what must hold whatever comes.
func TestExtremeSettings(t *testing.T) {
	extremes := map[string]func(c *Config){
		"one attempt":           func(c *Config) { c.MaxAttempts = 1 },
		"any number":            func(c *Config) { c.MaxAttempts = 0 },
		"no probes":             func(c *Config) { c.HealthChecks = false },
		"dear probes":           func(c *Config) { c.HealthCheckCost = 10 },
		"no cancelling":         func(c *Config) { c.Cancellation = false },
		"no time to come again": func(c *Config) { c.RetryAfter, c.MaxRetryAfter = false, 0 },
		"no grace":              func(c *Config) { c.DrainGrace = 0 },
		"asked, no grace":       func(c *Config) { c.PollDiscovery, c.DrainGrace, c.PollWithin = true, 0, time.Second },
		"never cold":            func(c *Config) { c.SlowStartFrom, c.SlowStartWindow, c.OverloadMultiple = 1, 0, 0 },
		"cold from nothing":     func(c *Config) { c.SlowStartFrom = 0 },
		"no zone":               func(c *Config) { c.Zone = "" },
		"300 routers":           func(c *Config) { c.Instances = 300 },
		"soft removal":          func(c *Config) { c.SoftRemoval = true },
		"no resolution":         func(c *Config) { c.TimerResolution = 0 },
		"nothing when late": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LateWeightShare = 0
			}
		},
		"no worth": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].PriorityWeight = 0
			}
		},
		"no aim": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LatencyObjective = 0
			}
		},
	}
	all := func(c *Config, rng *rand.Rand) {
		for _, name := range slices.Sorted(maps.Keys(extremes)) {
			if rng.IntN(3) == 0 && name != "soft removal" { // where removal is soft other sends are allowed
				extremes[name](c)
			}
		}
	}
	for name, set := range extremes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := testConfig()
				if set(&c); !c.SoftRemoval {
					playEventsWith(t, seed, c)
				} else if _, err := New(c, seed); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	for seed := range uint64(100) {
		c := testConfig()
		all(&c, rand.New(rand.NewPCG(seed, 9)))
		playEventsWith(t, seed, c)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(playEvents(t, seed), playEvents(t, seed)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// Attempts that end unanswered say more about crowding than those that were served: the limit must fall with them.
func TestUnansweredAttemptsLowerTheLimit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	before := n.limit.attempts
	for range 60 {
		q := h.request("any")
		for _, s := range actionsOf[Send](h.step(ms, q)) {
			h.step(400*ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusTimedOut, Elapsed: 400 * ms, Finished: true})
			h.reportAll("a")
		}
	}
	if n.limit.attempts > 0.85*before {
		t.Fatalf("limit %.1f after 60 unanswered attempts, was %.1f", n.limit.attempts, before)
	}
}

// A slow class must not make its members suspect: patience goes by what is out.
func TestLongRequestIsGivenTime(t *testing.T) {
	c := testConfig()
	c.Classes = append(c.Classes, Class{Name: "report", LatencyObjective: 4 * time.Second, ClientTimeout: 9 * time.Second, PriorityWeight: 1})
	h := newReadyHarness(t, c)
	q := h.request("report")
	q.TimeLeft = 9 * time.Second
	acts := h.step(ms, q)
	for range 250 {
		acts = append(acts, h.step(10*ms)...)
	}
	if got := len(actionsOf[Cancel](acts)); got != 0 {
		t.Fatalf("a report of 2.5 s, aim 4 s, was withdrawn %d times", got)
	}
}

// Many instances share each member: together they must not start with a flood.
func TestStartLimitIsShared(t *testing.T) {
	c := testConfig()
	c.Instances = 8
	h := newReadyHarness(t, c)
	var acts []Action
	for range 40 {
		acts = append(acts, h.step(ms, h.request("any"))...)
	}
	if got := len(actionsOf[Send](acts)); got > 8 {
		t.Fatalf("one of eight instances sent %d at once", got)
	}
}

// A full member turns work away at once: sending it again at once would only load it more.
func TestFullMemberIsLeftAlone(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sends := 0
	q := h.request("write")
	acts := h.step(ms, q)
	for i := 0; i < 5 && len(actionsOf[Send](acts)) > 0; i++ {
		sends++
		acts = h.step(ms, AttemptResult{ID: q.ID, Attempt: i, Endpoint: "a", Status: StatusBusy})
	}
	if sends != 1 {
		t.Fatalf("%d attempts within 5 ms at a full member", sends)
	}
	for range 30 {
		sends += len(actionsOf[Send](h.step(10 * ms)))
	}
	if sends != 2 {
		t.Fatalf("the held write was not sent once more: %d sends", sends)
	}
}

// Probes have a price: reads that keep finding no replica must not turn into a probe each.
func TestProbesForPositionsAreEarned(t *testing.T) {
	c := testConfig()
	c.HealthCheckCost = 0.05
	h := newReadyHarness(t, c)
	h.step(ms, h.request("bounded"))
	h.reportAll("a") // the probes of the first use
	probes, asked := 0, 400
	for range asked {
		q := h.request("bounded")
		acts := h.step(10*ms, q)
		for _, s := range actionsOf[Send](acts) {
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
		}
		for _, p := range actionsOf[HealthCheck](acts) {
			probes++
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - time.Second})
		}
	}
	if probes == 0 || probes > asked/4 {
		t.Fatalf("%d probes for %d reads", probes, asked)
	}
}

// A network that breaks some connections everywhere must not make members suspects, cold, or primaries doubtful.
func TestOneBrokenConnectionIsNoOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a") // the probes of the first use
	acts := h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	if len(actionsOf[HealthCheck](acts)) == 0 {
		t.Fatal("the member is not asked whether it is there")
	}
	h.expectSends(h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now}, h.request("write")), "a")
}

func TestBrokenConnectionsOfADeadMemberAreAnOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	h.expectSends(h.step(ms, h.request("write")), "b") // in doubt: the next in order
	h = newReadyHarness(t, testConfig())
	var ids []string
	for range 3 {
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		ids = append(ids, q.ID)
	}
	var all []Event
	for _, id := range ids {
		all = append(all, AttemptResult{ID: id, Endpoint: "a", Status: StatusReset})
	}
	h.expectSends(h.step(ms, all...))
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	h.expectSends(h.step(ms, h.request("write")), "b")
}

// Connections that break now and then, several in a row too, leave a member what it is: neither an outage nor cold.
func TestBrokenConnectionsAreNoRestart(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for range 20 {
		for range 4 {
			q := h.request("write")
			h.expectSends(h.step(ms, q), "a")
			h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset}, HealthCheckResult{Endpoint: "a", Status: StatusReset})
		}
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary})
	}
	// Nor is one that could not be reached once and is there again.
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset}, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	n := h.balancer.endpoints["a"]
	if !n.health.suspect {
		t.Fatal("a member that cannot be reached is in doubt")
	}
	h.step(maxRecoveryBackoff, HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now + maxRecoveryBackoff})
	q = h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary})
	if n.health.suspect || h.balancer.warmupFactor(n) < 1 {
		t.Fatalf("suspect %v, warmth %v", n.health.suspect, h.balancer.warmupFactor(n))
	}
}

// A primary that fails some requests is the only one that takes writes: they must not be held for its trials.
func TestSickPrimaryStillGetsItsWrites(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for i := range 40 {
		q := h.request("write")
		h.expectSends(h.step(10*ms, q), "a")
		s := []Status{StatusDone, StatusError}[i%2]
		h.step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: s, Elapsed: 5 * ms, Finished: s == StatusDone, Role: RolePrimary})
	}
}

// A replica that fails some reads is left to trials while others serve, and used when no other can.
func TestSickReplicaIsTheLastChoice(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sick := 0
	for i := range 100 {
		q := h.request("any")
		s := h.expectSends(h.step(10*ms, q), "abc")[0]
		if s.Endpoint != "b" {
			h.step(ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
			continue
		}
		if i > 50 {
			sick++
		}
		for k := 0; s.Endpoint == "b"; k++ {
			s = h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: k, Endpoint: "b", Status: StatusError}), "abc")[0]
			if s.Endpoint != "b" {
				h.step(ms, AttemptResult{ID: q.ID, Attempt: k + 1, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
			}
		}
	}
	if sick > 5 {
		t.Fatalf("%d of the last 50 reads went to a sick replica", sick)
	}
	h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "a", Group: 1, State: EndpointRemoved}, {Endpoint: "c", Group: 1, State: EndpointRemoved}}})
	h.expectSends(h.step(ms, h.request("any")), "b")
}

// A client that comes back has part of its aim behind it. Its wait tells how much, once its give-up time cuts it.
func TestReturningClientHasLessTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("bounded") // aim 400 ms, gives up after 2 s, nothing when late
	q.TimeLeft = 2 * time.Second
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1500*ms // 500 ms have gone: no answer can be in time
	acts := h.step(ms, q)
	h.expectSends(acts)
	if len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("%v, want a refusal at once", acts)
	}
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1900*ms
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded") // not a retry: this client just has less patience
	q.TimeLeft = 1500 * ms
	h.expectSends(h.step(ms, q), "bc")
}

// A primary that hands over turns writes away while it still finishes others and answers reads as a primary.
func TestHandoverDoesNotFlap(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	old, q := h.request("write"), h.request("write")
	h.expectSends(h.step(ms, old, q), "a", "a")
	h.expectSends(h.step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica}), "b")
	h.step(5*ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: "b", Status: StatusMiss, Role: RoleReplica})
	h.step(ms, AttemptResult{ID: q.ID, Attempt: 2, Endpoint: "c", Status: StatusMiss, Role: RoleReplica})
	acts := h.step(5*ms, AttemptResult{ID: old.ID, Endpoint: "a", Status: StatusDone, Elapsed: 15 * ms, Finished: true, Role: RolePrimary})
	h.expectSends(acts)
	r := h.request("any")
	for n := 0; n < 10; n++ { // until the draw takes a
		s := actionsOf[Send](h.step(ms, r))
		if len(s) == 1 && s[0].Endpoint == "a" {
			break
		}
		r = h.request("any")
	}
	h.expectSends(h.step(5*ms, AttemptResult{ID: r.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary}))
}

// When no replica has recent data, weak reads must not take all that the primary can do: writes have no other place.
func TestWeakReadsLeaveThePrimaryRoom(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.now += 400 * ms // the positions have aged out
	for range 40 {
		h.step(0, h.request("bounded"))
	}
	h.expectSends(h.step(0, h.request("write")), "a")
}

// A primary that was replaced while it was away may still call itself primary: its old data must not count as new.
func TestClaimOfAPrimaryIsNoPosition(t *testing.T) {
	c := testConfig()
	h := newReadyHarness(t, c)
	h.now += time.Second
	q := h.request("latest")
	h.expectSends(h.step(0, q), "a")
	h.step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary})
	w := h.request("write")
	h.expectSends(h.step(ms, w), "a")
	h.step(ms, AttemptResult{ID: w.ID, Endpoint: "a", Status: StatusMiss, Role: RoleReplica})
	h.failAllHealthChecks()
	for range 10 {
		h.expectSends(h.step(ms, h.request("bounded")))
	}
}

// At hundreds of instances a tenant sends less than one request a second to each: that is within its share.
func TestSmallShareOfATenantIsNotExcess(t *testing.T) {
	c := testConfig()
	c.Instances = 200
	c.Tenants = []Tenant{{Name: "t", Quota: 50}}
	h := newHarness(t, c, threeEndpoints(ListCached))
	for range 5 {
		q := h.request("write")
		q.Tenant = "t"
		h.step(4*time.Second, q)
		if w := h.balancer.requests[q.ID]; w != nil && w.weight < 3 {
			t.Fatalf("a quarter of a request a second, all of the share, is worth %v of 3", w.weight)
		}
	}
}

// Many instances, each told of a cold member, must not send it one request each at once: a plain count of sends.
func TestColdBudgetOverManyInstances(t *testing.T) {
	c := testConfig()
	c.Instances = 200
	l := threeEndpoints(ListCached)
	l.Entries[1].StartedAt = 99900 * ms
	l.Entries[2].State = EndpointDraining
	l.Entries[0].State = EndpointDraining
	first, later := 0, 0
	for i := range c.Instances {
		r, err := New(c, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, balancer: r, now: 100 * time.Second}
		h.step(0, l)
		for k := range 50 {
			acts := h.step(100*ms, h.request("any"))
			for _, s := range actionsOf[Send](acts) {
				if k < 10 {
					first++
				} else {
					later++
				}
				h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusBusy})
			}
		}
	}
	if first > 12 || later == 0 {
		t.Fatalf("%d sends of 200 instances in the first second, %d in the next four", first, later)
	}
}

// An instance that did not run for a while must not take its own stall for the silence of members.
func TestOwnStallIsNoSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(ms, h.request("any")), "bc")
	for _, a := range actionsOf[LogLine](h.step(3 * time.Second)) {
		if strings.Contains(a.Text, "suspect") {
			t.Fatal(a.Text)
		}
	}
}

// One that fails and recovers by turns waits longer for its trials each time.
func TestRelapseWaitsLonger(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	var waits []time.Duration
	for range 3 {
		h.balancer.now = h.now
		h.balancer.markSuspect(n, "answers nothing")
		n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
		waits = append(waits, n.health.recoveryBackoff)
		n.health.suspect = false
		h.now += 3 * time.Second
	}
	if waits[1] <= waits[0] || waits[2] <= waits[1] {
		t.Fatalf("waits %v", waits)
	}
	h.now += time.Minute
	h.balancer.now = h.now
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
	if n.health.recoveryBackoff != waits[0] {
		t.Fatalf("%v after a quiet minute, want %v", n.health.recoveryBackoff, waits[0])
	}
}

// An idle instance asks for no timers: hundreds of them would cost more than the requests.
func TestIdleInstanceIsNotWoken(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	s := h.expectSends(h.step(ms, q), "bc")[0]
	h.reportAll("a")
	h.step(20*ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 20 * ms, Finished: true})
	for range 10 {
		if acts := h.step(time.Second); len(actionsOf[Timer](acts)) > 0 {
			t.Fatalf("%v, want no timer", acts)
		}
	}
}

// A primary that only this instance cannot reach: its group goes on committing, so it still takes the writes.
func TestUnreachablePrimaryThatLeadsIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, h.request("any"))
	h.reportAll("a")
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	for leg, id := range []string{"b", "c"} {
		h.step(ms, AttemptResult{ID: q.ID, Attempt: leg + 1, Endpoint: id, Status: StatusMiss, Role: RoleReplica, Position: h.now})
	}
	acts := []Action{}
	for range 60 {
		acts = append(acts, h.step(10*ms,
			HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})...)
	}
	h.expectSends(acts, "a")
}

func TestSettingsThatCannotBeServedNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"Name":          func(c *Config) { c.Classes[1].Name = c.Classes[0].Name },
		"Instances":     func(c *Config) { c.Instances = 0 },
		"ColdFrom":      func(c *Config) { c.SlowStartFrom = 1.5 },
		"FallFor":       func(c *Config) { c.OverloadWindow = 0 },
		"Worth":         func(c *Config) { c.Classes[2].PriorityWeight = -1 },
		"Aim":           func(c *Config) { c.Classes[2].LatencyObjective = -1 },
		"Rate":          func(c *Config) { c.Tenants = []Tenant{{Name: "t", Quota: -1}} },
		"MaxRetryAfter": func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		c := testConfig()
		spoil(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v does not name %s", err, field)
		}
	}
}

// The end of an attempt that was taken back may be lost on its way: the client still gets its answer in time.
func TestTakenBackReadIsAnsweredInTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	h.expectSends(h.step(ms, q), "bc")
	h.reportAll("a")
	var acts []Action
	for range 110 {
		acts = append(acts, h.step(10*ms)...)
	}
	if len(actionsOf[Cancel](acts)) != 1 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("%v, want one withdrawal and one refusal", acts)
	}
}

// A caller's clock may be coarser: a timer that fires a microsecond early must not be the last one.
func TestEarlyTimerIsAskedForAgain(t *testing.T) {
	h := newHarness(t, testConfig(), EndpointList{Kind: ListCached})
	acts := h.step(ms, h.request("write"))
	for range 500 {
		if len(actionsOf[Reject](acts)) > 0 {
			return
		}
		timers := actionsOf[Timer](acts)
		if len(timers) == 0 {
			t.Fatalf("%v, want another timer", acts)
		}
		acts = h.step(timers[len(timers)-1].After-time.Microsecond, Wake{})
	}
	t.Fatal("no final answer")
}

// A read that was never sent is refused before half of its client's time, so that the client can ask elsewhere. One
// that a member has had in hand may wait for a further attempt.
func TestReadNeverSentIsRefusedBeforeHalfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		h := newHarness(t, testConfig(), EndpointList{Kind: ListCached})
		q := h.request("any")
		h.step(0, q)
		if reached {
			n := h.expectSends(h.step(10*ms, threeEndpoints(ListFull)), "abc")[0].Endpoint
			h.step(0, EndpointList{Kind: ListFull}, AttemptResult{ID: q.ID, Endpoint: n, Status: StatusBusy})
		}
		var acts []Action
		for h.now < 102*time.Second && len(actionsOf[Reject](acts)) == 0 {
			acts = h.step(10 * ms)
		}
		if at := h.now - 100*time.Second; reached != (at >= 500*ms) || at > time.Second {
			t.Fatalf("reached %v: refused after %v, the client waits 1 s", reached, at)
		}
	}
}

// A connection that falls silent while its member answers others is given up; it is no sign of a silent member.
func TestSilentConnectionIsNoSilentMember(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	read, write := h.request("latest"), h.request("write")
	read.TimeLeft, write.TimeLeft = 2*time.Second, 3*time.Second
	h.expectSends(h.step(ms, read, write), "a", "a")
	cancelled := 0
	step := func(d time.Duration, e ...Event) {
		for _, c := range actionsOf[Cancel](h.step(d, e...)) {
			if c.ID != read.ID {
				t.Fatalf("%+v: a write must not be taken back", c)
			}
			cancelled++
			h.step(0, AttemptResult{ID: c.ID, Endpoint: "a", Status: StatusCancelled, Finished: true})
		}
	}
	for i := range 100 {
		q := h.request("write")
		step(10*ms, q)
		step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary})
		if h.balancer.endpoints["a"].health.suspect {
			t.Fatalf("suspect after %d answers", i)
		}
		if i%20 == 19 { // a lull: nothing is out but the silent ones
			for range 20 {
				step(10 * ms)
			}
			if h.balancer.endpoints["a"].health.suspect {
				t.Fatal("suspect in a lull")
			}
		}
	}
	if cancelled != 1 {
		t.Fatalf("%d attempts were taken back", cancelled)
	}
}

// Where requests take a few milliseconds a pause of twenty is not silence: the scheduler alone may make it.
func TestShortPauseIsNoSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for range 200 { // answers take 2 ms
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		h.step(2*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary})
	}
	for range 4 {
		h.expectSends(h.step(ms, h.request("write")), "a")
	}
	h.step(20 * ms)
	if h.balancer.endpoints["a"].health.suspect {
		t.Fatal("suspect after 20 ms")
	}
	h.step(30 * ms)
	h.step(20 * ms)
	h.step(20 * ms)
	if !h.balancer.endpoints["a"].health.suspect {
		t.Fatal("its silence is not seen")
	}
}

// A primary in doubt is asked until it says something newer than the doubt: a report is older than its answer.
func TestDoubtedPrimaryIsAskedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["a"]
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	for !n.health.suspect {
		h.step(50 * ms)
	}
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusTimedOut, Finished: true})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: n.health.suspectSince - 10*ms})
	for range 40 {
		acts := h.step(50*ms, h.request("write"))
		if sent := actionsOf[Send](acts); len(sent) > 0 {
			return
		}
		for _, p := range actionsOf[HealthCheck](acts) { // all reports are 60 ms old
			role := map[bool]Role{true: RolePrimary, false: RoleReplica}[p.Endpoint == "a"]
			acts := h.step(ms, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now - 60*ms})
			if sent := actionsOf[Send](acts); len(sent) > 0 {
				return
			}
		}
	}
	t.Fatal("no write is tried for two seconds")
}

// Members that are replaced under new ids, and groups that clients make up, must not add up.
func TestNothingAddsUp(t *testing.T) {
	c := testConfig()
	c.ClientSessionTokens = false
	h := newReadyHarness(t, c)
	for i := range 400 {
		id := func(i int) string { return fmt.Sprint("new", i) }
		h.step(time.Second, EndpointList{Entries: []EndpointEntry{{Endpoint: id(i), Group: 1, State: EndpointReady}, {Endpoint: id(i - 3), Group: 1, State: EndpointRemoved}}})
		made := h.request("any")
		made.Group = int64(1000 + i)
		if acts := h.step(ms, made); len(actionsOf[Reject](acts)) != 1 {
			t.Fatalf("%v", acts)
		}
		q := h.request("write")
		q.SessionID = int64(i + 1)
		for _, s := range actionsOf[Send](h.step(ms, q)) {
			h.step(ms, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true, Role: RolePrimary, Position: h.now})
		}
		for _, n := range h.balancer.groups[1].endpoints {
			if n.discovery.state == EndpointReady {
				h.step(0, HealthCheckResult{Endpoint: n.id, Status: StatusDone, Position: h.now})
			}
		}
		h.step(time.Second)
	}
	if n := len(h.balancer.endpoints); n > 60 || len(h.balancer.groups) != 1 || len(h.balancer.sortedGroups) != 1 || len(h.balancer.groups[1].endpoints) != n || len(h.balancer.requests) > 9 {
		t.Errorf("%d members, %d groups, %d requests", n, len(h.balancer.groups), len(h.balancer.requests))
	}
	if len(h.balancer.sessionCommits) > 9 {
		t.Errorf("%d commits", len(h.balancer.sessionCommits))
	}
}

// Long reads that any data will do for go to one replica, whatever an instance knows of them, so that the others stay recent
// enough; short ones are drawn as ever.
func TestLongReadsKeepToOneReplica(t *testing.T) {
	c := testConfig()
	c.Classes[0].LatencyObjective = 2 * time.Second
	for _, behind := range []string{"b", "c"} {
		h := newReadyHarness(t, c)
		h.step(0, HealthCheckResult{Endpoint: behind, Status: StatusDone, Role: RoleReplica, Position: h.now - time.Second})
		for range 8 {
			h.expectSends(h.step(ms, h.request("any")), "c")
		}
	}
}

// Where no class is bounded a held up log hurts no read: reads that any data will do for go to all replicas, however long they are.
func TestWithoutABoundNoReadIsLong(t *testing.T) {
	c := testConfig()
	c.Classes[0].LatencyObjective = 2 * time.Second
	c.Classes = slices.DeleteFunc(c.Classes, func(k Class) bool { return k.Consistency == ConsistencyBounded })
	h := newReadyHarness(t, c)
	to := map[string]int{}
	for range 40 {
		for _, s := range actionsOf[Send](h.step(ms, h.request("any"))) {
			to[s.Endpoint]++
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true, Role: RoleReplica, Position: h.now})
		}
	}
	if to["b"] < 10 || to["c"] < 10 {
		t.Fatalf("%v", to)
	}
}

// What a silent connection has lost takes its whole time, which says nothing of how crowded its member is.
func TestLostAttemptIsNoCrowd(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["a"]
	lost := h.request("write")
	lost.TimeLeft = 3 * time.Second
	h.expectSends(h.step(ms, lost), "a")
	slow := 0.0
	for h.now < 102*time.Second {
		q := h.request("write")
		h.step(10*ms, q)
		h.step(5*ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary})
		slow = n.limit.latencyRatio
	}
	h.step(ms, AttemptResult{ID: lost.ID, Endpoint: "a", Status: StatusTimedOut, Elapsed: 2900 * ms, Finished: true})
	if n.limit.latencyRatio > slow {
		t.Fatalf("from %.2f to %.2f", slow, n.limit.latencyRatio)
	}
}

// A suspect replica is asked again when its position has aged, or no bounded read may ever try it.
func TestSuspectReplicaIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
	h.step(ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})
	for range 200 {
		acts := h.step(10*ms, h.request("bounded"))
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint == "b" {
				return
			}
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true, Role: RoleReplica, Position: h.now})
		}
		for _, p := range actionsOf[HealthCheck](acts) {
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now})
		}
	}
	t.Fatal("no read has tried it for two seconds")
}

// What operators take out gets nothing, probes neither, whatever the list says of it; a suspended primary is in doubt. Let
// back in it is asked and used at once, though it was suspect and its position is old.
func TestSuspend(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(0, Suspend{Endpoint: "b", Suspended: true}, Suspend{Endpoint: "later", Suspended: true})
	for range 200 {
		h.reportAll("a")
		for _, l := range []EndpointList{threeEndpoints(ListFull), {Entries: []EndpointEntry{{Endpoint: "b", Group: 1, State: EndpointReady, StartedAt: h.now}, {Endpoint: "later", Group: 1, State: EndpointReady}}}} {
			acts := h.step(10*ms, l, h.request("bounded"), h.request("any"))
			for _, s := range actionsOf[Send](acts) {
				if s.Endpoint == "b" || s.Endpoint == "later" {
					t.Fatalf("sent: %+v", s)
				}
				h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Role: RoleReplica, Finished: true})
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				if p.Endpoint == "b" {
					t.Fatal("probed")
				}
			}
		}
	}
	h.step(0, EndpointList{Kind: ListFull, Entries: threeEndpoints(ListFull).Entries[:1]})
	h.step(2*expiryDelay, h.request("any")) // b is forgotten by now
	h.reportAll("a")
	if n := h.balancer.endpoints["b"]; n != nil {
		t.Fatal("not forgotten")
	}
	h.step(0, threeEndpoints(ListFull))
	h.expectSends(h.step(0, Suspend{Endpoint: "a", Suspended: true}, h.request("write")), "bc") // its primary is suspended: the round goes on without it
	h.reportAll("c")
	if s := h.step(ms, h.request("any"), h.request("any")); len(actionsOf[Send](s)) == 0 || actionsOf[Send](s)[0].Endpoint != "c" {
		t.Fatalf("%v", s)
	}
	n := h.balancer.endpoints["b"]
	n.health.suspect, n.health.unreachable, n.health.recoveryAt, n.outlier.failureRate = true, true, never, 1
	h.now += time.Second // its position has aged
	acts := h.step(0, Suspend{Endpoint: "b"}, h.request("bounded"))
	if n.health.suspect || h.balancer.warmupFactor(n) == 1 || len(actionsOf[Send](acts)) > 0 || len(actionsOf[HealthCheck](acts)) == 0 {
		t.Fatalf("%+v: %v", n, acts)
	}
	for range 300 {
		acts = h.step(10*ms, h.request("bounded"), HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint == "b" {
				return
			}
		}
	}
	t.Fatal("never used again")
}

// Many instances that start, or lose their watches, at one moment spread their calls; a few ask at once, as ever.
func TestManyTakeTurnsAtTheList(t *testing.T) {
	spread := map[int]map[time.Duration]bool{}
	for _, n := range []int{3, 36} {
		spread[n] = map[time.Duration]bool{}
		for seed := range uint64(40) {
			c := testConfig()
			c.Instances, c.PollDiscovery = n, true
			r, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := 100 * time.Second
			asked := len(actionsOf[PollEndpointList](r.Step(now, []Event{threeEndpoints(ListCached)}))) > 0
			for ; !asked && now < 200*time.Second; now += 10 * ms {
				asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
			}
			spread[n][now] = true
			for round := range 6 { // and each failure makes them wait for longer, but not for ever
				at := now
				asked = len(actionsOf[PollEndpointList](r.Step(now, []Event{EndpointList{Kind: ListFailed}}))) > 0
				for ; !asked; now += 10 * ms {
					asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
				}
				// What changed counts as told 6 s after discovery had it, however the call ended: the next one, and the 2 s that it may
				// wait for its turn, come within that.
				if wait := now - at; wait+2*time.Second > 5600*ms || n == 3 && wait > 3*time.Second+100*ms || n == 36 && wait < 2*time.Second {
					t.Errorf("%d instances, failure %d: %v", n, round, wait)
				}
			}
		}
	}
	if len(spread[3]) != 1 || len(spread[36]) < 30 {
		t.Fatalf("%d and %d different moments", len(spread[3]), len(spread[36]))
	}
}

// Eighty instances start at once from a list that has changed since. Discovery takes 14 calls a second, in turn, and drops
// one that has waited for two seconds, at full cost. All have the news while what they do not know still counts as not told.
func TestAFleetThatStartsAtOnceHearsOfTheListInTime(t *testing.T) {
	const fleet, turn, patience = 80, time.Second / 14, 2 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		c := testConfig()
		c.Instances, c.PollDiscovery, c.PollWithin = fleet, true, 10*time.Second
		routers, answer := make([]*Balancer, fleet), make([]Time, fleet) // when the call that is out ends, 0 = none is
		fails, late, told := make([]bool, fleet), make([]bool, fleet), make([]Time, fleet)
		start := 100 * time.Second
		free, calls := start, 0
		act := func(i int, now Time, events ...Event) {
			for range actionsOf[PollEndpointList](routers[i].Step(now, events)) {
				calls++
				begin := max(free, now)
				answer[i], fails[i] = begin+turn, begin-now > patience
				if free = begin + turn; fails[i] {
					answer[i] = now + patience
				}
			}
		}
		for i := range routers {
			var err error
			if routers[i], err = New(c, seed*1000+uint64(i)); err != nil {
				t.Fatal(err)
			}
			act(i, start, threeEndpoints(ListCached))
		}
		last := Time(0)
		for now := start; now < start+30*time.Second; now += 5 * ms {
			for i := range routers {
				switch {
				case answer[i] == 0 || now < answer[i]:
					act(i, now)
				case fails[i]:
					answer[i], late[i] = 0, true
					act(i, now, EndpointList{Kind: ListFailed})
				case told[i] == 0:
					told[i] = now - start
					last = max(last, told[i])
					act(i, now, EndpointList{Kind: ListDelta})
				}
			}
		}
		for i, at := range told {
			most := c.PollWithin * 4 / 5
			if late[i] {
				most = c.PollWithin * 2 // a call that failed buys time
			}
			if at == 0 || at > most {
				t.Errorf("seed %d, instance %d: told after %v", seed, i, at)
			}
		}
		if t.Logf("seed %d: %d calls, the last told after %v", seed, calls, last); calls > 2*fleet {
			t.Errorf("seed %d: %d calls", seed, calls)
		}
	}
}

// An instance of eighty earns a probe in three requests, and reads of another group spend them. Its group's primary leaves, and another member leads: it is
// found by the reads that need it, whichever one it is, though all others are behind.
func TestALostPrimaryIsFoundOutOfLittle(t *testing.T) {
	for _, leader := range []string{"b", "c", "d", "e", "f"} {
		c := testConfig()
		c.Instances, c.HealthCheckCost = 80, 0.08
		list := EndpointList{Kind: ListCached}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			list.Entries = append(list.Entries, EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, Primary: id == "a"},
				EndpointEntry{Endpoint: id + "2", Zone: "a", Group: 2, State: EndpointReady, Primary: id == "a"})
		}
		h := newHarness(t, c, list)
		led, found := "a", false
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, s := range actionsOf[Send](acts) {
				found = found || s.Endpoint == leader
				run(h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true}))
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				role, at := RoleReplica, h.now-10*time.Second
				switch p.Endpoint {
				case "y", "z":
					at = h.now - 100*ms
				case led, "a2":
					role, at = RolePrimary, h.now
				}
				run(h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: at}))
			}
		}
		ask := func(times int) {
			for range times {
				run(h.step(100*ms, h.request("bounded")))
				for range 4 { // reads of another group spend all there is
					q := h.request("bounded")
					q.Group = 2
					run(h.step(25*ms, q))
				}
				for range 5 { // an instance is woken for what it holds
					run(h.step(100*ms, Wake{}))
				}
			}
		}
		ask(20)
		list.Entries[0].State, list.Kind = EndpointDraining, ListDelta
		for _, id := range []string{"y", "z"} { // recent enough, but cold: they can take next to nothing
			list.Entries = append(list.Entries, EndpointEntry{Endpoint: id, Zone: "a", Group: 1, State: EndpointReady, StartedAt: h.now})
		}
		h.step(ms, list)
		ask(3) // nobody leads for now
		led = leader
		if ask(25); !found {
			t.Errorf("%s leads, and is not found", leader)
		}
	}
}

// Nobody leads, and the members stand still, further behind each second: they are asked less and less by reads that could not
// go there. Where the list names the primary an instance of many asks for nothing before a read needs it.
func TestMembersThatStandStillAreAskedRarely(t *testing.T) {
	c := testConfig()
	c.Instances, c.HealthCheckCost = 80, 0.08
	l := threeEndpoints(ListCached)
	l.Entries[0].Primary = true
	h := newHarness(t, c, l)
	if n := len(actionsOf[HealthCheck](h.step(ms, h.request("write")))); n != 0 {
		t.Errorf("%d probes at first use", n)
	}
	h.reportAll("a")
	still := h.now
	probes := 0
	for range 50 {
		h.balancer.healthChecks.tokens = 8
		for _, p := range actionsOf[HealthCheck](h.step(200*ms, h.request("bounded"))) {
			probes++
			h.step(2*ms, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: still})
		}
	}
	if probes < 10 || probes > 30 { // of two in ten seconds
		t.Errorf("%d probes", probes)
	}
}

// What instances have saved up for a cold member while nobody asked fits the budget of all of them together, beside what they get
// meanwhile, however many they are: with two requests saved up at each, as it was, 80 sent 160 at once where 30 are allowed. It is
// spent: little traffic reaches a cold member all the same.
func TestWhatAFleetHasSavedUpFitsTheBudget(t *testing.T) {
	for _, instances := range []int{3, 20, 30, 80, 300} {
		c := testConfig()
		c.Instances, c.SlowStartFrom, c.SlowStartWindow, c.OverloadMultiple, c.OverloadWindow = instances, 0.16, 100*time.Second, 2.5, 2*time.Second
		work := c.Classes[0].LatencyObjective.Seconds() / 5 // as it is taken before any answer
		for _, k := range c.Classes {
			if k.Consistency == ConsistencyWrite {
				work = k.LatencyObjective.Seconds() / 5
			}
		}
		for seed := range uint64(5) {
			at, sent := 100*time.Second, 0
			rigs := make([]*harness, instances)
			step := func(h *harness, d time.Duration, events ...Event) { // each attempt is answered at once
				for acts := actionsOf[Send](h.step(d, events...)); len(acts) > 0; {
					var more []Send
					for _, s := range acts {
						sent++
						more = append(more, actionsOf[Send](h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 80 * ms, Role: RolePrimary,
							Position: h.now, Finished: true}))...)
					}
					acts = more
				}
			}
			for i := range rigs {
				r, err := New(c, 1000*seed+uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				rigs[i] = &harness{t: t, balancer: r, now: at}
				rigs[i].step(0, EndpointList{Kind: ListCached, Entries: []EndpointEntry{{Endpoint: "p", Group: 1, State: EndpointReady, Primary: true, StartedAt: at}}})
				rigs[i].step(0, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: at})
				step(rigs[i], 0, rigs[i].request("write")) // its credit is counted from here
			}
			first := sent
			warm := c.SlowStartFrom
			n := c.OverloadMultiple * warm * c.OverloadWindow.Seconds() / work
			if most := n + 2*math.Sqrt(n) + 2; float64(first) > most {
				t.Errorf("%d instances, seed %d: %d at the start, %.0f allowed", instances, seed, first, most)
			}
			for _, h := range rigs { // idle for the better part of a minute, then all ask for more than they may
				step(h, 58*time.Second)
			}
			sent = 0
			for range 80 {
				for _, h := range rigs {
					step(h, 25*ms, h.request("write"))
				}
			}
			warm += (1 - c.SlowStartFrom) * 0.58
			n = c.OverloadMultiple * warm * c.OverloadWindow.Seconds() / work
			most := n + 2*math.Sqrt(n) + 2
			if t.Logf("%d instances, seed %d: %d of %.0f", instances, seed, sent, most); float64(sent) > most {
				t.Errorf("%d instances, seed %d: %d in the contract's time, %.0f allowed", instances, seed, sent, most)
			}
			if float64(sent) < n/4 {
				t.Errorf("%d instances, seed %d: %d in the contract's time, %.0f allowed: it is not used", instances, seed, sent, most)
			}
		}
	}
}

// What a cold member may get goes by what the busiest warm ones do, not by those that stand idle beside them.
func TestColdBudgetGoesByTheBusiest(t *testing.T) {
	c := testConfig()
	c.Instances, c.SlowStartFrom, c.SlowStartWindow, c.OverloadMultiple, c.OverloadWindow = 80, 0.16, 18*time.Second, 2.5, 2*time.Second
	l := EndpointList{Kind: ListCached, Entries: []EndpointEntry{{Endpoint: "p", Group: 2, State: EndpointReady, Primary: true}}}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		l.Entries = append(l.Entries, EndpointEntry{Endpoint: id, Group: 1, State: EndpointReady, Primary: id == "a"})
	}
	h := newHarness(t, c, l)
	sent := func(group int64, times int, gap time.Duration) (n int) {
		for range times {
			q := h.request("write")
			q.Group = group
			for _, s := range actionsOf[Send](h.step(gap-20*ms, q)) {
				n++
				h.step(20*ms, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 20 * ms, Role: RolePrimary,
					Position: h.now, Finished: true})
			}
		}
		return n
	}
	sent(1, 150, 100*ms) // a does two tenths of a second's work a second, the others nothing
	h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "p", Group: 2, State: EndpointReady, Primary: true, StartedAt: h.now}}})
	h.step(0, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: h.now})
	if n := sent(2, 25, 200*ms); n < 8 {
		t.Fatalf("%d of 25 writes sent in 5 s", n)
	}
}

// Of a member's share an instance of eighty has less than one attempt. What it saves up is enough for a long read, however
// often short ones look at it in between.
func TestShortReadsLeaveALongOneItsCredit(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	h := newHarness(t, c, EndpointList{Kind: ListCached, Entries: []EndpointEntry{{Endpoint: "a", Group: 1, State: EndpointReady, Primary: true},
		{Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady}}})
	type end struct {
		at Time
		AttemptResult
	}
	var out []end
	longs, served := 0, 0
	for i := range 6000 { // a minute
		var events []Event
		if i%15 == 0 {
			events = append(events, h.request("bounded"))
		}
		if i%200 == 100 && i > 1000 { // once the times are known
			longs++
			events = append(events, h.request("any"))
		}
		for len(out) > 0 && out[0].at <= h.now {
			events = append(events, out[0].AttemptResult)
			out = out[1:]
		}
		acts := h.step(10*ms, events...)
		for _, p := range actionsOf[HealthCheck](acts) {
			role := map[string]Role{"a": RolePrimary, "b": RoleReplica}[p.Endpoint]
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now})
		}
		for _, s := range actionsOf[Send](acts) {
			q := h.balancer.requests[s.ID]
			took := 20 * ms
			if q.class.Name == "any" {
				took = 300 * ms
				served++
			}
			role := map[string]Role{"a": RolePrimary, "b": RoleReplica}[s.Endpoint]
			out = append(out, end{h.now + took, AttemptResult{ID: s.ID, Attempt: h.attempts(s.ID) - 1, Endpoint: s.Endpoint, Status: StatusDone,
				Elapsed: took, Role: role, Position: h.now, Finished: true}})
			slices.SortStableFunc(out, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		}
	}
	if served < longs*3/4 {
		t.Fatalf("%d of %d long reads sent", served, longs)
	}
}

// One report at a time is asked for where a read waits for one, however often the instance is woken meanwhile.
func TestAReadThatWaitsAsksForOneReport(t *testing.T) {
	c := testConfig()
	c.Instances, c.HealthCheckCost = 80, 0.08
	h := newReadyHarness(t, c)
	h.step(0, h.request("write")) // the first use asks all
	h.reportAll("a")
	h.balancer.healthChecks.tokens = 8
	probes := len(actionsOf[HealthCheck](h.step(time.Second, h.request("bounded")))) // all positions have aged
	for range 4 {
		probes += len(actionsOf[HealthCheck](h.step(10*ms, Wake{})))
	}
	if probes != 1 {
		t.Fatalf("%d reports asked for", probes)
	}
	if len(actionsOf[HealthCheck](h.step(50*ms, Wake{}))) == 0 { // that one may be lost
		t.Fatal("no other is asked")
	}
}

// All members have denied that they lead. The write that comes once one of them does tries them again, without a probe.
func TestASuccessorThatDeniedIsTriedAgain(t *testing.T) {
	c := testConfig()
	c.HealthChecks = false
	h := newHarness(t, c, threeEndpoints(ListCached))
	write := func(leader string) (served bool) {
		acts := h.step(100*ms, h.request("write"))
		for range 6 {
			for _, s := range actionsOf[Send](acts) {
				o := AttemptResult{ID: s.ID, Attempt: h.attempts(s.ID) - 1, Endpoint: s.Endpoint, Status: StatusMiss, Elapsed: ms, Role: RoleReplica}
				if s.Endpoint == leader {
					o.Status, o.Role, o.Finished, served = StatusDone, RolePrimary, true, true
				}
				acts = h.step(ms, o)
			}
		}
		return served
	}
	if write("") {
		t.Fatal("nobody leads")
	}
	h.step(time.Second)
	if !write("c") {
		t.Fatal("c leads and is not tried again")
	}
}

// What is spent on reports goes to replicas that were recent enough when they last told, each in its turn.
func TestReportsAreAskedOfTheRecent(t *testing.T) {
	for _, recent := range []string{"b", "c"} {
		h := newReadyHarness(t, testConfig())
		asked := 0
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, s := range actionsOf[Send](acts) {
				run(h.step(ms, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true}))
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				role, lag := RoleReplica, 10*time.Second
				switch p.Endpoint {
				case "a":
					role = RolePrimary
				case recent:
					lag = 250 * ms
					asked++
				}
				if p.Endpoint != recent && asked > 1 {
					t.Fatalf("%s is asked", p.Endpoint)
				}
				run(h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now - lag}))
			}
		}
		for range 30 { // at the first use all are asked
			h.balancer.healthChecks.tokens = 1
			run(h.step(600*ms, h.request("bounded")))
		}
		if asked < 20 {
			t.Fatalf("%s is asked %d times", recent, asked)
		}
	}
}

// A member that takes three tenths of the aim with nothing to do, as on real sockets, is not crowded: its limit stays. One
// that takes half is.
func TestAnIdleMemberIsNotCrowded(t *testing.T) {
	c := testConfig()
	c.Classes[1].MaxStaleness = time.Second // none of these reads is long beside it
	for part, crowded := range map[float64]bool{0.3: false, 0.5: true} {
		h := newReadyHarness(t, c)
		for range 300 {
			q := h.request("any")
			s := h.expectSends(h.step(ms, q), "bc")[0]
			took := time.Duration(part * float64(400*ms))
			h.step(took, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: took, Finished: true})
		}
		for _, id := range []string{"b", "c"} {
			if got := h.balancer.endpoints[id].limit.attempts < initialLimit; got != crowded {
				t.Errorf("%s takes %v of the aim: limit %.1f", id, part, h.balancer.endpoints[id].limit.attempts)
			}
		}
	}
}

// One of 300 instances whose weak read was late at a primary keeps the next ones away from it for a while; its writes go on.
func TestWeakReadsEaseOffACrowdedPrimary(t *testing.T) {
	c := testConfig()
	c.Instances, c.HealthChecks = 300, false // no report ever makes a replica available
	for took, want := range map[time.Duration][2]time.Duration{20 * ms: {0, 60 * ms}, 700 * ms: {100 * ms, 400 * ms}} {
		for _, class := range []string{"bounded", "write"} {
			h := newHarness(t, c, EndpointList{Kind: ListCached, Entries: []EndpointEntry{{Endpoint: "a", Zone: "a", Group: 1, State: EndpointReady, Primary: true},
				{Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady}}})
			s := h.expectSends(h.step(0, h.request("bounded")), "a")
			for range took / (10 * ms) { // it runs all the time
				h.step(10 * ms)
			}
			h.step(0, AttemptResult{ID: s[0].ID, Attempt: 0, Endpoint: "a", Status: StatusDone, Elapsed: took, Finished: true, Role: RolePrimary, Position: h.now})
			from := h.now
			acts := h.step(10*ms, h.request(class))
			for len(actionsOf[Send](acts)) == 0 && h.now < from+5*time.Second {
				acts = h.step(10 * ms)
			}
			least, most := want[0], want[1]
			if class == "write" {
				least, most = 0, 60*ms
			}
			if wait := h.now - from; wait < least || wait > most {
				t.Errorf("behind a read that took %v: %s sent after %v, wanted %v to %v", took, class, wait, least, most)
			}
		}
	}
}

// scarce is a rig with a long class whose bounded reads have just been refused for want of room, and its replica b is recent again.
func newShortageHarness(t *testing.T, work float64) *harness {
	c := testConfig()
	c.Classes[1].PriorityWeight = 2
	c.Classes = append(c.Classes, Class{Name: "long", LatencyObjective: 5 * time.Second, ClientTimeout: 10 * time.Second, PriorityWeight: 6, LateWeightShare: 0.2, Consistency: ConsistencyAny})
	h := newReadyHarness(t, c)
	long := h.balancer.classes["long"]
	long.serviceTime, long.latency = work, 1
	h.balancer.classes["bounded"].serviceTime = 0.06
	h.balancer.groups[1].longReads.nextAt = h.now + 4*time.Second
	for _, n := range h.balancer.endpoints {
		n.limit.rejectingUntil = h.now + time.Second // all are full
	}
	for range 80 {
		h.step(0, h.request("bounded"))
	}
	refused := 0
	for range 12 {
		refused += len(actionsOf[Reject](h.step(50 * ms)))
	}
	if refused < 20 {
		t.Fatalf("%d refused", refused)
	}
	for h.now < h.balancer.endpoints["a"].limit.rejectingUntil {
		h.step(50 * ms)
	}
	h.reportAll("a")
	return h
}

func (h *harness) sendLongRead() []Send {
	q := h.request("long")
	q.TimeLeft = 10 * time.Second
	return slices.DeleteFunc(actionsOf[Send](h.step(0, q)), func(s Send) bool { return s.ID != q.ID })
}

// While bounded reads are refused beside a primary, a long read, which would cost them its replica, is held back: not for good, and only
// where that would help.
func TestLongReadsYieldToBoundedOnesThatWereRefused(t *testing.T) {
	h := newShortageHarness(t, 1)
	if got := h.sendLongRead(); len(got) > 0 {
		t.Fatalf("sent at once: %v", got)
	}
	at := h.now
	for len(actionsOf[Send](h.step(100*ms, Wake{}))) == 0 {
		if h.now-at > 4*time.Second {
			t.Fatal("held back behind its turn")
		}
	}
	t.Logf("sent after %v", h.now-at)
	for name, c := range map[string]struct {
		work float64
		set  func(h *harness)
	}{
		"one that costs no more than they do": {0.2, func(*harness) {}},
		"its turn has come":                   {1, func(h *harness) { h.balancer.groups[1].longReads.nextAt = h.now }},
		"none was refused for long":           {1, func(h *harness) { h.now += 20 * time.Second; h.reportAll("a") }},
		"its replica could not catch up": {1, func(h *harness) {
			h.balancer.endpoints["c"].replication.lag, h.balancer.endpoints["c"].replication.lagObservedAt = 5*time.Second, h.now
		}},
		"it is worth more": {1, func(h *harness) { k := h.balancer.classes["long"]; k.PriorityWeight = 1000 }},
	} {
		h := newShortageHarness(t, c.work)
		if c.set(h); len(h.sendLongRead()) != 1 {
			t.Errorf("%s: it is held back", name)
		}
	}
}

// What is refused while a bank has no primary says nothing of room.
func TestRefusalsWithoutAPrimaryHoldBackNoLongRead(t *testing.T) {
	h := newShortageHarness(t, 1)
	g := h.balancer.groups[1]
	g.shortage.weight, g.longReads.nextAt = 0, h.now+time.Hour
	h.balancer.markPrimarySuspect(g, "a test")
	q := &request{class: h.balancer.classes["bounded"], group: g, weight: 50}
	h.balancer.recordShortage(q)
	if len(h.sendLongRead()) != 1 {
		t.Error("it is held back")
	}
	g.primary.state = primaryCached
	h.balancer.recordShortage(q)
	if len(h.sendLongRead()) != 0 {
		t.Error("a refusal beside a primary does not count")
	}
}

// A zone that may not be used gets nothing, one that may be used in part gets less at a time, and one that is free again gets its part.
func TestPacedZone(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[1].Zone = "b"
	h := newHarness(t, testConfig(), l)
	h.reportAll("a")
	count := func(part float64) (n int) {
		h.step(0, ZoneCapacity{Zone: "b", Share: part})
		for range 40 {
			for _, s := range actionsOf[Send](h.step(0, h.request("any"))) {
				if s.Endpoint == "b" {
					n++
				}
				h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 50 * ms, Finished: true})
			}
			h.now += 5 * ms
		}
		return n
	}
	h.balancer.endpoints["c"].discovery.suspended = true // b is the only replica
	if n := count(0); n != 0 {
		t.Errorf("%d sent to a zone that may not be used", n)
	}
	if n := count(1); n != 40 {
		t.Errorf("%d of 40 sent to a zone that is free", n)
	}
	h.step(0, ZoneCapacity{Zone: "b", Share: 0.25})
	h.step(0, h.request("any")) // its credit is drawn, and earned from here on
	h.step(2 * time.Second)
	most := 0
	for range 40 {
		h.step(0, h.request("any"))
		most = max(most, len(h.balancer.endpoints["b"].inFlight))
	}
	if free := h.balancer.endpoints["b"].limit.attempts; most == 0 || float64(most) > free/4+1 {
		t.Errorf("%d out at a quarter of %.1f", most, free)
	}
}

// Among so many instances that one has a share under one attempt none holds a long read back: it would free no replica.
func TestLongReadsOfALargeFleetDoNotYield(t *testing.T) {
	h := newShortageHarness(t, 1)
	h.balancer.config.Instances = 300
	n := h.balancer.endpoints["c"]
	n.limit.attempts, n.credit.refilledAt, n.credit.tokens = 1, h.now, 100
	if len(h.sendLongRead()) != 1 {
		t.Error("it is held back")
	}
}
