package transport

import (
	"net"
	"testing"
	"time"
)

// Some hundred connections that are not read by the loop filled an inbox of 64 KiB each, whatever memory there was.
// Their inboxes share a budget, and each connection may have a little in any case. Nothing that was sent is lost.
func TestInboxesShareMemory(t *testing.T) {
	const connections, perConnection, total, least = 40, 100_000, 64 << 10, 2 << 10
	loop, engine := newTestEngine(t)
	engine.LimitInboxes(total, least)
	accepted := make(chan *Conn, connections)
	done := make(chan string, 99*connections)
	listener := listen(t, engine, connections, func(c *Conn) Handler {
		accepted <- c
		return &collector{want: perConnection, done: done}
	})
	release := make(chan bool)
	var conns []*Conn
	var peers []net.Conn
	for range connections {
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		peers = append(peers, peer)
		conns = append(conns, <-accepted)
	}
	loop.Post(func() { <-release })
	for _, peer := range peers {
		go func() { _, _ = peer.Write(make([]byte, perConnection)) }() // the bytes that arrive are counted
	}
	time.Sleep(300 * time.Millisecond) // the poller reads as much as it may
	held := 0
	for _, conn := range conns {
		conn.mutex.Lock()
		held += cap(conn.inbox)
		conn.mutex.Unlock()
	}
	if most := total + 2*connections*least; held == 0 || held > most {
		t.Errorf("inboxes hold %d bytes, want some and at most %d", held, most)
	}
	close(release)
	for _, conn := range conns {
		waitUntil(t, "all bytes are reported", func() (all bool) {
			runInLoop(loop, func() { all = len(conn.handler.(*collector).got) == perConnection })
			return all
		})
	}
	for _, peer := range peers {
		peer.Close()
	}
	waitUntil(t, "no bytes count as unprocessed", func() bool { return engine.inboxes.usedBytes.Load() == 0 })
}

// The place of a connection that has ended is free once the loop has processed its end. Clients that connect, send and
// leave would otherwise add connections to the loop's queue faster than it removes them.
func TestSlotIsReleasedByTheLoop(t *testing.T) {
	loop, engine := newTestEngine(t)
	accepted := make(chan bool, 9)
	listener := listen(t, engine, 1, func(*Conn) Handler {
		accepted <- true
		return discardHandler{}
	})
	dial := func() net.Conn {
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		return peer
	}
	first := dial()
	<-accepted
	release := make(chan bool)
	loop.Post(func() { <-release })
	first.Close()
	dial()
	time.Sleep(100 * time.Millisecond)
	listener.mutex.Lock()
	if listener.open != 1 {
		t.Errorf("%d connections are open or being accepted while the loop is held up, want 1", listener.open)
	}
	listener.mutex.Unlock()
	close(release)
	<-accepted
}

// Bytes that a read in progress has taken from the socket are not in the inbox yet. A connection that was closed as
// idle at that moment lost a request.
func TestReadInProgressMayHaveSomethingToReport(t *testing.T) {
	loop, engine := newTestEngine(t)
	conn, _ := newPair(t, engine, discardHandler{})
	idle := func() (nothing bool) {
		runInLoop(loop, func() { nothing = conn.HasNothingToReport() })
		return nothing
	}
	waitUntil(t, "nothing is being read", idle)
	conn.readMutex.Lock()
	if idle() {
		t.Error("nothing is left to report while the socket is being read, want something")
	}
	conn.readMutex.Unlock()
	if !idle() {
		t.Error("something is left to report after the read, want nothing")
	}
}
