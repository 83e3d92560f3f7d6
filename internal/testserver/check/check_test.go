package check

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// startTime is when the jobs of these tests are sent, unless a case says otherwise.
var startTime = time.Now()

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// servedJob is a job that was served in time.
var servedJob = Job{ID: "j", Sent: at(0), Deadline: time.Second, Answers: 1, Answered: at(500)}

// jobWith returns servedJob with a change, as the only job.
func jobWith(change func(j *Job)) []Job {
	j := servedJob
	change(&j)
	return []Job{j}
}

// lateJobs returns n served jobs, the first late of which were answered ms milliseconds after they were sent.
func lateJobs(n, late, ms int) (jobs []Job) {
	for i := range n {
		j := servedJob
		j.ID = fmt.Sprint("j", i)
		if i < late {
			j.Answered = at(ms)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// logOfJobs returns the log of an endpoint that executed n jobs of lateJobs.
func logOfJobs(n int) []Log {
	l := Log{Member: "a"}
	for i := range n {
		l.Runs = append(l.Runs, Run{ID: fmt.Sprint("j", i), Member: "a", At: at(10), Write: true, WasPrimary: true})
	}
	return []Log{l}
}

// logOfRun returns the log of an endpoint that received servedJob completely and executed it.
func logOfRun(member string, ms int) Log {
	return Log{
		Member:   member,
		Received: []Received{{"j", at(ms)}},
		Runs:     []Run{{ID: "j", Member: member, At: at(ms), Write: true, WasPrimary: true}},
	}
}

// logOfStop is the log of an endpoint that stopped while servedJob was open.
var logOfStop = Log{Member: "b", Stops: []time.Time{at(100)}}

type violationCase struct {
	jobs   []Job
	logs   []Log
	drains []Drain
	want   string // part of the only violation reported, "" = none
}

// checkViolations checks that Jobs reports the violation of each case, and none in the cases without a violation.
func checkViolations(t *testing.T, cases map[string]violationCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := Jobs(c.jobs, c.logs, c.drains)
			if c.want == "" {
				if len(violations) > 0 {
					t.Fatalf("got %q, expected no violation", violations)
				}
				return
			}
			if len(violations) == 0 || !strings.Contains(violations[0], c.want) {
				t.Fatalf("got %q, expected %q", violations, c.want)
			}
			if len(c.jobs) < 2 && len(violations) > 1 {
				t.Fatalf("got %q, expected one violation", violations)
			}
		})
	}
}

// A job that was sent once is executed once and gets one response, unless its client disconnected.
func TestEachJobRunsOnce(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"served": {
			jobs: []Job{servedJob},
			logs: []Log{logOfRun("a", 10)},
		},
		"twice": {
			jobs: []Job{servedJob},
			logs: []Log{logOfRun("a", 10), logOfRun("b", 20)},
			want: "ran 2 times",
		},
		"never": {
			jobs: []Job{servedJob},
			want: "was served but never ran",
		},
		"never sent": {
			logs: []Log{logOfRun("a", 10)},
			want: "no client sent it",
		},
		"listed twice": {
			jobs: []Job{servedJob, servedJob},
			logs: []Log{logOfRun("a", 10)},
			want: "unique job IDs",
		},
		"no answer": {
			jobs: jobWith(func(j *Job) { j.Answers = 0 }),
			logs: []Log{logOfRun("a", 10)},
			want: "got 0 answers",
		},
		"disconnected": {
			jobs: jobWith(func(j *Job) {
				j.Answers = 0
				j.Disconnected = true
			}),
		},
	})
}

// Late responses are violations if there are many of them. A response that is so late that the request counts as lost
// is always a violation.
func TestAnswersInTime(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"late": {
			jobs: jobWith(func(j *Job) { j.Answered = at(1101) }),
			logs: []Log{logOfRun("a", 10)},
			want: "its deadline is 1s",
		},
		"late, one of many": {
			jobs: lateJobs(40, 1, 1500),
			logs: logOfJobs(40),
		},
		"late, some of many": {
			jobs: lateJobs(40, 2, 1101),
			logs: logOfJobs(40),
		},
		"late, too many": {
			jobs: lateJobs(39, 2, 1101),
			logs: logOfJobs(39),
			want: "its deadline is 1s",
		},
		"lost, one of many": {
			jobs: lateJobs(40, 1, 1501),
			logs: logOfJobs(40),
			want: "its deadline is 1s",
		},
	})
}

// The response to a job that was not served matches what happened to the job.
func TestOutcomes(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"rejected": {
			jobs: jobWith(func(j *Job) {
				j.Code = codeRejected
				j.After = "70"
			}),
		},
		"rejected but ran": {
			jobs: jobWith(func(j *Job) {
				j.Code = codeRejected
				j.After = "70"
			}),
			logs: []Log{logOfRun("a", 10)},
			want: "was rejected but ran",
		},
		"rejected without field D": {
			jobs: jobWith(func(j *Job) { j.Code = codeRejected }),
			want: "without a retry time",
		},
		"failed, received completely": {
			jobs: jobWith(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{{Member: "a", Received: []Received{{"j", at(10)}}}},
		},
		"failed, never sent": {
			jobs: jobWith(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{logOfRun("a", 10)}[:0],
			want: "failed, but no endpoint received it completely",
		},
		"failed, an endpoint stopped": {
			jobs: jobWith(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{logOfStop},
		},
		"failed, an endpoint stopped before": {
			jobs: jobWith(func(j *Job) {
				j.Code = codeFailed
				j.Sent = at(101)
			}),
			logs: []Log{logOfStop},
			want: "failed, but no endpoint received it completely",
		},
		"failed, an endpoint stopped after": {
			jobs: jobWith(func(j *Job) {
				j.Code = codeFailed
				j.Answered = at(99)
			}),
			logs: []Log{logOfStop},
			want: "failed, but no endpoint received it completely",
		},
		"unknown SQLSTATE": {
			jobs: jobWith(func(j *Job) { j.Code = "XX000" }),
			want: "ended with SQLSTATE XX000",
		},
	})
}

// A response may be truncated only if an endpoint stopped while the job was open and the job was executed.
func TestTruncatedAnswers(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"truncated, an endpoint stopped": {
			jobs: jobWith(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{logOfRun("a", 10), logOfStop},
		},
		"truncated, no endpoint stopped": {
			jobs: jobWith(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{logOfRun("a", 10)},
			want: "got a truncated answer",
		},
		"truncated, never ran": {
			jobs: jobWith(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{logOfStop},
			want: "got a truncated answer",
		},
	})
}

// A draining endpoint executes no new write once the router has had drainLimit to learn about the drain.
func TestDrains(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"draining": {
			jobs: jobWith(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{logOfRun("a", 2101)},
			drains: []Drain{{Member: "a", From: at(100)}},
			want:   "after the start of its drain",
		},
		"another endpoint draining": {
			jobs: jobWith(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{logOfRun("a", 2101)},
			drains: []Drain{{Member: "b", From: at(100)}},
		},
		"drain is over": {
			jobs: jobWith(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{logOfRun("a", 2101)},
			drains: []Drain{{Member: "a", From: at(0), Until: at(2050)}},
		},
	})
}

// A read that only a primary may answer is answered by the primary, or by an endpoint that was demoted while the read
// was open.
func TestFreshReads(t *testing.T) {
	checkViolations(t, map[string]violationCase{
		"primary": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "a"
			}),
			logs: []Log{logOfRun("a", 10)}[:1],
		},
		"demoted while open": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(10)}}},
		},
		"demoted before": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
				j.Sent = at(11)
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(10)}}},
			want: "which was not the primary",
		},
		"demoted after": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(501)}}},
			want: "which was not the primary",
		},
		"another endpoint demoted": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "a", Demotions: []time.Time{at(10)}}},
			want: "which was not the primary",
		},
		"replica": {
			jobs: jobWith(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{logOfRun("a", 10)}[:1],
			want: "which was not the primary",
		},
	})
}
