package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// WorkDistribution describes the work per statement of a class: exponential, lognormal, or constant if Variation is 0
// and Exponential is false.
type WorkDistribution struct {
	Mean        time.Duration
	Variation   float64 // the coefficient of variation of a lognormal distribution
	Exponential bool    // instead of lognormal
}

// Draw draws the work of one statement.
func (d WorkDistribution) Draw(rng *rand.Rand) time.Duration {
	switch {
	case d.Variation == 0 && !d.Exponential:
		return d.Mean
	case d.Exponential:
		return time.Duration(rng.ExpFloat64() * float64(d.Mean))
	}
	variance := math.Log(1 + d.Variation*d.Variation) // of the logarithm
	return time.Duration(float64(d.Mean) * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2))
}
