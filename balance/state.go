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

type roleState int

const (
	unknown roleState = iota
	usable
	dirty
)

type group struct {
	id               int64
	members          []*node // sorted by id
	held             []*request
	state            roleState
	primary          *node
	claimAt, dirtyAt Time     // newest evidence for the primary, and since when it is in doubt
	trial            *attempt // the write that is out in the dirty round
	doubts           bool     // a member may be suspect
	asked            bool     // the probes of the first use are out
	lookAt           Time     // the next round of probes for a missing primary
	lookGap          time.Duration
	usedAt, wantedAt Time    // the last request; the last weak read that found no available replica
	shortBy          float64 // worth of bounded reads that found no room,
	shortAt          Time    // when it was counted
	longAt           Time    // the next long read may go then, while shortBy is much
}

type node struct {
	id, zone         string
	group            *group
	state            EndpointState
	drained, leader  bool // it was listed as draining; the list calls it primary
	barred, eager    bool // operators have taken it out; they have let it back in and it was not used since
	readyAt, revived Time // when it started, or answered again after it could not be reached
	pos              Time // it has applied all commits up to here
	lag              time.Duration
	lagAt            Time // when the lag was told
	denied, claimed  Time // newest evidence that it is no primary, and that it is
	out              []*attempt
	limit            float64 // attempts that may be out
	slow, least      float64 // moving mean of time taken / aim, and the least of it, forgotten slowly
	errs             float64 // moving share of failures
	breaks, refusals int     // connections broken, and not come up, since it last served
	away             bool    // it could not be reached again after it had become suspect
	progress         Time    // the last answer
	suspect, refused bool    // it is silent or cannot be reached; the latter
	since, trialAt   Time
	goneAt           Time // when it left
	backoff          time.Duration
	proven, probing  bool // a probe answered since the last trial; one is out
	restAt, probedAt Time // it was full: nothing new before this; the last probe
	easeAt           Time // no weak reads here as primary before this,
	easeBy           time.Duration
	wantedAt         Time    // a read could have gone there, had its data been known to be recent enough
	credit           float64 // work that may be sent at once, where the share of this instance is under one attempt
	most             float64 // what can be saved up of it
	creditAt         Time    // when it was counted, 0 = not yet
	luck             float64 // of a cold one for which less than one request can be saved up: the part of a request that credit must reach
	luckAt           Time    // when it was drawn, 0 = it has been used
	work, rate       float64 // done since the last count, and in a second, moving mean
}

type class struct {
	Class
	lat  float64       // moving mean of the time an attempt takes, seconds
	work float64       // the least of it, forgotten slowly: what a request costs a member
	seen float64       // requests, forgotten slowly
	wait time.Duration // the longest that a client has been ready to wait
}

type request struct {
	id                 string
	class              *class
	group              *group
	key                int64
	need, aimAt, dieAt Time
	at                 Time // when it came
	worth, rank        float64
	tries              []*attempt
	tried              int // before it was handed in again
	missed             []*node
	out                int
	over, ended        bool // answered; given up on
	written            bool // an attempt has reached a member
	mayRun             bool // an attempt may have run, or be running
	ranAt              Time
	ranZone            string
}

// lesser is how far a request ranks below half of the best: 0 = not at all, 1 = it is worth nothing.
func (r *Balancer) lesser(q *request) float64 {
	return max(0, 1-2*q.rank/max(r.best, math.SmallestNonzeroFloat64))
}

// spent is how many attempts a request has used.
func (q *request) spent() int { return len(q.tries) + q.tried }

type attempt struct {
	req            *request
	node           *node
	at             Time
	leg            int
	ended, aborted bool
	lost           bool // its connection is silent, the member is not
	begun          bool // its answer is passed on as it comes
}

// fresh says whether n was recent enough for a bounded read when it last told.
func (r *Balancer) fresh(n *node) bool { return r.bound == 0 || n.lag <= r.bound }

// aged says that the position of n is no longer of use for a bounded read, though n may be recent enough.
func (r *Balancer) aged(n *node) bool { return r.bound > 0 && r.now-n.pos > r.bound }

// needs is the position that a read has to see.
func (r *Balancer) needs(q *request) Time {
	switch q.class.Consistency {
	case ConsistencyBounded:
		return r.now - q.class.MaxStaleness
	case ConsistencyAny:
		return 0
	}
	return q.need
}

// catchUp is how long a report of n says enough: one that was behind the bound needs about the time by which it was, and
// where nobody leads the group all stand still, so asking again gets rarer by itself.
func (r *Balancer) catchUp(n *node) time.Duration {
	return max(probeGap, min(n.lag-r.bound, 2*roundGap))
}

// dear says how little a report of n is likely to be of use to a bounded read: less if it was behind, then if it is far.
func (r *Balancer) dear(n *node) (d int) {
	if !r.fresh(n) {
		d = 2
	}
	if n.zone != r.cfg.Zone {
		d++
	}
	return d
}

// dearer compares members by how dear a report is that is of use to a bounded read, then by whose turn it is.
func (r *Balancer) dearer(a, b *node) int {
	return cmp.Or(cmp.Compare(r.dear(a), r.dear(b)), cmp.Compare(a.probedAt, b.probedAt))
}

// turns is the time over which instances spread their calls for the list. Calls that wait too long fail, and cost its service
// all the same: many that start at once, or lose their watches at once, would keep each other out for good.
//
// Danger: one that waits for longer than the contract lets it go without asking counts as told of what it has not heard.
// However many there are, the first calls and one more each still fall within that time.
func (r *Balancer) turns() time.Duration {
	spread := time.Duration(max(0, r.cfg.Instances-3)) * listTurn
	if r.cfg.PollWithin > 0 {
		spread = min(spread, r.cfg.PollWithin*2/5)
	}
	return spread
}

// unheard is how long to wait with the next call for the list after one that brought none.
//
// Danger: all instances ask again at once and sink the list's service, so one that was turned away doubles the wait, with jitter.
// Danger: what a silent service had to tell counts as told all the same, soon after, and the time in which sends must end
// runs. Who has heard nothing asks again within a part of that time that leaves the call its 2 s, each time: calls that are not
// heard cost nothing.
func (r *Balancer) unheard(k EndpointListKind) time.Duration {
	if gap := min(r.trackGap, r.cfg.DrainGrace/2); k == ListSilent && gap > 0 {
		return gap/8 + time.Duration(r.rng.Int64N(int64(gap)))*7/8
	}
	wait := r.trackGap/2 + time.Duration(r.rng.Int64N(int64(r.trackGap)))
	if wait > unheardMost {
		wait = unheardMost - time.Duration(r.rng.Int64N(int64(unheardMost)*3/7))
	}
	wait -= min(r.now-r.askedAt, wait*3/4) // it runs from the call: what that waited for its turn is part of it
	r.trackGap = min(2*r.trackGap, max(trialLast, 2*r.turns()))
	return wait
}

// unheardMost is the longest wait from a call that brought no list to the next one. Danger: what changed counts as told 6 s after discovery had it
// and could be reached, however the call ended; a call that waits for its turn takes 2 s of that, and its way the rest.
const unheardMost = 3500 * time.Millisecond

// begin notes that an answer is passed on as it comes. How long its peers take over the rest is no sign of the member's load
// or health, and what it still gives must not be taken back: it is not among those that are out any more.
// It says whether that is news.
func (a *attempt) begin(now Time) bool {
	if a.begun {
		return false
	}
	a.begun, a.node.progress = true, now
	a.node.out = slices.DeleteFunc(a.node.out, func(b *attempt) bool { return a == b })
	return true
}

// renew forgets what was held against a member that operators let back in. It was restarted: it is cold, and what it still
// had before will not be answered.
func (n *node) renew(now Time, limit float64) {
	n.revived, n.creditAt, n.limit, n.restAt, n.trialAt = now, 0, limit, 0, 0
	n.suspect, n.refused, n.away, n.probing, n.eager = false, false, false, false, true
	n.errs, n.breaks, n.refusals, n.slow, n.least = 0, 0, 0, stretch/2, stretch/2
	for _, a := range n.out {
		a.lost = true
	}
}

// in says whether it may get anything at all.
func (n *node) in() bool { return n.state == EndpointReady && !n.barred }

// tried says whether an attempt is out whose answer would say something of the member.
func (n *node) tried() bool {
	return slices.ContainsFunc(n.out, func(a *attempt) bool { return !a.lost })
}

type commit struct {
	at    Time
	group *group
}

type bucket struct {
	rate, most, level float64
	at                Time
}

// Router decides for one instance.
type Balancer struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	acts     []Action
	nodes    map[string]*node
	groups   map[int64]*group
	order    []*group // sorted by id
	busy     []*node  // members with attempts out
	scratch  []*attempt
	classes  map[string]*class
	tenants  map[string]*bucket
	reqs     map[string]*request
	sessions map[int64]commit
	rated    Time
	counts   float64
	peak     float64 // work a second that the busiest warm members do for this instance, forgotten slowly
	repeats  float64
	probes   float64       // probes that requests have earned
	bound    time.Duration // the tightest bound of a bounded class, 0 = none
	session  bool
	tracked  bool
	trackAt  Time
	askedAt  Time // when the call that is out was made
	trackGap time.Duration
	wakeAt   Time               // the next timer
	due      Time               // when something is due next
	best     float64            // the highest rank seen, forgotten slowly,
	bestLat  float64            // and what such a request took in the mean
	awake    Time               // it did not run for a while before this
	barred   map[string]bool    // the members that operators have taken out, listed or not
	paced    map[string]float64 // the part of their power for which a zone's members may be used, where it is not all
}

// How long a member that is gone is remembered, and where removal is soft. One that has died is listed as gone until it is
// back, and what was known of it still holds then.
const (
	goneFor  = time.Minute
	goneSoft = 10 * time.Minute
)

// never is later than any instant.
const never = Time(math.MaxInt64)

func (r *Balancer) instances() float64 { return float64(r.cfg.Instances) }

// startLimit shares out the first limit. A share under one attempt must fit uneven arrivals: it starts wider.
func (r *Balancer) startLimit() float64 {
	return max(firstLimit/r.instances(), min(1, firstShare/r.instances()))
}

func (r *Balancer) leastLimit() float64 { return min(1, leastAll/r.instances()) }

// pace is the part of its power that a member may be used for: less than 1 while its zone's return is paced.
func (r *Balancer) pace(n *node) float64 {
	if part, ok := r.paced[n.zone]; ok {
		return part
	}
	return 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// MostTries is how many attempts a request may have, 0 = any number.
func (r *Balancer) MaxAttempts() int { return r.cfg.MaxAttempts }

func (r *Balancer) do(a Action) { r.acts = append(r.acts, a) }

func (r *Balancer) log(format string, args ...any) { r.do(LogLine{Text: fmt.Sprintf(format, args...)}) }

// lead takes n for its group's primary, and says whether that is news.
func (r *Balancer) lead(n *node) bool {
	g := n.group
	if g.primary == n && g.state == usable {
		return false
	}
	// One that was lost and says again that it leads is tried at once: its group takes no writes elsewhere.
	g.primary, g.state, n.trialAt = n, usable, min(n.trialAt, r.now)
	r.log("group %d: primary is %s", g.id, n.id)
	r.do(PrimaryUpdate{Group: g.id, Endpoint: n.id, Confirmed: true})
	return true
}

func byID(a, b *node) int { return cmp.Compare(a.id, b.id) }

// longest is the mean time of an attempt of the slowest class.
func (r *Balancer) longest() float64 {
	most := 0.0
	for _, c := range r.classes {
		most = max(most, c.lat)
	}
	return most
}

// long says that reads of a class hold up the log for longer than other reads can bear.
//
// Danger: where no class is bounded no read is hurt by a log that is held up. Taken for a bound of 0, all reads went to the last
// replica of each group. Those that take about as long as bounded reads hold up the log no longer than these do anywhere. Kept apart
// all the same, they and the bounded reads there crowded some replicas while others idled.
func (r *Balancer) long(c *class) bool {
	if c.Consistency != ConsistencyAny || r.bound == 0 || c.lat <= longShare*r.bound.Seconds() {
		return false
	}
	for _, k := range r.cfg.Classes {
		if k.Consistency == ConsistencyBounded && c.work < longTimes*r.classes[k.Name].work {
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
func (r *Balancer) last(g *group, among []*node) []*node {
	takers := r.takers(g)
	own := slices.DeleteFunc(slices.Clone(among), func(n *node) bool { return !slices.Contains(takers, n) })
	if len(own) == 0 {
		own = append(own, slices.MaxFunc(among, byID))
	}
	return own
}

// takers are the replicas of a group that take its long reads.
func (r *Balancer) takers(g *group) (all []*node) {
	for _, n := range g.members {
		if n.in() && n != g.primary {
			all = append(all, n)
		}
	}
	most := 1
	if r.startLimit() < 1 {
		most = max(1, int(math.Round(r.longPart()*float64(len(all)))))
	}
	return all[max(0, len(all)-most):]
}

// longTimes is what a read costs beside a bounded one, at least, to be long; of so many of its times a replica is
// left to them for all but one; and one that is behind by more than so many such reads would not be of use to them soon.
const longTimes = 4

// yields says that a long read leaves n to bounded reads of the group that were refused lately.
//
// Danger: while a replica holds a long read it applies nothing, so it is lost to all bounded reads of its group. They are worth
// many times as much for their work, and where other members are lost, crowded or cold they are refused for want of it. What
// all instances have refused is about what this one has, times their number; a long read goes where that is worth less than
// it in the time it takes, and of all instances one goes in longTimes of it, since nothing else shows that there is room again.
// Danger: an instance whose share is under one attempt sees a refusal of a group now and then, and holds back a few of very many: that
// frees no replica. There long reads have a part of the group of their own (takers).
// Danger: where the log is applied too slowly whoever reads, as on a slow machine, holding long reads back gains nothing.
func (r *Balancer) yields(q *request, n *node) bool {
	g, c := q.group, q.class
	if n == g.primary || !r.long(c) || r.startLimit() < 1 {
		return false
	}
	pace := r.instances() * longTimes * c.work
	if g.longAt == 0 { // drawn, so that instances do not all send their first
		g.longAt = r.now + seconds(pace*r.rng.Float64())
	}
	lost := g.short(r.now) / inUse.Seconds() * r.instances() * c.work
	if lost > q.worth && r.now < g.longAt && n.lag <= r.bound+seconds(longTimes*c.work) {
		return true
	}
	g.longAt = r.now + seconds(pace*(0.5+r.rng.Float64()))
	return false
}

// short is the worth of bounded reads that found no room beside a primary, forgotten over inUse.
func (g *group) short(now Time) float64 {
	return g.shortBy * math.Exp(-(now-g.shortAt).Seconds()/inUse.Seconds())
}

// turned notes a request that is given up.
func (r *Balancer) turned(q *request) {
	if g := q.group; !q.written && q.class.Consistency == ConsistencyBounded && !g.lost() {
		g.shortBy, g.shortAt = g.short(r.now)+q.worth, r.now
	}
}

// What all instances together may send a cold member in the contract's time is a budget of N requests, and beyond it twice the root
// of N and two more are chance. least is what each may send a second, of the part of the budget that is used (coldShare).

// savedShare is the part of what the budget leaves that may be saved up: the rest is room for unequal shares.
const savedShare = 0.75

// savings is how much work an instance may have saved up for a cold member, of requests of the given cost.
//
// Danger: what each of many saves up while little is asked for adds up, and all of it comes at once when reads move there. Where
// the share of one instance is a few requests half of what it gets in the contract's time is little enough. Where it is less, all may
// have saved no more than the budget leaves beside what they get meanwhile. That can be less than one request for each: then
// luck says who may send one (coldCredit).
func (r *Balancer) savings(rate, least, cost float64) float64 {
	window := r.cfg.OverloadWindow.Seconds()
	if half := rate * window / 2; half >= cost {
		return half
	}
	n := least / coldShare * r.instances() * window / cost
	left := n - rate*r.instances()*window/cost
	return cost * min(2, savedShare*left/r.instances())
}

// coldCredit counts the credit of a cold member and says whether it covers a request. Of one that costs more than can be saved up so
// large a part is sent as the credit is of the cost: who sends is drawn anew in the time that the savings take to come.
func (r *Balancer) coldCredit(n *node, rate, most, cost float64) bool {
	if n.creditAt == 0 { // drawn, so that instances do not all send at once
		n.credit, n.creditAt, n.luckAt = most*r.rng.Float64(), r.now, 0
	}
	n.credit = min(most, n.credit+rate*(r.now-n.creditAt).Seconds())
	n.creditAt, n.most = r.now, most
	if most >= cost {
		return n.credit >= cost
	}
	if n.luckAt == 0 || r.now-n.luckAt >= seconds(most/rate) {
		n.luck, n.luckAt = r.rng.Float64(), r.now
	}
	return n.credit > n.luck*cost
}

// heavy says that a request alone would take more than half of the budget, and is more than the usual work. Danger: no share of a
// budget that is smaller than one such request keeps within it.
func (r *Balancer) heavy(q *request, least float64) bool {
	work, seen := 0.0, 0.0
	for _, c := range r.cfg.Classes { // in their order: sums in another differ
		k := r.classes[c.Name]
		work, seen = work+k.seen*k.work, seen+k.seen
	}
	return q.class.work > max(least*r.instances()*r.cfg.OverloadWindow.Seconds()/2, work/max(1, seen))
}

// longPart is the part of the work asked of this instance that long reads are.
func (r *Balancer) longPart() float64 {
	long, all := 0.0, 0.0
	for _, c := range r.cfg.Classes { // in their order: sums in another differ
		k := r.classes[c.Name]
		if all += k.seen * k.work; r.long(k) {
			long += k.seen * k.work
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
func (r *Balancer) ease(n *node, part float64) {
	if part < 1 {
		n.easeBy /= 2
		return
	}
	n.easeBy = min(max(trialFirst, 2*n.easeBy), trialLast)
	n.easeAt = r.now + n.easeBy/2 + time.Duration(r.rng.Int64N(int64(n.easeBy)))
}

// lost says that a group's primary is not known, or not to be reached.
func (g *group) lost() bool { return g.state != usable || g.primary.suspect }

// look asks round for the primary of g, each member once a round and the one not asked for longest first. Danger: in a fixed
// order, out of what a small instance earns, only the first is ever asked. A round goes on as probes are earned; the next
// one waits, longer each time.
func (r *Balancer) look(g *group) {
	turn := slices.Clone(g.members)
	slices.SortStableFunc(turn, func(a, b *node) int { return cmp.Compare(a.probedAt, b.probedAt) })
	for _, n := range turn {
		if !n.in() || n.suspect || n.probedAt >= g.lookAt {
			continue
		}
		if r.probes < 1 {
			return
		}
		r.ask(n, probeGap)
	}
	g.lookGap = min(roundGap, max(probeGap, 2*g.lookGap))
	g.lookAt = r.now + g.lookGap/2 + time.Duration(r.rng.Int64N(int64(g.lookGap)))
}

// waver tells that a group's primary is in doubt.
func (r *Balancer) waver(g *group, why string) {
	r.log("group %d: primary %s in doubt: %s", g.id, g.primary.id, why)
	r.do(PrimaryUpdate{Group: g.id, Endpoint: g.primary.id, Reason: why})
}

func (r *Balancer) group(id int64) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id}
		r.groups[id] = g
		r.order = append(r.order, g)
		slices.SortFunc(r.order, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	}
	return g
}

// forget drops what would add up for ever: members that are gone, groups without members, and commits that all members
// of their group are known to have. One that has only left the list may come back where removal is soft.
func (r *Balancer) forget() {
	for _, c := range r.classes {
		c.seen *= 1 - drift
		// Danger: after a flood little of a class is sent, since it takes so long, and nothing shows that it no longer does.
		if r.startLimit() < 1 {
			c.lat -= smooth * (c.lat - c.work)
		}
	}
	keep := goneFor
	if r.cfg.SoftRemoval {
		keep = goneSoft
	}
	for _, g := range r.order {
		g.members = slices.DeleteFunc(g.members, func(n *node) bool {
			old := n.state == EndpointRemoved && len(n.out) == 0 && r.now-n.goneAt >= keep
			if old {
				delete(r.nodes, n.id)
			}
			return old
		})
	}
	r.order = slices.DeleteFunc(r.order, func(g *group) bool {
		empty := len(g.members) == 0 && len(g.held) == 0
		if empty {
			delete(r.groups, g.id)
		}
		return empty
	})
	for key, c := range r.sessions {
		behind := func(n *node) bool { return n.state == EndpointReady && n.pos < c.at }
		if !slices.ContainsFunc(c.group.members, behind) {
			delete(r.sessions, key)
		}
	}
}

// Sight is what an instance makes of a member, for those who look on.
type EndpointView struct {
	Endpoint, Zone   string
	Group            int64
	Primary          bool    // it is believed to be its group's
	Available        bool    // it can be sent something now
	InService        bool    // it is ready and not taken out, whatever is thought of it at this moment
	ConcurrencyLimit float64 // attempts that may be out, for this instance
	WorkRate         float64 // work done for this instance, seconds a second, moving mean
	CapacityShare    float64 // the part of its power that it may be used for now
}

// Sights calls f with each member that is listed, in the order of groups and ids.
func (r *Balancer) EndpointViews(f func(EndpointView)) {
	for _, g := range r.order {
		for _, n := range g.members {
			if n.state != EndpointRemoved {
				f(EndpointView{n.id, n.zone, g.id, g.primary == n && g.state == usable, n.in() && !n.suspect, n.in(), n.limit, n.rate, r.warmth(n)})
			}
		}
	}
}

// Does is the work that a member does for this instance, seconds a second, moving mean, and whether it is warm.
func (r *Balancer) EndpointWorkRate(name string) (rate float64, warm bool) {
	if n := r.nodes[name]; n != nil {
		return n.rate, r.warmth(n) == 1
	}
	return 0, false
}

// Cost is what requests of a class cost a member, seconds: the least seen, forgotten slowly, and the moving mean with waiting.
func (r *Balancer) ClassCost(name string) (work, mean float64) {
	if c := r.classes[name]; c != nil {
		return c.work, c.lat
	}
	return 0, 0
}
