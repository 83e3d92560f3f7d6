package fleet

import (
	"cmp"
	"slices"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/model"
)

// top is what a policy could get that sees the true state of every machine at every moment, and moves work about as a fluid: a bound
// that no router reaches, since it pays for no way, waits for no answer and is never wrong. What lies between it and a run is what there
// is to win.
type top struct {
	waiting map[int64][]cohort // by bank
	at      time.Duration
	worth   []float64 // by second in which it came
	tally   map[string]float64
}

// cohort is what came in one step of one class, and is not yet served.
type cohort struct {
	class  *Class
	born   time.Duration
	second int
	work   float64 // seconds
	worth  float64 // of all of it, in time
}

// came counts a request.
func (t *top) came(q *request, second int) {
	all := t.waiting[q.bank]
	for i := len(all) - 1; i >= 0 && all[i].born > t.at; i-- {
		if c := &all[i]; c.class == q.class && c.second == second {
			c.work, c.worth = c.work+q.need.Seconds(), c.worth+q.class.PriorityWeight
			return
		}
	}
	t.waiting[q.bank] = append(all, cohort{q.class, q.born, second, q.need.Seconds(), q.class.PriorityWeight})
}

// step serves what it can since the last one.
func (t *top) step(w *model.World, now time.Duration) {
	span := now - t.at
	if t.at == 0 {
		span = 0
	}
	for _, b := range w.Groups {
		t.waiting[b.ID] = t.serve(b, now, span)
	}
	t.at = now
}

func (t *top) serve(b *model.ReplicaGroup, now, span time.Duration) (left []cohort) {
	room := make([]float64, len(b.Endpoints))
	for i, m := range b.Endpoints {
		room[i] = m.Capacity() * span.Seconds()
	}
	all := t.waiting[b.ID]
	worth := func(c cohort) float64 {
		// It came on its way through the step: half of the step at least lies behind it.
		switch age := now - c.born; {
		case age <= c.class.LatencyObjective+span:
			return c.worth
		case age <= c.class.ClientTimeout:
			return c.worth * c.class.LateWeightShare
		}
		return 0
	}
	slices.SortStableFunc(all, func(x, y cohort) int { return cmp.Compare(worth(y)/y.work, worth(x)/x.work) })
	take := func(c *cohort, i int) {
		part := min(room[i], c.work)
		if part <= 0 {
			return
		}
		room[i] -= part
		got := worth(*c) * part / c.work
		c.worth *= 1 - part/c.work
		c.work -= part
		t.worth[c.second] += got
		t.tally[c.class.Name] += got
	}
	for _, c := range all {
		strong := c.class.Consistency == balance.ConsistencyWrite || c.class.Consistency == balance.ConsistencyLatest
		for i, m := range b.Endpoints {
			if strong || m.IsPrimary() || c.class.Consistency == balance.ConsistencyBounded && now-m.Position() > c.class.MaxStaleness+span {
				continue
			}
			take(&c, i)
		}
		for i, m := range b.Endpoints {
			if m.IsPrimary() && (b.AcceptsWrites() || !strong) {
				take(&c, i)
			}
		}
		if c.work > 1e-9 && now-c.born < c.class.ClientTimeout {
			left = append(left, c)
		}
	}
	return left
}

// score weighs it as Score does.
func (t *top) score(seconds []Second, classes map[string]*Tally) float64 {
	best, tally := slices.Clone(seconds), map[string]*Tally{}
	for i := range best {
		best[i].Worth = t.worth[i]
	}
	for name, k := range classes {
		tally[name] = &Tally{Came: k.Came, Worth: t.tally[name], Could: k.Could}
	}
	whole, worst, class, _ := Score(best, tally)
	return 0.5*whole + 0.3*worst + 0.2*class
}
