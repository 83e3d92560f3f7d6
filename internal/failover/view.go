package failover

import (
	"slices"
	"time"
)

// View is what those on call see of a bank.
type GroupView struct {
	Group            int64
	Phase            Phase
	Term             uint64
	Primary          string
	Since            time.Duration // how long the phase lasts
	Pending          int
	OldestPending    time.Duration // how long the oldest is held
	ReleasedInFlight int           // released and not answered
	Released         uint64
	Rejected         map[string]uint64
	History          []Transition
}

// Views returns all banks, by their numbers.
func (m *Tracker) Views(now time.Duration) []GroupView {
	oldest := map[*bank]time.Duration{}
	for _, h := range m.held {
		oldest[h.bank] = max(oldest[h.bank], now-h.at)
	}
	var out []GroupView
	for _, b := range m.order {
		v := GroupView{Group: b.id, Phase: b.phase, Term: b.term, Primary: name(b.primary), Since: now - b.since, Pending: len(b.queue), OldestPending: oldest[b],
			ReleasedInFlight: len(b.out), Released: b.released, Rejected: map[string]uint64{}, History: slices.Clone(b.history)}
		for r, n := range b.givenUp {
			v.Rejected[Reason(r).String()] = n
		}
		out = append(out, v)
	}
	return out
}

// Bank returns the phase, term and primary of one.
func (m *Tracker) Group(id int64) (p Phase, term uint64, primary string, last Transition) {
	b := m.banks[id]
	if b == nil {
		return PhaseSteady, 0, "", Transition{}
	}
	if n := len(b.history); n > 0 {
		last = b.history[n-1]
	}
	return b.phase, b.term, name(b.primary), last
}
