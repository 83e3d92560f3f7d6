package failover

import (
	"testing"
	"time"
)

func TestSilenceTimeoutFollowsResponseTimes(t *testing.T) {
	detector := newSilenceDetector()
	if got := detector.timeout(); got != minSilenceTimeout {
		t.Errorf("timeout is %v before a measurement, want the minimum", got)
	}
	detector.recordResponseTime(100 * ms) // the first measurement sets the deviation to half the mean
	if got, want := detector.timeout(), 800*ms; got != want {
		t.Errorf("timeout is %v after one measurement, want %v", got, want)
	}
	for range 500 {
		detector.recordResponseTime(100 * ms)
	}
	if got := detector.timeout(); got < 200*ms || got > 201*ms {
		t.Errorf("timeout is %v for constant response times of 100 ms, want 200ms to 201ms", got)
	}
	for range 500 {
		detector.recordResponseTime(ms)
	}
	if got := detector.timeout(); got != minSilenceTimeout {
		t.Errorf("timeout is %v for fast responses, want %v", got, minSilenceTimeout)
	}
}

func TestWrongSuspicionsExtendTheSilenceTimeout(t *testing.T) {
	detector := newSilenceDetector()
	detector.recordResponseTime(100 * ms)
	before := detector.timeout()
	detector.recordWrongSuspicion()
	if got := detector.timeout(); got != before*3/2 {
		t.Errorf("timeout is %v after one wrong suspicion, want %v", got, before*3/2)
	}
	for range 50 {
		detector.recordWrongSuspicion()
	}
	if got := detector.timeout(); got != before*maxTimeoutMultiplier {
		t.Errorf("timeout is %v after many wrong suspicions, want %v", got, before*maxTimeoutMultiplier)
	}
}

func TestSilenceDeadline(t *testing.T) {
	detector := newSilenceDetector()
	check := func(when string, want time.Duration, wantOK bool) {
		t.Helper()
		if got, ok := detector.deadline(); got != want || ok != wantOK {
			t.Errorf("%s: deadline is %v (ok: %v), want %v (ok: %v)", when, got, ok, want, wantOK)
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
