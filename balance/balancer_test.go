package balance

import (
	"testing"
	"time"
)

func TestRoutingOfEachClass(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, c := range []struct{ class, to string }{
		{"write", "a"}, {"latest", "a"}, {"bounded", "bc"}, {"any", "bc"}, {"session", "bc"},
	} {
		h.expectSends(h.step(ms, h.request(c.class)), c.to)
	}
}

// An idle instance asks for no timers: hundreds of them would cost more than the requests.
func TestIdleInstanceIsNotWoken(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	s := h.expectSends(h.step(ms, q), "bc")[0]
	h.reportAll("a")
	h.step(20*ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 20 * ms, Finished: true})
	for range 10 {
		if acts := h.step(time.Second); len(actionsOf[Timer](acts)) > 0 {
			t.Fatalf("%v, want no timer", acts)
		}
	}
}

// A caller's clock may be coarser: a timer that fires a microsecond early must not be the last one.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testConfig(), EndpointList{Kind: ListCached})
	acts := h.step(ms, h.request("write"))
	for range 500 {
		if len(actionsOf[Reject](acts)) > 0 {
			return
		}
		timers := actionsOf[Timer](acts)
		if len(timers) == 0 {
			t.Fatalf("%v, want another timer", acts)
		}
		acts = h.step(timers[len(timers)-1].After-time.Microsecond, Wake{})
	}
	t.Fatal("no final answer")
}
