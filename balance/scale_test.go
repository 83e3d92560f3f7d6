package balance

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// One of 350 instances in front of 1,024 endpoints in one list: each group is served at its own endpoints, none is
// forgotten, and a change of the list that withdraws half of them at once binds all of it.
func TestThousandEndpointsAtOneOfManyInstances(t *testing.T) {
	c := testConfig()
	c.Instances = 350
	l := EndpointList{Kind: ListFull}
	for i := range manyEndpoints {
		l.Entries = append(l.Entries, manyEntry(i, EndpointReady))
	}
	m := &manyGroups{harness: newHarness(t, c, l), used: map[string]int{}, left: map[string]bool{}}
	m.serve(60)
	for group, served := range m.served {
		if served < 55 {
			t.Errorf("group %d: %d of 60 sent", group, served)
		}
	}
	if len(m.used) < manyEndpoints*9/10 {
		t.Errorf("%d endpoints used of %d", len(m.used), manyEndpoints)
	}
	d := EndpointList{Kind: ListDelta}
	for i := manyEndpoints / 2; i < manyEndpoints; i++ {
		entry := manyEntry(i, EndpointDraining)
		m.left[entry.Endpoint] = true
		d.Entries = append(d.Entries, entry)
	}
	m.step(time.Millisecond, d)
	m.served = [manyEndpointGroups]int{}
	m.serve(20)
	for group, served := range m.served {
		if served < 15 {
			t.Errorf("group %d: %d of 20 sent with half of its endpoints leaving", group, served)
		}
	}
}

const (
	manyEndpoints      = 1024
	manyEndpointGroups = 64
)

// manyEntry is the i-th of the many endpoints: the first of each group are primaries.
func manyEntry(i int, state EndpointState) EndpointEntry {
	return EndpointEntry{
		Endpoint: fmt.Sprint("n", i),
		Zone:     "a",
		Group:    int64(i % manyEndpointGroups),
		State:    state,
		Primary:  i < manyEndpointGroups && state == EndpointReady,
	}
}

// manyGroups plays requests for many groups and answers them.
type manyGroups struct {
	*harness
	used   map[string]int // attempts by endpoint
	served [manyEndpointGroups]int
	left   map[string]bool // endpoints that drain
}

// serve plays rounds of a request for each group.
func (m *manyGroups) serve(rounds int) {
	m.t.Helper()
	for range rounds {
		for group := range int64(manyEndpointGroups) {
			m.requestCount++
			id := fmt.Sprint("q", m.requestCount)
			request := Request{ID: id, Class: "any", Group: group, TimeLeft: time.Second}
			answers := m.answer(group, m.step(5*time.Millisecond, request))
			for len(answers) > 0 {
				answers = m.answer(group, m.step(5*time.Millisecond, answers...))
			}
		}
	}
}

// answer checks that attempts go to endpoints of the group, and answers what was sent.
func (m *manyGroups) answer(group int64, actions []Action) []Event {
	m.t.Helper()
	var answers []Event
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			m.checkEndpoint(group, action.Endpoint)
			m.used[action.Endpoint]++
			m.served[group]++
			answers = append(answers, AttemptResult{
				ID: action.ID, Endpoint: action.Endpoint, Status: StatusDone, Finished: true,
				Elapsed: 5 * time.Millisecond, Role: RoleReplica, Position: m.now,
			})
		case HealthCheck:
			answers = append(answers, HealthCheckResult{
				Endpoint: action.Endpoint, Status: StatusDone, Role: RoleReplica, Position: m.now,
			})
		}
	}
	return answers
}

func (m *manyGroups) checkEndpoint(group int64, id string) {
	m.t.Helper()
	number, err := strconv.ParseInt(strings.TrimPrefix(id, "n"), 10, 64)
	if err != nil {
		m.t.Fatal(err)
	}
	if number%manyEndpointGroups != group || m.left[id] {
		m.t.Fatalf("group %d is sent to %s, left: %v", group, id, m.left[id])
	}
}
