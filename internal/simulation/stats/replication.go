package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/model"
)

// Replication delays of the measured replica groups: a fixed time to ship a commit, and the mean of the exponentially
// distributed time to apply it.
const (
	shipTime  = 8 * time.Millisecond
	applyTime = 12 * time.Millisecond
)

// replicationLags measures the lag of a replica, under load and during a long read.
func replicationLags(seed uint64) []Check {
	checks := []Check{lagUnderLoad(seed, 0.31), lagUnderLoad(seed, 0.57)}
	return append(checks, lagDuringLongRead(seed)...)
}

// newReplication returns a clock, and the primary and the replica of a new replica group.
func newReplication(seed uint64) (clock *event.Clock, primary, replica *model.Endpoint) {
	spec := endpointSpec()
	spec.Slots = 24
	clock, world, _ := newWorld(seed, spec, model.Replication{ShipDelay: shipTime, ApplyTime: applyTime}, 2)
	return clock, world.Endpoints[0], world.Endpoints[1]
}

// scheduleWrites schedules short writes on the primary at a rate that gives the replica's apply thread the given
// utilization.
func scheduleWrites(
	clock *event.Clock, rng *rand.Rand, primary *model.Endpoint, utilization float64, until time.Duration,
) {
	schedulePoisson(clock, rng, utilization/applyTime.Seconds(), until, func() {
		primary.Submit(&model.Statement{Work: time.Microsecond, Write: true, Done: ignoreOutcome})
	})
}

// lagUnderLoad measures the mean lag at a utilization of the apply thread.
func lagUnderLoad(seed uint64, utilization float64) Check {
	clock, primary, replica := newReplication(seed)
	rng := rand.New(rand.NewPCG(seed, uint64(1000*utilization)))
	end := startTime + 1000*time.Second
	scheduleWrites(clock, rng, primary, utilization, end)
	sum := 0.0
	samples := 0
	var sample func()
	sample = func() {
		if clock.Now() < end {
			sum += (clock.Now() - replica.Position()).Seconds()
			samples++
			clock.After(time.Millisecond, sample)
		}
	}
	clock.After(10*time.Second, sample)
	clock.Run(end)
	// The position is just before the commit being applied, so the lag, apart from the ship time, is how long that commit
	// has waited and been applied so far. Applying is an M/M/1 queue: with utilization u and mean service time s, nothing
	// is left to apply with probability 1-u, and otherwise the age of the oldest commit has the mean s/(1-u).
	expected := shipTime.Seconds() + utilization*applyTime.Seconds()/(1-utilization)
	return Check{
		Name:     fmt.Sprintf("lag at %.0f%% use of the applying thread", 100*utilization),
		Expected: 1000 * expected,
		Measured: 1000 * sum / float64(samples),
		Unit:     "ms",
	}
}

// lagDuringLongRead measures the lag that a long read on the replica causes, and how long the replica takes to catch
// up afterwards.
func lagDuringLongRead(seed uint64) []Check {
	const (
		utilization = 0.4
		readBegin   = startTime + 10*time.Second
		readTime    = 2 * time.Second
		readEnd     = readBegin + readTime
	)
	clock, primary, replica := newReplication(seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	scheduleWrites(clock, rng, primary, utilization, startTime+60*time.Second)
	clock.Run(readBegin)
	replica.Submit(&model.Statement{Work: readTime, BlocksApply: true, Done: ignoreOutcome})
	clock.Run(readEnd - time.Millisecond)
	lag := clock.Now() - replica.Position()
	for clock.Now()-replica.Position() > 30*time.Millisecond && clock.Now() < startTime+20*time.Second {
		clock.Run(clock.Now() + time.Millisecond)
	}
	return []Check{
		{
			Name:     "lag behind a long read of 2 s",
			Expected: 2000,
			Measured: float64(lag.Milliseconds()),
			Unit:     "ms",
		},
		{
			Name: "and it has caught up after",
			// The backlog is 2 s of log, which takes 0.8 s to apply, and 0.4 s of work arrives per second meanwhile.
			Expected: 2 * 0.4 / 0.6,
			Measured: (clock.Now() - readEnd).Seconds(),
			Unit:     "s",
		},
	}
}
