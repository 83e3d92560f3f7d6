package balance

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// One of 350 instances has a list of 1,024 endpoints. Requests of each group must go to the group's endpoints, nearly
// all endpoints must be used, and after a list change that drains half of them at once, none of those may be used.
func TestThousandEndpointsAtOneOfManyInstances(t *testing.T) {
	c := testConfig()
	c.Instances = 350
	l := EndpointList{Kind: ListFull}
	for i := range manyEndpoints {
		l.Entries = append(l.Entries, manyEntry(i, EndpointReady))
	}
	m := &manyGroups{harness: newHarness(t, c, l), used: map[string]int{}, draining: map[string]bool{}}
	m.serve(60)
	for group, served := range m.served {
		if served < 55 {
			t.Errorf("group %d: %d of 60 requests sent, want at least 55", group, served)
		}
	}
	if len(m.used) < manyEndpoints*9/10 {
		t.Errorf("%d of %d endpoints used, want at least 90 %%", len(m.used), manyEndpoints)
	}
	d := EndpointList{Kind: ListDelta}
	for i := manyEndpoints / 2; i < manyEndpoints; i++ {
		entry := manyEntry(i, EndpointDraining)
		m.draining[entry.Endpoint] = true
		d.Entries = append(d.Entries, entry)
	}
	m.step(time.Millisecond, d)
	m.served = [manyEndpointGroups]int{}
	m.serve(20)
	for group, served := range m.served {
		if served < 15 {
			t.Errorf("group %d: %d of 20 requests sent while half of the endpoints drain, want at least 15", group, served)
		}
	}
}

const (
	manyEndpoints      = 1024
	manyEndpointGroups = 64
)

// manyEntry returns the list entry of the i-th endpoint. The first endpoint of each group is its primary.
func manyEntry(i int, state EndpointState) EndpointEntry {
	return EndpointEntry{
		Endpoint: fmt.Sprint("n", i),
		Zone:     "a",
		Group:    int64(i % manyEndpointGroups),
		State:    state,
		Primary:  i < manyEndpointGroups && state == EndpointReady,
	}
}

// manyGroups is a harness that sends requests to many groups and answers the attempts.
type manyGroups struct {
	*harness
	used     map[string]int          // attempts per endpoint
	served   [manyEndpointGroups]int // attempts per group
	draining map[string]bool         // ids of the endpoints that drain
}

// serve sends one request to each group per round.
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

// answer checks that attempts go to endpoints of the group, and returns the results of attempts and health checks.
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
	if number%manyEndpointGroups != group || m.draining[id] {
		m.t.Fatalf("request of group %d sent to %s (draining: %v), want an endpoint of the group that is not draining",
			group, id, m.draining[id])
	}
}
