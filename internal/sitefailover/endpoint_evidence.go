package sitefailover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// silenceFraction is the divisor of the evidence window for the time that an endpoint has to stay silent after a single
// failure to count as down. After a second consecutive failure it counts as down immediately.
const silenceFraction = 4

// endpointEvidence is the evidence about one endpoint.
type endpointEvidence struct {
	id            string
	site          string
	group         int64
	draining      bool          // according to the list, as in a deploy; its failures are no evidence of a loss
	delisted      bool          // removed from the list although it was not draining
	unlistedSince time.Duration // since when it is missing from the complete lists, 0 = it is listed
	answeredAt    time.Duration // time of the last answer, 0 = none yet
	failingSince  time.Duration // time of the first failure since the last answer, 0 = none
	failures      int           // number of failures since the last answer
	lastFailure   Failure

	// committedAfterFailure reports whether the endpoint's group has committed so soon after the endpoint failed that
	// only the endpoint itself can have been the primary.
	committedAfterFailure bool
}

// recordAnswer notes that the endpoint is alive.
func (e *endpointEvidence) recordAnswer(now time.Duration) {
	e.answeredAt = now
	e.failingSince = 0
	e.failures = 0
	e.delisted = false
	e.committedAfterFailure = false
}

// recordFailure notes that an attempt on the endpoint failed.
func (e *endpointEvidence) recordFailure(failure Failure, now time.Duration) {
	e.failures++
	if e.failingSince == 0 {
		e.failingSince = now
	}
	e.lastFailure = failure
}

// isDown reports whether the endpoint counts as down: delisted, or without an answer since two failures, or since one
// failure that is long enough ago.
func (e *endpointEvidence) isDown(now, window time.Duration) bool {
	if e.delisted {
		return true
	}
	if e.failingSince == 0 {
		return false
	}
	return e.failures > 1 || now >= e.downAt(window)
}

// downAt returns the time from which on the endpoint counts as down after a single failure.
func (e *endpointEvidence) downAt(window time.Duration) time.Duration {
	return e.failingSince + window/silenceFraction
}

// isUp reports whether the endpoint has answered within the evidence window.
func (e *endpointEvidence) isUp(now, window time.Duration) bool {
	return e.answeredAt > 0 && now-e.answeredAt <= window
}

// evidenceCounts summarizes the evidence about several endpoints. It doesn't count draining endpoints, nor endpoints
// that are not down but have not answered within the evidence window.
type evidenceCounts struct {
	down       int
	answering  int
	downGroups map[int64]bool // the groups of the endpoints that are down
}

// known returns the number of endpoints that are known to be down or answering.
func (c evidenceCounts) known() int { return c.down + c.answering }

// downShare returns the share of the known endpoints that are down.
func (c evidenceCounts) downShare() float64 {
	if c.known() == 0 {
		return 0
	}
	return float64(c.down) / float64(c.known())
}

// countEvidence summarizes the evidence about the endpoints of a site.
func (m *Monitor) countEvidence(site *siteStatus) evidenceCounts {
	counts := evidenceCounts{downGroups: map[int64]bool{}}
	for _, endpoint := range site.endpoints {
		switch {
		case endpoint.draining:
		case m.isDown(endpoint):
			counts.down++
			counts.downGroups[endpoint.group] = true
		case endpoint.isUp(m.now, m.cfg.EvidenceWindow):
			counts.answering++
		}
	}
	return counts
}

func (m *Monitor) isDown(endpoint *endpointEvidence) bool {
	return endpoint.isDown(m.now, m.cfg.EvidenceWindow)
}

// failureSummary describes for operators how the endpoints of a site fail, as in "2 refused, 1 silent".
func (m *Monitor) failureSummary(site *siteStatus) string {
	counts := map[string]int{}
	for _, endpoint := range site.endpoints {
		switch {
		case endpoint.draining || !m.isDown(endpoint):
		case endpoint.delisted:
			counts["gone"]++
		default:
			counts[endpoint.lastFailure.String()]++
		}
	}
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return strings.Join(parts, ", ")
}
