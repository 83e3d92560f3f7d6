package balance

import (
	"testing"
)

// A primary that fails some requests is the only one that takes writes: they must not stay pending for its recovery
// attempts.
func TestOutlierPrimaryStillGetsItsWrites(t *testing.T) {
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

// A replica that fails some reads gets recovery attempts only while others serve, and is used when no other can be.
func TestOutlierReplicaIsTheLastChoice(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sick := 0
	for i := range 100 {
		q := h.request("any")
		s := h.expectSends(h.step(10*ms, q), "abc")[0]
		if s.Endpoint != "b" {
			h.step(ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true})
			continue
		}
		if i > 50 {
			sick++
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
	if sick > 5 {
		t.Fatalf("%d of the last 50 reads went to a sick replica", sick)
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
