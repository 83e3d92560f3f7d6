package frontend

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// sendUntilClosed sends data in a goroutine and closes the connection after it, however much the router reads.
func sendUntilClosed(conn net.Conn, data []byte) (sent <-chan bool) {
	done := make(chan bool)
	go func() {
		_, _ = conn.Write(data) // the router may have closed the connection
		conn.Close()
		close(done)
	}()
	return done
}

// A client that had sent much ahead and closed its connection was not known to have gone: its end stood behind bytes
// that the router did not read, and its requests were started one after the other. They are not started any more.
func TestEndBehindRequestsSentAheadIsNoticed(t *testing.T) {
	_, fake, loop, addr := start(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	data := pgwire.AppendStartup(nil, "user", "x")
	for i := 0; len(data) < 8<<20; i++ {
		data = append(data, queryWithID(fmt.Sprint("w", i), "write")...)
	}
	sent := sendUntilClosed(conn, data)
	expectAccepted(t, fake, "w0")
	select {
	case <-sent:
	case <-time.After(10 * time.Second):
		t.Fatal("what the client has sent is not read while its first request is in flight")
	}
	select {
	case id := <-fake.disconnects:
		if id != "w0" {
			t.Errorf("request %s is reported as disconnected, want w0", id)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the client is not noticed")
	}
	runInLoop(loop, func() { fake.client("w0").Served(valueResponse("w0")) })
	time.Sleep(20 * time.Millisecond)
	if accepted := fake.accepted(); accepted != 1 {
		t.Errorf("%d requests are accepted, want only the one that was in flight", accepted)
	}
}

// Each request that a client sends too far ahead is answered in its place: with a rejection, or with the error that
// ends the connection if there are too many. None of them is started, and the one in flight gets its response.
func TestRequestsSentTooFarAheadAreRejected(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.PipelinedBytes = 16 << 10
	for _, test := range []struct {
		name     string
		requests int
		ends     bool // the connection is closed
	}{{"some", 600, false}, {"too many", 5000, true}} {
		t.Run(test.name, func(t *testing.T) {
			frontend, fake, loop, addr := startWith(t, lim)
			client := testserver.Dial(t, addr)
			var data []byte
			for i := range test.requests {
				data = append(data, queryWithID(fmt.Sprintf("w%04d", i), "write")...)
			}
			go func() { _ = client.Write(data) }() // fails if the connection is closed
			expectAccepted(t, fake, "w0000")
			conn := onlyConnection(t, frontend, loop)
			waitUntil(t, "requests are rejected", func() (done bool) {
				runInLoop(loop, func() { done = conn.lifetime.closeWhenAnswered })
				return done || !test.ends && fake.rejections.Load() > 0
			})
			served, rejected, end := readAnswers(client, fake, test.requests)
			if rejected == 0 || served == 0 {
				t.Errorf("%d requests are served and %d rejected, want some of each", served, rejected)
			}
			if end.Ended != test.ends || test.ends && end.Code != pgwire.ProgramLimitExceeded {
				t.Errorf("response %+v after %d, want error 54000 and the end: %t", end, served+rejected, test.ends)
			}
			waitUntil(t, "all memory is released", func() (none bool) {
				runInLoop(loop, func() { none = frontend.memory.memoryUse == memoryUse{} })
				return none
			})
		})
	}
}

// readAnswers serves the requests of a client one after the other, and reads its answers until there is one to each
// request or the connection ends.
func readAnswers(
	client *testserver.Client, fake *fakeRouter, requests int,
) (served, rejected int, last testserver.Answer) {
	stop := make(chan bool)
	defer close(stop)
	go serveUntil(stop, fake)
	for served+rejected < requests {
		last = client.Until('Z')
		switch {
		case last.Ended:
			return served, rejected, last
		case last.Code == pgwire.TooManyConnections:
			rejected++
		default:
			served++
		}
	}
	return served, rejected, last
}

// serveUntil serves each request that is accepted.
func serveUntil(stop <-chan bool, fake *fakeRouter) {
	for served := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		if accepted := fake.acceptedIDs(); len(accepted) > served {
			fake.serve(accepted[served:]...)
			served = len(accepted)
		}
	}
}

// Messages that are longer than what may be sent ahead are not too far ahead if nothing follows them.
func TestLongRequestMayBeSentAhead(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.PipelinedBytes = 16 << 10
	_, fake, _, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	long := bytes.Replace(longQuery("long"), []byte("c=value"), []byte("c=write"), 1)
	client.Send(concat(queryWithID("first", "write"), long))
	expectAccepted(t, fake, "first")
	time.Sleep(50 * time.Millisecond)
	fake.serve("first")
	expectAccepted(t, fake, "first", "long")
	fake.serve("long")
	expectResponses(t, client, "first", "long")
}
