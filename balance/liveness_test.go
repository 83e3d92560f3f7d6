package balance

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSilenceTimeout(t *testing.T) {
	attemptOf := func(latency, latencyRatio float64) *attempt {
		return &attempt{
			request:  &request{class: &classState{Class: Class{LatencyObjective: time.Second}, latency: latency}},
			endpoint: &endpoint{limit: concurrencyLimit{latencyRatio: latencyRatio}},
		}
	}
	fast, slow, congested := attemptOf(0.001, 0), attemptOf(1, 0), attemptOf(0.001, 0.5)
	for _, c := range []struct {
		name        string
		inFlight    []*attempt
		least, most time.Duration
	}{
		{"a fast class gets at least the pause threshold", []*attempt{fast}, pauseThreshold, pauseThreshold},
		{"one attempt of a slow class", []*attempt{slow}, 6 * time.Second, 7 * time.Second},
		{"the slowest of several attempts counts", []*attempt{fast, slow}, 3 * time.Second, 5 * time.Second},
		{"the first of five slow attempts ends sooner", slices.Repeat([]*attempt{slow}, 5), 2 * time.Second, 3 * time.Second},
		{"a slow endpoint", []*attempt{congested}, 3 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := silenceTimeout(c.inFlight...); got < c.least || got > c.most {
				t.Errorf("timeout %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestReadsOfSilentReplicaAreRepeatedElsewhere(t *testing.T) {
	s := &silentReplica{harness: newReadyHarness(t, testConfig()), sentToSilent: map[string]bool{}}
	for i := range 300 {
		s.countLate = i > 200
		answers := s.answer(s.step(10*ms, s.request("any")))
		for len(answers) > 0 {
			answers = s.answer(s.step(0, answers...))
		}
	}
	if s.sentElsewhere == 0 || s.lateSends > 3 {
		t.Fatalf("%d reads repeated elsewhere, %d sent to the silent endpoint after 2 s, want some and at most 3",
			s.sentElsewhere, s.lateSends)
	}
}

// silentReplica is a harness that answers all attempts except those at endpoint b.
type silentReplica struct {
	*harness
	sentToSilent  map[string]bool // ids of the requests that were sent to b
	sentElsewhere int             // attempts elsewhere of requests that were sent to b
	lateSends     int             // attempts at b while countLate is set
	countLate     bool
}

func (s *silentReplica) answer(actions []Action) []Event {
	var answers []Event
	for _, send := range actionsOf[Send](actions) {
		if send.Endpoint == "b" {
			s.sentToSilent[send.ID] = true
			if s.countLate {
				s.lateSends++
			}
			continue
		}
		if s.sentToSilent[send.ID] {
			s.sentElsewhere++
		}
		answers = append(answers, AttemptResult{
			ID: send.ID, Attempt: s.attempts(send.ID) - 1, Endpoint: send.Endpoint, Status: StatusDone,
			Elapsed: 5 * ms, Finished: true,
		})
	}
	for _, c := range actionsOf[Cancel](actions) {
		answers = append(answers, AttemptResult{ID: c.ID, Attempt: c.Attempt, Endpoint: "b", Status: StatusCancelled})
	}
	return answers
}

// A slow class must not make its endpoints suspect: the silence timeout allows for the classes in flight.
func TestSilenceTimeoutCoversSlowClass(t *testing.T) {
	c := testConfig()
	c.Classes = append(
		c.Classes,
		Class{Name: "report", LatencyObjective: 4 * time.Second, ClientTimeout: 9 * time.Second, PriorityWeight: 1},
	)
	h := newReadyHarness(t, c)
	q := h.request("report")
	q.TimeLeft = 9 * time.Second
	acts := h.step(ms, q)
	for range 250 {
		acts = append(acts, h.step(10*ms)...)
	}
	if got := len(actionsOf[Cancel](acts)); got != 0 {
		t.Fatalf("%d attempts cancelled of a class with a latency objective of 4 s, after 2.5 s, want none", got)
	}
}

// After a pause of its own process, an instance must not consider its endpoints silent.
func TestOwnPauseIsNotEndpointSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(ms, h.request("any")), "bc")
	for _, a := range actionsOf[LogMessage](h.step(3 * time.Second)) {
		if strings.Contains(a.Text, "suspect") {
			t.Fatal(a.Text)
		}
	}
}

// The result of a cancelled attempt may never arrive. The client must be answered in time all the same.
func TestCancelledReadIsAnsweredInTime(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	q := h.request("any")
	h.expectSends(h.step(ms, q), "bc")
	h.reportAll("a")
	var acts []Action
	for range 110 {
		acts = append(acts, h.step(10*ms)...)
	}
	if len(actionsOf[Cancel](acts)) != 1 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("got actions %v, want one cancellation and one rejection", acts)
	}
}

// If one connection is silent while its endpoint answers on others, its attempt is cancelled, but the endpoint must not
// become suspect.
func TestSilentConnectionIsNotASilentEndpoint(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	read, write := h.request("latest"), h.request("write")
	read.TimeLeft, write.TimeLeft = 2*time.Second, 3*time.Second
	h.expectSends(h.step(ms, read, write), "a", "a")
	cancelled := 0
	step := func(d time.Duration, e ...Event) {
		for _, c := range actionsOf[Cancel](h.step(d, e...)) {
			if c.ID != read.ID {
				t.Fatalf("%+v, want only the read cancelled", c)
			}
			cancelled++
			h.step(0, AttemptResult{ID: c.ID, Endpoint: "a", Status: StatusCancelled, Finished: true})
		}
	}
	for i := range 100 {
		q := h.request("write")
		step(10*ms, q)
		step(
			5*ms,
			AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 5 * ms, Finished: true, Role: RolePrimary},
		)
		if h.balancer.endpoints["a"].health.suspect {
			t.Fatalf("endpoint suspect after %d responses, want it not suspect", i)
		}
		if i%20 == 19 { // for a while, only the silent attempts are in flight
			for range 20 {
				step(10 * ms)
			}
			if h.balancer.endpoints["a"].health.suspect {
				t.Fatal("endpoint suspect while only silent attempts were in flight, want it not suspect")
			}
		}
	}
	if cancelled != 1 {
		t.Fatalf("%d attempts cancelled, want 1", cancelled)
	}
}

// If requests take a few milliseconds, a gap of 20 ms is not silence: the scheduler alone may cause it.
func TestShortGapIsNotSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for range 200 { // responses take 2 ms
		q := h.request("write")
		h.expectSends(h.step(ms, q), "a")
		h.step(
			2*ms,
			AttemptResult{ID: q.ID, Endpoint: "a", Status: StatusDone, Elapsed: 2 * ms, Finished: true, Role: RolePrimary},
		)
	}
	for range 4 {
		h.expectSends(h.step(ms, h.request("write")), "a")
	}
	h.step(20 * ms)
	if h.balancer.endpoints["a"].health.suspect {
		t.Fatal("endpoint suspect after 20 ms, want it not suspect")
	}
	h.step(30 * ms)
	h.step(20 * ms)
	h.step(20 * ms)
	if !h.balancer.endpoints["a"].health.suspect {
		t.Fatal("endpoint not suspect after 90 ms of silence, want it suspect")
	}
}
