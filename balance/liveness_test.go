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
	quick, slow, crowded := attemptOf(0.001, 0), attemptOf(1, 0), attemptOf(0.001, 0.5)
	for _, c := range []struct {
		name        string
		inFlight    []*attempt
		least, most time.Duration
	}{
		{"quick answers are given a pause at least", []*attempt{quick}, pauseThreshold, pauseThreshold},
		{"one slow attempt", []*attempt{slow}, 6 * time.Second, 7 * time.Second},
		{"the slowest of several counts", []*attempt{quick, slow}, 3 * time.Second, 5 * time.Second},
		{"five in flight, an answer comes sooner", slices.Repeat([]*attempt{slow}, 5), 2 * time.Second, 3 * time.Second},
		{"a slow endpoint", []*attempt{crowded}, 3 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := silenceTimeout(c.inFlight...); got < c.least || got > c.most {
				t.Errorf("%v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

func TestSilentReplicaIsAvoidedAndItsReadsMove(t *testing.T) {
	s := &silentReplica{harness: newReadyHarness(t, testConfig()), stuck: map[string]bool{}}
	for i := range 300 {
		s.countLate = i > 200
		answers := s.answer(s.step(10*ms, s.request("any")))
		for len(answers) > 0 {
			answers = s.answer(s.step(0, answers...))
		}
	}
	if s.moved == 0 || s.late > 3 {
		t.Fatalf("%d reads moved, %d sent to a silent endpoint after 2 s", s.moved, s.late)
	}
}

// silentReplica answers all attempts but those at b, which says nothing.
type silentReplica struct {
	*harness
	stuck     map[string]bool // requests that were sent to b
	moved     int             // requests of these that were sent elsewhere
	late      int             // attempts at b while they count
	countLate bool
}

func (s *silentReplica) answer(actions []Action) []Event {
	var answers []Event
	for _, send := range actionsOf[Send](actions) {
		if send.Endpoint == "b" {
			s.stuck[send.ID] = true
			if s.countLate {
				s.late++
			}
			continue
		}
		if s.stuck[send.ID] {
			s.moved++
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

// A slow class must not make its endpoints suspect: the silence timeout goes by what is in flight.
func TestLongRequestIsGivenTime(t *testing.T) {
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
		t.Fatalf("a report of 2.5 s, aim 4 s, was withdrawn %d times", got)
	}
}

// An instance that did not run for a while must not take its own pause for the silence of endpoints.
func TestOwnPauseIsNoSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.expectSends(h.step(ms, h.request("any")), "bc")
	for _, a := range actionsOf[LogMessage](h.step(3 * time.Second)) {
		if strings.Contains(a.Text, "suspect") {
			t.Fatal(a.Text)
		}
	}
}

// The end of a cancelled attempt may be lost on its way: the client still gets its answer in time.
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
		t.Fatalf("%v, want one withdrawal and one refusal", acts)
	}
}

// A connection that falls silent while its endpoint answers others is given up; it is no sign of a silent endpoint.
func TestSilentConnectionIsNoSilentEndpoint(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	read, write := h.request("latest"), h.request("write")
	read.TimeLeft, write.TimeLeft = 2*time.Second, 3*time.Second
	h.expectSends(h.step(ms, read, write), "a", "a")
	cancelled := 0
	step := func(d time.Duration, e ...Event) {
		for _, c := range actionsOf[Cancel](h.step(d, e...)) {
			if c.ID != read.ID {
				t.Fatalf("%+v: a write must not be taken back", c)
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
			t.Fatalf("suspect after %d answers", i)
		}
		if i%20 == 19 { // a lull: nothing is out but the silent ones
			for range 20 {
				step(10 * ms)
			}
			if h.balancer.endpoints["a"].health.suspect {
				t.Fatal("suspect in a lull")
			}
		}
	}
	if cancelled != 1 {
		t.Fatalf("%d attempts were taken back", cancelled)
	}
}

// Where requests take a few milliseconds a pause of twenty is not silence: the scheduler alone may cause it.
func TestShortPauseIsNoSilence(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	for range 200 { // answers take 2 ms
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
		t.Fatal("suspect after 20 ms")
	}
	h.step(30 * ms)
	h.step(20 * ms)
	h.step(20 * ms)
	if !h.balancer.endpoints["a"].health.suspect {
		t.Fatal("its silence is not seen")
	}
}
