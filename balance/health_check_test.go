package balance

import (
	"testing"
	"time"
)

func TestHealthCheckBudget(t *testing.T) {
	budget := newHealthCheckBudget(healthCheckShare) // a request earns one health check
	for range int(initialHealthCheckBudget) {
		if !budget.available() {
			t.Fatal("budget exhausted, want the whole initial budget")
		}
		budget.spend()
	}
	if budget.available() {
		t.Fatal("budget available after the initial budget was spent")
	}
	if budget.earn(); !budget.available() {
		t.Error("budget not available after a request earned a health check")
	}
	for range 100 {
		budget.earn()
	}
	if budget.tokens != maxHealthCheckBudget {
		t.Errorf("%v tokens saved up, want %v", budget.tokens, maxHealthCheckBudget)
	}
	budget = newHealthCheckBudget(0)
	if budget.perRequest != healthCheckShare/minHealthCheckCost {
		t.Errorf("a request earns %v tokens if health checks are free, want as at the minimum cost", budget.perRequest)
	}
}

func TestHealthCheckMayRepeat(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name  string
		state healthCheckState
		want  bool
	}{
		{"never checked", healthCheckState{}, true},
		{"checked just now", healthCheckState{sentAt: now - healthCheckInterval + 1}, false},
		{"after the interval", healthCheckState{sentAt: now - healthCheckInterval}, true},
		{"in flight", healthCheckState{sentAt: now - healthCheckInterval, inFlight: true}, false},
		{"in flight too long, counts as lost", healthCheckState{sentAt: now - activeWindow - 1, inFlight: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.mayRepeat(now, healthCheckInterval); got != c.want {
				t.Errorf("mayRepeat() = %v, want the opposite", got)
			}
		})
	}
}

func TestFirstUseChecksAllEndpoints(t *testing.T) {
	h := newHarness(t, testConfig(), threeEndpoints(ListCached))
	acts := h.step(ms, h.request("latest"), h.request("bounded"))
	h.expectSends(acts)
	if got := len(actionsOf[HealthCheck](acts)); got != 3 {
		t.Fatalf("%d health checks on first use, want 3", got)
	}
	acts = h.step(ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.expectSends(acts, "b") // the bounded read waits for the outstanding reports
	h.expectSends(
		h.step(ms, HealthCheckResult{Endpoint: "c", Status: StatusDone, Role: RoleReplica, Position: h.now}),
		"c",
	)
}

// Health checks cost work at the endpoints: reads that repeatedly find no replica must not cause one health check each.
func TestHealthCheckBudgetLimitsPositionChecks(t *testing.T) {
	c := testConfig()
	c.HealthCheckCost = 0.05
	h := newReadyHarness(t, c)
	h.step(ms, h.request("bounded"))
	h.reportAll("a") // answers the health checks of the first use
	checks, reads := 0, 400
	for range reads {
		q := h.request("bounded")
		acts := h.step(10*ms, q)
		for _, s := range actionsOf[Send](acts) {
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
		}
		for _, p := range actionsOf[HealthCheck](acts) {
			checks++
			h.step(
				0,
				HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - time.Second},
			)
		}
	}
	if checks == 0 || checks > reads/4 {
		t.Fatalf("%d health checks for %d reads, want some, but at most one per four reads", checks, reads)
	}
}

// A report is older than the response that carries it. So a suspect primary must be checked again until it reports its
// role at a time after it became suspect; otherwise it would get no writes.
func TestSuspectPrimaryIsCheckedAgain(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["a"]
	q := h.request("write")
	h.expectSends(h.step(ms, q), "a")
	for !n.health.suspect {
		h.step(50 * ms)
	}
	h.step(ms, AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusTimedOut, Finished: true})
	h.step(
		ms,
		HealthCheckResult{Endpoint: "a", Status: StatusDone, Role: RolePrimary, Position: n.health.suspectSince - 10*ms},
	)
	for range 40 {
		acts := h.step(50*ms, h.request("write"))
		if sent := actionsOf[Send](acts); len(sent) > 0 {
			return
		}
		for _, p := range actionsOf[HealthCheck](acts) { // all reports are 60 ms old
			role := map[bool]Role{true: RolePrimary, false: RoleReplica}[p.Endpoint == "a"]
			acts := h.step(
				ms,
				HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now - 60*ms},
			)
			if sent := actionsOf[Send](acts); len(sent) > 0 {
				return
			}
		}
	}
	t.Fatal("no write was sent within 2 s after the primary answered health checks")
}

// If a group has no primary, its replicas' lag keeps growing, and pending reads must cause ever fewer health checks. If
// the list names the primary, an instance with a fractional share sends no health check until a read needs one.
func TestStalledReplicasAreCheckedRarely(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	c.HealthCheckCost = 0.08
	l := threeEndpoints(ListCached)
	l.Entries[0].Primary = true
	h := newHarness(t, c, l)
	if n := len(actionsOf[HealthCheck](h.step(ms, h.request("write")))); n != 0 {
		t.Errorf("%d health checks at first use, want none", n)
	}
	h.reportAll("a")
	stalledAt := h.now
	checks := 0
	for range 50 {
		h.balancer.healthChecks.tokens = 8
		for _, p := range actionsOf[HealthCheck](h.step(200*ms, h.request("bounded"))) {
			checks++
			h.step(2*ms, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: stalledAt})
		}
	}
	if checks < 10 || checks > 30 { // of two replicas in 10 s
		t.Errorf("%d health checks in 10 s, want 10 to 30", checks)
	}
}

// Only one report at a time is requested for a pending read, however often the instance wakes up meanwhile.
func TestPendingReadSendsOneHealthCheck(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	c.HealthCheckCost = 0.08
	h := newReadyHarness(t, c)
	h.step(0, h.request("write")) // the first use checks all endpoints
	h.reportAll("a")
	h.balancer.healthChecks.tokens = 8
	checks := len(actionsOf[HealthCheck](h.step(time.Second, h.request("bounded")))) // all positions have expired
	for range 4 {
		checks += len(actionsOf[HealthCheck](h.step(10*ms, Wake{})))
	}
	if checks != 1 {
		t.Fatalf("%d health checks for one pending read, want 1", checks)
	}
	if len(actionsOf[HealthCheck](h.step(50*ms, Wake{}))) == 0 { // the first may be lost
		t.Fatal("no second health check 50 ms later, want one in case the first was lost")
	}
}

// The health check budget is spent on the replicas whose last reported lag was within the staleness bound, whatever
// their position in the sorted order.
func TestPositionChecksGoToRecentReplicas(t *testing.T) {
	for _, recent := range []string{"b", "c"} {
		h := newReadyHarness(t, testConfig())
		checks := 0
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, s := range actionsOf[Send](acts) {
				run(h.step(ms, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true}))
			}
			for _, p := range actionsOf[HealthCheck](acts) {
				role, lag := RoleReplica, 10*time.Second
				switch p.Endpoint {
				case "a":
					role = RolePrimary
				case recent:
					lag = 250 * ms
					checks++
				}
				if p.Endpoint != recent && checks > 1 {
					t.Fatalf("health check of %s, want it only of the recent replica", p.Endpoint)
				}
				run(h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now - lag}))
			}
		}
		for range 30 { // all are checked at the first use
			h.balancer.healthChecks.tokens = 1
			run(h.step(600*ms, h.request("bounded")))
		}
		if checks < 20 {
			t.Fatalf("%s got %d health checks, want at least 20", recent, checks)
		}
	}
}
