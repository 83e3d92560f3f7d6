package main

import (
	"encoding/json"
	"maps"
	"runtime/debug"
	"slices"

	"limeladder/balance"
	"limeladder/internal/config"
)

// What operators ask for, as internal/operator hands it on, and what the other process of this router has been asked, as
// internal/handover does. All of it runs in the loop's goroutine.

// Takes implements operator.Router.
func (d *daemon) Takes() bool { return d.fronts[0].Takes() }

// Suspend implements operator.Router.
func (d *daemon) Suspend(id string, out bool, done func(known bool)) {
	if !d.known[id] {
		done(false)
		return
	}
	d.suspend(id, out, "operator")
	// Guards the ban across an upgrade: it is in the folder before the operator has his yes.
	d.shared.SetSuspended(id, out, func() { d.loop.PostUrgent(func() { done(true) }) })
}

func (d *daemon) suspend(id string, out bool, by string) {
	name := "resumed"
	if out {
		name = "suspended"
	}
	d.log.Info(name, "node", id)
	d.record.drain(id, name, by)
	d.core.Suspend(id, out)
}

// Drain implements operator.Router.
func (d *daemon) Drain(on bool, done func()) {
	d.empty(on, "operator")
	d.shared.SetDrained(on, func() { d.loop.PostUrgent(done) })
}

func (d *daemon) empty(on bool, by string) {
	name := "activated"
	if on {
		name = "drained"
	}
	d.log.Info(name)
	d.record.router(name, by)
	d.emptied = on
	for _, f := range d.fronts {
		f.Empty(on)
	}
}

// Suspended implements handover.Sink.
func (d *daemon) Suspended(id string, out bool) { d.suspend(id, out, "another process") }

// Drained implements handover.Sink.
func (d *daemon) Drained(on bool) { d.empty(on, "another process") }

// Listed implements handover.Sink.
func (d *daemon) KnownEndpointsAdded(ids []string) {
	for _, id := range ids {
		if !d.known[id] {
			d.known[id] = true
			d.order = append(d.order, id)
		}
	}
	for len(d.order) > d.lim.Discovery.KnownEndpoints { // guards memory: db machines come under new ids day after day
		delete(d.known, d.order[0])
		d.order = d.order[1:]
	}
}

// merge notes what a list changes in the one that stands.
func (d *daemon) merge(l config.List, kind balance.EndpointListKind) {
	if kind != balance.ListDelta {
		clear(d.latest)
	}
	for _, e := range l.Servers {
		if d.latest[e.ID] = e; e.State == "gone" {
			delete(d.latest, e.ID)
		}
	}
	d.version = l.Version
}

// pass tells the other process the list, as discovery has told it to this one. Guards the drains at an upgrade: a new process
// whose own calls are not answered would send to machines that this one knows to drain.
func (d *daemon) pass() {
	if !d.two || !d.told {
		return
	}
	l := config.List{Version: d.version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(d.latest)) {
		l.Servers = append(l.Servers, d.latest[id])
	}
	if p, err := json.Marshal(l); err == nil {
		d.shared.ShareEndpointList(p)
	}
}

// Heard implements handover.Sink. What discovery itself has told this process stands.
func (d *daemon) EndpointListShared(list []byte) {
	var l config.List
	if d.told || json.Unmarshal(list, &l) != nil || len(l.Servers) == 0 {
		return
	}
	d.log.Info("list of another process")
	d.listed(l, balance.ListCached)
}

// Alone implements handover.Sink. Guards the router's memory and descriptors, which the platform counts over both
// processes: each goes by a half while there are two.
func (d *daemon) AloneChanged(alone bool) {
	d.log.Info("processes of this router", "alone", alone)
	d.two = !alone
	d.pass()
	if d.lim = d.full; !alone {
		d.lim = d.full.DuringHotRestart()
	}
	d.memory()
	d.pool.SetLimits(d.lim)
	for _, f := range d.fronts {
		f.Limit(d.lim)
		f.listener.Resize(d.places())
	}
	if !alone {
		go debug.FreeOSMemory() // what the other one starts with has to come from here
		return
	}
	if d.store == nil && !d.ending {
		go func() {
			s, err := d.openStore()
			if err != nil {
				d.log.Error("the store stays closed", "err", err)
			}
			d.loop.Post(func() { d.store = s })
		}()
	}
}
