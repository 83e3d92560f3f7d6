package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// pushedGrace is the shortest grace of the deployments that there are, slack the bench's own.
const pushedGrace, pushedSlack = 500 * time.Millisecond, 50 * time.Millisecond

// pushed is a router's configuration where lists are pushed to an agent.
func pushed(t *testing.T, agent *testserver.Agent, known ...config.Entry) *config.Config {
	t.Helper()
	text := strings.Replace(configText(agent.Addr), `"Discovery":"ask"`,
		fmt.Sprintf(`"Discovery":"push","Contract":{"DrainGraceNs":%d}`, pushedGrace), 1)
	text = strings.Replace(text, `"ConnectTimeoutNs":250000000`, `"ConnectTimeoutNs":1500000000`, 1)
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if len(known) > 0 {
		cfg.Known = &config.List{Version: 1, Full: true, Servers: known}
	}
	return cfg
}

// serve runs a router; the test's end ends it.
func serve(t *testing.T, cfg *config.Config) *daemon {
	t.Helper()
	d, err := newDaemon(cfg, config.Deploy{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { d.run(); close(ended) }()
	t.Cleanup(func() { d.loop.Stop(); <-ended })
	return d
}

// bank is a primary and two replicas, and an agent that has their list.
func bank(t *testing.T, act func(typ byte, id string) testserver.Act) (dbs []*testserver.DB, list []config.Entry, agent *testserver.Agent) {
	t.Helper()
	for i, id := range []string{"p", "a", "b"} {
		db := testserver.NewDB(t, i == 0, act)
		dbs = append(dbs, db)
		mode := "read-only"
		if i == 0 {
			mode = "read-write"
		}
		list = append(list, config.Entry{ID: id, Addr: db.Addr, Zone: "a", Cell: 7, State: "ready", Mode: mode})
	}
	agent, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	return dbs, list, agent
}

// ask sends reads from some clients until stop is closed, each one once the one before is answered.
func ask(t *testing.T, d *daemon, name string, clients int, stop chan bool) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range clients {
		c := testserver.Dial(t, d.fronts[0].listener.Addr().String())
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				// A router that ends closes connections between requests.
				if c.Write(pgwire.AppendQuery(nil, sql(fmt.Sprintf("%s-%d-%d", name, i, n), "look"))) != nil || c.Until('Z').Ended {
					return
				}
			}
		})
	}
	return &all
}

func query(text string) []byte { return pgwire.AppendQuery(nil, text) }

// kept says that nothing came to a machine later than the grace after the agent was sent that it drains, but from told on where
// the agent could not be heard before.
func kept(t *testing.T, db *testserver.DB, told time.Time) {
	t.Helper()
	for _, w := range db.Log().Whole {
		if late := w.At.Sub(told); late > pushedGrace+pushedSlack {
			t.Errorf("%s is sent %v after the drain was told", w.ID, late)
			return
		}
	}
}

func with(e config.Entry, state string) config.Entry {
	e.State = state
	return e
}

// Lists that are pushed are heard: drains of one machine after the other are kept, behind an agent that has restarted too.
func TestPushedDrainsAreKept(t *testing.T) {
	dbs, list, agent := bank(t, nil)
	d := serve(t, pushed(t, agent, list...))
	stop := make(chan bool)
	all := ask(t, d, "r", 4, stop)
	time.Sleep(200 * time.Millisecond)
	agent.Push(with(list[1], "draining"))
	time.Sleep(pushedGrace + 300*time.Millisecond)
	agent.Stop()
	agent.Push(list[1], with(list[2], "draining"))
	time.Sleep(200 * time.Millisecond)
	back := time.Now()
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pushedGrace + 400*time.Millisecond)
	close(stop)
	all.Wait()
	before, after := 0, 0
	drained := agent.Has("a", "draining")
	for _, w := range dbs[1].Log().Whole {
		switch {
		case w.At.Before(drained):
			before++
		case w.At.After(back): // it is let back in by the same list
			after++
		case w.At.Sub(drained) > pushedGrace+pushedSlack:
			t.Fatalf("%s is sent %v after the drain was told", w.ID, w.At.Sub(drained))
		}
	}
	if before == 0 || after == 0 {
		t.Errorf("%d reads before the drain, %d once it is ready again", before, after)
	}
	kept(t, dbs[2], back)
}

// A drain that is told while forty requests wait for connections: none is written once these come up, in the process that ends
// and in the one that begins of an upgrade. The latter knows an old list that calls the machine ready.
func TestPushedDrainWhileRequestsWait(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const slow = 900 * time.Millisecond // until a connection is welcomed: longer than the grace
	dbs, list, agent := bank(t, func(typ byte, id string) testserver.Act {
		if typ == 0 {
			return testserver.Act{Delay: slow}
		}
		return testserver.Act{}
	})
	stop := make(chan bool)
	cfg := pushed(t, agent, list...)
	old := serve(t, cfg)
	all := []*sync.WaitGroup{ask(t, old, "old", 40, stop)}
	time.Sleep(100 * time.Millisecond)
	agent.Push(with(list[1], "draining"), with(list[2], "draining"))
	fresh := serve(t, cfg)
	all = append(all, ask(t, fresh, "new", 40, stop))
	time.Sleep(100 * time.Millisecond)
	old.loop.Post(old.drain)
	time.Sleep(slow + pushedGrace)
	close(stop)
	for _, w := range all {
		w.Wait()
	}
	for i, id := range []string{"a", "b"} {
		kept(t, dbs[1+i], agent.Has(id, "draining"))
	}
}

// A process that begins while its agent says nothing goes by what the one that it replaces has heard, not by the old list that it
// was started with: the agent had the drain, so it counts as told.
func TestNewProcessGoesByWhatTheOldOneHeard(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	dbs, list, agent := bank(t, nil)
	cfg := pushed(t, agent, list...)
	old := serve(t, cfg)
	stop := make(chan bool)
	all := []*sync.WaitGroup{ask(t, old, "old", 2, stop)}
	agent.Push(with(list[1], "draining"))
	time.Sleep(pushedGrace)
	agent.Silent(true)
	fresh := serve(t, cfg)
	ready(t, fresh)
	all = append(all, ask(t, fresh, "new", 4, stop))
	time.Sleep(pushedGrace)
	close(stop)
	for _, w := range all {
		w.Wait()
	}
	kept(t, dbs[1], agent.Has("a", "draining"))
	ran := 0
	for _, w := range dbs[2].Log().Whole {
		if strings.HasPrefix(w.ID, "new") {
			ran++
		}
	}
	if ran == 0 {
		t.Error("the new process has sent nothing")
	}
}

// ready waits until clients may come.
func ready(t *testing.T, d *daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		is := make(chan bool)
		if d.loop.Post(func() { is <- d.fronts[0].Takes() }); <-is {
			return
		}
		if time.Now().After(end) {
			t.Fatal("not ready")
		}
	}
}

// On a socket that both processes hold, the one that begins takes no client while it has no list but the one of its start.
func TestNewProcessTakesNoneBeforeItIsReady(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	_, list, agent := bank(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	start := func() *daemon {
		cfg := pushed(t, agent, list...)
		f, err := ln.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if cfg.Inherited, err = syscall.Dup(int(f.Fd())); err != nil {
			t.Fatal(err)
		}
		cfg.Listen = ln.Addr().String()
		return serve(t, cfg)
	}
	old := start()
	ready(t, old)
	agent.Silent(true)
	fresh := start()
	taken := func() (n uint64, ready bool) {
		type state struct {
			n     uint64
			ready bool
		}
		ch := make(chan state)
		fresh.loop.Post(func() { ch <- state{fresh.core.Counts().Accepted, fresh.serving} })
		s := <-ch
		return s.n, s.ready
	}
	for n := 0; ; n++ {
		c := testserver.Dial(t, ln.Addr().String())
		c.Send(pgwire.AppendQuery(nil, sql(fmt.Sprint("r", n), "look")))
		if a := c.Until('Z'); a.Value == "" {
			t.Fatalf("%+v", a)
		}
		c.Close()
		k, ready := taken()
		if !ready && k > 0 {
			t.Fatalf("request %d: the new one has taken it", n)
		}
		if ready && k > 0 {
			break // and once it is ready it does
		}
		if n > 20_000 {
			t.Fatal("the new one takes nothing")
		}
		time.Sleep(time.Millisecond)
	}
}

// A refusal for which nothing else says when to come back names no longer time than clients heed.
func TestComeAgainIsNoLongerThanClientsHeed(t *testing.T) {
	_, list, agent := bank(t, nil)
	for most, want := range map[time.Duration]time.Duration{0: time.Second, 300 * time.Millisecond: 300 * time.Millisecond, 2 * time.Second: time.Second} {
		cfg := pushed(t, agent, list...)
		cfg.Balance.MaxRetryAfter = most
		if got := serve(t, cfg).lim.Router.DefaultRetryAfter; got != want {
			t.Errorf("clients heed %v: it says %v", most, got)
		}
	}
}
