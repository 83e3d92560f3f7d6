package check

import (
	"testing"
	"time"

	h "limeladder/internal/simulation/multiprocess/history"
)

const ms = time.Millisecond

var rules = Rules{Grace: 500 * ms, Late: 50 * ms, Unarrived: 6 * time.Second}

// at puts facts on the clock, some milliseconds each.
func at(pairs ...any) (out []h.Entry) {
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, h.Entry{Time: time.Duration(pairs[i].(int)) * ms, Fact: pairs[i+1].(h.Fact)})
	}
	return out
}

var (
	asked = h.RequestSent{ID: "q", Class: "view", Site: "n", Router: "r1", Incarnation: 1, Timeout: 100 * ms}
	came  = h.StatementArrived{ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Connection: "c1"}
	write = h.StatementArrived{ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Connection: "c1", IsWrite: true}
	ran   = h.StatementExecuted{ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", Served: true}
	drain = h.EndpointStateNotified{Router: "r1", Incarnation: 1, Endpoint: "db1", State: "draining"}
)

func elsewhere(c h.StatementArrived) h.StatementArrived {
	c.Endpoint, c.Connection = "db2", "c2"
	return c
}

func ranAt(member string) h.StatementExecuted {
	r := ran
	r.Endpoint = member
	return r
}

// Each rule is seen to be broken by the least that breaks it, and not by what comes close to it.
func TestRules(t *testing.T) {
	for name, c := range map[string]struct {
		rule string // "" = none is broken
		all  []h.Entry
	}{
		"served":                      {"", at(0, asked, 99, h.RequestEnded{ID: "q"})},
		"just in time":                {"", at(0, asked, 150, h.RequestEnded{ID: "q", Outcome: h.Rejected})},
		"too late":                    {"late", at(0, asked, 151, h.RequestEnded{ID: "q", Outcome: h.Rejected})},
		"never":                       {"lost", at(0, asked, 5000, h.RequestEnded{ID: "q", Outcome: h.Unanswered})},
		"no end at all":               {"lost", at(0, asked)},
		"broken off":                  {"lost", at(0, asked, 9, h.RequestEnded{ID: "q", Outcome: h.Disconnected})},
		"twice":                       {"answered", at(0, asked, 9, h.RequestEnded{ID: "q"}, 10, h.RequestEnded{ID: "q"})},
		"more behind":                 {"answered", at(0, asked, 9, h.RequestEnded{ID: "q", ExtraMessages: 5})},
		"killed":                      {"", at(0, asked, 5, h.ProcessEvent{Router: "r1", Incarnation: 1, Event: "is killed"}, 9, h.RequestEnded{ID: "q", Outcome: h.Disconnected})},
		"another was killed":          {"lost", at(0, asked, 5, h.ProcessEvent{Router: "r2", Incarnation: 1, Event: "is killed"}, 9, h.RequestEnded{ID: "q", Outcome: h.Disconnected})},
		"killed before":               {"lost", at(0, h.ProcessEvent{Router: "r1", Incarnation: 0, Event: "is killed"}, 1, asked, 9, h.RequestEnded{ID: "q", Outcome: h.Disconnected})},
		"frozen long before":          {"late", at(0, h.ProcessEvent{Router: "r1", Incarnation: 1, Event: "is stopped", Duration: 100 * ms}, 500, asked, 700, h.RequestEnded{ID: "q"})},
		"frozen meanwhile":            {"", at(0, asked, 50, h.ProcessEvent{Router: "r1", Incarnation: 1, Event: "is stopped", Duration: 100 * ms}, 700, h.RequestEnded{ID: "q"})},
		"being ready is no excuse":    {"late", at(0, h.ProcessEvent{Router: "r1", Incarnation: 1, Ready: true}, 1, asked, 700, h.RequestEnded{ID: "q"})},
		"crossed":                     {"", at(0, asked, 9, h.RequestEnded{ID: "q", Outcome: h.ClosedByPeer})},
		"crossed though it was taken": {"lost", at(0, asked, 5, came, 9, h.RequestEnded{ID: "q", Outcome: h.ClosedByPeer}, 10, ran)},

		"a read runs twice":             {"", at(0, came, 1, ran, 2, came, 3, ran)},
		"a write runs twice":            {"twice", at(0, write, 1, ran, 2, elsewhere(write), 3, ranAt("db2"))},
		"a write that did not run":      {"", at(0, write, 1, h.StatementExecuted{ID: "q", Endpoint: "db1"}, 2, elsewhere(write), 3, ranAt("db2"))},
		"a write that ran and was gone": {"twice", at(0, write, 1, h.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Disconnected: true}, 2, elsewhere(write), 3, ranAt("db2"))},

		"two at once":             {"copies", at(0, came, 5, elsewhere(came), 9, ran, 10, ranAt("db2"))},
		"one given up":            {"", at(0, came, 4, h.ConnectionAbandoned{Connection: "c1"}, 5, elsewhere(came), 9, ran)},
		"another given up":        {"copies", at(0, came, 4, h.ConnectionAbandoned{Connection: "c9"}, 5, elsewhere(came), 9, ran)},
		"given up much later":     {"copies", at(0, came, 5, elsewhere(came), 300, h.ConnectionAbandoned{Connection: "c1"})},
		"noted a little too late": {"", at(0, came, 5, elsewhere(came), 20, h.ConnectionAbandoned{Connection: "c1"})},

		"within the grace":      {"", at(0, drain, 500, came, 501, ran)},
		"behind the grace":      {"drain", at(0, drain, 501, came, 502, ran)},
		"held on its way":       {"", at(0, drain, 700, h.StatementArrived{ID: "q", Router: "r1", Incarnation: 1, Endpoint: "db1", TransitTime: 200 * ms}, 702, ran)},
		"by one not told":       {"", at(0, drain, 900, h.StatementArrived{ID: "q", Router: "r2", Incarnation: 1, Endpoint: "db1"}, 902, ran)},
		"by its next life":      {"", at(0, drain, 900, h.StatementArrived{ID: "q", Router: "r1", Incarnation: 2, Endpoint: "db1"}, 902, ran)},
		"ready again":           {"", at(0, drain, 400, h.EndpointStateNotified{Router: "r1", Incarnation: 1, Endpoint: "db1", State: "ready"}, 900, came, 901, ran)},
		"told again":            {"drain", at(0, drain, 400, drain, 501, came, 502, ran)},
		"it could not arrive":   {"", at(0, h.EndpointStateNotified{Router: "r1", Incarnation: 1, Endpoint: "db1", State: "gone", LinkImpaired: true}, 6500, came, 6501, ran)},
		"it had time to arrive": {"drain", at(0, h.EndpointStateNotified{Router: "r1", Incarnation: 1, Endpoint: "db1", State: "gone", LinkImpaired: true}, 6501, came, 6502, ran)},

		"pushed over": {"cold", at(0, h.EndpointOverloaded{Endpoint: "db1"})},

		"fresh enough":          {"", at(0, h.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100}, 1, h.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Position: 100})},
		"too old":               {"stale", at(0, h.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100}, 1, h.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Position: 99})},
		"sent back":             {"", at(0, h.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100}, 1, h.StatementExecuted{ID: "q", Endpoint: "db1", Position: 99})},
		"one that led":          {"", at(0, h.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100, WasPrimary: true}, 1, h.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Position: 99})},
		"one that led and said": {"stale", at(0, h.StatementArrived{ID: "p", Endpoint: "db1", WasPrimary: true}, 1, h.StatementExecuted{ID: "p", Endpoint: "db1"}, 2, h.StatementArrived{ID: "q", Endpoint: "db1", MinPosition: 100, WasPrimary: true}, 3, h.StatementExecuted{ID: "q", Endpoint: "db1", Served: true, Position: 99})},
	} {
		t.Run(name, func(t *testing.T) {
			got := Run(rules, c.all, All...)
			switch {
			case c.rule == "" && len(got) > 0:
				t.Fatalf("%v", got)
			case c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule):
				t.Fatalf("%v, not one of %s", got, c.rule)
			}
		})
	}
}
