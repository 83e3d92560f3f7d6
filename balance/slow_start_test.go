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
		{"started long ago", slowStart{}, 1, 1},
		{"started just now", slowStart{startedAt: now}, 1, 0.2},
		{"half of the window", slowStart{startedAt: now - 5*time.Second}, 1, 0.6},
		{"the window is over", slowStart{startedAt: now - 10*time.Second}, 1, 1},
		{"recovered after its start", slowStart{startedAt: now - time.Hour, recoveredAt: now}, 1, 0.2},
		{"starts in the future", slowStart{startedAt: now + time.Second}, 1, 0.2},
		{"in a zone at half", slowStart{startedAt: now}, 0.5, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.capacity(now, &config, c.scale); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("capacity %v, want %v", got, c.want)
			}
		})
	}
}

func TestWarmingEndpointStaysWithinItsBudget(t *testing.T) {
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
	// Nothing is known of what a warm endpoint does: work goes one at a time, and rejected work counts.
	if sends == 0 || sends > 30 {
		t.Fatalf("%d sends in a second to a cold member", sends)
	}
}

// Many instances, each told of a warming endpoint, must not send it one request each at once: a plain count of sends.
func TestSlowStartBudgetOverManyInstances(t *testing.T) {
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

// What instances have saved up for a warming endpoint while nobody asked fits the budget of all of them together,
// beside what they get meanwhile, however many they are: with two requests saved up at each, 80 would send 160 at
// once where 30 are allowed. It is spent: little traffic reaches a warming endpoint all the same.
func TestSavedCreditOfAFleetFitsTheBudget(t *testing.T) {
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
	if most := allowed(f.budget(c.SlowStartFrom)); float64(f.sent) > most {
		t.Errorf("%d at the start, %.0f allowed", f.sent, most)
	}
	for _, h := range f.instances { // idle for the better part of a minute, then all ask for more than they may
		f.step(h, 58*time.Second)
	}
	f.sent = 0
	for range 80 {
		for _, h := range f.instances {
			f.step(h, 25*ms, h.request("write"))
		}
	}
	budget := f.budget(c.SlowStartFrom + (1-c.SlowStartFrom)*0.58)
	t.Logf("%d of %.0f", f.sent, allowed(budget))
	if float64(f.sent) > allowed(budget) {
		t.Errorf("%d in the contract's time, %.0f allowed", f.sent, allowed(budget))
	}
	if float64(f.sent) < budget/4 {
		t.Errorf("%d in the contract's time, %.0f allowed: it is not used", f.sent, allowed(budget))
	}
}

// allowed is how many requests a budget of n allows, with what is put down to chance.
func allowed(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// warmingFleet is a fleet of instances whose only endpoint warms up. Each attempt is answered at once.
type warmingFleet struct {
	config    Config
	instances []*harness
	sent      int
}

// newWarmingFleet starts the fleet with one write at each instance: its credit is counted from there.
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

// step passes the events to an instance, and counts and answers its attempts.
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

// budget is how many writes the settings allow in their window, at a part of the endpoint's capacity. Their work is
// taken as it is before any answer.
func (f *warmingFleet) budget(capacity float64) float64 {
	work := 0.0
	for _, class := range f.config.Classes {
		if class.Consistency == ConsistencyWrite {
			work = class.LatencyObjective.Seconds() / 5
		}
	}
	return f.config.OverloadMultiple * capacity * f.config.OverloadWindow.Seconds() / work
}

// What a warming endpoint may get goes by what the busiest warm ones do, not by those that stand idle beside them.
func TestSlowStartBudgetGoesByTheBusiest(t *testing.T) {
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
	sent(1, 150, 100*ms) // a does two tenths of a second's work a second, the others nothing
	h.step(
		0,
		EndpointList{
			Entries: []EndpointEntry{{Endpoint: "p", Group: 2, State: EndpointReady, Primary: true, StartedAt: h.now}},
		},
	)
	h.step(0, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: h.now})
	if n := sent(2, 25, 200*ms); n < 8 {
		t.Fatalf("%d of 25 writes sent in 5 s", n)
	}
}

// A zone that may not be used gets nothing, one that may be used in part gets less at a time, and one that is free
// again gets its part.
func TestZoneCapacity(t *testing.T) {
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
