package fleet

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/router"
	"limeladder/internal/simulation/model"
)

func shortConfig(faults ...Fault) Config {
	c := Default()
	c.Length, c.Faults = 20*time.Second, faults
	return c
}

var faultCases = map[string]Config{
	"a primary dies": shortConfig(
		Fault{At: 8 * time.Second, What: "kill", Who: []string{"primary:1"}, For: 4 * time.Second}),
	"a primary hangs": shortConfig(
		Fault{At: 8 * time.Second, What: "hang", Who: []string{"primary:2"}, For: 5 * time.Second}),
	"a zone is lost": shortConfig(
		Fault{At: 6 * time.Second, What: "kill", Who: []string{"zone:a"}, For: 5 * time.Second}),
	"endpoints drain": shortConfig(
		Fault{At: 5 * time.Second, What: "drain", Who: []string{"primary:1", "db2b"}, For: 6 * time.Second}),
	"links are cut": shortConfig(
		Fault{At: 5 * time.Second, What: "cut", Who: []string{"a>db1a", "a>b"}, For: 4 * time.Second}),
	"discovery is down": shortConfig(
		Fault{At: 4 * time.Second, What: "discovery", For: 9 * time.Second},
		Fault{At: 5 * time.Second, What: "remove", Who: []string{"db3c"}}),
	"routers restart": shortConfig(
		Fault{At: 6 * time.Second, What: "routers", Part: 0.6, For: 2 * time.Second}),
	"slow and failing endpoints": shortConfig(
		Fault{At: 5 * time.Second, What: "slow", Who: []string{"db1b"}, Part: 0.3, For: 8 * time.Second},
		Fault{At: 5 * time.Second, What: "sick", Who: []string{"db2c"}, Part: 0.5, For: 8 * time.Second}),
	"endpoints are suspended": shortConfig(
		Fault{At: 5 * time.Second, What: "suspend", Who: []string{"db1b", "primary:3"}, For: 6 * time.Second}),
	"requests queued during failover": func() Config {
		c := shortConfig(Fault{At: 8 * time.Second, What: "kill", Who: []string{"primary:1"}, For: 4 * time.Second})
		c.Hold = []string{"submit-job", "key-check"}
		return c
	}(),
}

// TestRulesHoldUnderFaults checks that routers violate no rule under faults, and earn at least 80 % of the priority
// weight.
func TestRulesHoldUnderFaults(t *testing.T) {
	for name, cfg := range faultCases {
		for seed := range uint64(3) {
			r, err := Run(cfg, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Rules) > 0 {
				t.Errorf("%s, seed %d: %v\n%s", name, seed+1, r.Rules, strings.Join(r.Words, "\n"))
			}
			if r.Whole < 0.8 {
				t.Errorf("%s, seed %d: got %.3f of the priority weight, want at least 0.8", name, seed+1, r.Whole)
			}
			came, ended := 0, 0
			for _, x := range r.Tally {
				came += x.Came
				for _, n := range x.Ends {
					ended += n
				}
			}
			if came < 1000 || ended != came {
				t.Errorf("%s: got %d requests and %d endings, want at least 1000 requests and as many endings",
					name, came, ended)
			}
		}
	}
}

// TestSameSeedSameBytes checks that a seed gives the same result, byte for byte, on any number of processors and while
// several runs go on at once.
func TestSameSeedSameBytes(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for name, cfg := range faultCases {
		var want string
		for _, procs := range []int{1, 4, 8} {
			runtime.GOMAXPROCS(procs)
			got := make([]string, procs)
			var wg sync.WaitGroup
			for i := range got {
				wg.Go(func() {
					r, err := Run(cfg, 7)
					if err != nil {
						t.Error(err)
					}
					p, _ := json.Marshal(r)
					got[i] = string(p)
				})
			}
			wg.Wait()
			for _, g := range got {
				if want == "" {
					want = g
				}
				if g != want {
					t.Fatalf("%s: got a different result with %d processors, want the same bytes", name, procs)
				}
			}
		}
		if other, _ := Run(cfg, 8); other != nil {
			if p, _ := json.Marshal(other); string(p) == want {
				t.Fatalf("%s: got the same result with another seed, want a different one", name)
			}
		}
	}
}

// TestObserverReportsViolations checks that the observer reports a violation of each rule.
func TestObserverReportsViolations(t *testing.T) {
	cfg := shortConfig()
	cfg.Length = 2 * time.Second
	r, err := Run(cfg, 1)
	if err != nil || len(r.Rules) != 0 {
		t.Fatal(err, r)
	}
	// Each rule is violated by calls on an idle fleet.
	f := idleFleet(t)
	m, rt := f.world.Endpoints[1], f.routers[0]
	write := &request{
		fleet: f, id: 1, class: &f.cfg.Classes[4], session: &f.sessions[0],
		copiesInFlight: 1, executions: 1,
	}
	read := &request{
		fleet: f, id: 2, class: &f.cfg.Classes[1], session: &f.sessions[0], minPosition: f.clock.Now(),
		arrivedAt: startTime, router: rt, incarnation: rt.incarnation,
	}
	p := rt.backend(m.ID)
	f.checkSend(rt, write, p)
	twice := &request{fleet: f, id: 4, class: &f.cfg.Classes[0], session: &f.sessions[0]}
	for range 2 {
		rt.Start(router.Attempt{Endpoint: m.ID, Job: twice}, func(router.Result) {})
	}
	f.recordExecution(write, m, f.clock.Now(), 0)
	f.recordExecution(read, m, f.clock.Now()-1, read.minPosition)
	p.leaving, p.leavingSince = true, f.clock.Now()-f.cfg.Grace-1
	f.checkSend(rt, read, p)
	read.recordResponse()
	read.recordResponse()
	read.responses = 0
	read.timeOut()
	f.observer.requestEnded(&request{fleet: f, id: 3, class: &f.cfg.Classes[4], arrivedAt: startTime}, served)
	for _, rule := range []string{"attempts", "copies", "twice", "stale", "drain", "answered", "late", "lost"} {
		if f.observer.violations[rule] != 1 {
			t.Errorf("%s: got %d violations, want 1: %v", rule, f.observer.violations[rule], f.observer.violationTexts)
		}
	}
	m.Kill("test", time.Second)
	f.clock.Run(f.clock.Now() + 1500*time.Millisecond)
	for m.State() == model.Up && f.clock.Now() < startTime+30*time.Second {
		for range 40 {
			m.Submit(&model.Statement{Work: 50 * time.Millisecond, Done: func(model.Outcome, time.Duration, bool) {}})
		}
		f.clock.Run(f.clock.Now() + 50*time.Millisecond)
	}
	if f.observer.violations["cold"] != 1 {
		t.Errorf("cold: got violations %v, want one of an endpoint overloaded while warming up",
			f.observer.violationTexts)
	}
}

func idleFleet(t *testing.T) *Fleet {
	t.Helper()
	cfg := shortConfig()
	f, err := build(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.clock.Run(startTime + time.Second)
	return f
}

// TestLargeFleet checks that 80 routers with 60 endpoints violate no rule in 20 s of virtual time, and earn at least
// 90 % of the priority weight.
func TestLargeFleet(t *testing.T) {
	cfg := largeConfig()
	cfg.Length = 20 * time.Second // the benchmark runs five minutes
	begin := time.Now()
	r, err := Run(cfg, 1)
	if err != nil || len(r.Rules) > 0 || r.Whole < 0.9 {
		t.Fatal(err, r.Rules, r.Words, r.Whole)
	}
	t.Logf("%d events in %v", r.Count.Events, time.Since(begin))
}

// TestSendsEndAfterLostDrainNotification guards against sends to a draining endpoint after the grace time, when the
// notification was lost. Three times, a cut link loses the lists of draining endpoints for the routers of one zone. The
// routers count as notified when their watch ends, and must not send to the endpoints once the grace time after that is
// over.
func TestSendsEndAfterLostDrainNotification(t *testing.T) {
	for seed := range uint64(3) {
		cfg := Default()
		cfg.Routers, cfg.Banks, cfg.Members, cfg.Length = 300, 10, 5, 30*time.Second
		cfg.Notice = [2]time.Duration{500 * time.Millisecond, time.Second}
		for i := range 3 {
			at := time.Duration(3+9*i) * time.Second
			var who []string
			for b := range cfg.Banks {
				who = append(who, fmt.Sprintf("db%d%c", b+1, 'c'+i))
			}
			cfg.Faults = append(cfg.Faults, Fault{At: at, What: "drain", Who: who},
				Fault{At: at + 400*time.Millisecond, What: "cut", Who: []string{cfg.Zones[0] + ">discovery"}, For: 2500 * time.Millisecond})
		}
		r, err := Run(cfg, seed+1)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %.3f of the priority weight, %d calls of discovery", seed+1, r.Whole, r.Count.Calls)
		if n := r.Rules["drain"]; n > 0 {
			t.Errorf("seed %d: got %d sends to draining endpoints after the grace time, want none: %s",
				seed+1, n, r.Words[0])
		}
	}
}

func largeConfig() Config {
	cfg := Default()
	cfg.Routers, cfg.Banks, cfg.Members, cfg.Length = 80, 10, 6, 300*time.Second
	return cfg
}

func BenchmarkLargeFleet(b *testing.B) {
	events, begin := uint64(0), time.Now()
	for b.Loop() {
		r, err := Run(largeConfig(), 1)
		if err != nil {
			b.Fatal(err)
		}
		events += r.Count.Events
	}
	b.ReportMetric(float64(events)/time.Since(begin).Seconds(), "events/s")
}

// TestInvalidConfigNamesField checks that the error of an invalid configuration starts with the field's name.
func TestInvalidConfigNamesField(t *testing.T) {
	for want, f := range map[string]func(*Config){
		"routers:": func(c *Config) { c.Routers = 0 }, "zones:": func(c *Config) { c.Zones = nil }, "banks:": func(c *Config) { c.Banks = 1 << 20 },
		"length:": func(c *Config) { c.Length = 0 }, "use:": func(c *Config) { c.Use = 0 }, "classes:": func(c *Config) { c.Classes = nil },
		"machine:": func(c *Config) { c.Kind.Cores = 0 }, "faults:": func(c *Config) { c.Faults = []Fault{{What: "flood"}} },
	} {
		c := Default()
		f(&c)
		if _, err := Run(c, 1); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %[2]v, want an error that starts with %[1]q", want, err)
		}
	}
	c := Default()
	c.Classes[0].Consistency = balance.ConsistencyBounded
	if err := c.Check(); err != nil {
		t.Error(fmt.Sprint(err))
	}
}

// TestCutInFlight checks that a cut link loses messages that are in transit, in either direction, and messages that are
// sent during the cut: the router gets no answer, and only its own timeout can end the attempt.
func TestCutInFlight(t *testing.T) {
	// The link is cut before the statement is sent, while it is in transit, and while it is executed.
	for _, when := range []time.Duration{0, 100 * time.Microsecond, 30 * time.Millisecond} {
		f := idleFleet(t)
		f.cfg.Jitter, f.cfg.Client = 0, 0
		r, m := f.routers[0], f.endpoints["db1a"] // of the same zone, 200 µs away
		p := r.backend(m.ID)
		p.idle = nil
		m.Connect(func(_, _ bool, epoch int) { p.idle = append(p.idle, conn{epoch, f.clock.Now()}) })
		f.clock.Run(f.clock.Now() + 50*time.Millisecond)
		before := m.Served()
		q := &request{
			fleet: f, id: 1 << 20, class: &f.cfg.Classes[0], group: 1, session: &f.sessions[0],
			work: 50 * time.Millisecond, arrivedAt: f.clock.Now(), deadline: f.clock.Now() + time.Second,
		}
		f.observer.requestArrived(q)
		ended := 0
		f.clock.After(when, func() { f.cutLinks["a>db1a"] = true })
		f.clock.After(time.Nanosecond, func() {
			r.Start(router.Attempt{Endpoint: m.ID, Job: q}, func(router.Result) { ended++ })
		})
		f.clock.Run(f.clock.Now() + 500*time.Millisecond)
		ran := m.Served() - before
		if ended != 0 || (ran == 1) != (when == 30*time.Millisecond) {
			t.Errorf("cut after %v: got %d ends and %d executions; want no end, and 1 execution only after 30 ms",
				when, ended, ran)
		}
	}
}

// pushedConfig returns the configuration of a fleet with pushed lists, a short grace time after a drain, late
// notification of roles, and sessions of which half use one router.
func pushedConfig(faults ...Fault) Config {
	c := shortConfig(faults...)
	c.Pushed, c.Grace, c.Roam, c.Zones = true, 500*time.Millisecond, 0.5, []string{"n", "s"}
	c.RoleLag, c.Notice = [2]time.Duration{1200 * time.Millisecond, 4100 * time.Millisecond}, [2]time.Duration{time.Second, 2 * time.Second}
	return c
}

// TestPushedLists checks that routers with pushed lists learn of a drain and violate no rule: also if discovery fails,
// if it can't reach an agent for a while, or if a router restarts meanwhile. A last case loses a zone and half of the
// routers, without a drain.
func TestPushedLists(t *testing.T) {
	drain := Fault{At: 4 * time.Second, What: "drain", Who: []string{"db1b", "db2c"}, For: 12 * time.Second}
	for name, cfg := range map[string]Config{
		"notified": pushedConfig(drain),
		"discovery is down for a while": pushedConfig(drain,
			Fault{At: 3 * time.Second, What: "discovery", For: 6 * time.Second}),
		"agents are unreachable": pushedConfig(drain,
			Fault{At: 3 * time.Second, What: "cut", Who: []string{"n>discovery"}, For: 5 * time.Second}),
		"routers restart meanwhile": pushedConfig(drain,
			Fault{At: 3 * time.Second, What: "discovery", For: 6 * time.Second},
			Fault{At: 5 * time.Second, What: "routers", Part: 0.5, For: time.Second}),
		"a zone is lost with its routers": pushedConfig(
			Fault{At: 4 * time.Second, What: "kill", Who: []string{"zone:n"}, For: 6 * time.Second},
			Fault{At: 4 * time.Second, What: "routers", Part: 0.5, For: 6 * time.Second}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f, err := build(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				f.scheduleFaults(cfg.Faults)
				f.scheduleArrival()
				informed := 0
				f.clock.Run(startTime + 12*time.Second)
				for _, r := range f.routers {
					if p := r.backends["db1b"]; p != nil && p.leaving {
						informed++
					}
				}
				f.clock.Run(startTime + cfg.Length)
				f.observer.closed = true
				f.clock.Run(startTime + cfg.Length + 2*f.longestTimeout)
				if res := f.result(); len(res.Rules) > 0 || res.Whole < 0.5 {
					t.Errorf("seed %d: got %.2f of the priority weight, want at least 0.5; violations %v",
						seed, res.Whole, res.Words)
				}
				if name != "a zone is lost with its routers" && informed != len(f.routers) {
					t.Errorf("seed %d: got %d of %d routers that know of the drain, want all",
						seed, informed, len(f.routers))
				}
			}
		})
	}
}

// TestSessionsStayWithHomeRouter checks that a session with a home router uses it while it runs.
func TestSessionsStayWithHomeRouter(t *testing.T) {
	cfg := pushedConfig()
	cfg.Roam = 0
	f, err := build(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range f.sessions {
		if h := f.sessions[i].homeRouter; h < 0 || h >= cfg.Routers {
			t.Fatalf("session %d: got home router %d, want a valid index", i, h)
		}
	}
	f.scheduleArrival()
	for range 50 {
		f.clock.Run(f.clock.Now() + 100*time.Millisecond)
		for _, q := range f.observer.openRequests {
			if q.router != nil && q.router.number != q.session.homeRouter {
				t.Fatalf("request %d of a session with home router %d: got router %d, want the home router",
					q.id, q.session.homeRouter, q.router.number)
			}
		}
	}
}

// TestUpperBound checks the upper bound: about 1 without faults, less after the loss of a primary, and never below what
// routers earn.
func TestUpperBound(t *testing.T) {
	for name, x := range map[string]struct {
		faults      []Fault
		least, most float64
	}{
		"no fault": {nil, 0.99, 1},
		"a primary is lost": {[]Fault{{
			At: 5 * time.Second, What: "kill",
			Who: []string{"primary:1"},
		}}, 0.85, 0.99},
		"a replica group is lost": {[]Fault{{At: 5 * time.Second, What: "kill", Who: []string{"bank:1"}}}, 0.4, 0.85},
		"all endpoints are slow": {[]Fault{{
			At: 5 * time.Second, What: "slow",
			Who: []string{"bank:1", "bank:2", "bank:3", "bank:4"}, Part: 0.2,
		}}, 0.3, 0.8},
		"a replica is lost": {[]Fault{{At: 5 * time.Second, What: "kill", Who: []string{"db1b"}}}, 0.99, 1},
	} {
		c := Default()
		c.Length, c.Faults = 20*time.Second, x.faults
		r, err := Run(c, 3)
		if err != nil {
			t.Fatal(err)
		}
		if t.Logf("%s: %.3f of %.3f", name, r.Worth, r.Top); r.Top < x.least || r.Top > x.most || r.Worth > r.Top+0.005 {
			t.Errorf("%s: got worth %.3f and upper bound %.3f, want a bound from %.2f to %.2f and worth <= bound+0.005",
				name, r.Worth, r.Top, x.least, x.most)
		}
	}
}
