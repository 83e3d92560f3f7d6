package check

import (
	"math"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// RequestEnds checks that each request that a router has accepted is answered once and in time, unless that router was
// stopped, frozen or disconnected from its client in the meantime.
func RequestEnds(limits Limits, entries []history.Entry) []Violation {
	checker := requestChecker{
		limits:  limits,
		open:    map[string]openRequest{},
		arrived: map[string]bool{},
		outages: collectOutages(limits, entries),
	}
	for _, entry := range entries {
		switch fact := entry.Fact.(type) {
		case history.RequestSent:
			checker.open[fact.ID] = openRequest{fact, entry.Time}
		case history.StatementArrived:
			checker.arrived[fact.ID] = true
		case history.RequestEnded:
			checker.requestEnded(fact, entry.Time)
		}
	}
	checker.reportOpenRequests()
	return checker.violations
}

// outage is a period in which an incarnation of a router can't be expected to answer.
type outage struct{ start, end time.Duration }

// collectOutages returns the outages of each incarnation of a router.
func collectOutages(limits Limits, entries []history.Entry) map[routerIncarnation][]outage {
	outages := map[routerIncarnation][]outage{}
	for _, entry := range entries {
		event, ok := entry.Fact.(history.ProcessEvent)
		if !ok || event.Ready {
			continue
		}
		end := time.Duration(math.MaxInt64)
		if event.Duration > 0 {
			end = entry.Time + event.Duration + limits.LateTolerance
		}
		key := routerIncarnation{event.Router, event.Incarnation}
		outages[key] = append(outages[key], outage{entry.Time, end})
	}
	return outages
}

// openRequest is a request that has no outcome yet.
type openRequest struct {
	history.RequestSent
	sentAt time.Duration
}

func (request openRequest) routerIncarnation() routerIncarnation {
	return routerIncarnation{request.Router, request.Incarnation}
}

// requestChecker follows the requests of one history.
type requestChecker struct {
	limits     Limits
	open       map[string]openRequest // by id
	arrived    map[string]bool        // by id: a statement of the request has arrived at an endpoint
	outages    map[routerIncarnation][]outage
	violations []Violation
}

func (checker *requestChecker) report(rule string, at time.Duration, format string, args ...any) {
	checker.violations = append(checker.violations, violationf(rule, at, format, args...))
}

func (checker *requestChecker) requestEnded(ended history.RequestEnded, at time.Duration) {
	request, ok := checker.open[ended.ID]
	if !ok {
		checker.report(ruleAnswered, at, "request %s is answered but was not sent, or is answered twice", ended.ID)
		return
	}
	delete(checker.open, ended.ID)
	if ended.ExtraBytes > 0 {
		checker.report(ruleAnswered, at, "request %s gets %d bytes after its answer", ended.ID, ended.ExtraBytes)
	}
	if !checker.isExcused(request, at) {
		checker.checkOutcome(request, ended.Outcome, at)
	}
}

// isExcused reports whether an outage of the request's router overlaps the request.
func (checker *requestChecker) isExcused(request openRequest, endedAt time.Duration) bool {
	for _, outage := range checker.outages[request.routerIncarnation()] {
		if outage.start <= endedAt && request.sentAt <= outage.end {
			return true
		}
	}
	return false
}

// checkOutcome checks the outcome of a request that isn't excused.
func (checker *requestChecker) checkOutcome(request openRequest, outcome history.Outcome, at time.Duration) {
	took := at - request.sentAt
	switch outcome {
	case history.ClosedByPeer:
		// The client may repeat the request safely, so this is not a loss unless the router had forwarded it before.
		if checker.arrived[request.ID] {
			checker.report(ruleLost, at, "request %s was forwarded by %s.%d, which then closed its connection unanswered",
				request.ID, request.Router, request.Incarnation)
		}
	case history.Disconnected, history.Unanswered:
		checker.report(ruleLost, at, "request %s (%s) at %s.%d is %v after %v",
			request.ID, request.Class, request.Router, request.Incarnation, outcome, took)
	default:
		if took > request.Timeout+checker.limits.LateTolerance {
			checker.report(ruleLate, at, "request %s (%s) at %s.%d is %v after %v, with a timeout of %v",
				request.ID, request.Class, request.Router, request.Incarnation, outcome, took, request.Timeout)
		}
	}
}

// reportOpenRequests reports the requests that have no outcome at the end of the history.
func (checker *requestChecker) reportOpenRequests() {
	for id, request := range checker.open {
		checker.report(ruleLost, request.sentAt, "request %s has no outcome", id)
	}
}
