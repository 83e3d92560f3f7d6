package balance

import (
	"testing"
)

func TestPreferredReplicas(t *testing.T) {
	local, remote := []*endpoint{{id: "b"}}, []*endpoint{{id: "c"}}
	for _, c := range []struct {
		name       string
		candidates replicaCandidates
		want       string
	}{
		{"the own zone first", replicaCandidates{local: local, remote: remote}, "b"},
		{"another zone if there is none", replicaCandidates{remote: remote}, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.candidates.preferred(); len(got) != 1 || got[0].id != c.want {
				t.Errorf("got replicas %v, want %s", got, c.want)
			}
		})
	}
}

func TestOwnZoneFirst(t *testing.T) {
	l := threeEndpoints(ListCached)
	l.Entries[1].Zone = "far"
	h := newHarness(t, testConfig(), l)
	h.reportAll("a")
	for range 5 {
		h.expectSends(h.step(ms, h.request("any")), "c")
	}
}

func TestRandomDrawUsesBothReplicas(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	seen := map[string]int{}
	for range 40 {
		q := h.request("any")
		s := h.expectSends(h.step(ms, q), "bc")[0]
		seen[s.Endpoint]++
		h.step(ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
	}
	if seen["b"] < 5 || seen["c"] < 5 {
		t.Fatalf("got sends %v by endpoint, want at least 5 to each of b and c", seen)
	}
}

func TestReadMissGoesToAnotherReplicaThenThePrimary(t *testing.T) {
	c := testConfig()
	c.FreshnessCheck = FreshnessCheckReject
	h := newReadyHarness(t, c)
	h.now += 500 * ms // the positions are too old: any replica may be tried
	q := h.request("bounded")
	first := h.expectSends(h.step(0, q), "bc")[0].Endpoint
	other := map[string]string{"b": "c", "c": "b"}[first]
	h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Endpoint: first, Status: StatusMiss, Role: RoleReplica}), other)
	h.expectSends(
		h.step(ms, AttemptResult{ID: q.ID, Attempt: 1, Endpoint: other, Status: StatusMiss, Role: RoleReplica}),
		"a",
	)
}

// When no replica has recent data, weak reads must not use the whole capacity of the primary, since writes cannot go
// elsewhere.
func TestWeakReadsLeaveThePrimaryCapacity(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.now += 400 * ms // the positions are too old
	for range 40 {
		h.step(0, h.request("bounded"))
	}
	h.expectSends(h.step(0, h.request("write")), "a")
}
