package fleet

import (
	"cmp"
	"slices"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/model"
)

// upperBound computes an upper bound of the score: that of a policy which always knows the true state of every endpoint
// and can divide work like a fluid. No router reaches the bound, because this policy has no network delay, waits for
// no answer and makes no mistake. The difference between the bound and a run's score is the room for improvement.
type upperBound struct {
	pending       map[int64][]cohort // by replica group
	lastStep      time.Duration
	worthBySecond []float64          // by the second of arrival
	worthByClass  map[string]float64 // by class name
}

// cohort is the pending work of the requests of one class that arrived in one step.
type cohort struct {
	class     *Class
	arrivedAt time.Duration
	second    int
	work      float64 // seconds
	worth     float64 // of the pending work, if it is served in time
}

// add adds a request to the pending work.
func (t *upperBound) add(q *request, second int) {
	cohorts := t.pending[q.group]
	for i := len(cohorts) - 1; i >= 0 && cohorts[i].arrivedAt > t.lastStep; i-- {
		if c := &cohorts[i]; c.class == q.class && c.second == second {
			c.work, c.worth = c.work+q.work.Seconds(), c.worth+q.class.PriorityWeight
			return
		}
	}
	t.pending[q.group] = append(cohorts, cohort{q.class, q.arrivedAt, second, q.work.Seconds(), q.class.PriorityWeight})
}

// step serves pending work with the capacity of the time since the last step.
func (t *upperBound) step(w *model.World, now time.Duration) {
	elapsed := now - t.lastStep
	if t.lastStep == 0 {
		elapsed = 0
	}
	for _, b := range w.Groups {
		t.pending[b.ID] = t.serve(b, now, elapsed)
	}
	t.lastStep = now
}

func (t *upperBound) serve(b *model.ReplicaGroup, now, elapsed time.Duration) (remaining []cohort) {
	capacity := make([]float64, len(b.Endpoints))
	for i, m := range b.Endpoints {
		capacity[i] = m.Capacity() * elapsed.Seconds()
	}
	cohorts := t.pending[b.ID]
	worth := func(c cohort) float64 {
		// The cohort arrived during a step and may have been served before the end of the current one, so it may take
		// one step longer than its latency objective.
		switch age := now - c.arrivedAt; {
		case age <= c.class.LatencyObjective+elapsed:
			return c.worth
		case age <= c.class.ClientTimeout:
			return c.worth * c.class.LateWeightShare
		}
		return 0
	}
	slices.SortStableFunc(cohorts, func(x, y cohort) int { return cmp.Compare(worth(y)/y.work, worth(x)/x.work) })
	assign := func(c *cohort, i int) {
		part := min(capacity[i], c.work)
		if part <= 0 {
			return
		}
		capacity[i] -= part
		earned := worth(*c) * part / c.work
		c.worth *= 1 - part/c.work
		c.work -= part
		t.worthBySecond[c.second] += earned
		t.worthByClass[c.class.Name] += earned
	}
	for _, c := range cohorts {
		needsPrimary := c.class.Consistency == balance.ConsistencyWrite ||
			c.class.Consistency == balance.ConsistencyLatest
		for i, m := range b.Endpoints {
			if needsPrimary || m.IsPrimary() ||
				c.class.Consistency == balance.ConsistencyBounded && now-m.Position() > c.class.MaxStaleness+elapsed {
				continue
			}
			assign(&c, i)
		}
		for i, m := range b.Endpoints {
			if m.IsPrimary() && (b.AcceptsWrites() || !needsPrimary) {
				assign(&c, i)
			}
		}
		if c.work > 1e-9 && now-c.arrivedAt < c.class.ClientTimeout {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// score applies the formula of Result.Worth to the upper bound.
func (t *upperBound) score(seconds []Second, classes map[string]*Tally) float64 {
	best, tally := slices.Clone(seconds), map[string]*Tally{}
	for i := range best {
		best[i].Worth = t.worthBySecond[i]
	}
	for name, k := range classes {
		tally[name] = &Tally{Came: k.Came, Worth: t.worthByClass[name], Could: k.Could}
	}
	whole, worst, class, _ := Score(best, tally)
	return 0.5*whole + 0.3*worst + 0.2*class
}
