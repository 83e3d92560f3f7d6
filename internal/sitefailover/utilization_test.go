package sitefailover

import (
	"fmt"
	"math"
	"testing"
)

// The capacity of endpoints shows in what they do for this router beside how busy they are with all work, however noisy
// single reports are, and though the router sends to some of them only.
func TestFairCapacity(t *testing.T) {
	var tracker UtilizationTracker
	if _, ok := tracker.FairCapacity(); ok {
		t.Error("a capacity is known before any report")
	}
	for i := range 60 {
		// Two routers alike: each sends to one endpoint only. An endpoint can do 1, half of it for each router.
		tracker.Record("near", 0.3, 0.3+0.25*math.Sin(float64(i)))
		tracker.Record("far", 0, 0.3+0.25*math.Cos(float64(i)))
	}
	if capacity, ok := tracker.FairCapacity(); !ok || math.Abs(capacity-0.5) > 0.06 {
		t.Errorf("capacity is %.2f (known: %v), want 0.5", capacity, ok)
	}
	tracker.Retain(func(id string) bool { return id == "near" })
	if len(tracker.endpoints) != 1 {
		t.Errorf("%d endpoints are retained, want 1", len(tracker.endpoints))
	}
	for i := range 2 * maxTrackedEndpoints {
		tracker.Record(fmt.Sprint(i), 1, 1)
	}
	if len(tracker.endpoints) > maxTrackedEndpoints {
		t.Errorf("%d endpoints are tracked, want at most %d", len(tracker.endpoints), maxTrackedEndpoints)
	}
	var fresh UtilizationTracker
	for range minReports - 1 {
		fresh.Record("m", 0.3, 0.3)
	}
	if _, ok := fresh.FairCapacity(); ok {
		t.Errorf("a capacity is told from %d reports", minReports-1)
	}
	var idle UtilizationTracker
	for range 60 {
		idle.Record("m", 0.001, 0.001)
	}
	if _, ok := idle.FairCapacity(); ok {
		t.Error("a capacity is told from the reports of idle endpoints")
	}
}
