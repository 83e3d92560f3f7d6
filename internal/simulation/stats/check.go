package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/model"
)

// Check is a measured value together with its expected value.
type Check struct {
	Name     string
	Expected float64
	Measured float64
	Unit     string // empty for a ratio
}

// RelativeError returns the deviation of the measured value from the expected one, as a share of the expected one.
func (c Check) RelativeError() float64 { return (c.Measured - c.Expected) / c.Expected }

// MeasureAll runs all measurements of the emulated endpoints.
func MeasureAll(seed uint64) ([]Check, error) {
	var checks []Check
	checks = append(checks, queueDelays(seed)...)
	checks = append(checks, warmUps(seed)...)
	checks = append(checks, overloadFailures(seed)...)
	checks = append(checks, concurrentWork()...)
	checks = append(checks, replicationLags(seed)...)
	checks = append(checks, primaryChanges(seed)...)
	delays, err := discoveryDelays(seed)
	if err != nil {
		return nil, err
	}
	return append(checks, delays...), nil
}

// startTime is the virtual time at which each world starts. It isn't zero, because zero means "none" in the model.
const startTime = 1000 * time.Second

// Default parameters of the measured endpoints.
const (
	endpointCores    = 3
	slowStartShare   = 0.16 // share of its full capacity that an endpoint has right after its start
	warmUpTime       = 18 * time.Second
	overloadMultiple = 2.5
)

// endpointSpec returns the default specification of the measured endpoints: as many slots as cores, and a queue that is
// never full.
func endpointSpec() model.EndpointSpec {
	return model.EndpointSpec{
		Cores:            endpointCores,
		Speed:            1,
		Slots:            endpointCores,
		QueueCapacity:    1 << 20,
		SlowStartShare:   slowStartShare,
		SlowStartWindow:  warmUpTime,
		OverloadMultiple: overloadMultiple,
	}
}

// newWorld returns a world with one replica group, its clock and the group. The first endpoint is the primary.
func newWorld(
	seed uint64, spec model.EndpointSpec, replication model.Replication, endpoints int,
) (*event.Clock, *model.World, *model.ReplicaGroup) {
	clock := event.New(startTime)
	world := model.New(clock, seed)
	group := world.AddReplicaGroup(1, replication)
	for i := range endpoints {
		world.AddEndpoint(fmt.Sprint("m", i), "a", spec, group)
	}
	return clock, world, group
}

// newEndpoint returns a clock and the only endpoint of a new world.
func newEndpoint(seed uint64, spec model.EndpointSpec) (*event.Clock, *model.Endpoint) {
	clock, world, _ := newWorld(seed, spec, model.Replication{}, 1)
	return clock, world.Endpoints[0]
}

// schedulePoisson calls arrive at the arrival times of a Poisson process of rate per second, until the given time.
func schedulePoisson(clock *event.Clock, rng *rand.Rand, rate float64, until time.Duration, arrive func()) {
	var next func()
	next = func() {
		if clock.Now() < until {
			arrive()
			clock.After(time.Duration(rng.ExpFloat64()/rate*1e9), next)
		}
	}
	clock.After(time.Duration(rng.ExpFloat64()/rate*1e9), next)
}

// keepBusy submits the given number of 5 ms statements at once, and a new one whenever one ends.
func keepBusy(endpoint *model.Endpoint, statements int) {
	var submit func(model.Outcome, time.Duration, bool)
	submit = func(model.Outcome, time.Duration, bool) {
		endpoint.Submit(&model.Statement{Work: 5 * time.Millisecond, Done: submit})
	}
	for range statements {
		submit(model.Served, 0, false)
	}
}

// ignoreOutcome is a Statement.Done callback that does nothing.
func ignoreOutcome(model.Outcome, time.Duration, bool) {}
