package balance

import (
	"testing"
	"time"
)

func TestGroupInUse(t *testing.T) {
	const now = 100 * time.Second
	inUse := map[Time]bool{0: false, now - activeWindow - 1: false, now - activeWindow: true, now: true}
	for lastRequestAt, want := range inUse {
		group := &replicaGroup{lastRequestAt: lastRequestAt}
		if got := group.inUse(now); got != want {
			t.Errorf("last request at %v: inUse() = %v, want the opposite", lastRequestAt, got)
		}
	}
}

func TestIdleGroup(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name  string
		group replicaGroup
		want  bool
	}{
		{"not checked yet", replicaGroup{}, false},
		{"nothing pending", replicaGroup{firstChecksSent: true}, true},
		{"a request is pending", replicaGroup{firstChecksSent: true, pending: []*request{{}}}, false},
		{"an endpoint may be suspect", replicaGroup{firstChecksSent: true, hasSuspects: true}, false},
		{"a read found no available replica in this step", replicaGroup{firstChecksSent: true, positionNeededAt: now}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.group.idle(now); got != c.want {
				t.Errorf("idle() = %v, want the opposite", got)
			}
		})
	}
}

func TestGroupsAndEndpointsAreSorted(t *testing.T) {
	b, err := New(testConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []int64{3, 1, 2} {
		b.groupFor(id).add(&endpoint{id: "b"})
		b.groupFor(id).add(&endpoint{id: "a"})
	}
	for i, group := range b.sortedGroups {
		if group.id != int64(i+1) || group.endpoints[0].id != "a" || group.endpoints[1].id != "b" {
			t.Errorf("group %d at index %d with first endpoint %s, want groups and endpoints sorted",
				group.id, i, group.endpoints[0].id)
		}
	}
}
