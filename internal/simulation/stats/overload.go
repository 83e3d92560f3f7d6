package stats

import (
	"time"

	"limeladder/internal/simulation/model"
)

// overloadTime is how long an endpoint bears more than its overload multiple before it fails.
const overloadTime = 2 * time.Second

// overloadFailures measures the load under which an endpoint fails, and how long it bears more, warm and cold.
func overloadFailures(seed uint64) []Check {
	var checks []Check
	for _, cold := range []bool{false, true} {
		name := "a warm one"
		if cold {
			name = "a cold one"
		}
		checks = append(checks,
			Check{
				Name:     name + " falls over beyond this multiple of its capacity",
				Expected: overloadMultiple,
				Measured: leastFailingMultiple(seed, cold),
			},
			Check{
				Name:     name + " at 2.6 times its capacity falls after",
				Expected: overloadTime.Seconds(),
				Measured: failsAfter(seed, 2.6, cold),
				Unit:     "s",
			},
			Check{
				Name:     name + " at five times its capacity falls after",
				Expected: overloadTime.Seconds(),
				Measured: failsAfter(seed, 5, cold),
				Unit:     "s",
			})
	}
	return checks
}

// leastFailingMultiple looks for the smallest multiple of its capacity under which an endpoint fails; 0 means that
// none of those tried did it.
func leastFailingMultiple(seed uint64, cold bool) float64 {
	for multiple := 2.0; multiple < 3.2; multiple += 0.02 {
		if failsAfter(seed, multiple, cold) > 0 {
			return multiple
		}
	}
	return 0
}

// failsAfter offers an endpoint a multiple of its capacity and gives the seconds after which it fails; 0 means that
// it bore the load.
func failsAfter(seed uint64, multiple float64, cold bool) float64 {
	spec := endpointSpec()
	spec.OverloadWindow = overloadTime
	spec.SlowStartWindow = time.Hour // the capacity stays as it is
	clock, endpoint := newEndpoint(seed, spec)
	if cold {
		endpoint.Kill("test", time.Second)
	}
	clock.Run(startTime + 2*time.Second)
	began := clock.Now()
	work := 2 * time.Millisecond
	interval := time.Duration(work.Seconds() / (multiple * endpoint.Capacity()) * 1e9)
	seconds := 0.0
	var next func()
	next = func() {
		if endpoint.State() != model.Up {
			seconds = (clock.Now() - began).Seconds()
			return
		}
		endpoint.Submit(&model.Statement{Work: work, Done: ignoreOutcome})
		clock.After(interval, next)
	}
	next()
	clock.Run(began + 20*time.Second)
	return seconds
}
