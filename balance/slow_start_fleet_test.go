package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// maxBudgetExcess returns by how much the work that an endpoint received exceeds its slow start budget at most, in any
// overload window since its start, and the start of that window in seconds after the endpoint's start. The excess is
// counted in requests of mean work, beyond the budget N plus 2*sqrt(N)+2 that are attributed to chance, so a value up
// to 0 is within the budget.
func (f *fleet) maxBudgetExcess(e *fleetEndpoint, c Config, mean time.Duration) (most, at float64) {
	most = math.Inf(-1)
	for from := e.warmupStartedAt; from+c.OverloadWindow <= f.now; from += 20 * ms {
		got := 0.0
		for _, p := range e.work {
			if p.at >= from && p.at < from+c.OverloadWindow {
				got += p.work.Seconds() / mean.Seconds()
			}
		}
		warm := min(1, c.SlowStartFrom+(1-c.SlowStartFrom)*(from-e.warmupStartedAt).Seconds()/c.SlowStartWindow.Seconds())
		n := c.OverloadMultiple * warm * float64(len(e.cores)) * c.OverloadWindow.Seconds() / mean.Seconds()
		if over := got - n - 2*math.Sqrt(n) - 2; over > most {
			most, at = over, (from - e.warmupStartedAt).Seconds()
		}
	}
	return most, at
}

// drainAllButLastReplica drains all replicas of the first group except the last.
func (f *fleet) drainAllButLastReplica() {
	for i := range f.balancers {
		var l EndpointList
		for _, id := range []string{"00b", "00c", "00d", "00e"} {
			l.Entries = append(l.Entries, EndpointEntry{Endpoint: id, Zone: "a", State: EndpointDraining})
		}
		f.step(i, l)
	}
}

// slowStartCase is a deployment whose endpoints warm up after a restart.
type slowStartCase struct {
	name         string
	cores        int     // per endpoint
	workMultiple float64 // work of a request, as a multiple of the default work
	rate         float64 // requests per second; 700 in the default case
	configure    func(c *Config)
}

// All instances together must keep the slow start budget of an endpoint without communicating: N requests of mean work,
// plus 2*sqrt(N)+2 that are attributed to chance. This must hold for few and many instances, for uneven traffic, after
// idle time in which credit was saved up, when reads move to the endpoint because others drain at once, when instances
// restart meanwhile, and when N is far less than one request per instance.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	loads := map[string]func(f *fleet, rate float64){
		"steady load": func(f *fleet, rate float64) { f.load(rate, 4, 8*time.Second) },
		"idle, then loaded": func(f *fleet, rate float64) {
			f.load(rate/200, 4, 5*time.Second)
			f.load(rate*1.3, 4, 4*time.Second)
		},
		"idle for long, then high load at once": func(f *fleet, rate float64) {
			f.load(rate/200, 4, 9*time.Second)
			f.drainAllButLastReplica()
			f.load(rate*4, 4, 3*time.Second)
		},
		"reads move to the endpoint": func(f *fleet, rate float64) {
			f.load(rate/30, 4, 4*time.Second)
			f.drainAllButLastReplica()
			f.load(rate, 4, 5*time.Second)
		},
		"instances restart": func(f *fleet, rate float64) {
			f.load(rate, 4, 2*time.Second)
			for i := range f.balancers {
				if i%2 == 0 {
					f.restartInstance(i)
				}
			}
			f.load(rate, 4, 5*time.Second)
		},
		"one instance has a quarter of the traffic": func(f *fleet, rate float64) {
			f.busyInstanceShare = 2500
			f.load(rate, 4, 8*time.Second)
		},
	}
	for _, k := range []slowStartCase{
		{"default work", 3, 1, 700, func(*Config) {}},
		{"long work, a short window", 1, 3, 150, func(c *Config) {
			c.OverloadMultiple = 2
			c.OverloadWindow = time.Second
		}},
		{"a window of 1 s, endpoints of eight cores", 8, 0.8, 1500, func(c *Config) {
			c.OverloadMultiple = 3
			c.OverloadWindow = time.Second
			c.SlowStartFrom = 0.24
		}},
	} {
		for _, instances := range []int{3, 20, 30, 300} {
			for name, load := range loads {
				for _, id := range []string{"00a", "00f"} {
					t.Run(fmt.Sprint(k.name, ", ", instances, " instances, ", name, ", ", id), func(t *testing.T) {
						t.Parallel()
						for seed := range uint64(2) {
							k.run(t, seed, instances, id, load)
						}
					})
				}
			}
		}
	}
}

// run restarts the endpoint in a fleet under the given load and checks that it gets no more than its budget.
func (k slowStartCase) run(t *testing.T, seed uint64, instances int, id string, load func(*fleet, float64)) {
	t.Helper()
	const mean = 39 * time.Millisecond // approximate mean work of the load's requests
	c := k.config(instances)
	f := newFleetWithConfig(t, 7+seed, 4, c)
	f.workMultiple = k.workMultiple
	for _, e := range f.endpoints {
		e.cores = make([]Time, k.cores)
	}
	f.load(k.rate, 4, 6*time.Second)
	e := f.endpoints[id]
	f.restartEndpoint(e)
	f.load(0.001, 4, 2*ms) // lets requests arrive that were sent before the restart; they are not counted
	e.work = nil
	load(f, k.rate)
	work := time.Duration(k.workMultiple * float64(mean))
	bound := c.OverloadMultiple * c.SlowStartFrom * float64(k.cores) * c.OverloadWindow.Seconds() / work.Seconds()
	over, at := f.maxBudgetExcess(e, c, work)
	t.Logf("seed %d: N %.1f at first, %d requests; highest excess %.1f requests, %.1f s after the restart",
		seed, bound, len(e.work), over, at)
	if over > 0 {
		t.Errorf("seed %d: %.1f requests of mean work over the budget, %.1f s after the restart", seed, over, at)
	}
}

// config returns the configuration of the case. Latency objectives and client timeouts scale with the work.
func (k slowStartCase) config(instances int) Config {
	c := fleetConfig()
	c.Instances = instances
	for i := range c.Classes {
		class := &c.Classes[i]
		class.LatencyObjective = time.Duration(float64(class.LatencyObjective) * k.workMultiple)
		class.ClientTimeout = time.Duration(float64(class.ClientTimeout) * k.workMultiple)
	}
	k.configure(&c)
	return c
}

// restartEndpoint restarts an endpoint and sends the new list entry and a health check result to all instances.
func (f *fleet) restartEndpoint(e *fleetEndpoint) {
	e.warmupStartedAt = f.now
	e.work = nil
	for i := range f.balancers {
		f.step(i, EndpointList{Entries: []EndpointEntry{
			{Endpoint: e.id, Zone: "a", State: EndpointReady, Primary: e.isPrimary, StartedAt: f.now},
		}})
		f.step(i, HealthCheckResult{
			Endpoint: e.id, Status: StatusDone, Role: e.role(), Position: e.position(f.now),
		})
	}
}
