package check

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Each breach is found, and what only looks like one is not.
func TestBreaches(t *testing.T) {
	t0 := time.Now()
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	run := func(member string, ms int) Log {
		return Log{Member: member, Whole: []Whole{{"j", at(ms)}}, Runs: []Run{{ID: "j", Member: member, At: at(ms), Write: true, Led: true}}}
	}
	job := Job{ID: "j", Sent: at(0), Deadline: time.Second, Answers: 1, Answered: at(500)}
	with := func(f func(j *Job)) []Job {
		j := job
		f(&j)
		return []Job{j}
	}
	// many are n jobs of which the first late ones were answered after so many milliseconds; ran is the log of them.
	many := func(n, late, ms int) (jobs []Job) {
		for i := range n {
			j := job
			if j.ID = fmt.Sprint("j", i); i < late {
				j.Answered = at(ms)
			}
			jobs = append(jobs, j)
		}
		return jobs
	}
	ran := func(n int) []Log {
		l := Log{Member: "a"}
		for i := range n {
			l.Runs = append(l.Runs, Run{ID: fmt.Sprint("j", i), Member: "a", At: at(10), Write: true, Led: true})
		}
		return []Log{l}
	}
	stop := Log{Member: "b", Stops: []time.Time{at(100)}}
	for name, c := range map[string]struct {
		jobs   []Job
		logs   []Log
		drains []Drain
		want   string // part of the only fault, "" = none
	}{
		"served":                 {[]Job{job}, []Log{run("a", 10)}, nil, ""},
		"twice":                  {[]Job{job}, []Log{run("a", 10), run("b", 20)}, nil, "ran 2 times"},
		"never":                  {[]Job{job}, nil, nil, "was served and never ran"},
		"late":                   {with(func(j *Job) { j.Answered = at(1101) }), []Log{run("a", 10)}, nil, "its client waits 1s"},
		"late, one of many":      {many(40, 1, 1500), ran(40), nil, ""},
		"late, some of many":     {many(40, 2, 1101), ran(40), nil, ""},
		"late, too many":         {many(39, 2, 1101), ran(39), nil, "its client waits 1s"},
		"lost, one of many":      {many(40, 1, 1501), ran(40), nil, "its client waits 1s"},
		"no answer":              {with(func(j *Job) { j.Answers = 0 }), []Log{run("a", 10)}, nil, "has 0 answers"},
		"left":                   {with(func(j *Job) { j.Answers, j.Left = 0, true }), nil, nil, ""},
		"refused":                {with(func(j *Job) { j.Code, j.After = refused, "70" }), nil, nil, ""},
		"refused and ran":        {with(func(j *Job) { j.Code, j.After = refused, "70" }), []Log{run("a", 10)}, nil, "was refused and ran"},
		"refused without D":      {with(func(j *Job) { j.Code = refused }), nil, nil, "without a time"},
		"failed, whole":          {with(func(j *Job) { j.Code = failed }), []Log{{Member: "a", Whole: []Whole{{"j", at(10)}}}}, nil, ""},
		"failed, never sent":     {with(func(j *Job) { j.Code = failed }), []Log{run("a", 10)}[:0], nil, "came whole to no machine"},
		"failed, one ended":      {with(func(j *Job) { j.Code = failed }), []Log{stop}, nil, ""},
		"failed, ended before":   {with(func(j *Job) { j.Code, j.Sent = failed, at(101) }), []Log{stop}, nil, "came whole to no machine"},
		"failed, ended after":    {with(func(j *Job) { j.Code, j.Answered = failed, at(99) }), []Log{stop}, nil, "came whole to no machine"},
		"cut, one ended":         {with(func(j *Job) { j.Cut, j.Answers = true, 0 }), []Log{run("a", 10), stop}, nil, ""},
		"cut, none ended":        {with(func(j *Job) { j.Cut, j.Answers = true, 0 }), []Log{run("a", 10)}, nil, "was cut off"},
		"cut, never ran":         {with(func(j *Job) { j.Cut, j.Answers = true, 0 }), []Log{stop}, nil, "was cut off"},
		"other code":             {with(func(j *Job) { j.Code = "XX000" }), nil, nil, "ended in XX000"},
		"unknown":                {nil, []Log{run("a", 10)}, nil, "nobody asked"},
		"asked twice":            {[]Job{job, job}, []Log{run("a", 10)}, nil, "the script is wrong"},
		"drained":                {with(func(j *Job) { j.Sent, j.Answered = at(2000), at(2500) }), []Log{run("a", 2101)}, []Drain{{Member: "a", From: at(100)}}, "after its drain"},
		"drained elsewhere":      {with(func(j *Job) { j.Sent, j.Answered = at(2000), at(2500) }), []Log{run("a", 2101)}, []Drain{{Member: "b", From: at(100)}}, ""},
		"drained until":          {with(func(j *Job) { j.Sent, j.Answered = at(2000), at(2500) }), []Log{run("a", 2101)}, []Drain{{Member: "a", From: at(0), Until: at(2050)}}, ""},
		"fresh":                  {with(func(j *Job) { j.Fresh, j.Value = true, "a" }), []Log{run("a", 10)}[:1], nil, ""},
		"stale, it yielded":      {with(func(j *Job) { j.Fresh, j.Value = true, "b" }), []Log{{Member: "b", Yields: []time.Time{at(10)}}}, nil, ""},
		"stale, yielded before":  {with(func(j *Job) { j.Fresh, j.Value, j.Sent = true, "b", at(11) }), []Log{{Member: "b", Yields: []time.Time{at(10)}}}, nil, "did not lead"},
		"stale, yielded after":   {with(func(j *Job) { j.Fresh, j.Value = true, "b" }), []Log{{Member: "b", Yields: []time.Time{at(501)}}}, nil, "did not lead"},
		"stale, another yielded": {with(func(j *Job) { j.Fresh, j.Value = true, "b" }), []Log{{Member: "a", Yields: []time.Time{at(10)}}}, nil, "did not lead"},
		"stale":                  {with(func(j *Job) { j.Fresh, j.Value = true, "b" }), []Log{run("a", 10)}[:1], nil, "did not lead"},
	} {
		faults := Jobs(c.jobs, c.logs, c.drains)
		if min(1, len(faults)) != min(1, len(c.want)) || len(c.jobs) < 2 && len(faults) > 1 || c.want != "" && !strings.Contains(faults[0], c.want) {
			t.Errorf("%s: %q, wanted %q", name, faults, c.want)
		}
	}
}
