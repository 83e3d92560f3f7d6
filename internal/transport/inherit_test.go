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

// Guards against a shutdown that hangs where another holder of the socket has made it blocking, as Go's os/exec does
// when it passes a socket on: an accept that is under way then waits in the system, and so does the listener's close.
func TestCloseOfAnInheritedSocketThatBlocks(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
	held, err := first.(*net.TCPListener).File() // as the platform holds it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = held.Close() }) // the test has ended
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
	client, err := net.Dial("tcp", first.Addr().String()) // it wakes the accept, and the next one blocks
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	<-accepted
	time.Sleep(50 * time.Millisecond) // the next accept is under way
	closed := make(chan struct{})
	go func() {
		listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the close waits for the next connection")
	}
}

// makeBlocking changes the mode that all holders of a socket share.
func makeBlocking(t *testing.T, socket *os.File) {
	t.Helper()
	if err := syscall.SetNonblock(int(socket.Fd()), false); err != nil {
		t.Fatal(err)
	}
}
