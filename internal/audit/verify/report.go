package verify

import "fmt"

// maxFaults is the maximum number of faults that a Report holds.
const maxFaults = 100

// Fault is an error in the content of a file, which shows that it is incomplete or was changed.
type Fault struct {
	File    string
	Message int    // counted from 1
	Offset  int64  // of the message in the file, in bytes
	Start   string // the id of the start; empty = unknown
	Problem string
}

// String returns the fault and its place as one line of text.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: message %d at byte %d: %s", f.File, f.Message, f.Offset, f.Problem)
	if f.Start != "" {
		s += " (start " + f.Start + ")"
	}
	return s
}

// Start is the result for one start of a router.
type Start struct {
	ID              string
	Messages        int
	First           uint64 // the lowest number
	Last            uint64 // the highest number
	Repeated        int    // messages that are byte-identical to an earlier one
	Missing         uint64 // numbers without a record, in gaps that are not faults
	ReportedDropped uint64 // numbers that the router recorded as dropped
	Heads           uint64 // heads of the chain
	Unproved        int    // messages after the last head of the chain
	Ended           bool   // its last record and a later head of the chain were read
}

// Report is the result of verifying one or more files.
type Report struct {
	Messages      int
	Foreign       int // messages without an audit element, which are ignored
	Faults        []Fault
	OmittedFaults int // faults beyond maxFaults, which are only counted
	Starts        []*Start
	HasKeys       bool // there were keys, so the chain was checked
}

// Complete reports whether there are no faults and every start is proved from its first record to its last. Records
// that the router reported as dropped are not faults.
func (r *Report) Complete() bool { return r.Clean() && r.HasKeys && !r.Open() }

// Clean reports whether no faults were found in the files.
func (r *Report) Clean() bool { return len(r.Faults) == 0 }

// Open reports whether a start has not ended, or has records after its last head, which are not proved yet. It returns
// true if there are no starts.
func (r *Report) Open() bool {
	for _, start := range r.Starts {
		if !start.Ended || start.Unproved > 0 {
			return true
		}
	}
	return len(r.Starts) == 0
}

// addFault adds a fault; faults beyond maxFaults are only counted.
func (r *Report) addFault(fault Fault) {
	if len(r.Faults) == maxFaults {
		r.OmittedFaults++
		return
	}
	r.Faults = append(r.Faults, fault)
}
