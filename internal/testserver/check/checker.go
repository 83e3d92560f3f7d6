package check

import (
	"fmt"
	"slices"
	"time"
)

// checker holds what the endpoints told, and the breaches found so far. Each rule is a method.
type checker struct {
	drains    []Drain
	writes    map[string][]Run       // of each job: its runs
	led       map[endpointJob]bool   // whether an endpoint was the primary when it ran a job
	received  map[string]bool        // the jobs that an endpoint received completely
	stops     []time.Time            // of all endpoints
	demotions map[string][]time.Time // of each endpoint
	seen      map[string]bool        // the jobs checked so far
	faults    []string
	late      []string // breaches that count only when they are many
}

type endpointJob struct{ endpoint, job string }

func newChecker(drains []Drain) *checker {
	return &checker{
		drains:    drains,
		writes:    map[string][]Run{},
		led:       map[endpointJob]bool{},
		received:  map[string]bool{},
		demotions: map[string][]time.Time{},
		seen:      map[string]bool{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// addLog takes what one endpoint tells, and checks that it ran no write while it was draining.
func (c *checker) addLog(log Log) {
	c.stops = append(c.stops, log.Stops...)
	c.demotions[log.Member] = append(c.demotions[log.Member], log.Demotions...)
	for _, received := range log.Received {
		c.received[received.ID] = true
	}
	for _, run := range log.Runs {
		if run.WasPrimary {
			c.led[endpointJob{run.Member, run.ID}] = true
		}
		if run.Write {
			c.writes[run.ID] = append(c.writes[run.ID], run)
			c.checkDrains(run)
		}
	}
}

func (c *checker) checkDrains(run Run) {
	for _, drain := range c.drains {
		if drain.Member == run.Member && drain.forbids(run.At) {
			c.fault("%s ran at %s, %v after its drain", run.ID, run.Member, run.At.Sub(drain.From))
		}
	}
}

// forbids says whether no write may run at that moment.
func (d Drain) forbids(at time.Time) bool {
	if !at.After(d.From.Add(drainLimit)) {
		return false
	}
	return d.Until.IsZero() || at.Before(d.Until)
}

// checkJob applies the rules of one job.
func (c *checker) checkJob(job Job) {
	if c.seen[job.ID] {
		c.fault("%s was asked twice: the script is wrong", job.ID)
	}
	c.seen[job.ID] = true
	runs := c.runs(job)
	if job.Fresh {
		c.checkFreshRead(job)
	}
	if runs > 1 {
		c.fault("%s ran %d times: %+v", job.ID, runs, c.writes[job.ID])
	}
	switch {
	case job.Disconnected: // nobody was there to see an answer
	case job.Truncated:
		c.checkTruncated(job, runs)
	case job.Answers != 1:
		c.fault("%s has %d answers", job.ID, job.Answers)
	default:
		c.checkTime(job)
		c.checkOutcome(job, runs)
	}
}

// runs is how often the job ran. A read is in no log of writes: it ran if it was answered without an error.
func (c *checker) runs(job Job) int {
	if !job.Fresh {
		return len(c.writes[job.ID])
	}
	if job.Code != "" {
		return 0
	}
	return 1
}

// checkFreshRead: a read that only a primary may answer was answered by one.
func (c *checker) checkFreshRead(job Job) {
	if job.Code != "" || job.Disconnected {
		return
	}
	if !c.led[endpointJob{job.Value, job.ID}] && !c.demotedDuring(job) {
		c.fault("%s was answered by %s, which did not lead", job.ID, job.Value)
	}
}

// checkTruncated: an answer breaks off only where an endpoint stopped meanwhile, and then its job ran once.
func (c *checker) checkTruncated(job Job, runs int) {
	if runs != 1 || !c.stoppedDuring(job) {
		c.fault("%s was cut off, ran %d times, and no machine ended meanwhile", job.ID, runs)
	}
}

// checkTime: the answer came before the client gave up, or little later.
func (c *checker) checkTime(job Job) {
	took := job.Answered.Sub(job.Sent)
	if took <= job.Deadline+lateAfter {
		return
	}
	text := fmt.Sprintf("%s was answered after %v, its client waits %v", job.ID, took, job.Deadline)
	if took > job.Deadline+lostAfter {
		c.faults = append(c.faults, text)
		return
	}
	c.late = append(c.late, text)
}

// checkOutcome: the answer says what happened to the job.
func (c *checker) checkOutcome(job Job, runs int) {
	switch job.Code {
	case "":
		if runs < 1 {
			c.fault("%s was served and never ran", job.ID)
		}
	case codeRejected:
		c.checkRejected(job, runs)
	case codeFailed:
		if !c.received[job.ID] && !c.stoppedDuring(job) {
			c.fault("%s was failed and came whole to no machine", job.ID)
		}
	default:
		c.fault("%s ended in %s", job.ID, job.Code)
	}
}

// checkRejected: a rejected job never ran, and its client knows when to retry.
func (c *checker) checkRejected(job Job, runs int) {
	if runs > 0 {
		c.fault("%s was refused and ran at %s", job.ID, c.writes[job.ID][0].Member)
	}
	if job.After == "" || job.After == "0" {
		c.fault("%s was refused without a time to come back", job.ID)
	}
}

// checkLateJobs: no more than one job in lateShare was late.
func (c *checker) checkLateJobs(jobs int) {
	if len(c.late) > jobs/lateShare {
		c.faults = append(c.faults, c.late...)
	}
}

// checkUnknownRuns: every write that ran is one that a client sent.
func (c *checker) checkUnknownRuns() {
	for id, runs := range c.writes {
		if !c.seen[id] {
			c.fault("%s ran at %s and nobody asked for it", id, runs[0].Member)
		}
	}
}

// stoppedDuring says whether an endpoint stopped while the job was open: what it had received unread nobody knows.
func (c *checker) stoppedDuring(job Job) bool {
	return slices.ContainsFunc(c.stops, job.openAt)
}

// demotedDuring says whether the endpoint that answered ceased to be the primary while the read was open. The platform
// excuses what was sent to it before an answer told so.
func (c *checker) demotedDuring(job Job) bool {
	return slices.ContainsFunc(c.demotions[job.Value], job.openAt)
}

// openAt says whether the job was sent before that moment and answered after it.
func (j Job) openAt(at time.Time) bool {
	return at.After(j.Sent) && at.Before(j.Answered)
}
