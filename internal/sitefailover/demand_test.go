package sitefailover

import (
	"testing"
	"time"
)

// A steady demand is measured from its first second on, a change within some spans; what is no more asked for is forgotten, and names that
// clients make up are bounded.
func TestMeter(t *testing.T) {
	var m DemandMeter
	k, now := DemandKey{"view", 1}, time.Hour
	ask := func(rate float64, d time.Duration) {
		for end := now + d; now < end; now += time.Duration(float64(time.Second) / rate) {
			m.Record(now, k)
		}
	}
	is := func(least, most float64) {
		t.Helper()
		if v := m.Rates(now)[k]; v < least || v > most {
			t.Errorf("%v, not %v to %v", v, least, most)
		}
	}
	ask(20, 2*time.Second)
	is(18, 23)
	ask(20, time.Minute)
	is(18, 22)
	ask(60, 30*time.Second)
	is(54, 64)
	if v := m.RatesByClass(now)["view"]; v < 54 {
		t.Errorf("%v", v)
	}
	now += 5 * time.Minute
	if len(m.Rates(now)) != 0 {
		t.Errorf("%v", m.Rates(now))
	}
	for i := range 3 * maxDemandKeys {
		m.Record(now, DemandKey{"view", int64(i)})
	}
	if len(m.demands) > maxDemandKeys {
		t.Errorf("%d names", len(m.demands))
	}
	now += 5 * time.Minute
	if m.Record(now, DemandKey{"view", -1}); len(m.demands) != 1 {
		t.Errorf("%d names", len(m.demands))
	}
}
