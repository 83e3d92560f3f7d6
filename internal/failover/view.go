package failover

import (
	"slices"
	"time"
)

// View is what those on call see of a bank.
type View struct {
	Bank     int64
	Phase    Phase
	Term     uint64
	Primary  string
	Since    time.Duration // how long the phase lasts
	Held     int
	Oldest   time.Duration // how long the oldest is held
	Out      int           // released and not answered
	Released uint64
	GivenUp  map[string]uint64
	History  []Line
}

// Views returns all banks, by their numbers.
func (m *Model) Views(now time.Duration) []View {
	oldest := map[*bank]time.Duration{}
	for _, h := range m.held {
		oldest[h.bank] = max(oldest[h.bank], now-h.at)
	}
	var out []View
	for _, b := range m.order {
		v := View{Bank: b.id, Phase: b.phase, Term: b.term, Primary: name(b.primary), Since: now - b.since, Held: len(b.queue), Oldest: oldest[b],
			Out: len(b.out), Released: b.released, GivenUp: map[string]uint64{}, History: slices.Clone(b.history)}
		for r, n := range b.givenUp {
			v.GivenUp[Reason(r).String()] = n
		}
		out = append(out, v)
	}
	return out
}

// Bank returns the phase, term and primary of one.
func (m *Model) Bank(id int64) (p Phase, term uint64, primary string, last Line) {
	b := m.banks[id]
	if b == nil {
		return Steady, 0, "", Line{}
	}
	if n := len(b.history); n > 0 {
		last = b.history[n-1]
	}
	return b.phase, b.term, name(b.primary), last
}
