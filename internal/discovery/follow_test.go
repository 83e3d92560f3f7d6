package discovery

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

// follow starts a watch that goes on by itself, at an agent, within a grace.
func followAgent(t *testing.T, grace time.Duration) (recordingListener, *testserver.Agent) {
	a, err := testserver.NewAgent(config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: "ready"})
	if err != nil {
		t.Fatal(err)
	}
	l := eventloop.New()
	e, err := transport.New(l, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s := recordingListener{make(chan config.EndpointList, 999), make(chan bool, 999)}
	lim := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForPushedLists(grace)
	watcher := New(l, e, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), a.Addr, s)
	go l.Run(func() {})
	l.Post(func() { watcher.FollowPushed(7) })
	t.Cleanup(func() { l.Post(watcher.Stop); l.Stop(); e.Stop(); a.Stop() })
	if got := nextNonEmptyList(t, s); !got.Full || len(got.Endpoints) != 1 {
		t.Fatalf("%+v", got)
	}
	return s, a
}

// next is the next list that says something.
func nextNonEmptyList(t *testing.T, s recordingListener) config.EndpointList {
	t.Helper()
	for end := time.After(20 * time.Second); ; {
		select {
		case l := <-s.lists:
			if len(l.Endpoints) > 0 {
				return l
			}
		case <-end:
			t.Fatal("nothing is told")
		}
	}
}

// Where lists are pushed nobody calls Track: the watch goes on by itself through every failure, and hears what came
// meanwhile.
func TestFollowGoesOnByItself(t *testing.T) {
	drain := config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: "draining"}
	for name, fail := range map[string]func(a *testserver.Agent) (back func()){
		"silent": func(a *testserver.Agent) func() { a.Silent(true); return func() { a.Silent(false) } },
		"busy":   func(a *testserver.Agent) func() { a.Fault(503); return func() { a.Fault(0) } },
		"away": func(a *testserver.Agent) func() {
			a.Stop()
			return func() {
				if err := a.Start(); err != nil {
					t.Error(err)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, a := followAgent(t, 500*time.Millisecond)
			for range 2 {
				back := fail(a)
				for range 3 { // it has tried again and failed
					select {
					case <-s.fails:
					case <-time.After(20 * time.Second):
						t.Fatal("it does not try again")
					}
				}
				a.Push(drain)
				back()
				if got := nextNonEmptyList(t, s); got.Endpoints[0].State != "draining" {
					t.Fatalf("%+v", got)
				}
			}
		})
	}
}

// A call that fails, whichever way, is found and made again within three quarters of the grace.
func TestPushedIsHeardWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		l := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForPushedLists(grace)
		if found := max(l.Discovery.LongPollTimeout+l.Discovery.WatchSlack, l.Discovery.CallTimeout) + l.Discovery.MaxRetryInterval; found > grace*3/4 {
			t.Errorf("grace %v: made again after %v", grace, found)
		}
		p := retryBackoff{maxInterval: l.Discovery.MaxRetryInterval, rng: rand.New(rand.NewPCG(1, 2))}
		for range 50 {
			if gap := p.nextDelay(); gap > l.Discovery.MaxRetryInterval || gap <= 0 {
				t.Errorf("grace %v: a wait of %v", grace, gap)
			}
		}
		if p.reset(); p.nextDelay() > initialRetryInterval {
			t.Errorf("grace %v: a first wait is long", grace)
		}
	}
	// A whole list costs nobody anything here, however many routers there are; asked for, it does in a large fleet.
	if l := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForFleet(80); !l.Discovery.ResumeFromKnown || l.ForPushedLists(time.Second).Discovery.ResumeFromKnown {
		t.Error("a whole list is taken for dear where it is pushed, or for cheap where 80 ask for it")
	}
	for _, grace := range []time.Duration{0, time.Millisecond} {
		if l := limits.New(192, 1024, 250*time.Millisecond, time.Second, time.Second).ForPushedLists(grace); l.Discovery.LongPollTimeout < 20*time.Millisecond || l.Discovery.MaxRetryInterval < 20*time.Millisecond {
			t.Errorf("grace %v: asks all the time, %+v", grace, l)
		}
	}
}

// An agent whose watches do not wait is not asked without pause.
func TestHastyAgentIsNotAskedWithoutPause(t *testing.T) {
	s, a := followAgent(t, 500*time.Millisecond)
	a.Hasty(true)
	was, at := a.Calls(), time.Now()
	time.Sleep(300 * time.Millisecond)
	if n, most := a.Calls()-was, int(time.Since(at)/(50*time.Millisecond))+2; n > most {
		t.Errorf("%d calls in %v", n, time.Since(at))
	}
	a.Push(config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: "draining"})
	if got := nextNonEmptyList(t, s); got.Endpoints[0].State != "draining" {
		t.Fatalf("%+v", got)
	}
}

// What an agent is sent between two watches of a router, or several times in one, is heard with the next call.
func TestFollowHearsWhatCameBetweenWatches(t *testing.T) {
	s, a := followAgent(t, 500*time.Millisecond)
	for i := range 200 {
		state := []string{"ready", "draining"}[i%2]
		a.Push(config.EndpointEntry{ID: "s", Addr: "127.0.0.1:1", State: state})
		if i%3 == 0 { // at once behind an answer: the next call may not be out yet
			continue
		}
		for end := time.Now().Add(20 * time.Second); ; {
			if got := nextNonEmptyList(t, s); got.Version >= int64(i)+2 {
				if got.Endpoints[0].State != state {
					t.Fatalf("change %d: %+v", i, got)
				}
				break
			}
			if time.Now().After(end) {
				t.Fatalf("change %d is not heard", i)
			}
		}
	}
}
