package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// answerHealthChecks reports a result for each requested health check, and returns the checked endpoints. All endpoints
// but n0-0 answer.
func answerHealthChecks(tracker *Tracker, now time.Duration) (endpoints []string) {
	for _, action := range tracker.Actions() {
		if action.Kind == ActionHealthCheck {
			endpoints = append(endpoints, action.Endpoint)
			tracker.HealthCheckEnded(now, action.Endpoint, action.Endpoint != "n0-0", RoleReplica, 0)
		}
	}
	return endpoints
}

// The endpoint with the highest replication position is checked first, the number of queued requests bounds the number
// of health checks, and routers send them at different times.
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
			t.Fatalf("%v are checked first, want n0-2 and n0-1", checked[:2])
		}
		budgeted := endpoints * healthCheckRoundsPerRequest
		unbudgeted := endpoints * seconds * 6
		if n := float64(len(checked)); n > budgeted+float64(unbudgeted) || n < budgeted {
			t.Fatalf("%v health checks in %d s, want at least the budgeted ones and at most 6 rounds per second more",
				n, seconds)
		}
	}
	slices.Sort(secondRounds)
	if len(slices.Compact(secondRounds)) < 5 {
		t.Fatalf("the second rounds of 20 routers are at fewer than 5 different times: %v", secondRounds)
	}
}

// countHealthChecks simulates routers whose group has lost its primary. Each router enqueues the given number of
// writes, one every 250 ms. countHealthChecks returns the number of health checks of all routers over the whole length,
// and in the busiest 100 ms.
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

// 80 routers whose group has lost its primary send few health checks while nothing is queued, no more than the budget
// allows with one queued write each, and clearly more with many writes each.
func TestHealthChecksOfManyRouters(t *testing.T) {
	const routers, endpoints, length = 80, 3, 4 * time.Second
	const unbudgetedInterval = unbudgetedHealthCheckIntervalPerRouter * routers * 3 / 4
	idle, _ := countHealthChecks(routers, 0, length)
	if most := routers * endpoints * int(1+length/unbudgetedInterval); idle > most {
		t.Errorf("%d health checks with nothing queued, want at most %d", idle, most)
	}
	one, busiest := countHealthChecks(routers, 1, length)
	if most := idle + routers*endpoints; one > most || busiest > routers*endpoints {
		t.Errorf("%d health checks with a write each, want at most %d; %d in the busiest 100 ms", one, most, busiest)
	}
	if many, _ := countHealthChecks(routers, 16, length); many < one+routers*endpoints*2 {
		t.Errorf("%d health checks with 16 writes each, want clearly more than the %d with one", many, one)
	}
	t.Logf("health checks with nothing queued: %d, with a write each: %d (%d in the busiest 100 ms)", idle, one, busiest)
}

func TestHealthCheckCandidates(t *testing.T) {
	for name, test := range map[string]struct {
		events func(tracker *Tracker)
		want   []string
	}{
		"by position": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
		}, []string{"n0-2", "n0-1", "n0-0"}},
		"suspected primary first": {func(tracker *Tracker) {
			tracker.AttemptEnded(1, "n0-0", "a", EndUnreachable, RoleUnknown, 0, "", 0)
		}, []string{"n0-0", "n0-2", "n0-1"}},
		"without suspended endpoints": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.SetSuspended(1, "n0-2", true)
		}, []string{"n0-1", "n0-0"}},
		"without draining endpoints": {func(tracker *Tracker) {
			tracker.UpdateEndpoints(1, []Endpoint{{ID: "n0-0", Draining: true}}, false)
		}, []string{"n0-2", "n0-1"}},
		"newest report first at the same position": {func(tracker *Tracker) {
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
				t.Errorf("candidates are %v, want %v", got, test.want)
			}
		})
	}
}

// An endpoint gets no second health check before the first one has ended or timed out.
func TestNoSecondHealthCheckInFlight(t *testing.T) {
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
