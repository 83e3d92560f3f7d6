package balance

import (
	"testing"
	"time"
)

func TestHealthCheckBudget(t *testing.T) {
	budget := newHealthCheckBudget(healthCheckShare) // a request earns one health check
	for range int(initialHealthCheckBudget) {
		if !budget.available() {
			t.Fatal("the initial budget is not available")
		}
		budget.spend()
	}
	if budget.available() {
		t.Fatal("more than the initial budget is available")
	}
	if budget.earn(); !budget.available() {
		t.Error("a request has earned nothing")
	}
	for range 100 {
		budget.earn()
	}
	if budget.tokens != maxHealthCheckBudget {
		t.Errorf("%v saved up, want %v", budget.tokens, maxHealthCheckBudget)
	}
	budget = newHealthCheckBudget(0)
	if budget.perRequest != healthCheckShare/minHealthCheckCost {
		t.Errorf("free health checks: a request earns %v", budget.perRequest)
	}
}

func TestHealthCheckRepeats(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name  string
		state healthCheckState
		want  bool
	}{
		{"never checked", healthCheckState{}, true},
		{"checked just now", healthCheckState{sentAt: now - healthCheckInterval + 1}, false},
		{"the interval is over", healthCheckState{sentAt: now - healthCheckInterval}, true},
		{"one is in flight", healthCheckState{sentAt: now - healthCheckInterval, inFlight: true}, false},
		{"the one in flight is lost", healthCheckState{sentAt: now - activeWindow - 1, inFlight: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.mayRepeat(now, healthCheckInterval); got != c.want {
				t.Errorf("may repeat: %v", got)
			}
		})
	}
}

func TestFirstUseChecksAllEndpoints(t *testing.T) {
	h := newHarness(t, testConfig(), threeEndpoints(ListCached))
	acts := h.step(ms, h.request("latest"), h.request("bounded"))
	h.expectSends(acts)
	if got := len(actionsOf[HealthCheck](acts)); got != 3 {
		t.Fatalf("%d probes on first use, want 3", got)
	}
	acts = h.step(ms, HealthCheckResult{Endpoint: "b", Status: StatusDone, Role: RolePrimary, Position: h.now})
	h.expectSends(acts, "b") // the read waits for the reports that are on their way
	h.expectSends(
		h.step(ms, HealthCheckResult{Endpoint: "c", Status: StatusDone, Role: RoleReplica, Position: h.now}),
		"c",
	)
}

// Health checks have a price: reads that keep finding no replica must not turn into a health check each.
func TestPositionChecksAreEarned(t *testing.T) {
	c := testConfig()
	c.HealthCheckCost = 0.05
	h := newReadyHarness(t, c)
	h.step(ms, h.request("bounded"))
	h.reportAll("a") // the probes of the first use
	probes, asked := 0, 400
	for range asked {
		q := h.request("bounded")
		acts := h.step(10*ms, q)
		for _, s := range actionsOf[Send](acts) {
			h.step(0, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
		}
		for _, p := range actionsOf[HealthCheck](acts) {
			probes++
			h.step(
				0,
				HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: h.now - time.Second},
			)
		}
	}
	if probes == 0 || probes > asked/4 {
		t.Fatalf("%d probes for %d reads", probes, asked)
	}
}

// A suspect primary is checked until it reports something newer than the suspicion: a report is older than its
// answer.
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
	t.Fatal("no write is tried for two seconds")
}

// A group has no primary, and its replicas stand still, further behind each second: reads that could not go there
// cause fewer and fewer health checks. Where the list names the primary, an instance of many sends none before a read
// needs it.
func TestStalledReplicasAreCheckedRarely(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	c.HealthCheckCost = 0.08
	l := threeEndpoints(ListCached)
	l.Entries[0].Primary = true
	h := newHarness(t, c, l)
	if n := len(actionsOf[HealthCheck](h.step(ms, h.request("write")))); n != 0 {
		t.Errorf("%d probes at first use", n)
	}
	h.reportAll("a")
	still := h.now
	probes := 0
	for range 50 {
		h.balancer.healthChecks.tokens = 8
		for _, p := range actionsOf[HealthCheck](h.step(200*ms, h.request("bounded"))) {
			probes++
			h.step(2*ms, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: RoleReplica, Position: still})
		}
	}
	if probes < 10 || probes > 30 { // of two in ten seconds
		t.Errorf("%d probes", probes)
	}
}

// One report at a time is requested where a read is pending for one, however often the instance is woken meanwhile.
func TestPendingReadSendsOneHealthCheck(t *testing.T) {
	c := testConfig()
	c.Instances = 80
	c.HealthCheckCost = 0.08
	h := newReadyHarness(t, c)
	h.step(0, h.request("write")) // the first use asks all
	h.reportAll("a")
	h.balancer.healthChecks.tokens = 8
	probes := len(actionsOf[HealthCheck](h.step(time.Second, h.request("bounded")))) // all positions have aged
	for range 4 {
		probes += len(actionsOf[HealthCheck](h.step(10*ms, Wake{})))
	}
	if probes != 1 {
		t.Fatalf("%d reports asked for", probes)
	}
	if len(actionsOf[HealthCheck](h.step(50*ms, Wake{}))) == 0 { // that one may be lost
		t.Fatal("no other is asked")
	}
}

// The health check budget is spent on replicas that were recent enough when they last reported, each in its turn.
func TestPositionChecksGoToRecentReplicas(t *testing.T) {
	for _, recent := range []string{"b", "c"} {
		h := newReadyHarness(t, testConfig())
		asked := 0
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
					asked++
				}
				if p.Endpoint != recent && asked > 1 {
					t.Fatalf("%s is asked", p.Endpoint)
				}
				run(h.step(0, HealthCheckResult{Endpoint: p.Endpoint, Status: StatusDone, Role: role, Position: h.now - lag}))
			}
		}
		for range 30 { // at the first use all are asked
			h.balancer.healthChecks.tokens = 1
			run(h.step(600*ms, h.request("bounded")))
		}
		if asked < 20 {
			t.Fatalf("%s is asked %d times", recent, asked)
		}
	}
}
