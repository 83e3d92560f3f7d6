package balance

import (
	"testing"
	"time"
)

func TestPendingWriteIsRejectedInTime(t *testing.T) {
	for held, most := range map[float64]time.Duration{0: time.Second, 0.3: 500 * ms} {
		c := testConfig()
		c.LateRejectCost = held
		h := newHarness(t, c, EndpointList{Kind: ListCached})
		q := h.request("write")
		var acts []Action
		h.step(0, q)
		for h.now < 102*time.Second && len(actionsOf[Reject](acts)) == 0 {
			acts = h.step(10 * ms)
		}
		if at := h.now - 100*time.Second; at > most || at < most-100*ms {
			t.Fatalf("refused after %v, the client waits 1 s", at)
		}
		if actionsOf[Reject](acts)[0].RetryAfter == 0 {
			t.Fatal("a refusal without a retry-after")
		}
	}
}

// A request that waits for a connection does not do so beyond half of its client's time.
func TestSendIsOnlyGoodForHalfOfTheTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, class := range []string{"write", "any", "latest"} {
		at := h.now + ms
		s := h.expectSends(h.step(ms, h.request(class)), "abc")[0]
		if s.NotAfter < at+450*ms || s.NotAfter > at+500*ms {
			t.Errorf("%s: by %v", class, s.NotAfter-at)
		}
	}
}

// A client that retries has used up part of its latency objective. Its timeout tells how much, once the limit of its
// class cuts it.
func TestRetryingClientHasLessTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("bounded") // aim 400 ms, gives up after 2 s, nothing when late
	q.TimeLeft = 2 * time.Second
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1500*ms // 500 ms have gone: no answer can be in time
	acts := h.step(ms, q)
	h.expectSends(acts)
	if len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("%v, want a refusal at once", acts)
	}
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1900*ms
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded") // not a retry: this client just has less patience
	q.TimeLeft = 1500 * ms
	h.expectSends(h.step(ms, q), "bc")
}

// A read that was never sent is rejected before half of its client's time, so that the client can ask elsewhere. One
// that has reached an endpoint may stay pending for another attempt.
func TestReadNeverSentIsRejectedBeforeHalfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		h := newHarness(t, testConfig(), EndpointList{Kind: ListCached})
		q := h.request("any")
		h.step(0, q)
		if reached {
			n := h.expectSends(h.step(10*ms, threeEndpoints(ListFull)), "abc")[0].Endpoint
			h.step(0, EndpointList{Kind: ListFull}, AttemptResult{ID: q.ID, Endpoint: n, Status: StatusBusy})
		}
		var acts []Action
		for h.now < 102*time.Second && len(actionsOf[Reject](acts)) == 0 {
			acts = h.step(10 * ms)
		}
		if at := h.now - 100*time.Second; reached != (at >= 500*ms) || at > time.Second {
			t.Fatalf("reached %v: refused after %v, the client waits 1 s", reached, at)
		}
	}
}

// Classes without priority weight are served too: a share of nothing is not taken for more than there is.
func TestRequestsWithoutWeightAreSent(t *testing.T) {
	c := testConfig()
	c.Instances = 300
	for i := range c.Classes {
		c.Classes[i].PriorityWeight = 0
	}
	h := newReadyHarness(t, c)
	sent := 0
	for range 40 {
		for _, s := range actionsOf[Send](h.step(500*ms, h.request("any"))) {
			sent++
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
	}
	if sent < 20 {
		t.Fatalf("%d of 40 sent", sent)
	}
}
