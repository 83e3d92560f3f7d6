package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// never is a Time later than any other.
const never = Time(math.MaxInt64)

const (
	// tickInterval is the shortest interval at which pending requests and silent endpoints are checked. It is shorter
	// than any latency objective.
	tickInterval = 10 * time.Millisecond
	// pauseThreshold is the delay of a timer beyond which this instance counts as paused, and the shortest silence
	// timeout of an endpoint. Scheduling alone may delay a timer by a few ticks.
	pauseThreshold = 5 * tickInterval
	// activeWindow is how long a request, a reported lag or an unanswered health check counts as recent.
	activeWindow = 2 * time.Second
)

// Balancer makes the routing decisions of one router instance. It is not safe for concurrent use.
type Balancer struct {
	config  Config
	rng     *rand.Rand
	now     Time
	actions []Action // of the current step
	wake    wakeTimer

	endpoints     map[string]*endpoint
	groups        map[int64]*replicaGroup
	sortedGroups  []*replicaGroup   // by id
	busyEndpoints []*endpoint       // endpoints with attempts in flight
	liveScratch   []*attempt        // reused by liveAttempts
	candidates    replicaCandidates // reused by collectCandidates

	classes        map[string]*classState
	quotas         map[string]*tokenBucket // by tenant
	requests       map[string]*request
	sessionCommits sessionCommits

	throughput     throughput
	retries        retryBudget
	healthChecks   healthCheckBudget
	tightestBound  time.Duration // shortest staleness bound of the bounded classes; 0 = no bounded class
	poll           discoveryPoll
	best           bestRank
	suspended      map[string]bool    // endpoints that operators have suspended, listed or not
	zoneCapacities map[string]float64 // by zone: usable share of its endpoints' capacity (0 to 1); missing = unlimited
}

// New returns a balancer that has no endpoint list yet. The seed determines all its random choices.
func New(config Config, seed uint64) (*Balancer, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		config:         config,
		rng:            rand.New(rand.NewPCG(seed, 0)),
		endpoints:      map[string]*endpoint{},
		groups:         map[int64]*replicaGroup{},
		classes:        map[string]*classState{},
		quotas:         map[string]*tokenBucket{},
		requests:       map[string]*request{},
		sessionCommits: newSessionCommits(),
		retries:        newRetryBudget(),
		healthChecks:   newHealthCheckBudget(config.HealthCheckCost),
		tightestBound:  config.tightestBound(),
		suspended:      map[string]bool{},
		zoneCapacities: map[string]float64{},
	}
	b.poll = newDiscoveryPoll(&b.config, b.rng)
	for _, class := range config.Classes {
		b.classes[class.Name] = newClassState(class)
	}
	for _, tenant := range config.Tenants {
		b.quotas[tenant.Name] = newTokenBucket(tenant.Quota / config.instances())
	}
	return b, nil
}

// Step processes the events seen up to now and returns the actions to carry out, in order. All events are processed
// before any request is sent.
func (b *Balancer) Step(now Time, events []Event) []Action {
	b.wake.begin(now)
	b.now = now
	b.actions = nil
	for _, event := range events {
		b.handle(event)
	}
	b.checkProgress()
	for _, group := range b.sortedGroups {
		b.dispatchPending(group)
		b.scheduleHealthChecks(group)
	}
	b.pollDiscovery()
	if delay, ok := b.wake.set(now, max(tickInterval, b.config.TimerResolution)); ok {
		b.emit(Timer{After: delay})
	}
	return b.actions
}

// handle updates the state for one event. Pending requests and regular health checks are sent at the end of the step.
func (b *Balancer) handle(event Event) {
	switch event := event.(type) {
	case EndpointList:
		b.handleDiscovery(event)
	case Request:
		b.handleRequest(event)
	case AttemptResult:
		b.handleOutcome(event)
	case HealthCheckResult:
		b.handleHealthCheck(event)
	case Suspend:
		b.handleSuspend(event)
	case ZoneCapacity:
		b.zoneCapacities[event.Zone] = event.Share
	case OtherProcess:
		b.sessionCommits.setOtherProcess(event.Serving, b.now)
	case ClientDisconnected:
		b.handleDisconnect(event)
	case FirstByte:
		b.handleFirstByte(event)
	}
}

// emit appends an action to the result of the current step.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// log emits a log message for the engineers on call.
func (b *Balancer) log(format string, args ...any) {
	b.emit(LogMessage{Text: fmt.Sprintf(format, args...)})
}

// wakeTimer tracks when the timer that is set fires, and determines during a step when the next step is due.
type wakeTimer struct {
	firesAt      Time // when the timer that is set fires; never = no timer is set
	nextDueAt    Time // the earliest time at which a step is needed; never = none
	runningSince Time // end of the last pause of this instance
}

// begin starts a step. It records the end of a pause of this instance, since an endpoint must not count as silent or
// slow for time in which the instance itself did not run.
func (t *wakeTimer) begin(now Time) {
	if now-pauseThreshold > t.firesAt {
		t.runningSince = now
	}
	t.nextDueAt = never
}

// dueAt requests a step at the given time, or earlier.
func (t *wakeTimer) dueAt(at Time) { t.nextDueAt = min(t.nextDueAt, at) }

// set returns the delay of a new timer; ok is false if none is needed. The delay is at least minDelay. There is no
// periodic tick, since with hundreds of instances it would cost more than the requests. A timer that is due within a
// tick counts as fired, since timers may fire up to a tick early.
func (t *wakeTimer) set(now Time, minDelay time.Duration) (delay time.Duration, ok bool) {
	if t.firesAt <= now+tickInterval {
		t.firesAt = never
	}
	at := max(t.nextDueAt, now+minDelay)
	if t.nextDueAt == never || at >= t.firesAt {
		return 0, false
	}
	t.firesAt = at
	return at - now, true
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
