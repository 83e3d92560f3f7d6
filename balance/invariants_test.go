package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// playEvents plays odd but legal events and checks what must hold whatever comes. It models no endpoint: outcomes are
// drawn.
func playEvents(t *testing.T, seed uint64) []Action {
	t.Helper()
	return playEventsWith(t, seed, testConfig())
}

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
			q := Request{
				ID:                fmt.Sprint("q", n),
				Class:             k,
				Group:             1,
				SessionID:         int64(rng.IntN(3)),
				TimeLeft:          time.Duration(50+rng.IntN(900)) * ms,
				SinceSessionWrite: time.Duration(rng.IntN(500)) * ms,
			}
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
			o := AttemptResult{
				ID:       a.id,
				Attempt:  a.leg,
				Endpoint: a.node,
				Status:   Status(rng.IntN(9)),
				Elapsed:  now - a.at,
				Role:     Role(rng.IntN(3)),
			}
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
			events = append(
				events,
				EndpointList{Entries: []EndpointEntry{{Endpoint: node, Zone: "a", Group: 1, State: s, StartedAt: now}}},
			)
		case 1:
			events = append(
				events,
				HealthCheckResult{
					Endpoint: []string{"a", "b", "x"}[rng.IntN(3)],
					Status:   Status(rng.IntN(9)),
					Role:     Role(rng.IntN(3)),
					Position: now - time.Duration(rng.IntN(300))*ms,
				},
			)
		case 2:
			events = append(
				events,
				AttemptResult{ID: "nobody", Attempt: 3},
				ClientDisconnected{ID: "nobody"},
				Wake{},
				FirstByte{ID: "nobody"},
				FirstByte{ID: fmt.Sprint("q", 1+rng.IntN(n+1)), Attempt: -1},
			)
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
