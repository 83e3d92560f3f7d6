package faultproxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo answers each byte with itself; broken gets how a connection to it ended.
func echo(t *testing.T) (addr string, broken chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	broken = make(chan error, 99)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.Copy(c, c)
				broken <- err
				c.Close()
			}()
		}
	}()
	return ln.Addr().String(), broken
}

var a, b = Point{"r1", "n"}, Point{"db1", "s"}

func link(t *testing.T, w Watch) (*Net, net.Conn, chan error) {
	t.Helper()
	n := New(1)
	t.Cleanup(n.Close)
	addr, broken := echo(t)
	l, err := n.Link(a, b, func() string { return addr }, w)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return n, c, broken
}

// back says whether a byte comes back within a while, and after how long.
func back(t *testing.T, c net.Conn, send bool, within time.Duration) (time.Duration, error) {
	t.Helper()
	at := time.Now()
	if send {
		if _, err := c.Write([]byte("x")); err != nil {
			return 0, err
		}
	}
	c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(at), err
}

func silent(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// A cut way carries nothing and tells nobody, in the direction that is cut; what was sent arrives once it is healed, or a new
// connection comes up then.
func TestCut(t *testing.T) {
	for _, dir := range [][2]string{{"r1", "db1"}, {"n", "!n"}, {"db1", "r1"}, {"s", "*"}} {
		n, c, broken := link(t, Watch{})
		if _, err := back(t, c, true, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		n.Set(dir[0], dir[1], Way{Cut: true})
		if !n.Troubled("r1", "db1") {
			t.Errorf("%v: it is not in trouble", dir)
		}
		if _, err := back(t, c, true, 100*time.Millisecond); !silent(err) {
			t.Errorf("%v: %v", dir, err)
		}
		if len(broken) > 0 {
			t.Errorf("%v: the far side is told", dir)
		}
		n.Set(dir[0], dir[1], Way{})
		if _, err := back(t, c, false, 5*time.Second); err != nil {
			t.Errorf("%v: healed: %v", dir, err)
		}
	}
	n, c, _ := link(t, Watch{})
	n.Set("s", "w", Way{Cut: true}) // others
	if _, err := back(t, c, true, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	n.Set("*", "*", Way{Cut: true})
	n.Heal()
	if _, err := back(t, c, true, 5*time.Second); err != nil || n.Troubled("r1", "db1") {
		t.Fatal(err)
	}
}

// A delay and a trickle take their time, both ways where both are named; faults of one way add up.
func TestSlowWays(t *testing.T) {
	n, c, _ := link(t, Watch{})
	n.Set("n", "s", Way{Delay: 40 * time.Millisecond})
	n.Set("r1", "db1", Way{Delay: 30 * time.Millisecond})
	n.Set("s", "n", Way{Delay: 30 * time.Millisecond, Jitter: 5 * time.Millisecond})
	if took, err := back(t, c, true, 5*time.Second); err != nil || took < 99*time.Millisecond {
		t.Errorf("%v %v", took, err)
	}
	n.Heal()
	n.Set("r1", "db1", Way{Rate: 10})
	if took, err := back(t, c, true, 5*time.Second); err != nil || took < 90*time.Millisecond {
		t.Errorf("%v %v", took, err)
	}
}

// A reset reaches both sides. A connection that is lost stays open at both and carries nothing; a new one is none the worse.
func TestResetAndLose(t *testing.T) {
	n, c, broken := link(t, Watch{})
	if _, err := back(t, c, true, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	n.Reset("s", "r1")
	if _, err := back(t, c, false, 5*time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v", err)
	}
	if err := <-broken; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v", err)
	}
	given := make(chan string, 9)
	n, c, broken = link(t, Watch{GivenUp: func(local string) { given <- local }})
	if _, err := back(t, c, true, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	n.Lose("n", "s")
	if _, err := back(t, c, true, 100*time.Millisecond); !silent(err) || len(broken) > 0 || len(given) > 0 {
		t.Errorf("%v", err)
	}
	again, err := net.Dial("tcp", n.links[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := back(t, again, true, 5*time.Second); err != nil {
		t.Error(err)
	}
	c.Close() // its side knows, the other one does not
	select {
	case <-given:
	case <-time.After(5 * time.Second):
		t.Error("nobody is told that it is given up")
	}
	if len(broken) > 0 {
		t.Error("the far side is told")
	}
}

// Whoever watches knows a connection before anything is sent on it, and how long a piece was held.
func TestWatch(t *testing.T) {
	held := make(chan *Held, 1)
	n, c, _ := link(t, Watch{Dialled: func(local string, h *Held) {
		if local == "" {
			t.Error("no address")
		}
		held <- h
	}})
	if _, err := back(t, c, true, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	h := <-held
	n.Set("r1", "db1", Way{Cut: true})
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(60 * time.Millisecond)
	n.Heal()
	if _, err := back(t, c, false, 5*time.Second); err != nil || h.For() < 50*time.Millisecond {
		t.Errorf("held for %v: %v", h.For(), err)
	}
}
