package verify

import "fmt"

// maxFaults bounds the faults that a Report holds.
const maxFaults = 100

// Fault is something that must not be in a complete file.
type Fault struct {
	File    string
	Message int    // counted from 1
	Offset  int64  // the byte at which the message starts
	Start   string // the id of the start, empty where it is not known
	What    string
}

// String returns the fault as one line, which names the place.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: message %d at byte %d: %s", f.File, f.Message, f.Offset, f.What)
	if f.Start != "" {
		s += " (start " + f.Start + ")"
	}
	return s
}

// Start is what was found of one start.
type Start struct {
	ID              string
	Messages        int
	First           uint64 // the lowest number
	Last            uint64 // the highest number
	Repeated        int    // messages that came again, byte for byte
	Missing         uint64 // numbers that are not there
	ReportedDropped uint64 // numbers that the router recorded as dropped
	Heads           uint64
	Unproved        int  // messages behind the last head
	Ended           bool // its last record and a head behind it are there
}

// Report is what a file, or several in order, show.
type Report struct {
	Messages int
	Foreign  int // messages without an audit element, which prove nothing
	Faults   []Fault
	More     int // faults beyond those that are kept
	Starts   []*Start
	Proved   bool // there were keys
}

// Complete reports whether nothing is wrong and every start is proved from its first record to its last. Records that
// the router itself recorded as dropped are no fault.
func (r *Report) Complete() bool { return r.Clean() && r.Proved && !r.Open() }

// Clean reports whether nothing is wrong as far as the files go.
func (r *Report) Clean() bool { return len(r.Faults) == 0 }

// Open reports whether a start has not ended, or has records that no head proves yet. Without any start it
// returns true.
func (r *Report) Open() bool {
	for _, start := range r.Starts {
		if !start.Ended || start.Unproved > 0 {
			return true
		}
	}
	return len(r.Starts) == 0
}

// add notes a fault; those beyond the limit are only counted.
func (r *Report) add(fault Fault) {
	if len(r.Faults) == maxFaults {
		r.More++
		return
	}
	r.Faults = append(r.Faults, fault)
}
