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

func shortly(faults ...Fault) Config {
	c := Default()
	c.Length, c.Faults = 20*time.Second, faults
	return c
}

var troubles = map[string]Config{
	"a primary dies":  shortly(Fault{At: 8 * time.Second, What: "kill", Who: []string{"primary:1"}, For: 4 * time.Second}),
	"a primary hangs": shortly(Fault{At: 8 * time.Second, What: "hang", Who: []string{"primary:2"}, For: 5 * time.Second}),
	"a zone goes":     shortly(Fault{At: 6 * time.Second, What: "kill", Who: []string{"zone:a"}, For: 5 * time.Second}),
	"drains":          shortly(Fault{At: 5 * time.Second, What: "drain", Who: []string{"primary:1", "db2b"}, For: 6 * time.Second}),
	"a cut":           shortly(Fault{At: 5 * time.Second, What: "cut", Who: []string{"a>db1a", "a>b"}, For: 4 * time.Second}),
	"no discovery":    shortly(Fault{At: 4 * time.Second, What: "discovery", For: 9 * time.Second}, Fault{At: 5 * time.Second, What: "remove", Who: []string{"db3c"}}),
	"routers restart": shortly(Fault{At: 6 * time.Second, What: "routers", Part: 0.6, For: 2 * time.Second}),
	"slow and sick":   shortly(Fault{At: 5 * time.Second, What: "slow", Who: []string{"db1b"}, Part: 0.3, For: 8 * time.Second}, Fault{At: 5 * time.Second, What: "sick", Who: []string{"db2c"}, Part: 0.5, For: 8 * time.Second}),
	"suspended":       shortly(Fault{At: 5 * time.Second, What: "suspend", Who: []string{"db1b", "primary:3"}, For: 6 * time.Second}),
	"held": func() Config {
		c := shortly(Fault{At: 8 * time.Second, What: "kill", Who: []string{"primary:1"}, For: 4 * time.Second})
		c.Hold = []string{"submit-job", "key-check"}
		return c
	}(),
}

// Whatever befalls them, the routers break no rule, and nearly all is served.
func TestRules(t *testing.T) {
	for name, cfg := range troubles {
		for seed := range uint64(3) {
			r, err := Run(cfg, seed+1)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Rules) > 0 {
				t.Errorf("%s, seed %d: %v\n%s", name, seed+1, r.Rules, strings.Join(r.Words, "\n"))
			}
			if r.Whole < 0.8 {
				t.Errorf("%s, seed %d: worth %.3f of the whole", name, seed+1, r.Whole)
			}
			came, ended := 0, 0
			for _, x := range r.Tally {
				came += x.Came
				for _, n := range x.Ends {
					ended += n
				}
			}
			if came < 1000 || ended != came {
				t.Errorf("%s: %d came, %d ended", name, came, ended)
			}
		}
	}
}

// The same seed gives the same result, byte for byte, on any number of processors and among any number of goroutines.
func TestSameSeedSameBytes(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for name, cfg := range troubles {
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
					t.Fatalf("%s: another result with %d processors", name, procs)
				}
			}
		}
		if other, _ := Run(cfg, 8); other != nil {
			if p, _ := json.Marshal(other); string(p) == want {
				t.Fatalf("%s: another seed gives the same", name)
			}
		}
	}
}

// The observer sees what breaks a rule.
func TestObserver(t *testing.T) {
	cfg := shortly()
	cfg.Length = 2 * time.Second
	r, err := Run(cfg, 1)
	if err != nil || len(r.Rules) != 0 {
		t.Fatal(err, r)
	}
	// By hand, on a fleet that has come to rest.
	f := resting(t)
	m, rt := f.world.Endpoints[1], f.routers[0]
	write := &request{f: f, id: 1, class: &f.cfg.Classes[4], session: &f.sessions[0], out: 1, runs: 1}
	read := &request{f: f, id: 2, class: &f.cfg.Classes[1], session: &f.sessions[0], see: f.clock.Now(), born: start, at: rt, life: rt.life}
	p := rt.peer(m.ID)
	f.seen(rt, write, p)
	twice := &request{f: f, id: 4, class: &f.cfg.Classes[0], session: &f.sessions[0]}
	for range 2 {
		rt.Start(router.Attempt{Endpoint: m.ID, Job: twice}, func(router.Result) {})
	}
	f.ran(write, m, f.clock.Now(), 0)
	f.ran(read, m, f.clock.Now()-1, read.see)
	p.out, p.outAt = true, f.clock.Now()-f.cfg.Grace-1
	f.seen(rt, read, p)
	read.answered()
	read.answered()
	read.answers = 0
	read.giveUp()
	f.obs.ended(&request{f: f, id: 3, class: &f.cfg.Classes[4], born: start}, served)
	for _, rule := range []string{"attempts", "copies", "twice", "stale", "drain", "answered", "late", "lost"} {
		if f.obs.faults[rule] != 1 {
			t.Errorf("%s: seen %d times: %v", rule, f.obs.faults[rule], f.obs.samples)
		}
	}
	m.Kill("test", time.Second)
	f.clock.Run(f.clock.Now() + 1500*time.Millisecond)
	for m.State() == model.Up && f.clock.Now() < start+30*time.Second {
		for range 40 {
			m.Submit(&model.Statement{Work: 50 * time.Millisecond, Done: func(model.Outcome, time.Duration, bool) {}})
		}
		f.clock.Run(f.clock.Now() + 50*time.Millisecond)
	}
	if f.obs.faults["cold"] != 1 {
		t.Errorf("a cold one is pushed over: %v", f.obs.samples)
	}
}

func resting(t *testing.T) *Fleet {
	t.Helper()
	cfg := shortly()
	f, err := build(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	f.clock.Run(start + time.Second)
	return f
}

// Eighty routers before sixty machines for five minutes of model time.
func TestLargeFleet(t *testing.T) {
	cfg := large()
	cfg.Length = 20 * time.Second // of the benchmark's five minutes
	begin := time.Now()
	r, err := Run(cfg, 1)
	if err != nil || len(r.Rules) > 0 || r.Whole < 0.9 {
		t.Fatal(err, r.Rules, r.Words, r.Whole)
	}
	t.Logf("%d events in %v", r.Count.Events, time.Since(begin))
}

// The lists that tell three hundred routers of draining machines are lost on cut links: a zone's routers hear nothing of them,
// three times. What their watches had to tell counts as notified, and nothing is written to a machine that leaves once the grace
// behind that is over.
func TestADrainThatIsNotHeardOfEndsSendsInTime(t *testing.T) {
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
		t.Logf("seed %d: %.3f of the worth, %d calls for the list", seed+1, r.Whole, r.Count.Calls)
		if n := r.Rules["drain"]; n > 0 {
			t.Errorf("seed %d: %d sends to machines that leave: %s", seed+1, n, r.Words[0])
		}
	}
}

func large() Config {
	cfg := Default()
	cfg.Routers, cfg.Banks, cfg.Members, cfg.Length = 80, 10, 6, 300*time.Second
	return cfg
}

func BenchmarkLargeFleet(b *testing.B) {
	events, begin := uint64(0), time.Now()
	for b.Loop() {
		r, err := Run(large(), 1)
		if err != nil {
			b.Fatal(err)
		}
		events += r.Count.Events
	}
	b.ReportMetric(float64(events)/time.Since(begin).Seconds(), "events/s")
}

// What can't be played is named.
func TestCheck(t *testing.T) {
	for want, f := range map[string]func(*Config){
		"routers:": func(c *Config) { c.Routers = 0 }, "zones:": func(c *Config) { c.Zones = nil }, "banks:": func(c *Config) { c.Banks = 1 << 20 },
		"length:": func(c *Config) { c.Length = 0 }, "use:": func(c *Config) { c.Use = 0 }, "classes:": func(c *Config) { c.Classes = nil },
		"machine:": func(c *Config) { c.Kind.Cores = 0 }, "faults:": func(c *Config) { c.Faults = []Fault{{What: "flood"}} },
	} {
		c := Default()
		f(&c)
		if _, err := Run(c, 1); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s %v", want, err)
		}
	}
	c := Default()
	c.Classes[0].Consistency = balance.ConsistencyBounded
	if err := c.Check(); err != nil {
		t.Error(fmt.Sprint(err))
	}
}

// What is on a link when it is cut does not arrive, in either direction, and what is sent into a cut is lost: the router hears
// nothing, and its own time ends the attempt.
func TestCutInFlight(t *testing.T) {
	for _, when := range []time.Duration{0, 100 * time.Microsecond, 30 * time.Millisecond} { // before it is sent, on its way, while it runs
		f := resting(t)
		f.cfg.Jitter, f.cfg.Client = 0, 0
		r, m := f.routers[0], f.machine["db1a"] // of the same zone, 200 µs away
		p := r.peer(m.ID)
		p.idle = nil
		m.Connect(func(_, _ bool, epoch int) { p.idle = append(p.idle, conn{epoch, f.clock.Now()}) })
		f.clock.Run(f.clock.Now() + 50*time.Millisecond)
		before := m.Served()
		q := &request{f: f, id: 1 << 20, class: &f.cfg.Classes[0], bank: 1, session: &f.sessions[0], need: 50 * time.Millisecond, born: f.clock.Now(), until: f.clock.Now() + time.Second}
		f.obs.came(q)
		ended := 0
		f.clock.After(when, func() { f.cuts["a>db1a"] = true })
		f.clock.After(time.Nanosecond, func() { r.Start(router.Attempt{Endpoint: m.ID, Job: q}, func(router.Result) { ended++ }) })
		f.clock.Run(f.clock.Now() + 500*time.Millisecond)
		ran := m.Served() - before
		if ended != 0 || (ran == 1) != (when == 30*time.Millisecond) {
			t.Errorf("cut after %v: %d ends, %d ran", when, ended, ran)
		}
	}
}

// second is a fleet of the other kind: lists are pushed, drains bind soon, roles come late, some sessions keep to a router.
func second(faults ...Fault) Config {
	c := shortly(faults...)
	c.Pushed, c.Grace, c.Roam, c.Zones = true, 500*time.Millisecond, 0.5, []string{"n", "s"}
	c.RoleLag, c.Notice = [2]time.Duration{1200 * time.Millisecond, 4100 * time.Millisecond}, [2]time.Duration{time.Second, 2 * time.Second}
	return c
}

// Where lists are pushed drains are told and kept, whether an agent can be reached or says nothing for a while, and in a router
// that starts meanwhile.
func TestPushedLists(t *testing.T) {
	drain := Fault{At: 4 * time.Second, What: "drain", Who: []string{"db1b", "db2c"}, For: 12 * time.Second}
	for name, cfg := range map[string]Config{
		"told":    second(drain),
		"silent":  second(drain, Fault{At: 3 * time.Second, What: "discovery", For: 6 * time.Second}),
		"cut":     second(drain, Fault{At: 3 * time.Second, What: "cut", Who: []string{"n>discovery"}, For: 5 * time.Second}),
		"restart": second(drain, Fault{At: 3 * time.Second, What: "discovery", For: 6 * time.Second}, Fault{At: 5 * time.Second, What: "routers", Part: 0.5, For: time.Second}),
		"centre":  second(Fault{At: 4 * time.Second, What: "kill", Who: []string{"zone:n"}, For: 6 * time.Second}, Fault{At: 4 * time.Second, What: "routers", Part: 0.5, For: 6 * time.Second}),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f, err := build(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				f.await(cfg.Faults)
				f.arrive()
				knew := 0
				f.clock.Run(start + 12*time.Second)
				for _, r := range f.routers {
					if p := r.peers["db1b"]; p != nil && p.out {
						knew++
					}
				}
				f.clock.Run(start + cfg.Length)
				f.obs.closed = true
				f.clock.Run(start + cfg.Length + 2*f.longest)
				if res := f.result(); len(res.Rules) > 0 || res.Whole < 0.5 {
					t.Errorf("seed %d: whole %.2f %v", seed, res.Whole, res.Words)
				}
				if name != "centre" && knew != len(f.routers) {
					t.Errorf("seed %d: %d of %d routers know of the drain", seed, knew, len(f.routers))
				}
			}
		})
	}
}

// Sessions that do not roam keep to their router while it lives.
func TestSessionsKeepToARouter(t *testing.T) {
	cfg := second()
	cfg.Roam = 0
	f, err := build(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range f.sessions {
		if h := f.sessions[i].home; h < 0 || h >= cfg.Routers {
			t.Fatalf("session %d is at home at %d", i, h)
		}
	}
	f.arrive()
	for range 50 {
		f.clock.Run(f.clock.Now() + 100*time.Millisecond)
		for _, q := range f.obs.asked {
			if q.at != nil && q.at.number != q.session.home {
				t.Fatalf("request %d of a session at home at %d is at %d", q.id, q.session.home, q.at.number)
			}
		}
	}
}

// What the true state would allow is all of it where nothing befalls, less than that where a bank loses its primary, and never less than
// what routers get.
func TestTop(t *testing.T) {
	for name, x := range map[string]struct {
		faults      []Fault
		least, most float64
	}{
		"calm":               {nil, 0.99, 1},
		"a primary is lost":  {[]Fault{{At: 5 * time.Second, What: "kill", Who: []string{"primary:1"}}}, 0.85, 0.99},
		"a bank is lost":     {[]Fault{{At: 5 * time.Second, What: "kill", Who: []string{"bank:1"}}}, 0.4, 0.85},
		"all are slow":       {[]Fault{{At: 5 * time.Second, What: "slow", Who: []string{"bank:1", "bank:2", "bank:3", "bank:4"}, Part: 0.2}}, 0.3, 0.8},
		"a replica too many": {[]Fault{{At: 5 * time.Second, What: "kill", Who: []string{"db1b"}}}, 0.99, 1},
	} {
		c := Default()
		c.Length, c.Faults = 20*time.Second, x.faults
		r, err := Run(c, 3)
		if err != nil {
			t.Fatal(err)
		}
		if t.Logf("%s: %.3f of %.3f", name, r.Worth, r.Top); r.Top < x.least || r.Top > x.most || r.Worth > r.Top+0.005 {
			t.Errorf("%s: %.3f of %.3f, not within %.2f and %.2f", name, r.Worth, r.Top, x.least, x.most)
		}
	}
}
