package sitefailover

import (
	"testing"
	"time"
)

// A constant demand is measured correctly after a few seconds, and a changed one after a few time constants. A key
// without requests is deleted, and the number of keys, which clients can make up, is bounded.
func TestDemandMeter(t *testing.T) {
	var meter DemandMeter
	key := DemandKey{Class: "view", Group: 1}
	now := time.Hour
	record := func(rate float64, length time.Duration) {
		interval := time.Duration(float64(time.Second) / rate)
		for end := now + length; now < end; now += interval {
			meter.Record(now, key)
		}
	}
	expectRate := func(least, most float64) {
		t.Helper()
		if rate := meter.Rates(now)[key]; rate < least || rate > most {
			t.Errorf("rate is %v, want %v to %v", rate, least, most)
		}
	}
	record(20, 2*time.Second)
	expectRate(18, 23)
	record(20, time.Minute)
	expectRate(18, 22)
	record(60, 30*time.Second)
	expectRate(54, 64)
	if rate := meter.RatesByClass(now)["view"]; rate < 54 {
		t.Errorf("rate of the class is %v, want at least 54", rate)
	}
	now += 5 * time.Minute
	if rates := meter.Rates(now); len(rates) != 0 {
		t.Errorf("rates are %v after five minutes without a request, want none", rates)
	}
	for group := range int64(3 * maxDemandKeys) {
		meter.Record(now, DemandKey{Class: "view", Group: group})
	}
	if len(meter.demands) > maxDemandKeys {
		t.Errorf("%d keys, want at most %d", len(meter.demands), maxDemandKeys)
	}
	now += 5 * time.Minute
	meter.Record(now, DemandKey{Class: "view", Group: -1})
	if len(meter.demands) != 1 {
		t.Errorf("%d keys, want only the one with a recent request", len(meter.demands))
	}
}
