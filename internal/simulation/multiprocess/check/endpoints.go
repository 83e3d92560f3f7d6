package check

import (
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// stateReady is the state in the endpoint list of an endpoint that accepts requests.
const stateReady = "ready"

// DrainingEndpoints checks that nothing is sent to an endpoint later than the grace time after its router was notified
// that the endpoint drains or is gone. A statement that the proxy has delayed counts as sent when it entered the proxy.
func DrainingEndpoints(limits Limits, entries []history.Entry) []Violation {
	var violations []Violation
	notifiedAt := map[routerEndpoint]time.Duration{}
	for _, entry := range entries {
		switch fact := entry.Fact.(type) {
		case history.EndpointStateNotified:
			recordNotification(limits, notifiedAt, fact, entry.Time)
		case history.StatementArrived:
			notified, leaves := notifiedAt[endpointOf(fact.Router, fact.Incarnation, fact.Endpoint)]
			sentAt := entry.Time - fact.TransitTime
			if leaves && sentAt > notified+limits.DrainGrace {
				violations = append(violations, violationf(ruleDraining, entry.Time,
					"%s.%d sends %s to %s %v after it was notified that the endpoint is draining or gone",
					fact.Router, fact.Incarnation, fact.ID, fact.Endpoint, sentAt-notified))
			}
		}
	}
	return violations
}

// recordNotification keeps the earliest time at which a router must know that an endpoint is draining or gone, until it
// is notified that the endpoint is ready again.
func recordNotification(
	limits Limits, notifiedAt map[routerEndpoint]time.Duration, fact history.EndpointStateNotified, at time.Duration,
) {
	key := endpointOf(fact.Router, fact.Incarnation, fact.Endpoint)
	if fact.State == stateReady {
		delete(notifiedAt, key)
		return
	}
	if fact.LinkImpaired {
		at += limits.NotificationTimeout
	}
	earlier, known := notifiedAt[key]
	if !known || at < earlier {
		notifiedAt[key] = at
	}
}

// WarmingUpEndpoints checks that no endpoint is overloaded by all routers together while it is warming up.
func WarmingUpEndpoints(_ Limits, entries []history.Entry) []Violation {
	var violations []Violation
	for _, entry := range entries {
		if fact, ok := entry.Fact.(history.EndpointOverloaded); ok {
			violations = append(violations, Violation{ruleWarmingUp, entry.Time, fact.String()})
		}
	}
	return violations
}
