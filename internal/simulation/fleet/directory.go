package fleet

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/limits"
	"limeladder/internal/simulation/model"
)

// directory is discovery: it hears of changes late and tells them to those who watch. Where it is asked it serves one call after
// the other; where it pushes, each router has an agent that is sent what is new.
type directory struct {
	*model.Registry
	f     *Fleet
	free  time.Duration // it is busy until then
	down  time.Duration // and answers nobody until then
	calls uint64
}

func newDirectory(f *Fleet) *directory {
	d := &directory{f: f}
	d.Registry = model.NewRegistry(f.world, model.NoticeDelays{Change: f.cfg.Notice, Silent: f.cfg.Silent, Role: f.cfg.RoleLag}, f.span, func(i int) {
		e := entry(d.Entries[i])
		for _, r := range f.routers {
			switch {
			case f.cfg.Pushed:
				r.agent.push()
			case r.alive:
				r.watch.news(e)
			}
		}
	})
	return d
}

// entry is a listing as routers read it.
func entry(l model.Listing) balance.EndpointEntry {
	states := map[model.ListingState]balance.EndpointState{model.ListedRemoved: balance.EndpointRemoved, model.ListedReady: balance.EndpointReady, model.ListedDraining: balance.EndpointDraining}
	return balance.EndpointEntry{Endpoint: l.Endpoint.ID, Zone: l.Endpoint.Zone, Group: l.Endpoint.Group.ID, State: states[l.State], Primary: l.Primary, StartedAt: l.StartedAt}
}

func (d *directory) list(kind balance.EndpointListKind) balance.EndpointList {
	l := d.since(0)
	l.Kind = kind
	return l
}

// since is what has changed behind a version.
func (d *directory) since(version int64) (l balance.EndpointList) {
	d.Since(version, func(e model.Listing) { l.Entries = append(l.Entries, entry(e)) })
	return l
}

// agent is on a router's own machine; discovery pushes lists to it. What it has counts as notified to the router.
type agent struct {
	r       *instance
	entries []balance.EndpointEntry // as it was sent last
	version int64
	waits   bool // something is on its way, or waits until discovery can reach it
}

// push sends it what is new, once discovery is there and the way open.
func (a *agent) push() {
	if a.waits {
		return
	}
	a.waits = true
	f := a.r.f
	f.clock.After(f.jitter(f.cfg.Cross), a.arrive)
}

func (a *agent) arrive() {
	const again = 50 * time.Millisecond
	f, d := a.r.f, a.r.f.directory
	if a.r.watch.cut() || f.clock.Now() < d.down {
		f.clock.After(again, a.arrive)
		return
	}
	a.waits = false
	a.entries, a.version = d.list(balance.ListFull).Entries, d.Version
	if r := a.r; r.alive {
		r.told(balance.EndpointList{Entries: a.entries})
		r.watch.pushed()
	}
}

// watcher is a router's side of it: one call is out at a time.
type watcher struct {
	r       *instance
	out     bool
	follows bool
	have    int64
	began   time.Duration // when the watch that is out was asked for
	lost    bool          // what it had to tell did not arrive
}

// told is how long after a watch's wait what it had to tell counts as notified, whether or not it arrived.
const told = 2 * time.Second

// cut says whether messages between the router and discovery get lost.
func (w *watcher) cut() bool { return w.r.f.cuts[w.r.zone+">discovery"] }

// follow starts a watch that goes on by itself, at the agent.
func (w *watcher) follow() {
	r := w.r
	if r.f.clock.Now() < r.f.directory.down { // it says nothing until discovery is back
		r.later(r.f.directory.down-r.f.clock.Now(), w.follow)
		return
	}
	w.follows = true
	w.pushed()
}

// pushed brings the router what its agent has and it has not.
func (w *watcher) pushed() {
	r, a := w.r, w.r.agent
	if !w.follows || w.have == a.version {
		return
	}
	l := balance.EndpointList{Kind: balance.ListFull, Entries: a.entries}
	w.have = a.version
	r.told(l)
	r.core.UpdateEndpoints(l)
	r.turn()
}

func (w *watcher) track() {
	if w.out || w.follows {
		return
	}
	w.call()
}

// news wakes the watch that is out. On a cut link it stays silent to the end of its wait and a while more, and the router knows
// nothing of what counts as notified to it meanwhile.
func (w *watcher) news(e balance.EndpointEntry) {
	r := w.r
	if !w.follows || w.out || w.lost {
		return
	}
	if !w.cut() {
		w.call()
		return
	}
	lim := limits.New(r.f.cfg.MemoryMB, r.f.cfg.Sockets, r.f.cfg.ConnectWithin, r.f.cfg.ConnIdle, r.f.longest)
	now := r.f.clock.Now()
	end := w.began + ((now-w.began)/lim.Discovery.LongPollTimeout+1)*lim.Discovery.LongPollTimeout // a watch without news was followed by the next one
	if p := r.peer(e.Endpoint); p != nil && e.State != balance.EndpointReady && !p.out {
		p.out, p.outAt = true, end+told
	}
	w.lost = true
	r.later(end+lim.Discovery.WatchSlack-now, func() {
		w.lost, w.follows = false, false
		r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListSilent})
	})
}

func (w *watcher) call() {
	r, d := w.r, w.r.f.directory
	w.out = true
	life, over := r.life, false
	if w.cut() {
		r.later(r.f.cfg.ConnectWithin, func() {
			w.out, w.follows = false, false
			r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListSilent})
		})
		return
	}
	d.calls++
	limit := r.f.clock.After(r.f.cfg.CallWithin, func() {
		if r.life != life || over {
			return
		}
		over = true
		w.out, w.follows = false, false
		r.core.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFailed})
		r.turn()
	})
	r.f.clock.After(r.f.jitter(r.f.cfg.Cross), func() {
		now := r.f.clock.Now()
		if now < d.down {
			return
		}
		d.free = max(d.free, now) + d.f.cfg.Call
		r.f.clock.At(d.free+r.f.jitter(r.f.cfg.Cross), func() {
			if r.life != life || over || !r.alive {
				return
			}
			over = true
			limit.Stop()
			l := d.list(balance.ListFull)
			if w.follows {
				l = d.since(w.have)
			}
			w.out, w.follows, w.have, w.began = false, true, d.Version, r.f.clock.Now()
			r.told(l)
			r.core.UpdateEndpoints(l)
			r.turn()
		})
	})
}

// Noticed is how long discovery takes to tell that a machine drains, and that one has died without a word.
func Noticed(cfg Config, seed uint64) (drain, silent time.Duration, err error) {
	f, err := build(cfg, seed)
	if err != nil {
		return 0, 0, err
	}
	a, b := f.world.Endpoints[1], f.world.Endpoints[2]
	f.clock.Run(start + time.Second)
	a.Drain()
	b.Kill("test", 0)
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
