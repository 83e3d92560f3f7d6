package scenario

import (
	"slices"

	"limeladder/internal/simulation/fleet"
)

// StatisticNames are the statistics that are recorded and compared, in the order in which limeladder-sim prints them.
var StatisticNames = []string{
	"worth", "top", "whole", "window", "class", "rules", "served", "late", "refused", "failed", "expired",
	"p50_ms", "p99_ms", "attempts", "probes", "dials", "changes", "pushed_over",
}

// statistics computes each statistic by name, except for the shares of requests by ending, which are named after
// fleet.Endings.
var statistics = map[string]func(result *fleet.Result) float64{
	"worth":       func(result *fleet.Result) float64 { return result.Worth },
	"top":         func(result *fleet.Result) float64 { return result.Top },
	"whole":       func(result *fleet.Result) float64 { return result.Whole },
	"window":      func(result *fleet.Result) float64 { return result.Window },
	"class":       func(result *fleet.Result) float64 { return result.Class },
	"rules":       ruleViolations,
	"late":        lateShare,
	"p50_ms":      func(result *fleet.Result) float64 { return latencyMillis(result, 0) },
	"p90_ms":      func(result *fleet.Result) float64 { return latencyMillis(result, 1) },
	"p99_ms":      func(result *fleet.Result) float64 { return latencyMillis(result, 2) },
	"changes":     func(result *fleet.Result) float64 { return float64(result.Changes) },
	"probes":      func(result *fleet.Result) float64 { return perRequest(result, float64(result.Count.Probes)) },
	"dials":       func(result *fleet.Result) float64 { return perRequest(result, float64(result.Count.Dials)) },
	"attempts":    func(result *fleet.Result) float64 { return perRequest(result, float64(result.Count.Attempts)) },
	"pushed_over": func(result *fleet.Result) float64 { return float64(result.Pushed) },
}

// Statistic returns a statistic of a result; ok is false if the name is unknown.
func Statistic(result *fleet.Result, name string) (value float64, ok bool) {
	if statistic, known := statistics[name]; known {
		return statistic(result), true
	}
	ending := slices.Index(fleet.Endings, name)
	if ending < 0 {
		return 0, false
	}
	ended := 0.0
	for _, tally := range result.Tally {
		ended += float64(tally.Ends[ending])
	}
	return perRequest(result, ended), true
}

// perRequest divides a count by the number of requests.
func perRequest(result *fleet.Result, count float64) float64 {
	requests := 0.0
	for _, tally := range result.Tally {
		requests += float64(tally.Came)
	}
	return count / max(1, requests)
}

func lateShare(result *fleet.Result) float64 {
	late := 0.0
	for _, tally := range result.Tally {
		late += float64(tally.Late)
	}
	return perRequest(result, late)
}

func ruleViolations(result *fleet.Result) float64 {
	violations := 0
	for _, count := range result.Rules {
		violations += count
	}
	return float64(violations)
}

// latencyMillis returns the latency quantile with the given index in milliseconds, or 0 if nothing was served.
func latencyMillis(result *fleet.Result, quantile int) float64 {
	if quantile >= len(result.Latency) {
		return 0
	}
	return 1000 * result.Latency[quantile]
}
