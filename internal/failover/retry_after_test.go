package failover

import (
	"testing"
	"time"
)

func TestRetryAfterFollowsTheFailover(t *testing.T) {
	for name, test := range map[string]struct {
		elapsed time.Duration // of the failover
		most    time.Duration // MaxRetryAfter
		want    time.Duration // the least value; up to a quarter more is added at random
	}{
		"at the start":          {0, 0, defaultFailoverDuration},
		"near the usual end":    {defaultFailoverDuration - ms, 0, minRetryAfter},
		"longer than usual":     {10 * time.Second, 0, 5 * time.Second},
		"bounded by the config": {10 * time.Second, time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxRetryAfter = test.most
			tracker := newTestTracker(cfg, 1, 1)
			tracker.SuspectPrimary(time.Minute, 0, "n0-0")
			for range 100 {
				got := tracker.retryAfter(tracker.groups[0], time.Minute+test.elapsed)
				if got < test.want || got > test.want*5/4 {
					t.Fatalf("retry after %v, want between %v and 5/4 of that", got, test.want)
				}
				if test.most > 0 && got > test.most {
					t.Fatalf("retry after %v, want at most %v", got, test.most)
				}
			}
		})
	}
}

func TestAverageFailoverDuration(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	const lasted = 3 * time.Second
	for i := range 100 {
		start := time.Duration(i) * time.Minute
		tracker.SuspectPrimary(start, 0, "n0-0")
		tracker.ObservePrimary(start+lasted, 0, "n0-0")
		tracker.Tick(start + lasted + 1)
		tracker.Tick(start + lasted + 2*settleTime)
	}
	if got := tracker.averageFailoverDuration; got < lasted-ms || got > lasted+ms {
		t.Errorf("average failover duration is %v, want %v", got, lasted)
	}
}
