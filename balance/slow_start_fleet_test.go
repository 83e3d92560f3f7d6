package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// overfull is the most that a warming endpoint got in any window of the contract since its start, in requests of mean
// work: by how much it went beyond what the settings allow, N, less twice the root of N, and 2. Up to 0 it is put
// down to chance.
func (f *fleet) overfull(m *member, c Config, mean time.Duration) (most, at float64) {
	most = math.Inf(-1)
	for from := m.startAt; from+c.OverloadWindow <= f.now; from += 20 * ms {
		got := 0.0
		for _, p := range m.work {
			if p.at >= from && p.at < from+c.OverloadWindow {
				got += p.work.Seconds() / mean.Seconds()
			}
		}
		warm := min(1, c.SlowStartFrom+(1-c.SlowStartFrom)*(from-m.startAt).Seconds()/c.SlowStartWindow.Seconds())
		n := c.OverloadMultiple * warm * float64(len(m.cores)) * c.OverloadWindow.Seconds() / mean.Seconds()
		if over := got - n - 2*math.Sqrt(n) - 2; over > most {
			most, at = over, (from - m.startAt).Seconds()
		}
	}
	return most, at
}

// leaveTo lets all replicas of the first group but the last drain.
func (f *fleet) leaveTo() {
	for i := range f.routers {
		var l EndpointList
		for _, id := range []string{"00b", "00c", "00d", "00e"} {
			l.Entries = append(l.Entries, EndpointEntry{Endpoint: id, Zone: "a", State: EndpointDraining})
		}
		f.step(i, l)
	}
}

// slowStartCase is a deployment whose endpoints warm up.
type slowStartCase struct {
	name  string
	cores int
	times float64 // of the usual work
	rate  float64 // requests a second, beside the usual 700
	set   func(c *Config)
}

// The slow start of an endpoint holds for the whole fleet, without a word between its instances: beyond what the
// settings allow, N requests of mean work, only 2 x root of N + 2 is put down to chance. That holds with few and many
// instances, with uneven traffic, where all were idle and could have saved up, where reads move there from endpoints
// that drain at once, where instances start anew meanwhile, and where N is far less than one request for each.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	shapes := map[string]func(f *fleet, rate float64){
		"busy": func(f *fleet, rate float64) { f.load(rate, 4, 8*time.Second) },
		"idle, then busy": func(f *fleet, rate float64) {
			f.load(rate/200, 4, 5*time.Second)
			f.load(rate*1.3, 4, 4*time.Second)
		},
		"long idle, then all at once": func(f *fleet, rate float64) {
			f.load(rate/200, 4, 9*time.Second)
			f.leaveTo()
			f.load(rate*4, 4, 3*time.Second)
		},
		"reads move there": func(f *fleet, rate float64) {
			f.load(rate/30, 4, 4*time.Second)
			f.leaveTo()
			f.load(rate, 4, 5*time.Second)
		},
		"instances start anew": func(f *fleet, rate float64) {
			f.load(rate, 4, 2*time.Second)
			for i := range f.routers {
				if i%2 == 0 {
					f.restart(i)
				}
			}
			f.load(rate, 4, 5*time.Second)
		},
		"one instance has a quarter of the traffic": func(f *fleet, rate float64) {
			f.busy = 2500
			f.load(rate, 4, 8*time.Second)
		},
	}
	for _, k := range []slowStartCase{
		{"usual work", 3, 1, 700, func(*Config) {}},
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
			for name, shape := range shapes {
				for _, id := range []string{"00a", "00f"} {
					t.Run(fmt.Sprint(k.name, ", ", instances, " instances, ", name, ", ", id), func(t *testing.T) {
						t.Parallel()
						for seed := range uint64(2) {
							k.play(t, seed, instances, id, shape)
						}
					})
				}
			}
		}
	}
}

// play lets the endpoint start anew in a fleet under the load of a shape, and checks that it does not get too much.
func (k slowStartCase) play(t *testing.T, seed uint64, instances int, id string, shape func(*fleet, float64)) {
	t.Helper()
	const mean = 39 * time.Millisecond // of the load's work, about
	c := k.config(instances)
	f := newFleetOf(t, 7+seed, 4, c)
	f.times = k.times
	for _, m := range f.members {
		m.cores = make([]Time, k.cores)
	}
	f.load(k.rate, 4, 6*time.Second)
	m := f.members[id]
	f.restartMember(m)
	f.load(0.001, 4, 2*ms) // what was sent before they were told is no part of it
	m.work = nil
	shape(f, k.rate)
	work := time.Duration(k.times * float64(mean))
	bound := c.OverloadMultiple * c.SlowStartFrom * float64(k.cores) * c.OverloadWindow.Seconds() / work.Seconds()
	over, at := f.overfull(m, c, work)
	t.Logf("seed %d: N %.1f at first, %d pieces of work; at most %.1f requests from the bound, %.1f s after its start",
		seed, bound, len(m.work), over, at)
	if over > 0 {
		t.Errorf("seed %d: %.1f requests of mean work too many, %.1f s after its start", seed, over, at)
	}
}

// config is the deployment of the case: a client waits for a multiple of the work.
func (k slowStartCase) config(instances int) Config {
	c := fleetConfig()
	c.Instances = instances
	for i := range c.Classes {
		class := &c.Classes[i]
		class.LatencyObjective = time.Duration(float64(class.LatencyObjective) * k.times)
		class.ClientTimeout = time.Duration(float64(class.ClientTimeout) * k.times)
	}
	k.set(&c)
	return c
}

// restartMember lets an endpoint start anew, and tells all instances.
func (f *fleet) restartMember(m *member) {
	m.startAt = f.now
	m.work = nil
	for i := range f.routers {
		f.step(i, EndpointList{Entries: []EndpointEntry{
			{Endpoint: m.id, Zone: "a", State: EndpointReady, Primary: m.leads, StartedAt: f.now},
		}})
		f.step(i, HealthCheckResult{
			Endpoint: m.id, Status: StatusDone, Role: m.role(), Position: m.position(f.now),
		})
	}
}
