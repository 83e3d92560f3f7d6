package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/model"
	"limeladder/internal/sitefailover"
)

// start is where virtual time begins: times must not be 0, which means none.
const start = 1000 * time.Second

// Fleet is a world with routers, clients and an observer. It is driven by Run, once.
type Fleet struct {
	cfg       Config
	seed      uint64
	clock     *event.Clock
	world     *model.World
	directory *directory
	routers   []*instance
	machine   map[string]*model.Endpoint
	cuts      map[string]bool
	rng       *rand.Rand // of clients
	net       *rand.Rand // of ways and waits
	longest   time.Duration
	offered   float64 // requests a second in the mean
	burst     float64
	sessions  []session
	last      int
	inHand    int
	count     Count
	obs       observer
}

// Count is what was done, over all routers.
type Count struct {
	Attempts, Dials, Probes, Calls uint64
	Ends                           [balance.StatusMiss + 1]uint64
	Events                         uint64
}

type session struct {
	wrote time.Duration // the position of its newest write, 0 = none
	bank  int
	home  int // the router that it keeps to, -1 = it roams
}

// Run plays a fleet from a seed.
func Run(cfg Config, seed uint64) (*Result, error) {
	for _, x := range cfg.Faults {
		if slices.Contains(MultiprocessFaults, x.What) {
			return nil, fmt.Errorf("faults: %s needs processes: limeladder-sim rig", x.What)
		}
	}
	f, err := build(cfg, seed)
	if err != nil {
		return nil, err
	}
	f.await(cfg.Faults)
	for _, s := range cfg.Shape {
		f.clock.At(start+s.At, func() {
			f.obs.marks = append(f.obs.marks, Mark{At: s.At, Text: fmt.Sprintf("load %g times the usual", s.Part)})
		})
	}
	f.arrive()
	f.clock.Run(start + cfg.Length)
	f.obs.closed = true
	f.clock.Run(start + cfg.Length + 2*f.longest) // what is owed is answered
	f.count.Calls, f.count.Events = f.directory.calls, f.clock.Executed()
	return f.result(), nil
}

// Foresee plays a fleet that loses a site at a moment and does not get it back, and returns what its routers planned for that just before,
// each for its own part of the work, beside what came.
func Foresee(cfg Config, seed uint64, site string, at time.Duration) (told []sitefailover.SiteLossPlan, got *Result, err error) {
	cfg.Sites = SitesWatch
	cfg.Faults = append(slices.Clone(cfg.Faults), Fault{At: at, What: "kill", Who: []string{"zone:" + site}, Part: 1})
	f, err := build(cfg, seed)
	if err != nil {
		return nil, nil, err
	}
	f.clock.At(start+at-time.Millisecond, func() {
		for _, r := range f.routers {
			for _, l := range r.core.SiteLossPlans() {
				if l.Site == site {
					told = append(told, l)
				}
			}
		}
	})
	f.await(cfg.Faults)
	f.arrive()
	f.clock.Run(start + cfg.Length)
	f.obs.closed = true
	f.clock.Run(start + cfg.Length + 2*f.longest)
	return told, f.result(), nil
}

// build starts a fleet that nobody asks for anything yet.
func build(cfg Config, seed uint64) (*Fleet, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg: cfg, seed: seed, clock: event.New(start), machine: map[string]*model.Endpoint{}, cuts: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, 2)), net: rand.New(rand.NewPCG(seed, 3)), burst: 1,
	}
	f.world = model.New(f.clock, seed)
	for b := range cfg.Banks {
		bank := f.world.AddReplicaGroup(int64(b+1), cfg.Follow)
		for i := range cfg.Members + cfg.Spares {
			m := f.world.AddEndpoint(fmt.Sprintf("db%d%c", b+1, 'a'+i), cfg.Zones[(b+i)%len(cfg.Zones)], cfg.Kind, bank)
			f.machine[m.ID] = m
			if i >= cfg.Members {
				m.Reserve()
			}
		}
	}
	for _, k := range cfg.Classes {
		f.longest = max(f.longest, k.ClientTimeout)
	}
	f.offered = cfg.Rate()
	f.sessions = make([]session, max(1, cfg.Sessions))
	for i := range f.sessions {
		f.sessions[i].bank, f.sessions[i].home = f.rng.IntN(cfg.Banks), -1
		if cfg.Roam < 1 && f.rng.Float64() >= cfg.Roam {
			f.sessions[i].home = f.rng.IntN(cfg.Routers)
		}
	}
	f.directory = newDirectory(f)
	f.observe()
	for i := range cfg.Routers {
		r := f.instance(i)
		f.routers = append(f.routers, r)
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) span(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(f.net.Float64()*float64(r[1]-r[0]))
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.cfg.Jitter*f.net.ExpFloat64()))
}

// cut says whether messages between a router and a machine get lost.
func (f *Fleet) cut(r *instance, m *model.Endpoint) bool {
	return len(f.cuts) > 0 && (f.cuts[r.zone+">"+m.Zone] || f.cuts[r.zone+">"+m.ID])
}

// Part is the load at a moment from the start, as a part of the usual.
func Part(shape []Step, now time.Duration) float64 {
	part := 1.0
	for _, s := range shape {
		if now < s.At {
			break
		}
		if s.Ramp > 0 && now < s.At+s.Ramp {
			part += (s.Part - part) * float64(now-s.At) / float64(s.Ramp)
		} else {
			part = s.Part
		}
	}
	return part
}

// arrive lets the next request come.
func (f *Fleet) arrive() {
	rate := f.offered * Part(f.cfg.Shape, f.clock.Now()-start) * f.burst
	if rate <= 0 {
		f.clock.After(50*time.Millisecond, f.arrive)
		return
	}
	// The rate may change: no draw reaches further than this, and where it does it is made anew.
	const most = 100 * time.Millisecond
	wait := time.Duration(f.rng.ExpFloat64() / rate * 1e9)
	come := wait < most
	f.clock.After(min(wait, most), func() {
		if f.clock.Now() >= start+f.cfg.Length {
			return
		}
		if come {
			f.request()
		}
		f.arrive()
	})
}

// bursts draws how the rate goes on.
func (f *Fleet) bursts() {
	if s := f.cfg.Bursts; s > 0 {
		v := math.Log(1 + s*s)
		f.burst = math.Exp(math.Sqrt(v)*f.rng.NormFloat64() - v/2)
	}
}

// await sees to it that faults come when they are due.
func (f *Fleet) await(faults []Fault) {
	var on []Fault
	for _, x := range faults {
		if x.On == "" {
			f.clock.At(start+x.At, func() { f.befall(x) })
		} else {
			on = append(on, x)
		}
	}
	if len(on) == 0 {
		return
	}
	fired := make([]bool, len(on))
	f.world.Watch(func(m *model.Endpoint) {
		for i, x := range on {
			if fired[i] {
				continue
			}
			bank, is := fmt.Sprint(m.Group.ID), false
			switch kind, of, _ := strings.Cut(x.On, ":"); kind {
			case "lost":
				is = of == bank && !m.Group.AcceptsWrites()
			case "led":
				is = of == bank && m.Group.AcceptsWrites() && m.Group.PrimaryChanges() > 0
			case "down":
				is = of == m.ID && m.State() != model.Up
			case "up":
				is = of == m.ID && m.State() == model.Up && m.StartedAt() > 0
			}
			if is {
				fired[i] = true
				f.clock.After(x.At, func() { f.befall(x) })
			}
		}
	})
}

// befall carries out a fault.
func (f *Fleet) befall(x Fault) {
	f.obs.marks = append(f.obs.marks, Mark{At: f.clock.Now() - start, Text: strings.TrimSpace(x.What + " " + strings.Join(x.Who, " ")), For: x.For})
	switch x.What {
	case "discovery":
		f.directory.down = f.clock.Now() + x.For
		return
	case "routers":
		n := int(math.Ceil(x.Part * float64(len(f.routers))))
		for _, r := range f.routers[:min(n, len(f.routers))] {
			if !r.alive {
				continue
			}
			r.stop()
			f.orphans(r)
			f.clock.After(x.For, func() { f.restart(r) })
		}
		return
	case "cut":
		for _, link := range x.Who {
			f.cuts[link] = true
			f.clock.After(x.For, func() { delete(f.cuts, link) })
		}
		return
	}
	if x.What == "suspend" {
		for _, m := range named(f.world, x.Who) {
			for _, r := range f.routers {
				if r.alive {
					r.core.Suspend(m.ID, true)
					r.turn()
					r.later(x.For, func() { r.core.Suspend(m.ID, false) })
				}
			}
		}
		return
	}
	Befall(f.world, x, f.cfg.Kind.ErrorShare)
}

// Befall does to machines what a fault says; errors is the share of them that they have otherwise.
func Befall(w *model.World, x Fault, errors float64) {
	for _, m := range named(w, x.Who) {
		switch x.What {
		case "kill":
			m.Kill("killed", x.For)
		case "hang":
			m.Hang(x.For)
		case "drain":
			m.Drain()
			if x.For > 0 {
				w.Clock.After(x.For, func() { m.Kill("restarted", time.Second) })
			}
		case "remove":
			m.Remove()
		case "add":
			m.Join()
		case "slow":
			m.SetSpeedFactor(x.Part)
			if x.For > 0 {
				w.Clock.After(x.For, func() { m.SetSpeedFactor(1) })
			}
		case "sick":
			m.SetErrorShare(x.Part)
			if x.For > 0 {
				w.Clock.After(x.For, func() { m.SetErrorShare(errors) })
			}
		}
	}
}

func (f *Fleet) restart(r *instance) {
	if err := r.start(); err != nil {
		panic(err) // it has started with the same configuration before
	}
}

// named are machines by name, by bank ("bank:2", "primary:2", "replicas:2") or by zone ("zone:a").
func named(w *model.World, names []string) (out []*model.Endpoint) {
	for _, name := range names {
		kind, of, ok := strings.Cut(name, ":")
		for _, m := range w.Endpoints {
			bank := fmt.Sprint(m.Group.ID)
			if !ok && m.ID == name || ok && (kind == "zone" && m.Zone == of || kind == "bank" && bank == of ||
				kind == "primary" && bank == of && m.IsPrimary() || kind == "replicas" && bank == of && !m.IsPrimary()) {
				if !slices.Contains(out, m) {
					out = append(out, m)
				}
			}
		}
	}
	return out
}
