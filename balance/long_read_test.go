package balance

import (
	"slices"
	"testing"
	"time"
)

func TestShortageIsForgotten(t *testing.T) {
	var shortage boundedReadShortage
	now := 100 * time.Second
	shortage.add(2, now)
	shortage.add(3, now)
	if got := shortage.at(now); got != 5 {
		t.Errorf("%v at once, want 5", got)
	}
	if got := shortage.at(now + activeWindow); got < 1.8 || got > 1.9 {
		t.Errorf("%v after the active window, want 5/e", got)
	}
}

// Long reads that any data will do for go to one replica, whatever an instance knows of them, so that the others stay
// recent enough; short ones are drawn at random.
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

// Where no class is bounded a delayed replica hurts no read: reads that any data will do for go to all replicas,
// however long they are.
func TestWithoutABoundNoReadIsLong(t *testing.T) {
	c := testConfig()
	c.Classes[0].LatencyObjective = 2 * time.Second
	c.Classes = slices.DeleteFunc(c.Classes, func(k Class) bool { return k.Consistency == ConsistencyBounded })
	h := newReadyHarness(t, c)
	to := map[string]int{}
	for range 40 {
		for _, s := range actionsOf[Send](h.step(ms, h.request("any"))) {
			to[s.Endpoint]++
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
	if to["b"] < 10 || to["c"] < 10 {
		t.Fatalf("%v", to)
	}
}

// newShortageHarness returns a harness with a long class whose bounded reads have just been rejected for want of
// capacity, and whose replica b is recent again.
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

// While bounded reads are rejected beside a primary, a long read, which would cost them its replica, stays pending:
// not for good, and only where that would help.
func TestLongReadsDeferToBoundedReads(t *testing.T) {
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

// What is rejected while a group has no primary says nothing of capacity.
func TestRejectionsWithoutAPrimaryDeferNoLongRead(t *testing.T) {
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

// Among so many instances that each has a share under one attempt none defers a long read: it would free no replica.
func TestLongReadsOfALargeFleetDoNotDefer(t *testing.T) {
	h := newShortageHarness(t, 1)
	h.balancer.config.Instances = 300
	n := h.balancer.endpoints["c"]
	n.limit.attempts, n.credit.refilledAt, n.credit.tokens = 1, h.now, 100
	if len(h.sendLongRead()) != 1 {
		t.Error("it is held back")
	}
}
