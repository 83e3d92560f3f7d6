package balance

import (
	"testing"
	"time"
)

// A commit that is no longer kept by session is not forgotten: no session read goes to a replica that joins and may
// lack it. The replica is asked for its position although the others can serve the reads.
func TestReplicaThatJoinsIsAskedForOldCommits(t *testing.T) {
	h := newReadyHarness(t, rememberingConfig())
	written := h.commit(5, 1, "a")
	h.step(100 * ms)
	h.reportAll("a")
	for range 3 {
		h.step(commitRetention/2 + time.Second)
	}
	if kept := len(h.balancer.sessionCommits.latest); kept > 0 {
		t.Fatalf("%d commits are kept by session, want none after %v", kept, commitRetention)
	}
	h.join("d")
	checked := 0
	for range 20 {
		read := h.request("session")
		actions := h.step(ms, read)
		for _, check := range actionsOf[HealthCheck](actions) {
			if check.Endpoint == "d" {
				checked++
			}
		}
		for _, send := range actionsOf[Send](actions) {
			if send.Endpoint == "d" {
				t.Fatal("a read of the session went to d, which may lack its write")
			}
			h.step(ms, AttemptResult{
				ID: send.ID, Endpoint: send.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true,
			})
		}
	}
	if checked != 1 {
		t.Errorf("%d health checks of d, want 1", checked)
	}
	h.report("d", written+commitRounding)
	if got := h.readersOf(5, 1); got["d"] == 0 {
		t.Errorf("reads of the session went to %v, want some at d, which has applied the write", got)
	}
}

func TestCommitAppliedEverywhere(t *testing.T) {
	ready := func(id string, position Time) *endpoint {
		return &endpoint{
			id: id, discovery: discoveryState{state: EndpointReady}, replication: replicationState{position: position},
		}
	}
	removed := &endpoint{id: "z", discovery: discoveryState{state: EndpointRemoved}}
	for _, c := range []struct {
		name      string
		endpoints []*endpoint
		want      bool
	}{
		{"all ready endpoints have it", []*endpoint{ready("a", 5*time.Second), ready("b", 7*time.Second), removed}, true},
		{"one ready endpoint lacks it", []*endpoint{ready("a", 4*time.Second), ready("b", 7*time.Second)}, false},
		{"the position of one is not known", []*endpoint{ready("a", 0), ready("b", 7*time.Second)}, false},
		{"no endpoint is ready", []*endpoint{removed}, false},
		{"there is no endpoint", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &Balancer{groups: map[int64]*replicaGroup{1: {id: 1, endpoints: c.endpoints}}}
			if got := b.appliedEverywhere(1, 5*time.Second); got != c.want {
				t.Errorf("appliedEverywhere() = %v, want the opposite", got)
			}
		})
	}
	if !(&Balancer{}).appliedEverywhere(1, time.Second) {
		t.Error("a commit of a group that is not known counts as missing somewhere")
	}
}

// Commits of any number of sessions take a bounded amount of memory, even if no replica ever reports its position, and
// none is lost: what is required of a read never decreases.
func TestSessionCommitsAreBounded(t *testing.T) {
	commits := newSessionCommits()
	const sessions = 3 * maxSessionCommits
	for i := range int64(sessions) {
		commits.record(sessionInGroup{session: i, group: i % 3}, time.Duration(i)*ms)
		commits.record(sessionInGroup{session: i, group: i % 3}, time.Duration(i/2)*ms)
	}
	if kept := len(commits.latest); kept > maxSessionCommits || len(commits.older) != 3 {
		t.Errorf("%d commits are kept by session, and positions of %d groups; want at most %d and 3",
			kept, len(commits.older), maxSessionCommits)
	}
	for i := range int64(sessions) {
		if got := commits.required(sessionInGroup{session: i, group: i % 3}); got < time.Duration(i)*ms {
			t.Fatalf("position %v is required of session %d, want at least that of its commit", got, i)
		}
	}
	if got := commits.required(sessionInGroup{session: sessions, group: 4}); got != 0 {
		t.Errorf("position %v is required in a group without commits, want 0", got)
	}
	newest := commits.older[0]
	if age := time.Duration(sessions)*ms - newest; age < maxSessionCommits/3*ms {
		t.Errorf("the newest commit that is not kept by session is %v old, want the oldest ones merged first", age)
	}
}
