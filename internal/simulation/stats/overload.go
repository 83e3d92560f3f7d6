package stats

import (
	"time"

	"limeladder/internal/simulation/model"
)

// overloadWindow is how long an endpoint withstands more than its overload multiple before it fails.
const overloadWindow = 2 * time.Second

// overloadFailures measures, for a warm and a cold endpoint, the load under which it fails and how long it withstands
// more.
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
				Expected: overloadWindow.Seconds(),
				Measured: secondsToFailure(seed, 2.6, cold),
				Unit:     "s",
			},
			Check{
				Name:     name + " at five times its capacity falls after",
				Expected: overloadWindow.Seconds(),
				Measured: secondsToFailure(seed, 5, cold),
				Unit:     "s",
			})
	}
	return checks
}

// leastFailingMultiple returns the smallest multiple of its capacity under which an endpoint fails, or 0 if it fails
// under none of the multiples tried.
func leastFailingMultiple(seed uint64, cold bool) float64 {
	for multiple := 2.0; multiple < 3.2; multiple += 0.02 {
		if secondsToFailure(seed, multiple, cold) > 0 {
			return multiple
		}
	}
	return 0
}

// secondsToFailure offers an endpoint a multiple of its capacity and returns the seconds until it fails, or 0 if it
// withstands the load for 20 s.
func secondsToFailure(seed uint64, multiple float64, cold bool) float64 {
	spec := endpointSpec()
	spec.OverloadWindow = overloadWindow
	spec.SlowStartWindow = time.Hour // long enough for the capacity to stay almost constant
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
