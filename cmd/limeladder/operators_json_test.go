package main

import (
	"encoding/json"
	"testing"

	"limeladder/internal/sitefailover"
)

// The JSON returned to operators and the stored value of a replica group keep their format, because operators' scripts
// and later versions of the program read them.
func TestOperatorsJSONFormatIsStable(t *testing.T) {
	group := groupStatus{
		Group:           7,
		Phase:           "lost",
		Term:            3,
		Primary:         "s1",
		SinceMs:         1200,
		Pending:         5,
		OldestPendingMs: 900,
		InFlight:        2,
		Released:        40,
		Rejected:        map[string]uint64{"deadline": 1, "queue full": 2},
		History: []transitionStatus{
			{AgoMs: 1200, FromPhase: "steady", ToPhase: "lost", Evidence: "connection refused", Endpoint: "s1", Term: 3},
			{AgoMs: 100, FromPhase: "a", ToPhase: "b", Evidence: "none", Term: 4},
		},
	}
	report := siteReport{
		Ramps:     []siteRampStatus{{Site: "s", Share: 0.25, LimitedMs: 60_000}},
		LossPlans: []sitefailover.SiteLossPlan{{Site: "s"}},
		RejectedShares: []rejectedShareStatus{{
			RejectedShare: sitefailover.RejectedShare{
				Group: 7, Class: "look", Saturated: "replicas", Share: 0.25, Since: 1, Ending: true, PlannedShare: 0.5,
			},
			SinceMs: 300,
		}},
		Sites: []siteStatus{
			{
				Site: "s<1>", State: "lost", Kind: "links", SinceMs: 1500,
				Evidence: "2 of 2 known machines down", Endpoints: 2, Down: 2, Flaps: 1,
			},
			{Site: "n", State: "well", SinceMs: siteStateUnchanged, Endpoints: 3},
		},
		RejectedForSiteLoss: 12,
	}
	nothing := siteReport{Ramps: []siteRampStatus{}, RejectedShares: []rejectedShareStatus{}, Sites: []siteStatus{}}
	for _, test := range []struct {
		name  string
		value any
		want  string
	}{
		{
			"failover state",
			[]groupStatus{group},
			`[{"cell":7,"phase":"lost","term":3,"primary":"s1","since_ms":1200,"held":5,"oldest_ms":900,"out":2,` +
				`"released":40,"given_up":{"deadline":1,"queue full":2},"history":[` +
				`{"ago_ms":1200,"from":"steady","to":"lost","evidence":"connection refused","node":"s1","term":3},` +
				`{"ago_ms":100,"from":"a","to":"b","evidence":"none","term":4}]}]`,
		},
		{
			"site report", report,
			`{"paced":[{"site":"s","part":0.25,"bound_ms":60000}],` +
				`"plans":[{"site":"s","banks":null,"moves":null,"refused":null,"worth_kept":0,"worth_served":0}],` +
				`"refused":[{"bank":7,"class":"look","where":"replicas","part":0.25,"ends":true,"by_plan":0.5,` +
				`"since_ms":300}],` +
				`"sites":[{"site":"s\u003c1\u003e","state":"lost","kind":"links","since_ms":1500,` +
				`"evidence":"2 of 2 known machines down","machines":2,"down":2,"flaps":1},` +
				`{"site":"n","state":"well","kind":"","since_ms":-1,"evidence":"","machines":3,"down":0,"flaps":0}],` +
				`"turned_away":12}`,
		},
		{
			"site report of a router without known sites", nothing,
			`{"paced":[],"plans":null,"refused":[],"sites":[],"turned_away":0}`,
		},
		{"stored term of a group", groupTerm{Term: 3, Primary: "s1"}, `{"term":3,"primary":"s1"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := json.Marshal(test.value)
			if err != nil || string(encoded) != test.want {
				t.Errorf("%v\ngot  %s\nwant %s", err, encoded, test.want)
			}
		})
	}
}
