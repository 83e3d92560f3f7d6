package sitefailover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// silenceFraction is the part of the evidence window, as its divisor, for which an endpoint has to stay silent after a
// single failure to count as down. A second failure in a row makes it down at once.
const silenceFraction = 4

// endpointEvidence is what is known of one endpoint.
type endpointEvidence struct {
	id            string
	site          string
	group         int64
	draining      bool          // it was told to leave before it failed, which is a deploy and no loss
	delisted      bool          // the list has dropped it although it was not draining
	unlistedSince time.Duration // since when no list has named it, 0 = one does
	answeredAt    time.Duration // of the last answer, 0 = there was none
	failingSince  time.Duration // of the first failure since the last answer, 0 = there was none
	failures      int           // since the last answer
	lastFailure   Failure

	// committedAfterFailure says that the endpoint's group went on committing so soon after the endpoint failed that
	// only the endpoint itself can have led the group.
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

// isDown reports whether the endpoint has failed and not answered since: twice, or once with a silence behind it.
func (e *endpointEvidence) isDown(now, window time.Duration) bool {
	if e.delisted {
		return true
	}
	if e.failingSince == 0 {
		return false
	}
	return e.failures > 1 || now >= e.downAt(window)
}

// downAt is when a single failure makes the endpoint down.
func (e *endpointEvidence) downAt(window time.Duration) time.Duration {
	return e.failingSince + window/silenceFraction
}

// isUp reports whether the endpoint has answered within the evidence window.
func (e *endpointEvidence) isUp(now, window time.Duration) bool {
	return e.answeredAt > 0 && now-e.answeredAt <= window
}

// evidenceCounts sums up the evidence on several endpoints. Draining endpoints, and those of which nothing was heard
// lately, count for nothing.
type evidenceCounts struct {
	down       int
	answering  int
	downGroups map[int64]bool // the groups of the endpoints that are down
}

// known is the number of endpoints of which anything is known.
func (c evidenceCounts) known() int { return c.down + c.answering }

// downShare is the share of the known endpoints that is down.
func (c evidenceCounts) downShare() float64 {
	if c.known() == 0 {
		return 0
	}
	return float64(c.down) / float64(c.known())
}

// countEvidence sums up the evidence on a site's endpoints.
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

// failureSummary says for operators how a site's endpoints fail, as in "2 refused, 1 silent".
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
