package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/limits"
	"limeladder/internal/testserver"
)

var (
	readyEndpoint    = config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: "ready"}
	drainingEndpoint = config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: "draining"}
)

func pushedLimits(grace time.Duration) limits.Limits {
	return limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForPushedLists(grace)
}

// followAgent starts an agent and a Watcher that follows the lists pushed to it, and returns once the Watcher has
// received the first list.
func followAgent(t *testing.T, grace time.Duration) (*testWatch, *testserver.Agent) {
	t.Helper()
	agent, err := testserver.NewAgent(readyEndpoint)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	watch := newTestWatch(t, pushedLimits(grace), agent.Addr)
	watch.loop.Post(func() { watch.watcher.FollowPushed(7) })
	if list := watch.nextChange(t); !list.Full || len(list.Endpoints) != 1 {
		t.Fatalf("list %+v, want a full list with one endpoint", list)
	}
	return watch, agent
}

// nextChange returns the next list with at least one endpoint. Calls may fail before it.
func (w *testWatch) nextChange(t *testing.T) config.EndpointList {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case list := <-w.lists:
			if len(list.Endpoints) > 0 {
				return list
			}
		case <-timeout:
			t.Fatal("no list with an endpoint was reported in time")
		}
	}
}

// Where lists are pushed nobody calls Poll: the Watcher retries after every kind of failure, and receives the changes
// pushed meanwhile.
func TestFollowPushedRetriesWithoutPoll(t *testing.T) {
	for name, fail := range map[string]func(t *testing.T, agent *testserver.Agent) (restore func()){
		"silent": func(_ *testing.T, agent *testserver.Agent) func() {
			agent.Silent(true)
			return func() { agent.Silent(false) }
		},
		"busy": func(_ *testing.T, agent *testserver.Agent) func() {
			agent.FailWith(503)
			return func() { agent.FailWith(0) }
		},
		"stopped": func(t *testing.T, agent *testserver.Agent) func() {
			t.Helper()
			agent.Stop()
			return func() {
				if err := agent.Start(); err != nil {
					t.Error(err)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			watch, agent := followAgent(t, 500*time.Millisecond)
			for range 2 {
				restore := fail(t, agent)
				for range 3 { // the first failure and two failed retries
					select {
					case <-watch.failures:
					case <-time.After(testTimeout):
						t.Fatal("no failure was reported in time, want retries that fail")
					}
				}
				agent.Push(drainingEndpoint)
				restore()
				if list := watch.nextChange(t); list.Endpoints[0].State != "draining" {
					t.Fatalf("list %+v, want a draining endpoint", list)
				}
			}
		})
	}
}

// The failure of a call, of whatever kind, is detected and the call repeated within three quarters of the drain grace.
func TestPushedListIsReceivedWithinDrainGrace(t *testing.T) {
	for _, milliseconds := range []time.Duration{200, 500, 2_000, 10_000} {
		grace := milliseconds * time.Millisecond
		lim := pushedLimits(grace).Discovery
		failed := max(lim.LongPollTimeout+lim.WatchSlack, lim.CallTimeout)
		if again := failed + lim.MaxRetryInterval; again > grace*3/4 {
			t.Errorf("grace %v: call repeated after %v, want at most three quarters of the grace", grace, again)
		}
		backoff := retryBackoff{maxInterval: lim.MaxRetryInterval, rng: rand.New(rand.NewPCG(1, 2))}
		for range 50 {
			if delay := backoff.nextDelay(); delay > lim.MaxRetryInterval || delay <= 0 {
				t.Errorf("grace %v: delay %v, want more than 0 and at most MaxRetryInterval", grace, delay)
			}
		}
		backoff.reset()
		if delay := backoff.nextDelay(); delay > initialRetryInterval {
			t.Errorf("grace %v: first delay %v, want at most initialRetryInterval", grace, delay)
		}
	}
	for _, grace := range []time.Duration{0, time.Millisecond} {
		lim := pushedLimits(grace).Discovery
		if lim.LongPollTimeout < 20*time.Millisecond || lim.MaxRetryInterval < 20*time.Millisecond {
			t.Errorf("grace %v: want timeout and retry interval of at least 20 ms, got %+v", grace, lim)
		}
	}
}

// A pushed full list is read from the router's own machine and is cheap in a fleet of any size. A large fleet that
// requests full lists from a shared service would overload it.
func TestFullListIsRequestedWhereItIsCheap(t *testing.T) {
	fleet := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(80)
	if !fleet.Discovery.ResumeFromKnown {
		t.Error("a fleet of 80 routers requests full lists from a shared service")
	}
	if fleet.ForPushedLists(time.Second).Discovery.ResumeFromKnown {
		t.Error("no full list is requested where lists are pushed")
	}
}

// The retry interval doubles with each failure, up to its bound, and the delay is drawn from its upper half.
func TestRetryBackoffGrows(t *testing.T) {
	backoff := retryBackoff{maxInterval: 50 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
	for i, interval := range []time.Duration{10, 20, 40, 50, 50} {
		interval *= time.Millisecond
		if delay := backoff.nextDelay(); delay < interval/2 || delay > interval {
			t.Errorf("delay %d is %v, want between %v and %v", i, delay, interval/2, interval)
		}
	}
}

// An agent that responds to watches without waiting is called at the configured interval, not in a busy loop.
func TestAgentThatDoesNotWaitIsCalledAtIntervals(t *testing.T) {
	watch, agent := followAgent(t, 500*time.Millisecond)
	agent.AnswerAtOnce(true)
	callsBefore, start := agent.Calls(), time.Now()
	time.Sleep(300 * time.Millisecond)
	calls := agent.Calls() - callsBefore
	elapsed := time.Since(start)
	if most := int(elapsed/(50*time.Millisecond)) + 2; calls > most {
		t.Errorf("%d calls in %v, want at most one per 50 ms and two more", calls, elapsed)
	}
	agent.Push(drainingEndpoint)
	if list := watch.nextChange(t); list.Endpoints[0].State != "draining" {
		t.Fatalf("list %+v, want a draining endpoint", list)
	}
}

// Changes that are pushed to an agent between two watches of a router, or several times during one, are received with
// the next call.
func TestFollowPushedReceivesChangesBetweenWatches(t *testing.T) {
	watch, agent := followAgent(t, 500*time.Millisecond)
	for i := range 200 {
		pushed := readyEndpoint
		if i%2 == 1 {
			pushed = drainingEndpoint
		}
		agent.Push(pushed)
		if i%3 == 0 {
			continue // push again without waiting: a call may not be in flight yet
		}
		list := config.EndpointList{}
		for timeout := time.Now().Add(testTimeout); list.Version < int64(i)+2; {
			if time.Now().After(timeout) {
				t.Fatalf("change %d was not received in time", i)
			}
			list = watch.nextChange(t)
		}
		if list.Endpoints[0].State != pushed.State {
			t.Fatalf("change %d: list %+v does not have the pushed state", i, list)
		}
	}
}
