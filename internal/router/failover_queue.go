package router

import (
	"cmp"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// Delays until the next tick of the tracker, in which it checks the deadlines of queued requests and whether a primary
// has stopped responding.
const (
	tickAfterEnqueue = 10 * time.Millisecond
	tickAfterAttempt = 50 * time.Millisecond
)

// failoverQueueHost has the methods of Router that the failover queue needs.
type failoverQueueHost interface {
	// IsWrite reports whether the requests of a class may change data.
	IsWrite(class string) bool
	// request returns the request in flight with that id, or nil if there is none.
	request(id string) *request
	// queueableRequests returns the queueable requests of a replica group, in the order in which they were received.
	queueableRequests(group int64) []*request
	// submit submits a request to the balancer.
	submit(req *request)
	// withdraw removes a request from the balancer.
	withdraw(req *request)
	// reject rejects a request.
	reject(req *request, retryAfter time.Duration, reason string)
	// checkHealth starts a health check.
	checkHealth(endpoint string)
}

// failoverQueue queues writes while the primary of their replica group changes, instead of submitting them to the
// balancer. It passes events to a failover.Tracker, which decides, and performs the actions that the tracker returns. A
// nil failoverQueue queues nothing.
type failoverQueue struct {
	host        failoverQueueHost
	tracker     *failover.Tracker
	loop        *eventloop.Loop
	log         *slog.Logger
	audit       auditLog
	classes     map[string]failover.Class
	maxAttempts int // per request, 0 = no limit
	timer       *eventloop.Timer
	timerDue    time.Duration
	onPromotion func(group int64, term uint64, primary string) // called with each new primary; may be nil
}

// EnableFailoverQueue enables the failover queue. It must be called before the first endpoint list is delivered.
// onPromotion, if not nil, is called with each new primary of a replica group.
func (r *Router) EnableFailoverQueue(
	cfg failover.Config, seed uint64, onPromotion func(group int64, term uint64, primary string),
) {
	r.failoverQueue = &failoverQueue{
		host:        r,
		tracker:     failover.New(cfg, seed),
		loop:        r.loop,
		log:         r.log,
		audit:       r.audit,
		classes:     cfg.Classes,
		maxAttempts: r.balancer.MaxAttempts(),
		onPromotion: onPromotion,
	}
}

// FailoverViews returns the state of each replica group's primary as shown to operators, or nil if the failover queue
// is disabled.
func (r *Router) FailoverViews() []failover.GroupView {
	if r.failoverQueue == nil {
		return nil
	}
	return r.failoverQueue.tracker.Views(r.loop.Now())
}

// AnnounceFailover announces that operators are going to change the primary of a replica group within the given time.
// It reports whether the group is known.
func (r *Router) AnnounceFailover(group int64, within time.Duration) (known bool) {
	if r.failoverQueue == nil {
		return false
	}
	known = r.failoverQueue.tracker.Announce(r.loop.Now(), group, within)
	r.Step()
	return known
}

// RestoreTerm restores the term and the primary of a replica group that an earlier process knew.
func (r *Router) RestoreTerm(group int64, term uint64, primary string) {
	if r.failoverQueue != nil {
		r.failoverQueue.tracker.RestoreTerm(group, term, primary)
	}
}

// request implements failoverQueueHost.
func (r *Router) request(id string) *request { return r.inFlight[id] }

// queueableRequests implements failoverQueueHost.
func (r *Router) queueableRequests(group int64) []*request {
	var found []*request
	for _, req := range r.inFlight {
		if req.queueable && req.Group == group {
			found = append(found, req)
		}
	}
	slices.SortFunc(found, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.ReceivedAt, b.ReceivedAt), cmp.Compare(a.id, b.id))
	})
	return found
}

// queuesClass reports whether requests of a class are queued during a failover.
func (q *failoverQueue) queuesClass(class string) bool {
	if q == nil {
		return false
	}
	_, ok := q.classes[class]
	return ok
}

// enqueue queues a request if its replica group is in a failover, and reports whether it did.
func (q *failoverQueue) enqueue(req *request) bool {
	if !q.tracker.ShouldQueue(req.Group, req.Class) {
		return false
	}
	req.queued = true
	now := q.loop.Now()
	q.tracker.Enqueue(now, failover.Request{
		ID:       req.id,
		Group:    req.Group,
		Class:    req.Class,
		Client:   req.clientKey(),
		Deadline: req.ReceivedAt + req.ClientTimeout,
		Size:     jobSize(req.Job),
	})
	q.scheduleTick(now + tickAfterEnqueue)
	return true
}

// clientKey returns the key by which the queue distinguishes clients, so that it can be fair to each of them.
func (req *request) clientKey() string {
	if req.ClientAddress != "" {
		return req.ClientAddress
	}
	return req.Session
}

// sizer is implemented by a Job that knows its memory use in bytes.
type sizer interface{ Size() int }

// jobSize returns the memory use of a job in bytes, 0 = unknown.
func jobSize(job Job) int {
	if s, ok := job.(sizer); ok {
		return s.Size()
	}
	return 0
}

// requeue moves a request from the balancer to the queue, provided that it cannot have been executed.
func (q *failoverQueue) requeue(req *request) {
	if !req.canBeWithdrawn() || !q.tracker.ShouldQueue(req.Group, req.Class) {
		return
	}
	if q.isOutOfAttempts(req) {
		return // the balancer answers the request
	}
	q.host.withdraw(req)
	req.attempts.resetNumbers()
	q.enqueue(req)
}

// isOutOfAttempts reports whether a request has used all its attempts.
func (q *failoverQueue) isOutOfAttempts(req *request) bool {
	return q.maxAttempts > 0 && req.attempts.priorAttempts+req.attempts.requested >= q.maxAttempts
}

// attemptSent reports the start of an attempt to the tracker.
func (q *failoverQueue) attemptSent(req *request) {
	if q == nil || !req.queueable {
		return
	}
	q.tracker.AttemptSent(req.attempts.sentAt, req.attempts.endpoint, req.id)
	q.scheduleTick(req.attempts.sentAt + tickAfterAttempt)
}

// attemptEnded reports the end of an attempt to the tracker, and requeues the request if it cannot have been executed.
func (q *failoverQueue) attemptEnded(req *request, result *Result, elapsed, now time.Duration) {
	if q == nil {
		return
	}
	served := result.Status == balance.StatusDone
	servedClass := "" // class whose request durations the tracker learns, "" = none
	if req.queueable && served {
		servedClass = req.Class
	}
	end := q.failoverAttemptEnd(req.Class, result.Status)
	role := failoverRole(result.Role)
	q.tracker.AttemptEnded(now, req.attempts.endpoint, req.id, end, role, result.Position, servedClass, elapsed)
	if req.queueable && !served {
		q.requeue(req)
	}
}

// failoverAttemptEnd maps the status of an attempt to what it shows about the endpoint.
func (q *failoverQueue) failoverAttemptEnd(class string, status balance.Status) failover.AttemptEnd {
	switch status {
	case balance.StatusDone:
		return failover.EndAnswered
	case balance.StatusMiss:
		if q.host.IsWrite(class) {
			return failover.EndNotPrimary
		}
		return failover.EndAnswered
	case balance.StatusBusy:
		return failover.EndRejected
	case balance.StatusConnectFailed, balance.StatusReset:
		return failover.EndUnreachable
	default:
		return failover.EndInconclusive
	}
}

func failoverRole(role balance.Role) failover.Role {
	switch role {
	case balance.RolePrimary:
		return failover.RolePrimary
	case balance.RoleReplica:
		return failover.RoleReplica
	default:
		return failover.RoleUnknown
	}
}

// requestDone notifies the tracker that a request was answered or its client has disconnected.
func (q *failoverQueue) requestDone(req *request) {
	if q == nil || !req.queueable {
		return
	}
	if q.tracker.InProgress() {
		q.tracker.RequestDone(q.loop.Now(), req.Group, req.id)
	}
}

// healthCheckEnded reports the result of a health check to the tracker.
func (q *failoverQueue) healthCheckEnded(endpoint string, result *Result) {
	if q == nil {
		return
	}
	answered := result.Status == balance.StatusDone
	q.tracker.HealthCheckEnded(q.loop.Now(), endpoint, answered, failoverRole(result.Role), result.Position)
}

// primaryUpdated reports the balancer's view of a replica group's primary to the tracker.
func (q *failoverQueue) primaryUpdated(update balance.PrimaryUpdate) {
	if q == nil {
		return
	}
	now := q.loop.Now()
	if !update.Confirmed {
		q.tracker.SuspectPrimary(now, update.Group, update.Endpoint)
		return
	}
	_, termBefore, _, _ := q.tracker.Group(update.Group)
	q.tracker.ObservePrimary(now, update.Group, update.Endpoint)
	_, term, primary, _ := q.tracker.Group(update.Group)
	if term != termBefore && q.onPromotion != nil {
		q.onPromotion(update.Group, term, primary)
	}
}

// endpointSuspended notifies the tracker that an operator has suspended or resumed an endpoint.
func (q *failoverQueue) endpointSuspended(endpoint string, suspended bool) {
	if q != nil {
		q.tracker.SetSuspended(q.loop.Now(), endpoint, suspended)
	}
}

// endpointsUpdated passes an endpoint list to the tracker.
func (q *failoverQueue) endpointsUpdated(list balance.EndpointList) {
	if q == nil || !hasEntries(list.Kind) {
		return
	}
	var endpoints []failover.Endpoint
	for _, entry := range list.Entries {
		endpoints = append(endpoints, failover.Endpoint{
			ID:       entry.Endpoint,
			Group:    entry.Group,
			Draining: entry.State == balance.EndpointDraining,
			Removed:  entry.State == balance.EndpointRemoved,
		})
	}
	q.tracker.UpdateEndpoints(q.loop.Now(), endpoints, list.Kind != balance.ListDelta)
}

// hasEntries reports whether an endpoint list of that kind has entries. The other kinds report a failed poll or a
// broken subscription.
func hasEntries(kind balance.EndpointListKind) bool {
	return kind != balance.ListFailed && kind != balance.ListSilent
}

// scheduleTick makes sure that the tracker ticks no later than at the given time.
func (q *failoverQueue) scheduleTick(at time.Duration) {
	if q.timer != nil && q.timerDue <= at {
		return
	}
	q.timer.Stop()
	q.timerDue = at
	q.timer = q.loop.AfterFunc(at-q.loop.Now(), func() {
		q.timer = nil
		q.tick()
	})
}

func (q *failoverQueue) tick() {
	if next := q.tracker.Tick(q.loop.Now()); next > 0 {
		q.scheduleTick(next)
	}
}

// performActions performs the actions that the tracker requests.
func (q *failoverQueue) performActions() {
	if q == nil {
		return
	}
	for q.tracker.HasActions() {
		for _, action := range q.tracker.Actions() {
			q.perform(action)
		}
		q.tick()
	}
}

func (q *failoverQueue) perform(action failover.Action) {
	switch action.Kind {
	case failover.ActionRelease:
		q.releaseQueued(action)
	case failover.ActionReject:
		q.rejectQueued(action)
	case failover.ActionHealthCheck:
		q.host.checkHealth(action.Endpoint)
	case failover.ActionWithdraw:
		for _, req := range q.host.queueableRequests(action.Group) {
			q.requeue(req)
		}
	case failover.ActionPhaseChanged:
		q.reportPhase(action.Group)
	}
}

// releaseQueued submits a queued request to the balancer.
func (q *failoverQueue) releaseQueued(action failover.Action) {
	req := q.host.request(action.ID)
	if req == nil || !req.queued || req.finished {
		return
	}
	req.queued = false
	q.host.submit(req)
}

// rejectQueued rejects a queued request that cannot be served in time or does not fit into the queue.
func (q *failoverQueue) rejectQueued(action failover.Action) {
	req := q.host.request(action.ID)
	if req == nil || !req.queued {
		return
	}
	req.queued = false
	q.log.Debug("queued request rejected",
		"request", req.ClientRequestID, "class", req.Class, "reason", action.Reason.String())
	q.host.reject(req, action.RetryAfter, action.Reason.String())
}

// reportPhase writes the phase of a replica group's failover to the log and the audit record.
func (q *failoverQueue) reportPhase(group int64) {
	phase, term, primary, last := q.tracker.Group(group)
	evidence := last.Evidence.String()
	q.log.Info("failover phase changed", "group", group, "phase", phase.String(), "term", term, "primary", primary,
		"evidence", evidence, "endpoint", last.Endpoint)
	text := "bank " + strconv.FormatInt(group, 10) + ": " + phase.String() +
		", term " + strconv.FormatUint(term, 10) + ", " + evidence
	q.audit.record(audit.Note{Topic: "changeover", Text: text})
}
