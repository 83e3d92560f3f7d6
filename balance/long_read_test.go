package balance

import (
	"slices"
	"testing"
	"time"
)

func TestShortageDecays(t *testing.T) {
	var shortage boundedReadShortage
	now := 100 * time.Second
	shortage.add(2, now)
	shortage.add(3, now)
	if got := shortage.at(now); got != 5 {
		t.Errorf("got shortage %v at once, want 5", got)
	}
	if got := shortage.at(now + activeWindow); got < 1.8 || got > 1.9 {
		t.Errorf("got shortage %v after the active window, want 5/e", got)
	}
}

// All ConsistencyAny reads that are long go to the same replica, whichever replica an instance knows to lag, so that
// the other replicas stay recent enough.
func TestLongReadsGoToOneReplica(t *testing.T) {
	c := testConfig()
	c.Classes[0].LatencyObjective = 2 * time.Second
	for _, lagging := range []string{"b", "c"} {
		h := newReadyHarness(t, c)
		h.step(0, HealthCheckResult{Endpoint: lagging, Status: StatusDone, Role: RoleReplica, Position: h.now - time.Second})
		for range 8 {
			h.expectSends(h.step(ms, h.request("any")), "c")
		}
	}
}

// Where no class is bounded, no read suffers from a lagging replica, so ConsistencyAny reads go to all replicas,
// however long they take.
func TestNoReadIsLongWithoutABoundedClass(t *testing.T) {
	c := testConfig()
	c.Classes[0].LatencyObjective = 2 * time.Second
	c.Classes = slices.DeleteFunc(c.Classes, func(k Class) bool { return k.Consistency == ConsistencyBounded })
	h := newReadyHarness(t, c)
	sends := map[string]int{}
	for range 40 {
		for _, s := range actionsOf[Send](h.step(ms, h.request("any"))) {
			sends[s.Endpoint]++
			h.step(
				0,
				AttemptResult{
					ID:       s.ID,
					Endpoint: s.Endpoint,
					Status:   StatusDone,
					Elapsed:  ms,
					Finished: true,
					Role:     RoleReplica,
					Position: h.now,
				},
			)
		}
	}
	if sends["b"] < 10 || sends["c"] < 10 {
		t.Fatalf("got sends %v by endpoint, want at least 10 to each of b and c", sends)
	}
}

// newShortageHarness returns a harness whose bounded reads have just been rejected for lack of capacity, and whose
// endpoints have reported since. It has a class "long" with the given service time, in seconds.
func newShortageHarness(t *testing.T, work float64) *harness {
	t.Helper()
	c := testConfig()
	c.Classes[1].PriorityWeight = 2
	c.Classes = append(
		c.Classes,
		Class{
			Name:             "long",
			LatencyObjective: 5 * time.Second,
			ClientTimeout:    10 * time.Second,
			PriorityWeight:   6,
			LateWeightShare:  0.2,
			Consistency:      ConsistencyAny,
		},
	)
	h := newReadyHarness(t, c)
	long := h.balancer.classes["long"]
	long.serviceTime, long.latency = work, 1
	h.balancer.classes["bounded"].serviceTime = 0.06
	h.balancer.groups[1].longReads.nextAt = h.now + 4*time.Second
	for _, n := range h.balancer.endpoints {
		n.limit.rejectingUntil = h.now + time.Second // all endpoints reject
	}
	for range 80 {
		h.step(0, h.request("bounded"))
	}
	rejected := 0
	for range 12 {
		rejected += len(actionsOf[Reject](h.step(50 * ms)))
	}
	if rejected < 20 {
		t.Fatalf("%d bounded reads were rejected, want at least 20", rejected)
	}
	for h.now < h.balancer.endpoints["a"].limit.rejectingUntil {
		h.step(50 * ms)
	}
	h.reportAll("a")
	return h
}

// sendLongRead adds a long read and returns its sends in the same step.
func (h *harness) sendLongRead() []Send {
	q := h.request("long")
	q.TimeLeft = 10 * time.Second
	return slices.DeleteFunc(actionsOf[Send](h.step(0, q)), func(s Send) bool { return s.ID != q.ID })
}

// While bounded reads are rejected though the group has a primary, a long read, which would take a replica from them,
// stays pending: only for a limited time, and only where that helps.
func TestLongReadsDeferToBoundedReads(t *testing.T) {
	h := newShortageHarness(t, 1)
	if got := h.sendLongRead(); len(got) > 0 {
		t.Fatalf("got sends %v at once, want the long read to stay pending", got)
	}
	at := h.now
	for len(actionsOf[Send](h.step(100*ms, Wake{}))) == 0 {
		if h.now-at > 4*time.Second {
			t.Fatal("the long read is still pending 4 s later, want it to be sent by then")
		}
	}
	t.Logf("sent after %v", h.now-at)
	for name, c := range map[string]struct {
		work float64
		set  func(h *harness)
	}{
		"it costs under four bounded reads":   {0.2, func(*harness) {}},
		"the next one is due":                 {1, func(h *harness) { h.balancer.groups[1].longReads.nextAt = h.now }},
		"no bounded read was rejected lately": {1, func(h *harness) { h.now += 20 * time.Second; h.reportAll("a") }},
		"its replica lags too far behind": {1, func(h *harness) {
			h.balancer.endpoints["c"].replication.lag, h.balancer.endpoints["c"].replication.lagObservedAt = 5*time.Second, h.now
		}},
		"it has more weight": {1, func(h *harness) { k := h.balancer.classes["long"]; k.PriorityWeight = 1000 }},
	} {
		h := newShortageHarness(t, c.work)
		if c.set(h); len(h.sendLongRead()) != 1 {
			t.Errorf("%s: the long read stays pending, want it to be sent", name)
		}
	}
}

// Bounded reads that are rejected while the group has no primary are not a sign of missing capacity.
func TestRejectionsWithoutAPrimaryDoNotDeferLongReads(t *testing.T) {
	h := newShortageHarness(t, 1)
	g := h.balancer.groups[1]
	g.shortage.weight, g.longReads.nextAt = 0, h.now+time.Hour
	h.balancer.markPrimarySuspect(g, "a test")
	q := &request{class: h.balancer.classes["bounded"], group: g, weight: 50}
	h.balancer.recordShortage(q)
	if len(h.sendLongRead()) != 1 {
		t.Error("the long read stays pending, want it to be sent")
	}
	g.primary.state = primaryCached
	h.balancer.recordShortage(q)
	if len(h.sendLongRead()) != 0 {
		t.Error("the long read is sent after a rejection with a known primary, want it to stay pending")
	}
}

// Where an instance's share of an endpoint is under one attempt, long reads are not deferred: it would free no replica.
func TestLongReadsOfALargeFleetDoNotDefer(t *testing.T) {
	h := newShortageHarness(t, 1)
	h.balancer.config.Instances = 300
	n := h.balancer.endpoints["c"]
	n.limit.attempts, n.credit.refilledAt, n.credit.tokens = 1, h.now, 100
	if len(h.sendLongRead()) != 1 {
		t.Error("the long read stays pending, want it to be sent")
	}
}
