package fsm

// Limits bound a State. All members must have the same ones, or they would disagree on which changes are rejected.
type Limits struct {
	KeyBytes      int // of a key; of a kind, an id and an author too
	ValueBytes    int // of a value
	Ops           int // in one change
	Records       int
	TotalBytes    int // of all keys and values
	HistoryLength int // configurations kept for each key
	RememberedIDs int // changes that are recognized by their ids
	Events        int // that a watch may be behind
}

// DefaultLimits returns the limits of a member.
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
