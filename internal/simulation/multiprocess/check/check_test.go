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
		out = append(out, h.Entry{At: time.Duration(pairs[i].(int)) * ms, Fact: pairs[i+1].(h.Fact)})
	}
	return out
}

var (
	asked = h.Asked{ID: "q", Class: "view", Site: "n", Router: "r1", Life: 1, Within: 100 * ms}
	came  = h.Came{ID: "q", Router: "r1", Life: 1, Member: "db1", Conn: "c1"}
	write = h.Came{ID: "q", Router: "r1", Life: 1, Member: "db1", Conn: "c1", Write: true}
	ran   = h.Ran{ID: "q", Router: "r1", Life: 1, Member: "db1", Served: true}
	drain = h.Told{Router: "r1", Life: 1, Member: "db1", State: "draining"}
)

func elsewhere(c h.Came) h.Came { c.Member, c.Conn = "db2", "c2"; return c }
func ranAt(member string) h.Ran {
	r := ran
	r.Member = member
	return r
}

// Each rule is seen to be broken by the least that breaks it, and not by what comes close to it.
func TestRules(t *testing.T) {
	for name, c := range map[string]struct {
		rule string // "" = none is broken
		all  []h.Entry
	}{
		"served":                      {"", at(0, asked, 99, h.Answered{ID: "q"})},
		"just in time":                {"", at(0, asked, 150, h.Answered{ID: "q", How: h.Refused})},
		"too late":                    {"late", at(0, asked, 151, h.Answered{ID: "q", How: h.Refused})},
		"never":                       {"lost", at(0, asked, 5000, h.Answered{ID: "q", How: h.Silent})},
		"no end at all":               {"lost", at(0, asked)},
		"broken off":                  {"lost", at(0, asked, 9, h.Answered{ID: "q", How: h.Broken})},
		"twice":                       {"answered", at(0, asked, 9, h.Answered{ID: "q"}, 10, h.Answered{ID: "q"})},
		"more behind":                 {"answered", at(0, asked, 9, h.Answered{ID: "q", Extra: 5})},
		"killed":                      {"", at(0, asked, 5, h.Process{Router: "r1", Life: 1, What: "is killed"}, 9, h.Answered{ID: "q", How: h.Broken})},
		"another was killed":          {"lost", at(0, asked, 5, h.Process{Router: "r2", Life: 1, What: "is killed"}, 9, h.Answered{ID: "q", How: h.Broken})},
		"killed before":               {"lost", at(0, h.Process{Router: "r1", Life: 0, What: "is killed"}, 1, asked, 9, h.Answered{ID: "q", How: h.Broken})},
		"frozen long before":          {"late", at(0, h.Process{Router: "r1", Life: 1, What: "is stopped", For: 100 * ms}, 500, asked, 700, h.Answered{ID: "q"})},
		"frozen meanwhile":            {"", at(0, asked, 50, h.Process{Router: "r1", Life: 1, What: "is stopped", For: 100 * ms}, 700, h.Answered{ID: "q"})},
		"being ready is no excuse":    {"late", at(0, h.Process{Router: "r1", Life: 1, Ready: true}, 1, asked, 700, h.Answered{ID: "q"})},
		"crossed":                     {"", at(0, asked, 9, h.Answered{ID: "q", How: h.Crossed})},
		"crossed though it was taken": {"lost", at(0, asked, 5, came, 9, h.Answered{ID: "q", How: h.Crossed}, 10, ran)},

		"a read runs twice":             {"", at(0, came, 1, ran, 2, came, 3, ran)},
		"a write runs twice":            {"twice", at(0, write, 1, ran, 2, elsewhere(write), 3, ranAt("db2"))},
		"a write that did not run":      {"", at(0, write, 1, h.Ran{ID: "q", Member: "db1"}, 2, elsewhere(write), 3, ranAt("db2"))},
		"a write that ran and was gone": {"twice", at(0, write, 1, h.Ran{ID: "q", Member: "db1", Served: true, Gone: true}, 2, elsewhere(write), 3, ranAt("db2"))},

		"two at once":             {"copies", at(0, came, 5, elsewhere(came), 9, ran, 10, ranAt("db2"))},
		"one given up":            {"", at(0, came, 4, h.GivenUp{Conn: "c1"}, 5, elsewhere(came), 9, ran)},
		"another given up":        {"copies", at(0, came, 4, h.GivenUp{Conn: "c9"}, 5, elsewhere(came), 9, ran)},
		"given up much later":     {"copies", at(0, came, 5, elsewhere(came), 300, h.GivenUp{Conn: "c1"})},
		"noted a little too late": {"", at(0, came, 5, elsewhere(came), 20, h.GivenUp{Conn: "c1"})},

		"within the grace":      {"", at(0, drain, 500, came, 501, ran)},
		"behind the grace":      {"drain", at(0, drain, 501, came, 502, ran)},
		"held on its way":       {"", at(0, drain, 700, h.Came{ID: "q", Router: "r1", Life: 1, Member: "db1", Held: 200 * ms}, 702, ran)},
		"by one not told":       {"", at(0, drain, 900, h.Came{ID: "q", Router: "r2", Life: 1, Member: "db1"}, 902, ran)},
		"by its next life":      {"", at(0, drain, 900, h.Came{ID: "q", Router: "r1", Life: 2, Member: "db1"}, 902, ran)},
		"ready again":           {"", at(0, drain, 400, h.Told{Router: "r1", Life: 1, Member: "db1", State: "ready"}, 900, came, 901, ran)},
		"told again":            {"drain", at(0, drain, 400, drain, 501, came, 502, ran)},
		"it could not arrive":   {"", at(0, h.Told{Router: "r1", Life: 1, Member: "db1", State: "gone", Cut: true}, 6500, came, 6501, ran)},
		"it had time to arrive": {"drain", at(0, h.Told{Router: "r1", Life: 1, Member: "db1", State: "gone", Cut: true}, 6501, came, 6502, ran)},

		"pushed over": {"cold", at(0, h.Pushed{Member: "db1"})},

		"fresh enough":          {"", at(0, h.Came{ID: "q", Member: "db1", See: 100}, 1, h.Ran{ID: "q", Member: "db1", Served: true, Position: 100})},
		"too old":               {"stale", at(0, h.Came{ID: "q", Member: "db1", See: 100}, 1, h.Ran{ID: "q", Member: "db1", Served: true, Position: 99})},
		"sent back":             {"", at(0, h.Came{ID: "q", Member: "db1", See: 100}, 1, h.Ran{ID: "q", Member: "db1", Position: 99})},
		"one that led":          {"", at(0, h.Came{ID: "q", Member: "db1", See: 100, Led: true}, 1, h.Ran{ID: "q", Member: "db1", Served: true, Position: 99})},
		"one that led and said": {"stale", at(0, h.Came{ID: "p", Member: "db1", Led: true}, 1, h.Ran{ID: "p", Member: "db1"}, 2, h.Came{ID: "q", Member: "db1", See: 100, Led: true}, 3, h.Ran{ID: "q", Member: "db1", Served: true, Position: 99})},
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
