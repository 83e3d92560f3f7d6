package model

import (
	"time"

	"limeladder/internal/simulation/event"
)

// Bank is a primary and its replicas.
type Bank struct {
	ID      int64
	Members []*Machine
	Primary *Machine // who leads, whatever has become of it
	Follow  Follow

	world     *World
	log       []entry       // what not all have applied
	first     int           // the number of log[0]
	standing  time.Duration // what all know of stands still from here on, 0 = it goes on
	electing  bool
	changes   int
	successor *Machine // named for the next change, nil = who has most
}

// entry is a commit.
type entry struct {
	at   time.Duration
	cost time.Duration
}

// AddBank adds a bank without members.
func (w *World) AddBank(id int64, f Follow) *Bank {
	b := &Bank{ID: id, Follow: f, world: w}
	w.Banks = append(w.Banks, b)
	return b
}

// Changes is how often its primary has changed.
func (b *Bank) Changes() int { return b.changes }

// Leads says whether its primary takes writes now.
func (b *Bank) Leads() bool { return b.Primary != nil && b.Primary.state == Up && !b.electing }

func (b *Bank) committed() int { return b.first + len(b.log) }

// commit adds to the log and ships it.
func (b *Bank) commit(now time.Duration) {
	cost := time.Duration(0)
	if b.Follow.Apply > 0 {
		cost = time.Duration(b.world.rng.ExpFloat64() * float64(b.Follow.Apply))
	}
	b.log = append(b.log, entry{now, cost})
	number := b.committed()
	b.world.Clock.After(b.Follow.Ship, func() {
		for _, m := range b.Members {
			if m != b.Primary && m.state != Down {
				m.replica.arrive(m, number)
			}
		}
	})
	if len(b.log)%256 == 0 {
		b.cut()
	}
}

// cut forgets what all members have applied.
func (b *Bank) cut() {
	least := b.committed()
	for _, m := range b.Members {
		if m != b.Primary && !m.gone {
			least = min(least, m.replica.next)
		}
	}
	if n := least - b.first; n > 0 {
		b.log = append(b.log[:0:0], b.log[n:]...)
		b.first = least
	}
}

// Position is the newest commit that a machine has applied, and where it has all of them the moment up to which it knows of any.
func (m *Machine) Position() time.Duration {
	b, now := m.Bank, m.world.Clock.Now()
	if m.Primary() {
		return now
	}
	if r := &m.replica; r.next < b.committed() && r.next >= b.first {
		if at := b.log[r.next-b.first].at - 1; r.next < r.have || at < now-b.Follow.Ship {
			return min(at, r.seen(m, now))
		}
	}
	return m.replica.seen(m, now)
}

// replica is a machine's copy of its bank's log. It applies one entry after the other.
type replica struct {
	next    int // the first that is not applied
	have    int // so many have come
	stalled int // long reads that run
	busy    *event.Event
	missing bool          // it came back and has not begun to catch up
	known   time.Duration // while it is missing, the position that it had
}

// seen is the moment up to which a replica that has applied all knows of any commit.
func (r *replica) seen(m *Machine, now time.Duration) time.Duration {
	b := m.Bank
	at := now - b.Follow.Ship
	if b.standing > 0 {
		at = min(at, b.standing)
	}
	if r.missing {
		at = min(at, r.known)
	}
	return at
}

func (r *replica) arrive(m *Machine, number int) {
	if r.have = max(r.have, number); !r.missing {
		r.apply(m)
	}
}

// apply begins the next entry, where none is under way and nothing stalls it.
func (r *replica) apply(m *Machine) {
	b := m.Bank
	if r.busy != nil || r.stalled > 0 || r.missing || m.state != Up || r.next >= r.have || m.Primary() {
		return
	}
	r.next = max(r.next, b.first)
	if r.next >= b.committed() {
		return
	}
	cost, epoch := b.log[r.next-b.first].cost, m.epoch
	r.busy = b.world.Clock.After(cost, func() {
		r.busy = nil
		if m.epoch != epoch {
			return
		}
		r.next++
		r.apply(m)
	})
}

// resume notes that a long read has ended, or that the machine goes on.
func (r *replica) resume(m *Machine) {
	r.stalled = 0
	for _, x := range m.running {
		if x.Long && !m.Primary() {
			r.stalled++
		}
	}
	r.apply(m)
}

// rejoin lets one that came back catch up, after a while.
func (r *replica) rejoin(m *Machine) {
	b := m.Bank
	r.busy.Stop()
	r.busy, r.stalled, r.missing = nil, 0, true
	if b.Primary == m { // nobody has followed it
		r.missing = false
		return
	}
	epoch := m.epoch
	b.world.Clock.After(b.Follow.Resync, func() {
		if m.epoch == epoch {
			r.missing, r.have = false, b.committed()
			r.apply(m)
		}
	})
}

// lost begins a change where the primary has gone.
func (b *Bank) lost(m *Machine) {
	if b.Primary != m {
		return
	}
	if b.standing == 0 {
		b.standing = max(1, b.world.Clock.Now()-b.Follow.Ship)
	}
	if b.electing {
		return
	}
	b.electing = true
	detect, stand := between(b.world.rng, b.Follow.Detect), between(b.world.rng, b.Follow.Stand)
	b.world.Clock.After(detect, func() {
		if m.state == Up && b.Primary == m { // it was only slow: nobody had noticed
			b.electing, b.standing = false, 0
			b.world.changed(m)
			return
		}
		b.world.Clock.After(stand, func() { b.elect(m) })
	})
}

// drained hands over, where the primary is to leave.
func (b *Bank) drained(m *Machine) {
	if b.Primary != m || b.electing {
		return
	}
	b.electing = true
	b.world.Clock.After(between(b.world.rng, b.Follow.HandOver), func() { b.elect(m) })
}

// Name says who is to lead after the next change.
func (b *Bank) Name(m *Machine) { b.successor = m }

// elect makes the member with the most log the primary; where there is none it is tried again.
func (b *Bank) elect(old *Machine) {
	var best *Machine
	for _, m := range b.Members {
		if m == old && (m.state != Up || m.drain) || m.state != Up || m.drain || m.gone {
			continue
		}
		if best == nil || m.replica.next > best.replica.next {
			best = m
		}
	}
	if s := b.successor; s != nil && s.state == Up && !s.drain {
		best = s
	}
	if best == nil {
		b.world.Clock.After(100*time.Millisecond, func() { b.elect(old) })
		return
	}
	b.successor = nil
	// What it has not got is lost, or is with one that comes back: it is not applied any more.
	best.replica.busy.Stop()
	best.replica.busy, best.replica.next, best.replica.stalled, best.replica.missing = nil, b.committed(), 0, false
	b.Primary, b.electing, b.standing, best.led = best, false, 0, true
	b.changes++
	now := b.world.Clock.Now()
	for _, m := range b.Members {
		if m == best {
			continue
		}
		if m == old && m.state != Down { // it goes on as a replica
			m.replica.next, m.replica.have = b.committed(), b.committed()
			m.replica.known = now
		}
		m.replica.have = max(m.replica.have, b.committed())
		m.replica.apply(m)
	}
	b.world.changed(best)
	if old != best {
		b.world.changed(old)
	}
}
