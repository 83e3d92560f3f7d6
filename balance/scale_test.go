package balance

import (
	"fmt"
	"testing"
	"time"
)

// One of 350 instances in front of 1,024 endpoints in one list: each group is served at its own endpoints, none is
// forgotten, and a change of the list that withdraws half of them at once binds all of it.
func TestThousandEndpointsAtOneOfManyInstances(t *testing.T) {
	const members, groups, instances = 1024, 64, 350
	c := testConfig()
	c.Instances = instances
	l := EndpointList{Kind: ListFull}
	for i := range members {
		l.Entries = append(
			l.Entries,
			EndpointEntry{
				Endpoint: fmt.Sprint("n", i),
				Zone:     "a",
				Group:    int64(i % groups),
				State:    EndpointReady,
				Primary:  i < groups,
			},
		)
	}
	h := newHarness(t, c, l)
	used, served, left := map[string]int{}, map[int64]int{}, map[string]bool{}
	serve := func(rounds int) {
		for range rounds {
			for g := range int64(groups) {
				h.requestCount++
				id := fmt.Sprint("q", h.requestCount)
				acts := h.step(5*time.Millisecond, Request{ID: id, Class: "any", Group: g, TimeLeft: time.Second})
				for len(acts) > 0 {
					var back []Event
					for _, a := range acts {
						switch a := a.(type) {
						case Send:
							var at int
							fmt.Sscanf(a.Endpoint, "n%d", &at)
							if int64(at%groups) != g || left[a.Endpoint] {
								t.Fatalf("group %d is sent to %s, left: %v", g, a.Endpoint, left[a.Endpoint])
							}
							used[a.Endpoint]++
							served[g]++
							back = append(back, AttemptResult{
								ID: id, Endpoint: a.Endpoint, Status: StatusDone, Finished: true, Elapsed: 5 * time.Millisecond,
								Role: RoleReplica, Position: h.now,
							})
						case HealthCheck:
							back = append(back, HealthCheckResult{
								Endpoint: a.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now,
							})
						}
					}
					if len(back) == 0 {
						break
					}
					acts = h.step(5*time.Millisecond, back...)
				}
			}
		}
	}
	serve(60)
	for g := range int64(groups) {
		if served[g] < 55 {
			t.Errorf("group %d: %d of 60 sent", g, served[g])
		}
	}
	if len(used) < members*9/10 {
		t.Errorf("%d members used of %d", len(used), members)
	}
	d := EndpointList{Kind: ListDelta}
	for i := members / 2; i < members; i++ {
		left[fmt.Sprint("n", i)] = true
		d.Entries = append(
			d.Entries,
			EndpointEntry{Endpoint: fmt.Sprint("n", i), Zone: "a", Group: int64(i % groups), State: EndpointDraining},
		)
	}
	h.step(time.Millisecond, d)
	served = map[int64]int{}
	serve(20)
	for g := range int64(groups) {
		if served[g] < 15 {
			t.Errorf("group %d: %d of 20 sent with half of its members leaving", g, served[g])
		}
	}
}
