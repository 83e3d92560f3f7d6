package sitefailover

import (
	"maps"
	"slices"
)

// Uses are what machines tell of their own use in reports, beside what they do for this router.
type UtilizationTracker struct {
	endpoints map[string]*utilization
}

// use is what a machine's reports have told, in moving means: of the quotient of two noisy figures the mean would be far too high.
type utilization struct {
	workRate, busyShare float64
	reports             int
}

const (
	reportWeight        = 0.1  // of a new report
	minReports          = 8    // reports of all machines from which on they tell something
	minBusyShare        = 0.02 // a mean use below this tells nothing
	maxTrackedEndpoints = 4096 // machines
)

// Told takes a report: rate is what the machine does for this router, in seconds of work a second, part what all its work takes of it.
func (u *UtilizationTracker) Record(machine string, rate, part float64) {
	x := u.endpoints[machine]
	if x == nil {
		if len(u.endpoints) >= maxTrackedEndpoints {
			return
		}
		if u.endpoints == nil {
			u.endpoints = map[string]*utilization{}
		}
		x = &utilization{}
		u.endpoints[machine] = x
	}
	x.reports++
	w := max(reportWeight, 1/float64(x.reports))
	x.workRate, x.busyShare = x.workRate+w*(rate-x.workRate), x.busyShare+w*(part-x.busyShare)
}

// Fair is what a machine can do for this router, in seconds of work a second, if it gets as large a part of each as it has of all machines' work
// now. Of one machine it may have much more, or nothing, since it sends to its own site first; in a loss that is over. told is false
// where nothing is known.
func (u *UtilizationTracker) FairCapacity() (carry float64, told bool) {
	rate, part, n := 0.0, 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(u.endpoints)) { // in order: sums in another differ
		x := u.endpoints[id]
		rate, part, n = rate+x.workRate, part+min(1, x.busyShare), n+x.reports
	}
	if n < minReports || rate <= 0 || part < minBusyShare*float64(len(u.endpoints)) {
		return 0, false
	}
	return rate / part, true
}

// Forget drops machines that are not kept.
func (u *UtilizationTracker) Retain(keep func(machine string) bool) {
	for id := range u.endpoints {
		if !keep(id) {
			delete(u.endpoints, id)
		}
	}
}
