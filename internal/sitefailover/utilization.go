package sitefailover

import (
	"maps"
	"slices"
)

const (
	// reportWeight is the weight of a new report in the moving averages.
	reportWeight = 0.1
	// minReports is the number of reports, over all endpoints, that are needed for an estimate.
	minReports = 8
	// minBusyShare is the mean utilization below which reports are too noisy for an estimate.
	minBusyShare = 0.02
	// maxTrackedEndpoints is the maximum number of tracked endpoints.
	maxTrackedEndpoints = 4096
)

// UtilizationTracker estimates the capacity of endpoints from their load reports and from the work that they do for
// this router. The zero UtilizationTracker is ready for use. It is not safe for concurrent use.
type UtilizationTracker struct {
	endpoints map[string]*utilization
}

// utilization holds moving averages of the values in an endpoint's reports. There is one average for each value,
// because the mean of the quotient of two noisy values would be far too high.
type utilization struct {
	workRate  float64 // work for this router, in seconds of work per second
	busyShare float64 // utilization by the work of all routers, 1 = fully busy
	reports   int
}

// Record records a load report. workRate is the work that the endpoint does for this router, in seconds of work per
// second. busyShare is the utilization of the endpoint by the work of all routers.
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

// add updates the moving averages with a report. The first reports have a higher weight, so that the averages don't
// start from zero.
func (u *utilization) add(workRate, busyShare float64) {
	u.reports++
	weight := max(reportWeight, 1/float64(u.reports))
	u.workRate += weight * (workRate - u.workRate)
	u.busyShare += weight * (busyShare - u.busyShare)
}

// FairCapacity returns the capacity of an endpoint for this router, in seconds of work per second, assuming that the
// router's share of each endpoint equals its current share of the work of all endpoints. Its current share of a single
// endpoint may be much higher, or zero, because it prefers its own site; that no longer holds once a site is lost. ok
// is false if there are too few reports or the endpoints are almost idle.
func (u *UtilizationTracker) FairCapacity() (capacity float64, ok bool) {
	workRate := 0.0
	busyShare := 0.0
	reports := 0
	// The order is fixed, because the sum of floating-point numbers depends on it.
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
