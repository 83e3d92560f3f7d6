package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/model"
)

// ending is how a request ended for its client.
type ending uint8

const (
	served ending = iota
	refusedOnes
	failed
	expired
	gone
	endings
)

// Endings names them.
var Endings = []string{"served", "refused", "failed", "expired", "left"}

// sampleStep is how often the fleet is looked at, window how long the worst time is.
const (
	sampleStep = 500 * time.Millisecond
	window     = 10 * time.Second
)

// observer sees all sides: what clients wanted and got, what routers sent, what machines ran.
type observer struct {
	f       *Fleet
	closed  bool
	asked   map[int]*request // those that are open
	faults  map[string]int
	samples []string // the first few, in words
	marks   []Mark
	seconds []Second
	classes map[string]*Tally
	series  []Sample
	lat     []float64 // seconds, of what was served
	pushed  int
	top     top
}

// Mark is a moment that plots show.
type Mark struct {
	At   time.Duration
	Text string
	For  time.Duration // how long it lasts: to the return of what is lost; 0 = a moment
}

// Second is what came in one second and what became of it.
type Second struct {
	Came  int
	Ends  [endings]int
	Late  int
	Worth float64 // of what came in it
	Could float64

	Unsent, Tried int // refusals by routers in it: of what was never sent, and behind attempts
}

// Tally is the same for a class.
type Tally struct {
	Came  int
	Ends  [endings]int
	Late  int
	Worth float64
	Could float64
}

// Sample is the state of the fleet at a moment.
type Sample struct {
	At       time.Duration
	InHand   int
	Machines []MachineSample
}

// MachineSample is the state of one machine.
type MachineSample struct {
	Running, Waiting, Conns int
	Capacity                float64
	Lag                     time.Duration
	Primary                 bool
	Down                    bool
}

func (f *Fleet) observe() {
	f.obs = observer{f: f, asked: map[int]*request{}, faults: map[string]int{}, classes: map[string]*Tally{}}
	f.obs.seconds = make([]Second, int((f.cfg.Length+time.Second-1)/time.Second))
	f.obs.top = top{waiting: map[int64][]cohort{}, worth: make([]float64, len(f.obs.seconds)), tally: map[string]float64{}}
	for _, k := range f.cfg.Classes {
		f.obs.classes[k.Name] = &Tally{}
	}
	down := map[*model.Endpoint]bool{}
	f.world.Watch(func(m *model.Endpoint) {
		if is := m.State() == model.Down; is != down[m] {
			down[m] = is
			if is && strings.HasPrefix(m.Cause(), "pushed over") {
				f.obs.pushed++
				f.obs.marks = append(f.obs.marks, Mark{At: f.clock.Now() - start, Text: m.ID + " " + m.Cause()})
				if m.WarmingUp() {
					f.obs.fault("cold", "%s was %s", m.ID, m.Cause())
				}
			}
		}
	})
	var sample func()
	sample = func() {
		f.bursts()
		f.obs.sample()
		if !f.obs.closed {
			f.clock.After(sampleStep, sample)
		}
	}
	sample()
}

func (o *observer) sample() {
	now := o.f.clock.Now()
	o.top.step(o.f.world, now)
	s := Sample{At: now - start, InHand: o.f.inHand}
	for _, m := range o.f.world.Endpoints {
		s.Machines = append(s.Machines, Look(m, now))
	}
	o.series = append(o.series, s)
}

// Look is the state of a machine.
func Look(m *model.Endpoint, now time.Duration) MachineSample {
	x := MachineSample{Running: m.Running(), Waiting: m.Queued(), Conns: m.Connections(), Capacity: m.Capacity(), Primary: m.IsPrimary(), Down: m.State() != model.Up}
	if !x.Primary && !x.Down {
		x.Lag = now - m.Position()
	}
	return x
}

// fault notes a broken rule.
func (o *observer) fault(rule, format string, args ...any) {
	o.faults[rule]++
	if len(o.samples) < 20 {
		o.samples = append(o.samples, fmt.Sprintf("%s at %.3f s: ", rule, (o.f.clock.Now()-start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (o *observer) came(q *request) {
	o.asked[q.id] = q
	s := &o.seconds[o.second(q)]
	s.Came++
	s.Could += q.class.PriorityWeight
	t := o.classes[q.class.Name]
	t.Came++
	t.Could += q.class.PriorityWeight
	o.top.came(q, o.second(q))
}

func (o *observer) second(q *request) int {
	return min(len(o.seconds)-1, int((q.born-start)/time.Second))
}

// refused notes a router's refusal, in the second in which it came.
func (o *observer) refused(q *request) {
	s := &o.seconds[min(len(o.seconds)-1, int((o.f.clock.Now()-start)/time.Second))]
	if q.sent == 0 {
		s.Unsent++
	} else {
		s.Tried++
	}
}

// open are the requests that a router has, in the order in which they came.
func (o *observer) open(r *instance) (out []*request) {
	for _, q := range o.asked {
		if q.at == r && q.answers == 0 && !q.left {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

// seen checks what a router is about to write.
func (f *Fleet) seen(r *instance, q *request, p *peer) {
	if q.out > 0 && q.class.Idempotency != balance.Idempotent {
		f.obs.fault("copies", "request %d is written to %s while a copy is out", q.id, p.m.ID)
	}
	if p.out && f.clock.Now() > p.outAt+f.cfg.Grace {
		f.obs.fault("drain", "%v writes to %s, which it knows to be out for %v", r, p.m.ID, f.clock.Now()-p.outAt)
	}
}

// ran checks what a machine has run.
func (o *observer) ran(q *request, m *model.Endpoint, pos, see time.Duration) {
	if q.runs > 1 && q.class.Idempotency == balance.NonIdempotent {
		o.fault("twice", "request %d ran %d times", q.id, q.runs)
	}
	if see > pos {
		o.fault("stale", "request %d of %s was answered by %s from %v before what it has to see", q.id, q.class.Name, m.ID, see-pos)
	}
}

func (o *observer) ended(q *request, how ending) {
	delete(o.asked, q.id)
	now := o.f.clock.Now()
	worth, late := 0.0, 0
	if how == served {
		if worth = q.class.PriorityWeight; now-q.born > q.class.LatencyObjective {
			worth, late = worth*q.class.LateWeightShare, 1
		}
		o.lat = append(o.lat, (now - q.born).Seconds())
		if q.class.Consistency == balance.ConsistencyWrite && q.runs == 0 {
			o.fault("lost", "write %d was served and never ran", q.id)
		}
	}
	s, t := &o.seconds[o.second(q)], o.classes[q.class.Name]
	s.Ends[how]++
	s.Late += late
	s.Worth += worth
	t.Ends[how]++
	t.Late += late
	t.Worth += worth
}

// Result is what a run has shown.
type Result struct {
	Seed    uint64
	Worth   float64 // whole, worst time and worst class, weighed as the brief does
	Whole   float64
	Window  float64
	Class   float64
	Worst   string // the worst class
	Count   Count
	Tally   map[string]*Tally
	Rules   map[string]int
	Words   []string
	Seconds []Second
	Series  []Sample
	Marks   []Mark
	Names   []string
	Latency []float64  // quantiles 0.5, 0.9, 0.99, 0.999 of what was served, seconds
	Curve   []Quantile // the whole of it
	Changes int
	Pushed  int       // machines that were pushed over, cold or warm
	Unseen  []string  // figures that were not measured in this run
	Tops    []float64 // worth that the true state would allow, by second
	Top     float64   // the worth that the true state, moved about as a fluid, would allow: the same parts weighed the same way
}

// Quantile is a point of the curve of latencies.
type Quantile struct{ Part, Seconds float64 }

// Quantiles are those of Latency.
var Quantiles = []float64{0.5, 0.9, 0.99, 0.999}

func (f *Fleet) result() *Result {
	o := &f.obs
	for _, q := range o.unanswered() {
		o.fault("lost", "request %d of %s has no answer", q.id, q.class.Name)
	}
	res := &Result{Seed: f.seed, Count: f.count, Tally: o.classes, Rules: o.faults, Words: o.samples, Seconds: o.seconds, Series: o.series, Marks: o.marks, Pushed: o.pushed}
	res.Whole, res.Window, res.Class, res.Worst = Score(o.seconds, o.classes)
	res.Worth = 0.5*res.Whole + 0.3*res.Window + 0.2*res.Class
	res.Tops = o.top.worth
	res.Top = o.top.score(o.seconds, o.classes)
	if len(o.faults) > 0 {
		res.Worth = 0
	}
	slices.Sort(o.lat)
	for _, p := range Quantiles {
		v := 0.0
		if n := len(o.lat); n > 0 {
			v = o.lat[min(n-1, int(p*float64(n)))]
		}
		res.Latency = append(res.Latency, v)
	}
	for i := range 81 { // each step of the scale is a twentieth of a power of ten
		part := Step20(i)
		if n := len(o.lat); float64(n)*(1-part) >= 1 {
			res.Curve = append(res.Curve, Quantile{part, o.lat[min(n-1, int(part*float64(n)))]})
		}
	}
	for _, m := range f.world.Endpoints {
		res.Names = append(res.Names, m.ID)
	}
	for _, b := range f.world.Groups {
		res.Changes += b.PrimaryChanges()
	}
	return res
}

// Step20 is the part at a step of a scale that stretches the slow end: twenty steps a power of ten.
func Step20(i int) float64 { return 1 - math.Pow(10, -float64(i)/20) }

// Score is the part of all worth that was given, in the whole, in the worst 10 s and in the worst class.
func Score(seconds []Second, classes map[string]*Tally) (whole, worst, class float64, name string) {
	worth, could := 0.0, 0.0
	for _, s := range seconds {
		worth, could = worth+s.Worth, could+s.Could
	}
	whole, worst, class = part(worth, could), 1, 1
	const n = int(window / time.Second)
	for i := 0; i+n <= len(seconds); i++ {
		w, c := 0.0, 0.0
		for _, s := range seconds[i : i+n] {
			w, c = w+s.Worth, c+s.Could
		}
		worst = min(worst, part(w, c))
	}
	if len(seconds) < n {
		worst = whole
	}
	for _, k := range slices.Sorted(maps.Keys(classes)) {
		if t := classes[k]; t.Came > 0 && part(t.Worth, t.Could) < class {
			class, name = part(t.Worth, t.Could), k
		}
	}
	return whole, worst, class, name
}

// unanswered are those that nobody has answered by the end.
func (o *observer) unanswered() (out []*request) {
	for _, q := range o.asked {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

func part(a, of float64) float64 {
	if of == 0 {
		return 1
	}
	return a / of
}
