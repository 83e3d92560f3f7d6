package balance

import (
	"testing"
	"time"
)

func TestConcurrencyLimitPermits(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts float64
		inFlight int
		warmup   float64
		want     bool
	}{
		{"below the limit", 4, 3, 1, true},
		{"at the limit", 4, 4, 1, false},
		{"at the limit of an endpoint that warms up", 4, 1, 0.25, false},
		{"one attempt is always permitted", 0.1, 0, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			limit := newConcurrencyLimit(c.attempts)
			if got := limit.permits(c.inFlight, c.warmup); got != c.want {
				t.Errorf("permits() = %v, want the opposite", got)
			}
		})
	}
}

func TestConsecutiveRejectionsLowerLimitOnce(t *testing.T) {
	limit := newConcurrencyLimit(16)
	limit.recordRejection(time.Second, 2*time.Second, 1)
	limit.recordRejection(time.Second+ms, 2*time.Second, 1)
	if limit.attempts != 12 {
		t.Errorf("limit %v, want 12", limit.attempts)
	}
	limit.recordRejection(2*time.Second, 3*time.Second, 10)
	if limit.attempts != 10 {
		t.Errorf("limit %v, want the minimum, 10", limit.attempts)
	}
}

func TestConcurrencyLimitIsCongested(t *testing.T) {
	for _, c := range []struct {
		name         string
		ratio, least float64
		fractional   bool
		want         bool
	}{
		{"fast", 0.1, 0.05, false, false},
		{"slower than usual", 0.4, 0.2, false, true},
		{"always slow", 0.4, 0.39, false, false},
		{"always too slow", 0.6, 0.6, false, true},
		{"slower than usual, few samples", 0.4, 0.2, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			limit := concurrencyLimit{latencyRatio: c.ratio, minLatencyRatio: c.least}
			if got := limit.isCongested(c.fractional); got != c.want {
				t.Errorf("isCongested() = %v, want the opposite", got)
			}
		})
	}
}

func TestInitialAndMinimumLimits(t *testing.T) {
	for instances, want := range map[int][2]float64{1: {16, 1}, 8: {2, 0.5}, 20: {1, 0.2}, 300: {0.08, 4.0 / 300}} {
		config := Config{Instances: instances}
		if got := [2]float64{config.initialLimit(), config.minLimit()}; got != want {
			t.Errorf("%d instances: initial and minimum limit %v, want %v", instances, got, want)
		}
	}
}

// Attempts that time out are stronger evidence of overload than served ones, so they must lower the limit.
func TestTimedOutAttemptsLowerTheLimit(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["b"]
	before := n.limit.attempts
	for range 60 {
		q := h.request("any")
		for _, s := range actionsOf[Send](h.step(ms, q)) {
			h.step(
				400*ms,
				AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusTimedOut, Elapsed: 400 * ms, Finished: true},
			)
			h.reportAll("a")
		}
	}
	if n.limit.attempts > 0.85*before {
		t.Fatalf("limit %.1f after 60 unanswered attempts, want at most 85 %% of the initial %.1f", n.limit.attempts, before)
	}
}

// Many instances share each endpoint, so each starts with only its share of the limit.
func TestInitialLimitIsShared(t *testing.T) {
	c := testConfig()
	c.Instances = 8
	h := newReadyHarness(t, c)
	var acts []Action
	for range 40 {
		acts = append(acts, h.step(ms, h.request("any"))...)
	}
	if got := len(actionsOf[Send](acts)); got > 8 {
		t.Fatalf("one of eight instances sent %d attempts at once, want at most 8", got)
	}
}

// A full endpoint rejects attempts at once. An immediate retry would only add load, so the next attempt waits for the
// backoff.
func TestRejectedAttemptIsRetriedAfterBackoff(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	sends := 0
	q := h.request("write")
	acts := h.step(ms, q)
	for i := 0; i < 5 && len(actionsOf[Send](acts)) > 0; i++ {
		sends++
		acts = h.step(ms, AttemptResult{ID: q.ID, Attempt: i, Endpoint: "a", Status: StatusBusy})
	}
	if sends != 1 {
		t.Fatalf("%d attempts within 5 ms at a full endpoint, want 1", sends)
	}
	for range 30 {
		sends += len(actionsOf[Send](h.step(10 * ms)))
	}
	if sends != 2 {
		t.Fatalf("%d attempts in total, want a single retry of the pending write", sends)
	}
}

// An attempt on a silent connection lasts until its timeout, which is not evidence of load at its endpoint.
func TestLostAttemptDoesNotCountAsOverload(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	n := h.balancer.endpoints["a"]
	lost := h.request("write")
	lost.TimeLeft = 3 * time.Second
	h.expectSends(h.step(ms, lost), "a")
	slow := 0.0
	for h.now < 102*time.Second {
		q := h.request("write")
		h.step(10*ms, q)
		h.step(
			5*ms,
			AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary},
		)
		slow = n.limit.latencyRatio
	}
	h.step(ms, AttemptResult{ID: lost.ID, Endpoint: "a", Status: StatusTimedOut, Elapsed: 2900 * ms, Finished: true})
	if n.limit.latencyRatio > slow {
		t.Fatalf("a lost attempt changed the latency ratio from %.2f to %.2f, want no increase", slow, n.limit.latencyRatio)
	}
}

// An idle endpoint whose responses take 30 % of the latency objective, as on real sockets, is not congested and keeps
// its limit. An endpoint whose responses take 50 % is congested.
func TestIdleEndpointIsNotCongested(t *testing.T) {
	c := testConfig()
	c.Classes[1].MaxStaleness = time.Second // so that none of these reads counts as long
	for part, congested := range map[float64]bool{0.3: false, 0.5: true} {
		h := newReadyHarness(t, c)
		for range 300 {
			q := h.request("any")
			s := h.expectSends(h.step(ms, q), "bc")[0]
			took := time.Duration(part * float64(400*ms))
			h.step(took, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: took, Finished: true})
		}
		for _, id := range []string{"b", "c"} {
			if got := h.balancer.endpoints[id].limit.attempts < initialLimit; got != congested {
				t.Errorf("%s takes %v of the latency objective: limit %.1f, want it reduced only from 0.5 on",
					id, part, h.balancer.endpoints[id].limit.attempts)
			}
		}
	}
}

// If a weak read was late at a primary, its instance, one of 300, backs off with further weak reads, but not with
// writes.
func TestWeakReadsBackOffFromASlowPrimary(t *testing.T) {
	c := testConfig()
	c.Instances = 300
	c.HealthChecks = false // without reports no replica is available
	for took, want := range map[time.Duration][2]time.Duration{20 * ms: {0, 60 * ms}, 700 * ms: {100 * ms, 400 * ms}} {
		for _, class := range []string{"bounded", "write"} {
			h := newHarness(
				t,
				c,
				EndpointList{
					Kind: ListCached,
					Entries: []EndpointEntry{
						{Endpoint: "a", Zone: "a", Group: 1, State: EndpointReady, Primary: true},
						{Endpoint: "b", Zone: "a", Group: 1, State: EndpointReady},
					},
				},
			)
			s := h.expectSends(h.step(0, h.request("bounded")), "a")
			for range took / (10 * ms) { // the instance must not appear paused
				h.step(10 * ms)
			}
			h.step(
				0,
				AttemptResult{
					ID:       s[0].ID,
					Attempt:  0,
					Endpoint: "a",
					Status:   StatusDone,
					Elapsed:  took,
					Finished: true,
					Role:     RolePrimary,
					Position: h.now,
				},
			)
			from := h.now
			acts := h.step(10*ms, h.request(class))
			for len(actionsOf[Send](acts)) == 0 && h.now < from+5*time.Second {
				acts = h.step(10 * ms)
			}
			least, most := want[0], want[1]
			if class == "write" {
				least, most = 0, 60*ms
			}
			if wait := h.now - from; wait < least || wait > most {
				t.Errorf("after a read of %v: %s sent after %v, want %v to %v", took, class, wait, least, most)
			}
		}
	}
}
