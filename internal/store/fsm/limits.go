package fsm

// Limits bounds the size of a State. All members must use the same limits, because otherwise they would disagree on
// which changes are rejected.
type Limits struct {
	KeyBytes      int // maximum length of a key, a kind, an id or an author
	ValueBytes    int // maximum length of a value
	Ops           int // operations in one change
	Records       int
	TotalBytes    int // total length of all keys and values
	HistoryLength int // configurations kept for each key
	RememberedIDs int // change ids kept, with their results, to recognize duplicates
	Events        int // events kept for watches
}

// DefaultLimits returns the limits that all members use.
func DefaultLimits() Limits {
	return Limits{
		KeyBytes:      256,
		ValueBytes:    512 << 10,
		Ops:           64,
		Records:       100_000,
		TotalBytes:    64 << 20,
		HistoryLength: 16,
		RememberedIDs: 4096,
		Events:        4096,
	}
}
