package router

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
)

// The stage between admit and route: what asks for a primary is held while its bank changes its own. changeover.Model
// decides; here it is told what happens, and what it asks is carried out. Without it none of this costs anything.

// holder is the model and the timer that wakes it.
type holder struct {
	model   *failover.Tracker
	classes map[string]failover.Class
	timer   *eventloop.Timer
	at      time.Duration                                 // when the timer is due
	change  func(bank int64, term uint64, primary string) // told of each successor, nil = nobody is
}

// HoldThrough turns holding on. It is called before the first list.
func (r *Router) EnableFailoverQueue(cfg failover.Config, seed uint64, change func(bank int64, term uint64, primary string)) {
	r.holder = &holder{model: failover.New(cfg, seed), classes: cfg.Classes, change: change}
}

// Banks is what those on call see of the changes; nil where nothing is held.
func (r *Router) FailoverViews() []failover.GroupView {
	if r.holder == nil {
		return nil
	}
	return r.holder.model.Views(r.loop.Now())
}

// Announce says that operators are about to change a bank's primary, and whether the bank is known.
func (r *Router) AnnounceFailover(bank int64, within time.Duration) bool {
	if r.holder == nil {
		return false
	}
	known := r.holder.model.Announce(r.loop.Now(), bank, within)
	r.Step()
	return known
}

// Hint is what an earlier start knew of a bank.
func (r *Router) RestoreTerm(bank int64, term uint64, primary string) {
	if r.holder != nil {
		r.holder.model.RestoreTerm(bank, term, primary)
	}
}

// holds takes a request into the model's queue, if its bank is in change.
func (r *Router) holds(q *request) bool {
	h := r.holder
	if h == nil || !h.model.ShouldQueue(q.Group, q.Class) {
		return false
	}
	q.parked = true
	size := 0
	if s, ok := q.Job.(interface{ Size() int }); ok {
		size = s.Size()
	}
	now := r.loop.Now()
	h.model.Enqueue(now, failover.Request{ID: q.id, Group: q.Group, Class: q.Class, Client: r.whose(q), Deadline: q.ReceivedAt + q.Deadline, Size: size})
	r.wakeHolder(now + 10*time.Millisecond)
	return true
}

func (r *Router) whose(q *request) string {
	if q.Client != "" {
		return q.Client
	}
	return q.Session
}

// withdraw takes a request back from the module, as if its client had gone, and holds it. Nothing of it may have run.
func (r *Router) withdraw(q *request) {
	if q.over || q.parked || q.call != nil || q.mayRun || q.began {
		return
	}
	if !r.holder.model.ShouldQueue(q.Group, q.Class) {
		return
	}
	if r.module.MaxAttempts() > 0 && q.before+q.tries >= r.module.MaxAttempts() {
		return // the module ends it
	}
	r.leave(q)
	q.before += q.tries
	q.tries = 0
	r.holds(q)
}

// sent tells of an attempt.
func (r *Router) sent(q *request) {
	if q.waits {
		r.holder.model.AttemptSent(q.sentAt, q.node, q.id)
		r.wakeHolder(q.sentAt + 50*time.Millisecond)
	}
}

// heard tells of an attempt's end, and holds again what has proved not to have run.
func (r *Router) heard(q *request, res Result, took, now time.Duration) {
	h := r.holder
	if h == nil {
		return
	}
	end := failover.EndInconclusive
	switch res.Status {
	case balance.StatusDone:
		end = failover.EndAnswered
	case balance.StatusMiss:
		if end = failover.EndAnswered; r.IsWrite(q.Class) {
			end = failover.EndNotPrimary
		}
	case balance.StatusBusy:
		end = failover.EndRejected
	case balance.StatusConnectFailed, balance.StatusReset:
		end = failover.EndUnreachable
	}
	class := ""
	if q.waits && res.Status == balance.StatusDone {
		class = q.Class
	}
	h.model.AttemptEnded(now, q.node, q.id, end, role(res.Role), res.Position, class, took)
	if q.waits && res.Status != balance.StatusDone {
		r.withdraw(q)
	}
}

func role(r balance.Role) failover.Role {
	switch r {
	case balance.RolePrimary:
		return failover.RolePrimary
	case balance.RoleReplica:
		return failover.RoleReplica
	}
	return failover.RoleUnknown
}

func (r *Router) reported(node string, res Result) {
	if h := r.holder; h != nil {
		h.model.HealthCheckEnded(r.loop.Now(), node, res.Status == balance.StatusDone, role(res.Role), res.Position)
	}
}

func (r *Router) believe(a balance.PrimaryUpdate) {
	h := r.holder
	if h == nil {
		return
	}
	if !a.Confirmed {
		h.model.SuspectPrimary(r.loop.Now(), a.Group, a.Endpoint)
		return
	}
	_, before, _, _ := h.model.Group(a.Group)
	h.model.ObservePrimary(r.loop.Now(), a.Group, a.Endpoint)
	if _, term, primary, _ := h.model.Group(a.Group); term != before && h.change != nil {
		h.change(a.Group, term, primary)
	}
}

func (r *Router) barred(node string, out bool) {
	if h := r.holder; h != nil {
		h.model.Suspend(r.loop.Now(), node, out)
	}
}

func (r *Router) listed(l balance.EndpointList) {
	h := r.holder
	if h == nil || l.Kind == balance.ListFailed || l.Kind == balance.ListSilent {
		return
	}
	var in []failover.Endpoint
	for _, e := range l.Entries {
		in = append(in, failover.Endpoint{ID: e.Endpoint, Group: e.Group, Draining: e.State == balance.EndpointDraining, Removed: e.State == balance.EndpointRemoved})
	}
	h.model.UpdateEndpoints(r.loop.Now(), in, l.Kind != balance.ListDelta)
}

// released tells that a request is answered.
func (r *Router) released(q *request) {
	if q.waits && r.holder.model.InProgress() {
		r.holder.model.RequestDone(r.loop.Now(), q.Group, q.id)
	}
}

// wakeHolder sees to it that the model is looked at by then.
func (r *Router) wakeHolder(at time.Duration) {
	h := r.holder
	if h.timer != nil && h.at <= at {
		return
	}
	h.timer.Stop()
	h.at = at
	h.timer = r.loop.AfterFunc(at-r.loop.Now(), func() {
		h.timer = nil
		r.tickHolder()
	})
}

func (r *Router) tickHolder() {
	if next := r.holder.model.Tick(r.loop.Now()); next > 0 {
		r.wakeHolder(next)
	}
}

// changes carries out what the model asks.
func (r *Router) changes() {
	h := r.holder
	if h == nil || !h.model.HasActions() {
		return
	}
	for h.model.HasActions() {
		for _, a := range h.model.Actions() {
			r.change(a)
		}
		r.tickHolder()
	}
}

func (r *Router) change(a failover.Action) {
	h := r.holder
	switch a.Kind {
	case failover.ActionRelease:
		if q := r.inHand[a.ID]; q != nil && q.parked && !q.over {
			q.parked = false
			r.enter(q)
		}
	case failover.ActionReject:
		if q := r.inHand[a.ID]; q != nil && q.parked {
			q.parked = false
			r.log.Debug("held in vain", "request", q.Label, "class", q.Class, "why", a.Reason.String())
			r.refuse(q, a.RetryAfter)
		}
	case failover.ActionHealthCheck:
		r.probe(a.Endpoint, false)
	case failover.ActionWithdraw:
		var out []*request
		for _, q := range r.inHand {
			if q.waits && q.Group == a.Group {
				out = append(out, q)
			}
		}
		slices.SortFunc(out, func(a, b *request) int {
			return cmp.Or(cmp.Compare(a.ReceivedAt, b.ReceivedAt), cmp.Compare(a.id, b.id))
		})
		for _, q := range out {
			r.withdraw(q)
		}
	case failover.ActionPhaseChanged:
		phase, term, primary, last := h.model.Group(a.Group)
		text := "bank " + strconv.FormatInt(a.Group, 10) + ": " + phase.String() + ", term " + strconv.FormatUint(term, 10) + ", " + last.Evidence.String()
		r.log.Info("changeover", "bank", a.Group, "phase", phase.String(), "term", term, "primary", primary, "evidence", last.Evidence.String(), "node", last.Endpoint)
		r.record(audit.Note{Topic: "changeover", Text: text})
	}
}
