package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/failover"
	"limeladder/internal/membership"
)

// initialWorkDivisor divides a class's latency objective: the quotient is the time that one request of the class is
// expected to take until measurements are available.
const initialWorkDivisor = 10

// failoverQueueEnabled reports whether deploy/limeladder.toml names classes whose requests are queued during failovers.
func (d *daemon) failoverQueueEnabled() bool { return len(d.deploy.Failover.Classes) > 0 }

// startFailoverQueue makes the core queue requests during failovers, if this is enabled in deploy/limeladder.toml.
func (d *daemon) startFailoverQueue(cfg *config.Config) error {
	if !d.failoverQueueEnabled() {
		return nil
	}
	settings := d.deploy.Failover
	classes, err := failoverClasses(settings.Classes, cfg.Balance.Classes)
	if err != nil {
		return err
	}
	queue := failover.Config{
		Instances:       cfg.Balance.Instances,
		Classes:         classes,
		MaxPending:      cmp.Or(settings.Count, d.limits.Router.PendingWrites),
		MaxPendingBytes: cmp.Or(settings.Bytes, d.limits.Router.PendingWriteBytes),
		MaxPendingTime:  settings.Time,
		DeadlineMargin:  d.limits.Router.DeadlineMargin,
		MaxRetryAfter:   cfg.Balance.MaxRetryAfter,
	}
	d.core.EnableFailoverQueue(queue, cfg.SeedValue, d.storeGroupTerm)
	return nil
}

// failoverClasses returns the classes with the given names. If a class is unknown or doesn't need the primary, the
// error names its setting.
func failoverClasses(names []string, all []balance.Class) (map[string]failover.Class, error) {
	byName := map[string]balance.Class{}
	for _, class := range all {
		byName[class.Name] = class
	}
	classes := map[string]failover.Class{}
	for i, name := range names {
		class, known := byName[name]
		if !known || !needsPrimary(class) {
			return nil, fmt.Errorf("changeover.classes[%d]: %q is no class that needs the primary", i, name)
		}
		classes[name] = failover.Class{
			PriorityWeight: class.PriorityWeight,
			Work:           class.LatencyObjective / initialWorkDivisor,
		}
	}
	return classes, nil
}

// needsPrimary reports whether only the primary can answer the requests of a class.
func needsPrimary(class balance.Class) bool {
	return class.Consistency == balance.ConsistencyWrite || class.Consistency == balance.ConsistencyLatest
}

// groupTerm is the value that the store holds for a replica group.
type groupTerm struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// groupTermKey returns the store's key of a replica group.
func groupTermKey(group int64) string { return groupTermsKeyPrefix + strconv.FormatInt(group, 10) }

// storeGroupTerm stores the term and primary of a replica group. It does nothing until the terms that an earlier
// process stored are restored, because it would overwrite them.
func (d *daemon) storeGroupTerm(group int64, term uint64, primary string) {
	if d.failoverTermsRestored {
		d.storeValue(groupTermKey(group), groupTerm{Term: term, Primary: primary})
	}
}

// restoreFailoverTerms passes to the core the terms and primaries that an earlier process stored, once the store has
// caught up. The core checks a primary before it relies on it.
func (d *daemon) restoreFailoverTerms() {
	if !d.failoverQueueEnabled() || d.deploy.Store.Name == "" || d.failoverTermsRestored {
		return
	}
	if !d.failoverTermsAvailable() {
		d.loop.AfterFunc(d.limits.HotRestart.PollInterval, d.restoreFailoverTerms)
		return
	}
	d.failoverTermsRestored = true
	for _, view := range d.core.FailoverViews() {
		var stored groupTerm
		if d.loadValue(groupTermKey(view.Group), &stored) {
			d.core.RestoreTerm(view.Group, stored.Term, stored.Primary)
		}
	}
	for _, view := range d.core.FailoverViews() {
		if view.Primary != "" {
			d.storeGroupTerm(view.Group, view.Term, view.Primary)
		}
	}
}

// failoverTermsAvailable reports whether the store has caught up and the replica groups are known.
func (d *daemon) failoverTermsAvailable() bool {
	return d.store != nil && d.store.Ready() && d.endpoints.Source() != membership.Configured
}

// groupStatus is the failover state of a replica group as returned to operators. Times are in milliseconds; those of
// the history count back from now.
type groupStatus struct {
	Group           int64              `json:"cell"`
	Phase           string             `json:"phase"`
	Term            uint64             `json:"term"`
	Primary         string             `json:"primary"`
	SinceMs         int64              `json:"since_ms"`
	Pending         int                `json:"held"`
	OldestPendingMs int64              `json:"oldest_ms"`
	InFlight        int                `json:"out"` // released from the queue but not answered yet
	Released        uint64             `json:"released"`
	Rejected        map[string]uint64  `json:"given_up"` // by reason
	History         []transitionStatus `json:"history"`
}

// transitionStatus is a change of phase as returned to operators.
type transitionStatus struct {
	AgoMs     int64  `json:"ago_ms"`
	FromPhase string `json:"from"`
	ToPhase   string `json:"to"`
	Evidence  string `json:"evidence"`
	Endpoint  string `json:"node,omitempty"`
	Term      uint64 `json:"term"`
}

// FailoverState implements adminapi.Router.
func (d *daemon) FailoverState() (encoded []byte, off bool) {
	if !d.failoverQueueEnabled() {
		return nil, true
	}
	now := d.loop.Now()
	groups := []groupStatus{}
	for _, view := range d.core.FailoverViews() {
		groups = append(groups, newGroupStatus(view, now))
	}
	encoded, err := json.Marshal(groups)
	if err != nil {
		d.log.Error("failover state not encoded", "error", err)
		return []byte("[]"), false
	}
	return encoded, false
}

func newGroupStatus(view failover.GroupView, now time.Duration) groupStatus {
	status := groupStatus{
		Group:           view.Group,
		Phase:           view.Phase.String(),
		Term:            view.Term,
		Primary:         view.Primary,
		SinceMs:         view.Since.Milliseconds(),
		Pending:         view.Pending,
		OldestPendingMs: view.OldestPending.Milliseconds(),
		InFlight:        view.ReleasedInFlight,
		Released:        view.Released,
		Rejected:        view.Rejected,
		History:         []transitionStatus{},
	}
	for _, transition := range view.History {
		status.History = append(status.History, transitionStatus{
			AgoMs:     (now - transition.OccurredAt).Milliseconds(),
			FromPhase: transition.From.String(),
			ToPhase:   transition.To.String(),
			Evidence:  transition.Evidence.String(),
			Endpoint:  transition.Endpoint,
			Term:      transition.Term,
		})
	}
	return status
}

// AnnounceFailover implements adminapi.Router.
func (d *daemon) AnnounceFailover(group int64, within time.Duration) (known, off bool) {
	if !d.failoverQueueEnabled() {
		return false, true
	}
	known = d.core.AnnounceFailover(group, within)
	if known {
		d.recording.note("changeover",
			fmt.Sprintf("operators announce a change of the primary of bank %d within %v", group, within))
	}
	return known, false
}
