package experiment

import (
	"sync"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/scenario"
)

// defaultArm is the name of the unchanged arm that is run if a plan has no arms.
const defaultArm = "as it stands"

// Plan describes the runs of an experiment: each arm is run with each seed.
type Plan struct {
	Scenario  *scenario.Scenario
	Arms      []Arm // none means the scenario as it is
	FirstSeed uint64
	Seeds     int
	Workers   int    // number of concurrent runs; less than one means one
	Revision  string // of the build, copied to the results
}

// Run executes the plan and calls report for each result, ordered by seed and, for the same seed, in the order of the
// arms, regardless of which run ends first. It stops at the first error of a run or of report, and returns it.
func Run(plan Plan, report func(RunResult) error) error {
	if len(plan.Arms) == 0 {
		plan.Arms = []Arm{{Name: defaultArm}}
	}
	runner := newRunner(plan)
	var workers sync.WaitGroup
	for range max(1, plan.Workers) {
		workers.Go(runner.work)
	}
	err := runner.reportInOrder(report)
	runner.stop()
	workers.Wait()
	return err
}

// runner distributes the runs of a plan to workers.
type runner struct {
	plan Plan
	jobs []*job

	mutex   sync.Mutex
	next    int // index of the job that the next free worker takes
	stopped bool
}

// job is one run. The worker that executes it sets result and err and then closes done.
type job struct {
	arm    Arm
	seed   uint64
	result RunResult
	err    error
	done   chan struct{}
}

func newRunner(plan Plan) *runner {
	r := &runner{plan: plan}
	for i := range plan.Seeds {
		for _, arm := range plan.Arms {
			r.jobs = append(r.jobs, &job{arm: arm, seed: plan.FirstSeed + uint64(i), done: make(chan struct{})})
		}
	}
	return r
}

// work executes jobs until none is left.
func (r *runner) work() {
	for {
		job, ok := r.take()
		if !ok {
			return
		}
		job.execute(&r.plan)
		close(job.done)
	}
}

// take claims the next job for a worker; ok is false if none is left or the runner was stopped.
func (r *runner) take() (taken *job, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped || r.next >= len(r.jobs) {
		return nil, false
	}
	taken = r.jobs[r.next]
	r.next++
	return taken, true
}

// stop makes workers return after their current job.
func (r *runner) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
}

// reportInOrder waits for each job in turn and reports its result.
func (r *runner) reportInOrder(report func(RunResult) error) error {
	for _, job := range r.jobs {
		<-job.done
		if job.err != nil {
			return job.err
		}
		if err := report(job.result); err != nil {
			return err
		}
		job.result.Result = nil // it is large, and jobs stay in memory until the last one is done
	}
	return nil
}

func (j *job) execute(plan *Plan) {
	measured, err := fleet.Run(j.arm.apply(plan.Scenario.Config), j.seed)
	if err != nil {
		j.err = err
		return
	}
	j.result = RunResult{
		Scenario:          plan.Scenario.Name,
		Arm:               j.arm.Name,
		Seed:              j.seed,
		Revision:          plan.Revision,
		Statistics:        map[string]float64{},
		RuleViolations:    measured.Rules,
		ViolationDetails:  measured.Words,
		UnmetExpectations: plan.Scenario.UnmetExpectations(measured),
		Result:            measured,
	}
	for _, name := range scenario.StatisticNames {
		j.result.Statistics[name], _ = scenario.Statistic(measured, name) // every name in StatisticNames is known
	}
}
