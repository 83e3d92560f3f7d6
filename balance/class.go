package balance

import "time"

// Consistency is how recent the data that a request reads must be.
type Consistency int

// The kinds of consistency.
const (
	ConsistencyAny     Consistency = iota // data of any age, from any endpoint
	ConsistencyBounded                    // data no older than Class.MaxStaleness when the request is sent
	ConsistencySession                    // all writes of the session
	ConsistencyLatest                     // all commits before the arrival of the request
	ConsistencyWrite                      // a write, which only the primary accepts
)

// Idempotency is whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated or rejected at any time
	IdempotentWithKey                    // the endpoints of IdempotencyScope discard repeats for IdempotencyWindow
	NonIdempotent                        // must never run twice
)

// IdempotencyScope is the set of endpoints that discard repeats of a request with an idempotency key.
type IdempotencyScope int

// The scopes of an idempotency key.
const (
	ScopeGroup IdempotencyScope = iota // the endpoints of the request's group
	ScopeZone                          // the endpoints in the same zone
	ScopeAll                           // every endpoint
)

// Class is a class of requests with its settings.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time has full weight
	ObjectiveStretch  float64       // the objective is extended by this multiple of Request.EstimatedWork
	ClientTimeout     time.Duration // how long a client waits in total, over all its retries
	PriorityWeight    float64       // of an answer within the objective
	LateWeightShare   float64       // share of the weight that an answer after the objective still has
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long endpoints remember an idempotency key
	Consistency       Consistency
	MaxStaleness      time.Duration // staleness bound of ConsistencyBounded
}

const (
	// smoothing is the weight of a new sample in moving averages, which cover about the last ten samples.
	smoothing = 0.1
	// decay is the share by which a recorded minimum rises, or a recorded maximum falls, with each sample, since work
	// and endpoints change.
	decay = 0.002
	// initialLatencyDivisor determines the latency that is assumed before the first answer: the latency objective
	// divided by it.
	initialLatencyDivisor = 5
	// latencySmoothing is the weight of an answer in the mean latency of its class. It is lower than smoothing since a
	// class gets many answers.
	latencySmoothing = smoothing / 5
	// fewAnswersFactor is the maximum factor by which latencySmoothing is raised where there are many instances, which
	// get few answers each.
	fewAnswersFactor = 5
)

// classState is a class with the statistics that this instance has gathered on its requests.
type classState struct {
	Class
	latency        float64       // moving mean of the time an attempt takes, in seconds, including queueing
	serviceTime    float64       // slowly rising minimum of latency, in seconds: the work of a request at an endpoint
	arrivals       float64       // number of requests, slowly decaying
	longestTimeout time.Duration // the longest Request.TimeLeft so far
}

// newClassState returns the state of a class, with a fifth of its objective as the initial latency.
func newClassState(class Class) *classState {
	if class.LatencyObjective <= 0 {
		class.LatencyObjective = class.ClientTimeout
	}
	estimate := class.LatencyObjective.Seconds() / initialLatencyDivisor
	return &classState{Class: class, latency: estimate, serviceTime: estimate}
}

// needsPrimary reports whether only the primary can serve the class: strong requests in the terms of the ODP page.
func (c *classState) needsPrimary() bool {
	return c.Consistency == ConsistencyWrite || c.Consistency == ConsistencyLatest
}

// isWrite reports whether requests of the class are writes.
func (c *classState) isWrite() bool { return c.Consistency == ConsistencyWrite }

// objectiveShare returns the time that an attempt took as a multiple of the latency objective.
func (c *classState) objectiveShare(took time.Duration) float64 {
	return took.Seconds() / c.LatencyObjective.Seconds()
}

// observeLatency adds the latency of a served attempt to the mean. The more instances there are, the fewer answers
// each of them gets, so each answer has more weight.
func (c *classState) observeLatency(took time.Duration, instances float64) {
	c.latency += latencySmoothing * min(fewAnswersFactor, 1+instances/10) * (took.Seconds() - c.latency)
}

// observeServiceTime updates the minimum latency. The minimum can rise again, but slowly.
func (c *classState) observeServiceTime() {
	c.serviceTime = min(c.latency, c.serviceTime*(1+decay))
}

// expire decays the statistics; it is called once a second. Where an instance's share of an endpoint is under one
// attempt, few requests of a class that was slow in an overload are sent, so no answers would show that it has become
// fast again. There the mean latency returns to the service time without answers.
func (c *classState) expire(fractionalShare bool) {
	c.arrivals *= 1 - decay
	if fractionalShare {
		c.latency -= smoothing * (c.latency - c.serviceTime)
	}
}

// slowestLatency returns the highest mean latency of any class, in seconds.
func (b *Balancer) slowestLatency() float64 {
	slowest := 0.0
	for _, class := range b.classes {
		slowest = max(slowest, class.latency)
	}
	return slowest
}

// ClassCost returns the cost of a request of the class to an endpoint, in seconds: the slowly rising minimum of
// latency, and its moving mean, which includes queueing.
func (b *Balancer) ClassCost(name string) (work, mean float64) {
	if class := b.classes[name]; class != nil {
		return class.serviceTime, class.latency
	}
	return 0, 0
}
