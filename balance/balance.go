package balance

// The decisions of the library stand in this file, its interface is api.go; turns and rounds are in state.go.
// Writes and fresh reads go to the believed primary of their group; bounded and other weak reads go to an
// available replica, own zone first, then by a random draw, and to the primary only when none is available.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The tuned constants.
const (
	tickInterval             = 10 * time.Millisecond  // how often held work and silent members are looked at: below any aim
	healthCheckInterval      = 100 * time.Millisecond // reports are rarely refreshed faster
	activeWindow             = 2 * time.Second        // a group without requests for this long is not probed
	primarySearchInterval    = 500 * time.Millisecond // members that have denied are asked again: a successor takes a while
	pauseThreshold           = 5 * tickInterval       // a pause of this instance or of a member that is told from silence
	minTrialBackoff          = 250 * time.Millisecond // first wait before a suspect's trial; doubles up to trialLast
	pollSpacing              = 150 * time.Millisecond // of the list's service, for each instance beyond a few
	maxTrialBackoff          = 2 * time.Second
	lostConnectionFactor     = 2     // times its patience: an attempt is lost if the member has answered later ones
	pendingRecheckDivisor    = 20    // held work is looked at again after this part of the time it has waited
	relapseFactor            = 10    // a doubt within this many of trialLast after the one before waits twice as long
	smoothing                = 0.1   // weight of a new sample in moving averages: about the last ten count
	rejectionCut             = 0.25  // part of its limit that a full member loses, or one that has little of it
	crowdedRatio             = 0.35  // part of the aim that attempts may take in the mean before a member is crowded,
	crowdedFactor            = 1.5   // or this multiple of the member's least, since a slow one is not crowded,
	maxCrowdedRatio          = 0.5   // but never more than this
	longReadBoundShare       = 0.33  // part of the bound beyond which a read is long: it holds up the log where it runs
	decay                    = 0.002 // the least seen is forgotten at this rate: work and members change
	initialLimit             = 16.0  // attempts out per member, over all instances, before anything is learned
	outlierFailureMargin     = 0.25  // share of failures beyond the peers' that makes a member sick
	refusalsForOutage        = 3     // connections refused in a row that mean an outage without asking
	minFleetLimit            = 4.0   // what crowding leaves of it at least
	initialFractionalLimit   = 24.0  // the same where the share of one instance is under one
	creditBurst              = 4.0   // requests in a row where the share is under one: arrivals are uneven
	reservedCreditShare      = 0.5   // part of the credit that work of little worth leaves to better work
	slowStartBudgetShare     = 0.6   // part of the cold budget that is used: costs are estimates
	healthCheckSpend         = 0.06  // part of a request's worth that may go into probes: half is too few, twice is dear
	initialHealthCheckBudget = 8.0   // probes before anything is earned: about two groups
	maxHealthCheckBudget     = 32.0  // probes that may be saved up for a failure
	weakReadPrimaryShare     = 0.75  // part of the primary's limit for weak reads: strong work needs some at once
	retryBudgetPerRequest    = 0.1   // repeats earned by each request: they cannot add more to an overload
	maxRetryBudget           = 20.0  // repeats that may be saved up for a sudden failure
)

// New returns a Router that has yet to see its first list.
func New(cfg Config, seed uint64) (*Router, error) {
	r := &Router{config: cfg, rng: rand.New(rand.NewPCG(seed, 0)), endpoints: map[string]*endpoint{},
		groups: map[int64]*replicaGroup{}, classes: map[string]*classState{}, quotas: map[string]*tokenBucket{},
		requests: map[string]*request{}, sessionCommits: map[int64]sessionCommit{}, retryBudget: maxRetryBudget, healthCheckBudget: initialHealthCheckBudget,
		suspended: map[string]bool{}, zoneCapacities: map[string]float64{}, pollBackoff: minTrialBackoff}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	for _, c := range cfg.Classes {
		if c.Aim <= 0 {
			c.Aim = c.GiveUp
		}
		r.classes[c.Name] = &classState{Class: c, latency: c.Aim.Seconds() / 5, serviceTime: c.Aim.Seconds() / 5}
		if c.Need == NeedBounded && (r.tightestBound == 0 || c.Bound < r.tightestBound) {
			r.tightestBound = c.Bound
		}
		r.session = r.session || c.Need == NeedSession
	}
	for _, t := range cfg.Tenants {
		rate := t.Rate / r.instances()
		// Danger: where the rate is under one a second a second's worth never makes one request.
		r.quotas[t.Name] = &tokenBucket{rate: rate, burst: max(rate, creditBurst), tokens: max(rate, creditBurst)}
	}
	return r, nil
}

// ---- Step

// Step takes what happened at now and returns what to do, in order. All events count before anything is
// sent.
func (r *Router) Step(now Time, events []Event) []Action {
	// Danger: time in which this instance did not run is no member's silence nor slowness.
	if now-pauseThreshold > r.timerAt {
		r.runningSince = now
	}
	r.now, r.actions, r.nextDueAt = now, nil, never
	for _, e := range events {
		switch e := e.(type) {
		case List:
			r.handleDiscovery(e)
		case Request:
			r.handleRequest(e)
		case Outcome:
			r.handleOutcome(e)
		case ProbeResult:
			r.handleHealthCheck(e)
		case Suspend:
			r.handleSuspend(e)
		case Pace:
			r.zoneCapacities[e.Zone] = e.Part
		case ClientGone:
			if q := r.requests[e.ID]; q != nil {
				r.closeRequest(q)
			}
		case FirstByte:
			// Danger: one that names no attempt, or one that has ended, says nothing of this answer.
			if q := r.requests[e.ID]; q != nil && q.inFlight > 0 && e.Attempt == len(q.attempts)-1 {
				q.deadline = never
				if a := q.attempts[e.Attempt]; a.startStreaming(now) {
					r.recordSuccess(q, a.endpoint, now-a.sentAt)
				}
			}
		}
	}
	r.checkProgress()
	for _, g := range r.sortedGroups {
		r.dispatchPending(g)
		r.scheduleHealthChecks(g)
	}
	r.pollDiscovery()
	// Danger: a steady beat of hundreds of instances is dear: wake for what is due. A timer may fire early.
	if r.timerAt <= now+tickInterval {
		r.timerAt = never
	}
	if at := max(r.nextDueAt, now+max(tickInterval, r.config.Resolution)); at < r.timerAt && r.nextDueAt < never {
		r.timerAt = at
		r.emit(Timer{In: at - now})
	}
	return r.actions
}

// ---- List

func (r *Router) handleDiscovery(l List) {
	if l.Kind == ListFailed || l.Kind == ListSilent {
		r.pollInFlight, r.pollAt = false, r.now+r.pollRetryDelay(l.Kind)
		return
	}
	if r.pollBackoff, r.polledAt = max(minTrialBackoff, r.pollSpread()), r.now; l.Kind == ListCached {
		r.pollAt = r.now + time.Duration(r.rng.Int64N(int64(r.pollSpread())+1))
	}
	seen := map[string]bool{}
	for _, e := range l.Entries {
		seen[e.Node] = true
		r.applyEntry(e)
	}
	if l.Kind != ListDelta {
		for _, g := range r.sortedGroups {
			for _, n := range g.endpoints {
				if !seen[n.id] && n.state != Gone {
					r.withdraw(n, Gone)
				}
			}
		}
	}
}

func (r *Router) applyEntry(e Entry) {
	n := r.endpoints[e.Node]
	if n == nil {
		if e.State == Gone {
			return
		}
		g := r.groupFor(e.Group)
		n = &endpoint{id: e.Node, group: g, state: Ready, startedAt: e.ReadyAt, attemptLimit: r.initialLimit(),
			latencyRatio: crowdedRatio / 2, leastLatencyRatio: crowdedRatio / 2, suspended: r.suspended[e.Node]}
		r.endpoints[e.Node] = n
		g.endpoints = append(g.endpoints, n)
		slices.SortFunc(g.endpoints, compareIDs)
	}
	if n.zone = e.Zone; e.State != Ready {
		r.withdraw(n, e.State)
		return
	}
	if e.ReadyAt > n.startedAt {
		n.startedAt, n.attemptLimit, n.creditRefilledAt = e.ReadyAt, r.initialLimit(), 0
		if n.group.primary == n && e.ReadyAt > n.group.primaryObservedAt {
			r.markPrimarySuspect(n.group, "it restarted")
		}
	}
	n.state = Ready
	// The list may lag by seconds: it counts only where no answer or probe has said anything newer.
	if e.Primary && !n.listedPrimary && n.group.primaryState != primaryCached && n.replicaAt == 0 {
		r.promote(n)
	}
	n.listedPrimary = e.Primary
}

func (r *Router) withdraw(n *endpoint, s State) {
	if n.state != Gone {
		n.removedAt = r.now
	}
	n.state, n.wasDraining = s, n.wasDraining || s == Draining
	if n.group.primary == n {
		r.markPrimarySuspect(n.group, "it leaves")
	}
}

// onSuspend bars a member until operators let it back in. Danger: the list goes on calling it ready, or does
// again once it is back; so the bar stands beside the list's state.
func (r *Router) handleSuspend(e Suspend) {
	r.suspended[e.Node] = e.Out
	n := r.endpoints[e.Node]
	if n == nil || n.suspended == e.Out {
		return
	}
	if n.suspended = e.Out; n.suspended {
		r.withdraw(n, n.state)
		return
	}
	n.resume(r.now, r.initialLimit())
	r.healthCheckBudget, n.group.hasSuspects = max(r.healthCheckBudget, initialHealthCheckBudget), true
}

func (r *Router) pollDiscovery() {
	if r.config.Ask && !r.pollInFlight && r.now >= r.pollAt {
		r.pollInFlight, r.polledAt = true, r.now
		r.emit(Track{})
	} else if r.config.Ask && !r.pollInFlight {
		r.nextDueAt = min(r.nextDueAt, r.pollAt)
	}
}

// ---- Role map

// claim notes that n was primary at the given time. Newer evidence wins; older evidence is dropped.
func (r *Router) observePrimary(n *endpoint, at Time) {
	g := n.group
	if at <= n.replicaAt || n.suspended {
		return
	}
	// Danger: one that came back and does not know that it was replaced still calls itself primary, from data
	// that stands still. A claim is no position: once it is a replica, only what was told counts.
	n.primaryAt = max(n.primaryAt, at)
	if g.primaryState == primaryUnknown || g.primary != n && at > g.primaryObservedAt ||
		g.primary == n && (g.primaryState == primaryCached || at > g.primarySuspectAt) {
		if r.promote(n) {
			g.trialWrite = nil
		}
		g.primaryObservedAt = max(at, g.primaryObservedAt)
	}
}

// deny notes that n was no primary at the given time.
func (r *Router) observeReplica(n *endpoint, at Time) {
	n.replicaAt = max(n.replicaAt, at)
	if n.group.primary == n && at >= n.group.primaryObservedAt {
		r.markPrimarySuspect(n.group, "it says replica")
	}
}

// leads says that a primary in doubt still leads: its group goes on committing and no other has claimed it.
// Danger: a primary that this instance alone cannot reach still is the only one to take writes: go on trying.
func (r *Router) stillServesGroup(n *endpoint) bool {
	return n.unreachable && n.group.primary == n && n.replicaAt <= n.suspectSince &&
		slices.ContainsFunc(n.group.endpoints, func(m *endpoint) bool { return m != n && m.position > n.suspectSince+healthCheckInterval })
}

func (r *Router) markPrimarySuspect(g *replicaGroup, why string) {
	if g.primaryState == primaryCached {
		g.primaryState, g.primarySuspectAt, g.trialWrite, g.nextSearchAt, g.searchInterval = primarySuspect, r.now, nil, r.now, healthCheckInterval
		r.announceSuspectPrimary(g, why)
	}
}

// strong picks the member for a write or a fresh read, or nil to hold it.
func (r *Router) selectPrimary(q *request) *endpoint {
	g := q.group
	if g.primaryState == primaryCached {
		if r.eligible(q, g.primary) {
			return g.primary
		}
		return nil
	}
	if t := g.trialWrite; q.class.Need != NeedUpdate || t != nil && !t.ended && r.now-t.sentAt < stallTimeout(t) {
		return nil
	}
	// Rounds in sorted order over those that have not denied since the doubt arose, one write at a time: a
	// silent member may take it. Danger: the successor denies, too, before it takes over. It is asked again.
	for _, n := range g.endpoints {
		if max(n.replicaAt, n.primaryAt) <= max(g.primarySuspectAt, r.now-primarySearchInterval) && r.eligible(q, n) &&
			(g.trialWrite == nil || g.trialWrite.ended || g.trialWrite.endpoint != n) && !slices.Contains(q.missedBy, n) {
			return n
		}
	}
	return nil
}

// ---- Positions

func (r *Router) observeRole(n *endpoint, role Role, pos, at Time) {
	if role == RolePrimary {
		r.observePrimary(n, at)
	} else if role == RoleReplica {
		r.observeReplica(n, at)
	}
	if pos > n.position && pos <= r.now {
		n.position = pos
	}
}

// available says whether the data of n is recent enough for a weak read that is sent now.
func (r *Router) isAvailable(q *request, n *endpoint) bool {
	need := r.requiredPosition(q)
	if n.position >= need {
		return true
	}
	// Where members check for themselves any replica may be tried, but one that said it is further behind.
	// Danger: one that was behind when last asked, seconds ago, would stay out for good, its primary loaded.
	behind := r.now-n.lag < need && r.now-n.lagObservedAt < activeWindow
	return r.config.Checks != ChecksNone && !behind && !slices.Contains(q.missedBy, n)
}

func (r *Router) handleHealthCheck(e ProbeResult) {
	n := r.endpoints[e.Node]
	if n == nil {
		return
	}
	n.checkInFlight = false
	if e.Status != Done {
		if r.config.Checks == ChecksNone {
			n.lag = max(n.lag, activeWindow)
		}
		n.unreachableAgain = n.unreachableAgain || n.suspect && e.Status != Busy
		if n.brokenConnections > 0 && e.Status != Reset {
			r.markUnreachable(n)
		}
		if n.suspect {
			n.trialBackoff = min(2*n.trialBackoff, maxTrialBackoff)
			n.trialAt = r.now + n.trialBackoff
		}
		return
	}
	n.reportedSinceTrial = true
	if e.Position > 0 && e.Position <= r.now {
		if lag := r.now - e.Position; lag < n.lag || r.config.Checks == ChecksNone {
			n.lag, n.lagObservedAt = lag, r.now
		}
		r.observeRole(n, e.Role, e.Position, e.Position) // a report is as old as a primary's position in it
	}
}

// probe asks members of g for reports. Danger: hundreds of instances that ask at will are a storm. Probes are
// paid from what requests have earned, sent only where something waits, and further apart each time.
func (r *Router) scheduleHealthChecks(g *replicaGroup) {
	idle := g.firstChecksSent && len(g.pending) == 0 && g.unavailableAt != r.now && !g.hasSuspects
	if g.lastRequestAt == 0 || r.now-g.lastRequestAt > activeWindow || idle {
		return
	}
	g.hasSuspects = false
	if g.primaryLost() && g.firstChecksSent && len(g.pending) > 0 && r.now >= g.nextSearchAt {
		r.searchPrimary(g)
	}
	var stale []*endpoint
	for _, n := range g.endpoints {
		// Danger: without a report no bounded read may try one that is back, nor would anything ask for it.
		n.resumed = n.resumed && (n.suspended || r.now-n.recoveredAt < 2*activeWindow)
		g.hasSuspects = g.hasSuspects || n.suspect || n.resumed && n.inService()
		switch {
		case !n.inService():
		case n.resumed:
			r.sendHealthCheck(n, healthCheckInterval)
		case !g.firstChecksSent && (g.primaryLost() || r.initialLimit() >= 1),
			n.suspect && r.now >= n.trialAt && !n.reportedSinceTrial && g.lastRequestAt > n.checkedAt,
			// Danger: a report is older than the doubt it should lift. A primary that said nothing newer
			// would be kept from its writes for ever.
			n.suspect && n.reportedSinceTrial && n == g.primary && n.primaryAt <= n.suspectSince && len(g.pending) > 0:
			r.sendHealthCheck(n, healthCheckInterval)
		case n.suspect && n.reportedSinceTrial && r.now >= n.trialAt && r.positionExpired(n) && g.lastRequestAt > n.checkedAt:
			// Danger: its position has aged while it waited for its trial, so no bounded read may try it.
			r.sendHealthCheck(n, max(healthCheckInterval, n.trialBackoff))
		case n.positionNeededAt == r.now && n != g.primary && !n.suspect && !n.checkInFlight && r.now-n.position >= healthCheckInterval:
			stale = append(stale, n)
		}
	}
	g.firstChecksSent = true
	// Danger: in a fixed order one that is far behind takes all that many instances can spend, in vain.
	slices.SortFunc(stale, r.comparePositionChecks)
	// One report is enough. Danger: each step looks at a read that waits; it would ask all while one is out.
	out := func(n *endpoint) bool { return n.checkInFlight && r.now-n.checkedAt < healthCheckInterval/2 }
	due := func(n *endpoint) bool {
		return r.reportedWithinBound(n) || r.healthCheckAllowed(n, r.positionCheckInterval(n))
	}
	if i := slices.IndexFunc(stale, due); i >= 0 && !slices.ContainsFunc(g.endpoints, out) {
		r.sendHealthCheck(stale[i], r.positionCheckInterval(stale[i]))
	}
}

func (r *Router) healthCheckAllowed(n *endpoint, gap time.Duration) bool {
	since := r.now - n.checkedAt
	return r.config.Probes && !n.suspended && r.healthCheckBudget >= 1 && since >= gap && (!n.checkInFlight || since > activeWindow)
}

func (r *Router) sendHealthCheck(n *endpoint, gap time.Duration) {
	if r.healthCheckAllowed(n, gap) {
		n.checkInFlight, n.checkedAt = true, r.now
		r.healthCheckBudget--
		r.emit(Probe{Node: n.id})
	}
}

// ---- Requests

func (r *Router) handleRequest(e Request) {
	c := r.classes[e.Class]
	if c == nil {
		r.emit(Fail{ID: e.ID})
		return
	} else if r.requests[e.ID] != nil {
		return
	}
	if r.groups[e.Group] == nil && len(r.endpoints) > 0 {
		// Danger: a client may make up any group; each would be kept and looked at for ever.
		r.emit(Refuse{ID: e.ID, RetryAfter: min(r.config.MaxRetryAfter, c.Aim)})
		return
	}
	g := r.groupFor(e.Group)
	q := &request{id: e.ID, class: c, group: g, sessionKey: e.Key, arrivedAt: r.now, weight: c.Worth, priorAttempts: e.Tried}
	q.deadline = r.now + e.Expires
	// Danger: work for a client that comes back is lost once its aim has passed. Where retries are marked, a
	// wait below the usual one was cut by the end of all its tries, so the rest of them has gone.
	c.longestTimeout = max(c.longestTimeout, e.Expires)
	gone := time.Duration(0)
	if e.Retry && e.Expires < c.longestTimeout-time.Millisecond {
		gone = max(0, c.GiveUp-e.Expires)
	}
	q.objectiveAt = min(q.deadline, r.now+c.Aim-gone+time.Duration(c.AimStretch*float64(e.Estimate)))
	switch c.Need {
	case NeedLatest:
		q.minPosition = r.now
	case NeedSession:
		if r.config.ClientTokens && e.SinceLast > 0 {
			q.minPosition = r.now - e.SinceLast + time.Millisecond // commits are rounded up by at most this
		} else if !r.config.ClientTokens {
			q.minPosition = r.sessionCommits[e.Key].position
		}
	}
	if t := r.quotas[e.Tenant]; t != nil {
		t.tokens = min(t.burst, t.tokens+t.rate*(r.now-t.refilledAt).Seconds())
		t.refilledAt = r.now
		if t.tokens < 1 {
			q.weight *= r.config.OverShareWorth
		} else {
			t.tokens--
		}
	}
	g.lastRequestAt = r.now
	if c.arrivals++; e.Tried == 0 { // one that is handed in again has earned its part
		r.healthCheckBudget = min(maxHealthCheckBudget, r.healthCheckBudget+healthCheckSpend/max(r.config.ProbePrice, healthCheckSpend/4))
		r.retryBudget = min(maxRetryBudget, r.retryBudget+retryBudgetPerRequest)
	}
	r.requests[q.id] = q
	g.pending = append(g.pending, q)
}

func (r *Router) closeRequest(q *request) {
	if q.answered = true; q.inFlight == 0 {
		delete(r.requests, q.id)
	}
}

// finish answers a request that is given up on, at once. A refusal says that a retry does no harm.
func (r *Router) giveUp(q *request) {
	r.recordGivenUp(q)
	if q.mayHaveRun && (q.class.Effect == Unsafe || q.class.Effect == Keyed && q.class.Scope != ScopeAll) {
		r.emit(Fail{ID: q.id})
	} else {
		// Told wherever clients can hear it: one that comes back at once meets what turned it away.
		r.emit(Refuse{ID: q.id, RetryAfter: min(r.config.MaxRetryAfter, q.class.Aim)})
	}
	r.closeRequest(q)
}

// again holds a request whose attempt ended without an answer, or gives it up.
func (r *Router) retryOrAbandon(q *request, cost float64) {
	if q.answered || q.inFlight > 0 {
		return
	}
	if q.mayHaveRun && q.class.Effect == Unsafe || r.config.MostTries > 0 && q.attemptsUsed() >= r.config.MostTries ||
		r.retryBudget < cost {
		q.abandoned = true // answered in this step, once all events are read: the client may have left
	} else {
		r.retryBudget -= cost
	}
	q.group.pending = append(q.group.pending, q)
}

// useless is the time from which a send could no longer bring an answer in useful time.
func (r *Router) lastUsefulSend(q *request) Time {
	end := q.deadline - 2*tickInterval
	if q.class.LateShare == 0 {
		end = min(end, q.objectiveAt)
	}
	end -= seconds(q.class.latency / 2)
	// Danger: a write held for its primary is often served after half of its time. Giving it up then pays
	// only where holding it for longer, in vain, has a price.
	if !q.reached && (q.class.Effect == Safe || r.config.HeldBack > 0) {
		end = min(end, q.halfTime()-tickInterval)
	}
	return end
}

// half is the last moment in which giving up what was never sent costs nothing: half of the client's time.
// Danger: what is held and never sent keeps its client from asking again, of the next primary or elsewhere.
func (q *request) halfTime() Time { return q.arrivedAt + (q.deadline-q.arrivedAt)/2 - tickInterval }

func (r *Router) dispatchPending(g *replicaGroup) {
	if len(g.pending) == 0 {
		return
	}
	for _, q := range g.pending {
		// Worth by the chance of an answer within the aim, per work: what is sent too late only loads.
		in := 1 - math.Exp(-max(0, (q.objectiveAt-r.now).Seconds())/q.class.latency)
		q.rank = q.weight / q.class.latency * (in + q.class.LateShare*(1-in))
		if q.rank > r.bestRank {
			r.bestRank, r.bestRankLatency = q.rank, q.class.latency
		}
	}
	slices.SortStableFunc(g.pending, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
	kept := g.pending[:0]
	for _, q := range g.pending {
		if q.answered {
			continue
		} else if q.abandoned || r.now >= r.lastUsefulSend(q) {
			r.giveUp(q)
		} else if n := r.selectEndpoint(q); n != nil && !r.defersToBoundedReads(q, n) {
			r.sendAttempt(q, n)
		} else {
			kept = append(kept, q)
		}
	}
	clear(g.pending[len(kept):])
	g.pending = kept
	for _, q := range kept { // what has waited long is looked at less often
		r.nextDueAt = min(r.nextDueAt, r.now+(r.now-q.arrivedAt)/pendingRecheckDivisor, r.lastUsefulSend(q)-tickInterval)
	}
}

func (r *Router) sendAttempt(q *request, n *endpoint) {
	a := &attempt{request: q, endpoint: n, sentAt: r.now, number: len(q.attempts)}
	if len(n.inFlight) == 0 {
		n.lastAnswerAt = r.now
		r.busyEndpoints = append(r.busyEndpoints, n)
	}
	q.attempts, n.inFlight = append(q.attempts, a), append(n.inFlight, a)
	q.inFlight, n.resumed = q.inFlight+1, false
	r.nextDueAt = min(r.nextDueAt, r.now+stallTimeout(n.inFlight...)+1)
	if q.group.primaryState != primaryCached && q.class.Need == NeedUpdate {
		q.group.trialWrite = a
	}
	if n.suspect || r.isOutlier(n) && r.now >= n.trialAt {
		n.reportedSinceTrial = false
		n.trialBackoff = min(2*n.trialBackoff, maxTrialBackoff)
		if r.stillServesGroup(n) {
			n.trialBackoff = minTrialBackoff
		}
		n.trialAt = r.now + n.trialBackoff
	}
	if ok, cost, _ := r.checkCredit(q, n); ok {
		n.creditTokens, n.ditherDrawnAt = n.creditTokens-cost, 0
	}
	by := Time(0)
	if q.class.Need == NeedBounded && n != q.group.primary && r.config.Checks == ChecksNone {
		// Danger: a connection that has to be opened first delays the send, and the bound counts from there.
		by = n.position + q.class.Bound
	}
	if !q.reached && (by == 0 || q.halfTime() < by) {
		by = q.halfTime() // waiting for a connection is waiting all the same
	}
	if end := q.firstRunAt + q.class.Window - tickInterval; q.mayHaveRun && q.class.Effect == Keyed && (by == 0 || end < by) {
		by = end // Danger: behind the window the repeat would run again, however early it was decided
	}
	r.emit(Send{ID: q.id, Node: n.id, By: by})
}

// ---- Outcomes

func (r *Router) handleOutcome(e Outcome) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	n := a.endpoint
	a.ended, q.inFlight = true, q.inFlight-1
	n.inFlight = slices.DeleteFunc(n.inFlight, func(b *attempt) bool { return a == b })
	pos := e.Position
	if e.Status == Done && q.class.Need == NeedUpdate {
		at := cmp.Or(pos, r.now) // a commit that is not told is taken as late as it can be
		if q.sessionKey != 0 && !r.config.ClientTokens && at > r.sessionCommits[q.sessionKey].position {
			r.sessionCommits[q.sessionKey] = sessionCommit{at, q.group}
		}
		pos -= time.Millisecond // a commit is rounded up
	}
	if e.Role != RoleUnknown {
		// Danger: a primary that hands over misses new writes, yet ends older ones and still answers reads.
		// A role is claimed for the time of the send, and a read does not restore what a miss has taken.
		if e.Role == RoleReplica {
			r.observeRole(n, e.Role, pos, r.now)
		} else if q.class.Need == NeedUpdate || n.primaryAt >= n.replicaAt {
			r.observeRole(n, e.Role, pos, a.sentAt)
		}
		if pos > 0 && pos <= r.now {
			n.lag, n.lagObservedAt = r.now-pos, r.now
		}
	}
	q.answered = q.answered || e.Finished
	if e.Status <= Busy || e.Status == Miss { // it answered
		n.lastAnswerAt = r.now
	}
	q.reached = q.reached || e.Status != ConnectFailed && e.Status != Skipped
	cost := 1.0
	switch e.Status {
	case Done:
		if !a.streaming {
			r.recordSuccess(q, n, e.Took)
		}
	case Miss:
		cost = 0
		q.missedBy = append(q.missedBy, n)
		if q.class.Need == NeedUpdate {
			r.observeReplica(n, r.now)
		} else {
			n.lag, n.lagObservedAt = max(n.lag, r.now-r.requiredPosition(q)+1), r.now
		}
	case Busy:
		cost = 0
		// Danger: what is turned away at once comes back at once, and keeps a full member full.
		if r.now >= n.rejectingUntil {
			n.attemptLimit = max(r.minLimit(), n.attemptLimit*(1-rejectionCut))
		}
		n.rejectingUntil = r.now + seconds(q.class.latency/2)
	case Error:
		r.recordFailure(n)
	case Reset, ConnectFailed:
		// Danger: a path that breaks connections, several in a row too, is no outage of the member. One that
		// has died takes no new ones either; a probe settles it. Harm: a dead one may get a few more.
		if e.Status == ConnectFailed { // nothing ran: the same again, but not at once
			n.rejectingUntil = r.now + seconds(q.class.latency/2)
			n.unreachableAgain = n.unreachableAgain || n.suspect
			n.refusedConnections++
		}
		r.recordFailure(n)
		n.brokenConnections++
		if n.refusedConnections >= refusalsForOutage || !r.config.Probes && n.brokenConnections >= refusalsForOutage {
			r.markUnreachable(n)
		} else {
			r.sendHealthCheck(n, 0)
		}
	case TimedOut:
		// Danger: when clients give up, the served alone hide the crowding. It counts as the aim or more.
		if !a.connectionLost { // a connection that has fallen silent is no crowd
			r.adaptLimit(n, max(1, e.Took.Seconds()/q.class.Aim.Seconds()))
		}
	}
	if slices.Contains([]Status{Error, TimedOut, Reset, Cancelled}, e.Status) && !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, a.sentAt, n.zone
	}
	if q.answered {
		r.closeRequest(q)
		return
	}
	r.retryOrAbandon(q, cost)
}

// failed counts a failure of a member. It is sick only beyond what its peers suffer from.
func (r *Router) recordFailure(n *endpoint) {
	n.failureRate += smoothing * (1 - n.failureRate)
	if r.isOutlier(n) && n.trialAt < r.now {
		n.trialBackoff = minTrialBackoff
		n.trialAt = r.now + n.trialBackoff
		r.log("member %s: fails requests", n.id)
	}
}

// sick members are the last choice for weak reads but for some trials; strong work has no other place.
func (r *Router) isOutlier(n *endpoint) bool {
	least := n.failureRate
	for _, m := range n.group.endpoints {
		if m.state == Ready && m != n.group.primary {
			least = min(least, m.failureRate)
		}
	}
	return n.failureRate > outlierFailureMargin+least
}

func (r *Router) markUnreachable(n *endpoint) {
	n.unreachable = true
	r.markSuspect(n, "cannot be reached")
	if n.group.primary == n {
		r.markPrimarySuspect(n.group, "it cannot be reached")
	}
}

func (r *Router) recordSuccess(q *request, n *endpoint, took time.Duration) {
	n.failureRate -= smoothing * n.failureRate
	n.brokenConnections, n.refusedConnections = 0, 0
	n.workDone += q.class.serviceTime
	if r.runningSince != r.now {
		// The more instances, the fewer answers each sees: they count for more.
		q.class.latency += smoothing / 5 * min(5, 1+r.instances()/10) * (took.Seconds() - q.class.latency)
		r.adaptLimit(n, took.Seconds()/q.class.Aim.Seconds())
	}
	q.class.serviceTime = min(q.class.latency, q.class.serviceTime*(1+decay))
	if n.suspect {
		r.log("member %s: serves again", n.id)
		// Danger: taking each for restarted leaves a warm fleet idle where connections break often. One that
		// has died is found away more than once: when it falls silent, and at its trials.
		if n.unreachable && n.unreachableAgain && !r.stillServesGroup(n) {
			n.recoveredAt, n.creditRefilledAt = r.now, 0 // it may have restarted: cold until the list says otherwise
		}
		n.suspect, n.unreachable = false, false
	}
}

// ---- Pick

func (r *Router) selectEndpoint(q *request) *endpoint {
	g := q.group
	if q.class.Need == NeedUpdate || q.class.Need == NeedLatest {
		return r.selectPrimary(q)
	}
	var own, far, sick []*endpoint
	misses := 0
	for _, n := range g.endpoints {
		if n == g.primary && g.primaryState == primaryCached || !r.isAvailable(q, n) {
			continue
		}
		if slices.Contains(q.missedBy, n) {
			misses++
			continue
		}
		if !r.eligible(q, n) {
			continue
		} else if n.resumed {
			return n // first of all: operators have asked for it, and its position will age again
		} else if r.isOutlier(n) && (r.now < n.trialAt || len(n.inFlight) > 0) {
			sick = append(sick, n)
		} else if n.zone == r.config.Zone {
			own = append(own, n)
		} else {
			far = append(far, n)
		}
	}
	if len(own) == 0 {
		own = far
	}
	if len(own) > 0 && r.isLongRead(q.class) {
		// Danger: long reads hold up the log where they run. Spread over all replicas, by each instance as it
		// sees them, they leave none that is recent enough for bounded reads. All instances choose the same.
		own = r.longReadCandidates(g, append(own, far...))
	}
	if len(own) > 0 && misses < 2 {
		return own[r.rng.IntN(len(own))]
	}
	g.unavailableAt = r.now
	wait := false
	for _, n := range g.endpoints {
		if n == g.primary || !n.inService() || r.isAvailable(q, n) || !r.hasCapacity(q, n) {
			continue // Danger: a report from one that can take nothing is of no use to anyone
		}
		// A report comes much sooner than the primary's work is done, if what it told last would do.
		soon := n.checkInFlight && r.now-n.checkedAt < healthCheckInterval/2 || !n.suspect && r.healthCheckAllowed(n, healthCheckInterval)
		wait = wait || soon && r.config.Checks == ChecksNone && r.now-n.lag >= r.requiredPosition(q)
		n.positionNeededAt = r.now
	}
	if wait {
		return nil
	}
	room := g.primaryState == primaryCached && r.now >= g.primary.weakReadsFrom
	if room = room && float64(len(g.primary.inFlight)) < max(1, weakReadPrimaryShare*g.primary.attemptLimit); room {
		ok, cost, most := r.checkCredit(q, g.primary)
		room = ok && g.primary.creditTokens-cost >= min(most-cost, (1-weakReadPrimaryShare)*creditBurst*cost)
	}
	if room && (len(sick) == 0 || !r.isOutlier(g.primary)) && r.eligible(q, g.primary) {
		return g.primary
	}
	if len(sick) > 0 {
		return sick[r.rng.IntN(len(sick))]
	}
	return nil
}

// ---- Guards

// allowed is the one place that every send passes.
func (r *Router) eligible(q *request, n *endpoint) bool {
	switch {
	case n.group != q.group, q.answered, q.inFlight > 0:
		return false
	case n.suspended, n.state != Ready && (n.wasDraining || n.state == Draining || !r.config.SoftRemoval):
		return false // Danger: a member that drains must get nothing new, from the moment that this is known
	case q.mayHaveRun && q.class.Effect == Unsafe:
		return false
	case q.mayHaveRun && q.class.Effect == Keyed && (r.now-q.firstRunAt >= q.class.Window-tickInterval ||
		q.class.Scope == ScopeZone && n.zone != q.firstRunZone):
		return false
	case q.class.Need == NeedSession || q.class.Need == NeedBounded:
		if n != q.group.primary && !r.isAvailable(q, n) {
			return false
		}
	}
	return r.hasCapacity(q, n)
}

// able says whether n can take q, however recent its data.
func (r *Router) hasCapacity(q *request, n *endpoint) bool {
	if n.suspect {
		// Danger: what a silent member takes is lost. One trial at a time, after a probe has come back.
		if n.trialInFlight() || r.now < n.trialAt || r.config.Probes && !n.reportedSinceTrial && r.healthCheckBudget >= 1 && !r.stillServesGroup(n) {
			return false
		}
		if q.class.Effect == Unsafe && n.primaryAt <= n.suspectSince && !n.unreachable {
			return false
		}
	}
	if float64(len(n.inFlight)+1) > max(1, n.attemptLimit*r.warmupFactor(n)) || r.now < n.rejectingUntil || r.zoneCapacity(n) == 0 {
		return false
	}
	ok, _, _ := r.checkCredit(q, n)
	return ok
}

// afford counts the credit of n and says whether it covers q, what q costs, and the most that can be saved
// up. Danger: one attempt of each of hundreds of instances at once is a flood, and a cold member falls over
// when all together send it too much. Where the share of this instance is under one attempt it is earned
// over time, from a drawn start that spreads them. Harm: a burst at one waits though members are idle.
func (r *Router) checkCredit(q *request, n *endpoint) (ok bool, cost, most float64) {
	warm := r.warmupFactor(n)
	rate := n.attemptLimit * warm
	if rate >= 1 && warm == 1 {
		return true, 0, 0
	}
	// Danger: cut to what a short class saves up, there is never enough for a long one.
	cost, most = q.class.latency, max(creditBurst*q.class.latency, 2*r.slowestLatency())
	if warm < 1 {
		// Nothing is known of capacity but what warm members did; each can do one request at a time at
		// least.
		least := slowStartBudgetShare * r.config.FallMultiple * warm * max(r.peakRate, 1/r.instances())
		if least < rate {
			cost, rate = q.class.serviceTime, least
		}
		most = r.slowStartBurst(rate, least, cost)
		return r.slowStartCredit(n, rate, most, cost) && !r.exceedsSlowStartBudget(q, least), cost, most
	}
	most = max(most, cost)
	if n.creditRefilledAt == 0 {
		n.creditTokens, n.creditRefilledAt = most, r.now
	}
	n.creditTokens = min(most, n.creditTokens+rate*(r.now-n.creditRefilledAt).Seconds())
	n.creditRefilledAt, n.creditBurst = r.now, most
	// Few are held at a time: work worth less than half of the best leaves credit that the best could use.
	reserve := min(most-cost, creditBurst*r.bestRankLatency) * reservedCreditShare * r.rankDeficit(q)
	return n.creditTokens >= cost+reserve, cost, most
}

// warmth is the part of its capacity that a member has at least.
func (r *Router) warmupFactor(n *endpoint) float64 {
	from := max(n.startedAt, n.recoveredAt)
	if age := r.now - from; from > 0 && age < r.config.ColdFor {
		return r.zoneCapacity(n) * (r.config.ColdFrom + (1-r.config.ColdFrom)*max(0, age.Seconds())/r.config.ColdFor.Seconds())
	}
	return r.zoneCapacity(n)
}

// ---- Health

// patience is how long a member with these attempts out may answer nothing before it is in doubt. It goes by
// the slowest class among them and by how slow the member is: neither a long report nor a crowd is silence.
func stallTimeout(out ...*attempt) time.Duration {
	lat := 0.0
	for _, a := range out {
		lat = max(lat, a.request.class.latency, a.endpoint.latencyRatio*a.request.class.Aim.Seconds())
	}
	return max(pauseThreshold, seconds(lat*(1.5+5/float64(len(out)))))
}

func (r *Router) markSuspect(n *endpoint, why string) {
	if !n.suspect {
		// Danger: one that fails and recovers by turns takes what it gets. It earns trust back later.
		if r.now-n.suspectSince > relapseFactor*maxTrialBackoff {
			n.trialBackoff = minTrialBackoff / 2
		}
		n.trialBackoff = min(2*n.trialBackoff, maxTrialBackoff)
		n.suspect, n.suspectSince, n.reportedSinceTrial, n.unreachableAgain, n.group.hasSuspects = true, r.now, false, false, true
		n.trialAt = r.now + n.trialBackoff
		r.log("member %s: suspect, it %s", n.id, why)
		r.sendHealthCheck(n, 0)
	}
}

// watch looks for members that make no progress, and takes back what is safe to take back.
func (r *Router) checkProgress() {
	kept := r.busyEndpoints[:0]
	for _, n := range r.busyEndpoints {
		if len(n.inFlight) == 0 {
			continue
		}
		kept = append(kept, n)
		live := r.liveAttempts(n)
		wait := stallTimeout(n.inFlight...)
		if len(live) > 0 {
			wait = stallTimeout(live...)
			if at := max(n.lastAnswerAt, live[0].sentAt, r.runningSince) + wait; r.now > at {
				r.markSuspect(n, "answers nothing")
			} else {
				r.nextDueAt = min(r.nextDueAt, at+1)
			}
		}
		for _, a := range n.inFlight {
			q := a.request
			// Danger: the end of an attempt that was taken back may come after the client has left.
			if a.cancelled && !q.answered {
				if r.nextDueAt = min(r.nextDueAt, q.deadline-2*tickInterval); r.now >= q.deadline-2*tickInterval {
					r.giveUp(q)
				}
			}
			if a.cancelled || !n.suspect && !a.connectionLost || q.answered || q.class.Effect != Safe || !r.config.Cancel ||
				r.retryBudget < 1 {
				continue
			}
			if at := max(a.sentAt, r.runningSince) + wait; r.now <= at && !a.connectionLost {
				r.nextDueAt = min(r.nextDueAt, at+1)
			} else {
				a.cancelled = true
				r.emit(Cancel{ID: q.id, Attempt: a.number})
			}
		}
	}
	clear(r.busyEndpoints[len(kept):])
	r.busyEndpoints = kept
	if r.now-r.measuredAt >= time.Second {
		r.measureThroughput()
	}
}

// live are the attempts whose answers still say something of the member. Danger: one whose connection has
// fallen silent, while the member answers what was sent later, made a busy member look dead. It is given up.
func (r *Router) liveAttempts(n *endpoint) []*attempt {
	live := r.liveScratch[:0] // each step looks at all that is out
	defer func() { r.liveScratch = live }()
	for _, a := range n.inFlight {
		if at := max(a.sentAt, r.runningSince) + lostConnectionFactor*stallTimeout(a); !a.connectionLost && n.lastAnswerAt > a.sentAt && r.now > at {
			a.connectionLost = true
		} else if !a.connectionLost {
			r.nextDueAt = min(r.nextDueAt, at+1)
		}
		if !a.connectionLost {
			live = append(live, a)
		}
	}
	return live
}

// measure counts what warm members do for this instance. Danger: what idle ones do is no capacity. The
// busiest of each group come near it, in the mean: the most of few samples is chance, and all add theirs up.
func (r *Router) measureThroughput() {
	r.measurements++
	weight, sum, groups := max(smoothing, 1/r.measurements), 0.0, 0.0
	for _, g := range r.sortedGroups {
		most := 0.0
		for _, n := range g.endpoints {
			n.workRate += weight * (n.workDone/max(1, (r.now-r.measuredAt).Seconds()) - n.workRate)
			if n.workDone = 0; r.warmupFactor(n) == 1 && n.inService() && !n.suspect {
				most = max(most, n.workRate)
			}
		}
		if most > 0 {
			sum, groups = sum+most, groups+1
		}
	}
	r.expire()
	if groups > 0 {
		r.peakRate = max(r.peakRate*(1-decay*5), sum/groups)
	}
	r.measuredAt = r.now
	r.bestRank *= 1 - smoothing
}

// ---- Load

// crowd moves the limit of a member by the part of the aim that an attempt took.
func (r *Router) adaptLimit(n *endpoint, part float64) {
	few := n.attemptLimit < 1
	weight, cut := smoothing, min(smoothing, smoothing/10*max(2, r.instances()))
	if few {
		weight, cut = 3*smoothing, rejectionCut
		r.adaptWeakReadBackoff(n, part)
	}
	n.latencyRatio += weight * (part - n.latencyRatio)
	n.leastLatencyRatio = min(n.latencyRatio, n.leastLatencyRatio*(1+decay))
	if few && part < maxCrowdedRatio && n.latencyRatio > maxCrowdedRatio {
		return // one long answer must not cut it several times
	}
	if n.latencyRatio > maxCrowdedRatio || !few && n.latencyRatio > max(crowdedRatio, crowdedFactor*n.leastLatencyRatio) {
		// Danger: with many instances each sees few answers and would go on crowding a member for long.
		n.attemptLimit = max(r.minLimit(), n.attemptLimit*(1-cut))
	} else if few && n.creditTokens < n.creditBurst/2 {
		n.attemptLimit = min(1, n.attemptLimit+smoothing*r.initialLimit())
	} else if !few && float64(len(n.inFlight)+2) > n.attemptLimit {
		n.attemptLimit += max(1/n.attemptLimit, smoothing/2)
	}
}
