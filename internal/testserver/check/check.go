// Package check judges what clients and endpoints saw of a test's writes: it compares what clients were answered with
// what endpoints ran.
//
// It owns the rules of a write: one answer, in time, that says what happened. It knows nothing of the router, opens no
// connection and starts no goroutine; a test calls it when all jobs have ended.
package check

import "time"

// Job is a write as its client saw it.
type Job struct {
	ID           string
	Sent         time.Time
	Deadline     time.Duration // after Sent its client gives up
	Answers      int           // how many came
	Answered     time.Time
	Code         string // of the answer, "" = served
	After        string // field D of a rejection, milliseconds
	Disconnected bool   // the client disconnected before any answer
	Fresh        bool   // it is no write, but a read that only a primary may answer
	Value        string // of the answer: which endpoint gave it
	Truncated    bool   // its answer had begun and broke off
}

// Run is a statement that an endpoint has run.
type Run struct {
	ID         string
	Member     string
	At         time.Time
	Write      bool
	WasPrimary bool // it was the primary then
}

// Received is a statement that an endpoint has received to its last byte, whether it ran or not.
type Received struct {
	ID string
	At time.Time
}

// Log is what an endpoint tells of itself.
type Log struct {
	Member    string
	Runs      []Run
	Received  []Received
	Stops     []time.Time // moments at which it ended with all its connections, and lost what it had not read
	Demotions []time.Time // moments from which it was no longer the primary
}

// Drain is a time in which an endpoint was to get no new writes.
type Drain struct {
	Member string
	From   time.Time
	Until  time.Time // zero = to the end
}

// The codes of final answers.
const (
	codeRejected = "53300"
	codeFailed   = "08007"
)

// What a busy machine may add to a client's own reading of its clock. That the router decides in time to the
// millisecond is shown in virtual time (router.TestAnswersAreOnTimeInVirtualTime); here the machine's stalls are
// measured too.
const (
	// lateAfter is how long after its deadline an answer counts as late. One job in lateShare may be late.
	lateAfter = 100 * time.Millisecond
	lateShare = 20
	// lostAfter is how long after its deadline the platform counts a request as lost, whoever was busy.
	lostAfter = 500 * time.Millisecond
)

// drainLimit is how long after the begin of a drain a new write may still come.
const drainLimit = 2 * time.Second

// Jobs returns every breach: a job that was not answered once and in time, ran twice, ran though it was rejected, did
// not run though it was served, was failed though no endpoint had received it completely, or ran at an endpoint that
// was draining.
func Jobs(jobs []Job, logs []Log, drains []Drain) (faults []string) {
	c := newChecker(drains)
	for _, log := range logs {
		c.addLog(log)
	}
	for _, job := range jobs {
		c.checkJob(job)
	}
	c.checkLateJobs(len(jobs))
	c.checkUnknownRuns()
	return c.faults
}

// Count says how many jobs ended how.
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
