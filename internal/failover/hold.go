package failover

import (
	"container/heap"
	"time"
)

// hold is one request that waits for a primary.
type hold struct {
	Request
	bank   *bank
	worth  float64
	at     time.Duration
	latest time.Duration // it can't be answered in time if it is let out later than this
	index  int           // in the bank's queue
	client *client
	slot   int // among the client's
}

// queue is a bank's heap by the latest useful moment: the earliest is let out first, and is the first that is too late.
type queue []*hold

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].latest < q[j].latest }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	h := x.(*hold)
	h.index = len(*q)
	*q = append(*q, h)
}
func (q *queue) Pop() any {
	n := len(*q) - 1
	h := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	h.index = -1
	return h
}

// client is who has asked; clients is a heap of them by how many of theirs are held, the most first.
type client struct {
	name  string
	held  []*hold
	index int
}

type clients []*client

func (c clients) Len() int           { return len(c) }
func (c clients) Less(i, j int) bool { return len(c[i].held) > len(c[j].held) }
func (c clients) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].index, c[j].index = i, j
}
func (c *clients) Push(x any) {
	k := x.(*client)
	k.index = len(*c)
	*c = append(*c, k)
}
func (c *clients) Pop() any {
	n := len(*c) - 1
	k := (*c)[n]
	(*c)[n] = nil
	*c = (*c)[:n]
	return k
}

// Holds says whether a request of that class and bank would be held now, rather than given to the module.
func (m *Tracker) ShouldQueue(id int64, class string) bool {
	b := m.banks[id]
	if b == nil || !b.in() && (b.phase != PhaseSuccessorSeen || len(b.queue) == 0) {
		return false
	}
	_, ok := m.cfg.Classes[class]
	return ok
}

// Held says whether a request is held.
func (m *Tracker) IsPending(id string) bool { return m.held[id] != nil }

// Hold takes a request. What can't be answered in time is given up at once; where there is no room the least valuable one
// goes, of the client that has the most.
func (m *Tracker) Enqueue(now time.Duration, q Request) {
	if m.held[q.ID] != nil {
		return
	}
	h := &hold{Request: q, bank: m.bank(q.Group), worth: m.cfg.Classes[q.Class].PriorityWeight, at: now, latest: m.latest(q)}
	if now >= h.latest {
		m.giveUp(h, ReasonDeadline, now)
		return
	}
	k := m.byName[q.Client]
	if q.Client == "" {
		k = nil
	}
	if k == nil {
		k = &client{name: q.Client}
		if q.Client != "" {
			m.byName[q.Client] = k
		}
		heap.Push(&m.clients, k)
	}
	h.client = k
	h.slot = len(k.held)
	k.held = append(k.held, h)
	heap.Fix(&m.clients, k.index)
	m.held[q.ID] = h
	if len(h.bank.queue) == 0 {
		h.bank.oldest = now
	}
	heap.Push(&h.bank.queue, h)
	m.bytes += q.Size
	for len(m.held) > m.cfg.MaxPending || m.bytes > m.cfg.MaxPendingBytes {
		least := m.least()
		m.drop(least)
		m.giveUp(least, ReasonQueueFull, now)
	}
	if m.held[q.ID] != nil {
		m.let(h.bank, now)
	}
	// Before this was held its members were asked now and then only.
	h.bank.credit += probePaid / float64(max(1, m.cfg.Instances))
	if b := h.bank; b.in() && b.paid() {
		b.nextAsk = min(b.nextAsk, now+b.gap*3/4+time.Duration(m.rng.Int64N(int64(b.gap/2))))
	}
}

// least is the least valuable one of the client that has the most held: of the least worth, and among equals the one that
// came last, since it has waited least.
func (m *Tracker) least() *hold {
	k := m.clients[0]
	least := k.held[0]
	for _, h := range k.held[1:] {
		if h.worth < least.worth || h.worth == least.worth && h.at >= least.at {
			least = h
		}
	}
	return least
}

// latest is the last moment in which it is of use to let a request out: the client's deadline, less the answer's way, less
// what it takes to serve it.
func (m *Tracker) latest(q Request) time.Duration {
	return q.Deadline - m.cfg.DeadlineMargin - m.expect(q.Class)
}

// expect is the time that a request of a class takes once it is sent.
func (m *Tracker) expect(class string) time.Duration {
	if w := m.work[class]; w != nil {
		return *w
	}
	return m.cfg.Classes[class].Work
}

// drop takes a request out of the queue.
func (m *Tracker) drop(h *hold) {
	delete(m.held, h.ID)
	heap.Remove(&h.bank.queue, h.index)
	m.bytes -= h.Size
	k := h.client
	last := len(k.held) - 1
	k.held[h.slot] = k.held[last]
	k.held[h.slot].slot = h.slot
	k.held[last] = nil
	k.held = k.held[:last]
	if len(k.held) == 0 {
		heap.Remove(&m.clients, k.index)
		delete(m.byName, k.name)
	} else {
		heap.Fix(&m.clients, k.index)
	}
}

func (m *Tracker) giveUp(h *hold, why Reason, now time.Duration) {
	h.bank.givenUp[why]++
	m.do(Action{Kind: ActionReject, ID: h.ID, Group: h.bank.id, RetryAfter: m.after(h.bank, now), Reason: why})
}

// after is when a client may come back: when the change is over, as far as those before it tell. It is drawn from a
// quarter more, so that those who are sent away do not return together.
func (m *Tracker) after(b *bank, now time.Duration) time.Duration {
	left := againLeast
	if b.in() {
		left = max(againLeast, m.usual-(now-b.changed))
		if now-b.changed > m.usual { // longer than usual: as long again
			left = max(againLeast, (now-b.changed)/2)
		}
	}
	left += time.Duration(m.rng.Int64N(int64(left/4) + 1))
	if m.cfg.MaxRetryAfter > 0 {
		left = min(left, m.cfg.MaxRetryAfter)
	}
	return left
}

// Busy says whether anything is held, or let out and not answered.
func (m *Tracker) InProgress() bool { return len(m.held)+m.outs > 0 }

// Done says that a request is answered, or that its client has left.
func (m *Tracker) RequestDone(now time.Duration, bank int64, id string) {
	if !m.InProgress() {
		return
	}
	if h := m.held[id]; h != nil {
		m.drop(h)
	}
	if b := m.banks[bank]; b != nil && b.out[id] {
		delete(b.out, id)
		m.outs--
		m.let(b, now)
	}
}

// expire gives up what can't be answered in time any more, and what was held for as long as any may be.
func (m *Tracker) expire(b *bank, now time.Duration) {
	for len(b.queue) > 0 && now >= b.queue[0].latest {
		h := b.queue[0]
		m.drop(h)
		m.giveUp(h, ReasonDeadline, now)
	}
	if m.cfg.MaxPendingTime <= 0 || now < b.oldest+m.cfg.MaxPendingTime || len(b.queue) == 0 {
		return
	}
	var old []*hold
	b.oldest = now
	for _, h := range b.queue {
		if now-h.at >= m.cfg.MaxPendingTime {
			old = append(old, h)
		} else {
			b.oldest = min(b.oldest, h.at)
		}
	}
	for _, h := range old {
		m.drop(h)
		m.giveUp(h, ReasonQueueTimeout, now)
	}
}

// let lets out what the window has room for, the earliest deadline first.
func (m *Tracker) let(b *bank, now time.Duration) {
	if b.phase != PhaseSuccessorSeen {
		return
	}
	for len(b.queue) > 0 && float64(len(b.out)) < b.window {
		h := b.queue[0]
		m.drop(h)
		if now >= h.latest {
			m.giveUp(h, ReasonDeadline, now)
			continue
		}
		b.out[h.ID] = true
		m.outs++
		b.released++
		m.do(Action{Kind: ActionRelease, ID: h.ID, Group: b.id})
	}
}
