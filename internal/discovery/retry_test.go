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

// followAgent follows the lists that are pushed to an agent, and has received the first one.
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
		t.Fatalf("%+v", list)
	}
	return watch, agent
}

// nextChange returns the next list that names an endpoint, whatever calls fail before it.
func (w *testWatch) nextChange(t *testing.T) config.EndpointList {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case list := <-w.lists:
			if len(list.Endpoints) > 0 {
				return list
			}
		case <-timeout:
			t.Fatal("no change was reported")
		}
	}
}

// Where lists are pushed nobody calls Poll: the watch goes on by itself through every failure, and receives what came
// meanwhile.
func TestFollowPushedRetriesByItself(t *testing.T) {
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
				for range 3 { // it has retried and failed
					select {
					case <-watch.failures:
					case <-time.After(testTimeout):
						t.Fatal("it does not retry")
					}
				}
				agent.Push(drainingEndpoint)
				restore()
				if list := watch.nextChange(t); list.Endpoints[0].State != "draining" {
					t.Fatalf("%+v", list)
				}
			}
		})
	}
}

// A call that fails, whichever way, is found and made again within three quarters of the grace.
func TestPushedListIsReceivedWithinTheGrace(t *testing.T) {
	for _, milliseconds := range []time.Duration{200, 500, 2_000, 10_000} {
		grace := milliseconds * time.Millisecond
		lim := pushedLimits(grace).Discovery
		failed := max(lim.LongPollTimeout+lim.WatchSlack, lim.CallTimeout)
		if again := failed + lim.MaxRetryInterval; again > grace*3/4 {
			t.Errorf("grace %v: made again after %v", grace, again)
		}
		backoff := retryBackoff{maxInterval: lim.MaxRetryInterval, rng: rand.New(rand.NewPCG(1, 2))}
		for range 50 {
			if delay := backoff.nextDelay(); delay > lim.MaxRetryInterval || delay <= 0 {
				t.Errorf("grace %v: a delay of %v", grace, delay)
			}
		}
		backoff.reset()
		if delay := backoff.nextDelay(); delay > initialRetryInterval {
			t.Errorf("grace %v: a first delay of %v", grace, delay)
		}
	}
	for _, grace := range []time.Duration{0, time.Millisecond} {
		lim := pushedLimits(grace).Discovery
		if lim.LongPollTimeout < 20*time.Millisecond || lim.MaxRetryInterval < 20*time.Millisecond {
			t.Errorf("grace %v: calls all the time, %+v", grace, lim)
		}
	}
}

// Where lists are pushed a full list costs nobody anything, however many routers there are; asked of a service that
// all routers share, it does in a large fleet.
func TestFullListIsAskedForWhereItIsCheap(t *testing.T) {
	fleet := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(80)
	if !fleet.Discovery.ResumeFromKnown {
		t.Error("80 routers ask for a full list")
	}
	if fleet.ForPushedLists(time.Second).Discovery.ResumeFromKnown {
		t.Error("a full list is not asked for where it is pushed")
	}
}

// The delay doubles with each failure, up to its bound, and is drawn from the upper half.
func TestRetryBackoffGrows(t *testing.T) {
	backoff := retryBackoff{maxInterval: 50 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
	for i, interval := range []time.Duration{10, 20, 40, 50, 50} {
		interval *= time.Millisecond
		if delay := backoff.nextDelay(); delay < interval/2 || delay > interval {
			t.Errorf("delay %d is %v, want %v to %v", i, delay, interval/2, interval)
		}
	}
}

// An agent whose watches do not wait is not called without pause.
func TestAgentThatDoesNotWaitIsNotCalledWithoutPause(t *testing.T) {
	watch, agent := followAgent(t, 500*time.Millisecond)
	agent.AnswerAtOnce(true)
	callsBefore, start := agent.Calls(), time.Now()
	time.Sleep(300 * time.Millisecond)
	calls := agent.Calls() - callsBefore
	elapsed := time.Since(start)
	if most := int(elapsed/(50*time.Millisecond)) + 2; calls > most {
		t.Errorf("%d calls in %v", calls, elapsed)
	}
	agent.Push(drainingEndpoint)
	if list := watch.nextChange(t); list.Endpoints[0].State != "draining" {
		t.Fatalf("%+v", list)
	}
}

// What an agent is sent between two watches of a router, or several times during one, is received with the next call.
func TestFollowPushedReceivesWhatCameBetweenWatches(t *testing.T) {
	watch, agent := followAgent(t, 500*time.Millisecond)
	for i := range 200 {
		pushed := readyEndpoint
		if i%2 == 1 {
			pushed = drainingEndpoint
		}
		agent.Push(pushed)
		if i%3 == 0 {
			continue // the next push follows at once: a call may not be out yet
		}
		list := config.EndpointList{}
		for timeout := time.Now().Add(testTimeout); list.Version < int64(i)+2; {
			if time.Now().After(timeout) {
				t.Fatalf("change %d is not received", i)
			}
			list = watch.nextChange(t)
		}
		if list.Endpoints[0].State != pushed.State {
			t.Fatalf("change %d: %+v", i, list)
		}
	}
}
