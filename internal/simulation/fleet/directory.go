package fleet

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/limits"
	"limeladder/internal/simulation/model"
)

// directory is the simulated discovery, which learns of changes after a delay. Without Config.Pushed it serves the
// calls of routers one after the other; with it, each router has an agent to which it pushes changes.
type directory struct {
	*model.Registry
	fleet     *Fleet
	busyUntil time.Duration // when it can serve the next call
	downUntil time.Duration // it answers no calls before this time
	calls     uint64
}

func newDirectory(f *Fleet) *directory {
	d := &directory{fleet: f}
	d.Registry = model.NewRegistry(f.world, model.NoticeDelays{
		Change: f.cfg.Notice,
		Silent: f.cfg.Silent, Role: f.cfg.RoleLag,
	},
		f.drawDuration, func(i int) {
			e := endpointEntry(d.Entries[i])
			for _, r := range f.routers {
				switch {
				case f.cfg.Pushed:
					r.agent.push()
				case r.alive:
					r.watch.entryChanged(e)
				}
			}
		})
	return d
}

// endpointEntry converts a listing to an entry of the endpoint list.
func endpointEntry(l model.Listing) balance.EndpointEntry {
	states := map[model.ListingState]balance.EndpointState{model.ListedRemoved: balance.EndpointRemoved, model.ListedReady: balance.EndpointReady, model.ListedDraining: balance.EndpointDraining}
	return balance.EndpointEntry{Endpoint: l.Endpoint.ID, Zone: l.Endpoint.Zone, Group: l.Endpoint.Group.ID, State: states[l.State], Primary: l.Primary, StartedAt: l.StartedAt}
}

func (d *directory) list(kind balance.EndpointListKind) balance.EndpointList {
	l := d.changesSince(0)
	l.Kind = kind
	return l
}

// changesSince returns the entries that have changed after a version.
func (d *directory) changesSince(version int64) (l balance.EndpointList) {
	d.Since(version, func(e model.Listing) { l.Entries = append(l.Entries, endpointEntry(e)) })
	return l
}

// agent is the discovery agent on a router's host, to which discovery pushes lists. The router counts as notified of
// the list that its agent has.
type agent struct {
	router      *instance
	entries     []balance.EndpointEntry // the newest list that it was sent
	version     int64
	pushPending bool // a push is on its way, or is retried until discovery can reach the agent
}

// push sends the newest list to the agent once discovery runs and the link isn't cut.
func (a *agent) push() {
	if a.pushPending {
		return
	}
	a.pushPending = true
	f := a.router.fleet
	f.clock.After(f.addJitter(f.cfg.Cross), a.deliver)
}

func (a *agent) deliver() {
	const again = 50 * time.Millisecond
	f, d := a.router.fleet, a.router.fleet.directory
	if a.router.watch.isCut() || f.clock.Now() < d.downUntil {
		f.clock.After(again, a.deliver)
		return
	}
	a.pushPending = false
	a.entries, a.version = d.list(balance.ListFull).Entries, d.Version
	if r := a.router; r.alive {
		r.recordNotification(balance.EndpointList{Entries: a.entries})
		r.watch.receivePush()
	}
}

// watcher is a router's client of discovery or of its agent. It has at most one open call.
type watcher struct {
	router           *instance
	callOpen         bool
	watching         bool
	version          int64
	startedAt        time.Duration // when the newest answer arrived, after which the current watch started
	notificationLost bool          // a notification of the current watch was lost on a cut link
}

// notificationDelay is how long after the end of a watch its notification counts as made, whether or not it arrived.
const notificationDelay = 2 * time.Second

// isCut reports whether the link between the router and discovery is cut.
func (w *watcher) isCut() bool { return w.router.fleet.cutLinks[w.router.zone+">discovery"] }

// watchAgent starts a permanent watch at the agent.
func (w *watcher) watchAgent() {
	r := w.router
	if r.fleet.clock.Now() < r.fleet.directory.downUntil { // the agent answers nothing until discovery is back
		r.after(r.fleet.directory.downUntil-r.fleet.clock.Now(), w.watchAgent)
		return
	}
	w.watching = true
	w.receivePush()
}

// receivePush passes the agent's list to the router if it is new to the router.
func (w *watcher) receivePush() {
	r, a := w.router, w.router.agent
	if !w.watching || w.version == a.version {
		return
	}
	l := balance.EndpointList{Kind: balance.ListFull, Entries: a.entries}
	w.version = a.version
	r.recordNotification(l)
	r.core.UpdateEndpoints(l)
	r.run()
}

func (w *watcher) poll() {
	if w.callOpen || w.watching {
		return
	}
	w.call()
}

// entryChanged ends the current watch with a changed entry. On a cut link the watch stays silent until its timeout and
// the slack after it have passed; the router doesn't know the change, though it counts as notified meanwhile.
func (w *watcher) entryChanged(e balance.EndpointEntry) {
	r := w.router
	if !w.watching || w.callOpen || w.notificationLost {
		return
	}
	if !w.isCut() {
		w.call()
		return
	}
	lim := limits.New(r.fleet.cfg.MemoryMB, r.fleet.cfg.Sockets, r.fleet.cfg.ConnectWithin, r.fleet.cfg.ConnIdle,
		r.fleet.longestTimeout)
	now := r.fleet.clock.Now()
	// Each watch without a change was followed by another one.
	end := w.startedAt + ((now-w.startedAt)/lim.Discovery.LongPollTimeout+1)*lim.Discovery.LongPollTimeout
	if p := r.backend(e.Endpoint); p != nil && e.State != balance.EndpointReady && !p.leaving {
		p.leaving, p.leavingSince = true, end+notificationDelay
	}
	w.notificationLost = true
	r.after(end+lim.Discovery.WatchSlack-now, func() {
		w.notificationLost, w.watching = false, false
		r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListSilent})
	})
}

func (w *watcher) call() {
	r, d := w.router, w.router.fleet.directory
	w.callOpen = true
	incarnation, ended := r.incarnation, false
	if w.isCut() {
		r.after(r.fleet.cfg.ConnectWithin, func() {
			w.callOpen, w.watching = false, false
			r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListSilent})
		})
		return
	}
	d.calls++
	timeout := r.fleet.clock.After(r.fleet.cfg.CallWithin, func() {
		if r.incarnation != incarnation || ended {
			return
		}
		ended = true
		w.callOpen, w.watching = false, false
		r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFailed})
		r.run()
	})
	r.fleet.clock.After(r.fleet.addJitter(r.fleet.cfg.Cross), func() {
		now := r.fleet.clock.Now()
		if now < d.downUntil {
			return
		}
		d.busyUntil = max(d.busyUntil, now) + d.fleet.cfg.Call
		r.fleet.clock.At(d.busyUntil+r.fleet.addJitter(r.fleet.cfg.Cross), func() {
			if r.incarnation != incarnation || ended || !r.alive {
				return
			}
			ended = true
			timeout.Stop()
			l := d.list(balance.ListFull)
			if w.watching {
				l = d.changesSince(w.version)
			}
			w.callOpen, w.watching, w.version, w.startedAt = false, true, d.Version, r.fleet.clock.Now()
			r.recordNotification(l)
			r.core.UpdateEndpoints(l)
			r.run()
		})
	})
}

// Noticed returns how long discovery takes to list a draining endpoint, and to remove one that died without
// deregistering.
func Noticed(cfg Config, seed uint64) (drain, silent time.Duration, err error) {
	f, err := build(cfg, seed)
	if err != nil {
		return 0, 0, err
	}
	drained, killed := f.world.Endpoints[1], f.world.Endpoints[2]
	f.clock.Run(startTime + time.Second)
	drained.Drain()
	killed.Kill("test", 0)
	for at := f.clock.Now(); (drain == 0 || silent == 0) && f.clock.Now() < at+time.Minute; {
		f.clock.Run(f.clock.Now() + 10*time.Millisecond)
		if drain == 0 && f.directory.Entries[1].State == model.ListedDraining {
			drain = f.clock.Now() - at
		}
		if silent == 0 && f.directory.Entries[2].State == model.ListedRemoved {
			silent = f.clock.Now() - at
		}
	}
	return drain, silent, nil
}
