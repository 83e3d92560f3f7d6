package stats

import (
	"fmt"

	"limeladder/internal/simulation/fleet"
)

// discoveryRounds is the number of worlds over which the delays are averaged.
const discoveryRounds = 200

// discoveryDelays measures how long discovery takes, averaged over many worlds, to list a draining endpoint as draining
// and a dead one as removed.
func discoveryDelays(seed uint64) ([]Check, error) {
	config := fleet.Default()
	config.Banks = 1
	config.Routers = 1
	var drainSum, deathSum float64
	for i := range uint64(discoveryRounds) {
		drain, death, err := fleet.Noticed(config, seed*discoveryRounds+i)
		if err != nil {
			return nil, fmt.Errorf("measuring discovery: %w", err)
		}
		drainSum += drain.Seconds()
		deathSum += death.Seconds()
	}
	return []Check{
		{
			Name:     "discovery tells of a drain after",
			Expected: (0.87 + 4.3) / 2,
			Measured: drainSum / discoveryRounds,
			Unit:     "s",
		},
		{
			Name:     "and of a silent death after",
			Expected: (6.6 + 12) / 2,
			Measured: deathSum / discoveryRounds,
			Unit:     "s",
		},
	}, nil
}
