// Package check verifies the outcome of a test's writes: it compares the responses that clients received with the
// statements that endpoints executed.
//
// It owns the rules for a write: exactly one response, in time, that matches what was executed. It knows nothing
// about the router, opens no connections and starts no goroutines; a test calls it when all jobs have ended.
package check

import "time"

// Job is a request as its client saw it: a write, or a read if Fresh is set.
type Job struct {
	ID           string
	Sent         time.Time
	Deadline     time.Duration // from Sent until the client gives up
	Answers      int           // complete responses received
	Answered     time.Time
	Code         string // SQLSTATE of the response, "" = served
	After        string // field D of a rejection: milliseconds until a retry
	Disconnected bool   // the client disconnected before any response
	Fresh        bool   // the job is a read that only a primary may answer
	Value        string // value of the response: the endpoint that sent it
	Truncated    bool   // the connection ended within the response
}

// Run is one execution of a statement by an endpoint.
type Run struct {
	ID         string
	Member     string
	At         time.Time
	Write      bool
	WasPrimary bool // the endpoint was the primary at that time
}

// Received is a statement that an endpoint has received completely, whether it was executed or not.
type Received struct {
	ID string
	At time.Time
}

// Log is the record that an endpoint keeps of its own work.
type Log struct {
	Member    string
	Runs      []Run
	Received  []Received
	Stops     []time.Time // times at which it closed all connections and lost unread input
	Demotions []time.Time // times at which it ceased to be the primary
}

// Drain is a period in which an endpoint must not receive new writes.
type Drain struct {
	Member string
	From   time.Time
	Until  time.Time // zero = to the end of the test
}

// SQLSTATEs of the responses that end a job without success.
const (
	codeRejected = "53300"
	codeFailed   = "08007"
)

// Tolerances for response times, which include stalls of a busy test machine. That the router itself answers in time to
// the millisecond is tested in virtual time (router.TestAnswersAreOnTimeInVirtualTime).
const (
	// lateAfter is how long after the deadline a response counts as late. One job in lateShare may be late.
	lateAfter = 100 * time.Millisecond
	lateShare = 20
	// lostAfter is how long after the deadline the platform counts a request as lost, whatever the cause of the delay.
	lostAfter = 500 * time.Millisecond
)

// drainLimit is how long after the start of a drain a new write may still arrive.
const drainLimit = 2 * time.Second

// Jobs returns a description of each violation: a job that did not get exactly one response in time, was executed
// twice, was executed although it was rejected, was served without having been executed, failed although no endpoint
// had received it completely, was executed by a draining endpoint, was answered by a replica although only a primary
// may answer it, was rejected without a retry time, or ended with an unknown SQLSTATE. A job that is listed twice and
// an executed write that no client sent are violations too.
func Jobs(jobs []Job, logs []Log, drains []Drain) (violations []string) {
	c := newChecker(drains)
	for _, log := range logs {
		c.addLog(log)
	}
	for _, job := range jobs {
		c.checkJob(job)
	}
	c.checkLateJobs(len(jobs))
	c.checkUnknownRuns()
	return c.violations
}

// Count returns the number of jobs per outcome.
func Count(jobs []Job) (served, rejected, failed, disconnected int) {
	for _, job := range jobs {
		switch {
		case job.Disconnected:
			disconnected++
		case job.Code == "":
			served++
		case job.Code == codeRejected:
			rejected++
		default:
			failed++
		}
	}
	return served, rejected, failed, disconnected
}
