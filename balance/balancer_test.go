package balance

import (
	"testing"
	"time"
)

func TestWakeTimer(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name    string
		firesAt Time
		dueAt   []Time
		want    time.Duration // 0 = no new timer
	}{
		{"nothing due", never, nil, 0},
		{"due later", never, []Time{now + 80*ms, now + 50*ms}, 50 * ms},
		{"due sooner than a tick", never, []Time{now + ms}, tickInterval},
		{"an earlier timer already set", now + 30*ms, []Time{now + 50*ms}, 0},
		{"a later timer already set", now + 90*ms, []Time{now + 50*ms}, 50 * ms},
		{"the timer fires slightly early", now + 5*ms, []Time{now + 50*ms}, 50 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			timer := wakeTimer{firesAt: c.firesAt}
			timer.begin(now)
			for _, at := range c.dueAt {
				timer.dueAt(at)
			}
			delay, ok := timer.set(now, tickInterval)
			if delay != c.want || ok != (c.want > 0) {
				t.Errorf("got delay %v, new timer %v; want delay %v (0 = no new timer)", delay, ok, c.want)
			}
		})
	}
}

func TestInstancePauseIsDetected(t *testing.T) {
	timer := wakeTimer{firesAt: 10 * time.Second}
	timer.begin(10*time.Second + pauseThreshold)
	if timer.runningSince != 0 {
		t.Errorf("a timer delayed by %v was detected as a pause, want no pause", pauseThreshold)
	}
	timer.begin(12 * time.Second)
	if timer.runningSince != 12*time.Second {
		t.Errorf("running since %v, want 12s, the end of the pause", timer.runningSince)
	}
}

func TestRoutingOfEachClass(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for _, c := range []struct{ class, to string }{
		{"write", "a"}, {"latest", "a"}, {"bounded", "bc"}, {"any", "bc"}, {"session", "bc"},
	} {
		h.expectSends(h.step(ms, h.request(c.class)), c.to)
	}
}

// An idle instance sets no timers: with hundreds of instances they would cost more than the requests.
func TestIdleInstanceIsNotWoken(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	s := h.expectSends(h.step(ms, q), "bc")[0]
	h.reportAll("a")
	h.step(20*ms, AttemptResult{ID: q.ID, Endpoint: s.Endpoint, Status: StatusDone, Elapsed: 20 * ms, Finished: true})
	for range 10 {
		if acts := h.step(time.Second); len(actionsOf[Timer](acts)) > 0 {
			t.Fatalf("got actions %v of an idle instance, want no timer", acts)
		}
	}
}

// The caller's clock may be coarser than the timers: after a timer that fires a microsecond early, the balancer must
// set another one.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testConfig(), EndpointList{Kind: ListCached})
	acts := h.step(ms, h.request("write"))
	for range 500 {
		if len(actionsOf[Reject](acts)) > 0 {
			return
		}
		timers := actionsOf[Timer](acts)
		if len(timers) == 0 {
			t.Fatalf("got actions %v, want another timer", acts)
		}
		acts = h.step(timers[len(timers)-1].After-time.Microsecond, Wake{})
	}
	t.Fatal("the write has no final answer after 500 timers, want a rejection")
}
