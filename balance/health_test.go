package balance

import (
	"testing"
	"time"
)

func TestHealthBackoff(t *testing.T) {
	now := 100 * time.Second
	var health endpointHealth
	health.markSuspect(now)
	if health.recoveryBackoff != minRecoveryBackoff || health.recoveryAt != now+minRecoveryBackoff {
		t.Fatalf("first backoff %v until %v", health.recoveryBackoff, health.recoveryAt)
	}
	for range 5 {
		health.extendBackoff(now)
	}
	if health.recoveryBackoff != maxRecoveryBackoff {
		t.Errorf("backoff %v after five failures, want %v", health.recoveryBackoff, maxRecoveryBackoff)
	}
	health.clearSuspicion()
	now += relapseWindow + ms
	health.markSuspect(now)
	if health.recoveryBackoff != minRecoveryBackoff {
		t.Errorf("backoff %v after a quiet time, want %v", health.recoveryBackoff, minRecoveryBackoff)
	}
}

func TestHealthRecovery(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name                 string
		health               endpointHealth
		awaitsReport, mayTry bool
	}{
		{"not suspect", endpointHealth{reportedSinceAttempt: true}, false, false},
		{"backing off", endpointHealth{suspect: true, recoveryAt: now + ms}, false, false},
		{"backoff over, no report", endpointHealth{suspect: true, recoveryAt: now}, true, false},
		{"backoff over, reported", endpointHealth{suspect: true, recoveryAt: now, reportedSinceAttempt: true}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.health.awaitsReport(now); got != c.awaitsReport {
				t.Errorf("awaits a report: %v", got)
			}
			if got := c.health.recoveryDue(now); got != c.mayTry {
				t.Errorf("recovery due: %v", got)
			}
		})
	}
}

func TestHealthReset(t *testing.T) {
	health := endpointHealth{
		suspect: true, unreachable: true, unreachableAgain: true, recoveryAt: never,
		brokenConnections: 2, refusedConnections: 1,
	}
	health.reset()
	if health != (endpointHealth{}) {
		t.Errorf("%+v is left", health)
	}
}

// A connection that could not be opened is no outage for this instance if a health check passes: the same primary
// again.
func TestOneFailedConnectionIsNoOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusConnectFailed})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.expectSends(h.step(100*ms), "a")
}

func TestWritesDoNotPileUpOnASilentPrimary(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sends := 0
	for range 300 {
		acts := h.step(10*ms, h.request("write"))
		sends += len(actionsOf[Send](acts))
	}
	if sends > 20 {
		t.Fatalf("%d writes went to a silent primary", sends)
	}
}

// A network that breaks some connections everywhere must not make endpoints suspect or warming up, nor primaries
// suspect.
func TestOneBrokenConnectionIsNoOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a") // the probes of the first use
	acts := h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	if len(actionsOf[HealthCheck](acts)) == 0 {
		t.Fatal("the member is not asked whether it is there")
	}
	h.expectSends(
		h.step(
			ms,
			HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now},
			h.request("write"),
		),
		"a",
	)
}

func TestBrokenConnectionsOfADeadEndpointAreAnOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	h.expectSends(h.step(ms, h.request("write")), "b") // in doubt: the next in order
	h = newReadyHarness(t, testConfig())
	var ids []string
	for range 3 {
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		ids = append(ids, q.ID)
	}
	var all []Event
	for _, id := range ids {
		all = append(all, AttemptResult{ID: id, Endpoint: "a", Status: StatusReset})
	}
	h.expectSends(h.step(ms, all...))
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	h.expectSends(h.step(ms, h.request("write")), "b")
}

// Connections that break now and then, several in a row too, are neither an outage of their endpoint nor a restart.
func TestBrokenConnectionsAreNoRestart(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for range 20 {
		for range 4 {
			q := h.request("write")
			h.expectSends(h.step(ms, q), "a")
			h.step(
				ms,
				AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset},
				HealthCheckResult{Endpoint: "a", Status: StatusReset},
			)
		}
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		h.step(
			ms,
			AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary},
		)
	}
	// Nor is one a restart that could not be reached once and answers again.
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(
		ms,
		AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset},
		HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed},
	)
	n := h.balancer.endpoints["a"]
	if !n.health.suspect {
		t.Fatal("a member that cannot be reached is in doubt")
	}
	h.step(
		maxRecoveryBackoff,
		HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: h.now + maxRecoveryBackoff},
	)
	q = h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(
		ms,
		AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary},
	)
	if n.health.suspect || h.balancer.warmupFactor(n) < 1 {
		t.Fatalf("suspect %v, warmth %v", n.health.suspect, h.balancer.warmupFactor(n))
	}
}

// An endpoint that fails and recovers by turns gets its recovery attempts later each time.
func TestRelapseWaitsLonger(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	var waits []time.Duration
	for range 3 {
		h.balancer.now = h.now
		h.balancer.markSuspect(n, "answers nothing")
		n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
		waits = append(waits, n.health.recoveryBackoff)
		n.health.suspect = false
		h.now += 3 * time.Second
	}
	if waits[1] <= waits[0] || waits[2] <= waits[1] {
		t.Fatalf("waits %v", waits)
	}
	h.now += time.Minute
	h.balancer.now = h.now
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
	if n.health.recoveryBackoff != waits[0] {
		t.Fatalf("%v after a quiet minute, want %v", n.health.recoveryBackoff, waits[0])
	}
}

// A suspect replica is checked again when its position has aged, or no bounded read may ever try it.
func TestSuspectReplicaIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // beyond the bound of the read
	h.step(ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RoleReplica, Position: h.now})
	for range 200 {
		acts := h.step(10*ms, h.request("bounded"))
		for _, s := range actionsOf[Send](acts) {
			if s.Endpoint == "b" {
				return
			}
			h.step(
				0,
				AttemptResult{
					ID:       s.ID,
					Endpoint: s.Endpoint,
					Status:   StatusDone,
					Elapsed:  ms,
					Finished: true,
					Role:     RoleReplica,
					Position: h.now,
				},
			)
		}
		for _, p := range actionsOf[HealthCheck](acts) {
			h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now})
		}
	}
	t.Fatal("no read has tried it for two seconds")
}
