package check

import (
	"limeladder/internal/simulation/multiprocess/history"
)

// Staleness checks that no read is answered from a replication position older than the one that it has to see. An
// endpoint that is or was the primary is excused until an answer has shown its router that it is a replica.
func Staleness(_ Limits, entries []history.Entry) []Violation {
	checker := stalenessChecker{
		isReplica: map[routerEndpoint]bool{},
		inFlight:  map[copyKey]inFlightRead{},
	}
	for _, entry := range entries {
		switch fact := entry.Fact.(type) {
		case history.StatementArrived:
			checker.statementArrived(fact)
		case history.StatementExecuted:
			checker.statementExecuted(fact, entry)
		}
	}
	return checker.violations
}

// copyKey identifies the copy of a statement at one endpoint.
type copyKey struct{ statement, endpoint string }

// inFlightRead is a statement that an endpoint has not ended, and whether its router may still take the endpoint for
// the primary.
type inFlightRead struct {
	history.StatementArrived
	excused bool
}

// stalenessChecker tracks which role of each endpoint its answers have shown to each router.
type stalenessChecker struct {
	isReplica  map[routerEndpoint]bool
	inFlight   map[copyKey]inFlightRead
	violations []Violation
}

func (checker *stalenessChecker) statementArrived(fact history.StatementArrived) {
	knownReplica := checker.isReplica[endpointOf(fact.Router, fact.Incarnation, fact.Endpoint)]
	checker.inFlight[copyKey{fact.ID, fact.Endpoint}] = inFlightRead{fact, fact.WasPrimary && !knownReplica}
}

func (checker *stalenessChecker) statementExecuted(fact history.StatementExecuted, entry history.Entry) {
	key := copyKey{fact.ID, fact.Endpoint}
	statement, arrived := checker.inFlight[key]
	delete(checker.inFlight, key)
	isServedRead := arrived && fact.Served && !statement.IsWrite
	isTooOld := statement.MinPosition > fact.Position
	if isServedRead && isTooOld && !statement.excused {
		checker.violations = append(checker.violations, violationf(ruleStaleness, entry.Time,
			"%s is answered by %s from a replication position %v older than the one that it has to see",
			fact.ID, fact.Endpoint, statement.MinPosition-fact.Position))
	}
	if !fact.Disconnected {
		checker.isReplica[endpointOf(fact.Router, fact.Incarnation, fact.Endpoint)] = !fact.IsPrimary
	}
}
