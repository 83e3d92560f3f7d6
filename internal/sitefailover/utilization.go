package sitefailover

import (
	"maps"
	"slices"
)

const (
	// reportWeight is the weight of a new report in the moving means.
	reportWeight = 0.1
	// minReports is the number of reports of all endpoints from which on they tell a capacity.
	minReports = 8
	// minBusyShare is the mean utilization below which reports tell nothing but noise.
	minBusyShare = 0.02
	// maxTrackedEndpoints bounds the endpoints that are followed.
	maxTrackedEndpoints = 4096
)

// UtilizationTracker estimates the capacity of endpoints from their load reports, beside the work that they do for this
// router. The zero UtilizationTracker is ready for use. It is not safe for concurrent use.
type UtilizationTracker struct {
	endpoints map[string]*utilization
}

// utilization holds moving means of what an endpoint reports. They are kept apart because the mean of the quotient of
// two noisy figures would be far too high.
type utilization struct {
	workRate  float64 // for this router, in seconds of work a second
	busyShare float64 // by the work of all routers
	reports   int
}

// Record takes a load report. workRate is what the endpoint does for this router, in seconds of work a second,
// busyShare the part of the endpoint that is busy with all its work.
func (u *UtilizationTracker) Record(endpoint string, workRate, busyShare float64) {
	means := u.endpoints[endpoint]
	if means == nil {
		if len(u.endpoints) >= maxTrackedEndpoints {
			return
		}
		if u.endpoints == nil {
			u.endpoints = map[string]*utilization{}
		}
		means = &utilization{}
		u.endpoints[endpoint] = means
	}
	means.add(workRate, busyShare)
}

// add takes a report into the means. The first reports count more, so that they don't count from zero.
func (u *utilization) add(workRate, busyShare float64) {
	u.reports++
	weight := max(reportWeight, 1/float64(u.reports))
	u.workRate += weight * (workRate - u.workRate)
	u.busyShare += weight * (busyShare - u.busyShare)
}

// FairCapacity returns what an endpoint can do for this router, in seconds of work a second, if the router gets the
// same part of each endpoint as it has of the work of all endpoints now. Of a single endpoint it may have much more, or
// nothing, because it prefers its own site; once a site is lost that is over. ok is false where too little is known.
func (u *UtilizationTracker) FairCapacity() (capacity float64, ok bool) {
	workRate := 0.0
	busyShare := 0.0
	reports := 0
	// The order is fixed because a sum of floating-point numbers depends on it.
	for _, id := range slices.Sorted(maps.Keys(u.endpoints)) {
		means := u.endpoints[id]
		workRate += means.workRate
		busyShare += min(1, means.busyShare)
		reports += means.reports
	}
	idle := busyShare < minBusyShare*float64(len(u.endpoints))
	if reports < minReports || workRate <= 0 || idle {
		return 0, false
	}
	return workRate / busyShare, true
}

// Retain forgets the endpoints for which keep returns false.
func (u *UtilizationTracker) Retain(keep func(endpoint string) bool) {
	for id := range u.endpoints {
		if !keep(id) {
			delete(u.endpoints, id)
		}
	}
}
