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
	beat       = 10 * time.Millisecond  // how often held work and silent members are looked at: below any aim
	probeGap   = 100 * time.Millisecond // reports are rarely refreshed faster
	inUse      = 2 * time.Second        // a group without requests for this long is not probed
	roundGap   = 500 * time.Millisecond // members that have denied are asked again: a successor takes a while
	stall      = 5 * beat               // a pause of this instance or of a member that is told from silence
	trialFirst = 250 * time.Millisecond // first wait before a suspect's trial; doubles up to trialLast
	listTurn   = 150 * time.Millisecond // of the list's service, for each instance beyond a few
	trialLast  = 2 * time.Second
	lostAfter  = 2     // times its patience: an attempt is lost if the member has answered later ones
	heldShare  = 20    // held work is looked at again after this part of the time it has waited
	relapse    = 10    // a doubt within this many of trialLast after the one before waits twice as long
	smooth     = 0.1   // weight of a new sample in moving averages: about the last ten count
	giveWay    = 0.25  // part of its limit that a full member loses, or one that has little of it
	stretch    = 0.35  // part of the aim that attempts may take in the mean before a member is crowded,
	stretchBy  = 1.5   // or this multiple of the member's least, since a slow one is not crowded,
	stretchMax = 0.5   // but never more than this
	longShare  = 0.33  // part of the bound beyond which a read is long: it holds up the log where it runs
	drift      = 0.002 // the least seen is forgotten at this rate: work and members change
	firstLimit = 16.0  // attempts out per member, over all instances, before anything is learned
	errorShare = 0.25  // share of failures beyond the peers' that makes a member sick
	deadAfter  = 3     // connections refused in a row that mean an outage without asking
	leastAll   = 4.0   // what crowding leaves of it at least
	firstShare = 24.0  // the same where the share of one instance is under one
	creditMost = 4.0   // requests in a row where the share is under one: arrivals are uneven
	reserved   = 0.5   // part of the credit that work of little worth leaves to better work
	coldShare  = 0.6   // part of the cold budget that is used: costs are estimates
	probeSpend = 0.06  // part of a request's worth that may go into probes: half is too few, twice is dear
	probeFirst = 8.0   // probes before anything is earned: about two groups
	probeMost  = 32.0  // probes that may be saved up for a failure
	spare      = 0.75  // part of the primary's limit for weak reads: strong work needs some at once
	retryEarn  = 0.1   // repeats earned by each request: they cannot add more to an overload
	retryMost  = 20.0  // repeats that may be saved up for a sudden failure
)

// New returns a Router that has yet to see its first list.
func New(cfg Config, seed uint64) (*Balancer, error) {
	r := &Balancer{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{},
		groups: map[int64]*group{}, classes: map[string]*class{}, tenants: map[string]*bucket{},
		reqs: map[string]*request{}, sessions: map[int64]commit{}, repeats: retryMost, probes: probeFirst,
		barred: map[string]bool{}, paced: map[string]float64{}, trackGap: trialFirst}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 {
			c.LatencyObjective = c.ClientTimeout
		}
		r.classes[c.Name] = &class{Class: c, lat: c.LatencyObjective.Seconds() / 5,
			work: c.LatencyObjective.Seconds() / 5}
		if c.Consistency == ConsistencyBounded && (r.bound == 0 || c.MaxStaleness < r.bound) {
			r.bound = c.MaxStaleness
		}
		r.session = r.session || c.Consistency == ConsistencySession
	}
	for _, t := range cfg.Tenants {
		rate := t.Quota / r.instances()
		// Danger: where the rate is under one a second a second's worth never makes one request.
		r.tenants[t.Name] = &bucket{rate: rate, most: max(rate, creditMost), level: max(rate, creditMost)}
	}
	return r, nil
}

// ---- Step

// Step takes what happened at now and returns what to do, in order. All events count before anything is
// sent.
func (r *Balancer) Step(now Time, events []Event) []Action {
	// Danger: time in which this instance did not run is no member's silence nor slowness.
	if now-stall > r.wakeAt {
		r.awake = now
	}
	r.now, r.acts, r.due = now, nil, never
	for _, e := range events {
		switch e := e.(type) {
		case EndpointList:
			r.onList(e)
		case Request:
			r.onRequest(e)
		case AttemptResult:
			r.onOutcome(e)
		case HealthCheckResult:
			r.onProbe(e)
		case Suspend:
			r.onSuspend(e)
		case ZoneCapacity:
			r.paced[e.Zone] = e.Share
		case ClientDisconnected:
			if q := r.reqs[e.ID]; q != nil {
				r.close(q)
			}
		case FirstByte:
			// Danger: one that names no attempt, or one that has ended, says nothing of this answer.
			if q := r.reqs[e.ID]; q != nil && q.out > 0 && e.Attempt == len(q.tries)-1 {
				q.dieAt = never
				if a := q.tries[e.Attempt]; a.begin(now) {
					r.served(q, a.node, now-a.at)
				}
			}
		}
	}
	r.watch()
	for _, g := range r.order {
		r.dispatch(g)
		r.probe(g)
	}
	r.askList()
	// Danger: a steady beat of hundreds of instances is dear: wake for what is due. A timer may fire early.
	if r.wakeAt <= now+beat {
		r.wakeAt = never
	}
	if at := max(r.due, now+max(beat, r.cfg.TimerResolution)); at < r.wakeAt && r.due < never {
		r.wakeAt = at
		r.do(Timer{After: at - now})
	}
	return r.acts
}

// ---- List

func (r *Balancer) onList(l EndpointList) {
	if l.Kind == ListFailed || l.Kind == ListSilent {
		r.tracked, r.trackAt = false, r.now+r.unheard(l.Kind)
		return
	}
	if r.trackGap, r.askedAt = max(trialFirst, r.turns()), r.now; l.Kind == ListCached {
		r.trackAt = r.now + time.Duration(r.rng.Int64N(int64(r.turns())+1))
	}
	seen := map[string]bool{}
	for _, e := range l.Entries {
		seen[e.Endpoint] = true
		r.entry(e)
	}
	if l.Kind != ListDelta {
		for _, g := range r.order {
			for _, n := range g.members {
				if !seen[n.id] && n.state != EndpointRemoved {
					r.leave(n, EndpointRemoved)
				}
			}
		}
	}
}

func (r *Balancer) entry(e EndpointEntry) {
	n := r.nodes[e.Endpoint]
	if n == nil {
		if e.State == EndpointRemoved {
			return
		}
		g := r.group(e.Group)
		n = &node{id: e.Endpoint, group: g, state: EndpointReady, readyAt: e.StartedAt, limit: r.startLimit(),
			slow: stretch / 2, least: stretch / 2, barred: r.barred[e.Endpoint]}
		r.nodes[e.Endpoint] = n
		g.members = append(g.members, n)
		slices.SortFunc(g.members, byID)
	}
	if n.zone = e.Zone; e.State != EndpointReady {
		r.leave(n, e.State)
		return
	}
	if e.StartedAt > n.readyAt {
		n.readyAt, n.limit, n.creditAt = e.StartedAt, r.startLimit(), 0
		if n.group.primary == n && e.StartedAt > n.group.claimAt {
			r.soil(n.group, "it restarted")
		}
	}
	n.state = EndpointReady
	// The list may lag by seconds: it counts only where no answer or probe has said anything newer.
	if e.Primary && !n.leader && n.group.state != usable && n.denied == 0 {
		r.lead(n)
	}
	n.leader = e.Primary
}

func (r *Balancer) leave(n *node, s EndpointState) {
	if n.state != EndpointRemoved {
		n.goneAt = r.now
	}
	n.state, n.drained = s, n.drained || s == EndpointDraining
	if n.group.primary == n {
		r.soil(n.group, "it leaves")
	}
}

// onSuspend bars a member until operators let it back in. Danger: the list goes on calling it ready, or does
// again once it is back; so the bar stands beside the list's state.
func (r *Balancer) onSuspend(e Suspend) {
	r.barred[e.Endpoint] = e.Suspended
	n := r.nodes[e.Endpoint]
	if n == nil || n.barred == e.Suspended {
		return
	}
	if n.barred = e.Suspended; n.barred {
		r.leave(n, n.state)
		return
	}
	n.renew(r.now, r.startLimit())
	r.probes, n.group.doubts = max(r.probes, probeFirst), true
}

func (r *Balancer) askList() {
	if r.cfg.PollDiscovery && !r.tracked && r.now >= r.trackAt {
		r.tracked, r.askedAt = true, r.now
		r.do(PollEndpointList{})
	} else if r.cfg.PollDiscovery && !r.tracked {
		r.due = min(r.due, r.trackAt)
	}
}

// ---- Role map

// claim notes that n was primary at the given time. Newer evidence wins; older evidence is dropped.
func (r *Balancer) claim(n *node, at Time) {
	g := n.group
	if at <= n.denied || n.barred {
		return
	}
	// Danger: one that came back and does not know that it was replaced still calls itself primary, from data
	// that stands still. A claim is no position: once it is a replica, only what was told counts.
	n.claimed = max(n.claimed, at)
	if g.state == unknown || g.primary != n && at > g.claimAt ||
		g.primary == n && (g.state == usable || at > g.dirtyAt) {
		if r.lead(n) {
			g.trial = nil
		}
		g.claimAt = max(at, g.claimAt)
	}
}

// deny notes that n was no primary at the given time.
func (r *Balancer) deny(n *node, at Time) {
	n.denied = max(n.denied, at)
	if n.group.primary == n && at >= n.group.claimAt {
		r.soil(n.group, "it says replica")
	}
}

// leads says that a primary in doubt still leads: its group goes on committing and no other has claimed it.
// Danger: a primary that this instance alone cannot reach still is the only one to take writes: go on trying.
func (r *Balancer) leads(n *node) bool {
	return n.refused && n.group.primary == n && n.denied <= n.since &&
		slices.ContainsFunc(n.group.members, func(m *node) bool { return m != n && m.pos > n.since+probeGap })
}

func (r *Balancer) soil(g *group, why string) {
	if g.state == usable {
		g.state, g.dirtyAt, g.trial, g.lookAt, g.lookGap = dirty, r.now, nil, r.now, probeGap
		r.waver(g, why)
	}
}

// strong picks the member for a write or a fresh read, or nil to hold it.
func (r *Balancer) strong(q *request) *node {
	g := q.group
	if g.state == usable {
		if r.allowed(q, g.primary) {
			return g.primary
		}
		return nil
	}
	if t := g.trial; q.class.Consistency != ConsistencyWrite || t != nil && !t.ended && r.now-t.at < patience(t) {
		return nil
	}
	// Rounds in sorted order over those that have not denied since the doubt arose, one write at a time: a
	// silent member may take it. Danger: the successor denies, too, before it takes over. It is asked again.
	for _, n := range g.members {
		if max(n.denied, n.claimed) <= max(g.dirtyAt, r.now-roundGap) && r.allowed(q, n) &&
			(g.trial == nil || g.trial.ended || g.trial.node != n) && !slices.Contains(q.missed, n) {
			return n
		}
	}
	return nil
}

// ---- Positions

func (r *Balancer) learn(n *node, role Role, pos, at Time) {
	if role == RolePrimary {
		r.claim(n, at)
	} else if role == RoleReplica {
		r.deny(n, at)
	}
	if pos > n.pos && pos <= r.now {
		n.pos = pos
	}
}

// available says whether the data of n is recent enough for a weak read that is sent now.
func (r *Balancer) available(q *request, n *node) bool {
	need := r.needs(q)
	if n.pos >= need {
		return true
	}
	// Where members check for themselves any replica may be tried, but one that said it is further behind.
	// Danger: one that was behind when last asked, seconds ago, would stay out for good, its primary loaded.
	behind := r.now-n.lag < need && r.now-n.lagAt < inUse
	return r.cfg.FreshnessCheck != FreshnessCheckNone && !behind && !slices.Contains(q.missed, n)
}

func (r *Balancer) onProbe(e HealthCheckResult) {
	n := r.nodes[e.Endpoint]
	if n == nil {
		return
	}
	n.probing = false
	if e.Status != StatusDone {
		if r.cfg.FreshnessCheck == FreshnessCheckNone {
			n.lag = max(n.lag, inUse)
		}
		n.away = n.away || n.suspect && e.Status != StatusBusy
		if n.breaks > 0 && e.Status != StatusReset {
			r.unreachable(n)
		}
		if n.suspect {
			n.backoff = min(2*n.backoff, trialLast)
			n.trialAt = r.now + n.backoff
		}
		return
	}
	n.proven = true
	if e.Position > 0 && e.Position <= r.now {
		if lag := r.now - e.Position; lag < n.lag || r.cfg.FreshnessCheck == FreshnessCheckNone {
			n.lag, n.lagAt = lag, r.now
		}
		r.learn(n, e.Role, e.Position, e.Position) // a report is as old as a primary's position in it
	}
}

// probe asks members of g for reports. Danger: hundreds of instances that ask at will are a storm. Probes are
// paid from what requests have earned, sent only where something waits, and further apart each time.
func (r *Balancer) probe(g *group) {
	idle := g.asked && len(g.held) == 0 && g.wantedAt != r.now && !g.doubts
	if g.usedAt == 0 || r.now-g.usedAt > inUse || idle {
		return
	}
	g.doubts = false
	if g.lost() && g.asked && len(g.held) > 0 && r.now >= g.lookAt {
		r.look(g)
	}
	var stale []*node
	for _, n := range g.members {
		// Danger: without a report no bounded read may try one that is back, nor would anything ask for it.
		n.eager = n.eager && (n.barred || r.now-n.revived < 2*inUse)
		g.doubts = g.doubts || n.suspect || n.eager && n.in()
		switch {
		case !n.in():
		case n.eager:
			r.ask(n, probeGap)
		case !g.asked && (g.lost() || r.startLimit() >= 1),
			n.suspect && r.now >= n.trialAt && !n.proven && g.usedAt > n.probedAt,
			// Danger: a report is older than the doubt it should lift. A primary that said nothing newer
			// would be kept from its writes for ever.
			n.suspect && n.proven && n == g.primary && n.claimed <= n.since && len(g.held) > 0:
			r.ask(n, probeGap)
		case n.suspect && n.proven && r.now >= n.trialAt && r.aged(n) && g.usedAt > n.probedAt:
			// Danger: its position has aged while it waited for its trial, so no bounded read may try it.
			r.ask(n, max(probeGap, n.backoff))
		case n.wantedAt == r.now && n != g.primary && !n.suspect && !n.probing && r.now-n.pos >= probeGap:
			stale = append(stale, n)
		}
	}
	g.asked = true
	// Danger: in a fixed order one that is far behind takes all that many instances can spend, in vain.
	slices.SortFunc(stale, r.dearer)
	// One report is enough. Danger: each step looks at a read that waits; it would ask all while one is out.
	out := func(n *node) bool { return n.probing && r.now-n.probedAt < probeGap/2 }
	due := func(n *node) bool { return r.fresh(n) || r.askable(n, r.catchUp(n)) }
	if i := slices.IndexFunc(stale, due); i >= 0 && !slices.ContainsFunc(g.members, out) {
		r.ask(stale[i], r.catchUp(stale[i]))
	}
}

func (r *Balancer) askable(n *node, gap time.Duration) bool {
	since := r.now - n.probedAt
	return r.cfg.HealthChecks && !n.barred && r.probes >= 1 && since >= gap && (!n.probing || since > inUse)
}

func (r *Balancer) ask(n *node, gap time.Duration) {
	if r.askable(n, gap) {
		n.probing, n.probedAt = true, r.now
		r.probes--
		r.do(HealthCheck{Endpoint: n.id})
	}
}

// ---- Requests

func (r *Balancer) onRequest(e Request) {
	c := r.classes[e.Class]
	if c == nil {
		r.do(Fail{ID: e.ID})
		return
	} else if r.reqs[e.ID] != nil {
		return
	}
	if r.groups[e.Group] == nil && len(r.nodes) > 0 {
		// Danger: a client may make up any group; each would be kept and looked at for ever.
		r.do(Reject{ID: e.ID, RetryAfter: min(r.cfg.MaxRetryAfter, c.LatencyObjective)})
		return
	}
	g := r.group(e.Group)
	q := &request{id: e.ID, class: c, group: g, key: e.SessionID, at: r.now,
		worth: c.PriorityWeight, tried: e.PriorAttempts}
	q.dieAt = r.now + e.TimeLeft
	// Danger: work for a client that comes back is lost once its aim has passed. Where retries are marked, a
	// wait below the usual one was cut by the end of all its tries, so the rest of them has gone.
	c.wait = max(c.wait, e.TimeLeft)
	gone := time.Duration(0)
	if e.Retry && e.TimeLeft < c.wait-time.Millisecond {
		gone = max(0, c.ClientTimeout-e.TimeLeft)
	}
	q.aimAt = min(q.dieAt, r.now+c.LatencyObjective-gone+time.Duration(c.ObjectiveStretch*float64(e.EstimatedWork)))
	switch c.Consistency {
	case ConsistencyLatest:
		q.need = r.now
	case ConsistencySession:
		if r.cfg.ClientSessionTokens && e.SinceSessionWrite > 0 {
			q.need = r.now - e.SinceSessionWrite + time.Millisecond // commits are rounded up by at most this
		} else if !r.cfg.ClientSessionTokens {
			q.need = r.sessions[e.SessionID].at
		}
	}
	if t := r.tenants[e.Tenant]; t != nil {
		t.level = min(t.most, t.level+t.rate*(r.now-t.at).Seconds())
		t.at = r.now
		if t.level < 1 {
			q.worth *= r.cfg.OverQuotaWeight
		} else {
			t.level--
		}
	}
	g.usedAt = r.now
	if c.seen++; e.PriorAttempts == 0 { // one that is handed in again has earned its part
		r.probes = min(probeMost, r.probes+probeSpend/max(r.cfg.HealthCheckCost, probeSpend/4))
		r.repeats = min(retryMost, r.repeats+retryEarn)
	}
	r.reqs[q.id] = q
	g.held = append(g.held, q)
}

func (r *Balancer) close(q *request) {
	if q.over = true; q.out == 0 {
		delete(r.reqs, q.id)
	}
}

// finish answers a request that is given up on, at once. A refusal says that a retry does no harm.
func (r *Balancer) finish(q *request) {
	r.turned(q)
	if q.mayRun && (q.class.Idempotency == NonIdempotent ||
		q.class.Idempotency == IdempotentWithKey && q.class.IdempotencyScope != ScopeAll) {
		r.do(Fail{ID: q.id})
	} else {
		// Told wherever clients can hear it: one that comes back at once meets what turned it away.
		r.do(Reject{ID: q.id, RetryAfter: min(r.cfg.MaxRetryAfter, q.class.LatencyObjective)})
	}
	r.close(q)
}

// again holds a request whose attempt ended without an answer, or gives it up.
func (r *Balancer) again(q *request, cost float64) {
	if q.over || q.out > 0 {
		return
	}
	if q.mayRun && q.class.Idempotency == NonIdempotent || r.cfg.MaxAttempts > 0 && q.spent() >= r.cfg.MaxAttempts ||
		r.repeats < cost {
		q.ended = true // answered in this step, once all events are read: the client may have left
	} else {
		r.repeats -= cost
	}
	q.group.held = append(q.group.held, q)
}

// useless is the time from which a send could no longer bring an answer in useful time.
func (r *Balancer) useless(q *request) Time {
	end := q.dieAt - 2*beat
	if q.class.LateWeightShare == 0 {
		end = min(end, q.aimAt)
	}
	end -= seconds(q.class.lat / 2)
	// Danger: a write held for its primary is often served after half of its time. Giving it up then pays
	// only where holding it for longer, in vain, has a price.
	if !q.written && (q.class.Idempotency == Idempotent || r.cfg.LateRejectCost > 0) {
		end = min(end, q.half()-beat)
	}
	return end
}

// half is the last moment in which giving up what was never sent costs nothing: half of the client's time.
// Danger: what is held and never sent keeps its client from asking again, of the next primary or elsewhere.
func (q *request) half() Time { return q.at + (q.dieAt-q.at)/2 - beat }

func (r *Balancer) dispatch(g *group) {
	if len(g.held) == 0 {
		return
	}
	for _, q := range g.held {
		// Worth by the chance of an answer within the aim, per work: what is sent too late only loads.
		in := 1 - math.Exp(-max(0, (q.aimAt-r.now).Seconds())/q.class.lat)
		q.rank = q.worth / q.class.lat * (in + q.class.LateWeightShare*(1-in))
		if q.rank > r.best {
			r.best, r.bestLat = q.rank, q.class.lat
		}
	}
	slices.SortStableFunc(g.held, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.aimAt, b.aimAt))
	})
	kept := g.held[:0]
	for _, q := range g.held {
		if q.over {
			continue
		} else if q.ended || r.now >= r.useless(q) {
			r.finish(q)
		} else if n := r.pick(q); n != nil && !r.yields(q, n) {
			r.send(q, n)
		} else {
			kept = append(kept, q)
		}
	}
	clear(g.held[len(kept):])
	g.held = kept
	for _, q := range kept { // what has waited long is looked at less often
		r.due = min(r.due, r.now+(r.now-q.at)/heldShare, r.useless(q)-beat)
	}
}

func (r *Balancer) send(q *request, n *node) {
	a := &attempt{req: q, node: n, at: r.now, leg: len(q.tries)}
	if len(n.out) == 0 {
		n.progress = r.now
		r.busy = append(r.busy, n)
	}
	q.tries, n.out = append(q.tries, a), append(n.out, a)
	q.out, n.eager = q.out+1, false
	r.due = min(r.due, r.now+patience(n.out...)+1)
	if q.group.state != usable && q.class.Consistency == ConsistencyWrite {
		q.group.trial = a
	}
	if n.suspect || r.sick(n) && r.now >= n.trialAt {
		n.proven = false
		n.backoff = min(2*n.backoff, trialLast)
		if r.leads(n) {
			n.backoff = trialFirst
		}
		n.trialAt = r.now + n.backoff
	}
	if ok, cost, _ := r.afford(q, n); ok {
		n.credit, n.luckAt = n.credit-cost, 0
	}
	by := Time(0)
	if q.class.Consistency == ConsistencyBounded && n != q.group.primary && r.cfg.FreshnessCheck == FreshnessCheckNone {
		// Danger: a connection that has to be opened first delays the send, and the bound counts from there.
		by = n.pos + q.class.MaxStaleness
	}
	if !q.written && (by == 0 || q.half() < by) {
		by = q.half() // waiting for a connection is waiting all the same
	}
	if end := q.ranAt + q.class.IdempotencyWindow - beat; q.mayRun &&
		q.class.Idempotency == IdempotentWithKey && (by == 0 || end < by) {
		by = end // Danger: behind the window the repeat would run again, however early it was decided
	}
	r.do(Send{ID: q.id, Endpoint: n.id, NotAfter: by})
}

// ---- Outcomes

func (r *Balancer) onOutcome(e AttemptResult) {
	q := r.reqs[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.tries) || q.tries[e.Attempt].ended {
		return
	}
	a := q.tries[e.Attempt]
	n := a.node
	a.ended, q.out = true, q.out-1
	n.out = slices.DeleteFunc(n.out, func(b *attempt) bool { return a == b })
	pos := e.Position
	if e.Status == StatusDone && q.class.Consistency == ConsistencyWrite {
		at := cmp.Or(pos, r.now) // a commit that is not told is taken as late as it can be
		if q.key != 0 && !r.cfg.ClientSessionTokens && at > r.sessions[q.key].at {
			r.sessions[q.key] = commit{at, q.group}
		}
		pos -= time.Millisecond // a commit is rounded up
	}
	if e.Role != RoleUnknown {
		// Danger: a primary that hands over misses new writes, yet ends older ones and still answers reads.
		// A role is claimed for the time of the send, and a read does not restore what a miss has taken.
		if e.Role == RoleReplica {
			r.learn(n, e.Role, pos, r.now)
		} else if q.class.Consistency == ConsistencyWrite || n.claimed >= n.denied {
			r.learn(n, e.Role, pos, a.at)
		}
		if pos > 0 && pos <= r.now {
			n.lag, n.lagAt = r.now-pos, r.now
		}
	}
	q.over = q.over || e.Finished
	if e.Status <= StatusBusy || e.Status == StatusMiss { // it answered
		n.progress = r.now
	}
	q.written = q.written || e.Status != StatusConnectFailed && e.Status != StatusNotSent
	cost := 1.0
	switch e.Status {
	case StatusDone:
		if !a.begun {
			r.served(q, n, e.Elapsed)
		}
	case StatusMiss:
		cost = 0
		q.missed = append(q.missed, n)
		if q.class.Consistency == ConsistencyWrite {
			r.deny(n, r.now)
		} else {
			n.lag, n.lagAt = max(n.lag, r.now-r.needs(q)+1), r.now
		}
	case StatusBusy:
		cost = 0
		// Danger: what is turned away at once comes back at once, and keeps a full member full.
		if r.now >= n.restAt {
			n.limit = max(r.leastLimit(), n.limit*(1-giveWay))
		}
		n.restAt = r.now + seconds(q.class.lat/2)
	case StatusError:
		r.failed(n)
	case StatusReset, StatusConnectFailed:
		// Danger: a path that breaks connections, several in a row too, is no outage of the member. One that
		// has died takes no new ones either; a probe settles it. Harm: a dead one may get a few more.
		if e.Status == StatusConnectFailed { // nothing ran: the same again, but not at once
			n.restAt = r.now + seconds(q.class.lat/2)
			n.away = n.away || n.suspect
			n.refusals++
		}
		r.failed(n)
		n.breaks++
		if n.refusals >= deadAfter || !r.cfg.HealthChecks && n.breaks >= deadAfter {
			r.unreachable(n)
		} else {
			r.ask(n, 0)
		}
	case StatusTimedOut:
		// Danger: when clients give up, the served alone hide the crowding. It counts as the aim or more.
		if !a.lost { // a connection that has fallen silent is no crowd
			r.crowd(n, max(1, e.Elapsed.Seconds()/q.class.LatencyObjective.Seconds()))
		}
	}
	if slices.Contains([]Status{StatusError, StatusTimedOut, StatusReset, StatusCancelled}, e.Status) && !q.mayRun {
		q.mayRun, q.ranAt, q.ranZone = true, a.at, n.zone
	}
	if q.over {
		r.close(q)
		return
	}
	r.again(q, cost)
}

// failed counts a failure of a member. It is sick only beyond what its peers suffer from.
func (r *Balancer) failed(n *node) {
	n.errs += smooth * (1 - n.errs)
	if r.sick(n) && n.trialAt < r.now {
		n.backoff = trialFirst
		n.trialAt = r.now + n.backoff
		r.log("member %s: fails requests", n.id)
	}
}

// sick members are the last choice for weak reads but for some trials; strong work has no other place.
func (r *Balancer) sick(n *node) bool {
	least := n.errs
	for _, m := range n.group.members {
		if m.state == EndpointReady && m != n.group.primary {
			least = min(least, m.errs)
		}
	}
	return n.errs > errorShare+least
}

func (r *Balancer) unreachable(n *node) {
	n.refused = true
	r.doubt(n, "cannot be reached")
	if n.group.primary == n {
		r.soil(n.group, "it cannot be reached")
	}
}

func (r *Balancer) served(q *request, n *node, took time.Duration) {
	n.errs -= smooth * n.errs
	n.breaks, n.refusals = 0, 0
	n.work += q.class.work
	if r.awake != r.now {
		// The more instances, the fewer answers each sees: they count for more.
		q.class.lat += smooth / 5 * min(5, 1+r.instances()/10) * (took.Seconds() - q.class.lat)
		r.crowd(n, took.Seconds()/q.class.LatencyObjective.Seconds())
	}
	q.class.work = min(q.class.lat, q.class.work*(1+drift))
	if n.suspect {
		r.log("member %s: serves again", n.id)
		// Danger: taking each for restarted leaves a warm fleet idle where connections break often. One that
		// has died is found away more than once: when it falls silent, and at its trials.
		if n.refused && n.away && !r.leads(n) {
			n.revived, n.creditAt = r.now, 0 // it may have restarted: cold until the list says otherwise
		}
		n.suspect, n.refused = false, false
	}
}

// ---- Pick

func (r *Balancer) pick(q *request) *node {
	g := q.group
	if q.class.Consistency == ConsistencyWrite || q.class.Consistency == ConsistencyLatest {
		return r.strong(q)
	}
	var own, far, sick []*node
	misses := 0
	for _, n := range g.members {
		if n == g.primary && g.state == usable || !r.available(q, n) {
			continue
		}
		if slices.Contains(q.missed, n) {
			misses++
			continue
		}
		if !r.allowed(q, n) {
			continue
		} else if n.eager {
			return n // first of all: operators have asked for it, and its position will age again
		} else if r.sick(n) && (r.now < n.trialAt || len(n.out) > 0) {
			sick = append(sick, n)
		} else if n.zone == r.cfg.Zone {
			own = append(own, n)
		} else {
			far = append(far, n)
		}
	}
	if len(own) == 0 {
		own = far
	}
	if len(own) > 0 && r.long(q.class) {
		// Danger: long reads hold up the log where they run. Spread over all replicas, by each instance as it
		// sees them, they leave none that is recent enough for bounded reads. All instances choose the same.
		own = r.last(g, append(own, far...))
	}
	if len(own) > 0 && misses < 2 {
		return own[r.rng.IntN(len(own))]
	}
	g.wantedAt = r.now
	wait := false
	for _, n := range g.members {
		if n == g.primary || !n.in() || r.available(q, n) || !r.able(q, n) {
			continue // Danger: a report from one that can take nothing is of no use to anyone
		}
		// A report comes much sooner than the primary's work is done, if what it told last would do.
		soon := n.probing && r.now-n.probedAt < probeGap/2 || !n.suspect && r.askable(n, probeGap)
		wait = wait || soon && r.cfg.FreshnessCheck == FreshnessCheckNone && r.now-n.lag >= r.needs(q)
		n.wantedAt = r.now
	}
	if wait {
		return nil
	}
	room := g.state == usable && r.now >= g.primary.easeAt
	if room = room && float64(len(g.primary.out)) < max(1, spare*g.primary.limit); room {
		ok, cost, most := r.afford(q, g.primary)
		room = ok && g.primary.credit-cost >= min(most-cost, (1-spare)*creditMost*cost)
	}
	if room && (len(sick) == 0 || !r.sick(g.primary)) && r.allowed(q, g.primary) {
		return g.primary
	}
	if len(sick) > 0 {
		return sick[r.rng.IntN(len(sick))]
	}
	return nil
}

// ---- Guards

// allowed is the one place that every send passes.
func (r *Balancer) allowed(q *request, n *node) bool {
	switch {
	case n.group != q.group, q.over, q.out > 0:
		return false
	case n.barred, n.state != EndpointReady && (n.drained || n.state == EndpointDraining || !r.cfg.SoftRemoval):
		return false // Danger: a member that drains must get nothing new, from the moment that this is known
	case q.mayRun && q.class.Idempotency == NonIdempotent:
		return false
	case q.mayRun && q.class.Idempotency == IdempotentWithKey && (r.now-q.ranAt >= q.class.IdempotencyWindow-beat ||
		q.class.IdempotencyScope == ScopeZone && n.zone != q.ranZone):
		return false
	case q.class.Consistency == ConsistencySession || q.class.Consistency == ConsistencyBounded:
		if n != q.group.primary && !r.available(q, n) {
			return false
		}
	}
	return r.able(q, n)
}

// able says whether n can take q, however recent its data.
func (r *Balancer) able(q *request, n *node) bool {
	if n.suspect {
		// Danger: what a silent member takes is lost. One trial at a time, after a probe has come back.
		if n.tried() || r.now < n.trialAt || r.cfg.HealthChecks && !n.proven && r.probes >= 1 && !r.leads(n) {
			return false
		}
		if q.class.Idempotency == NonIdempotent && n.claimed <= n.since && !n.refused {
			return false
		}
	}
	if float64(len(n.out)+1) > max(1, n.limit*r.warmth(n)) || r.now < n.restAt || r.pace(n) == 0 {
		return false
	}
	ok, _, _ := r.afford(q, n)
	return ok
}

// afford counts the credit of n and says whether it covers q, what q costs, and the most that can be saved
// up. Danger: one attempt of each of hundreds of instances at once is a flood, and a cold member falls over
// when all together send it too much. Where the share of this instance is under one attempt it is earned
// over time, from a drawn start that spreads them. Harm: a burst at one waits though members are idle.
func (r *Balancer) afford(q *request, n *node) (ok bool, cost, most float64) {
	warm := r.warmth(n)
	rate := n.limit * warm
	if rate >= 1 && warm == 1 {
		return true, 0, 0
	}
	// Danger: cut to what a short class saves up, there is never enough for a long one.
	cost, most = q.class.lat, max(creditMost*q.class.lat, 2*r.longest())
	if warm < 1 {
		// Nothing is known of capacity but what warm members did; each can do one request at a time at
		// least.
		least := coldShare * r.cfg.OverloadMultiple * warm * max(r.peak, 1/r.instances())
		if least < rate {
			cost, rate = q.class.work, least
		}
		most = r.savings(rate, least, cost)
		return r.coldCredit(n, rate, most, cost) && !r.heavy(q, least), cost, most
	}
	most = max(most, cost)
	if n.creditAt == 0 {
		n.credit, n.creditAt = most, r.now
	}
	n.credit = min(most, n.credit+rate*(r.now-n.creditAt).Seconds())
	n.creditAt, n.most = r.now, most
	// Few are held at a time: work worth less than half of the best leaves credit that the best could use.
	reserve := min(most-cost, creditMost*r.bestLat) * reserved * r.lesser(q)
	return n.credit >= cost+reserve, cost, most
}

// warmth is the part of its capacity that a member has at least.
func (r *Balancer) warmth(n *node) float64 {
	from := max(n.readyAt, n.revived)
	if age := r.now - from; from > 0 && age < r.cfg.SlowStartWindow {
		return r.pace(n) *
			(r.cfg.SlowStartFrom + (1-r.cfg.SlowStartFrom)*max(0, age.Seconds())/r.cfg.SlowStartWindow.Seconds())
	}
	return r.pace(n)
}

// ---- Health

// patience is how long a member with these attempts out may answer nothing before it is in doubt. It goes by
// the slowest class among them and by how slow the member is: neither a long report nor a crowd is silence.
func patience(out ...*attempt) time.Duration {
	lat := 0.0
	for _, a := range out {
		lat = max(lat, a.req.class.lat, a.node.slow*a.req.class.LatencyObjective.Seconds())
	}
	return max(stall, seconds(lat*(1.5+5/float64(len(out)))))
}

func (r *Balancer) doubt(n *node, why string) {
	if !n.suspect {
		// Danger: one that fails and recovers by turns takes what it gets. It earns trust back later.
		if r.now-n.since > relapse*trialLast {
			n.backoff = trialFirst / 2
		}
		n.backoff = min(2*n.backoff, trialLast)
		n.suspect, n.since, n.proven, n.away, n.group.doubts = true, r.now, false, false, true
		n.trialAt = r.now + n.backoff
		r.log("member %s: suspect, it %s", n.id, why)
		r.ask(n, 0)
	}
}

// watch looks for members that make no progress, and takes back what is safe to take back.
func (r *Balancer) watch() {
	kept := r.busy[:0]
	for _, n := range r.busy {
		if len(n.out) == 0 {
			continue
		}
		kept = append(kept, n)
		live := r.live(n)
		wait := patience(n.out...)
		if len(live) > 0 {
			wait = patience(live...)
			if at := max(n.progress, live[0].at, r.awake) + wait; r.now > at {
				r.doubt(n, "answers nothing")
			} else {
				r.due = min(r.due, at+1)
			}
		}
		for _, a := range n.out {
			q := a.req
			// Danger: the end of an attempt that was taken back may come after the client has left.
			if a.aborted && !q.over {
				if r.due = min(r.due, q.dieAt-2*beat); r.now >= q.dieAt-2*beat {
					r.finish(q)
				}
			}
			if a.aborted || !n.suspect && !a.lost || q.over || q.class.Idempotency != Idempotent ||
				!r.cfg.Cancellation ||
				r.repeats < 1 {
				continue
			}
			if at := max(a.at, r.awake) + wait; r.now <= at && !a.lost {
				r.due = min(r.due, at+1)
			} else {
				a.aborted = true
				r.do(Cancel{ID: q.id, Attempt: a.leg})
			}
		}
	}
	clear(r.busy[len(kept):])
	r.busy = kept
	if r.now-r.rated >= time.Second {
		r.measure()
	}
}

// live are the attempts whose answers still say something of the member. Danger: one whose connection has
// fallen silent, while the member answers what was sent later, made a busy member look dead. It is given up.
func (r *Balancer) live(n *node) []*attempt {
	live := r.scratch[:0] // each step looks at all that is out
	defer func() { r.scratch = live }()
	for _, a := range n.out {
		if at := max(a.at, r.awake) + lostAfter*patience(a); !a.lost && n.progress > a.at && r.now > at {
			a.lost = true
		} else if !a.lost {
			r.due = min(r.due, at+1)
		}
		if !a.lost {
			live = append(live, a)
		}
	}
	return live
}

// measure counts what warm members do for this instance. Danger: what idle ones do is no capacity. The
// busiest of each group come near it, in the mean: the most of few samples is chance, and all add theirs up.
func (r *Balancer) measure() {
	r.counts++
	weight, sum, groups := max(smooth, 1/r.counts), 0.0, 0.0
	for _, g := range r.order {
		most := 0.0
		for _, n := range g.members {
			n.rate += weight * (n.work/max(1, (r.now-r.rated).Seconds()) - n.rate)
			if n.work = 0; r.warmth(n) == 1 && n.in() && !n.suspect {
				most = max(most, n.rate)
			}
		}
		if most > 0 {
			sum, groups = sum+most, groups+1
		}
	}
	r.forget()
	if groups > 0 {
		r.peak = max(r.peak*(1-drift*5), sum/groups)
	}
	r.rated = r.now
	r.best *= 1 - smooth
}

// ---- Load

// crowd moves the limit of a member by the part of the aim that an attempt took.
func (r *Balancer) crowd(n *node, part float64) {
	few := n.limit < 1
	weight, cut := smooth, min(smooth, smooth/10*max(2, r.instances()))
	if few {
		weight, cut = 3*smooth, giveWay
		r.ease(n, part)
	}
	n.slow += weight * (part - n.slow)
	n.least = min(n.slow, n.least*(1+drift))
	if few && part < stretchMax && n.slow > stretchMax {
		return // one long answer must not cut it several times
	}
	if n.slow > stretchMax || !few && n.slow > max(stretch, stretchBy*n.least) {
		// Danger: with many instances each sees few answers and would go on crowding a member for long.
		n.limit = max(r.leastLimit(), n.limit*(1-cut))
	} else if few && n.credit < n.most/2 {
		n.limit = min(1, n.limit+smooth*r.startLimit())
	} else if !few && float64(len(n.out)+2) > n.limit {
		n.limit += max(1/n.limit, smooth/2)
	}
}
