package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence level of the intervals in an Effect.
const confidence = 0.95

// Effect is the difference of two sets of results, A and B, in one statistic of one scenario.
type Effect struct {
	Statistic      string
	Pairs          int // number of seeds that both sets have results for
	MeanA, MeanB   float64
	MeanDifference float64 // mean of B minus A over the pairs
	Low, High      float64 // the confidence interval of MeanDifference
	Significant    bool    // the confidence interval excludes zero
	Scenario       string
	ArmA, ArmB     string
}

// pairedRun is a pair of runs, one of each set, with the same scenario and seed.
type pairedRun struct{ first, second RunResult }

// Compare returns the effects for each scenario, ordered by name, and each of the named statistics. It ignores results
// for which the other set has none of the same scenario and seed.
func Compare(a, b []RunResult, statistics []string) []Effect {
	pairs := pairRuns(a, b)
	scenarios := make([]string, 0, len(pairs))
	for name := range pairs {
		scenarios = append(scenarios, name)
	}
	slices.Sort(scenarios)
	var effects []Effect
	for _, name := range scenarios {
		for _, statistic := range statistics {
			effects = append(effects, effectOf(statistic, pairs[name]))
		}
	}
	return effects
}

// pairRuns returns the pairs of each scenario, in the order of a.
func pairRuns(a, b []RunResult) map[string][]pairedRun {
	type key struct {
		scenario string
		seed     uint64
	}
	partners := map[key]RunResult{}
	for _, result := range b {
		partners[key{result.Scenario, result.Seed}] = result
	}
	pairs := map[string][]pairedRun{}
	for _, result := range a {
		if partner, ok := partners[key{result.Scenario, result.Seed}]; ok {
			pairs[result.Scenario] = append(pairs[result.Scenario], pairedRun{result, partner})
		}
	}
	return pairs
}

// effectOf compares one statistic over the pairs of one scenario. There must be at least one pair.
func effectOf(statistic string, pairs []pairedRun) Effect {
	var valuesA, valuesB, differences []float64
	for _, pair := range pairs {
		valueA := pair.first.Statistics[statistic]
		valueB := pair.second.Statistics[statistic]
		valuesA = append(valuesA, valueA)
		valuesB = append(valuesB, valueB)
		differences = append(differences, valueB-valueA)
	}
	effect := Effect{
		Statistic: statistic,
		Pairs:     len(pairs),
		MeanA:     stat.Mean(valuesA, nil),
		MeanB:     stat.Mean(valuesB, nil),
		Scenario:  pairs[0].first.Scenario,
		ArmA:      pairs[0].first.Arm,
		ArmB:      pairs[0].second.Arm,
	}
	effect.MeanDifference, effect.Low, effect.High = confidenceInterval(differences)
	effect.Significant = effect.Low > 0 || effect.High < 0
	return effect
}

// confidenceInterval returns the mean of the differences and its confidence interval by Student's t distribution. The
// interval of a single difference is infinite, because its deviation is unknown.
func confidenceInterval(differences []float64) (mean, low, high float64) {
	if len(differences) < 2 {
		return stat.Mean(differences, nil), math.Inf(-1), math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}
	quantile := student.Quantile((1 + confidence) / 2)
	half := quantile * deviation / math.Sqrt(float64(len(differences)))
	return mean, mean - half, mean + half
}
