package stats

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/fleet"
)

// Foresight is what routers planned for the loss of a site, beside what came of it in the laboratory.
type Foresight struct {
	Seed                    uint64
	Fleet                   string  // in words
	Planned, Kept, Possible float64 // part of the worth asked for: as planned, as it came, and what the true state would allow
	Refused, Unserved       float64 // part of the requests: planned to be refused, and not served in time to be of use
	None                    int     // banks planned to have nothing left
}

// The times of a foreseen loss: long enough for routers to have learned, and what comes is counted once primaries have changed.
const (
	foreseeAt   = 40 * time.Second
	foreseeFrom = 50 * time.Second
	foreseeTo   = 70 * time.Second
)

// Foresee plays the loss of a site in a fleet that is drawn from a seed.
func Foresee(seed uint64) (Foresight, error) {
	rng := rand.New(rand.NewPCG(seed, 31))
	c := fleet.Default()
	c.Zones = [][]string{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}}[rng.IntN(3)]
	c.Routers, c.Banks, c.Members = 2+rng.IntN(7), 2+rng.IntN(5), 3+rng.IntN(3)
	c.Use = 0.25 + 0.5*rng.Float64()
	c.Length = foreseeTo
	c.Silent = [2]time.Duration{20 * time.Second, 20 * time.Second}
	if rng.IntN(2) == 0 { // no class whose reads hold up the log
		c.Classes[2].Long, c.Classes[2].Work.Mean, c.Classes[2].Share = false, 80*time.Millisecond, 0.2
		c.Classes[2].PriorityWeight, c.Classes[2].LatencyObjective, c.Classes[2].ClientTimeout = 1, 400*time.Millisecond, time.Second
	}
	site := c.Zones[rng.IntN(len(c.Zones))]
	told, got, err := fleet.Foresee(c, seed, site, foreseeAt)
	if err != nil {
		return Foresight{}, err
	}
	f := Foresight{Seed: seed, Fleet: fmt.Sprintf("%d routers, %d banks of %d, %d sites, %.0f%% used", c.Routers, c.Banks, c.Members, len(c.Zones), 100*c.Use)}
	rate := 0.0
	for _, l := range told { // routers see alike parts of the work
		f.Planned += l.RemainingWeightShare / float64(len(told))
		for _, r := range l.Rejections {
			rate += r.Rate
		}
		for _, b := range l.Groups {
			if b.NoEndpointLeft {
				f.None++
			}
		}
	}
	f.None /= max(1, len(told))
	f.Refused = rate / c.Rate()
	came, worth, could, top, lost := 0, 0.0, 0.0, 0.0, 0
	for i := int(foreseeFrom / time.Second); i < int(foreseeTo/time.Second); i++ {
		s := got.Seconds[i]
		came, worth, could, top = came+s.Came, worth+s.Worth, could+s.Could, top+got.Tops[i]
		lost += s.Came - s.Ends[0]
	}
	if could > 0 {
		f.Kept, f.Possible, f.Unserved = worth/could, top/could, float64(lost)/float64(came)
	}
	return f, nil
}
