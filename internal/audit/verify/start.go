package verify

// maxRecentLinks is the number of the newest messages of a start whose links are kept to recognize repeated messages.
const maxRecentLinks = 1 << 14

// recentLinks holds the links that the newest messages of a start hash to.
type recentLinks struct {
	seen   map[link]bool
	order  []link // a ring buffer once it is full
	oldest int    // the index of the oldest link in a full ring
}

// add adds a link, and removes the oldest one if there are maxRecentLinks already.
func (r *recentLinks) add(l link) {
	r.seen[l] = true
	if len(r.order) < maxRecentLinks {
		r.order = append(r.order, l)
		return
	}
	delete(r.seen, r.order[r.oldest])
	r.order[r.oldest] = l
	r.oldest = (r.oldest + 1) % maxRecentLinks
}

// startState is the state of the verification of one start.
type startState struct {
	*Start
	link       link   // the link that the next message has to carry
	newestRaw  []byte // the newest message, which is hashed again with the other keys if the link does not match
	nextNumber uint64 // the number that the next record should have
	recent     recentLinks
	sinceHead  headSpan
	hasFault   bool // a fault since the last head, or a missing beginning: the next head's counts are not checked
	hasEnded   bool // its last record was read
}

// headSpan is the count and the numbers of the messages between two heads of the chain, which the second one carries.
type headSpan struct {
	count uint64 // messages
	first uint64 // the number of the first message, 0 = none
	last  uint64
}

// newStartState returns the state of a start whose first message in the files is m. complete reports whether m is the
// first message of the start.
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

// isRepeated reports whether an identical message was read before: the router sends messages again after a connection
// was lost.
func (s *startState) isRepeated(m *message) bool {
	return !m.nextLink.isZero() && s.recent.seen[m.nextLink]
}

// advance updates the state after m, the newest message of the start.
func (s *startState) advance(m *message) {
	s.link = m.nextLink
	s.newestRaw = m.raw
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
