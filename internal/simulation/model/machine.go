package model

import (
	"container/heap"
	"fmt"
	"time"

	"limeladder/internal/simulation/event"
)

// State is what has become of a machine.
type State uint8

// The states.
const (
	Up State = iota
	Hung
	Down
)

// Machine is one db machine.
type Machine struct {
	ID   string
	Zone string
	Kind Kind
	Bank *Bank

	world *World
	state State
	slow  float64 // part of its speed that a neighbour leaves
	cold  bool    // it was started at upAt with cold caches
	upAt  time.Duration
	warmW float64 // work done since then
	drain bool
	gone  bool
	led   bool // it is or was its bank's primary
	// cause says why it went down, for those who look on.
	cause string

	running   running
	waiting   []*Work
	own       float64 // its own time: what each running statement has got, seconds of work
	movedAt   time.Duration
	next      *event.Event
	step      *event.Event // while it is cold
	conns     int
	epoch     int // grows when its connections break
	offered   [fallSpan]float64
	slot      int
	overFor   time.Duration
	looking   *event.Event
	report    Report
	reportAt  time.Duration
	busy      float64 // work done since the last report
	served    uint64
	replica   replica
	workTotal float64
}

// Add puts a machine into a bank. It is warm.
func (w *World) Add(id, zone string, k Kind, b *Bank) *Machine {
	m := &Machine{ID: id, Zone: zone, Kind: k, Bank: b, world: w, slow: 1}
	m.replica.next = b.committed()
	w.Machines = append(w.Machines, m)
	b.Members = append(b.Members, m)
	if b.Primary == nil {
		b.Primary, m.led = m, true
	}
	return m
}

// State is whether it is up, hangs or is down.
func (m *Machine) State() State { return m.state }

// Cold says that it is warming up since its start.
func (m *Machine) Cold() bool { return m.cold }

// Draining says that it is about to leave.
func (m *Machine) Draining() bool { return m.drain }

// Gone says that it has left, or is not there yet.
func (m *Machine) Gone() bool { return m.gone }

// Led says that it is the primary of its bank, or was.
func (m *Machine) Led() bool { return m.led }

// Cause says why it is not up; it is empty while it is.
func (m *Machine) Cause() string { return m.cause }

// Running is how many statements it works on.
func (m *Machine) Running() int { return len(m.running) }

// Waiting is how many statements wait for one of its cores.
func (m *Machine) Waiting() int { return len(m.waiting) }

// Conns is how many connections it has.
func (m *Machine) Conns() int { return m.conns }

// Served is how many statements it has served.
func (m *Machine) Served() uint64 { return m.served }

// Primary says that it is the primary of its bank.
func (m *Machine) Primary() bool { return m.Bank.Primary == m }

// UpAt is when it was started last.
func (m *Machine) UpAt() time.Duration { return m.upAt }

// Warmth is the part of its capacity that it has.
func (m *Machine) Warmth() float64 {
	if !m.cold {
		return 1
	}
	part := 1.0
	if m.Kind.WarmByWork {
		if all := m.Kind.ColdFor.Seconds() * float64(m.Kind.Cores) * m.Kind.Speed; all > 0 {
			part = m.warmW / all
		}
	} else if m.Kind.ColdFor > 0 {
		part = (m.world.Clock.Now() - m.upAt).Seconds() / m.Kind.ColdFor.Seconds()
	}
	return min(1, m.Kind.ColdFrom+(1-m.Kind.ColdFrom)*part)
}

// Capacity is the work that it can do in a second now.
func (m *Machine) Capacity() float64 {
	if m.state != Up {
		return 0
	}
	tax := 0.0
	if m.Kind.Conns > 0 {
		tax = m.Kind.FullTax * float64(m.conns) / float64(m.Kind.Conns)
	}
	return float64(m.Kind.Cores) * m.Kind.Speed * m.slow * m.Warmth() * (1 - tax)
}

// rate is what each running statement gets in a second.
func (m *Machine) rate() float64 {
	n := float64(len(m.running))
	if n == 0 || m.state != Up {
		return 0
	}
	cores := float64(m.Kind.Cores)
	lost := m.Kind.Thrash * max(0, n/cores-m.Kind.ThrashAt)
	return m.Capacity() / (1 + lost) / max(n, cores)
}

// move brings its own time up to now. It is called before anything changes that the rate depends on.
func (m *Machine) move() {
	now := m.world.Clock.Now()
	got := m.rate() * (now - m.movedAt).Seconds()
	m.own += got
	all := got * float64(len(m.running))
	m.busy += all
	m.workTotal += all
	if m.cold {
		m.warmW += all
	}
	m.movedAt = now
}

// plan asks for the next end. It is called after anything has changed.
func (m *Machine) plan() {
	m.next.Stop()
	m.next = nil
	if len(m.running) == 0 {
		return
	}
	rate := m.rate()
	if rate <= 0 {
		return
	}
	left := max(0, (m.running[0].tag-m.own)/rate)
	m.next = m.world.Clock.After(time.Duration(left*1e9)+1, m.ended)
}

// ended serves what is done and starts what waits.
func (m *Machine) ended() {
	m.next = nil
	m.move()
	for len(m.running) > 0 && m.running[0].tag <= m.own+1e-9 {
		x := heap.Pop(&m.running).(*Work)
		m.finish(x)
	}
	m.start()
	m.plan()
}

func (m *Machine) finish(x *Work) {
	m.served++
	if x.Long {
		m.replica.resume(m)
	}
	now := m.world.Clock.Now()
	switch {
	case x.Write && !m.Primary():
		x.Done(ReadOnly, m.Position(), false)
	case x.See > m.Position() && !m.Primary(): // it came while the machine hung, or while it led
		x.Done(Behind, m.Position(), false)
	case m.Kind.Errors > 0 && m.world.rng.Float64() < m.Kind.Errors:
		x.Done(Failed, m.Position(), m.Primary())
	case x.Write:
		m.Bank.commit(now)
		x.Done(Served, now, true)
	default:
		x.Done(Served, m.Position(), m.Primary())
	}
}

// start lets what waits run while there are slots.
func (m *Machine) start() {
	for len(m.waiting) > 0 && len(m.running) < m.Kind.Slots {
		x := m.waiting[0]
		m.waiting[0] = nil
		m.waiting = m.waiting[1:]
		if m.Kind.DropsLate && x.Until > 0 && m.world.Clock.Now() >= x.Until {
			x.Done(Late, 0, m.Primary())
			continue
		}
		m.run(x)
	}
}

func (m *Machine) run(x *Work) {
	x.tag = m.own + x.Need.Seconds()
	heap.Push(&m.running, x)
	if x.Long && !m.Primary() {
		m.replica.stalled++
	}
}

// Submit hands a statement over. On a machine that hangs it waits.
func (m *Machine) Submit(x *Work) {
	x.machine, x.index = m, -1
	if m.state == Down {
		x.Done(Broke, 0, false)
		return
	}
	if m.state == Up {
		pos := m.Position()
		switch {
		case x.Write && !m.Primary():
			x.Done(ReadOnly, pos, false)
			return
		case x.See > pos && !m.Primary():
			x.Done(Behind, pos, false)
			return
		case len(m.running) >= m.Kind.Slots && len(m.waiting) >= m.Kind.Room:
			m.offer(x.Need)
			x.Done(Full, pos, m.Primary())
			return
		}
	}
	m.offer(x.Need)
	m.move()
	if m.state == Up && len(m.running) < m.Kind.Slots {
		m.run(x)
	} else {
		m.waiting = append(m.waiting, x)
	}
	m.plan()
}

// Cancel gives a statement up. What runs goes on where the machine does not stop it, and its end is told to nobody.
func (m *Machine) Cancel(x *Work) {
	if x.machine != m {
		return
	}
	for i, y := range m.waiting {
		if y == x {
			m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
			x.Done(Stopped, 0, m.Primary())
			return
		}
	}
	if x.index < 0 || !m.Kind.CancelAll || m.state != Up {
		return
	}
	m.move()
	heap.Remove(&m.running, x.index)
	if x.Long {
		m.replica.resume(m)
	}
	x.Done(Stopped, 0, m.Primary())
	m.start()
	m.plan()
}

// Connect opens a connection; what it costs is work like any other. done says whether it came up, and in which epoch.
func (m *Machine) Connect(done func(ok, full bool, epoch int)) {
	switch {
	case m.state == Down:
		done(false, false, m.epoch)
		return
	case m.state == Hung:
		return // nobody answers
	case m.Kind.Conns > 0 && m.conns >= m.Kind.Conns:
		done(false, true, m.epoch)
		return
	}
	m.move()
	m.conns++
	epoch := m.epoch
	m.plan()
	welcome := func() {
		if m.epoch == epoch {
			done(true, false, epoch)
		} else {
			done(false, false, m.epoch)
		}
	}
	if m.Kind.Handshake == 0 {
		welcome()
		return
	}
	// A handshake has no slot to wait for: it takes its time of a core beside the statements.
	per := max(0.01, m.Capacity()/float64(max(m.Kind.Cores, len(m.running)+1)))
	m.world.Clock.After(time.Duration(m.Kind.Handshake.Seconds()/per*1e9), welcome)
}

// Disconnect closes a connection of an epoch.
func (m *Machine) Disconnect(epoch int) {
	if epoch == m.epoch && m.conns > 0 {
		m.move()
		m.conns--
		m.plan()
	}
}

// Epoch is that of its present connections: those of another one are broken.
func (m *Machine) Epoch() int { return m.epoch }

// Ask asks for its report. A machine that is not up says nothing, and ok is false where it refuses.
func (m *Machine) Ask(done func(r Report, ok bool)) {
	switch m.state {
	case Down:
		done(Report{}, false)
		return
	case Hung:
		return
	}
	now := m.world.Clock.Now()
	if m.reportAt == 0 || now-m.reportAt >= m.Kind.Refresh {
		m.move()
		use := 0.0
		if span := (now - m.reportAt).Seconds(); m.reportAt > 0 && span > 0 {
			use = m.busy / span / max(1e-9, m.Capacity())
		}
		use *= 1 + m.Kind.Noise*m.world.rng.NormFloat64()
		m.report = Report{Position: m.Position(), Primary: m.Primary(), Use: max(0, use)}
		m.reportAt, m.busy = now, 0
	}
	m.offer(m.Kind.ProbeWork)
	m.workTotal += m.Kind.ProbeWork.Seconds()
	r := m.report
	per := max(0.01, m.Capacity()/float64(max(m.Kind.Cores, len(m.running)+1)))
	epoch := m.epoch
	m.world.Clock.After(time.Duration(m.Kind.ProbeWork.Seconds()/per*1e9), func() {
		if m.epoch == epoch && m.state == Up {
			done(r, true)
		}
	})
}

// ---- What befalls it

// offer counts work that it was asked for, and begins to look whether that is too much.
func (m *Machine) offer(w time.Duration) {
	if m.Kind.FallFor == 0 {
		return
	}
	m.offered[m.slot] += w.Seconds()
	if m.looking == nil {
		m.looking = m.world.Clock.After(fallStep, m.look)
	}
}

func (m *Machine) look() {
	m.looking = nil
	sum := 0.0
	for _, w := range m.offered {
		sum += w
	}
	m.slot = (m.slot + 1) % fallSpan
	m.offered[m.slot] = 0
	if m.state != Up || sum == 0 {
		m.overFor = 0
		return
	}
	if sum/(fallStep*fallSpan).Seconds() > m.Kind.FallMultiple*m.Capacity() {
		if m.overFor += fallStep; m.overFor >= m.Kind.FallFor {
			m.Kill(fmt.Sprintf("pushed over at %.0f%% of its capacity", 100*m.Warmth()), m.Kind.FallBack)
			return
		}
	} else {
		m.overFor = 0
	}
	m.looking = m.world.Clock.After(fallStep, m.look)
}

// Kill ends it with all that it has; it comes back cold after a while, 0 = never.
func (m *Machine) Kill(cause string, back time.Duration) {
	if m.state == Down {
		return
	}
	m.move()
	m.replica.known = m.Position() // it hears no more
	if m.Primary() {               // and has all that it has committed: a position never goes back
		m.replica.next, m.replica.have = m.Bank.committed(), m.Bank.committed()
	}
	m.state, m.cause = Down, cause
	m.epoch++
	m.conns, m.overFor, m.offered = 0, 0, [fallSpan]float64{}
	m.next.Stop()
	m.step.Stop()
	m.replica.stalled = 0
	all := append(m.running, m.waiting...)
	m.running, m.waiting = nil, nil
	m.world.changed(m)
	m.Bank.lost(m)
	for _, x := range all {
		x.index = -1
		x.Done(Broke, 0, false)
	}
	if back > 0 {
		m.world.Clock.After(back, m.Start)
	}
}

// Start lets it come back, cold and behind.
func (m *Machine) Start() {
	if m.state != Down || m.gone {
		return
	}
	m.state, m.cause = Up, ""
	m.cold, m.upAt, m.warmW, m.drain = true, m.world.Clock.Now(), 0, false
	m.movedAt = m.upAt
	m.warm()
	m.replica.rejoin(m)
	m.world.changed(m)
}

// warm looks at it while it is cold: its rate changes all the time.
func (m *Machine) warm() {
	m.step = nil
	m.move()
	if m.Warmth() >= 1 {
		m.cold = false
	} else {
		m.step = m.world.Clock.After(warmStep, m.warm)
	}
	m.plan()
}

// Hang stops it without a word; its connections stay.
func (m *Machine) Hang(length time.Duration) {
	if m.state != Up {
		return
	}
	m.move()
	m.state, m.cause = Hung, "hangs"
	m.next.Stop()
	m.next = nil
	m.world.changed(m)
	m.Bank.lost(m)
	if length > 0 {
		m.world.Clock.After(length, m.Resume)
	}
}

// Resume lets one that hung go on: what had come it does then.
func (m *Machine) Resume() {
	if m.state != Hung {
		return
	}
	m.state, m.cause, m.movedAt = Up, "", m.world.Clock.Now()
	m.replica.resume(m)
	m.start()
	m.plan()
	m.world.changed(m)
}

// Drain takes it out in order: a primary hands over.
func (m *Machine) Drain() {
	if m.drain || m.state == Down {
		return
	}
	m.drain = true
	m.world.changed(m)
	m.Bank.drained(m)
}

// Reserve keeps it back: it is not there until Appear. It is called before anything follows the world.
func (m *Machine) Reserve() { m.state, m.gone, m.cause = Down, true, "not there yet" }

// Appear lets one that was kept back begin, cold, with a copy of what its bank has committed.
func (m *Machine) Appear() {
	if m.gone && m.state == Down {
		m.gone = false
		m.replica.next, m.replica.have = m.Bank.committed(), m.Bank.committed()
		m.Start()
	}
}

// Remove ends it for good.
func (m *Machine) Remove() {
	m.gone = true
	m.Kill("removed", 0)
	m.world.changed(m)
}

// Slow leaves it a part of its speed, as a noisy neighbour does.
func (m *Machine) Slow(part float64) {
	m.move()
	m.slow = part
	m.plan()
}

// Sicken sets the share of its statements that end in an error.
func (m *Machine) Sicken(share float64) { m.Kind.Errors = share }

// Did is the work that it has done, in seconds of a core.
func (m *Machine) Did() float64 { m.move(); return m.workTotal }

// running is a heap by the machine's own time at which a statement is done.
type running []*Work

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].tag < r[j].tag }
func (r running) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

func (r *running) Push(x any) {
	w := x.(*Work)
	w.index = len(*r)
	*r = append(*r, w)
}

func (r *running) Pop() any {
	n := len(*r) - 1
	w := (*r)[n]
	(*r)[n] = nil
	*r = (*r)[:n]
	w.index = -1
	return w
}
