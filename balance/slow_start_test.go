package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSlowStartCapacity(t *testing.T) {
	const now = 100 * time.Second
	config := Config{SlowStartFrom: 0.2, SlowStartWindow: 10 * time.Second}
	for _, c := range []struct {
		name  string
		state slowStart
		scale float64
		want  float64
	}{
		{"warm", slowStart{}, 1, 1},
		{"just started", slowStart{startedAt: now}, 1, 0.2},
		{"after half of the window", slowStart{startedAt: now - 5*time.Second}, 1, 0.6},
		{"after the window", slowStart{startedAt: now - 10*time.Second}, 1, 1},
		{"recovered after its start", slowStart{startedAt: now - time.Hour, recoveredAt: now}, 1, 0.2},
		{"start time in the future", slowStart{startedAt: now + time.Second}, 1, 0.2},
		{"in a zone limited to half", slowStart{startedAt: now}, 0.5, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.capacity(now, &config, c.scale); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("capacity %v, want %v", got, c.want)
			}
		})
	}
}

func TestWarmingEndpointStaysWithinBudget(t *testing.T) {
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
	// The throughput of a warm endpoint is unknown, so requests are sent one at a time, and rejected ones count.
	if sends == 0 || sends > 30 {
		t.Fatalf("%d attempts in 1 s at an endpoint that warms up, want 1 to 30", sends)
	}
}

// Many instances with the same endpoint that warms up must not send it one request each at once. Counts the attempts.
func TestSlowStartBudgetOverManyInstances(t *testing.T) {
	c := testConfig()
	c.Instances = 200
	l := threeEndpoints(ListCached)
	l.Entries[1].StartedAt = 99900 * ms
	l.Entries[2].State = EndpointDraining
	l.Entries[0].State = EndpointDraining
	first, later := 0, 0
	for i := range c.Instances {
		b, err := New(c, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, balancer: b, now: 100 * time.Second}
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
		t.Fatalf("%d attempts of 200 instances in the first second, %d in the next 4 s, want at most 12 and some",
			first, later)
	}
}

// The credit that idle instances save up for an endpoint that warms up must fit the budget of the whole fleet, together
// with the credit earned meanwhile: with two requests saved up per instance, 80 instances would send 160 at once where
// 30 are allowed. The budget must also be used, so that the endpoint gets requests even at low traffic.
func TestSavedCreditOfFleetFitsBudget(t *testing.T) {
	for _, instances := range []int{3, 20, 30, 80, 300} {
		c := testConfig()
		c.Instances = instances
		c.SlowStartFrom = 0.16
		c.SlowStartWindow = 100 * time.Second
		c.OverloadMultiple = 2.5
		c.OverloadWindow = 2 * time.Second
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(instances, " instances, seed ", seed), func(t *testing.T) { checkSavedCredit(t, c, seed) })
		}
	}
}

func checkSavedCredit(t *testing.T, c Config, seed uint64) {
	t.Helper()
	f := newWarmingFleet(t, c, seed)
	if most := allowedRequests(f.budget(c.SlowStartFrom)); float64(f.sent) > most {
		t.Errorf("%d attempts at the start, %.0f allowed", f.sent, most)
	}
	for _, h := range f.instances { // after 58 s of idle time, all instances get more requests than they may send
		f.step(h, 58*time.Second)
	}
	f.sent = 0
	for range 80 {
		for _, h := range f.instances {
			f.step(h, 25*ms, h.request("write"))
		}
	}
	budget := f.budget(c.SlowStartFrom + (1-c.SlowStartFrom)*0.58)
	t.Logf("%d attempts, %.0f allowed", f.sent, allowedRequests(budget))
	if float64(f.sent) > allowedRequests(budget) {
		t.Errorf("%d attempts in the overload window, %.0f allowed", f.sent, allowedRequests(budget))
	}
	if float64(f.sent) < budget/4 {
		t.Errorf("%d attempts in the overload window, %.0f allowed: want at least a quarter of the budget used",
			f.sent, allowedRequests(budget))
	}
}

// allowedRequests returns how many requests a budget of n allows, including the excess that is attributed to chance.
func allowedRequests(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// warmingFleet is a fleet of instances whose only endpoint warms up and answers each attempt at once.
type warmingFleet struct {
	config    Config
	instances []*harness
	sent      int // attempts
}

// newWarmingFleet starts the fleet with one write at each instance, which starts the instance's credit.
func newWarmingFleet(t *testing.T, c Config, seed uint64) *warmingFleet {
	t.Helper()
	const at = 100 * time.Second
	f := &warmingFleet{config: c}
	for i := range c.Instances {
		b, err := New(c, 1000*seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, balancer: b, now: at}
		f.instances = append(f.instances, h)
		h.step(0, EndpointList{Kind: ListCached, Entries: []EndpointEntry{
			{Endpoint: "p", Group: 1, State: EndpointReady, Primary: true, StartedAt: at},
		}})
		h.step(0, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: at})
		f.step(h, 0, h.request("write"))
	}
	return f
}

// step passes the events to an instance, then counts and answers its attempts.
func (f *warmingFleet) step(h *harness, d time.Duration, events ...Event) {
	sends := actionsOf[Send](h.step(d, events...))
	for len(sends) > 0 {
		var more []Send
		for _, s := range sends {
			f.sent++
			more = append(more, actionsOf[Send](h.step(0, AttemptResult{
				ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 80 * ms, Role: RolePrimary,
				Position: h.now, Finished: true,
			}))...)
		}
		sends = more
	}
}

// budget returns how many writes the configuration allows in an overload window at the given share of the endpoint's
// capacity. The work of a write is the initial estimate, a fifth of the latency objective.
func (f *warmingFleet) budget(capacity float64) float64 {
	work := 0.0
	for _, class := range f.config.Classes {
		if class.Consistency == ConsistencyWrite {
			work = class.LatencyObjective.Seconds() / 5
		}
	}
	return f.config.OverloadMultiple * capacity * f.config.OverloadWindow.Seconds() / work
}

// The slow start budget is estimated from the busiest warm endpoints. Idle ones beside them must not lower it.
func TestSlowStartBudgetUsesBusiestEndpoints(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	c.SlowStartFrom = 0.16
	c.SlowStartWindow = 18 * time.Second
	c.OverloadMultiple = 2.5
	c.OverloadWindow = 2 * time.Second
	l := EndpointList{
		Kind:    ListCached,
		Entries: []EndpointEntry{{Endpoint: "p", Group: 2, State: EndpointReady, Primary: true}},
	}
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
				h.step(
					20*ms,
					AttemptResult{
						ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 20 * ms, Role: RolePrimary,
						Position: h.now, Finished: true,
					},
				)
			}
		}
		return n
	}
	sent(1, 150, 100*ms) // a does 0.2 s of work per second, the others none
	h.step(
		0,
		EndpointList{
			Entries: []EndpointEntry{{Endpoint: "p", Group: 2, State: EndpointReady, Primary: true, StartedAt: h.now}},
		},
	)
	h.step(0, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: h.now})
	if n := sent(2, 25, 200*ms); n < 8 {
		t.Fatalf("%d of 25 writes sent in 5 s, want at least 8", n)
	}
}

// A zone with capacity 0 gets no attempts, a zone with a limited capacity gets fewer at a time, and a zone with full
// capacity gets all again.
func TestZoneCapacity(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[1].Zone = "b"
	h := newHarness(t, testConfig(), l)
	h.reportAll("a")
	count := func(share float64) (n int) {
		h.step(0, ZoneCapacity{Zone: "b", Share: share})
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
		t.Errorf("%d attempts in a zone with capacity 0, want none", n)
	}
	if n := count(1); n != 40 {
		t.Errorf("%d of 40 reads sent to a zone with full capacity, want all", n)
	}
	h.step(0, ZoneCapacity{Zone: "b", Share: 0.25})
	h.step(0, h.request("any")) // starts its credit with a random value
	h.step(2 * time.Second)
	most := 0
	for range 40 {
		h.step(0, h.request("any"))
		most = max(most, len(h.balancer.endpoints["b"].inFlight))
	}
	if limit := h.balancer.endpoints["b"].limit.attempts; most == 0 || float64(most) > limit/4+1 {
		t.Errorf("%d attempts in flight with a quarter of the limit, %.1f; want 1 to that quarter plus 1", most, limit)
	}
}
