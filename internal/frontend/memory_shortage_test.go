package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

const (
	// answerLimit is how long after its last byte a request of a test must be answered: its time limit of 900 ms, half a
	// second after which it counts as lost, and slack for a busy machine.
	answerLimit = 900*time.Millisecond + 500*time.Millisecond + 300*time.Millisecond
	// invalidClientLimit is how long after it has connected a client that stops within a message has its error.
	invalidClientLimit = 3 * time.Second
	longMessageBytes   = 100_000
)

// scarceMemoryLimits returns limits whose memory for clients is used up by a few long messages.
func scarceMemoryLimits() limits.Limits {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 4 * longMessageBytes
	return lim
}

// longQuery returns a query message of longMessageBytes with the given id.
func longQuery(id string) []byte {
	text := fmt.Sprintf("/* id=%s,c=value,d=900,cluster=1 */ SELECT '%s'", id, strings.Repeat("x", longMessageBytes))
	return pgwire.AppendQuery(nil, text)
}

// stalledClient is what a client got that stopped within a message.
type stalledClient struct {
	received []byte
	err      error         // nil = the connection was closed in an orderly way
	took     time.Duration // from the connect to the close
}

// stallingClients connects clients that send nine tenths of a long message and stop, until they occupy all memory. The
// returned channel tells of each of them once it is closed.
func stallingClients(t *testing.T, addr string, count int) <-chan stalledClient {
	t.Helper()
	outcomes := make(chan stalledClient, count)
	for i := range count {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		connectedAt := time.Now()
		conn.SetDeadline(connectedAt.Add(20 * time.Second))
		message := longQuery(fmt.Sprint("stalled-", i))
		write(t, conn, concat(pgwire.AppendStartup(nil, "user", "x"), message[:len(message)*9/10]))
		go func() {
			received, err := io.ReadAll(conn)
			outcomes <- stalledClient{received, err, time.Since(connectedAt)}
		}()
	}
	return outcomes
}

// waitForShortage waits until the memory for clients is used up, or until the sweeps have made room again.
func waitForShortage(t *testing.T, frontend *Frontend, lim limits.Limits) {
	t.Helper()
	waitUntil(t, "the memory for clients is used up", func() (short bool) {
		runInLoop(frontend.eventLoop, func() {
			short = frontend.memory.used(lim.Frontend.BufferedBytes) >= lim.Frontend.BufferedBytes*9/10
		})
		return short
	})
}

// sendInPieces sends a message in two pieces, and returns when the last byte was sent.
func sendInPieces(client *testserver.Client, message []byte) time.Time {
	client.Send(message[:len(message)/2])
	time.Sleep(50 * time.Millisecond)
	client.Send(message[len(message)/2:])
	return time.Now()
}

// expectAnswerInTime reads the answer to the request sent last. It must be served or rejected before the request counts
// as lost.
func expectAnswerInTime(t *testing.T, client *testserver.Client, what string, sentAt time.Time) (code string) {
	t.Helper()
	answer := client.Until('Z')
	took := time.Since(sentAt)
	if answer.Ended || took > answerLimit || answer.Code != "" && answer.Code != pgwire.TooManyConnections {
		t.Errorf("%s: error %q after %v, connection ended %v; want it served or rejected with 53300 within %v",
			what, answer.Code, took, answer.Ended, answerLimit)
	}
	return answer.Code
}

// Clients that stop within a long message must not delay the requests of others, whose messages come in pieces.
func TestStalledMessagesDoNotDelayOtherClients(t *testing.T) {
	lim := scarceMemoryLimits()
	lim.Frontend.PartialMessageTimeout = time.Second
	frontend, _, _, addr := startWith(t, lim)
	short := testserver.Dial(t, addr)
	long := testserver.Dial(t, addr)
	const stalled = 6
	outcomes := stallingClients(t, addr, stalled)
	waitForShortage(t, frontend, lim)
	sentAt := sendInPieces(short, queryWithID("short", "value"))
	expectAnswerInTime(t, short, "short request", sentAt)
	sentAt = sendInPieces(long, longQuery("long"))
	expectAnswerInTime(t, long, "long request", sentAt)
	for range stalled {
		got := <-outcomes
		rejected := bytes.Contains(got.received, []byte("C"+pgwire.ProtocolViolation+"\x00"))
		if got.err != nil || got.took > invalidClientLimit || !rejected {
			t.Errorf("client that stopped within a message: received %q after %v, error %v; want 08P01 within %v",
				got.received, got.took, got.err, invalidClientLimit)
		}
	}
	for what, client := range map[string]*testserver.Client{"short": short, "long": long} {
		client.Send(queryWithID("later-"+what, "value"))
		expectResponses(t, client, "later-"+what)
	}
}

// Long messages that occupy all memory together, each in part, must not wait for each other: each is answered, and no
// client is disconnected.
func TestLongMessagesInPartsDoNotBlockEachOther(t *testing.T) {
	lim := scarceMemoryLimits()
	frontend, _, _, addr := startWith(t, lim)
	var clients []*testserver.Client
	for i := range 8 {
		client := testserver.Dial(t, addr)
		message := longQuery(fmt.Sprint("part-", i))
		client.Send(message[:len(message)*3/4])
		clients = append(clients, client)
	}
	waitForShortage(t, frontend, lim)
	time.Sleep(2 * lim.Frontend.SweepInterval) // a sweep pauses all of them
	served := 0
	for i, client := range clients {
		message := longQuery(fmt.Sprint("part-", i))
		client.Send(message[len(message)*3/4:])
	}
	sentAt := time.Now()
	for i, client := range clients {
		if expectAnswerInTime(t, client, fmt.Sprint("request ", i), sentAt) == "" {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served, want some")
	}
}

// A client that stops within a long message and fills the memory just up to its limit must not make the router reject
// all requests of others for as long as it trickles.
func TestTricklingMessagesDoNotRejectOtherClientsForLong(t *testing.T) {
	lim := scarceMemoryLimits()
	lim.Frontend.BufferedBytes = 2 * longMessageBytes
	frontend, _, _, addr := startWith(t, lim)
	trickling := testserver.Dial(t, addr)
	message := longQuery("trickling")
	lim.Frontend.BufferedBytes = len(message) - 10
	runInLoop(frontend.eventLoop, func() { frontend.SetLimits(lim) })
	trickling.Send(message[:len(message)-20])
	waitForShortage(t, frontend, lim)
	client := testserver.Dial(t, addr)
	served := false
	for end := time.Now().Add(2 * time.Second); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		client.Send(queryWithID("short", "value"))
		served = client.Until('Z').Code == ""
	}
	if !served {
		t.Error("a short request was rejected for 2 s while another client's message trickled in")
	}
	trickling.Send(message[len(message)-20:])
	if answer := trickling.Until('Z'); answer.Code != pgwire.TooManyConnections {
		t.Errorf("response %+v to the message that had waited for memory, want error 53300", answer)
	}
}

// While long messages occupied all memory for statements, short requests of other clients were rejected. Each
// connection may keep a short statement in any case.
func TestShortRequestsAreAcceptedWhileMemoryIsUsedUp(t *testing.T) {
	lim := scarceMemoryLimits()
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	runInLoop(loop, func() { frontend.memory.bufferedBytes += 2 * lim.Frontend.BufferedBytes })
	client.Send(queryWithID("short", "any"))
	expectAccepted(t, fake, "short")
	fake.serve("short")
	expectResponses(t, client, "short")
	client.Send(longQuery("long"))
	expectResponses(t, client, pgwire.TooManyConnections)
}
