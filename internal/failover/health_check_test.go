package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// answerHealthChecks carries out the health checks that were requested, and returns their endpoints. All but n0-0
// answer.
func answerHealthChecks(tracker *Tracker, now time.Duration) (endpoints []string) {
	for _, action := range tracker.Actions() {
		if action.Kind == ActionHealthCheck {
			endpoints = append(endpoints, action.Endpoint)
			tracker.HealthCheckEnded(now, action.Endpoint, action.Endpoint != "n0-0", RoleReplica, 0)
		}
	}
	return endpoints
}

// Routers draw their own moments of health checks; the endpoint with the newest position is checked first; queued
// requests bound the number of checks.
func TestHealthChecksOfOneRouter(t *testing.T) {
	const endpoints, seconds = 3, 20
	var secondRounds []time.Duration
	for seed := range uint64(20) {
		tracker := newTestTracker(testConfig(), seed, 1)
		tracker.HealthCheckEnded(0, "n0-2", true, RoleReplica, 500)
		tracker.HealthCheckEnded(0, "n0-1", true, RoleReplica, 400)
		tracker.SuspectPrimary(time.Second, 0, "n0-0")
		tracker.Enqueue(time.Second, Request{ID: "q", Class: "job", Deadline: time.Hour})
		tracker.Actions()
		var checked []string
		rounds := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += ms {
			tracker.Tick(now)
			round := answerHealthChecks(tracker, now)
			if len(round) == 0 {
				continue
			}
			checked = append(checked, round...)
			rounds++
			if rounds == 2 {
				secondRounds = append(secondRounds, now)
			}
		}
		if checked[0] != "n0-2" || checked[1] != "n0-1" {
			t.Fatalf("%v are checked first", checked[:2])
		}
		paid := endpoints * healthCheckRoundsPerRequest
		unpaid := endpoints * seconds * 6
		if n := float64(len(checked)); n > paid+float64(unpaid) || n < paid {
			t.Fatalf("%v health checks in %d s", n, seconds)
		}
	}
	slices.Sort(secondRounds)
	if len(slices.Compact(secondRounds)) < 5 {
		t.Fatalf("all routers check at once: %v", secondRounds)
	}
}

// countHealthChecks plays routers whose group has lost its primary. Each enqueues a write every 250 ms until it has
// so many. It returns the number of health checks of all routers, and of the busiest tenth of a second.
func countHealthChecks(routers, writes int, length time.Duration) (total, busiest int) {
	const writeInterval = 250 * ms
	cfg := testConfig()
	cfg.Instances = routers
	perTenth := map[time.Duration]int{}
	for seed := range uint64(routers) {
		tracker := newTestTracker(cfg, seed, 1)
		tracker.SuspectPrimary(time.Second, 0, "n0-0")
		for elapsed := time.Duration(0); elapsed < length; elapsed += ms {
			now := time.Second + elapsed
			if i := int(elapsed / writeInterval); elapsed%writeInterval == 0 && i < writes {
				tracker.Enqueue(now, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Hour})
			}
			tracker.Tick(now)
			checks := len(answerHealthChecks(tracker, now))
			total += checks
			perTenth[now.Truncate(100*ms)] += checks
		}
	}
	for _, checks := range perTenth {
		busiest = max(busiest, checks)
	}
	return total, busiest
}

// Eighty routers whose group has lost its primary: with nothing queued their health checks are rare, with a write or
// two each they are as many as those pay for, and one that queues many checks as densely as one router alone does.
func TestHealthChecksOfManyRouters(t *testing.T) {
	const routers, endpoints, length = 80, 3, 4 * time.Second
	const unpaidInterval = unpaidHealthCheckIntervalPerRouter * routers * 3 / 4
	idle, _ := countHealthChecks(routers, 0, length)
	if most := routers * endpoints * int(1+length/unpaidInterval); idle > most {
		t.Errorf("%d health checks with nothing queued, more than %d", idle, most)
	}
	one, busiest := countHealthChecks(routers, 1, length)
	if most := idle + routers*endpoints; one > most || busiest > routers*endpoints {
		t.Errorf("%d health checks with a write each, more than %d; %d in a tenth of a second", one, most, busiest)
	}
	if many, _ := countHealthChecks(routers, 16, length); many < one+routers*endpoints*2 {
		t.Errorf("%d health checks with sixteen writes each, %d with one: they are not paid for", many, one)
	}
	t.Logf("nothing queued: %d, a write each: %d (%d in the busiest tenth of a second)", idle, one, busiest)
}

func TestHealthCheckCandidates(t *testing.T) {
	for name, test := range map[string]struct {
		events func(tracker *Tracker)
		want   []string
	}{
		"by position": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
		}, []string{"n0-2", "n0-1", "n0-0"}},
		"a suspected primary first": {func(tracker *Tracker) {
			tracker.AttemptEnded(1, "n0-0", "a", EndUnreachable, RoleUnknown, 0, "", 0)
		}, []string{"n0-0", "n0-2", "n0-1"}},
		"none that is suspended": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.Suspend(1, "n0-2", true)
		}, []string{"n0-1", "n0-0"}},
		"none that drains": {func(tracker *Tracker) {
			tracker.UpdateEndpoints(1, []Endpoint{{ID: "n0-0", Draining: true}}, false)
		}, []string{"n0-2", "n0-1"}},
		"among equals the newest report": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.HealthCheckEnded(2, "n0-1", true, RoleReplica, 500)
		}, []string{"n0-1", "n0-2", "n0-0"}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(testConfig(), 1, 1)
			tracker.HealthCheckEnded(0, "n0-2", true, RoleReplica, 500)
			test.events(tracker)
			var got []string
			for _, endpoint := range tracker.groups[0].healthCheckCandidates() {
				got = append(got, endpoint.id)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// A second health check of an endpoint waits for the first one's end, but not for ever.
func TestHealthCheckInFlightIsNotRepeated(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	endpoint := tracker.endpoints["n0-1"]
	for _, step := range []struct {
		now  time.Duration
		want int
	}{{0, 1}, {healthCheckTimeout - 1, 0}, {healthCheckTimeout, 1}} {
		tracker.sendHealthCheck(endpoint, step.now)
		if got := len(tracker.Actions()); got != step.want {
			t.Errorf("at %v: %d health checks, want %d", step.now, got, step.want)
		}
	}
}
