package balance

import (
	"testing"
)

func TestOutlierIsComparedWithPeers(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64
		peers []float64
		want  bool
	}{
		{"no endpoint fails", 0, []float64{0, 0}, false},
		{"fails more than its best peer", 0.5, []float64{0, 0.4}, true},
		{"all endpoints fail", 0.5, []float64{0.5, 0.4}, false},
		{"fails by no more than the margin", outlierFailureMargin, []float64{0}, false},
		{"has no peers", 0.9, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			group := &replicaGroup{}
			addEndpoint := func(rate float64) *endpoint {
				added := &endpoint{group: group, discovery: discoveryState{state: EndpointReady}}
				added.outlier.failureRate = rate
				group.add(added)
				return added
			}
			tested := addEndpoint(c.rate)
			for _, rate := range c.peers {
				addEndpoint(rate)
			}
			if got := tested.isOutlier(); got != c.want {
				t.Errorf("isOutlier() = %v, want the opposite", got)
			}
		})
	}
}

func TestOutlierStats(t *testing.T) {
	var stats outlierStats
	for range 30 {
		stats.recordFailure()
	}
	if stats.failureRate < 0.9 {
		t.Errorf("failure rate %v after 30 failures, want at least 0.9", stats.failureRate)
	}
	for range 30 {
		stats.recordSuccess()
	}
	if stats.failureRate > 0.1 {
		t.Errorf("failure rate %v after 30 successes, want at most 0.1", stats.failureRate)
	}
}

// A primary that fails some requests is still the only endpoint for writes, so they must not wait for a recovery
// attempt.
func TestOutlierPrimaryStillGetsWrites(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for i := range 40 {
		q := h.request("write")
		h.expectSends(h.step(10*ms, q), "a")
		s := []Status{StatusDone, StatusError}[i%2]
		h.step(
			5*ms,
			AttemptResult{ID: q.ID, Endpoint: "a", Status: s, Elapsed: 5 * ms, Finished: s == StatusDone, Role: RolePrimary},
		)
	}
}

// A replica that fails some reads gets only recovery attempts while other endpoints serve, and is used when no other
// endpoint is left.
func TestOutlierReplicaIsTheLastChoice(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	outlierReads := 0
	for i := range 100 {
		q := h.request("any")
		s := h.expectSends(h.step(10*ms, q), "abc")[0]
		if s.Endpoint != "b" {
			h.step(ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
			continue
		}
		if i > 50 {
			outlierReads++
		}
		for k := 0; s.Endpoint == "b"; k++ {
			s = h.expectSends(h.step(ms, AttemptResult{ID: q.ID, Attempt: k, Endpoint: "b", Status: StatusError}), "abc")[0]
			if s.Endpoint != "b" {
				h.step(
					ms,
					AttemptResult{ID: q.ID, Attempt: k + 1, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true},
				)
			}
		}
	}
	if outlierReads > 5 {
		t.Fatalf("%d of the last 50 reads sent to the failing replica, want at most 5", outlierReads)
	}
	h.step(
		0,
		EndpointList{
			Entries: []EndpointEntry{
				{Endpoint: "a", Group: 1, State: EndpointRemoved},
				{Endpoint: "c", Group: 1, State: EndpointRemoved},
			},
		},
	)
	h.expectSends(h.step(ms, h.request("any")), "b")
}
