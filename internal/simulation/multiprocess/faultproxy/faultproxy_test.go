package faultproxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

var (
	router = Peer{"r1", "n"}
	server = Peer{"db1", "s"}
)

// startEchoServer starts a server that sends back each byte. The channel receives how each of its connections has
// ended.
func startEchoServer(t *testing.T) (address string, connectionEnds chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	connectionEnds = make(chan error, 99)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.Copy(conn, conn)
				connectionEnds <- err
				conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), connectionEnds
}

// dialThroughProxy returns a network with one link, from router to an echo server, and a connection through it.
func dialThroughProxy(t *testing.T, observer Observer) (*Network, net.Conn, chan error) {
	t.Helper()
	network := New(1)
	t.Cleanup(network.Close)
	address, connectionEnds := startEchoServer(t)
	link, err := network.AddLink(router, server, func() string { return address }, observer)
	if err != nil {
		t.Fatal(err)
	}
	return network, dial(t, link), connectionEnds
}

func dial(t *testing.T, link *Link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", link.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// sendByte sends one byte, reads one with a timeout, and returns the duration of both.
func sendByte(t *testing.T, conn net.Conn, within time.Duration) (time.Duration, error) {
	t.Helper()
	started := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	err := readByte(t, conn, within)
	return time.Since(started), err
}

// readByte reads one byte with a timeout.
func readByte(t *testing.T, conn net.Conn, within time.Duration) error {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// mustEcho fails the test if a byte does not come back.
func mustEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := sendByte(t, conn, 5*time.Second); err != nil {
		t.Fatal(err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestCutHoldsBytesUntilItEnds cuts a direction by each kind of pattern: nothing passes, neither side is notified, and
// what was sent arrives after the cut.
func TestCutHoldsBytesUntilItEnds(t *testing.T) {
	for _, test := range []struct{ name, source, destination string }{
		{"towards the server, by names", "r1", "db1"},
		{"towards the server, by site and its complement", "n", "!n"},
		{"towards the router, by names", "db1", "r1"},
		{"towards the router, by site and every peer", "s", "*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			network, conn, connectionEnds := dialThroughProxy(t, Observer{})
			mustEcho(t, conn)
			network.SetImpairment(test.source, test.destination, Impairment{Cut: true})
			if !network.Impaired("r1", "db1") {
				t.Error("the link is not reported as impaired")
			}
			if _, err := sendByte(t, conn, 100*time.Millisecond); !isTimeout(err) {
				t.Errorf("during the cut: %v, want a timeout", err)
			}
			if len(connectionEnds) > 0 {
				t.Error("the server was notified of the cut")
			}
			network.SetImpairment(test.source, test.destination, Impairment{})
			if err := readByte(t, conn, 5*time.Second); err != nil {
				t.Errorf("after the cut: got error %v, want the byte that was sent", err)
			}
		})
	}
}

// TestCutOfOtherPeers shows that a cut elsewhere does not affect a link, and that ClearImpairments ends every cut.
func TestCutOfOtherPeers(t *testing.T) {
	network, conn, _ := dialThroughProxy(t, Observer{})
	network.SetImpairment("s", "w", Impairment{Cut: true})
	mustEcho(t, conn)
	network.SetImpairment("*", "*", Impairment{Cut: true})
	network.ClearImpairments()
	mustEcho(t, conn)
	if network.Impaired("r1", "db1") {
		t.Error("the link is still reported as impaired")
	}
}

// TestDelayAndRate shows that delays of both directions and of several patterns add up, and that a rate is enforced.
func TestDelayAndRate(t *testing.T) {
	network, conn, _ := dialThroughProxy(t, Observer{})
	network.SetImpairment("n", "s", Impairment{Delay: 40 * time.Millisecond})
	network.SetImpairment("r1", "db1", Impairment{Delay: 30 * time.Millisecond})
	network.SetImpairment("s", "n", Impairment{Delay: 30 * time.Millisecond, Jitter: 5 * time.Millisecond})
	if took, err := sendByte(t, conn, 5*time.Second); err != nil || took < 99*time.Millisecond {
		t.Errorf("with delays: got %v after %v, want success after at least 99 ms", err, took)
	}
	network.ClearImpairments()
	network.SetImpairment("r1", "db1", Impairment{Rate: 10})
	if took, err := sendByte(t, conn, 5*time.Second); err != nil || took < 90*time.Millisecond {
		t.Errorf("with a rate: got %v after %v, want success after at least 90 ms", err, took)
	}
}

// TestResetReachesBothSides resets a connection and reads the reset at the router and at the server.
func TestResetReachesBothSides(t *testing.T) {
	network, conn, connectionEnds := dialThroughProxy(t, Observer{})
	mustEcho(t, conn)
	network.ResetConnections("s", "r1")
	if err := readByte(t, conn, 5*time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("at the router: %v, want a reset", err)
	}
	if err := <-connectionEnds; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("at the server: %v, want a reset", err)
	}
}

// TestBlackholedConnectionStaysOpen shows that a blackholed connection stays open and silent at both sides, that a
// new connection works, and that only the observer is notified when the router closes the silent one.
func TestBlackholedConnectionStaysOpen(t *testing.T) {
	abandoned := make(chan string, 9)
	observer := Observer{Abandoned: func(localAddress string) { abandoned <- localAddress }}
	network, conn, connectionEnds := dialThroughProxy(t, observer)
	mustEcho(t, conn)
	network.BlackholeConnections("n", "s")
	if _, err := sendByte(t, conn, 100*time.Millisecond); !isTimeout(err) {
		t.Errorf("on the blackholed connection: %v, want a timeout", err)
	}
	if len(connectionEnds) > 0 || len(abandoned) > 0 {
		t.Error("the server or the observer was notified of the black hole")
	}
	mustEcho(t, dial(t, network.links[0]))
	conn.Close()
	select {
	case <-abandoned:
	case <-time.After(5 * time.Second):
		t.Error("the observer was not notified that the router has closed the connection")
	}
	if len(connectionEnds) > 0 {
		t.Error("the server was notified that the router has closed the connection")
	}
}

// TestObserverSeesConnectionAndTransitTime shows that a connection is reported with its address, and the time that a
// cut has kept a chunk in the proxy.
func TestObserverSeesConnectionAndTransitTime(t *testing.T) {
	connected := make(chan *TransitTime, 1)
	network, conn, _ := dialThroughProxy(t, Observer{Connected: func(localAddress string, transitTime *TransitTime) {
		if localAddress == "" {
			t.Error("got an empty local address, want the connection's")
		}
		connected <- transitTime
	}})
	mustEcho(t, conn)
	transitTime := <-connected
	network.SetImpairment("r1", "db1", Impairment{Cut: true})
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(60 * time.Millisecond)
	network.ClearImpairments()
	if err := readByte(t, conn, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := transitTime.Last(); got < 50*time.Millisecond {
		t.Errorf("transit time %v, want at least 50 ms", got)
	}
}
