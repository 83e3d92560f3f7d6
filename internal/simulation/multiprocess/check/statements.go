package check

import (
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// WritesExecutedOnce checks that no write is executed twice.
func WritesExecutedOnce(_ Limits, entries []history.Entry) []Violation {
	var violations []Violation
	writes := map[string]bool{}       // by id
	executedAt := map[string]string{} // by id: the endpoint that executed it last
	for _, entry := range entries {
		switch fact := entry.Fact.(type) {
		case history.StatementArrived:
			if fact.IsWrite {
				writes[fact.ID] = true
			}
		case history.StatementExecuted:
			if !fact.Served || !writes[fact.ID] {
				continue
			}
			if first := executedAt[fact.ID]; first != "" {
				violations = append(violations, violationf(ruleWriteExecutedOnce, entry.Time,
					"write %s was executed at %s and at %s", fact.ID, first, fact.Endpoint))
			}
			executedAt[fact.ID] = fact.Endpoint
		}
	}
	return violations
}

// abandonTolerance is the longest delay between a router abandoning a connection and the test recording it.
const abandonTolerance = 100 * time.Millisecond

// OneCopyInFlight checks that no statement arrives at an endpoint while an earlier copy is in flight on a connection
// that its router has not abandoned.
func OneCopyInFlight(_ Limits, entries []history.Entry) []Violation {
	var violations []Violation
	abandoned := collectAbandonedConnections(entries)
	inFlight := map[string]history.StatementArrived{} // by id
	for _, entry := range entries {
		switch fact := entry.Fact.(type) {
		case history.StatementArrived:
			earlier, hasEarlier := inFlight[fact.ID]
			abandonedAt, isAbandoned := abandoned[earlier.Connection]
			if hasEarlier && (!isAbandoned || abandonedAt > entry.Time+abandonTolerance) {
				violations = append(violations, violationf(ruleOneCopyInFlight, entry.Time,
					"%s arrives at %s while a copy is in flight at %s", fact.ID, fact.Endpoint, earlier.Endpoint))
			}
			inFlight[fact.ID] = fact
		case history.StatementExecuted:
			if inFlight[fact.ID].Endpoint == fact.Endpoint {
				delete(inFlight, fact.ID)
			}
		}
	}
	return violations
}

// collectAbandonedConnections returns when each connection was abandoned. It looks at the complete history, because the
// fact may be recorded a little after the next copy has arrived.
func collectAbandonedConnections(entries []history.Entry) map[string]time.Duration {
	abandoned := map[string]time.Duration{}
	for _, entry := range entries {
		if fact, ok := entry.Fact.(history.ConnectionAbandoned); ok {
			abandoned[fact.Connection] = entry.Time
		}
	}
	return abandoned
}
