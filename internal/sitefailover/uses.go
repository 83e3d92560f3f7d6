package sitefailover

import (
	"maps"
	"slices"
)

// Uses are what machines tell of their own use in reports, beside what they do for this router.
type UtilizationTracker struct {
	told map[string]*use
}

// use is what a machine's reports have told, in moving means: of the quotient of two noisy figures the mean would be far too high.
type use struct {
	rate, part float64
	n          int
}

const (
	useWeight = 0.1  // of a new report
	useLeast  = 8    // reports of all machines from which on they tell something
	useNoise  = 0.02 // a mean use below this tells nothing
	useMost   = 4096 // machines
)

// Told takes a report: rate is what the machine does for this router, in seconds of work a second, part what all its work takes of it.
func (u *UtilizationTracker) Record(machine string, rate, part float64) {
	x := u.told[machine]
	if x == nil {
		if len(u.told) >= useMost {
			return
		}
		if u.told == nil {
			u.told = map[string]*use{}
		}
		x = &use{}
		u.told[machine] = x
	}
	x.n++
	w := max(useWeight, 1/float64(x.n))
	x.rate, x.part = x.rate+w*(rate-x.rate), x.part+w*(part-x.part)
}

// Fair is what a machine can do for this router, in seconds of work a second, if it gets as large a part of each as it has of all machines' work
// now. Of one machine it may have much more, or nothing, since it sends to its own site first; in a loss that is over. told is false
// where nothing is known.
func (u *UtilizationTracker) FairCapacity() (carry float64, told bool) {
	rate, part, n := 0.0, 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(u.told)) { // in order: sums in another differ
		x := u.told[id]
		rate, part, n = rate+x.rate, part+min(1, x.part), n+x.n
	}
	if n < useLeast || rate <= 0 || part < useNoise*float64(len(u.told)) {
		return 0, false
	}
	return rate / part, true
}

// Forget drops machines that are not kept.
func (u *UtilizationTracker) Retain(keep func(machine string) bool) {
	for id := range u.told {
		if !keep(id) {
			delete(u.told, id)
		}
	}
}
