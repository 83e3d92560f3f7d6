package balance

// What a Router remembers, and how one among many takes turns, asks round and waits. balance.go decides with it.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type primaryState int

const (
	primaryUnknown primaryState = iota
	primaryCached
	primarySuspect
)

type replicaGroup struct {
	id                                  int64
	endpoints                           []*endpoint // sorted by id
	pending                             []*request
	primaryState                        primaryState
	primary                             *endpoint
	primaryObservedAt, primarySuspectAt Time     // newest evidence for the primary, and since when it is in doubt
	trialWrite                          *attempt // the write that is out in the dirty round
	hasSuspects                         bool     // a member may be suspect
	firstChecksSent                     bool     // the probes of the first use are out
	nextSearchAt                        Time     // the next round of probes for a missing primary
	searchInterval                      time.Duration
	lastRequestAt, unavailableAt        Time    // the last request; the last weak read that found no available replica
	shortageWeight                      float64 // worth of bounded reads that found no room,
	shortageAt                          Time    // when it was counted
	nextLongReadAt                      Time    // the next long read may go then, while shortBy is much
}

type endpoint struct {
	id, zone                              string
	group                                 *replicaGroup
	state                                 State
	wasDraining, listedPrimary            bool // it was listed as draining; the list calls it primary
	suspended, resumed                    bool // operators have taken it out; they have let it back in and it was not used since
	startedAt, recoveredAt                Time // when it started, or answered again after it could not be reached
	position                              Time // it has applied all commits up to here
	lag                                   time.Duration
	lagObservedAt                         Time // when the lag was told
	replicaAt, primaryAt                  Time // newest evidence that it is no primary, and that it is
	inFlight                              []*attempt
	attemptLimit                          float64 // attempts that may be out
	latencyRatio, leastLatencyRatio       float64 // moving mean of time taken / aim, and the least of it, forgotten slowly
	failureRate                           float64 // moving share of failures
	brokenConnections, refusedConnections int     // connections broken, and not come up, since it last served
	unreachableAgain                      bool    // it could not be reached again after it had become suspect
	lastAnswerAt                          Time    // the last answer
	suspect, unreachable                  bool    // it is silent or cannot be reached; the latter
	suspectSince, trialAt                 Time
	removedAt                             Time // when it left
	trialBackoff                          time.Duration
	reportedSinceTrial, checkInFlight     bool // a probe answered since the last trial; one is out
	rejectingUntil, checkedAt             Time // it was full: nothing new before this; the last probe
	weakReadsFrom                         Time // no weak reads here as primary before this,
	weakReadBackoff                       time.Duration
	positionNeededAt                      Time    // a read could have gone there, had its data been known to be recent enough
	creditTokens                          float64 // work that may be sent at once, where the share of this instance is under one attempt
	creditBurst                           float64 // what can be saved up of it
	creditRefilledAt                      Time    // when it was counted, 0 = not yet
	dither                                float64 // of a cold one for which less than one request can be saved up: the part of a request that credit must reach
	ditherDrawnAt                         Time    // when it was drawn, 0 = it has been used
	workDone, workRate                    float64 // done since the last count, and in a second, moving mean
}

type classState struct {
	Class
	latency        float64       // moving mean of the time an attempt takes, seconds
	serviceTime    float64       // the least of it, forgotten slowly: what a request costs a member
	arrivals       float64       // requests, forgotten slowly
	longestTimeout time.Duration // the longest that a client has been ready to wait
}

type request struct {
	id                                 string
	class                              *classState
	group                              *replicaGroup
	sessionKey                         int64
	minPosition, objectiveAt, deadline Time
	arrivedAt                          Time // when it came
	weight, rank                       float64
	attempts                           []*attempt
	priorAttempts                      int // before it was handed in again
	missedBy                           []*endpoint
	inFlight                           int
	answered, abandoned                bool // answered; given up on
	reached                            bool // an attempt has reached a member
	mayHaveRun                         bool // an attempt may have run, or be running
	firstRunAt                         Time
	firstRunZone                       string
}

// lesser is how far a request ranks below half of the best: 0 = not at all, 1 = it is worth nothing.
func (r *Router) rankDeficit(q *request) float64 {
	return max(0, 1-2*q.rank/max(r.bestRank, math.SmallestNonzeroFloat64))
}

// spent is how many attempts a request has used.
func (q *request) attemptsUsed() int { return len(q.attempts) + q.priorAttempts }

type attempt struct {
	request          *request
	endpoint         *endpoint
	sentAt           Time
	number           int
	ended, cancelled bool
	connectionLost   bool // its connection is silent, the member is not
	streaming        bool // its answer is passed on as it comes
}

// fresh says whether n was recent enough for a bounded read when it last told.
func (r *Router) reportedWithinBound(n *endpoint) bool {
	return r.tightestBound == 0 || n.lag <= r.tightestBound
}

// aged says that the position of n is no longer of use for a bounded read, though n may be recent enough.
func (r *Router) positionExpired(n *endpoint) bool {
	return r.tightestBound > 0 && r.now-n.position > r.tightestBound
}

// needs is the position that a read has to see.
func (r *Router) requiredPosition(q *request) Time {
	switch q.class.Need {
	case NeedBounded:
		return r.now - q.class.Bound
	case NeedAny:
		return 0
	}
	return q.minPosition
}

// catchUp is how long a report of n says enough: one that was behind the bound needs about the time by which it was, and
// where nobody leads the group all stand still, so asking again gets rarer by itself.
func (r *Router) positionCheckInterval(n *endpoint) time.Duration {
	return max(healthCheckInterval, min(n.lag-r.tightestBound, 2*primarySearchInterval))
}

// dear says how little a report of n is likely to be of use to a bounded read: less if it was behind, then if it is far.
func (r *Router) positionCheckCost(n *endpoint) (d int) {
	if !r.reportedWithinBound(n) {
		d = 2
	}
	if n.zone != r.config.Zone {
		d++
	}
	return d
}

// dearer compares members by how dear a report is that is of use to a bounded read, then by whose turn it is.
func (r *Router) comparePositionChecks(a, b *endpoint) int {
	return cmp.Or(cmp.Compare(r.positionCheckCost(a), r.positionCheckCost(b)), cmp.Compare(a.checkedAt, b.checkedAt))
}

// turns is the time over which instances spread their calls for the list. Calls that wait too long fail, and cost its service
// all the same: many that start at once, or lose their watches at once, would keep each other out for good.
//
// Danger: one that waits for longer than the contract lets it go without asking counts as told of what it has not heard.
// However many there are, the first calls and one more each still fall within that time.
func (r *Router) pollSpread() time.Duration {
	spread := time.Duration(max(0, r.config.Instances-3)) * pollSpacing
	if r.config.AskWithin > 0 {
		spread = min(spread, r.config.AskWithin*2/5)
	}
	return spread
}

// unheard is how long to wait with the next call for the list after one that brought none.
//
// Danger: all instances ask again at once and sink the list's service, so one that was turned away doubles the wait, with jitter.
// Danger: what a silent service had to tell counts as told all the same, soon after, and the time in which sends must end
// runs. Who has heard nothing asks again within a part of that time that leaves the call its 2 s, each time: calls that are not
// heard cost nothing.
func (r *Router) pollRetryDelay(k ListKind) time.Duration {
	if gap := min(r.pollBackoff, r.config.DrainGrace/2); k == ListSilent && gap > 0 {
		return gap/8 + time.Duration(r.rng.Int64N(int64(gap)))*7/8
	}
	wait := r.pollBackoff/2 + time.Duration(r.rng.Int64N(int64(r.pollBackoff)))
	if wait > maxPollDelay {
		wait = maxPollDelay - time.Duration(r.rng.Int64N(int64(maxPollDelay)*3/7))
	}
	wait -= min(r.now-r.polledAt, wait*3/4) // it runs from the call: what that waited for its turn is part of it
	r.pollBackoff = min(2*r.pollBackoff, max(maxTrialBackoff, 2*r.pollSpread()))
	return wait
}

// unheardMost is the longest wait from a call that brought no list to the next one. Danger: what changed counts as told 6 s after discovery had it
// and could be reached, however the call ended; a call that waits for its turn takes 2 s of that, and its way the rest.
const maxPollDelay = 3500 * time.Millisecond

// begin notes that an answer is passed on as it comes. How long its peers take over the rest is no sign of the member's load
// or health, and what it still gives must not be taken back: it is not among those that are out any more.
// It says whether that is news.
func (a *attempt) startStreaming(now Time) bool {
	if a.streaming {
		return false
	}
	a.streaming, a.endpoint.lastAnswerAt = true, now
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(b *attempt) bool { return a == b })
	return true
}

// renew forgets what was held against a member that operators let back in. It was restarted: it is cold, and what it still
// had before will not be answered.
func (n *endpoint) resume(now Time, limit float64) {
	n.recoveredAt, n.creditRefilledAt, n.attemptLimit, n.rejectingUntil, n.trialAt = now, 0, limit, 0, 0
	n.suspect, n.unreachable, n.unreachableAgain, n.checkInFlight, n.resumed = false, false, false, false, true
	n.failureRate, n.brokenConnections, n.refusedConnections, n.latencyRatio, n.leastLatencyRatio = 0, 0, 0, crowdedRatio/2, crowdedRatio/2
	for _, a := range n.inFlight {
		a.connectionLost = true
	}
}

// in says whether it may get anything at all.
func (n *endpoint) inService() bool { return n.state == Ready && !n.suspended }

// tried says whether an attempt is out whose answer would say something of the member.
func (n *endpoint) trialInFlight() bool {
	return slices.ContainsFunc(n.inFlight, func(a *attempt) bool { return !a.connectionLost })
}

type sessionCommit struct {
	position Time
	group    *replicaGroup
}

type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          Time
}

// Router decides for one instance.
type Router struct {
	config            Config
	rng               *rand.Rand
	now               Time
	actions           []Action
	endpoints         map[string]*endpoint
	groups            map[int64]*replicaGroup
	sortedGroups      []*replicaGroup // sorted by id
	busyEndpoints     []*endpoint     // members with attempts out
	liveScratch       []*attempt
	classes           map[string]*classState
	quotas            map[string]*tokenBucket
	requests          map[string]*request
	sessionCommits    map[int64]sessionCommit
	measuredAt        Time
	measurements      float64
	peakRate          float64 // work a second that the busiest warm members do for this instance, forgotten slowly
	retryBudget       float64
	healthCheckBudget float64       // probes that requests have earned
	tightestBound     time.Duration // the tightest bound of a bounded class, 0 = none
	session           bool
	pollInFlight      bool
	pollAt            Time
	polledAt          Time // when the call that is out was made
	pollBackoff       time.Duration
	timerAt           Time               // the next timer
	nextDueAt         Time               // when something is due next
	bestRank          float64            // the highest rank seen, forgotten slowly,
	bestRankLatency   float64            // and what such a request took in the mean
	runningSince      Time               // it did not run for a while before this
	suspended         map[string]bool    // the members that operators have taken out, listed or not
	zoneCapacities    map[string]float64 // the part of their power for which a zone's members may be used, where it is not all
}

// How long a member that is gone is remembered, and where removal is soft. One that has died is listed as gone until it is
// back, and what was known of it still holds then.
const (
	expiryDelay            = time.Minute
	softRemovalExpiryDelay = 10 * time.Minute
)

// never is later than any instant.
const never = Time(math.MaxInt64)

func (r *Router) instances() float64 { return float64(r.config.Instances) }

// startLimit shares out the first limit. A share under one attempt must fit uneven arrivals: it starts wider.
func (r *Router) initialLimit() float64 {
	return max(initialLimit/r.instances(), min(1, initialFractionalLimit/r.instances()))
}

func (r *Router) minLimit() float64 { return min(1, minFleetLimit/r.instances()) }

// pace is the part of its power that a member may be used for: less than 1 while its zone's return is paced.
func (r *Router) zoneCapacity(n *endpoint) float64 {
	if part, ok := r.zoneCapacities[n.zone]; ok {
		return part
	}
	return 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// MostTries is how many attempts a request may have, 0 = any number.
func (r *Router) MostTries() int { return r.config.MostTries }

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) log(format string, args ...any) { r.emit(Log{Text: fmt.Sprintf(format, args...)}) }

// lead takes n for its group's primary, and says whether that is news.
func (r *Router) promote(n *endpoint) bool {
	g := n.group
	if g.primary == n && g.primaryState == primaryCached {
		return false
	}
	// One that was lost and says again that it leads is tried at once: its group takes no writes elsewhere.
	g.primary, g.primaryState, n.trialAt = n, primaryCached, min(n.trialAt, r.now)
	r.log("group %d: primary is %s", g.id, n.id)
	r.emit(Lead{Group: g.id, Node: n.id, Believed: true})
	return true
}

func compareIDs(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }

// longest is the mean time of an attempt of the slowest class.
func (r *Router) slowestLatency() float64 {
	most := 0.0
	for _, c := range r.classes {
		most = max(most, c.latency)
	}
	return most
}

// long says that reads of a class hold up the log for longer than other reads can bear.
//
// Danger: where no class is bounded no read is hurt by a log that is held up. Taken for a bound of 0, all reads went to the last
// replica of each group. Those that take about as long as bounded reads hold up the log no longer than these do anywhere. Kept apart
// all the same, they and the bounded reads there crowded some replicas while others idled.
func (r *Router) isLongRead(c *classState) bool {
	if c.Need != NeedAny || r.tightestBound == 0 || c.latency <= longReadBoundShare*r.tightestBound.Seconds() {
		return false
	}
	for _, k := range r.config.Classes {
		if k.Need == NeedBounded && c.serviceTime < longReadFactor*r.classes[k.Name].serviceTime {
			return false
		}
	}
	return true
}

// last picks the replicas for a long read, of those that can take it: the last by id, all instances the same.
//
// Danger: where the share of an instance is under one attempt no limit makes long reads spill over. They wait in one replica's
// queue, of all instances together, until they time out, while others idle. There they get as large a part of the group as
// long reads are of the work: that is the same at each instance, whatever traffic it has.
func (r *Router) longReadCandidates(g *replicaGroup, among []*endpoint) []*endpoint {
	takers := r.longReadReplicas(g)
	own := slices.DeleteFunc(slices.Clone(among), func(n *endpoint) bool { return !slices.Contains(takers, n) })
	if len(own) == 0 {
		own = append(own, slices.MaxFunc(among, compareIDs))
	}
	return own
}

// takers are the replicas of a group that take its long reads.
func (r *Router) longReadReplicas(g *replicaGroup) (all []*endpoint) {
	for _, n := range g.endpoints {
		if n.inService() && n != g.primary {
			all = append(all, n)
		}
	}
	most := 1
	if r.initialLimit() < 1 {
		most = max(1, int(math.Round(r.longReadShare()*float64(len(all)))))
	}
	return all[max(0, len(all)-most):]
}

// longTimes is what a read costs beside a bounded one, at least, to be long; of so many of its times a replica is
// left to them for all but one; and one that is behind by more than so many such reads would not be of use to them soon.
const longReadFactor = 4

// yields says that a long read leaves n to bounded reads of the group that were refused lately.
//
// Danger: while a replica holds a long read it applies nothing, so it is lost to all bounded reads of its group. They are worth
// many times as much for their work, and where other members are lost, crowded or cold they are refused for want of it. What
// all instances have refused is about what this one has, times their number; a long read goes where that is worth less than
// it in the time it takes, and of all instances one goes in longTimes of it, since nothing else shows that there is room again.
// Danger: an instance whose share is under one attempt sees a refusal of a group now and then, and holds back a few of very many: that
// frees no replica. There long reads have a part of the group of their own (takers).
// Danger: where the log is applied too slowly whoever reads, as on a slow machine, holding long reads back gains nothing.
func (r *Router) defersToBoundedReads(q *request, n *endpoint) bool {
	g, c := q.group, q.class
	if n == g.primary || !r.isLongRead(c) || r.initialLimit() < 1 {
		return false
	}
	pace := r.instances() * longReadFactor * c.serviceTime
	if g.nextLongReadAt == 0 { // drawn, so that instances do not all send their first
		g.nextLongReadAt = r.now + seconds(pace*r.rng.Float64())
	}
	lost := g.shortage(r.now) / activeWindow.Seconds() * r.instances() * c.serviceTime
	if lost > q.weight && r.now < g.nextLongReadAt && n.lag <= r.tightestBound+seconds(longReadFactor*c.serviceTime) {
		return true
	}
	g.nextLongReadAt = r.now + seconds(pace*(0.5+r.rng.Float64()))
	return false
}

// short is the worth of bounded reads that found no room beside a primary, forgotten over inUse.
func (g *replicaGroup) shortage(now Time) float64 {
	return g.shortageWeight * math.Exp(-(now-g.shortageAt).Seconds()/activeWindow.Seconds())
}

// turned notes a request that is given up.
func (r *Router) recordGivenUp(q *request) {
	if g := q.group; !q.reached && q.class.Need == NeedBounded && !g.primaryLost() {
		g.shortageWeight, g.shortageAt = g.shortage(r.now)+q.weight, r.now
	}
}

// What all instances together may send a cold member in the contract's time is a budget of N requests, and beyond it twice the root
// of N and two more are chance. least is what each may send a second, of the part of the budget that is used (coldShare).

// savedShare is the part of what the budget leaves that may be saved up: the rest is room for unequal shares.
const savedCreditShare = 0.75

// savings is how much work an instance may have saved up for a cold member, of requests of the given cost.
//
// Danger: what each of many saves up while little is asked for adds up, and all of it comes at once when reads move there. Where
// the share of one instance is a few requests half of what it gets in the contract's time is little enough. Where it is less, all may
// have saved no more than the budget leaves beside what they get meanwhile. That can be less than one request for each: then
// luck says who may send one (coldCredit).
func (r *Router) slowStartBurst(rate, least, cost float64) float64 {
	window := r.config.FallFor.Seconds()
	if half := rate * window / 2; half >= cost {
		return half
	}
	n := least / slowStartBudgetShare * r.instances() * window / cost
	left := n - rate*r.instances()*window/cost
	return cost * min(2, savedCreditShare*left/r.instances())
}

// coldCredit counts the credit of a cold member and says whether it covers a request. Of one that costs more than can be saved up so
// large a part is sent as the credit is of the cost: who sends is drawn anew in the time that the savings take to come.
func (r *Router) slowStartCredit(n *endpoint, rate, most, cost float64) bool {
	if n.creditRefilledAt == 0 { // drawn, so that instances do not all send at once
		n.creditTokens, n.creditRefilledAt, n.ditherDrawnAt = most*r.rng.Float64(), r.now, 0
	}
	n.creditTokens = min(most, n.creditTokens+rate*(r.now-n.creditRefilledAt).Seconds())
	n.creditRefilledAt, n.creditBurst = r.now, most
	if most >= cost {
		return n.creditTokens >= cost
	}
	if n.ditherDrawnAt == 0 || r.now-n.ditherDrawnAt >= seconds(most/rate) {
		n.dither, n.ditherDrawnAt = r.rng.Float64(), r.now
	}
	return n.creditTokens > n.dither*cost
}

// heavy says that a request alone would take more than half of the budget, and is more than the usual work. Danger: no share of a
// budget that is smaller than one such request keeps within it.
func (r *Router) exceedsSlowStartBudget(q *request, least float64) bool {
	work, seen := 0.0, 0.0
	for _, c := range r.config.Classes { // in their order: sums in another differ
		k := r.classes[c.Name]
		work, seen = work+k.arrivals*k.serviceTime, seen+k.arrivals
	}
	return q.class.serviceTime > max(least*r.instances()*r.config.FallFor.Seconds()/2, work/max(1, seen))
}

// longPart is the part of the work asked of this instance that long reads are.
func (r *Router) longReadShare() float64 {
	long, all := 0.0, 0.0
	for _, c := range r.config.Classes { // in their order: sums in another differ
		k := r.classes[c.Name]
		if all += k.arrivals * k.serviceTime; r.isLongRead(k) {
			long += k.arrivals * k.serviceTime
		}
	}
	return long / max(all, math.SmallestNonzeroFloat64)
}

// ease keeps weak reads off a member, as primary, for a while after an answer that took as long as its aim or longer: twice
// as long each time, half as long after each quick one.
//
// Danger: where no replica of a group is recent enough, the reads of hundreds of instances meet at its primary, one of each
// at a time. That is more than it can do, all of them are late, and its writes with them. No limit tells an instance whose
// share is under one attempt; each learns it from its own few answers, and those that it hits make room for the others.
func (r *Router) adaptWeakReadBackoff(n *endpoint, part float64) {
	if part < 1 {
		n.weakReadBackoff /= 2
		return
	}
	n.weakReadBackoff = min(max(minTrialBackoff, 2*n.weakReadBackoff), maxTrialBackoff)
	n.weakReadsFrom = r.now + n.weakReadBackoff/2 + time.Duration(r.rng.Int64N(int64(n.weakReadBackoff)))
}

// lost says that a group's primary is not known, or not to be reached.
func (g *replicaGroup) primaryLost() bool {
	return g.primaryState != primaryCached || g.primary.suspect
}

// look asks round for the primary of g, each member once a round and the one not asked for longest first. Danger: in a fixed
// order, out of what a small instance earns, only the first is ever asked. A round goes on as probes are earned; the next
// one waits, longer each time.
func (r *Router) searchPrimary(g *replicaGroup) {
	turn := slices.Clone(g.endpoints)
	slices.SortStableFunc(turn, func(a, b *endpoint) int { return cmp.Compare(a.checkedAt, b.checkedAt) })
	for _, n := range turn {
		if !n.inService() || n.suspect || n.checkedAt >= g.nextSearchAt {
			continue
		}
		if r.healthCheckBudget < 1 {
			return
		}
		r.sendHealthCheck(n, healthCheckInterval)
	}
	g.searchInterval = min(primarySearchInterval, max(healthCheckInterval, 2*g.searchInterval))
	g.nextSearchAt = r.now + g.searchInterval/2 + time.Duration(r.rng.Int64N(int64(g.searchInterval)))
}

// waver tells that a group's primary is in doubt.
func (r *Router) announceSuspectPrimary(g *replicaGroup, why string) {
	r.log("group %d: primary %s in doubt: %s", g.id, g.primary.id, why)
	r.emit(Lead{Group: g.id, Node: g.primary.id, Why: why})
}

func (r *Router) groupFor(id int64) *replicaGroup {
	g := r.groups[id]
	if g == nil {
		g = &replicaGroup{id: id}
		r.groups[id] = g
		r.sortedGroups = append(r.sortedGroups, g)
		slices.SortFunc(r.sortedGroups, func(a, b *replicaGroup) int { return cmp.Compare(a.id, b.id) })
	}
	return g
}

// forget drops what would add up for ever: members that are gone, groups without members, and commits that all members
// of their group are known to have. One that has only left the list may come back where removal is soft.
func (r *Router) expire() {
	for _, c := range r.classes {
		c.arrivals *= 1 - decay
		// Danger: after a flood little of a class is sent, since it takes so long, and nothing shows that it no longer does.
		if r.initialLimit() < 1 {
			c.latency -= smoothing * (c.latency - c.serviceTime)
		}
	}
	keep := expiryDelay
	if r.config.SoftRemoval {
		keep = softRemovalExpiryDelay
	}
	for _, g := range r.sortedGroups {
		g.endpoints = slices.DeleteFunc(g.endpoints, func(n *endpoint) bool {
			old := n.state == Gone && len(n.inFlight) == 0 && r.now-n.removedAt >= keep
			if old {
				delete(r.endpoints, n.id)
			}
			return old
		})
	}
	r.sortedGroups = slices.DeleteFunc(r.sortedGroups, func(g *replicaGroup) bool {
		empty := len(g.endpoints) == 0 && len(g.pending) == 0
		if empty {
			delete(r.groups, g.id)
		}
		return empty
	})
	for key, c := range r.sessionCommits {
		behind := func(n *endpoint) bool { return n.state == Ready && n.position < c.position }
		if !slices.ContainsFunc(c.group.endpoints, behind) {
			delete(r.sessionCommits, key)
		}
	}
}

// Sight is what an instance makes of a member, for those who look on.
type Sight struct {
	Node, Zone string
	Group      int64
	Primary    bool    // it is believed to be its group's
	Up         bool    // it can be sent something now
	In         bool    // it is ready and not taken out, whatever is thought of it at this moment
	Limit      float64 // attempts that may be out, for this instance
	Rate       float64 // work done for this instance, seconds a second, moving mean
	Warmth     float64 // the part of its power that it may be used for now
}

// Sights calls f with each member that is listed, in the order of groups and ids.
func (r *Router) Sights(f func(Sight)) {
	for _, g := range r.sortedGroups {
		for _, n := range g.endpoints {
			if n.state != Gone {
				f(Sight{n.id, n.zone, g.id, g.primary == n && g.primaryState == primaryCached, n.inService() && !n.suspect, n.inService(), n.attemptLimit, n.workRate, r.warmupFactor(n)})
			}
		}
	}
}

// Does is the work that a member does for this instance, seconds a second, moving mean, and whether it is warm.
func (r *Router) Does(name string) (rate float64, warm bool) {
	if n := r.endpoints[name]; n != nil {
		return n.workRate, r.warmupFactor(n) == 1
	}
	return 0, false
}

// Cost is what requests of a class cost a member, seconds: the least seen, forgotten slowly, and the moving mean with waiting.
func (r *Router) Cost(name string) (work, mean float64) {
	if c := r.classes[name]; c != nil {
		return c.serviceTime, c.latency
	}
	return 0, 0
}
