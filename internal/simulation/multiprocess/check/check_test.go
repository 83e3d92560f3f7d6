package check

import (
	"testing"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

const ms = time.Millisecond

var testLimits = Limits{DrainGrace: 500 * ms, LateTolerance: 50 * ms, NotificationTimeout: 6 * time.Second}

// The facts that most cases use: a request and its statement, from the first incarnation of router r1 to endpoint db1.
var (
	requestSent = history.RequestSent{
		ID: "q", Class: "view", Site: "n", Router: "r1", Incarnation: 1, Timeout: 100 * ms,
	}
	readArrived = history.StatementArrived{
		ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Connection: "c1",
	}
	writeArrived = history.StatementArrived{
		ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Connection: "c1", IsWrite: true,
	}
	executed = history.StatementExecuted{
		ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Served: true,
	}
)

// event is a fact and its time in milliseconds.
type event struct {
	milliseconds int
	fact         history.Fact
}

func answered(outcome history.Outcome) history.RequestEnded {
	return history.RequestEnded{ID: "q", Outcome: outcome}
}

// killed returns the event that an incarnation of a router was killed.
func killed(router string, incarnation int) history.ProcessEvent {
	return history.ProcessEvent{Router: router, Incarnation: incarnation, Event: "is killed"}
}

// frozen returns the event that the first incarnation of r1 was frozen for 100 ms.
func frozen() history.ProcessEvent {
	return history.ProcessEvent{Router: "r1", Incarnation: 1, Event: "is stopped", Duration: 100 * ms}
}

// onSecondEndpoint returns the same statement at another endpoint, on another connection.
func onSecondEndpoint(statement history.StatementArrived) history.StatementArrived {
	statement.Endpoint = "db2"
	statement.Connection = "c2"
	return statement
}

func executedOnSecondEndpoint() history.StatementExecuted {
	statement := executed
	statement.Endpoint = "db2"
	return statement
}

func readArrivedFrom(router string, incarnation int) history.StatementArrived {
	return history.StatementArrived{ID: "q", Router: router, Incarnation: incarnation, Endpoint: "db1"}
}

func notified(state string) history.EndpointStateNotified {
	return history.EndpointStateNotified{Router: "r1", Incarnation: 1, Endpoint: "db1", State: state}
}

func notifiedOverImpairedLink(state string) history.EndpointStateNotified {
	fact := notified(state)
	fact.LinkImpaired = true
	return fact
}

func abandoned(connection string) history.ConnectionAbandoned {
	return history.ConnectionAbandoned{Connection: connection}
}

// readWithMinPosition returns a read that has to see at least position 100.
func readWithMinPosition(wasPrimary bool) history.StatementArrived {
	return history.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100, WasPrimary: wasPrimary}
}

func executedAtPosition(position time.Duration, served bool) history.StatementExecuted {
	return history.StatementExecuted{ID: "q", Endpoint: "db1", Served: served, Position: position}
}

// ruleCase is a history that violates one rule, or comes close to a violation.
type ruleCase struct {
	name     string
	wantRule string // empty when no rule is broken
	events   []event
}

// runRuleCases applies all rules to each history and expects exactly the violation of its case.
func runRuleCases(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var entries []history.Entry
			for _, event := range test.events {
				at := time.Duration(event.milliseconds) * ms
				entries = append(entries, history.Entry{Time: at, Fact: event.fact})
			}
			violations := Run(testLimits, entries, All...)
			switch {
			case test.wantRule == "" && len(violations) > 0:
				t.Fatalf("got %v, want no violation", violations)
			case test.wantRule != "" && (len(violations) != 1 || violations[0].Rule != test.wantRule):
				t.Fatalf("got %v, want one violation of %q", violations, test.wantRule)
			}
		})
	}
}

func TestRequestEnds(t *testing.T) {
	runRuleCases(t, []ruleCase{
		{"served", "", []event{{0, requestSent}, {99, answered(history.Served)}}},
		{"just in time", "", []event{{0, requestSent}, {150, answered(history.Rejected)}}},
		{"too late", "late", []event{{0, requestSent}, {151, answered(history.Rejected)}}},
		{"unanswered", "lost", []event{{0, requestSent}, {5000, answered(history.Unanswered)}}},
		{"without an end", "lost", []event{{0, requestSent}}},
		{"disconnected", "lost", []event{{0, requestSent}, {9, answered(history.Disconnected)}}},
		{"answered twice", "answered", []event{
			{0, requestSent}, {9, answered(history.Served)}, {10, answered(history.Served)},
		}},
		{"bytes after the answer", "answered", []event{
			{0, requestSent}, {9, history.RequestEnded{ID: "q", ExtraBytes: 5}},
		}},
		{"router killed", "", []event{
			{0, requestSent}, {5, killed("r1", 1)}, {9, answered(history.Disconnected)},
		}},
		{"another router killed", "lost", []event{
			{0, requestSent}, {5, killed("r2", 1)}, {9, answered(history.Disconnected)},
		}},
		{"earlier incarnation killed", "lost", []event{
			{0, killed("r1", 0)}, {1, requestSent}, {9, answered(history.Disconnected)},
		}},
		{"router frozen long before", "late", []event{
			{0, frozen()}, {500, requestSent}, {700, answered(history.Served)},
		}},
		{"router frozen meanwhile", "", []event{
			{0, requestSent}, {50, frozen()}, {700, answered(history.Served)},
		}},
		{"a ready router is not excused", "late", []event{
			{0, history.ProcessEvent{Router: "r1", Incarnation: 1, Ready: true}},
			{1, requestSent},
			{700, answered(history.Served)},
		}},
		{"connection closed before the request was read", "", []event{
			{0, requestSent}, {9, answered(history.ClosedByPeer)},
		}},
		{"connection closed after the request was forwarded", "lost", []event{
			{0, requestSent}, {5, readArrived}, {9, answered(history.ClosedByPeer)}, {10, executed},
		}},
	})
}

func TestWritesExecutedOnce(t *testing.T) {
	notServed := history.StatementExecuted{ID: "q", Endpoint: "db1"}
	disconnected := history.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Disconnected: true}
	runRuleCases(t, []ruleCase{
		{"a read executed twice", "", []event{{0, readArrived}, {1, executed}, {2, readArrived}, {3, executed}}},
		{"a write executed twice", "twice", []event{
			{0, writeArrived}, {1, executed}, {2, onSecondEndpoint(writeArrived)}, {3, executedOnSecondEndpoint()},
		}},
		{"a write not executed at first", "", []event{
			{0, writeArrived}, {1, notServed}, {2, onSecondEndpoint(writeArrived)}, {3, executedOnSecondEndpoint()},
		}},
		{"a write executed after its connection ended", "twice", []event{
			{0, writeArrived}, {1, disconnected}, {2, onSecondEndpoint(writeArrived)}, {3, executedOnSecondEndpoint()},
		}},
	})
}

func TestOneCopyInFlight(t *testing.T) {
	secondArrived := onSecondEndpoint(readArrived)
	runRuleCases(t, []ruleCase{
		{"two copies at once", "copies", []event{
			{0, readArrived}, {5, secondArrived}, {9, executed}, {10, executedOnSecondEndpoint()},
		}},
		{"first connection abandoned", "", []event{
			{0, readArrived}, {4, abandoned("c1")}, {5, secondArrived}, {9, executed},
		}},
		{"another connection abandoned", "copies", []event{
			{0, readArrived}, {4, abandoned("c9")}, {5, secondArrived}, {9, executed},
		}},
		{"first connection abandoned much later", "copies", []event{
			{0, readArrived}, {5, secondArrived}, {300, abandoned("c1")},
		}},
		{"abandonment recorded a little too late", "", []event{
			{0, readArrived}, {5, secondArrived}, {20, abandoned("c1")},
		}},
	})
}

func TestDrainingEndpoints(t *testing.T) {
	heldByProxy := readArrivedFrom("r1", 1)
	heldByProxy.TransitTime = 200 * ms
	runRuleCases(t, []ruleCase{
		{"within the grace time", "", []event{{0, notified("draining")}, {500, readArrived}, {501, executed}}},
		{"after the grace time", "drain", []event{{0, notified("draining")}, {501, readArrived}, {502, executed}}},
		{"sent in time and held by the proxy", "", []event{
			{0, notified("draining")}, {700, heldByProxy}, {702, executed},
		}},
		{"sent by a router that was not notified", "", []event{
			{0, notified("draining")}, {900, readArrivedFrom("r2", 1)}, {902, executed},
		}},
		{"sent by the next incarnation", "", []event{
			{0, notified("draining")}, {900, readArrivedFrom("r1", 2)}, {902, executed},
		}},
		{"ready again", "", []event{
			{0, notified("draining")}, {400, notified("ready")}, {900, readArrived}, {901, executed},
		}},
		{"notified again", "drain", []event{
			{0, notified("draining")}, {400, notified("draining")}, {501, readArrived}, {502, executed},
		}},
		{"notification could not arrive", "", []event{
			{0, notifiedOverImpairedLink("gone")}, {6500, readArrived}, {6501, executed},
		}},
		{"notification had time to arrive", "drain", []event{
			{0, notifiedOverImpairedLink("gone")}, {6501, readArrived}, {6502, executed},
		}},
	})
}

func TestWarmingUpEndpoints(t *testing.T) {
	runRuleCases(t, []ruleCase{
		{"overloaded while warming up", "cold", []event{{0, history.EndpointOverloaded{Endpoint: "db1"}}}},
	})
}

func TestStaleness(t *testing.T) {
	runRuleCases(t, []ruleCase{
		{"fresh enough", "", []event{{0, readWithMinPosition(false)}, {1, executedAtPosition(100, true)}}},
		{"too old", "stale", []event{{0, readWithMinPosition(false)}, {1, executedAtPosition(99, true)}}},
		{"too old and rejected", "", []event{{0, readWithMinPosition(false)}, {1, executedAtPosition(99, false)}}},
		{"answered by a former primary", "", []event{
			{0, readWithMinPosition(true)}, {1, executedAtPosition(99, true)},
		}},
		{"answered by a former primary that is known as a replica", "stale", []event{
			{0, history.StatementArrived{ID: "p", Endpoint: "db1", WasPrimary: true}},
			{1, history.StatementExecuted{ID: "p", Endpoint: "db1"}},
			{2, readWithMinPosition(true)},
			{3, executedAtPosition(99, true)},
		}},
	})
}
