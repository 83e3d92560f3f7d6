package failover

import (
	"testing"
	"time"
)

func TestSilenceTimeoutFollowsResponseTimes(t *testing.T) {
	detector := newSilenceDetector()
	if got := detector.timeout(); got != minSilenceTimeout {
		t.Errorf("timeout %v before a measurement", got)
	}
	detector.recordResponseTime(100 * ms) // a deviation of half the mean is assumed
	if got, want := detector.timeout(), 800*ms; got != want {
		t.Errorf("timeout %v, want %v", got, want)
	}
	for range 500 {
		detector.recordResponseTime(100 * ms)
	}
	if got := detector.timeout(); got < 200*ms || got > 201*ms {
		t.Errorf("timeout %v of steady answers, want twice their time", got)
	}
	for range 500 {
		detector.recordResponseTime(ms)
	}
	if got := detector.timeout(); got != minSilenceTimeout {
		t.Errorf("timeout %v of fast answers, want %v", got, minSilenceTimeout)
	}
}

func TestWrongSuspicionsExtendTheSilenceTimeout(t *testing.T) {
	detector := newSilenceDetector()
	detector.recordResponseTime(100 * ms)
	before := detector.timeout()
	detector.suspectedWrongly()
	if got := detector.timeout(); got != before*3/2 {
		t.Errorf("timeout %v after one wrong suspicion, want %v", got, before*3/2)
	}
	for range 50 {
		detector.suspectedWrongly()
	}
	if got := detector.timeout(); got != before*maxSilenceLeniency {
		t.Errorf("timeout %v after many, want %v", got, before*maxSilenceLeniency)
	}
}

func TestSilenceDeadline(t *testing.T) {
	detector := newSilenceDetector()
	check := func(when string, want time.Duration, wantOK bool) {
		t.Helper()
		if got, ok := detector.deadline(); got != want || ok != wantOK {
			t.Errorf("%s: %v %v, want %v %v", when, got, ok, want, wantOK)
		}
	}
	check("nothing in flight", 0, false)
	detector.attemptSent("a", 10*ms)
	detector.attemptSent("b", 20*ms)
	check("two in flight", 10*ms+minSilenceTimeout, true)
	detector.attemptEnded("a")
	check("the second in flight", 20*ms+minSilenceTimeout, true)
	detector.lastAnswerAt = 30 * ms
	check("after an answer", 30*ms+minSilenceTimeout, true)
	detector.attemptEnded("unknown")
	detector.attemptEnded("b")
	check("all ended", 0, false)
}
