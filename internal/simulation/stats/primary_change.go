package stats

import (
	"time"

	"limeladder/internal/simulation/model"
)

// changeRounds is the number of changes of primary over which the times are averaged.
const changeRounds = 400

// primaryChanges measures the average time from the loss or the drain of a primary to the election of its successor.
func primaryChanges(seed uint64) []Check {
	replication := model.Replication{
		DetectionDelay:  [2]time.Duration{time.Second, 3 * time.Second},
		ElectionDelay:   [2]time.Duration{0, 500 * time.Millisecond},
		SwitchoverDelay: [2]time.Duration{470 * time.Millisecond, 940 * time.Millisecond},
	}
	var checks []Check
	for _, change := range []struct {
		name     string
		expected float64
		begin    func(primary *model.Endpoint)
	}{
		{"dies", 2.25, func(primary *model.Endpoint) { primary.Kill("test", 0) }},
		{"hangs", 2.25, func(primary *model.Endpoint) { primary.Hang(0) }},
		{"drains", 0.705, func(primary *model.Endpoint) { primary.Drain() }},
	} {
		sum := 0.0
		for i := range uint64(changeRounds) {
			sum += timeToSuccessor(seed*changeRounds+i, replication, change.begin).Seconds()
		}
		checks = append(checks, Check{
			Name:     "a primary " + change.name + ", successor after",
			Expected: change.expected,
			Measured: sum / changeRounds,
			Unit:     "s",
		})
	}
	return checks
}

// timeToSuccessor starts a change of primary with begin and returns the time until the replica group has a new primary.
func timeToSuccessor(seed uint64, replication model.Replication, begin func(primary *model.Endpoint)) time.Duration {
	clock, world, group := newWorld(seed, endpointSpec(), replication, 3)
	primary := world.Endpoints[0]
	begin(primary)
	for group.Primary == primary {
		clock.Run(clock.Now() + time.Millisecond)
	}
	return clock.Now() - startTime
}
