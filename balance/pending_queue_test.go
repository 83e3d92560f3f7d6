package balance

import (
	"slices"
	"testing"
	"time"
)

func TestRankFallsAsTheObjectiveEnds(t *testing.T) {
	const now = 100 * time.Second
	class := &classState{Class: Class{LateWeightShare: 0.2}, latency: 0.1}
	rankAt := func(timeLeft time.Duration) float64 {
		request := &request{class: class, weight: 1, objectiveAt: now + timeLeft}
		request.updateRank(now)
		return request.rank
	}
	early, soon, late := rankAt(time.Second), rankAt(50*ms), rankAt(-time.Second)
	if early <= soon || soon <= late {
		t.Errorf("got ranks %v, %v, %v; want descending ones", early, soon, late)
	}
	if late != 0.2*1/0.1 {
		t.Errorf("got rank %v after the objective, want 2, from the late weight share", late)
	}
}

func TestPendingOrder(t *testing.T) {
	first := &request{id: "first", rank: 2, objectiveAt: 9}
	second := &request{id: "second", rank: 1, objectiveAt: 1}
	third := &request{id: "third", rank: 1, objectiveAt: 2}
	pending := []*request{third, first, second}
	slices.SortStableFunc(pending, compareRanks)
	if !slices.Equal(pending, []*request{first, second, third}) {
		t.Errorf("got order %s, %s, %s; want first, second, third", pending[0].id, pending[1].id, pending[2].id)
	}
}

func TestRankDeficit(t *testing.T) {
	var best bestRank
	best.observe(&request{rank: 8, class: &classState{latency: 0.3}})
	best.observe(&request{rank: 5, class: &classState{latency: 0.1}})
	if best.rank != 8 || best.latency != 0.3 {
		t.Fatalf("got best rank %+v, want rank 8 and its latency, 0.3 s", best)
	}
	for rank, want := range map[float64]float64{0: 1, 2: 0.5, 4: 0, 8: 0} {
		if got := best.deficit(&request{rank: rank}); got != want {
			t.Errorf("rank %v: got deficit %v, want %v", rank, got, want)
		}
	}
	if got := new(bestRank).deficit(&request{}); got != 1 {
		t.Errorf("got deficit %v of a request without weight before any other request, want 1", got)
	}
}

func TestPendingWriteIsRejectedInTime(t *testing.T) {
	for lateRejectCost, maxDelay := range map[float64]time.Duration{0: time.Second, 0.3: 500 * ms} {
		c := testConfig()
		c.LateRejectCost = lateRejectCost
		h := newHarness(t, c, EndpointList{Kind: ListCached})
		q := h.request("write")
		var acts []Action
		h.step(0, q)
		for h.now < 102*time.Second && len(actionsOf[Reject](acts)) == 0 {
			acts = h.step(10 * ms)
		}
		if at := h.now - 100*time.Second; at > maxDelay || at < maxDelay-100*ms {
			t.Fatalf("got rejection after %v, want 900ms to 1s, or 400ms to 500ms with a late reject cost", at)
		}
		if actionsOf[Reject](acts)[0].RetryAfter == 0 {
			t.Fatal("got a rejection without a Retry-After, want one with it")
		}
	}
}

// A request must not wait for a connection for longer than half of its client timeout.
func TestSendExpiresAtHalfOfTheClientTimeout(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, class := range []string{"write", "any", "latest"} {
		at := h.now + ms
		s := h.expectSends(h.step(ms, h.request(class)), "abc")[0]
		if s.NotAfter < at+450*ms || s.NotAfter > at+500*ms {
			t.Errorf("%s: NotAfter is %v after the request, want 450ms to 500ms", class, s.NotAfter-at)
		}
	}
}

// A client that retries has already used part of its latency objective. The part is derived from the time left, once it
// is shorter than the longest timeout of the class.
func TestRetryingClientHasLessTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("bounded") // objective 400 ms, client timeout 2 s, no weight when late
	q.TimeLeft = 2 * time.Second
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1500*ms // 500 ms have passed: no answer can be in time
	acts := h.step(ms, q)
	h.expectSends(acts)
	if len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("got actions %v, want a rejection at once", acts)
	}
	q = h.request("bounded")
	q.Retry, q.TimeLeft = true, 1900*ms
	h.expectSends(h.step(ms, q), "bc")
	q = h.request("bounded") // not a retry: this client just has a shorter timeout
	q.TimeLeft = 1500 * ms
	h.expectSends(h.step(ms, q), "bc")
}

// A read that was never sent is rejected before half of its client timeout, so that the client can retry elsewhere. A
// read that has reached an endpoint may stay pending for another attempt.
func TestUnsentReadIsRejectedBeforeHalfOfTheClientTimeout(t *testing.T) {
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
			t.Fatalf("reached %v: got rejection after %v, want 500ms to 1s if reached, else less", reached, at)
		}
	}
}

// Classes without priority weight are served too: where all ranks are 0, the credit that is reserved for requests of
// higher rank must not exceed what an instance can save up.
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
		t.Fatalf("%d of 40 requests sent, want at least 20", sent)
	}
}
