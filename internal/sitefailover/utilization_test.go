package sitefailover

import (
	"fmt"
	"math"
	"testing"
)

// The capacity is estimated from the work for this router and the utilization by all work, even if single reports are
// noisy and the router sends to only some of the endpoints.
func TestFairCapacity(t *testing.T) {
	var tracker UtilizationTracker
	if _, ok := tracker.FairCapacity(); ok {
		t.Error("FairCapacity returned an estimate before any report, want none")
	}
	for i := range 60 {
		// There are two similar routers, and each sends to one endpoint only. An endpoint has a capacity of 1, which is
		// 0.5 for each router.
		tracker.Record("near", 0.3, 0.3+0.25*math.Sin(float64(i)))
		tracker.Record("far", 0, 0.3+0.25*math.Cos(float64(i)))
	}
	if capacity, ok := tracker.FairCapacity(); !ok || math.Abs(capacity-0.5) > 0.06 {
		t.Errorf("capacity is %.2f (ok: %v), want 0.5", capacity, ok)
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
		t.Errorf("FairCapacity returned an estimate from %d reports, want none", minReports-1)
	}
	var idle UtilizationTracker
	for range 60 {
		idle.Record("m", 0.001, 0.001)
	}
	if _, ok := idle.FairCapacity(); ok {
		t.Error("FairCapacity returned an estimate from the reports of idle endpoints, want none")
	}
}
