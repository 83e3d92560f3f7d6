// Package failover models the change of a bank's primary, holds the writes that come meanwhile, and lets them out to the
// successor. It is pure: time is passed in, draws come from a seed, and what is to be done is returned as actions. It never
// picks a server; it says when the decision module is asked.
package failover

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Phase is where the change of a bank's primary stands.
type Phase uint8

// The phases.
const (
	PhaseSteady Phase = iota
	PhaseSuspected
	PhasePrimaryLost
	PhaseSwitchover
	PhaseSuccessorSeen
	PhaseSettled
)

func (p Phase) String() string {
	return []string{"steady", "suspected", "lost", "handing over", "successor seen", "settled"}[p]
}

// Evidence is what moves a bank from one phase to another.
type Evidence uint8

// The kinds of evidence.
const (
	EvidenceNone                Evidence = iota
	EvidenceConnectionRefused            // a connection to the primary was refused, or broke
	EvidenceSilence                      // it answers nothing, against its own pattern
	EvidenceHealthCheckFailed            // nor does it answer a probe
	EvidenceNotPrimary                   // it says that it takes no writes (25006)
	EvidencePrimarySuspect               // the module has come to doubt it
	EvidenceDraining                     // the list says that it drains, or is gone
	EvidenceSuspended                    // operators have taken it out
	EvidenceAnnounced                    // operators have announced a change
	EvidenceAnswered                     // it answers after all
	EvidencePrimaryObserved              // the module believes a primary
	EvidenceQueueReleased                // what was held is out
	EvidenceQuiet                        // nothing has spoken against it for a while
	EvidenceAnnouncementExpired          // the time that operators gave has passed
)

func (e Evidence) String() string {
	return []string{"none", "connection refused", "silence", "probe failed", "says replica", "doubted", "draining", "barred", "announced",
		"answers again", "believed", "all released", "quiet", "time limit"}[e]
}

// Config bounds a Model.
type Config struct {
	Instances int // routers that share the banks
	Classes   map[string]Class

	MaxPending      int           // requests that are held, in all banks together
	MaxPendingBytes int           // of their statements
	MaxPendingTime  time.Duration // the longest that one is held

	DeadlineMargin time.Duration // before a client's deadline its answer has to be on its way
	MaxRetryAfter  time.Duration // the longest return time that is told, 0 = no limit
}

// Class is one whose requests are held.
type Class struct {
	PriorityWeight float64
	Work           time.Duration // what it takes until something is learned
}

// Request is one that asks for a primary.
type Request struct {
	ID       string
	Group    int64
	Class    string
	Client   string        // who is treated fairly; "" is one of its own
	Deadline time.Duration // when its client gives up
	Size     int
}

// Action is something the caller has to do, in order.
type Action struct {
	Kind       ActionKind
	ID         string        // Release, GiveUp
	Endpoint   string        // Probe
	Group      int64         // Withdraw, Changed
	RetryAfter time.Duration // GiveUp: when to come back
	Reason     Reason        // GiveUp
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of actions.
const (
	ActionRelease      ActionKind = iota // hand it to the module
	ActionReject                         // it can't be served in time, or there is no room for it: answer at once
	ActionHealthCheck                    // ask a member for a report
	ActionWithdraw                       // take back from the module what it holds for the bank's primary, and offer it again
	ActionPhaseChanged                   // the phase of a bank is another one
)

// Reason says why a held request was given up.
type Reason uint8

// The reasons.
const (
	ReasonDeadline     Reason = iota // no answer could come in time any more
	ReasonQueueFull                  // over the bound, and the least valuable
	ReasonQueueTimeout               // held for as long as any may be
	reasons
)

func (r Reason) String() string { return []string{"too late", "no room", "too long"}[r] }

// The tuned constants.
const (
	patienceLeast = 60 * time.Millisecond  // silence is no evidence before
	patienceDevs  = 6                      // deviations beyond the mean that an answer may take
	patienceSlack = 2                      // times that
	probeFirst    = 15 * time.Millisecond  // between rounds of probes while something is held, at first,
	probeMost     = 50 * time.Millisecond  // and later: the goal is 60 ms at the median
	probeGrow     = 1.15                   // from round to round
	probePaid     = 20.0                   // rounds of probes that each held request pays for, over all routers;
	probeSlow     = 250 * time.Millisecond // what is not paid for is asked so often,
	probeShare    = 50 * time.Millisecond  // or, where that is longer, this for each router: the banks are asked by all of them
	probeWait     = 400 * time.Millisecond // a probe that is not answered by then is taken for lost
	suspectFor    = 120 * time.Millisecond // a suspicion that nothing lifts becomes a loss
	windowFirst   = 8.0                    // released and not answered at first, over all routers
	windowMost    = 256.0
	settleFor     = time.Second
	changeUsual   = 1500 * time.Millisecond // how long a change takes, until some were seen
	smooth        = 0.2
	markSmooth    = 0.1
	againLeast    = 50 * time.Millisecond
	evidenceKept  = 16 // lines of each bank's history
)

// Model is the state of all banks. Only one goroutine may use it.
type Tracker struct {
	cfg     Config
	rng     *rand.Rand
	banks   map[int64]*bank
	order   []*bank
	nodes   map[string]*member
	held    map[string]*hold
	clients clients
	byName  map[string]*client
	bytes   int
	acts    []Action
	work    map[string]*time.Duration // what a served request of a class takes
	outs    int                       // let out and not answered, in all banks
	usual   time.Duration             // how long a change takes
}

// bank is one group.
type bank struct {
	id       int64
	phase    Phase
	term     uint64
	primary  *member // believed, or doubted
	members  []*member
	since    time.Duration // of the phase
	changed  time.Duration // when the change began
	limit    time.Duration // of an announced change, 0 = none
	settleAt time.Duration

	doubted  bool // by the module, which says when it believes again
	queue    queue
	oldest   time.Duration // none that is held came before
	window   float64
	out      map[string]bool // released and not answered
	nextAsk  time.Duration
	gap      time.Duration
	credit   float64 // rounds of probes that are paid for
	history  []Transition
	released uint64
	givenUp  [reasons]uint64
}

// Line is a step in a bank's history.
type Transition struct {
	At       time.Duration
	From, To Phase
	Evidence Evidence
	Endpoint string
	Term     uint64
}

// member is one db machine.
type member struct {
	id       string
	bank     *bank
	pos      time.Duration // the newest position that it told
	posAt    time.Duration
	out      bool // drains, is gone, or operators have taken it out
	barred   bool
	mean     float64 // of the time that an answer takes, seconds
	dev      float64
	seen     int
	heard    time.Duration // its last answer
	waiting  []attempt     // those that are out, oldest first
	asking   bool          // a probe is out
	askedAt  time.Duration //
	failures int           // connections refused or broken in a row
	lenient  float64       // patience after suspicions that were wrong
	_        [0]func()     // not comparable
}

type attempt struct {
	id string
	at time.Duration
}

// New returns a Model that knows no bank.
func New(cfg Config, seed uint64) *Tracker {
	return &Tracker{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0xc4a)), banks: map[int64]*bank{}, nodes: map[string]*member{}, held: map[string]*hold{},
		byName: map[string]*client{}, work: map[string]*time.Duration{}, usual: changeUsual}
}

// Actions returns what is to be done since the last call.
func (m *Tracker) Actions() []Action {
	acts := m.acts
	m.acts = nil
	return acts
}

// Pending says whether there is anything to do.
func (m *Tracker) HasActions() bool { return len(m.acts) > 0 }

func (m *Tracker) do(a Action) { m.acts = append(m.acts, a) }

func (m *Tracker) bank(id int64) *bank {
	b := m.banks[id]
	if b == nil {
		b = &bank{id: id, out: map[string]bool{}}
		m.banks[id] = b
		m.order = append(m.order, b)
		slices.SortFunc(m.order, func(a, b *bank) int { return cmp.Compare(a.id, b.id) })
	}
	return b
}

// in says whether writes of the bank are held.
func (b *bank) in() bool {
	return b.phase == PhaseSuspected || b.phase == PhasePrimaryLost || b.phase == PhaseSwitchover
}

// move takes a bank to another phase.
func (m *Tracker) move(b *bank, to Phase, why Evidence, node string, now time.Duration) {
	if b.phase == to {
		return
	}
	from := b.phase
	if !b.in() && (to == PhaseSuspected || to == PhasePrimaryLost || to == PhaseSwitchover) {
		if from == PhaseSteady || from == PhaseSettled {
			b.changed = now
		}
		b.gap, b.credit = probeFirst, 0
		b.nextAsk = now + time.Duration(m.rng.Int64N(int64(min(probeSlow, probeShare/10*time.Duration(1+m.cfg.Instances)))))
		m.do(Action{Kind: ActionWithdraw, Group: b.id})
	}
	b.phase, b.since = to, now
	if len(b.history) == evidenceKept {
		b.history = append(b.history[:0], b.history[1:]...)
	}
	b.history = append(b.history, Transition{At: now, From: from, To: to, Evidence: why, Endpoint: node, Term: b.term})
	m.do(Action{Kind: ActionPhaseChanged, Group: b.id})
}

// ---- What is told

// Member is one entry of a list.
type Endpoint struct {
	ID       string
	Group    int64
	Draining bool // it drains
	Removed  bool // it is to be forgotten, once another one leads
}

// Listed notes members of banks. What it does not name stays as it was, or is gone where it is the whole list.
func (m *Tracker) UpdateEndpoints(now time.Duration, members []Endpoint, whole bool) {
	named := map[string]bool{}
	for _, e := range members {
		named[e.ID] = true
		n := m.nodes[e.ID]
		if e.Removed {
			m.gone(n, now)
			continue
		}
		if n != nil && n.bank.id != e.Group {
			m.forget(n)
			n = nil
		}
		b := m.bank(e.Group)
		if n == nil {
			n = &member{id: e.ID, bank: b, lenient: 1}
			m.nodes[e.ID] = n
			b.members = append(b.members, n)
			slices.SortFunc(b.members, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
		}
		if n.out = e.Draining; n.out && b.primary == n && !b.in() {
			m.move(b, PhaseSwitchover, EvidenceDraining, n.id, now)
		}
	}
	if !whole {
		return
	}
	for _, b := range m.order {
		for _, n := range slices.Clone(b.members) {
			if !named[n.id] {
				m.gone(n, now)
			}
		}
	}
}

// gone forgets a member that is not listed any more.
func (m *Tracker) gone(n *member, now time.Duration) {
	switch {
	case n == nil:
	case n.bank.primary != n:
		m.forget(n)
	default:
		if n.out = true; !n.bank.in() {
			m.move(n.bank, PhaseSwitchover, EvidenceDraining, n.id, now)
		}
	}
}

func (m *Tracker) forget(n *member) {
	delete(m.nodes, n.id)
	n.bank.members = slices.DeleteFunc(n.bank.members, func(o *member) bool { return o == n })
	if n.bank.primary == n {
		n.bank.primary = nil
	}
}

// Suspend notes that operators have taken a member out, or let it back in.
func (m *Tracker) Suspend(now time.Duration, node string, out bool) {
	n := m.nodes[node]
	if n == nil {
		return
	}
	if n.barred = out; out && n.bank.primary == n && !n.bank.in() {
		m.move(n.bank, PhaseSwitchover, EvidenceSuspended, n.id, now)
	}
}

// Announce says that operators are about to change a bank's primary: its writes are held from now on, until another one is
// believed or the time has passed. It says whether the bank is known.
func (m *Tracker) Announce(now time.Duration, id int64, within time.Duration) bool {
	b := m.banks[id]
	if b == nil {
		return false
	}
	b.limit = now + within
	if b.phase != PhaseSwitchover {
		m.move(b, PhaseSwitchover, EvidenceAnnounced, name(b.primary), now)
	}
	return true
}

func name(n *member) string {
	if n == nil {
		return ""
	}
	return n.id
}

// Believe notes whom the module takes for a bank's primary.
func (m *Tracker) ObservePrimary(now time.Duration, id int64, node string) {
	b, n := m.bank(id), m.nodes[node]
	if n == nil {
		n = &member{id: node, bank: b, lenient: 1}
		m.nodes[node] = n
		b.members = append(b.members, n)
		slices.SortFunc(b.members, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	}
	first := b.primary == nil && b.phase == PhaseSteady
	fresh := b.primary != n
	if fresh {
		b.term++
	}
	b.doubted = false
	if b.primary = n; first || b.phase == PhaseSteady && !fresh {
		return
	}
	if b.phase == PhaseSwitchover && !fresh && b.limit > now {
		return // an announced change: the old one leads until another does
	}
	n.failures, n.heard = 0, now
	m.seen(b, EvidencePrimaryObserved, now)
}

// seen lets the bank's writes out.
func (m *Tracker) seen(b *bank, why Evidence, now time.Duration) {
	if b.in() && why == EvidencePrimaryObserved {
		m.usual += time.Duration(smooth * float64(now-b.changed-m.usual))
	}
	b.limit = 0
	b.window = max(1, windowFirst/float64(max(1, m.cfg.Instances)))
	m.move(b, PhaseSuccessorSeen, why, name(b.primary), now)
	b.since, b.settleAt = now, now+settleFor
	m.let(b, now)
}

// Doubt notes that the module has come to doubt a bank's primary.
func (m *Tracker) SuspectPrimary(now time.Duration, id int64, node string) {
	b := m.bank(id)
	if b.primary != nil && b.primary.id != node {
		return
	}
	if b.doubted = true; b.phase != PhaseSwitchover {
		m.move(b, PhasePrimaryLost, EvidencePrimarySuspect, node, now)
	}
}

// Hint is what an earlier start knew: the term goes on from there, and the primary is asked first. It may come late.
func (m *Tracker) RestoreTerm(id int64, term uint64, node string) {
	b := m.bank(id)
	if b.primary != nil && b.primary.id != node {
		term++ // it comes late: another one has followed meanwhile
	}
	b.term = max(b.term, term)
	if n := m.nodes[node]; n != nil && n.bank == b && b.primary == nil {
		n.posAt = 1 // checked before it is believed: it only goes first
	}
}

// ---- Attempts and probes

// Sent notes an attempt at a member.
func (m *Tracker) AttemptSent(now time.Duration, node, id string) {
	if n := m.nodes[node]; n != nil && n.bank.primary == n {
		n.waiting = append(n.waiting, attempt{id, now})
	}
}

// How an attempt or a probe ended, as far as a change of primary is concerned.
type AttemptEnd uint8

// The ends.
const (
	EndAnswered     AttemptEnd = iota // it answered
	EndNotPrimary                     // it answered that it takes no writes
	EndUnreachable                    // refused, or broke: nothing is known of what stands behind it
	EndInconclusive                   // taken back, or its time ended: says nothing by itself
	EndRejected                       // turned away
)

// Ended notes the end of an attempt. pos is the position that it told, 0 = none; class and took are those of a request that was served.
func (m *Tracker) AttemptEnded(now time.Duration, node, id string, end AttemptEnd, role Role, pos time.Duration, class string, took time.Duration) {
	n := m.nodes[node]
	if n == nil {
		return
	}
	for i, a := range n.waiting { // they end about in the order of their sends
		if a.id == id {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			break
		}
	}
	b := n.bank
	m.place(n, pos, now)
	if m.outs > 0 && b.out[id] {
		delete(b.out, id)
		m.outs--
		switch end {
		case EndAnswered:
			b.window = min(windowMost, b.window+1)
		case EndRejected:
			b.window = max(1, b.window/2)
		}
	}
	switch end {
	case EndAnswered:
		if took > 0 && class != "" {
			m.learn(n, took)
			w := m.work[class]
			if w == nil {
				first := m.cfg.Classes[class].Work
				w = &first
				m.work[class] = w
			}
			*w += time.Duration(markSmooth * float64(took-*w))
		}
		m.answered(n, now)
		if role == RolePrimary && b.in() && n != b.primary {
			m.ask(n, now) // the module believes a report sooner than an answer
		}
	case EndRejected:
		m.answered(n, now)
	case EndNotPrimary:
		n.heard = now
		if n == b.primary && !b.in() {
			m.move(b, PhaseSwitchover, EvidenceNotPrimary, n.id, now)
		}
	case EndUnreachable:
		m.unreached(n, now)
	}
	m.let(b, now)
}

// Reported notes the end of a probe.
func (m *Tracker) HealthCheckEnded(now time.Duration, node string, answered bool, role Role, pos time.Duration) {
	n := m.nodes[node]
	if n == nil {
		return
	}
	n.asking = false
	if !answered {
		if n == n.bank.primary {
			n.failures++
			if n.bank.phase == PhaseSuspected {
				m.move(n.bank, PhasePrimaryLost, EvidenceHealthCheckFailed, n.id, now)
			}
		}
		return
	}
	m.place(n, pos, now)
	if n == n.bank.primary && role == RoleReplica {
		if n.heard = now; !n.bank.in() || n.bank.phase == PhaseSuspected {
			m.move(n.bank, PhaseSwitchover, EvidenceNotPrimary, n.id, now)
		}
		return
	}
	m.answered(n, now)
}

// Role is what an answer or a report says of its sender.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

func (m *Tracker) place(n *member, pos, now time.Duration) {
	if pos > n.pos {
		n.pos, n.posAt = pos, now
	}
}

// learn keeps a member's own pattern.
func (m *Tracker) learn(n *member, took time.Duration) {
	s := took.Seconds()
	if n.seen++; n.seen == 1 {
		n.mean, n.dev = s, s/2
		return
	}
	d := s - n.mean
	n.mean += markSmooth * d
	n.dev += markSmooth * (max(d, -d) - n.dev)
}

// patience is how long a member with attempts out may say nothing.
func (n *member) patience() time.Duration {
	s := patienceSlack * n.lenient * (n.mean + patienceDevs*n.dev)
	return max(patienceLeast, time.Duration(s*float64(time.Second)))
}

// answered lifts a suspicion of a primary that answers.
func (m *Tracker) answered(n *member, now time.Duration) {
	n.heard, n.failures = now, 0
	b := n.bank
	if n != b.primary || b.phase != PhaseSuspected && (b.phase != PhasePrimaryLost || b.doubted || n.out || n.barred) {
		return
	}
	n.lenient = min(8, n.lenient*1.5) // the pattern was too tight
	m.seen(b, EvidenceAnswered, now)
}

func (m *Tracker) unreached(n *member, now time.Duration) {
	n.failures++
	b := n.bank
	if n != b.primary {
		return
	}
	switch {
	case !b.in():
		m.move(b, PhaseSuspected, EvidenceConnectionRefused, n.id, now)
		m.ask(n, now)
	case b.phase == PhaseSuspected && n.failures > 1:
		m.move(b, PhasePrimaryLost, EvidenceConnectionRefused, n.id, now)
	}
}

// ---- Time

// Tick looks at silence, deadlines and probes, and returns when it wants to be called next, 0 = when something happens.
func (m *Tracker) Tick(now time.Duration) (next time.Duration) {
	due := func(at time.Duration) {
		if next == 0 || at < next {
			next = max(at, now+time.Millisecond)
		}
	}
	for _, b := range m.order {
		n := b.primary
		if n != nil && !b.in() && len(n.waiting) > 0 {
			if at := max(n.heard, n.waiting[0].at) + n.patience(); now >= at {
				m.move(b, PhaseSuspected, EvidenceSilence, n.id, now)
				m.ask(n, now)
			} else {
				due(at)
			}
		}
		switch {
		case b.phase == PhaseSuspected && now-b.since >= suspectFor:
			m.move(b, PhasePrimaryLost, EvidenceSilence, name(n), now)
		case b.phase == PhaseSuspected:
			due(b.since + suspectFor)
		case b.phase == PhaseSwitchover && b.limit > 0 && now >= b.limit:
			if b.limit = 0; n != nil && !n.out && !n.barred && n.failures == 0 {
				m.seen(b, EvidenceAnnouncementExpired, now) // nothing came of it
			} else {
				m.move(b, PhasePrimaryLost, EvidenceAnnouncementExpired, name(n), now)
			}
		case b.phase == PhaseSwitchover && b.limit > 0:
			due(b.limit)
		case b.phase == PhaseSuccessorSeen:
			if len(b.queue) == 0 && len(b.out) == 0 || now >= b.settleAt && len(b.queue) == 0 {
				m.move(b, PhaseSettled, EvidenceQueueReleased, name(n), now)
				due(now + settleFor)
			} else {
				due(min(b.settleAt, now+settleFor/4))
			}
			if now >= b.settleAt {
				m.outs -= len(b.out)
				clear(b.out) // lost count of some: they must not stop the rest
				b.settleAt = now + settleFor
				m.let(b, now)
			}
		case b.phase == PhaseSettled && now-b.since >= settleFor:
			m.move(b, PhaseSteady, EvidenceQuiet, name(n), now)
		case b.phase == PhaseSettled:
			due(b.since + settleFor)
		}
		if b.in() {
			m.look(b, now)
			due(b.nextAsk)
		}
		if m.expire(b, now); len(b.queue) > 0 {
			due(b.queue[0].latest)
			if m.cfg.MaxPendingTime > 0 {
				due(b.oldest + m.cfg.MaxPendingTime)
			}
		}
	}
	return next
}

// look asks members who might be the successor: those with the most log first, and densely while something is held that pays
// for it. Danger: at a rate of its own each of many routers with a write or two would keep the bank busy with reports. Each
// draws its own moments.
func (m *Tracker) look(b *bank, now time.Duration) {
	if now < b.nextAsk {
		return
	}
	gap := b.gap
	if b.paid() {
		b.credit--
	} else {
		gap = max(probeSlow, probeShare*time.Duration(m.cfg.Instances))
	}
	b.gap = min(probeMost, time.Duration(probeGrow*float64(b.gap)))
	b.nextAsk = now + gap*3/4 + time.Duration(m.rng.Int64N(int64(gap/2)))
	for _, n := range m.likely(b) {
		m.ask(n, now)
	}
}

// paid says whether what is held pays for another round of probes.
func (b *bank) paid() bool { return len(b.queue) > 0 && b.credit >= 1 }

// likely are the members that may be asked, the likeliest successor first.
func (m *Tracker) likely(b *bank) []*member {
	var out []*member
	for _, n := range b.members {
		if !n.out && !n.barred {
			out = append(out, n)
		}
	}
	slices.SortStableFunc(out, func(x, y *member) int {
		// An old primary that is lost comes last, whatever its log.
		if old := b.phase != PhaseSuspected; (x == b.primary) != (y == b.primary) {
			if (x == b.primary) == old {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(y.pos, x.pos), cmp.Compare(y.posAt, x.posAt))
	})
	return out
}

func (m *Tracker) ask(n *member, now time.Duration) {
	if n.out || n.barred || n.asking && now-n.askedAt < probeWait {
		return
	}
	n.asking, n.askedAt = true, now
	m.do(Action{Kind: ActionHealthCheck, Endpoint: n.id})
}
