// Package check judges the history of a multi-process test against the router's rules.
//
// Each rule is a Check, a function of the recorded entries. The package owns the rules and nothing else: it never
// drives a test, knows no processes and keeps no state between two calls. Its functions run on the caller's
// goroutine. A new rule is a further function in All.
package check

import (
	"fmt"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// The names of the rules in a Violation.
const (
	ruleAnswered          = "answered" // a request gets one answer and nothing after it
	ruleLost              = "lost"     // a request gets an answer at all
	ruleLate              = "late"     // a request gets its answer within its timeout
	ruleWriteExecutedOnce = "twice"
	ruleOneCopyInFlight   = "copies"
	ruleDraining          = "drain"
	ruleWarmingUp         = "cold"
	ruleStaleness         = "stale"
)

// Limits are the time limits of the rules, including tolerances for what the test can't measure more exactly.
type Limits struct {
	DrainGrace          time.Duration // how long a router may send to an endpoint after it was notified that it drains
	LateTolerance       time.Duration // how long after its timeout an answer may come
	NotificationTimeout time.Duration // a notification over an impaired link counts as received after this
}

// Violation is one breach of a rule.
type Violation struct {
	Rule string
	Time time.Duration // of the entry that breaks the rule
	Text string
}

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", violation.Rule, violation.Time.Seconds(), violation.Text)
}

// Check returns the violations of one rule in a complete history.
type Check func(limits Limits, entries []history.Entry) []Violation

// All lists the checks of all rules.
var All = []Check{
	RequestEnds,
	WritesExecutedOnce,
	OneCopyInFlight,
	DrainingEndpoints,
	WarmingUpEndpoints,
	Staleness,
}

// Run applies checks in their order and returns all violations.
func Run(limits Limits, entries []history.Entry, checks ...Check) []Violation {
	var violations []Violation
	for _, check := range checks {
		violations = append(violations, check(limits, entries)...)
	}
	return violations
}

// violationf returns a violation whose text is formatted.
func violationf(rule string, at time.Duration, format string, args ...any) Violation {
	return Violation{Rule: rule, Time: at, Text: fmt.Sprintf(format, args...)}
}

// routerIncarnation identifies one incarnation of a router.
type routerIncarnation struct {
	router      string
	incarnation int
}

// routerEndpoint identifies an endpoint as seen by one incarnation of a router.
type routerEndpoint struct {
	routerIncarnation
	endpoint string
}

func endpointOf(router string, incarnation int, endpoint string) routerEndpoint {
	return routerEndpoint{routerIncarnation{router, incarnation}, endpoint}
}
