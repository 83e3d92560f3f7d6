package model

import "time"

// Registry is what a list of machines says of a world: late, and no more than discovery can know. It owns the entries and their
// versions, not how they are told.
type Registry struct {
	Version int64 // of the newest change; the first list is 1
	Entries []Listing

	world *World
	cfg   Notices
	draw  func([2]time.Duration) time.Duration
	told  func(i int)
	led   map[*Bank]*Machine
}

// Notices is how late a registry says what happens, each drawn between a pair.
type Notices struct {
	Change [2]time.Duration // that a machine drains, has gone or is back
	Silent [2]time.Duration // that one has gone without a word
	Role   [2]time.Duration // who leads a bank now, both 0 = it goes on to say who led at the start
}

// Listing is one machine in the list.
type Listing struct {
	Machine *Machine
	State   ListedAs
	Primary bool
	UpAt    time.Duration // its last start, 0 = before the world began
	Changed int64         // the version that said something new of it last
}

// ListedAs is the state in which a machine is listed.
type ListedAs int

// The states, with the words for them.
const (
	ListedGone ListedAs = iota
	ListedReady
	ListedDraining
)

func (s ListedAs) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// NewRegistry lists all machines of a world as they are, and follows it. draw takes a time out of a pair; told is called behind
// each change of an entry.
func NewRegistry(w *World, cfg Notices, draw func([2]time.Duration) time.Duration, told func(i int)) *Registry {
	r := &Registry{Version: 1, world: w, cfg: cfg, draw: draw, told: told, led: map[*Bank]*Machine{}}
	for _, m := range w.Machines {
		e := Listing{Machine: m, State: ListedReady, Primary: m.Primary(), Changed: 1}
		if m.Gone() {
			e.State, e.Changed = ListedGone, 0 // never told, until it appears
		}
		r.Entries = append(r.Entries, e)
	}
	for _, b := range w.Banks {
		r.led[b] = b.Primary
	}
	w.Watch(r.hears)
	return r
}

// roles says whether it goes on to say who leads.
func (r *Registry) roles() bool { return r.cfg.Role[1] > 0 }

// hears notes a change, and says it after a while.
func (r *Registry) hears(m *Machine) {
	span := r.cfg.Change
	if m.State() == Hung || m.State() == Down && !m.Draining() && !m.Gone() {
		span = r.cfg.Silent
	}
	r.world.Clock.After(r.draw(span), func() {
		r.change(m, func(e *Listing) {
			switch {
			case m.Gone() || m.State() != Up:
				e.State = ListedGone
			case m.Draining():
				e.State = ListedDraining
			default:
				e.State = ListedReady
			}
			if m.UpAt() > 0 {
				e.UpAt = m.UpAt()
			}
			if e.State != ListedReady && !r.roles() {
				e.Primary = false
			}
		})
	})
	b := m.Bank
	if !r.roles() || !b.Leads() || r.led[b] == b.Primary {
		return
	}
	// What is said late is who led when it happened, whoever does by then.
	leads := b.Primary
	r.led[b] = leads
	r.world.Clock.After(r.draw(r.cfg.Role), func() {
		for _, o := range b.Members {
			r.change(o, func(e *Listing) { e.Primary = o == leads })
		}
	})
}

// change sets something of an entry, and counts it where that is news.
func (r *Registry) change(m *Machine, set func(e *Listing)) {
	for i := range r.Entries {
		was := r.Entries[i]
		if was.Machine != m {
			continue
		}
		e := was
		if set(&e); e != was {
			r.Version++
			e.Changed = r.Version
			r.Entries[i] = e
			r.told(i)
		}
	}
}

// Since calls f for each entry that has changed behind a version; all have behind 0.
func (r *Registry) Since(version int64, f func(e Listing)) {
	for _, e := range r.Entries {
		if e.Changed > version {
			f(e)
		}
	}
}
