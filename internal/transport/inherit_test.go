package transport

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/eventloop"
)

// Guards against a shutdown that hangs after another process that holds the socket has made it blocking, as Go's
// os/exec does when it passes a socket on: an accept in progress then blocks in the system call, and the listener's
// close waits for it.
func TestCloseOfAnInheritedSocketThatBlocks(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
	held, err := first.(*net.TCPListener).File() // as the platform that passes the socket on holds it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = held.Close() }) // an error no longer matters
	passedOn, err := syscall.Dup(int(held.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := Inherit(passedOn, first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan struct{}, 9)
	engine := &Engine{loop: eventloop.New()}
	listener := engine.Serve(inherited, 9, func(func()) { accepted <- struct{}{} }, slog.New(slog.DiscardHandler), nil)
	makeBlocking(t, held)
	client, err := net.Dial("tcp", first.Addr().String()) // ends the accept in progress; the next one would block
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	<-accepted
	time.Sleep(50 * time.Millisecond) // lets the next accept begin
	closed := make(chan struct{})
	go func() {
		listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("Close did not return within 5 s; it waits for the next connection")
	}
}

// makeBlocking makes a socket blocking for all processes that hold it.
func makeBlocking(t *testing.T, socket *os.File) {
	t.Helper()
	if err := syscall.SetNonblock(int(socket.Fd()), false); err != nil {
		t.Fatal(err)
	}
}
