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
)

// holdThrough turns on the holding of writes through changes of primary, if deploy/limeladder.toml says so.
func (d *daemon) holdThrough(cfg *config.Config) error {
	c := d.dep.Changeover
	if len(c.Classes) == 0 {
		return nil
	}
	known := map[string]balance.Class{}
	for _, k := range cfg.Balance.Classes {
		known[k.Name] = k
	}
	classes := map[string]failover.Class{}
	for i, name := range c.Classes {
		k, ok := known[name]
		if !ok || k.Consistency != balance.ConsistencyWrite && k.Consistency != balance.ConsistencyLatest {
			return fmt.Errorf("changeover.classes[%d]: %q is no class that needs the primary", i, name)
		}
		classes[name] = failover.Class{PriorityWeight: k.PriorityWeight, Work: k.LatencyObjective / 10}
	}
	d.core.EnableFailoverQueue(failover.Config{Instances: cfg.Balance.Instances, Classes: classes, MaxPending: cmp.Or(c.Count, d.lim.Router.PendingWrites),
		MaxPendingBytes: cmp.Or(c.Bytes, d.lim.Router.PendingWriteBytes), MaxPendingTime: c.Time, DeadlineMargin: d.lim.Router.DeadlineMargin, MaxRetryAfter: cfg.Balance.MaxRetryAfter}, cfg.SeedValue, d.succeeded)
	return nil
}

// succession is what the store keeps of a bank.
type succession struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// succeeded keeps a successor where the store is on, once it is known what an earlier start has kept.
func (d *daemon) succeeded(bank int64, term uint64, primary string) {
	if d.hinted {
		d.keep("primary/"+strconv.FormatInt(bank, 10), succession{term, primary})
	}
}

// hint tells the core what an earlier start knew of the banks, once the store has caught up. It is checked before it is
// believed.
func (d *daemon) hint() {
	if len(d.dep.Changeover.Classes) == 0 || d.dep.Store.Name == "" || d.hinted {
		return
	}
	if d.store == nil || !d.store.Ready() || !d.told {
		d.loop.AfterFunc(d.lim.HotRestart.PollInterval, d.hint)
		return
	}
	d.hinted = true
	for _, v := range d.core.FailoverViews() {
		var s succession
		p, ok := d.store.Get("primary/" + strconv.FormatInt(v.Group, 10))
		if ok && json.Unmarshal(p, &s) == nil {
			d.core.RestoreTerm(v.Group, s.Term, s.Primary)
		}
	}
	for _, v := range d.core.FailoverViews() {
		if v.Primary != "" {
			d.succeeded(v.Group, v.Term, v.Primary)
		}
	}
}

// cell is a bank as operators see it. Times are in milliseconds; those of the history are before now.
type cell struct {
	Cell     int64             `json:"cell"`
	Phase    string            `json:"phase"`
	Term     uint64            `json:"term"`
	Primary  string            `json:"primary"`
	SinceMs  int64             `json:"since_ms"`
	Held     int               `json:"held"`
	OldestMs int64             `json:"oldest_ms"`
	Out      int               `json:"out"`
	Released uint64            `json:"released"`
	GivenUp  map[string]uint64 `json:"given_up"`
	History  []step            `json:"history"`
}

type step struct {
	AgoMs    int64  `json:"ago_ms"`
	From     string `json:"from"`
	To       string `json:"to"`
	Evidence string `json:"evidence"`
	Node     string `json:"node,omitempty"`
	Term     uint64 `json:"term"`
}

// Cells implements operator.Router.
func (d *daemon) Cells() (p []byte, off bool) {
	if len(d.dep.Changeover.Classes) == 0 {
		return nil, true
	}
	now := d.loop.Now()
	cells := []cell{}
	for _, v := range d.core.FailoverViews() {
		c := cell{Cell: v.Group, Phase: v.Phase.String(), Term: v.Term, Primary: v.Primary, SinceMs: v.Since.Milliseconds(), Held: v.Pending, OldestMs: v.OldestPending.Milliseconds(),
			Out: v.ReleasedInFlight, Released: v.Released, GivenUp: v.Rejected, History: []step{}}
		for _, l := range v.History {
			c.History = append(c.History, step{(now - l.At).Milliseconds(), l.From.String(), l.To.String(), l.Evidence.String(), l.Endpoint, l.Term})
		}
		cells = append(cells, c)
	}
	p, err := json.Marshal(cells)
	if err != nil {
		d.log.Error("cells", "err", err)
		return []byte("[]"), false
	}
	return p, false
}

// Changeover implements operator.Router.
func (d *daemon) Changeover(id int64, limit time.Duration) (known, off bool) {
	if len(d.dep.Changeover.Classes) == 0 {
		return false, true
	}
	known = d.core.AnnounceFailover(id, limit)
	if known {
		d.record.note("changeover", fmt.Sprintf("operators announce a change of the primary of bank %d within %v", id, limit))
	}
	return known, false
}
