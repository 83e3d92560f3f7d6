package check

import (
	"fmt"
	"slices"
	"time"
)

// checker holds the contents of the endpoints' logs and the violations found so far. Each rule is a method.
type checker struct {
	drains       []Drain
	writeRuns    map[string][]Run       // by job: executions as a write
	ranAsPrimary map[endpointJob]bool   // whether the endpoint was the primary when it executed the job
	received     map[string]bool        // jobs that any endpoint received completely
	stops        []time.Time            // stop times of all endpoints
	demotions    map[string][]time.Time // by endpoint
	checked      map[string]bool        // jobs checked so far
	violations   []string
	late         []string // late responses, which are violations only if there are too many of them
}

type endpointJob struct{ endpoint, job string }

func newChecker(drains []Drain) *checker {
	return &checker{
		drains:       drains,
		writeRuns:    map[string][]Run{},
		ranAsPrimary: map[endpointJob]bool{},
		received:     map[string]bool{},
		demotions:    map[string][]time.Time{},
		checked:      map[string]bool{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addLog adds the log of one endpoint and checks that the endpoint executed no write while it was draining.
func (c *checker) addLog(log Log) {
	c.stops = append(c.stops, log.Stops...)
	c.demotions[log.Member] = append(c.demotions[log.Member], log.Demotions...)
	for _, received := range log.Received {
		c.received[received.ID] = true
	}
	for _, run := range log.Runs {
		if run.WasPrimary {
			c.ranAsPrimary[endpointJob{run.Member, run.ID}] = true
		}
		if run.Write {
			c.writeRuns[run.ID] = append(c.writeRuns[run.ID], run)
			c.checkDrains(run)
		}
	}
}

func (c *checker) checkDrains(run Run) {
	for _, drain := range c.drains {
		if drain.Member == run.Member && drain.forbids(run.At) {
			c.addViolation("%s ran at %s, %v after the start of its drain", run.ID, run.Member, run.At.Sub(drain.From))
		}
	}
}

// forbids reports whether a write executed at that time violates the drain.
func (d Drain) forbids(at time.Time) bool {
	if !at.After(d.From.Add(drainLimit)) {
		return false
	}
	return d.Until.IsZero() || at.Before(d.Until)
}

// checkJob applies the rules for one job.
func (c *checker) checkJob(job Job) {
	if c.checked[job.ID] {
		c.addViolation("%s was listed twice: the test must use unique job IDs", job.ID)
	}
	c.checked[job.ID] = true
	runs := c.runs(job)
	if job.Fresh {
		c.checkFreshRead(job)
	}
	if runs > 1 {
		c.addViolation("%s ran %d times: %+v", job.ID, runs, c.writeRuns[job.ID])
	}
	switch {
	case job.Disconnected: // the client did not wait for a response
	case job.Truncated:
		c.checkTruncated(job, runs)
	case job.Answers != 1:
		c.addViolation("%s got %d answers, expected 1", job.ID, job.Answers)
	default:
		c.checkTime(job)
		c.checkOutcome(job, runs)
	}
}

// runs returns how often the job was executed. Reads are not in writeRuns: a read counts as executed once if it was
// answered without an error.
func (c *checker) runs(job Job) int {
	if !job.Fresh {
		return len(c.writeRuns[job.ID])
	}
	if job.Code != "" {
		return 0
	}
	return 1
}

// checkFreshRead checks that a read that only a primary may answer was answered by a primary.
func (c *checker) checkFreshRead(job Job) {
	if job.Code != "" || job.Disconnected {
		return
	}
	if !c.ranAsPrimary[endpointJob{job.Value, job.ID}] && !c.demotedDuring(job) {
		c.addViolation("%s was answered by %s, which was not the primary", job.ID, job.Value)
	}
}

// checkTruncated checks that a response was truncated only if an endpoint stopped while the job was open, and that the
// job was executed once.
func (c *checker) checkTruncated(job Job, runs int) {
	if runs != 1 || !c.stoppedDuring(job) {
		c.addViolation("%s got a truncated answer: ran %d times, expected 1 and a stopped endpoint", job.ID, runs)
	}
}

// checkTime checks that the response arrived before the deadline or within the tolerance after it.
func (c *checker) checkTime(job Job) {
	took := job.Answered.Sub(job.Sent)
	if took <= job.Deadline+lateAfter {
		return
	}
	text := fmt.Sprintf("%s was answered after %v, its deadline is %v", job.ID, took, job.Deadline)
	if took > job.Deadline+lostAfter {
		c.violations = append(c.violations, text)
		return
	}
	c.late = append(c.late, text)
}

// checkOutcome checks that the response matches what happened to the job.
func (c *checker) checkOutcome(job Job, runs int) {
	switch job.Code {
	case "":
		if runs < 1 {
			c.addViolation("%s was served but never ran", job.ID)
		}
	case codeRejected:
		c.checkRejected(job, runs)
	case codeFailed:
		if !c.received[job.ID] && !c.stoppedDuring(job) {
			c.addViolation("%s failed, but no endpoint received it completely or stopped meanwhile", job.ID)
		}
	default:
		c.addViolation("%s ended with SQLSTATE %s", job.ID, job.Code)
	}
}

// checkRejected checks that a rejected job was never executed and that its client was told when to retry.
func (c *checker) checkRejected(job Job, runs int) {
	if runs > 0 {
		c.addViolation("%s was rejected but ran at %s", job.ID, c.writeRuns[job.ID][0].Member)
	}
	if job.After == "" || job.After == "0" {
		c.addViolation("%s was rejected without a retry time", job.ID)
	}
}

// checkLateJobs checks that no more than one job in lateShare was late.
func (c *checker) checkLateJobs(jobs int) {
	if len(c.late) > jobs/lateShare {
		c.violations = append(c.violations, c.late...)
	}
}

// checkUnknownRuns checks that a client sent every write that was executed.
func (c *checker) checkUnknownRuns() {
	for id, runs := range c.writeRuns {
		if !c.checked[id] {
			c.addViolation("%s ran at %s, but no client sent it", id, runs[0].Member)
		}
	}
}

// stoppedDuring reports whether an endpoint stopped while the job was open. Input that the endpoint had not read is
// missing from its log, so it may have received the job.
func (c *checker) stoppedDuring(job Job) bool {
	return slices.ContainsFunc(c.stops, job.openAt)
}

// demotedDuring reports whether the endpoint that answered ceased to be the primary while the read was open. The
// platform accepts reads that were sent to it before a response showed the change.
func (c *checker) demotedDuring(job Job) bool {
	return slices.ContainsFunc(c.demotions[job.Value], job.openAt)
}

// openAt reports whether the job was sent before that time and answered after it.
func (j Job) openAt(at time.Time) bool {
	return at.After(j.Sent) && at.Before(j.Answered)
}
