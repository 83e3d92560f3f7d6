package model

import (
	"testing"
	"time"

	"limeladder/internal/simulation/event"
)

const begin = 1000 * time.Second

func machine(k Kind, members int) (*event.Clock, *World, *Machine) {
	c := event.New(begin)
	w := New(c, 1)
	b := w.AddBank(1, Follow{Ship: 8 * time.Millisecond, Apply: time.Millisecond, Detect: [2]time.Duration{time.Second, time.Second}, Resync: 100 * time.Millisecond})
	for i := range members {
		w.Add(string(rune('a'+i)), "z", k, b)
	}
	return c, w, w.Machines[0]
}

func kind() Kind {
	return Kind{Cores: 1, Speed: 1, Slots: 1, Room: 2, ColdFrom: 0.16, ColdFor: 18 * time.Second}
}

// ends keeps how statements ended; each ends once.
type ends map[string][]Outcome

func (e ends) work(name string, need time.Duration) *Work {
	return &Work{Need: need, Done: func(o Outcome, _ time.Duration, _ bool) { e[name] = append(e[name], o) }}
}

func (e ends) are(t *testing.T, want map[string]Outcome) {
	t.Helper()
	for name, o := range want {
		if len(e[name]) != 1 || e[name][0] != o {
			t.Errorf("%s ended %v, not once as %v", name, e[name], o)
		}
	}
	for name := range e {
		if _, ok := want[name]; !ok {
			t.Errorf("%s ended: %v", name, e[name])
		}
	}
}

// What waits is cancelled on any machine, what runs where the machine stops it; behind its end a cancel does nothing.
func TestCancel(t *testing.T) {
	for _, all := range []bool{false, true} {
		k := kind()
		k.CancelAll = all
		c, _, m := machine(k, 1)
		e := ends{}
		runs, waits, next := e.work("runs", 100*time.Millisecond), e.work("waits", time.Second), e.work("next", 100*time.Millisecond)
		m.Submit(runs)
		m.Submit(waits)
		m.Submit(next)
		c.Run(begin + 50*time.Millisecond)
		m.Cancel(waits)
		m.Cancel(runs)
		c.Run(begin + 160*time.Millisecond)
		if all {
			e.are(t, map[string]Outcome{"runs": Stopped, "waits": Stopped, "next": Served})
		} else {
			e.are(t, map[string]Outcome{"runs": Served, "waits": Stopped})
		}
		c.Run(begin + time.Second)
		m.Cancel(runs) // its answer was on the way
		m.Cancel(next)
		m.Cancel(&Work{})
		e.are(t, map[string]Outcome{"runs": runsEnd(all), "waits": Stopped, "next": Served})
	}
}

func runsEnd(all bool) Outcome {
	if all {
		return Stopped
	}
	return Served
}

// One that goes down ends all that it has, once; what comes then is broken; it comes back cold, with a first epoch of its own.
func TestDownAndBack(t *testing.T) {
	c, _, m := machine(kind(), 1)
	e := ends{}
	m.Connect(func(ok, _ bool, epoch int) {
		if !ok || epoch != 0 {
			t.Error(ok, epoch)
		}
	})
	m.Submit(e.work("runs", time.Second))
	m.Submit(e.work("waits", time.Second))
	c.Run(begin + 10*time.Millisecond)
	m.Kill("test", time.Second)
	m.Kill("test", time.Millisecond)
	m.Submit(e.work("later", time.Second))
	m.Connect(func(ok, full bool, _ int) {
		if ok || full {
			t.Error("it takes a connection")
		}
	})
	e.are(t, map[string]Outcome{"runs": Broke, "waits": Broke, "later": Broke})
	if m.Conns() != 0 || m.Epoch() != 1 || m.Capacity() != 0 || m.Cause() != "test" {
		t.Errorf("%+v", m)
	}
	c.Run(begin + 1100*time.Millisecond)
	if m.State() != Up || !m.Cold() || m.Warmth() < 0.16 || m.Warmth() > 0.17 {
		t.Errorf("%v, warm to %.2f", m.State(), m.Warmth())
	}
	m.Disconnect(0) // of its life before
	if m.Conns() != 0 {
		t.Error("a connection of another life is counted")
	}
	c.Run(begin + 30*time.Second)
	if m.Cold() {
		t.Error("it does not warm up")
	}
	m.Remove()
	c.Run(begin + 100*time.Second)
	if m.State() != Down || !m.Gone() {
		t.Error("it has come back")
	}
}

// One that falls over and has no time to come back stays down, whatever is asked of it.
func TestNeverComesBack(t *testing.T) {
	k := kind()
	k.FallMultiple, k.FallFor, k.Room = 2.5, 200*time.Millisecond, 1<<20
	c, w, m := machine(k, 3)
	var feed func()
	feed = func() {
		m.Submit(&Work{Need: 50 * time.Millisecond, Done: func(Outcome, time.Duration, bool) {}})
		c.After(10*time.Millisecond, feed)
	}
	feed()
	c.Run(begin + 60*time.Second)
	if m.State() != Down || w.Banks[0].Changes() != 1 || m.Primary() {
		t.Errorf("%v, %d changes", m.State(), w.Banks[0].Changes())
	}
}

// While it hangs nothing is answered, in the handshake neither; then what came is done, and a write to one that no longer
// leads says so.
func TestHang(t *testing.T) {
	c, w, m := machine(kind(), 2)
	e := ends{}
	m.Hang(5 * time.Second)
	m.Hang(time.Millisecond)
	m.Submit(e.work("read", 10*time.Millisecond))
	write := e.work("write", 10*time.Millisecond)
	write.Write = true
	m.Submit(write)
	m.Connect(func(bool, bool, int) { t.Error("it answers a connection") })
	m.Ask(func(Report, bool) { t.Error("it answers a probe") })
	c.Run(begin + 4*time.Second)
	e.are(t, map[string]Outcome{})
	if w.Banks[0].Primary == m || !w.Banks[0].Leads() {
		t.Fatal("no successor")
	}
	c.Run(begin + 6*time.Second)
	e.are(t, map[string]Outcome{"read": Served, "write": ReadOnly})
	// One whose hang nobody has noticed leads on.
	n := w.Banks[0].Primary
	n.Hang(500 * time.Millisecond)
	c.Run(begin + 20*time.Second)
	if w.Banks[0].Primary != n || !w.Banks[0].Leads() || w.Banks[0].Changes() != 1 {
		t.Errorf("%d changes", w.Banks[0].Changes())
	}
}

// A place too many is turned away, a statement too many too, and one whose client has given up is not begun.
func TestRoom(t *testing.T) {
	k := kind()
	k.Conns, k.Handshake, k.DropsLate = 1, 5*time.Millisecond, true
	c, _, m := machine(k, 1)
	e := ends{}
	var got []bool
	for range 2 {
		m.Connect(func(ok, full bool, _ int) { got = append(got, ok, full) })
	}
	late := e.work("late", time.Millisecond)
	late.Until = begin + 50*time.Millisecond
	m.Submit(e.work("runs", 100*time.Millisecond))
	m.Submit(late)
	m.Submit(e.work("waits", time.Millisecond))
	m.Submit(e.work("much", time.Millisecond))
	c.Run(begin + time.Second)
	e.are(t, map[string]Outcome{"runs": Served, "late": Late, "waits": Served, "much": Full})
	if len(got) != 4 || got[0] || !got[1] || !got[2] || got[3] {
		t.Errorf("%v", got)
	}
	m.Disconnect(m.Epoch())
	if m.Conns() != 0 {
		t.Error(m.Conns())
	}
}

// A replica that has not got what a read has to see sends it back, and one that comes back is behind until it has caught up.
func TestBehind(t *testing.T) {
	c, w, m := machine(kind(), 2)
	r, e := w.Machines[1], ends{}
	write := e.work("write", time.Millisecond)
	write.Write = true
	m.Submit(write)
	c.Run(begin + 2*time.Millisecond)
	read := e.work("early", time.Millisecond)
	read.See = c.Now()
	r.Submit(read)
	c.Run(begin + 100*time.Millisecond)
	read = e.work("there", time.Millisecond)
	read.See = begin + 2*time.Millisecond
	r.Submit(read)
	c.Run(begin + 200*time.Millisecond)
	e.are(t, map[string]Outcome{"write": Served, "early": Behind, "there": Served})
	r.Kill("test", 5*time.Second)
	c.Run(begin + 5210*time.Millisecond)
	if lag := c.Now() - r.Position(); lag < 4*time.Second {
		t.Errorf("it is %v behind when it comes back", lag)
	}
	c.Run(begin + 6*time.Second)
	if lag := c.Now() - r.Position(); lag > 20*time.Millisecond {
		t.Errorf("it is %v behind still", lag)
	}
	m.Drain()
	c.Run(begin + 7*time.Second)
	if !r.Primary() || m.Primary() {
		t.Error("a primary that drains does not hand over")
	}
}

// A report stands for as long as it is not made anew.
func TestReport(t *testing.T) {
	k := kind()
	k.Refresh, k.ProbeWork = 100*time.Millisecond, time.Millisecond
	c, w, _ := machine(k, 2)
	r := w.Machines[1]
	var got []Report
	ask := func() { r.Ask(func(x Report, _ bool) { got = append(got, x) }) }
	ask()
	c.Run(begin + 90*time.Millisecond)
	ask()
	c.Run(begin + 150*time.Millisecond)
	ask()
	c.Run(begin + 160*time.Millisecond)
	if len(got) != 3 || got[0].Position != got[1].Position || got[2].Position != begin+142*time.Millisecond || got[0].Primary {
		t.Fatalf("%+v", got)
	}
}

// A machine that is kept back is neither listed nor leads, nor comes back by itself; once it appears it is listed as new, follows and can lead.
func TestSpareAppears(t *testing.T) {
	clock := event.New(1000 * time.Second)
	w := New(clock, 1)
	b := w.AddBank(1, Follow{Ship: time.Millisecond, Apply: time.Millisecond, Detect: [2]time.Duration{time.Second, time.Second}, Resync: time.Millisecond})
	k := Kind{Cores: 1, Speed: 1, Slots: 4, Room: 4, ColdFrom: 0.5, ColdFor: time.Second}
	first := w.Add("first", "a", k, b)
	spare := w.Add("spare", "b", k, b)
	spare.Reserve()
	r := NewRegistry(w, Notices{}, func([2]time.Duration) time.Duration { return 0 }, func(int) {})
	listed := func() (out string) {
		r.Since(0, func(e Listing) { out += e.Machine.ID + " " + e.State.String() + ";" })
		return out
	}
	spare.Start()
	clock.Run(1001 * time.Second)
	if got := listed(); got != "first ready;" || spare.State() != Down {
		t.Fatalf("%q, %v", got, spare.State())
	}
	for range 300 { // the log is cut behind those that follow
		b.commit(clock.Now())
	}
	spare.Appear()
	spare.Appear()
	clock.Run(1003 * time.Second)
	if got := listed(); got != "first ready;spare ready;" || spare.State() != Up || spare.Position() < 1001*time.Second {
		t.Fatalf("%q, %v, at %v", got, spare.State(), spare.Position())
	}
	first.Kill("killed", 0)
	clock.Run(1010 * time.Second)
	if !spare.Primary() {
		t.Error("it does not follow")
	}
}
