package balance

import "time"

// Consistency says how recent the data must be that a request of a class sees.
type Consistency int

// The kinds of consistency.
const (
	ConsistencyAny     Consistency = iota // any endpoint will do
	ConsistencyBounded                    // no older than Class.MaxStaleness when the request is sent
	ConsistencySession                    // all that the session has written
	ConsistencyLatest                     // all that was committed before the request arrived
	ConsistencyWrite                      // a write: only the primary takes it
)

// Idempotency says what a repeat of a request would do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // the endpoints of IdempotencyScope discard repeats for IdempotencyWindow
	NonIdempotent                        // must never run twice
)

// IdempotencyScope names the endpoints that discard the repeats of a request with an idempotency key.
type IdempotencyScope int

// The scopes of an idempotency key.
const (
	ScopeGroup IdempotencyScope = iota // the endpoints of the request's group
	ScopeZone                          // the endpoints in the same zone
	ScopeAll                           // every endpoint
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it has full weight
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's own estimate of work
	ClientTimeout     time.Duration // how long a client waits over all its attempts
	PriorityWeight    float64       // of an answer within the objective
	LateWeightShare   float64       // the part of the weight that an answer after the objective still has
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long an idempotency key is remembered
	Consistency       Consistency
	MaxStaleness      time.Duration // of the data that ConsistencyBounded sees
}

const (
	// smoothing is the weight of a new sample in moving averages: about the last ten samples count.
	smoothing = 0.1
	// decay is the part by which a remembered extreme is forgotten at each sample: work and endpoints change.
	decay = 0.002
	// initialLatencyDivisor gives the latency that is assumed before any answer: this part of the objective.
	initialLatencyDivisor = 5
	// latencySmoothing is the weight of an answer in the mean latency of its class: a class sees many answers.
	latencySmoothing = smoothing / 5
	// fewAnswersFactor bounds by how much more an answer counts at one of many instances, which see few answers each.
	fewAnswersFactor = 5
)

// classState is a class with what this instance has learned of its requests.
type classState struct {
	Class
	latency        float64       // moving mean of the time that an attempt takes, seconds
	serviceTime    float64       // the least of it, slowly forgotten, seconds: what a request costs an endpoint
	arrivals       float64       // requests, slowly forgotten
	longestTimeout time.Duration // the longest that a client has been ready to wait
}

// newClassState starts with a fifth of the objective as the estimate of latency.
func newClassState(class Class) *classState {
	if class.LatencyObjective <= 0 {
		class.LatencyObjective = class.ClientTimeout
	}
	estimate := class.LatencyObjective.Seconds() / initialLatencyDivisor
	return &classState{Class: class, latency: estimate, serviceTime: estimate}
}

// needsPrimary says that only the primary can serve the class: a strong request in terms of the ODP page.
func (c *classState) needsPrimary() bool {
	return c.Consistency == ConsistencyWrite || c.Consistency == ConsistencyLatest
}

// isWrite says that requests of the class are writes.
func (c *classState) isWrite() bool { return c.Consistency == ConsistencyWrite }

// objectiveShare is the part of the latency objective that an attempt took.
func (c *classState) objectiveShare(took time.Duration) float64 {
	return took.Seconds() / c.LatencyObjective.Seconds()
}

// observeLatency takes the latency of a served attempt into the mean. The more instances there are, the fewer answers
// each of them sees, so each answer counts for more.
func (c *classState) observeLatency(took time.Duration, instances float64) {
	c.latency += latencySmoothing * min(fewAnswersFactor, 1+instances/10) * (took.Seconds() - c.latency)
}

// observeServiceTime follows the least latency, so that it can also rise again slowly.
func (c *classState) observeServiceTime() {
	c.serviceTime = min(c.latency, c.serviceTime*(1+decay))
}

// expire forgets a part of what was learned, once a second. Where the share of one instance is under one attempt
// little is sent of a class that was slow in an overload, and no answer would show that it has become fast again;
// there the mean returns to the service time by itself.
func (c *classState) expire(fractionalShare bool) {
	c.arrivals *= 1 - decay
	if fractionalShare {
		c.latency -= smoothing * (c.latency - c.serviceTime)
	}
}

// slowestLatency is the mean time of an attempt of the slowest class, seconds.
func (b *Balancer) slowestLatency() float64 {
	slowest := 0.0
	for _, class := range b.classes {
		slowest = max(slowest, class.latency)
	}
	return slowest
}

// ClassCost returns what requests of the class cost an endpoint, in seconds: the least latency seen, slowly
// forgotten, and the moving mean of latency, which includes queueing.
func (b *Balancer) ClassCost(name string) (work, mean float64) {
	if class := b.classes[name]; class != nil {
		return class.serviceTime, class.latency
	}
	return 0, 0
}
