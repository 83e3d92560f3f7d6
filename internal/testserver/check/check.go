// Package check is a checker of the rules on writes: it compares what clients were told with what db machines ran. It
// knows nothing of the router.
package check

import (
	"fmt"
	"slices"
	"time"
)

// Job is a write as its client saw it.
type Job struct {
	ID       string
	Sent     time.Time
	Deadline time.Duration // after Sent its client gives up
	Answers  int           // how many came
	Answered time.Time
	Code     string // of the answer, "" = served
	After    string // field D of a refusal, milliseconds
	Left     bool   // the client has gone before any answer
	Fresh    bool   // it is no write, but a read that only a primary may answer
	Value    string // of the answer: which db machine gave it
	Cut      bool   // its answer had begun and broke off
}

// Run is a statement that a db machine has run.
type Run struct {
	ID     string
	Member string
	At     time.Time
	Write  bool
	Led    bool // it was the primary then
}

// Whole is a statement that has come to a db machine to its last byte, whether it ran or not.
type Whole struct {
	ID string
	At time.Time
}

// Log is what a db machine tells of itself.
type Log struct {
	Member string
	Runs   []Run
	Whole  []Whole
	Stops  []time.Time // moments at which it ended with all its connections, and what had come unread was lost
	Yields []time.Time // moments from which it led no more
}

// Drain is a moment from which a db machine was told to be out.
type Drain struct {
	Member string
	From   time.Time
	Until  time.Time // zero = to the end
}

// The codes of final answers.
const (
	refused = "53300"
	failed  = "08007"
)

// slack is what a busy machine may add to a client's own reading of its clock, for one job in lateShare; lost is when the
// platform counts a request as lost whoever was busy. That the router decides in time to the millisecond is shown on a clock
// of its own (router.TestEachEndIsInTimeOnItsOwnClock); here the machine's stalls are measured too.
const (
	slack     = 100 * time.Millisecond
	lateShare = 20
	lost      = 500 * time.Millisecond
)

// drainLimit is how long after a drain was told a new write may still come.
const drainLimit = 2 * time.Second

// Jobs returns every breach: a job that was not answered once and in time, ran twice, ran though it was refused, did not
// run though it was served, was failed though it was never written whole, or reached a machine that was out.
func Jobs(jobs []Job, logs []Log, drains []Drain) (faults []string) {
	bad := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	ran, led, whole := map[string][]Run{}, map[string]bool{}, map[string]bool{}
	var stops []time.Time
	yields := map[string][]time.Time{}
	for _, l := range logs {
		stops = append(stops, l.Stops...)
		yields[l.Member] = append(yields[l.Member], l.Yields...)
		for _, w := range l.Whole {
			whole[w.ID] = true
		}
		for _, r := range l.Runs {
			led[r.ID+" "+r.Member] = led[r.ID+" "+r.Member] || r.Led
			if !r.Write {
				continue
			}
			ran[r.ID] = append(ran[r.ID], r)
			for _, d := range drains {
				if d.Member == r.Member && r.At.After(d.From.Add(drainLimit)) && (d.Until.IsZero() || r.At.Before(d.Until)) {
					bad("%s ran at %s, %v after its drain", r.ID, r.Member, r.At.Sub(d.From))
				}
			}
		}
	}
	// stopped says whether a machine ended while a job was open: what had come to it unread nobody knows.
	stopped := func(j Job) bool {
		for _, at := range stops {
			if at.After(j.Sent) && at.Before(j.Answered) {
				return true
			}
		}
		return false
	}
	// yielded says whether a member ceased to lead while a read was open: the platform excuses what was sent to it before an
	// answer told that.
	yielded := func(j Job) bool {
		return slices.ContainsFunc(yields[j.Value], func(at time.Time) bool { return at.After(j.Sent) && at.Before(j.Answered) })
	}
	var late []string
	seen := map[string]bool{}
	for _, j := range jobs {
		if seen[j.ID] {
			bad("%s was asked twice: the script is wrong", j.ID)
		}
		seen[j.ID] = true
		n := len(ran[j.ID])
		if j.Fresh {
			if n = 1; j.Code != "" {
				n = 0
			} else if !j.Left && !led[j.ID+" "+j.Value] && !yielded(j) {
				bad("%s was answered by %s, which did not lead", j.ID, j.Value)
			}
		}
		if n > 1 {
			bad("%s ran %d times: %+v", j.ID, n, ran[j.ID])
		}
		if j.Left {
			continue
		}
		if j.Cut {
			if n != 1 || !stopped(j) {
				bad("%s was cut off, ran %d times, and no machine ended meanwhile", j.ID, n)
			}
			continue
		}
		if j.Answers != 1 {
			bad("%s has %d answers", j.ID, j.Answers)
			continue
		}
		if took := j.Answered.Sub(j.Sent); took > j.Deadline+slack {
			text := fmt.Sprintf("%s was answered after %v, its client waits %v", j.ID, took, j.Deadline)
			if took > j.Deadline+lost {
				faults = append(faults, text)
			} else {
				late = append(late, text)
			}
		}
		switch j.Code {
		case "":
			if n < 1 {
				bad("%s was served and never ran", j.ID)
			}
		case refused:
			if n != 0 {
				bad("%s was refused and ran at %s", j.ID, ran[j.ID][0].Member)
			}
			if j.After == "" || j.After == "0" {
				bad("%s was refused without a time to come back", j.ID)
			}
		case failed:
			if !whole[j.ID] && !stopped(j) {
				bad("%s was failed and came whole to no machine", j.ID)
			}
		default:
			bad("%s ended in %s", j.ID, j.Code)
		}
	}
	if len(late) > len(jobs)/lateShare {
		faults = append(faults, late...)
	}
	for id, rs := range ran {
		if !seen[id] {
			bad("%s ran at %s and nobody asked for it", id, rs[0].Member)
		}
	}
	return faults
}

// Count says how many jobs ended how.
func Count(jobs []Job) (served, refusals, failures, left int) {
	for _, j := range jobs {
		switch {
		case j.Left:
			left++
		case j.Code == "":
			served++
		case j.Code == refused:
			refusals++
		default:
			failures++
		}
	}
	return
}
