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
		t.Fatalf("first backoff %v until %v, want the minimum", health.recoveryBackoff, health.recoveryAt)
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
		t.Errorf("backoff %v after the relapse window, want %v", health.recoveryBackoff, minRecoveryBackoff)
	}
}

func TestHealthRecovery(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name                      string
		health                    endpointHealth
		awaitsReport, recoveryDue bool
	}{
		{"not suspect", endpointHealth{reportedSinceAttempt: true}, false, false},
		{"backing off", endpointHealth{suspect: true, recoveryAt: now + ms}, false, false},
		{"backoff over, no report", endpointHealth{suspect: true, recoveryAt: now}, true, false},
		{"backoff over, reported", endpointHealth{suspect: true, recoveryAt: now, reportedSinceAttempt: true}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.health.awaitsReport(now); got != c.awaitsReport {
				t.Errorf("awaitsReport() = %v, want the opposite", got)
			}
			if got := c.health.recoveryDue(now); got != c.recoveryDue {
				t.Errorf("recoveryDue() = %v, want the opposite", got)
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
		t.Errorf("%+v after the reset, want the zero value", health)
	}
}

// A failed connection is not an outage if a health check succeeds: the write is sent to the same primary again.
func TestOneFailedConnectionIsNotAnOutage(t *testing.T) {
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
		t.Fatalf("%d writes sent to a silent primary, want at most 20", sends)
	}
}

// A network that breaks some connections to all endpoints must neither make endpoints or primaries suspect nor make
// endpoints warm up.
func TestOneBrokenConnectionIsNotAnOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a") // answers the health checks of the first use
	acts := h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	if len(actionsOf[HealthCheck](acts)) == 0 {
		t.Fatal("no health check after a broken connection, want one")
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

func TestBrokenConnectionsOfUnreachableEndpointAreAnOutage(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.reportAll("a")
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset})
	h.step(ms, HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed})
	h.expectSends(h.step(ms, h.request("write")), "b") // the primary is suspect, so the next endpoint in order is tried
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

// Connections that break occasionally, even several in a row, are neither an outage nor a restart of their endpoint.
func TestBrokenConnectionsAreNotARestart(t *testing.T) {
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
	// An endpoint that was unreachable once and answers again has not restarted either.
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	h.step(
		ms,
		AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusReset},
		HealthCheckResult{Endpoint: "a", Status: StatusConnectFailed},
	)
	n := h.balancer.endpoints["a"]
	if !n.health.suspect {
		t.Fatal("endpoint is not suspect, want it suspect after it was unreachable")
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
		t.Fatalf("suspect %v, warm-up factor %v, want it warm and not suspect", n.health.suspect, h.balancer.warmupFactor(n))
	}
}

// An endpoint that alternates between failure and recovery gets its recovery attempts after a longer backoff each time.
func TestRelapseExtendsBackoff(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	var backoffs []time.Duration
	for range 3 {
		h.balancer.now = h.now
		h.balancer.markSuspect(n, "answers nothing")
		n.health.recoveryAt = h.now + 600*ms // longer than the staleness bound of bounded reads
		backoffs = append(backoffs, n.health.recoveryBackoff)
		n.health.suspect = false
		h.now += 3 * time.Second
	}
	if backoffs[1] <= backoffs[0] || backoffs[2] <= backoffs[1] {
		t.Fatalf("backoffs %v, want them to increase", backoffs)
	}
	h.now += time.Minute
	h.balancer.now = h.now
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // longer than the staleness bound of bounded reads
	if n.health.recoveryBackoff != backoffs[0] {
		t.Fatalf("backoff %v after a minute without failure, want %v", n.health.recoveryBackoff, backoffs[0])
	}
}

// A suspect replica is checked again when its position has expired: otherwise no bounded read could ever try it.
func TestSuspectReplicaIsTriedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	h.balancer.markSuspect(n, "answers nothing")
	n.health.recoveryAt = h.now + 600*ms // longer than the staleness bound of bounded reads
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
	t.Fatal("no read was sent to suspect replica b within 2 s")
}
