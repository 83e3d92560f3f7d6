package balance

import (
	"testing"
	"time"
)

// rememberingConfig returns a configuration in which clients carry no session token.
func rememberingConfig() Config {
	c := testConfig()
	c.ClientSessionTokens = false
	return c
}

// commit lets the session write to the group, with the endpoint as its primary, and returns the commit's position.
func (h *harness) commit(session, group int64, primary string) Time {
	h.t.Helper()
	write := h.request("write")
	write.SessionID = session
	write.Group = group
	h.expectSends(h.step(ms, write), primary)
	h.step(20*ms, AttemptResult{
		ID: write.ID, Endpoint: primary, Status: StatusDone, Elapsed: 20 * ms, Finished: true, Role: RolePrimary,
		Position: h.now,
	})
	return h.now - 20*ms
}

// report passes a health check result of a replica.
func (h *harness) report(endpoint string, position Time) {
	h.step(0, HealthCheckResult{Endpoint: endpoint, Status: StatusDone, Role: RoleReplica, Position: position})
}

// readersOf sends many reads of the session in the group, answers each, and returns how many each endpoint got. The
// endpoints answer without their position.
func (h *harness) readersOf(session, group int64) map[string]int {
	h.t.Helper()
	got := map[string]int{}
	for range 60 {
		read := h.request("session")
		read.SessionID = session
		read.Group = group
		sends := actionsOf[Send](h.step(ms, read))
		for len(sends) > 0 {
			send := sends[0]
			got[send.Endpoint]++
			answer := AttemptResult{
				ID: send.ID, Endpoint: send.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true,
			}
			sends = append(sends[1:], actionsOf[Send](h.step(ms, answer))...)
		}
	}
	return got
}

// join adds a replica to group 1.
func (h *harness) join(endpoint string) {
	h.step(0, EndpointList{
		Kind:    ListDelta,
		Entries: []EndpointEntry{{Endpoint: endpoint, Zone: "a", Group: 1, State: EndpointReady}},
	})
}

// A session's read must not go to a replica that joins after all others have applied the session's write, until it is
// known to have applied it too. Reads of other sessions may go there at once.
func TestSessionReadAvoidsReplicaThatJoinsBehindItsWrite(t *testing.T) {
	h := newReadyHarness(t, rememberingConfig())
	written := h.commit(5, 1, "a")
	h.step(100 * ms)
	h.reportAll("a")
	h.step(3 * time.Second) // state that is no longer needed expires
	h.step(time.Second)
	h.join("d")
	if got := h.readersOf(5, 1); got["d"] > 0 || got["b"] == 0 {
		t.Errorf("reads of the session went to %v, want none at d, which has not reported its position", got)
	}
	if got := h.readersOf(6, 1); got["d"] == 0 {
		t.Errorf("reads of a session without a write went to %v, want some at d", got)
	}
	h.report("d", written-time.Second)
	if got := h.readersOf(5, 1); got["d"] > 0 {
		t.Errorf("reads of the session went to %v, want none at d, whose data is older than the write", got)
	}
	h.report("d", h.now)
	if got := h.readersOf(5, 1); got["d"] == 0 {
		t.Errorf("reads of the session went to %v, want some at d, which has applied the write", got)
	}
}

// A write to another group must not make the router forget the session's write to the first one.
func TestCommitsOfGroupsAreSeparate(t *testing.T) {
	h := newReadyHarness(t, rememberingConfig())
	h.step(0, EndpointList{Kind: ListDelta, Entries: []EndpointEntry{
		{Endpoint: "p", Zone: "a", Group: 2, State: EndpointReady, Primary: true},
		{Endpoint: "r", Zone: "a", Group: 2, State: EndpointReady},
	}})
	h.commit(5, 1, "a")
	h.commit(5, 2, "p")
	h.step(ms, HealthCheckResult{Endpoint: "p", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.report("r", h.now)
	for range 3 {
		h.step(time.Second)
	}
	h.failAllHealthChecks()
	if got := h.readersOf(5, 1); got["b"]+got["c"] > 0 {
		t.Errorf("reads of the session went to %v, want none at b and c, which have not applied its write", got)
	}
}

// A commit is kept while all endpoints of its group are out of service: a replica may come back without it.
func TestCommitIsKeptWhileItsGroupIsOutOfService(t *testing.T) {
	config := rememberingConfig()
	config.SoftRemoval = true
	h := newReadyHarness(t, config)
	h.commit(5, 1, "a")
	removed := threeEndpoints(ListDelta)
	for i := range removed.Entries {
		removed.Entries[i].State = EndpointRemoved
	}
	h.step(ms, removed)
	for range 3 {
		h.step(10 * time.Second)
	}
	h.step(0, threeEndpoints(ListDelta))
	h.failAllHealthChecks()
	if got := h.readersOf(5, 1); got["b"]+got["c"] > 0 {
		t.Errorf("reads of the session went to %v, want none at b and c, which have not applied its write", got)
	}
}

// While another process of the router serves, and afterwards until the replicas have caught up with its end, the read
// of a session must see writes that went through that process.
func TestSessionReadSeesWritesOfTheOtherProcess(t *testing.T) {
	h := newReadyHarness(t, rememberingConfig())
	h.step(ms, OtherProcess{Serving: true})
	h.step(100 * ms)
	h.reportAll("a")
	if got := h.readersOf(5, 1); got["b"]+got["c"] > 0 || got["a"] == 0 {
		t.Errorf("reads while the other process serves went to %v, want all at the primary", got)
	}
	ended := h.now + ms
	h.step(ms, OtherProcess{Serving: false})
	h.report("b", ended-ms)
	h.report("c", ended)
	if got := h.readersOf(5, 1); got["b"] > 0 || got["c"] == 0 {
		t.Errorf("reads went to %v, want none at b, which has not caught up with the other process's end", got)
	}
	h.report("b", h.now)
	if got := h.readersOf(5, 1); got["b"] == 0 {
		t.Errorf("reads went to %v, want some at b, which has caught up", got)
	}
}
