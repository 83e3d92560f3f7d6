package verify

// rememberedLinks is how many of the newest messages of a start are remembered, to know one that comes again.
const rememberedLinks = 1 << 14

// recentLinks remembers the links of the newest messages of a start.
type recentLinks struct {
	seen   map[link]bool
	order  []link // a ring once it is full
	oldest int    // the index of the oldest link in a full ring
}

// add remembers a link, and forgets the oldest one where there are too many.
func (r *recentLinks) add(l link) {
	r.seen[l] = true
	if len(r.order) < rememberedLinks {
		r.order = append(r.order, l)
		return
	}
	delete(r.seen, r.order[r.oldest])
	r.order[r.oldest] = l
	r.oldest = (r.oldest + 1) % rememberedLinks
}

// startState follows the messages of one start.
type startState struct {
	*Start
	link       link   // what the next message has to carry
	newest     []byte // the newest message, hashed again under another key where the link does not fit
	nextNumber uint64
	recent     recentLinks
	sinceHead  headSpan
	hasFault   bool // there is a fault since the last head, so that the counts of the next one can't fit
	hasEnded   bool // its last record was read
}

// headSpan is what a head of the chain says of the messages since the head before.
type headSpan struct {
	count uint64 // messages
	first uint64 // the number of the first one, 0 = none
	last  uint64
}

// newStartState returns the state of a start whose first message is m, and whether the beginning of the start is there.
func newStartState(m *message) (state *startState, complete bool) {
	state = &startState{Start: &Start{ID: m.start}, recent: recentLinks{seen: map[link]bool{}}}
	if m.kind == kindStart && m.number == 1 {
		state.nextNumber = 1
		state.link = genesisLink
		return state, true
	}
	state.nextNumber = m.number
	state.link = m.link
	state.hasFault = true
	return state, false
}

// isRepeated reports whether a message has come before, byte for byte: the router sends messages again where a
// connection broke.
func (s *startState) isRepeated(m *message) bool {
	return !m.nextLink.isZero() && s.recent.seen[m.nextLink]
}

// advance makes a message the newest one of the start.
func (s *startState) advance(m *message) {
	s.link = m.nextLink
	s.newest = m.raw
	if !m.nextLink.isZero() {
		s.recent.add(m.nextLink)
	}
	if m.kind == kindChain {
		s.sinceHead = headSpan{}
		s.hasFault = false
		s.Unproved = 0
		return
	}
	s.sinceHead.count++
	if s.sinceHead.first == 0 {
		s.sinceHead.first = m.number
	}
	s.sinceHead.last = m.number
	s.Unproved++
	s.nextNumber = max(s.nextNumber, m.number+1)
	if s.First == 0 || m.number < s.First {
		s.First = m.number
	}
	s.Last = max(s.Last, m.number)
}
