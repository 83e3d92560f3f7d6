package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"limeladder/internal/config"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// do runs f in the daemon's loop.
func do(d *daemon, f func()) {
	done := make(chan bool)
	d.loop.Post(func() { f(); close(done) })
	<-done
}

// SIGTERM while one request is out and another was sent ahead on the same connection, with more time than the process has: both are
// answered, then the connection ends; one that rests is ended, and a request that crosses this is not taken. The process ends when
// its clients have ended their side.
func TestShutdownAnswersWhatIsReadLate(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	dbs, list, agent := bank(t, func(typ byte, id string) testserver.Act {
		if id == "slow" {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	d := serve(t, pushed(t, agent, list...))
	ready(t, d)
	addr := d.fronts[0].listener.Addr().String()
	slow, rests := testserver.Dial(t, addr), testserver.Dial(t, addr)
	rests.Send(query(sql("r", "look")))
	rests.Until('Z')
	slow.Send(query(sql("slow", "job")))
	<-asked
	do(d, d.drain)
	if a := rests.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("a resting connection: %+v", a)
	}
	rests.Write(query(sql("crossing", "job")))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // the time in which it accepts is over
		over := false
		if do(d, func() { over = d.draining }); over {
			break
		} else if time.Now().After(end) {
			t.Fatal("it goes on accepting")
		}
	}
	slow.Send(query(sql("late", "look")))
	release()
	for _, id := range []string{"slow", "late"} {
		if a := slow.Until('Z'); a.Types != "TDCZ" {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	if a := slow.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("%+v", a)
	}
	slow.Close()
	rests.Close()
	for _, db := range dbs {
		if db.Runs("crossing") != 0 {
			t.Error("a request that crossed the end was sent on")
		}
	}
}

// Clients that only stay fill their places while discovery is away, in a process that may have few descriptors: those for db machines,
// operators and discovery are kept back, and when it is back the router serves by itself.
func TestIdleClientsLeaveRoomForTheRest(t *testing.T) {
	const sockets = 128
	db := testserver.NewDB(t, true, nil)
	agent, err := testserver.NewAgent(config.Entry{ID: "p", Addr: db.Addr, Zone: "a", Cell: 7, State: "ready", Mode: "read-write"})
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	agent.Stop() // away from the start
	path, addr, op := t.TempDir()+"/config.json", freeAddr(t), freeAddr(t)
	text := strings.Replace(configText(agent.Addr), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := program(path)
	cmd.Args = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, sockets), cmd.Path, cmd.Args[1]}
	cmd.Path = "/bin/sh"
	cmd.Env = append(cmd.Env, "EDGE_LISTEN="+addr, "EDGE_OPERATOR="+op, "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	call := func() string { // an operator asks whether it takes clients
		c, err := net.Dial("tcp", op)
		if err != nil {
			return err.Error()
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
		buf := make([]byte, 64)
		n, _ := c.Read(buf)
		word, _, _ := strings.Cut(string(buf[:n]), "\r\n")
		return word
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); call() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("an operator hears %q, not %q", call(), want)
			}
		}
	}
	until("HTTP/1.1 200 OK") // ready without a list
	lim := limits.New(192, sockets, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	welcome := 0
	for range 2 * sockets {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write(pgwire.AppendStartup(nil, "user", "portal", "database", "crm"))
		if welcome < lim.Frontend.Connections {
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatalf("client %d: %v", welcome, err)
			}
			welcome++
		}
	}
	until("HTTP/1.1 200 OK") // though all places of clients are taken
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil || len(open) < lim.Frontend.Connections || len(open) > sockets {
		t.Fatalf("%d descriptors are open, %v", len(open), err)
	}
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	c := testserver.Dial(t, addr) // those that only stay make room
	for end := time.Now().Add(20 * time.Second); ; {
		c.Send(query(sql(fmt.Sprint("r", time.Now().UnixNano()), "job")))
		if a := c.Until('Z'); a.Types == "TDCZ" {
			break
		} else if time.Now().After(end) {
			t.Fatalf("%+v", a)
		}
	}
}

// The sockets at both ends hold nothing back: what is written right before a close must not wait in the system for more to come.
func TestNothingSmallIsHeldBack(t *testing.T) {
	dbs, list, agent := bank(t, nil)
	d := serve(t, pushed(t, agent, list...))
	ready(t, d)
	addr := d.fronts[0].listener.Addr().String()
	c := testserver.Dial(t, addr)
	c.Send(query(sql("r", "look")))
	c.Until('Z')
	ours := map[int]bool{}
	for _, a := range []string{addr, agent.Addr, dbs[0].Addr, dbs[1].Addr, dbs[2].Addr} {
		tcp, err := net.ResolveTCPAddr("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		ours[tcp.Port] = true
	}
	port := func(a unix.Sockaddr, _ error) int {
		switch a := a.(type) {
		case *unix.SockaddrInet4:
			return a.Port
		case *unix.SockaddrInet6:
			return a.Port
		}
		return 0
	}
	ends := func(fd int) (own, peer int) { return port(unix.Getsockname(fd)), port(unix.Getpeername(fd)) }
	seen := 0
	for fd := 3; fd < 1024; fd++ {
		own, peer := ends(fd)
		if peer == 0 || !ours[own] && !ours[peer] {
			continue // no connection, or none of this test's
		}
		// Go sets the option behind the handshake and before the connection is given to anyone, so one that has sent data has it.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.Data_segs_out == 0 {
			continue // it has sent nothing yet
		}
		on, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if a, b := ends(fd); err != nil || a != own || b != peer {
			continue // the number belongs to another by now
		}
		if seen++; on == 0 {
			t.Errorf("descriptor %d waits for more", fd)
		}
	}
	if seen < 4 { // both ends of the client's and of one to a db machine
		t.Fatalf("%d connections seen", seen)
	}
}

// A db machine ends its connection in the middle of a line of its answer, at each byte of it: that attempt ends, a read is served
// elsewhere, a write is failed once and never sent again, and the router goes on.
func TestHalfALineEndsItsAttemptOnly(t *testing.T) {
	for cut := 1; cut < 60; cut += 7 {
		dbs, list, agent := bank(t, func(typ byte, id string) testserver.Act {
			if typ == 'Q' && id == "w" {
				return testserver.Act{Cut: cut}
			}
			return testserver.Act{}
		})
		d := serve(t, pushed(t, agent, list...))
		ready(t, d)
		c := testserver.Dial(t, d.fronts[0].listener.Addr().String())
		c.Send(append(query(sql("w", "job")), query(sql("then", "job"))...))
		if a := c.Until('Z'); a.Types != "EZ" || a.Code != "08007" {
			t.Errorf("cut at %d: %+v", cut, a)
		}
		if a := c.Until('Z'); a.Types != "TDCZ" {
			t.Errorf("cut at %d, then: %+v", cut, a)
		}
		runs := 0
		for _, db := range dbs {
			runs += db.Runs("w")
		}
		if runs > 1 {
			t.Errorf("cut at %d: it ran %d times", cut, runs)
		}
	}
}
