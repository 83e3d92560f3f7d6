package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/model"
)

// queueDelays measures how long statements wait for a slot of an endpoint with as many slots as cores. That is an M/M/c
// queue, for which Erlang's C formula gives the mean.
func queueDelays(seed uint64) []Check {
	var checks []Check
	for _, utilization := range []float64{0.5, 0.7, 0.85} {
		checks = append(checks, queueDelay(seed, utilization))
	}
	return checks
}

// queueDelay measures the mean wait for a slot at one utilization.
func queueDelay(seed uint64, utilization float64) Check {
	const meanWork = 50 * time.Millisecond
	clock, endpoint := newEndpoint(seed, endpointSpec())
	rng := rand.New(rand.NewPCG(seed, uint64(utilization*100)))
	waited := 0.0
	served := 0
	rate := utilization * endpointCores / meanWork.Seconds()
	schedulePoisson(clock, rng, rate, startTime+4000*time.Second, func() {
		work := time.Duration(rng.ExpFloat64() * float64(meanWork))
		arrival := clock.Now()
		endpoint.Submit(&model.Statement{Work: work, Done: func(model.Outcome, time.Duration, bool) {
			waited += (clock.Now() - arrival - work).Seconds()
			served++
		}})
	})
	clock.Run(startTime + 4100*time.Second)
	return Check{
		Name:     fmt.Sprintf("wait of M/M/3 at %.0f%% use", 100*utilization),
		Expected: 1000 * erlangDelay(utilization, meanWork),
		Measured: 1000 * waited / float64(served),
		Unit:     "ms",
	}
}

// erlangDelay returns the mean wait, in seconds, in an M/M/c queue with endpointCores servers, by Erlang's C formula.
func erlangDelay(utilization float64, meanWork time.Duration) float64 {
	offered := utilization * endpointCores
	term := 1.0 // offered^k / k!
	below := 0.0
	for k := range endpointCores {
		below += term
		term *= offered / float64(k+1)
	}
	probability := term / (1 - utilization) / (below + term/(1-utilization)) // that an arrival has to wait
	return probability * meanWork.Seconds() / endpointCores / (1 - utilization)
}

// concurrentWork measures the work that an endpoint does per second with different numbers of running statements.
func concurrentWork() []Check {
	const (
		lossPerStatement = 0.12 // for each statement per core above the threshold
		lossThreshold    = 5    // statements per core
		seconds          = 20
	)
	var checks []Check
	for _, statements := range []int{3, 15, 24} {
		spec := endpointSpec()
		spec.Slots = 24
		spec.ContentionLoss = lossPerStatement
		spec.ContentionThreshold = lossThreshold
		clock, endpoint := newEndpoint(1, spec)
		keepBusy(endpoint, statements)
		clock.Run(startTime + seconds*time.Second)
		excess := max(0, float64(statements)/endpointCores-lossThreshold)
		checks = append(checks, Check{
			Name:     fmt.Sprintf("work a second of three cores with %d statements", statements),
			Expected: endpointCores / (1 + lossPerStatement*excess),
			Measured: endpoint.WorkDone() / seconds,
		})
	}
	return checks
}
