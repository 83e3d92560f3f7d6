package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/sitefailover"
)

// SiteLossForecast compares the routers' plans for the loss of a site with the outcome in the simulation.
type SiteLossForecast struct {
	Seed  uint64
	Fleet string // a description

	// Shares of the priority weight of all requests.
	Planned  float64
	Achieved float64
	Possible float64 // upper bound given by the oracle, which knows the true state of all endpoints

	// Shares of the requests.
	PlannedRejections float64
	Unserved          float64 // not served before their deadline

	GroupsWithoutEndpoint int // groups left without any endpoint by the plans, averaged over the routers
}

// The site is lost at lossTime, when the routers have learned the load. Requests are counted from countFrom, when new
// primaries have been elected, to countUntil.
const (
	lossTime   = 40 * time.Second
	countFrom  = 50 * time.Second
	countUntil = 70 * time.Second
)

// ForecastSiteLoss simulates the loss of a site in a fleet that is drawn from the seed.
func ForecastSiteLoss(seed uint64) (SiteLossForecast, error) {
	rng := rand.New(rand.NewPCG(seed, 31))
	config := drawFleet(rng)
	site := config.Zones[rng.IntN(len(config.Zones))]
	plans, result, err := fleet.Foresee(config, seed, site, lossTime)
	if err != nil {
		return SiteLossForecast{}, err
	}
	forecast := SiteLossForecast{Seed: seed, Fleet: describeFleet(&config)}
	forecast.addPlans(plans, config.Rate())
	forecast.addResult(result)
	return forecast, nil
}

// drawFleet draws the size, the load and the classes of a fleet.
func drawFleet(rng *rand.Rand) fleet.Config {
	config := fleet.Default()
	config.Zones = [][]string{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}}[rng.IntN(3)]
	config.Routers = 2 + rng.IntN(7)
	config.Banks = 2 + rng.IntN(5)
	config.Members = 3 + rng.IntN(3)
	config.Use = 0.25 + 0.5*rng.Float64()
	config.Length = countUntil
	config.Silent = [2]time.Duration{20 * time.Second, 20 * time.Second}
	if rng.IntN(2) == 0 {
		replaceLongReads(&config.Classes[2])
	}
	return config
}

// replaceLongReads turns the class into one of short reads, which don't block replicas from applying the log.
func replaceLongReads(class *fleet.Class) {
	class.Long = false
	class.Work.Mean = 80 * time.Millisecond
	class.Share = 0.2
	class.PriorityWeight = 1
	class.LatencyObjective = 400 * time.Millisecond
	class.ClientTimeout = time.Second
}

func describeFleet(config *fleet.Config) string {
	return fmt.Sprintf("%d routers, %d banks of %d, %d sites, %.0f%% used",
		config.Routers, config.Banks, config.Members, len(config.Zones), 100*config.Use)
}

// addPlans adds the plans of all routers, each of which sees an equal part of the load. requestRate is the request rate
// of the whole fleet, in requests per second.
func (f *SiteLossForecast) addPlans(plans []sitefailover.SiteLossPlan, requestRate float64) {
	rejectionRate := 0.0
	for _, plan := range plans {
		f.Planned += plan.RemainingWeightShare / float64(len(plans))
		for _, rejection := range plan.Rejections {
			rejectionRate += rejection.Rate
		}
		for _, group := range plan.Groups {
			if group.NoEndpointLeft {
				f.GroupsWithoutEndpoint++
			}
		}
	}
	f.GroupsWithoutEndpoint /= max(1, len(plans))
	f.PlannedRejections = rejectionRate / requestRate
}

// addResult adds the measurements of the seconds from countFrom to countUntil.
func (f *SiteLossForecast) addResult(result *fleet.Result) {
	requests := 0
	unserved := 0
	achieved := 0.0
	asked := 0.0
	possible := 0.0
	for i := int(countFrom / time.Second); i < int(countUntil/time.Second); i++ {
		second := &result.Seconds[i]
		requests += second.Came
		unserved += second.Came - second.Ends[0] // Ends[0] counts the served requests, see fleet.Endings
		achieved += second.Worth
		asked += second.Could
		possible += result.Tops[i]
	}
	if asked > 0 {
		f.Achieved = achieved / asked
		f.Possible = possible / asked
		f.Unserved = float64(unserved) / float64(requests)
	}
}
