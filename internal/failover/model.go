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
	reasonCount
)

func (r Reason) String() string { return []string{"too late", "no room", "too long"}[r] }

// The tuned constants.
const (
	minSilenceTimeout                  = 60 * time.Millisecond  // silence is no evidence before
	silenceTimeoutDeviations           = 6                      // deviations beyond the mean that an answer may take
	silenceTimeoutFactor               = 2                      // times that
	firstHealthCheckInterval           = 15 * time.Millisecond  // between rounds of probes while something is held, at first,
	maxHealthCheckInterval             = 50 * time.Millisecond  // and later: the goal is 60 ms at the median
	healthCheckIntervalGrowth          = 1.15                   // from round to round
	healthCheckRoundsPerRequest        = 20.0                   // rounds of probes that each held request pays for, over all routers;
	unpaidHealthCheckInterval          = 250 * time.Millisecond // what is not paid for is asked so often,
	unpaidHealthCheckIntervalPerRouter = 50 * time.Millisecond  // or, where that is longer, this for each router: the banks are asked by all of them
	healthCheckTimeout                 = 400 * time.Millisecond // a probe that is not answered by then is taken for lost
	suspicionTime                      = 120 * time.Millisecond // a suspicion that nothing lifts becomes a loss
	initialReleaseLimit                = 8.0                    // released and not answered at first, over all routers
	maxReleaseLimit                    = 256.0
	settleTime                         = time.Second
	defaultFailoverDuration            = 1500 * time.Millisecond // how long a change takes, until some were seen
	failoverDurationSmoothing          = 0.2
	responseTimeSmoothing              = 0.1
	minRetryAfter                      = 50 * time.Millisecond
	maxTransitionHistory               = 16 // lines of each bank's history
)

// Model is the state of all banks. Only one goroutine may use it.
type Tracker struct {
	cfg                   Config
	rng                   *rand.Rand
	groups                map[int64]*replicaGroup
	orderedGroups         []*replicaGroup
	endpoints             map[string]*trackedEndpoint
	pending               map[string]*pendingRequest
	clientQueues          clientHeap
	clientQueuesByName    map[string]*clientQueue
	pendingBytes          int
	actions               []Action
	expectedWork          map[string]*time.Duration // what a served request of a class takes
	releasedInFlight      int                       // let out and not answered, in all banks
	usualFailoverDuration time.Duration             // how long a change takes
}

// bank is one group.
type replicaGroup struct {
	id              int64
	phase           Phase
	term            uint64
	primary         *trackedEndpoint // believed, or doubted
	endpoints       []*trackedEndpoint
	phaseSince      time.Duration // of the phase
	failoverSince   time.Duration // when the change began
	announcedUntil  time.Duration // of an announced change, 0 = none
	releaseReviewAt time.Duration

	primarySuspect       bool // by the module, which says when it believes again
	pending              deadlineHeap
	oldestPending        time.Duration // none that is held came before
	releaseLimit         float64
	released             map[string]bool // released and not answered
	nextHealthCheckRound time.Duration
	healthCheckInterval  time.Duration
	healthCheckCredit    float64 // rounds of probes that are paid for
	history              []Transition
	releasedTotal        uint64
	rejectedTotal        [reasonCount]uint64
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
type trackedEndpoint struct {
	id                    string
	group                 *replicaGroup
	position              time.Duration // the newest position that it told
	positionAt            time.Duration
	draining              bool // drains, is gone, or operators have taken it out
	suspended             bool
	responseTimeMean      float64 // of the time that an answer takes, seconds
	responseTimeDeviation float64
	responseTimeSamples   int
	lastAnswerAt          time.Duration // its last answer
	attemptsInFlight      []attempt     // those that are out, oldest first
	healthCheckInFlight   bool          // a probe is out
	healthCheckSentAt     time.Duration //
	connectFailures       int           // connections refused or broken in a row
	leniency              float64       // patience after suspicions that were wrong
	_                     [0]func()     // not comparable
}

type attempt struct {
	requestID string
	sentAt    time.Duration
}

// New returns a Model that knows no bank.
func New(cfg Config, seed uint64) *Tracker {
	return &Tracker{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0xc4a)), groups: map[int64]*replicaGroup{}, endpoints: map[string]*trackedEndpoint{}, pending: map[string]*pendingRequest{},
		clientQueuesByName: map[string]*clientQueue{}, expectedWork: map[string]*time.Duration{}, usualFailoverDuration: defaultFailoverDuration}
}

// Actions returns what is to be done since the last call.
func (tracker *Tracker) Actions() []Action {
	acts := tracker.actions
	tracker.actions = nil
	return acts
}

// Pending says whether there is anything to do.
func (tracker *Tracker) HasActions() bool { return len(tracker.actions) > 0 }

func (tracker *Tracker) emit(a Action) { tracker.actions = append(tracker.actions, a) }

func (tracker *Tracker) groupFor(id int64) *replicaGroup {
	group := tracker.groups[id]
	if group == nil {
		group = &replicaGroup{id: id, released: map[string]bool{}}
		tracker.groups[id] = group
		tracker.orderedGroups = append(tracker.orderedGroups, group)
		slices.SortFunc(tracker.orderedGroups, func(a, group *replicaGroup) int { return cmp.Compare(a.id, group.id) })
	}
	return group
}

// in says whether writes of the bank are held.
func (group *replicaGroup) queuesWrites() bool {
	return group.phase == PhaseSuspected || group.phase == PhasePrimaryLost || group.phase == PhaseSwitchover
}

// move takes a bank to another phase.
func (tracker *Tracker) transition(group *replicaGroup, to Phase, why Evidence, node string, now time.Duration) {
	if group.phase == to {
		return
	}
	from := group.phase
	if !group.queuesWrites() && (to == PhaseSuspected || to == PhasePrimaryLost || to == PhaseSwitchover) {
		if from == PhaseSteady || from == PhaseSettled {
			group.failoverSince = now
		}
		group.healthCheckInterval, group.healthCheckCredit = firstHealthCheckInterval, 0
		group.nextHealthCheckRound = now + time.Duration(tracker.rng.Int64N(int64(min(unpaidHealthCheckInterval, unpaidHealthCheckIntervalPerRouter/10*time.Duration(1+tracker.cfg.Instances)))))
		tracker.emit(Action{Kind: ActionWithdraw, Group: group.id})
	}
	group.phase, group.phaseSince = to, now
	if len(group.history) == maxTransitionHistory {
		group.history = append(group.history[:0], group.history[1:]...)
	}
	group.history = append(group.history, Transition{At: now, From: from, To: to, Evidence: why, Endpoint: node, Term: group.term})
	tracker.emit(Action{Kind: ActionPhaseChanged, Group: group.id})
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
func (tracker *Tracker) UpdateEndpoints(now time.Duration, members []Endpoint, whole bool) {
	named := map[string]bool{}
	for _, e := range members {
		named[e.ID] = true
		endpoint := tracker.endpoints[e.ID]
		if e.Removed {
			tracker.endpointRemoved(endpoint, now)
			continue
		}
		if endpoint != nil && endpoint.group.id != e.Group {
			tracker.forgetEndpoint(endpoint)
			endpoint = nil
		}
		group := tracker.groupFor(e.Group)
		if endpoint == nil {
			endpoint = &trackedEndpoint{id: e.ID, group: group, leniency: 1}
			tracker.endpoints[e.ID] = endpoint
			group.endpoints = append(group.endpoints, endpoint)
			slices.SortFunc(group.endpoints, func(a, b *trackedEndpoint) int { return cmp.Compare(a.id, b.id) })
		}
		if endpoint.draining = e.Draining; endpoint.draining && group.primary == endpoint && !group.queuesWrites() {
			tracker.transition(group, PhaseSwitchover, EvidenceDraining, endpoint.id, now)
		}
	}
	if !whole {
		return
	}
	for _, group := range tracker.orderedGroups {
		for _, endpoint := range slices.Clone(group.endpoints) {
			if !named[endpoint.id] {
				tracker.endpointRemoved(endpoint, now)
			}
		}
	}
}

// gone forgets a member that is not listed any more.
func (tracker *Tracker) endpointRemoved(endpoint *trackedEndpoint, now time.Duration) {
	switch {
	case endpoint == nil:
	case endpoint.group.primary != endpoint:
		tracker.forgetEndpoint(endpoint)
	default:
		if endpoint.draining = true; !endpoint.group.queuesWrites() {
			tracker.transition(endpoint.group, PhaseSwitchover, EvidenceDraining, endpoint.id, now)
		}
	}
}

func (tracker *Tracker) forgetEndpoint(endpoint *trackedEndpoint) {
	delete(tracker.endpoints, endpoint.id)
	endpoint.group.endpoints = slices.DeleteFunc(endpoint.group.endpoints, func(o *trackedEndpoint) bool { return o == endpoint })
	if endpoint.group.primary == endpoint {
		endpoint.group.primary = nil
	}
}

// Suspend notes that operators have taken a member out, or let it back in.
func (tracker *Tracker) Suspend(now time.Duration, node string, out bool) {
	endpoint := tracker.endpoints[node]
	if endpoint == nil {
		return
	}
	if endpoint.suspended = out; out && endpoint.group.primary == endpoint && !endpoint.group.queuesWrites() {
		tracker.transition(endpoint.group, PhaseSwitchover, EvidenceSuspended, endpoint.id, now)
	}
}

// Announce says that operators are about to change a bank's primary: its writes are held from now on, until another one is
// believed or the time has passed. It says whether the bank is known.
func (tracker *Tracker) Announce(now time.Duration, id int64, within time.Duration) bool {
	group := tracker.groups[id]
	if group == nil {
		return false
	}
	group.announcedUntil = now + within
	if group.phase != PhaseSwitchover {
		tracker.transition(group, PhaseSwitchover, EvidenceAnnounced, endpointID(group.primary), now)
	}
	return true
}

func endpointID(endpoint *trackedEndpoint) string {
	if endpoint == nil {
		return ""
	}
	return endpoint.id
}

// Believe notes whom the module takes for a bank's primary.
func (tracker *Tracker) ObservePrimary(now time.Duration, groupID int64, id string) {
	group, endpoint := tracker.groupFor(groupID), tracker.endpoints[id]
	if endpoint == nil {
		endpoint = &trackedEndpoint{id: id, group: group, leniency: 1}
		tracker.endpoints[id] = endpoint
		group.endpoints = append(group.endpoints, endpoint)
		slices.SortFunc(group.endpoints, func(a, b *trackedEndpoint) int { return cmp.Compare(a.id, b.id) })
	}
	first := group.primary == nil && group.phase == PhaseSteady
	fresh := group.primary != endpoint
	if fresh {
		group.term++
	}
	group.primarySuspect = false
	if group.primary = endpoint; first || group.phase == PhaseSteady && !fresh {
		return
	}
	if group.phase == PhaseSwitchover && !fresh && group.announcedUntil > now {
		return // an announced change: the old one leads until another does
	}
	endpoint.connectFailures, endpoint.lastAnswerAt = 0, now
	tracker.startRelease(group, EvidencePrimaryObserved, now)
}

// seen lets the bank's writes out.
func (tracker *Tracker) startRelease(group *replicaGroup, why Evidence, now time.Duration) {
	if group.queuesWrites() && why == EvidencePrimaryObserved {
		tracker.usualFailoverDuration += time.Duration(failoverDurationSmoothing * float64(now-group.failoverSince-tracker.usualFailoverDuration))
	}
	group.announcedUntil = 0
	group.releaseLimit = max(1, initialReleaseLimit/float64(max(1, tracker.cfg.Instances)))
	tracker.transition(group, PhaseSuccessorSeen, why, endpointID(group.primary), now)
	group.phaseSince, group.releaseReviewAt = now, now+settleTime
	tracker.releasePending(group, now)
}

// Doubt notes that the module has come to doubt a bank's primary.
func (tracker *Tracker) SuspectPrimary(now time.Duration, groupID int64, endpointID string) {
	group := tracker.groupFor(groupID)
	if group.primary != nil && group.primary.id != endpointID {
		return
	}
	if group.primarySuspect = true; group.phase != PhaseSwitchover {
		tracker.transition(group, PhasePrimaryLost, EvidencePrimarySuspect, endpointID, now)
	}
}

// Hint is what an earlier start knew: the term goes on from there, and the primary is asked first. It may come late.
func (tracker *Tracker) RestoreTerm(id int64, term uint64, node string) {
	group := tracker.groupFor(id)
	if group.primary != nil && group.primary.id != node {
		term++ // it comes late: another one has followed meanwhile
	}
	group.term = max(group.term, term)
	if endpoint := tracker.endpoints[node]; endpoint != nil && endpoint.group == group && group.primary == nil {
		endpoint.positionAt = 1 // checked before it is believed: it only goes first
	}
}

// ---- Attempts and probes

// Sent notes an attempt at a member.
func (tracker *Tracker) AttemptSent(now time.Duration, node, id string) {
	if endpoint := tracker.endpoints[node]; endpoint != nil && endpoint.group.primary == endpoint {
		endpoint.attemptsInFlight = append(endpoint.attemptsInFlight, attempt{id, now})
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
func (tracker *Tracker) AttemptEnded(now time.Duration, node, id string, end AttemptEnd, role Role, pos time.Duration, class string, took time.Duration) {
	endpoint := tracker.endpoints[node]
	if endpoint == nil {
		return
	}
	for i, a := range endpoint.attemptsInFlight { // they end about in the order of their sends
		if a.requestID == id {
			endpoint.attemptsInFlight = append(endpoint.attemptsInFlight[:i], endpoint.attemptsInFlight[i+1:]...)
			break
		}
	}
	group := endpoint.group
	tracker.recordPosition(endpoint, pos, now)
	if tracker.releasedInFlight > 0 && group.released[id] {
		delete(group.released, id)
		tracker.releasedInFlight--
		switch end {
		case EndAnswered:
			group.releaseLimit = min(maxReleaseLimit, group.releaseLimit+1)
		case EndRejected:
			group.releaseLimit = max(1, group.releaseLimit/2)
		}
	}
	switch end {
	case EndAnswered:
		if took > 0 && class != "" {
			tracker.recordResponseTime(endpoint, took)
			w := tracker.expectedWork[class]
			if w == nil {
				first := tracker.cfg.Classes[class].Work
				w = &first
				tracker.expectedWork[class] = w
			}
			*w += time.Duration(responseTimeSmoothing * float64(took-*w))
		}
		tracker.endpointAnswered(endpoint, now)
		if role == RolePrimary && group.queuesWrites() && endpoint != group.primary {
			tracker.sendHealthCheck(endpoint, now) // the module believes a report sooner than an answer
		}
	case EndRejected:
		tracker.endpointAnswered(endpoint, now)
	case EndNotPrimary:
		endpoint.lastAnswerAt = now
		if endpoint == group.primary && !group.queuesWrites() {
			tracker.transition(group, PhaseSwitchover, EvidenceNotPrimary, endpoint.id, now)
		}
	case EndUnreachable:
		tracker.endpointUnreachable(endpoint, now)
	}
	tracker.releasePending(group, now)
}

// Reported notes the end of a probe.
func (tracker *Tracker) HealthCheckEnded(now time.Duration, node string, answered bool, role Role, pos time.Duration) {
	endpoint := tracker.endpoints[node]
	if endpoint == nil {
		return
	}
	endpoint.healthCheckInFlight = false
	if !answered {
		if endpoint == endpoint.group.primary {
			endpoint.connectFailures++
			if endpoint.group.phase == PhaseSuspected {
				tracker.transition(endpoint.group, PhasePrimaryLost, EvidenceHealthCheckFailed, endpoint.id, now)
			}
		}
		return
	}
	tracker.recordPosition(endpoint, pos, now)
	if endpoint == endpoint.group.primary && role == RoleReplica {
		if endpoint.lastAnswerAt = now; !endpoint.group.queuesWrites() || endpoint.group.phase == PhaseSuspected {
			tracker.transition(endpoint.group, PhaseSwitchover, EvidenceNotPrimary, endpoint.id, now)
		}
		return
	}
	tracker.endpointAnswered(endpoint, now)
}

// Role is what an answer or a report says of its sender.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

func (tracker *Tracker) recordPosition(endpoint *trackedEndpoint, pos, now time.Duration) {
	if pos > endpoint.position {
		endpoint.position, endpoint.positionAt = pos, now
	}
}

// learn keeps a member's own pattern.
func (tracker *Tracker) recordResponseTime(endpoint *trackedEndpoint, took time.Duration) {
	s := took.Seconds()
	if endpoint.responseTimeSamples++; endpoint.responseTimeSamples == 1 {
		endpoint.responseTimeMean, endpoint.responseTimeDeviation = s, s/2
		return
	}
	d := s - endpoint.responseTimeMean
	endpoint.responseTimeMean += responseTimeSmoothing * d
	endpoint.responseTimeDeviation += responseTimeSmoothing * (max(d, -d) - endpoint.responseTimeDeviation)
}

// patience is how long a member with attempts out may say nothing.
func (endpoint *trackedEndpoint) silenceTimeout() time.Duration {
	s := silenceTimeoutFactor * endpoint.leniency * (endpoint.responseTimeMean + silenceTimeoutDeviations*endpoint.responseTimeDeviation)
	return max(minSilenceTimeout, time.Duration(s*float64(time.Second)))
}

// answered lifts a suspicion of a primary that answers.
func (tracker *Tracker) endpointAnswered(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.lastAnswerAt, endpoint.connectFailures = now, 0
	group := endpoint.group
	if endpoint != group.primary || group.phase != PhaseSuspected && (group.phase != PhasePrimaryLost || group.primarySuspect || endpoint.draining || endpoint.suspended) {
		return
	}
	endpoint.leniency = min(8, endpoint.leniency*1.5) // the pattern was too tight
	tracker.startRelease(group, EvidenceAnswered, now)
}

func (tracker *Tracker) endpointUnreachable(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.connectFailures++
	group := endpoint.group
	if endpoint != group.primary {
		return
	}
	switch {
	case !group.queuesWrites():
		tracker.transition(group, PhaseSuspected, EvidenceConnectionRefused, endpoint.id, now)
		tracker.sendHealthCheck(endpoint, now)
	case group.phase == PhaseSuspected && endpoint.connectFailures > 1:
		tracker.transition(group, PhasePrimaryLost, EvidenceConnectionRefused, endpoint.id, now)
	}
}

// ---- Time

// Tick looks at silence, deadlines and probes, and returns when it wants to be called next, 0 = when something happens.
func (tracker *Tracker) Tick(now time.Duration) (next time.Duration) {
	due := func(at time.Duration) {
		if next == 0 || at < next {
			next = max(at, now+time.Millisecond)
		}
	}
	for _, group := range tracker.orderedGroups {
		endpoint := group.primary
		if endpoint != nil && !group.queuesWrites() && len(endpoint.attemptsInFlight) > 0 {
			if at := max(endpoint.lastAnswerAt, endpoint.attemptsInFlight[0].sentAt) + endpoint.silenceTimeout(); now >= at {
				tracker.transition(group, PhaseSuspected, EvidenceSilence, endpoint.id, now)
				tracker.sendHealthCheck(endpoint, now)
			} else {
				due(at)
			}
		}
		switch {
		case group.phase == PhaseSuspected && now-group.phaseSince >= suspicionTime:
			tracker.transition(group, PhasePrimaryLost, EvidenceSilence, endpointID(endpoint), now)
		case group.phase == PhaseSuspected:
			due(group.phaseSince + suspicionTime)
		case group.phase == PhaseSwitchover && group.announcedUntil > 0 && now >= group.announcedUntil:
			if group.announcedUntil = 0; endpoint != nil && !endpoint.draining && !endpoint.suspended && endpoint.connectFailures == 0 {
				tracker.startRelease(group, EvidenceAnnouncementExpired, now) // nothing came of it
			} else {
				tracker.transition(group, PhasePrimaryLost, EvidenceAnnouncementExpired, endpointID(endpoint), now)
			}
		case group.phase == PhaseSwitchover && group.announcedUntil > 0:
			due(group.announcedUntil)
		case group.phase == PhaseSuccessorSeen:
			if len(group.pending) == 0 && len(group.released) == 0 || now >= group.releaseReviewAt && len(group.pending) == 0 {
				tracker.transition(group, PhaseSettled, EvidenceQueueReleased, endpointID(endpoint), now)
				due(now + settleTime)
			} else {
				due(min(group.releaseReviewAt, now+settleTime/4))
			}
			if now >= group.releaseReviewAt {
				tracker.releasedInFlight -= len(group.released)
				clear(group.released) // lost count of some: they must not stop the rest
				group.releaseReviewAt = now + settleTime
				tracker.releasePending(group, now)
			}
		case group.phase == PhaseSettled && now-group.phaseSince >= settleTime:
			tracker.transition(group, PhaseSteady, EvidenceQuiet, endpointID(endpoint), now)
		case group.phase == PhaseSettled:
			due(group.phaseSince + settleTime)
		}
		if group.queuesWrites() {
			tracker.runHealthCheckRound(group, now)
			due(group.nextHealthCheckRound)
		}
		if tracker.rejectExpired(group, now); len(group.pending) > 0 {
			due(group.pending[0].latestRelease)
			if tracker.cfg.MaxPendingTime > 0 {
				due(group.oldestPending + tracker.cfg.MaxPendingTime)
			}
		}
	}
	return next
}

// look asks members who might be the successor: those with the most log first, and densely while something is held that pays
// for it. Danger: at a rate of its own each of many routers with a write or two would keep the bank busy with reports. Each
// draws its own moments.
func (tracker *Tracker) runHealthCheckRound(group *replicaGroup, now time.Duration) {
	if now < group.nextHealthCheckRound {
		return
	}
	gap := group.healthCheckInterval
	if group.canPayHealthCheckRound() {
		group.healthCheckCredit--
	} else {
		gap = max(unpaidHealthCheckInterval, unpaidHealthCheckIntervalPerRouter*time.Duration(tracker.cfg.Instances))
	}
	group.healthCheckInterval = min(maxHealthCheckInterval, time.Duration(healthCheckIntervalGrowth*float64(group.healthCheckInterval)))
	group.nextHealthCheckRound = now + gap*3/4 + time.Duration(tracker.rng.Int64N(int64(gap/2)))
	for _, endpoint := range tracker.healthCheckCandidates(group) {
		tracker.sendHealthCheck(endpoint, now)
	}
}

// paid says whether what is held pays for another round of probes.
func (group *replicaGroup) canPayHealthCheckRound() bool {
	return len(group.pending) > 0 && group.healthCheckCredit >= 1
}

// likely are the members that may be asked, the likeliest successor first.
func (tracker *Tracker) healthCheckCandidates(group *replicaGroup) []*trackedEndpoint {
	var out []*trackedEndpoint
	for _, endpoint := range group.endpoints {
		if !endpoint.draining && !endpoint.suspended {
			out = append(out, endpoint)
		}
	}
	slices.SortStableFunc(out, func(x, y *trackedEndpoint) int {
		// An old primary that is lost comes last, whatever its log.
		if old := group.phase != PhaseSuspected; (x == group.primary) != (y == group.primary) {
			if (x == group.primary) == old {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(y.position, x.position), cmp.Compare(y.positionAt, x.positionAt))
	})
	return out
}

func (tracker *Tracker) sendHealthCheck(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint.draining || endpoint.suspended || endpoint.healthCheckInFlight && now-endpoint.healthCheckSentAt < healthCheckTimeout {
		return
	}
	endpoint.healthCheckInFlight, endpoint.healthCheckSentAt = true, now
	tracker.emit(Action{Kind: ActionHealthCheck, Endpoint: endpoint.id})
}
