package model

import (
	"fmt"
	"time"

	"limeladder/internal/simulation/event"
)

// Offered work is counted in time buckets of length overloadTick. The sum over overloadBuckets of them is compared with
// the capacity.
const (
	overloadTick    = 50 * time.Millisecond
	overloadBuckets = 4
)

// overload detects that an endpoint is offered more work than its overload multiple allows.
type overload struct {
	offered  [overloadBuckets]float64 // core-seconds by bucket
	bucket   int                      // index of the current bucket
	duration time.Duration            // how long the endpoint has been overloaded without interruption
	tick     *event.Event             // the next checkOverload; nil = none is scheduled
}

// countOffered counts work that the endpoint was offered, whether it was accepted or rejected.
func (e *Endpoint) countOffered(work time.Duration) {
	if e.Spec.OverloadWindow == 0 {
		return
	}
	e.overload.offered[e.overload.bucket] += work.Seconds()
	if e.overload.tick == nil {
		e.overload.tick = e.world.Clock.After(overloadTick, e.checkOverload)
	}
}

// checkOverload starts the next bucket, and kills the endpoint if it has been overloaded for OverloadWindow.
func (e *Endpoint) checkOverload() {
	e.overload.tick = nil
	offered := e.overload.nextBucket()
	if e.state != Up || offered == 0 {
		e.overload.duration = 0
		return
	}
	if offered/(overloadTick*overloadBuckets).Seconds() <= e.Spec.OverloadMultiple*e.Capacity() {
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

// nextBucket returns the work offered in all buckets, and reuses the oldest one as the next.
func (o *overload) nextBucket() float64 {
	sum := 0.0
	for _, work := range o.offered {
		sum += work
	}
	o.bucket = (o.bucket + 1) % overloadBuckets
	o.offered[o.bucket] = 0
	return sum
}

// reset clears the offered work and the duration. The tick and the current bucket stay.
func (o *overload) reset() {
	o.offered = [overloadBuckets]float64{}
	o.duration = 0
}
