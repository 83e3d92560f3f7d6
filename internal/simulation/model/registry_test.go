package model

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The position of an endpoint never decreases, even across kills, hangs and drains: a primary that dies restarts with
// everything that it had committed.
func TestPositionNeverDecreases(t *testing.T) {
	for seed := range uint64(20) {
		clock, world, _ := newReplicaGroup(endpointSpec(), 3)
		rng := rand.New(rand.NewPCG(seed, 1))
		reported := map[*Endpoint]time.Duration{}
		for step := range 2000 {
			clock.Run(startTime + time.Duration(step)*10*time.Millisecond)
			primary := world.Groups[0].Primary
			primary.Submit(&Statement{Work: time.Millisecond, Write: true, Done: func(Outcome, time.Duration, bool) {}})
			for _, endpoint := range world.Endpoints {
				if endpoint.State() != Up {
					continue
				}
				if position := endpoint.Position(); position < reported[endpoint] {
					t.Fatalf("seed %d: position of %s decreases from %v to %v at %v",
						seed, endpoint.ID, reported[endpoint], position, clock.Now())
				} else {
					reported[endpoint] = position
				}
			}
			if endpoint := world.Endpoints[rng.IntN(3)]; rng.IntN(150) == 0 {
				switch rng.IntN(3) {
				case 0:
					endpoint.Kill("test", time.Duration(rng.Int64N(int64(4*time.Second))+1))
				case 1:
					endpoint.Hang(time.Duration(rng.Int64N(int64(4*time.Second)) + 1))
				default:
					endpoint.Drain()
					clock.After(2*time.Second, func() { endpoint.Kill("restarted", time.Second) })
				}
			}
		}
	}
}

// A list that follows roles names a new primary only after the delay. A list that doesn't follow roles keeps naming the
// first primary.
func TestListedRolesAreDelayed(t *testing.T) {
	t.Run("the list follows roles", func(t *testing.T) { checkListedRoles(t, true) })
	t.Run("the list names the first primary", func(t *testing.T) { checkListedRoles(t, false) })
}

// checkListedRoles kills a primary and checks which endpoint is listed as primary before and after the role delay.
func checkListedRoles(t *testing.T, followsRoles bool) {
	t.Helper()
	clock, world, old := newReplicaGroup(endpointSpec(), 3)
	delays := NoticeDelays{
		Change: [2]time.Duration{time.Second, time.Second},
		Silent: [2]time.Duration{20 * time.Second, 20 * time.Second},
	}
	if followsRoles {
		delays.Role = [2]time.Duration{3 * time.Second, 3 * time.Second}
	}
	changes := 0
	drawLower := func(bounds [2]time.Duration) time.Duration { return bounds[0] }
	registry := NewRegistry(world, delays, drawLower, func(int) { changes++ })
	old.Kill("test", 0)
	for !world.Groups[0].AcceptsWrites() {
		clock.Run(clock.Now() + 10*time.Millisecond)
	}
	successor := world.Groups[0].Primary
	clock.Run(clock.Now() + 2900*time.Millisecond)
	listed := listedPrimaries(registry)
	if len(listed) != 1 || listed[0] != old || registry.Version != 1 || changes != 0 {
		t.Fatalf("before the role delay: %d primaries, version %d, %d changes; want only the first primary, 1 and 0",
			len(listed), registry.Version, changes)
	}
	clock.Run(clock.Now() + 200*time.Millisecond)
	want := old
	if followsRoles {
		want = successor
	}
	listed = listedPrimaries(registry)
	if len(listed) != 1 || listed[0] != want || int64(changes) != registry.Version-1 {
		t.Fatalf("after the role delay: %d primaries, %d changes, version %d; want 1, and one change per new version",
			len(listed), changes, registry.Version)
	}
	changedEntries := 0
	registry.Since(1, func(Listing) { changedEntries++ })
	if followsRoles != (changedEntries == 2) {
		t.Errorf("%d entries have changed since version 1; want 2 only if the list follows roles", changedEntries)
	}
}

// listedPrimaries returns the endpoints that are listed as primaries.
func listedPrimaries(registry *Registry) []*Endpoint {
	var primaries []*Endpoint
	for _, entry := range registry.Entries {
		if entry.Primary {
			primaries = append(primaries, entry.Endpoint)
		}
	}
	return primaries
}
