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

// startTime is when virtual time begins. It is not 0, because a time of 0 means none.
const startTime = 1000 * time.Second

// Fleet is a simulation of endpoints, routers, clients and an observer. It runs once.
type Fleet struct {
	cfg            Config
	seed           uint64
	clock          *event.Clock
	world          *model.World
	directory      *directory
	routers        []*instance
	endpoints      map[string]*model.Endpoint
	cutLinks       map[string]bool
	clientRNG      *rand.Rand // for clients
	networkRNG     *rand.Rand // for network delays and delays of discovery
	longestTimeout time.Duration
	meanRate       float64 // requests per second
	burstFactor    float64
	sessions       []session
	lastRequestID  int
	inFlight       int
	count          Count
	observer       observer
}

// Count holds the totals of all routers.
type Count struct {
	Attempts, Dials, Probes, Calls uint64
	Ends                           [balance.StatusMiss + 1]uint64
	Events                         uint64
}

type session struct {
	lastWritePosition time.Duration // the replication position of its newest write; 0 means none
	group             int
	homeRouter        int // the router that it uses while that runs; -1 means any
}

// Run simulates a fleet with the random numbers of a seed.
func Run(cfg Config, seed uint64) (*Result, error) {
	for _, x := range cfg.Faults {
		if slices.Contains(MultiprocessFaults, x.What) {
			return nil, fmt.Errorf("faults: %s needs processes, use limeladder-sim rig", x.What)
		}
	}
	f, err := build(cfg, seed)
	if err != nil {
		return nil, err
	}
	f.scheduleFaults(cfg.Faults)
	for _, s := range cfg.Shape {
		f.clock.At(startTime+s.At, func() {
			f.observer.marks = append(f.observer.marks, Mark{
				At:   s.At,
				Text: fmt.Sprintf("load %g times the usual", s.Part),
			})
		})
	}
	f.scheduleArrival()
	f.clock.Run(startTime + cfg.Length)
	f.observer.closed = true
	f.clock.Run(startTime + cfg.Length + 2*f.longestTimeout) // open requests end
	f.count.Calls, f.count.Events = f.directory.calls, f.clock.Executed()
	return f.result(), nil
}

// Foresee simulates a fleet that loses a site permanently at a time. It returns the plans for this loss that the
// routers had just before, each for its own share of the load, and the result of the run.
func Foresee(cfg Config, seed uint64, site string, at time.Duration) (
	plans []sitefailover.SiteLossPlan, got *Result, err error,
) {
	cfg.Sites = SitesWatch
	cfg.Faults = append(slices.Clone(cfg.Faults), Fault{At: at, What: "kill", Who: []string{"zone:" + site}, Part: 1})
	f, err := build(cfg, seed)
	if err != nil {
		return nil, nil, err
	}
	f.clock.At(startTime+at-time.Millisecond, func() {
		for _, r := range f.routers {
			for _, l := range r.core.SiteLossPlans() {
				if l.Site == site {
					plans = append(plans, l)
				}
			}
		}
	})
	f.scheduleFaults(cfg.Faults)
	f.scheduleArrival()
	f.clock.Run(startTime + cfg.Length)
	f.observer.closed = true
	f.clock.Run(startTime + cfg.Length + 2*f.longestTimeout)
	return plans, f.result(), nil
}

// build starts a fleet without requests.
func build(cfg Config, seed uint64) (*Fleet, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg: cfg, seed: seed, clock: event.New(startTime), endpoints: map[string]*model.Endpoint{},
		cutLinks:  map[string]bool{},
		clientRNG: rand.New(rand.NewPCG(seed, 2)), networkRNG: rand.New(rand.NewPCG(seed, 3)), burstFactor: 1,
	}
	f.world = model.New(f.clock, seed)
	for b := range cfg.Banks {
		group := f.world.AddReplicaGroup(int64(b+1), cfg.Follow)
		for i := range cfg.Members + cfg.Spares {
			m := f.world.AddEndpoint(fmt.Sprintf("db%d%c", b+1, 'a'+i), cfg.Zones[(b+i)%len(cfg.Zones)],
				cfg.Kind, group)
			f.endpoints[m.ID] = m
			if i >= cfg.Members {
				m.Reserve()
			}
		}
	}
	for _, k := range cfg.Classes {
		f.longestTimeout = max(f.longestTimeout, k.ClientTimeout)
	}
	f.meanRate = cfg.Rate()
	f.sessions = make([]session, max(1, cfg.Sessions))
	for i := range f.sessions {
		f.sessions[i].group, f.sessions[i].homeRouter = f.clientRNG.IntN(cfg.Banks), -1
		if cfg.Roam < 1 && f.clientRNG.Float64() >= cfg.Roam {
			f.sessions[i].homeRouter = f.clientRNG.IntN(cfg.Routers)
		}
	}
	f.directory = newDirectory(f)
	f.startObserver()
	for i := range cfg.Routers {
		r := f.newInstance(i)
		f.routers = append(f.routers, r)
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) drawDuration(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(f.networkRNG.Float64()*float64(r[1]-r[0]))
}

func (f *Fleet) addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.cfg.Jitter*f.networkRNG.ExpFloat64()))
}

// isCut reports whether messages from a router to an endpoint, and their answers, are lost.
func (f *Fleet) isCut(r *instance, m *model.Endpoint) bool {
	return len(f.cutLinks) > 0 && (f.cutLinks[r.zone+">"+m.Zone] || f.cutLinks[r.zone+">"+m.ID])
}

// Part returns the factor of the configured load at a time after the start.
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

// scheduleArrival schedules the next arrival of a request.
func (f *Fleet) scheduleArrival() {
	rate := f.meanRate * Part(f.cfg.Shape, f.clock.Now()-startTime) * f.burstFactor
	if rate <= 0 {
		f.clock.After(50*time.Millisecond, f.scheduleArrival)
		return
	}
	// The rate may change, so a longer pause than this is drawn again.
	const maxWait = 100 * time.Millisecond
	wait := time.Duration(f.clientRNG.ExpFloat64() / rate * 1e9)
	arrives := wait < maxWait
	f.clock.After(min(wait, maxWait), func() {
		if f.clock.Now() >= startTime+f.cfg.Length {
			return
		}
		if arrives {
			f.startRequest()
		}
		f.scheduleArrival()
	})
}

// drawBurst draws the factor of the rate until the next call.
func (f *Fleet) drawBurst() {
	if spread := f.cfg.Bursts; spread > 0 {
		variance := math.Log(1 + spread*spread)
		f.burstFactor = math.Exp(math.Sqrt(variance)*f.clientRNG.NormFloat64() - variance/2)
	}
}

// scheduleFaults schedules faults at their times or after their events.
func (f *Fleet) scheduleFaults(faults []Fault) {
	var triggered []Fault
	for _, x := range faults {
		if x.On == "" {
			f.clock.At(startTime+x.At, func() { f.injectFault(x) })
		} else {
			triggered = append(triggered, x)
		}
	}
	if len(triggered) == 0 {
		return
	}
	fired := make([]bool, len(triggered))
	f.world.Watch(func(m *model.Endpoint) {
		for i, x := range triggered {
			if fired[i] {
				continue
			}
			group, matches := fmt.Sprint(m.Group.ID), false
			switch kind, target, _ := strings.Cut(x.On, ":"); kind {
			case "lost":
				matches = target == group && !m.Group.AcceptsWrites()
			case "led":
				matches = target == group && m.Group.AcceptsWrites() && m.Group.PrimaryChanges() > 0
			case "down":
				matches = target == m.ID && m.State() != model.Up
			case "up":
				matches = target == m.ID && m.State() == model.Up && m.StartedAt() > 0
			}
			if matches {
				fired[i] = true
				f.clock.After(x.At, func() { f.injectFault(x) })
			}
		}
	})
}

// injectFault injects a fault.
func (f *Fleet) injectFault(x Fault) {
	f.observer.marks = append(f.observer.marks, Mark{
		At:   f.clock.Now() - startTime,
		Text: strings.TrimSpace(x.What + " " + strings.Join(x.Who, " ")), For: x.For,
	})
	switch x.What {
	case "discovery":
		f.directory.downUntil = f.clock.Now() + x.For
		return
	case "routers":
		count := int(math.Ceil(x.Part * float64(len(f.routers))))
		for _, r := range f.routers[:min(count, len(f.routers))] {
			if !r.alive {
				continue
			}
			r.stop()
			f.endRequestsOf(r)
			f.clock.After(x.For, func() { f.restart(r) })
		}
		return
	case "cut":
		for _, link := range x.Who {
			f.cutLinks[link] = true
			f.clock.After(x.For, func() { delete(f.cutLinks, link) })
		}
		return
	}
	if x.What == "suspend" {
		for _, m := range selectEndpoints(f.world, x.Who) {
			for _, r := range f.routers {
				if r.alive {
					r.core.Suspend(m.ID, true)
					r.run()
					r.after(x.For, func() { r.core.Suspend(m.ID, false) })
				}
			}
		}
		return
	}
	Befall(f.world, x, f.cfg.Kind.ErrorShare)
}

// Befall injects a fault into endpoints. errors is the share of errors to which an endpoint returns after the fault
// sick.
func Befall(w *model.World, x Fault, errors float64) {
	for _, m := range selectEndpoints(w, x.Who) {
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

// selectEndpoints returns the endpoints selected by id, by replica group ("bank:2", "primary:2", "replicas:2") or by
// zone ("zone:a").
func selectEndpoints(w *model.World, names []string) (selected []*model.Endpoint) {
	for _, name := range names {
		kind, value, ok := strings.Cut(name, ":")
		for _, m := range w.Endpoints {
			group := fmt.Sprint(m.Group.ID)
			if !ok && m.ID == name || ok && (kind == "zone" && m.Zone == value || kind == "bank" && group == value ||
				kind == "primary" && group == value && m.IsPrimary() ||
				kind == "replicas" && group == value && !m.IsPrimary()) {
				if !slices.Contains(selected, m) {
					selected = append(selected, m)
				}
			}
		}
	}
	return selected
}
