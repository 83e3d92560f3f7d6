package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// never is later than any instant.
const never = Time(math.MaxInt64)

const (
	// tickInterval is how often pending requests and silent endpoints are looked at: below any latency objective.
	tickInterval = 10 * time.Millisecond
	// pauseThreshold tells a pause, of this instance or of an endpoint, from silence: the scheduler alone may take a
	// few ticks.
	pauseThreshold = 5 * tickInterval
	// activeWindow is how long a request, a reported lag or a lost health check says something of the present.
	activeWindow = 2 * time.Second
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	config  Config
	rng     *rand.Rand
	now     Time
	actions []Action // of the present step
	wake    wakeTimer

	endpoints     map[string]*endpoint
	groups        map[int64]*replicaGroup
	sortedGroups  []*replicaGroup   // by id
	busyEndpoints []*endpoint       // those with attempts in flight
	liveScratch   []*attempt        // reused by liveAttempts
	candidates    replicaCandidates // reused by collectCandidates

	classes        map[string]*classState
	quotas         map[string]*tokenBucket // by tenant
	requests       map[string]*request
	sessionCommits map[int64]sessionCommit // by session

	throughput     throughput
	retries        retryBudget
	healthChecks   healthCheckBudget
	tightestBound  time.Duration // of the bounded classes; 0 = none
	poll           discoveryPoll
	best           bestRank
	suspended      map[string]bool    // endpoints that operators have taken out of service, listed or not
	zoneCapacities map[string]float64 // the part of their capacity for which a zone's endpoints may be used, if limited
}

// New returns a balancer that has yet to see its first endpoint list. Its random draws follow from the seed.
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
		sessionCommits: map[int64]sessionCommit{},
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

// Step takes what happened at now and returns what to do, in order. All events count before anything is sent.
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

// handle takes in one event; what follows from it is sent at the end of the step.
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
	case ClientDisconnected:
		b.handleDisconnect(event)
	case FirstByte:
		b.handleFirstByte(event)
	}
}

// emit adds an action to those that the step returns.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// log emits a line for the engineers on call.
func (b *Balancer) log(format string, args ...any) {
	b.emit(LogMessage{Text: fmt.Sprintf(format, args...)})
}

// wakeTimer keeps the timer that is set, and collects during a step when something is due next.
type wakeTimer struct {
	firesAt      Time // of the timer that is set; never = none is
	nextDueAt    Time
	runningSince Time // the instance was paused before this
}

// begin starts a step. Time in which this instance did not run is neither silence nor slowness of an endpoint, so the
// end of a pause is kept.
func (t *wakeTimer) begin(now Time) {
	if now-pauseThreshold > t.firesAt {
		t.runningSince = now
	}
	t.nextDueAt = never
}

// dueAt asks for a step at the given time, or earlier.
func (t *wakeTimer) dueAt(at Time) { t.nextDueAt = min(t.nextDueAt, at) }

// set says after which delay the instance wants to be woken, if a new timer is needed for that. There is no steady
// tick: at hundreds of instances it would cost more than the requests. A timer may fire early, by up to a tick, and
// counts as fired then.
func (t *wakeTimer) set(now Time, least time.Duration) (delay time.Duration, ok bool) {
	if t.firesAt <= now+tickInterval {
		t.firesAt = never
	}
	at := max(t.nextDueAt, now+least)
	if t.nextDueAt == never || at >= t.firesAt {
		return 0, false
	}
	t.firesAt = at
	return at - now, true
}

// secondsToDuration converts a number of seconds.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
