package stats

import (
	"fmt"
	"time"

	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/model"
)

// warmUps measures the slow start of an endpoint that warms up by time, and of one that warms up by work done.
func warmUps(seed uint64) []Check {
	return append(warmUpByTime(seed), warmUpByWork(seed))
}

func warmUpByTime(seed uint64) []Check {
	var checks []Check
	shares := capacityShares(seed, false)
	for _, second := range []int{6, 12, 18} {
		checks = append(checks, Check{
			Name:     fmt.Sprintf("warm-up by time, part of capacity in second %d", second),
			Expected: slowStartShare + (1-slowStartShare)*(float64(second)-0.5)/warmUpTime.Seconds(),
			Measured: shares[second-1],
		})
	}
	return checks
}

func warmUpByWork(seed uint64) Check {
	warmAfter := 0.0
	for i, share := range capacityShares(seed, true) {
		if share > 0.995 {
			warmAfter = float64(i + 1)
			break
		}
	}
	return Check{
		Name: "warm-up by work, warm after",
		// The share s of the capacity grows in proportion to the work done, and so to s itself: ds/dt = s*(1-cold)/18.
		// It reaches 1 after ln(1/cold)*18/(1-cold) seconds; ln(1/0.16) is 1.8326.
		Expected: 18 / (1 - slowStartShare) * 1.8326,
		Measured: warmAfter,
		Unit:     "s",
	}
}

// capacityShares returns the share of its full capacity that a fully loaded endpoint has in each of the first forty
// seconds after a start with cold caches.
func capacityShares(seed uint64, byWork bool) []float64 {
	spec := endpointSpec()
	spec.SlowStartByWork = byWork
	clock, endpoint := newEndpoint(seed, spec)
	endpoint.Kill("test", time.Second)
	clock.Run(startTime + 1100*time.Millisecond)
	keepBusy(endpoint, 9)
	shares := make([]float64, 40)
	done := endpoint.WorkDone()
	for i := range shares {
		until := startTime + time.Second + time.Duration(i+1)*time.Second
		work, elapsed := runAndMeasureWork(clock, endpoint, done, until)
		shares[i] = work / endpointCores / elapsed.Seconds()
		done += work
	}
	return shares
}

// runAndMeasureWork runs the clock until a time, and returns the work that the endpoint did and the time that elapsed.
// done is the work that the endpoint had done before the call.
func runAndMeasureWork(
	clock *event.Clock, endpoint *model.Endpoint, done float64, until time.Duration,
) (work float64, elapsed time.Duration) {
	began := clock.Now() - endpoint.StartedAt()
	clock.Run(until)
	return endpoint.WorkDone() - done, clock.Now() - endpoint.StartedAt() - began
}
