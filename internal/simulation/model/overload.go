package model

import (
	"fmt"
	"time"

	"limeladder/internal/simulation/event"
)

// Offered work is counted in slots of overloadTick, and compared with the capacity over overloadSlots of them.
const (
	overloadTick  = 50 * time.Millisecond
	overloadSlots = 4
)

// overload detects that an endpoint is offered more work than it bears.
type overload struct {
	offered  [overloadSlots]float64 // seconds of a core
	slot     int                    // the present one
	duration time.Duration          // for which it has been overloaded without a break
	tick     *event.Event           // nil while nothing was offered lately
}

// offer counts work that was offered, whether or not it was accepted.
func (e *Endpoint) offer(work time.Duration) {
	if e.Spec.OverloadWindow == 0 {
		return
	}
	e.overload.offered[e.overload.slot] += work.Seconds()
	if e.overload.tick == nil {
		e.overload.tick = e.world.Clock.After(overloadTick, e.checkOverload)
	}
}

// checkOverload begins the next slot, and fails the endpoint if it has been overloaded for too long.
func (e *Endpoint) checkOverload() {
	e.overload.tick = nil
	offered := e.overload.nextSlot()
	if e.state != Up || offered == 0 {
		e.overload.duration = 0
		return
	}
	if offered/(overloadTick*overloadSlots).Seconds() <= e.Spec.OverloadMultiple*e.Capacity() {
		e.overload.duration = 0
	} else {
		e.overload.duration += overloadTick
		if e.overload.duration >= e.Spec.OverloadWindow {
			cause := fmt.Sprintf("pushed over at %.0f%% of its capacity", 100*e.SlowStartFactor())
			e.Kill(cause, e.Spec.RestartDelay)
			return
		}
	}
	e.overload.tick = e.world.Clock.After(overloadTick, e.checkOverload)
}

// nextSlot returns the work that was offered in all slots, and replaces the oldest one.
func (o *overload) nextSlot() float64 {
	sum := 0.0
	for _, work := range o.offered {
		sum += work
	}
	o.slot = (o.slot + 1) % overloadSlots
	o.offered[o.slot] = 0
	return sum
}

// reset forgets what was offered. The tick and the slot go on.
func (o *overload) reset() {
	o.offered = [overloadSlots]float64{}
	o.duration = 0
}
