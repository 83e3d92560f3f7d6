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

// ending is the final outcome of a request for its client.
type ending uint8

const (
	served ending = iota
	rejected
	failed
	expired
	disconnected
	endingCount
)

// Endings are the names of the values of Second.Ends and Tally.Ends, by index.
var Endings = []string{"served", "refused", "failed", "expired", "left"}

const (
	sampleInterval = 500 * time.Millisecond // between two samples of the fleet
	scoreWindow    = 10 * time.Second       // the length of the worst window in the score
)

// observer checks the rules and collects the statistics of clients, routers and endpoints.
type observer struct {
	fleet          *Fleet
	closed         bool
	openRequests   map[int]*request // by id: requests without an ending
	violations     map[string]int
	violationTexts []string // texts of the first violations
	marks          []Mark
	seconds        []Second
	classes        map[string]*Tally
	series         []Sample
	latencies      []float64 // of served requests, in seconds
	overloads      int
	bound          upperBound
}

// Mark is an event that plots show.
type Mark struct {
	At   time.Duration
	Text string
	For  time.Duration // its duration, for instance until a lost endpoint returns; 0 means a single moment
}

// Second holds the statistics of the requests that arrived in one second.
type Second struct {
	Came  int // requests
	Ends  [endingCount]int
	Late  int     // served after the latency objective
	Worth float64 // priority weight that was earned
	Could float64 // priority weight of all requests

	// Rejections by routers in this second: of requests of which no statement was written to an endpoint since the
	// client sent them last, and of others.
	Unsent, Tried int
}

// Tally holds the statistics of the requests of one class. Its fields are as in Second.
type Tally struct {
	Came  int
	Ends  [endingCount]int
	Late  int
	Worth float64
	Could float64
}

// Sample is the state of the fleet at one time.
type Sample struct {
	At       time.Duration
	InHand   int
	Machines []MachineSample
}

// MachineSample is the state of one endpoint.
type MachineSample struct {
	Running, Waiting, Conns int
	Capacity                float64
	Lag                     time.Duration
	Primary                 bool
	Down                    bool
}

func (f *Fleet) startObserver() {
	f.observer = observer{
		fleet: f, openRequests: map[int]*request{},
		violations: map[string]int{}, classes: map[string]*Tally{},
	}
	f.observer.seconds = make([]Second, int((f.cfg.Length+time.Second-1)/time.Second))
	f.observer.bound = upperBound{
		pending:       map[int64][]cohort{},
		worthBySecond: make([]float64, len(f.observer.seconds)),
		worthByClass:  map[string]float64{},
	}
	for _, k := range f.cfg.Classes {
		f.observer.classes[k.Name] = &Tally{}
	}
	down := map[*model.Endpoint]bool{}
	f.world.Watch(func(m *model.Endpoint) {
		if isDown := m.State() == model.Down; isDown != down[m] {
			down[m] = isDown
			if isDown && strings.HasPrefix(m.Cause(), "pushed over") {
				f.observer.overloads++
				f.observer.marks = append(f.observer.marks, Mark{
					At:   f.clock.Now() - startTime,
					Text: m.ID + " " + m.Cause(),
				})
				if m.WarmingUp() {
					f.observer.reportViolation("cold", "%s was %s", m.ID, m.Cause())
				}
			}
		}
	})
	var sample func()
	sample = func() {
		f.drawBurst()
		f.observer.sample()
		if !f.observer.closed {
			f.clock.After(sampleInterval, sample)
		}
	}
	sample()
}

func (o *observer) sample() {
	now := o.fleet.clock.Now()
	o.bound.step(o.fleet.world, now)
	s := Sample{At: now - startTime, InHand: o.fleet.inFlight}
	for _, m := range o.fleet.world.Endpoints {
		s.Machines = append(s.Machines, Look(m, now))
	}
	o.series = append(o.series, s)
}

// Look returns the state of an endpoint.
func Look(m *model.Endpoint, now time.Duration) MachineSample {
	x := MachineSample{Running: m.Running(), Waiting: m.Queued(), Conns: m.Connections(), Capacity: m.Capacity(), Primary: m.IsPrimary(), Down: m.State() != model.Up}
	if !x.Primary && !x.Down {
		x.Lag = now - m.Position()
	}
	return x
}

// reportViolation counts a violation of a rule and keeps the text of the first ones.
func (o *observer) reportViolation(rule, format string, args ...any) {
	o.violations[rule]++
	if len(o.violationTexts) < 20 {
		o.violationTexts = append(o.violationTexts, fmt.Sprintf("%s at %.3f s: ", rule,
			(o.fleet.clock.Now()-startTime).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (o *observer) requestArrived(q *request) {
	o.openRequests[q.id] = q
	s := &o.seconds[o.secondOf(q)]
	s.Came++
	s.Could += q.class.PriorityWeight
	t := o.classes[q.class.Name]
	t.Came++
	t.Could += q.class.PriorityWeight
	o.bound.add(q, o.secondOf(q))
}

func (o *observer) secondOf(q *request) int {
	return min(len(o.seconds)-1, int((q.arrivedAt-startTime)/time.Second))
}

// requestRejected counts a rejection by a router in the second in which it happened.
func (o *observer) requestRejected(q *request) {
	s := &o.seconds[min(len(o.seconds)-1, int((o.fleet.clock.Now()-startTime)/time.Second))]
	if q.statementsSent == 0 {
		s.Unsent++
	} else {
		s.Tried++
	}
}

// openRequestsOf returns the requests that a router has not answered, in the order of their arrival.
func (o *observer) openRequestsOf(r *instance) (requests []*request) {
	for _, q := range o.openRequests {
		if q.router == r && q.responses == 0 && !q.disconnected {
			requests = append(requests, q)
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return requests
}

// checkSend checks a statement that a router is about to write.
func (f *Fleet) checkSend(r *instance, q *request, p *backend) {
	if q.copiesInFlight > 0 && q.class.Idempotency != balance.Idempotent {
		f.observer.reportViolation("copies", "request %d is written to %s while a copy is out", q.id, p.endpoint.ID)
	}
	if p.leaving && f.clock.Now() > p.leavingSince+f.cfg.Grace {
		f.observer.reportViolation("drain", "%v writes to %s, which it knows to be out for %v",
			r, p.endpoint.ID, f.clock.Now()-p.leavingSince)
	}
}

// checkExecution checks an execution by an endpoint.
func (o *observer) checkExecution(q *request, m *model.Endpoint, position, minPosition time.Duration) {
	if q.executions > 1 && q.class.Idempotency == balance.NonIdempotent {
		o.reportViolation("twice", "request %d ran %d times", q.id, q.executions)
	}
	if minPosition > position {
		o.reportViolation("stale", "request %d of %s was answered by %s from %v before what it has to see",
			q.id, q.class.Name, m.ID, minPosition-position)
	}
}

func (o *observer) requestEnded(q *request, how ending) {
	delete(o.openRequests, q.id)
	now := o.fleet.clock.Now()
	worth, late := 0.0, 0
	if how == served {
		if worth = q.class.PriorityWeight; now-q.arrivedAt > q.class.LatencyObjective {
			worth, late = worth*q.class.LateWeightShare, 1
		}
		o.latencies = append(o.latencies, (now - q.arrivedAt).Seconds())
		if q.class.Consistency == balance.ConsistencyWrite && q.executions == 0 {
			o.reportViolation("lost", "write %d was served and never ran", q.id)
		}
	}
	s, t := &o.seconds[o.secondOf(q)], o.classes[q.class.Name]
	s.Ends[how]++
	s.Late += late
	s.Worth += worth
	t.Ends[how]++
	t.Late += late
	t.Worth += worth
}

// Result holds the statistics of a run.
type Result struct {
	Seed    uint64
	Worth   float64 // 0.5 Whole + 0.3 Window + 0.2 Class; 0 if a rule was violated
	Whole   float64 // earned share of the priority weight
	Window  float64 // Whole of the worst 10 s
	Class   float64 // Whole of the worst class
	Worst   string  // name of the worst class
	Count   Count
	Tally   map[string]*Tally
	Rules   map[string]int // violations by rule
	Words   []string       // texts of the first violations
	Seconds []Second
	Series  []Sample
	Marks   []Mark
	Names   []string   // ids of the endpoints, in the order of Sample.Machines
	Latency []float64  // of served requests at Quantiles, in seconds
	Curve   []Quantile // the latency distribution, at the steps of Step20
	Changes int        // of primaries
	Pushed  int        // endpoints that failed by overload, warming up or not
	Unseen  []string   // figures that were not measured in this run
	Tops    []float64  // upper bound of Second.Worth, by second
	Top     float64    // upper bound of Worth, from the same formula
}

// Quantile is a point of the latency distribution.
type Quantile struct{ Part, Seconds float64 }

// Quantiles are the quantiles in Result.Latency.
var Quantiles = []float64{0.5, 0.9, 0.99, 0.999}

func (f *Fleet) result() *Result {
	o := &f.observer
	for _, q := range o.unanswered() {
		o.reportViolation("lost", "request %d of %s has no answer", q.id, q.class.Name)
	}
	res := &Result{
		Seed: f.seed, Count: f.count, Tally: o.classes, Rules: o.violations,
		Words: o.violationTexts, Seconds: o.seconds, Series: o.series, Marks: o.marks, Pushed: o.overloads,
	}
	res.Whole, res.Window, res.Class, res.Worst = Score(o.seconds, o.classes)
	res.Worth = 0.5*res.Whole + 0.3*res.Window + 0.2*res.Class
	res.Tops = o.bound.worthBySecond
	res.Top = o.bound.score(o.seconds, o.classes)
	if len(o.violations) > 0 {
		res.Worth = 0
	}
	slices.Sort(o.latencies)
	for _, p := range Quantiles {
		v := 0.0
		if n := len(o.latencies); n > 0 {
			v = o.latencies[min(n-1, int(p*float64(n)))]
		}
		res.Latency = append(res.Latency, v)
	}
	for i := range 81 { // quantiles from 0 to 1 - 10^-4
		part := Step20(i)
		if n := len(o.latencies); float64(n)*(1-part) >= 1 {
			res.Curve = append(res.Curve, Quantile{part, o.latencies[min(n-1, int(part*float64(n)))]})
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

// Step20 returns the quantile at step i of a logarithmic scale of the slowest requests, with 20 steps per power of ten.
func Step20(i int) float64 { return 1 - math.Pow(10, -float64(i)/20) }

// Score returns the earned share of the priority weight: of the whole run, of the worst 10 s, and of the worst class
// with its name.
func Score(seconds []Second, classes map[string]*Tally) (whole, worst, class float64, name string) {
	worth, possible := 0.0, 0.0
	for _, s := range seconds {
		worth, possible = worth+s.Worth, possible+s.Could
	}
	whole, worst, class = earnedShare(worth, possible), 1, 1
	const n = int(scoreWindow / time.Second)
	for i := 0; i+n <= len(seconds); i++ {
		w, c := 0.0, 0.0
		for _, s := range seconds[i : i+n] {
			w, c = w+s.Worth, c+s.Could
		}
		worst = min(worst, earnedShare(w, c))
	}
	if len(seconds) < n {
		worst = whole
	}
	for _, k := range slices.Sorted(maps.Keys(classes)) {
		if t := classes[k]; t.Came > 0 && earnedShare(t.Worth, t.Could) < class {
			class, name = earnedShare(t.Worth, t.Could), k
		}
	}
	return whole, worst, class, name
}

// unanswered returns the requests without an ending, in the order of their arrival.
func (o *observer) unanswered() (requests []*request) {
	for _, q := range o.openRequests {
		requests = append(requests, q)
	}
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return requests
}

func earnedShare(a, of float64) float64 {
	if of == 0 {
		return 1
	}
	return a / of
}
