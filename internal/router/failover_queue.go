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

// How soon the tracker looks at its deadlines and at the silence of a primary after something that may start them.
const (
	tickAfterEnqueue = 10 * time.Millisecond
	tickAfterAttempt = 50 * time.Millisecond
)

// failoverQueueHost is what the failover queue needs of the Router.
type failoverQueueHost interface {
	// IsWrite says whether the requests of a class may change data.
	IsWrite(class string) bool
	// request returns the request in flight with that id, nil = there is none.
	request(id string) *request
	// queueableRequests returns those of a replica group, in the order in which they were received.
	queueableRequests(group int64) []*request
	// submit hands a request to the balancer, withdraw takes it back.
	submit(req *request)
	withdraw(req *request)
	// reject answers a request.
	reject(req *request, retryAfter time.Duration, reason string)
	// checkHealth starts a health check.
	checkHealth(endpoint string)
}

// failoverQueue queues writes while the primary of their replica group changes, instead of handing them to the
// balancer. failover.Tracker decides; the queue tells it what happens and carries out its actions. A nil failoverQueue
// queues nothing.
type failoverQueue struct {
	host        failoverQueueHost
	tracker     *failover.Tracker
	loop        *eventloop.Loop
	log         *slog.Logger
	audit       auditLog
	classes     map[string]failover.Class
	maxAttempts int // of one request, 0 = no limit
	timer       *eventloop.Timer
	timerDue    time.Duration
	onPromotion func(group int64, term uint64, primary string) // nil = nobody is told of new primaries
}

// EnableFailoverQueue turns the failover queue on. It is called before the first endpoint list. onPromotion, if not
// nil, is called with each new primary of a replica group.
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

// FailoverViews is what an operator sees of each replica group's primary; nil while the failover queue is off.
func (r *Router) FailoverViews() []failover.GroupView {
	if r.failoverQueue == nil {
		return nil
	}
	return r.failoverQueue.tracker.Views(r.loop.Now())
}

// AnnounceFailover says that operators are about to change the primary of a replica group. It returns whether the
// group is known.
func (r *Router) AnnounceFailover(group int64, within time.Duration) (known bool) {
	if r.failoverQueue == nil {
		return false
	}
	known = r.failoverQueue.tracker.Announce(r.loop.Now(), group, within)
	r.Step()
	return known
}

// RestoreTerm hands over the term and the primary of a replica group that an earlier start knew.
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

// takesClass says whether requests of a class are queued during a failover.
func (q *failoverQueue) takesClass(class string) bool {
	if q == nil {
		return false
	}
	_, ok := q.classes[class]
	return ok
}

// enqueue queues a request if its replica group is in a failover, and says whether it did.
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
		Deadline: req.ReceivedAt + req.Deadline,
		Size:     jobSize(req.Job),
	})
	q.tickBy(now + tickAfterEnqueue)
	return true
}

// clientKey names the client that the queue is fair to.
func (req *request) clientKey() string {
	if req.ClientAddress != "" {
		return req.ClientAddress
	}
	return req.Session
}

// sizer is a Job that knows how much memory it takes.
type sizer interface{ Size() int }

// jobSize is how much memory a job takes, 0 = not known.
func jobSize(job Job) int {
	if s, ok := job.(sizer); ok {
		return s.Size()
	}
	return 0
}

// requeue takes a request back from the balancer and queues it, if nothing of it can have run.
func (q *failoverQueue) requeue(req *request) {
	if !req.canBeWithdrawn() || !q.tracker.ShouldQueue(req.Group, req.Class) {
		return
	}
	if q.isOutOfAttempts(req) {
		return // the balancer answers it
	}
	q.host.withdraw(req)
	req.attempts.resubmit()
	q.enqueue(req)
}

// isOutOfAttempts says whether a request has used all its attempts.
func (q *failoverQueue) isOutOfAttempts(req *request) bool {
	return q.maxAttempts > 0 && req.attempts.prior+req.attempts.requested >= q.maxAttempts
}

// attemptSent tells the tracker of an attempt.
func (q *failoverQueue) attemptSent(req *request) {
	if q == nil || !req.queueable {
		return
	}
	q.tracker.AttemptSent(req.attempts.sentAt, req.attempts.endpoint, req.id)
	q.tickBy(req.attempts.sentAt + tickAfterAttempt)
}

// attemptEnded tells the tracker of an attempt's end, and queues again what is proved not to have run.
func (q *failoverQueue) attemptEnded(req *request, result *Result, elapsed, now time.Duration) {
	if q == nil {
		return
	}
	served := result.Status == balance.StatusDone
	servedClass := "" // of a request whose duration the tracker learns from
	if req.queueable && served {
		servedClass = req.Class
	}
	end := q.attemptEnd(req.Class, result.Status)
	role := failoverRole(result.Role)
	q.tracker.AttemptEnded(now, req.attempts.endpoint, req.id, end, role, result.Position, servedClass, elapsed)
	if req.queueable && !served {
		q.requeue(req)
	}
}

// attemptEnd is what the end of an attempt says of the endpoint.
func (q *failoverQueue) attemptEnd(class string, status balance.Status) failover.AttemptEnd {
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

// requestDone says that a request is answered, or that its client has left.
func (q *failoverQueue) requestDone(req *request) {
	if q == nil || !req.queueable {
		return
	}
	if q.tracker.InProgress() {
		q.tracker.RequestDone(q.loop.Now(), req.Group, req.id)
	}
}

// healthCheckEnded passes on the result of a health check.
func (q *failoverQueue) healthCheckEnded(endpoint string, result *Result) {
	if q == nil {
		return
	}
	answered := result.Status == balance.StatusDone
	q.tracker.HealthCheckEnded(q.loop.Now(), endpoint, answered, failoverRole(result.Role), result.Position)
}

// primaryUpdated passes on what the balancer takes for the primary of a replica group.
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

// endpointSuspended says that operators have taken an endpoint out of service, or let it back in.
func (q *failoverQueue) endpointSuspended(endpoint string, suspended bool) {
	if q != nil {
		q.tracker.Suspend(q.loop.Now(), endpoint, suspended)
	}
}

// endpointsUpdated passes on an endpoint list.
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

// hasEntries says whether a list of that kind says anything of endpoints; the others say that there is no news.
func hasEntries(kind balance.EndpointListKind) bool {
	return kind != balance.ListFailed && kind != balance.ListSilent
}

// tickBy makes sure that the tracker looks at the clock by then.
func (q *failoverQueue) tickBy(at time.Duration) {
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
		q.tickBy(next)
	}
}

// performActions carries out what the tracker asks for.
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

// releaseQueued hands a queued request to the balancer.
func (q *failoverQueue) releaseQueued(action failover.Action) {
	req := q.host.request(action.ID)
	if req == nil || !req.queued || req.finished {
		return
	}
	req.queued = false
	q.host.submit(req)
}

// rejectQueued answers a queued request that can't be served in time or has no place in the queue.
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

// reportPhase logs and records the phase of a replica group's failover.
func (q *failoverQueue) reportPhase(group int64) {
	phase, term, primary, last := q.tracker.Group(group)
	evidence := last.Evidence.String()
	q.log.Info("failover phase changed", "group", group, "phase", phase.String(), "term", term, "primary", primary,
		"evidence", evidence, "endpoint", last.Endpoint)
	text := "bank " + strconv.FormatInt(group, 10) + ": " + phase.String() +
		", term " + strconv.FormatUint(term, 10) + ", " + evidence
	q.audit.record(audit.Note{Topic: "changeover", Text: text})
}
