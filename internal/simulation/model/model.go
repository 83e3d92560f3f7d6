// Package model is the world that routers meet, in virtual time: db machines that take work, warm up, fall over and come
// back, banks whose replicas follow a primary, discovery that lags and queues, and links. It is pure: its clock is an
// event.Clock, its draws come from a seed, and it knows no router.
package model

import (
	"math"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/event"
)

// Kind describes db machines of one sort.
type Kind struct {
	Cores    int
	Speed    float64 // work that a core does in a second
	Slots    int     // statements that run at once
	Room     int     // statements that wait for a slot
	Thrash   float64 // each statement a core above ThrashAt makes the rest slower by this part
	ThrashAt float64 // statements a core

	ColdFrom   float64       // part of its capacity that a cold one has at first
	ColdFor    time.Duration // it is warm after this,
	WarmByWork bool          // or after as much work as it does in this time when it is warm

	FallMultiple float64       // offered more than this multiple of its present capacity
	FallFor      time.Duration // for so long it falls over; 0 = it never does
	FallBack     time.Duration // and comes back cold after this; 0 = never

	Conns     int           // connections
	FullTax   float64       // part of its capacity that its connections cost when all are open
	Handshake time.Duration // work that a new one costs
	ProbeWork time.Duration // work that a report costs
	Refresh   time.Duration // how often its report is made anew
	Noise     float64       // of what the report says of its use
	Errors    float64       // share of statements that end in an error
	CancelAll bool          // a cancel stops what runs; otherwise only what waits
	DropsLate bool          // what waits is dropped once its client has given up
}

// Follow says how the members of a bank follow their primary.
type Follow struct {
	Ship     time.Duration // until a commit is at a replica
	Apply    time.Duration // what it takes there, one after the other, in the mean
	Detect   [2]time.Duration
	Stand    [2]time.Duration // from the loss to the successor
	HandOver [2]time.Duration // the same for a drain
	Resync   time.Duration    // until one that came back begins to catch up
}

// Steps by which what changes all the time is looked at.
const (
	warmStep = 50 * time.Millisecond
	fallStep = 50 * time.Millisecond
	fallSpan = 4 // of them offered work is counted over
)

// Outcome is how a statement ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Full             // no slot and no room: never ran
	ReadOnly         // it asks for a primary: never ran
	Behind           // the machine has not applied what it has to see: never ran
	Failed           // an error of its own
	Broke            // the machine went away
	Stopped          // cancelled
	Late             // its client had given up before it ran
)

// Work is a statement at a machine.
type Work struct {
	Need    time.Duration // of a core that does one second a second
	Write   bool
	Long    bool          // a replica applies nothing while it runs
	See     time.Duration // the position that it has to see, 0 = none
	Until   time.Duration // its client gives up then, 0 = never
	Done    func(o Outcome, pos time.Duration, primary bool)
	tag     float64 // of the machine's own time at which it is done
	index   int     // among those that run, -1 = it waits or has ended
	machine *Machine
}

// Report is what a machine says of itself.
type Report struct {
	Position time.Duration
	Primary  bool
	Use      float64
}

// World holds all machines and banks.
type World struct {
	Clock    *event.Clock
	Machines []*Machine
	Banks    []*Bank
	rng      *rand.Rand
	watch    []func(*Machine)
}

// New returns a World without machines.
func New(c *event.Clock, seed uint64) *World {
	return &World{Clock: c, rng: rand.New(rand.NewPCG(seed, 0x1ab))}
}

// Watch calls f whenever a machine's state has changed.
func (w *World) Watch(f func(*Machine)) { w.watch = append(w.watch, f) }

func (w *World) changed(m *Machine) {
	for _, f := range w.watch {
		f(m)
	}
}

func between(rng *rand.Rand, r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(rng.Float64()*float64(r[1]-r[0]))
}

// Dist is the shape of the work of a class.
type Dist struct {
	Mean time.Duration
	CV   float64
	Exp  bool // exponential, in place of lognormal
}

// Draw draws one.
func (d Dist) Draw(rng *rand.Rand) time.Duration {
	switch {
	case d.CV == 0 && !d.Exp:
		return d.Mean
	case d.Exp:
		return time.Duration(rng.ExpFloat64() * float64(d.Mean))
	}
	s2 := math.Log(1 + d.CV*d.CV)
	return time.Duration(float64(d.Mean) * math.Exp(math.Sqrt(s2)*rng.NormFloat64()-s2/2))
}
