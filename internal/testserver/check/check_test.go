package check

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// begin is when the jobs of these tests are sent.
var begin = time.Now()

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// job is one that was served in time.
var job = Job{ID: "j", Sent: at(0), Deadline: time.Second, Answers: 1, Answered: at(500)}

// with is that job with a change.
func with(change func(j *Job)) []Job {
	j := job
	change(&j)
	return []Job{j}
}

// many are n jobs of which the first late ones were answered after so many milliseconds; ran is the log of them.
func many(n, late, ms int) (jobs []Job) {
	for i := range n {
		j := job
		j.ID = fmt.Sprint("j", i)
		if i < late {
			j.Answered = at(ms)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

func ran(n int) []Log {
	l := Log{Member: "a"}
	for i := range n {
		l.Runs = append(l.Runs, Run{ID: fmt.Sprint("j", i), Member: "a", At: at(10), Write: true, WasPrimary: true})
	}
	return []Log{l}
}

// run is the log of an endpoint that received the job completely and ran it.
func run(member string, ms int) Log {
	return Log{
		Member:   member,
		Received: []Received{{"j", at(ms)}},
		Runs:     []Run{{ID: "j", Member: member, At: at(ms), Write: true, WasPrimary: true}},
	}
}

// stop is the log of an endpoint that stopped while the job was open.
var stop = Log{Member: "b", Stops: []time.Time{at(100)}}

type breachCase struct {
	jobs   []Job
	logs   []Log
	drains []Drain
	want   string // part of the only fault, "" = none
}

// checkBreaches checks that each breach is found, and that what only looks like one is not.
func checkBreaches(t *testing.T, cases map[string]breachCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			faults := Jobs(c.jobs, c.logs, c.drains)
			if c.want == "" {
				if len(faults) > 0 {
					t.Fatalf("%q", faults)
				}
				return
			}
			if len(faults) == 0 || !strings.Contains(faults[0], c.want) {
				t.Fatalf("%q, wanted %q", faults, c.want)
			}
			if len(c.jobs) < 2 && len(faults) > 1 {
				t.Fatalf("%q, wanted one fault", faults)
			}
		})
	}
}

// A job that is sent once runs once and has one answer, unless its client has left.
func TestEachJobRunsOnce(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"served": {
			jobs: []Job{job},
			logs: []Log{run("a", 10)},
		},
		"twice": {
			jobs: []Job{job},
			logs: []Log{run("a", 10), run("b", 20)},
			want: "ran 2 times",
		},
		"never": {
			jobs: []Job{job},
			want: "was served and never ran",
		},
		"unknown": {
			logs: []Log{run("a", 10)},
			want: "nobody asked",
		},
		"asked twice": {
			jobs: []Job{job, job},
			logs: []Log{run("a", 10)},
			want: "the script is wrong",
		},
		"no answer": {
			jobs: with(func(j *Job) { j.Answers = 0 }),
			logs: []Log{run("a", 10)},
			want: "has 0 answers",
		},
		"left": {
			jobs: with(func(j *Job) {
				j.Answers = 0
				j.Disconnected = true
			}),
		},
	})
}

// A late answer is a breach where many are late, and always where it is so late that it counts as lost.
func TestAnswersInTime(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"late": {
			jobs: with(func(j *Job) { j.Answered = at(1101) }),
			logs: []Log{run("a", 10)},
			want: "its client waits 1s",
		},
		"late, one of many": {
			jobs: many(40, 1, 1500),
			logs: ran(40),
		},
		"late, some of many": {
			jobs: many(40, 2, 1101),
			logs: ran(40),
		},
		"late, too many": {
			jobs: many(39, 2, 1101),
			logs: ran(39),
			want: "its client waits 1s",
		},
		"lost, one of many": {
			jobs: many(40, 1, 1501),
			logs: ran(40),
			want: "its client waits 1s",
		},
	})
}

// An answer that is no success says what happened to the job.
func TestOutcomes(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"refused": {
			jobs: with(func(j *Job) {
				j.Code = codeRejected
				j.After = "70"
			}),
		},
		"refused and ran": {
			jobs: with(func(j *Job) {
				j.Code = codeRejected
				j.After = "70"
			}),
			logs: []Log{run("a", 10)},
			want: "was refused and ran",
		},
		"refused without D": {
			jobs: with(func(j *Job) { j.Code = codeRejected }),
			want: "without a time",
		},
		"failed, whole": {
			jobs: with(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{{Member: "a", Received: []Received{{"j", at(10)}}}},
		},
		"failed, never sent": {
			jobs: with(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{run("a", 10)}[:0],
			want: "came whole to no machine",
		},
		"failed, one ended": {
			jobs: with(func(j *Job) { j.Code = codeFailed }),
			logs: []Log{stop},
		},
		"failed, ended before": {
			jobs: with(func(j *Job) {
				j.Code = codeFailed
				j.Sent = at(101)
			}),
			logs: []Log{stop},
			want: "came whole to no machine",
		},
		"failed, ended after": {
			jobs: with(func(j *Job) {
				j.Code = codeFailed
				j.Answered = at(99)
			}),
			logs: []Log{stop},
			want: "came whole to no machine",
		},
		"other code": {
			jobs: with(func(j *Job) { j.Code = "XX000" }),
			want: "ended in XX000",
		},
	})
}

// An answer may break off only where an endpoint stopped meanwhile, behind a run.
func TestTruncatedAnswers(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"cut, one ended": {
			jobs: with(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{run("a", 10), stop},
		},
		"cut, none ended": {
			jobs: with(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{run("a", 10)},
			want: "was cut off",
		},
		"cut, never ran": {
			jobs: with(func(j *Job) {
				j.Truncated = true
				j.Answers = 0
			}),
			logs: []Log{stop},
			want: "was cut off",
		},
	})
}

// A draining endpoint gets no new write once its notice has had time to arrive.
func TestDrains(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"drained": {
			jobs: with(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{run("a", 2101)},
			drains: []Drain{{Member: "a", From: at(100)}},
			want:   "after its drain",
		},
		"drained elsewhere": {
			jobs: with(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{run("a", 2101)},
			drains: []Drain{{Member: "b", From: at(100)}},
		},
		"drained until": {
			jobs: with(func(j *Job) {
				j.Sent = at(2000)
				j.Answered = at(2500)
			}),
			logs:   []Log{run("a", 2101)},
			drains: []Drain{{Member: "a", From: at(0), Until: at(2050)}},
		},
	})
}

// A read that only a primary may answer was answered by one, or by one that was until then.
func TestFreshReads(t *testing.T) {
	checkBreaches(t, map[string]breachCase{
		"fresh": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "a"
			}),
			logs: []Log{run("a", 10)}[:1],
		},
		"stale, it yielded": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(10)}}},
		},
		"stale, yielded before": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
				j.Sent = at(11)
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(10)}}},
			want: "did not lead",
		},
		"stale, yielded after": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "b", Demotions: []time.Time{at(501)}}},
			want: "did not lead",
		},
		"stale, another yielded": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{{Member: "a", Demotions: []time.Time{at(10)}}},
			want: "did not lead",
		},
		"stale": {
			jobs: with(func(j *Job) {
				j.Fresh = true
				j.Value = "b"
			}),
			logs: []Log{run("a", 10)}[:1],
			want: "did not lead",
		},
	})
}
