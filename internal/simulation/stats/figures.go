// Package stats holds the emulator against what it is to be like: closed forms where there are any, otherwise the figures
// of the account that its machines are set to. The tests and the table in the docs are made of it.
package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/model"
)

// Figure is one that is held against another.
type Check struct {
	Name               string
	Expected, Measured float64
	Unit               string
}

// Off is the part by which it is off.
func (f Check) RelativeError() float64 { return (f.Measured - f.Expected) / f.Expected }

// begin is a moment of virtual time: 0 means none.
const startTime = 1000 * time.Second

// All measures all of them.
func MeasureAll(seed uint64) (all []Check) {
	all = append(all, queueWaits(seed)...)
	all = append(all, warmUps(seed)...)
	all = append(all, overloadFailures(seed)...)
	all = append(all, concurrentWork()...)
	all = append(all, replicationLags(seed)...)
	all = append(all, primaryChanges(seed)...)
	return append(all, discoveryDelays(seed)...)
}

func endpointKind() model.Kind {
	return model.Kind{Cores: 3, Speed: 1, Slots: 3, Room: 1 << 20, ColdFrom: 0.16, ColdFor: 18 * time.Second, FallMultiple: 2.5}
}

func world(seed uint64, k model.Kind, f model.Follow, members int) (*event.Clock, *model.World, *model.Bank) {
	c := event.New(startTime)
	w := model.New(c, seed)
	b := w.AddBank(1, f)
	for i := range members {
		w.Add(fmt.Sprint("m", i), "a", k, b)
	}
	return c, w, b
}

// stream hands a machine statements at a rate, Poisson.
func stream(c *event.Clock, rng *rand.Rand, rate float64, until time.Duration, do func()) {
	var next func()
	next = func() {
		if c.Now() < until {
			do()
			c.After(time.Duration(rng.ExpFloat64()/rate*1e9), next)
		}
	}
	c.After(time.Duration(rng.ExpFloat64()/rate*1e9), next)
}

// waits are the times that statements wait in a machine of three cores with as many slots: Erlang's formula.
func queueWaits(seed uint64) (all []Check) {
	const cores, mean = 3, 50 * time.Millisecond
	for _, rho := range []float64{0.5, 0.7, 0.85} {
		c, w, _ := world(seed, endpointKind(), model.Follow{}, 1)
		m, rng := w.Machines[0], rand.New(rand.NewPCG(seed, uint64(rho*100)))
		sum, n := 0.0, 0
		stream(c, rng, rho*cores/mean.Seconds(), startTime+4000*time.Second, func() {
			need, at := time.Duration(rng.ExpFloat64()*float64(mean)), c.Now()
			m.Submit(&model.Work{Need: need, Done: func(model.Outcome, time.Duration, bool) {
				sum += (c.Now() - at - need).Seconds()
				n++
			}})
		})
		c.Run(startTime + 4100*time.Second)
		a := rho * cores
		term, below := 1.0, 0.0
		for k := range cores {
			below += term
			term *= a / float64(k+1)
		}
		wait := term / (1 - rho) / (below + term/(1-rho)) * mean.Seconds() / cores / (1 - rho)
		all = append(all, Check{fmt.Sprintf("wait of M/M/3 at %.0f%% use", 100*rho), 1000 * wait, 1000 * sum / float64(n), "ms"})
	}
	return all
}

// warmUp is the work that a machine does in a second at some moments of its warm-up, when there is more than enough.
func warmUps(seed uint64) (all []Check) {
	for _, byWork := range []bool{false, true} {
		k := endpointKind()
		k.WarmByWork = byWork
		c, w, _ := world(seed, k, model.Follow{}, 1)
		m := w.Machines[0]
		m.Kill("test", time.Second)
		c.Run(startTime + 1100*time.Millisecond)
		var feed func(model.Outcome, time.Duration, bool)
		feed = func(model.Outcome, time.Duration, bool) {
			m.Submit(&model.Work{Need: 5 * time.Millisecond, Done: feed})
		}
		for range 9 {
			feed(0, 0, false)
		}
		before, warm := m.Did(), 0.0
		for i := 1; i <= 40; i++ {
			at := c.Now() - m.UpAt()
			c.Run(startTime + time.Second + time.Duration(i)*time.Second)
			did := m.Did() - before
			part := did / 3 / (c.Now() - m.UpAt() - at).Seconds()
			before += did
			if name := "warm-up by time"; !byWork && i%6 == 0 && i <= 18 {
				want := k.ColdFrom + (1-k.ColdFrom)*(float64(i)-0.5)/18
				all = append(all, Check{fmt.Sprintf("%s, part of capacity in second %d", name, i), want, part, ""})
			}
			if byWork && warm == 0 && part > 0.995 {
				warm = float64(i)
			}
		}
		if byWork {
			// It grows by itself: d/dt of the part is (1-from)/18 times the part, so it is warm after ln(1/from)*18/(1-from).
			all = append(all, Check{"warm-up by work, warm after", 18 / (1 - 0.16) * 1.8326, warm, "s"})
		}
	}
	return all
}

// falls are the load that a cold machine bears, and how long it bears more.
func overloadFailures(seed uint64) (all []Check) {
	fell := func(multiple float64, cold bool) (after float64) {
		k := endpointKind()
		k.FallFor, k.ColdFor = 2*time.Second, time.Hour
		c, w, _ := world(seed, k, model.Follow{}, 1)
		m := w.Machines[0]
		if cold {
			m.Kill("test", time.Second)
		}
		c.Run(startTime + 2*time.Second)
		at, need := c.Now(), 2*time.Millisecond
		gap := time.Duration(need.Seconds() / (multiple * m.Capacity()) * 1e9)
		var next func()
		next = func() {
			if m.State() != model.Up {
				after = (c.Now() - at).Seconds()
				return
			}
			m.Submit(&model.Work{Need: need, Done: func(model.Outcome, time.Duration, bool) {}})
			c.After(gap, next)
		}
		next()
		c.Run(at + 20*time.Second)
		return after
	}
	for _, cold := range []bool{false, true} {
		name := map[bool]string{false: "warm", true: "cold"}[cold]
		least := 0.0
		for m := 2.0; m < 3.2; m += 0.02 {
			if fell(m, cold) > 0 {
				least = m
				break
			}
		}
		all = append(all, Check{"a " + name + " one falls over beyond this multiple of its capacity", 2.5, least, ""},
			Check{"a " + name + " one at 2.6 times its capacity falls after", 2, fell(2.6, cold), "s"},
			Check{"a " + name + " one at five times its capacity falls after", 2, fell(5, cold), "s"})
	}
	return all
}

// crowding is the work of a second with many statements at once.
func concurrentWork() (all []Check) {
	for _, n := range []int{3, 15, 24} {
		k := endpointKind()
		k.Slots, k.Thrash, k.ThrashAt = 24, 0.12, 5
		c, w, _ := world(1, k, model.Follow{}, 1)
		m := w.Machines[0]
		var feed func(model.Outcome, time.Duration, bool)
		feed = func(model.Outcome, time.Duration, bool) {
			m.Submit(&model.Work{Need: 5 * time.Millisecond, Done: feed})
		}
		for range n {
			feed(0, 0, false)
		}
		c.Run(startTime + 20*time.Second)
		all = append(all, Check{fmt.Sprintf("work a second of three cores with %d statements", n), 3 / (1 + 0.12*max(0, float64(n)/3-5)), m.Did() / 20, ""})
	}
	return all
}

// lags are how far behind a replica is while its one thread applies at some use, and behind a long read.
func replicationLags(seed uint64) (all []Check) {
	const ship, apply = 8 * time.Millisecond, 12 * time.Millisecond
	k := endpointKind()
	k.Slots = 24
	for _, use := range []float64{0.31, 0.57} {
		c, w, _ := world(seed, k, model.Follow{Ship: ship, Apply: apply}, 2)
		rng := rand.New(rand.NewPCG(seed, uint64(1000*use)))
		stream(c, rng, use/apply.Seconds(), startTime+1000*time.Second, func() {
			w.Machines[0].Submit(&model.Work{Need: time.Microsecond, Write: true, Done: func(model.Outcome, time.Duration, bool) {}})
		})
		// What a commit takes until it is applied is a stay in M/M/1; behind the newest position lies what an arrival meets, and
		// Poisson arrivals see the time's mean: work in hand, use times service over what is left.
		sum, n := 0.0, 0
		r := w.Machines[1]
		var look func()
		look = func() {
			if c.Now() < startTime+1000*time.Second {
				sum, n = sum+(c.Now()-r.Position()).Seconds(), n+1
				c.After(time.Millisecond, look)
			}
		}
		c.After(10*time.Second, look)
		c.Run(startTime + 1000*time.Second)
		// The position stands at the commit that is being applied: its age is how long it waited and how long it is applied so far.
		// With use u and service s the age of the oldest not applied is 0 with chance 1-u, and s/(1-u) in the mean otherwise.
		want := ship.Seconds() + use*apply.Seconds()/(1-use)
		all = append(all, Check{fmt.Sprintf("lag at %.0f%% use of the applying thread", 100*use), 1000 * want, 1000 * sum / float64(n), "ms"})
	}
	c, w, _ := world(seed, k, model.Follow{Ship: ship, Apply: apply}, 2)
	rng := rand.New(rand.NewPCG(seed, 3))
	stream(c, rng, 0.4/apply.Seconds(), startTime+60*time.Second, func() {
		w.Machines[0].Submit(&model.Work{Need: time.Microsecond, Write: true, Done: func(model.Outcome, time.Duration, bool) {}})
	})
	c.Run(startTime + 10*time.Second)
	r := w.Machines[1]
	r.Submit(&model.Work{Need: 2 * time.Second, Long: true, Done: func(model.Outcome, time.Duration, bool) {}})
	c.Run(startTime + 12*time.Second - time.Millisecond)
	all = append(all, Check{"lag behind a long read of 2 s", 2000, float64((c.Now() - r.Position()).Milliseconds()), "ms"})
	// It has 2 s of log to make up, 0.8 s of work, while more comes.
	for c.Now()-r.Position() > 30*time.Millisecond && c.Now() < startTime+20*time.Second {
		c.Run(c.Now() + time.Millisecond)
	}
	return append(all, Check{"and it has caught up after", 2 * 0.4 / 0.6, (c.Now() - startTime - 12*time.Second).Seconds(), "s"})
}

// changes are how long a bank has no primary, in the mean of many.
func primaryChanges(seed uint64) (all []Check) {
	f := model.Follow{
		Detect: [2]time.Duration{time.Second, 3 * time.Second}, Stand: [2]time.Duration{0, 500 * time.Millisecond},
		HandOver: [2]time.Duration{470 * time.Millisecond, 940 * time.Millisecond},
	}
	const rounds = 400
	for _, x := range []struct {
		how  string
		want float64
	}{{"dies", 2.25}, {"hangs", 2.25}, {"drains", 0.705}} {
		how, sum := x.how, 0.0
		for i := range uint64(rounds) {
			c, w, b := world(seed*rounds+i, endpointKind(), f, 3)
			old := w.Machines[0]
			switch how {
			case "dies":
				old.Kill("test", 0)
			case "hangs":
				old.Hang(0)
			case "drains":
				old.Drain()
			}
			for b.Primary == old {
				c.Run(c.Now() + time.Millisecond)
			}
			sum += (c.Now() - startTime).Seconds()
		}
		all = append(all, Check{"a primary " + how + ", successor after", x.want, sum / rounds, "s"})
	}
	return all
}

// notices are how long it takes until discovery tells of a drain and of a silent death, in the mean of many.
func discoveryDelays(seed uint64) []Check {
	cfg := fleet.Default()
	cfg.Banks, cfg.Routers = 1, 1
	const rounds = 200
	var drain, silent float64
	for i := range uint64(rounds) {
		d, s, err := fleet.Noticed(cfg, seed*rounds+i)
		if err != nil {
			return []Check{{err.Error(), 1, 0, ""}}
		}
		drain, silent = drain+d.Seconds(), silent+s.Seconds()
	}
	return []Check{{"discovery tells of a drain after", (0.87 + 4.3) / 2, drain / rounds, "s"}, {"and of a silent death after", (6.6 + 12) / 2, silent / rounds, "s"}}
}
