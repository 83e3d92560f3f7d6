package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestRemovedEndpointsExpire(t *testing.T) {
	for soft, delay := range map[bool]time.Duration{false: expiryDelay, true: softRemovalExpiryDelay} {
		c := testConfig()
		c.SoftRemoval = soft
		h := newReadyHarness(t, c)
		h.step(0, EndpointList{Entries: []EndpointEntry{{Endpoint: "b", Group: 1, State: EndpointRemoved}}})
		h.step(delay - 2*time.Second)
		if h.balancer.endpoints["b"] == nil {
			t.Errorf("soft removal %v: endpoint deleted before %v", soft, delay)
		}
		h.step(4 * time.Second)
		if h.balancer.endpoints["b"] != nil {
			t.Errorf("soft removal %v: endpoint kept for longer than %v", soft, delay)
		}
	}
}

// State must not accumulate when endpoints are replaced under new ids, when clients name unknown groups, and when many
// sessions write.
func TestStateDoesNotAccumulate(t *testing.T) {
	c := testConfig()
	c.ClientSessionTokens = false
	h := newReadyHarness(t, c)
	for i := range 400 {
		id := func(i int) string { return fmt.Sprint("new", i) }
		h.step(
			time.Second,
			EndpointList{
				Entries: []EndpointEntry{
					{Endpoint: id(i), Group: 1, State: EndpointReady},
					{Endpoint: id(i - 3), Group: 1, State: EndpointRemoved},
				},
			},
		)
		unknownGroup := h.request("any")
		unknownGroup.Group = int64(1000 + i)
		if acts := h.step(ms, unknownGroup); len(actionsOf[Reject](acts)) != 1 {
			t.Fatalf("got actions %v for an unknown group, want one rejection", acts)
		}
		q := h.request("write")
		q.SessionID = int64(i + 1)
		for _, s := range actionsOf[Send](h.step(ms, q)) {
			h.step(
				ms,
				AttemptResult{
					ID:       s.ID,
					Endpoint: s.Endpoint,
					Status:   StatusDone,
					Elapsed:  ms,
					Finished: true,
					Role:     RolePrimary,
					Position: h.now,
				},
			)
		}
		for _, n := range h.balancer.groups[1].endpoints {
			if n.discovery.state == EndpointReady {
				h.step(0, HealthCheckResult{Endpoint: n.id, Status: StatusDone, Position: h.now})
			}
		}
		h.step(time.Second)
	}
	if n := len(h.balancer.endpoints); n > 60 || len(h.balancer.groups) != 1 || len(h.balancer.sortedGroups) != 1 ||
		len(h.balancer.groups[1].endpoints) != n ||
		len(h.balancer.requests) > 9 {
		t.Errorf("%d endpoints, %d groups, %d requests are kept; want at most 60, 1 and 9, all endpoints in the group",
			n, len(h.balancer.groups), len(h.balancer.requests))
	}
	if commits := len(h.balancer.sessionCommits.latest) + len(h.balancer.sessionCommits.older); commits > 9 {
		t.Errorf("%d session commits are kept, want at most 9", commits)
	}
}
