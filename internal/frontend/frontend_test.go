package frontend

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// Queries of each kind, all sent at once, get their own responses in order.
func TestEachKindOfQueryGetsItsResponse(t *testing.T) {
	frontend, _, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != pgwire.CannotConnectNow || answer.Types != "EZ" {
		t.Fatalf("response %+v before the router is ready, want error 57P03", answer)
	}
	runInLoop(loop, frontend.SetReady)
	var message []byte
	for _, text := range []string{
		"", statement("served"), statement("rejected"), "SELECT 1", statement("unknown"), statement("failed"),
	} {
		message = pgwire.AppendQuery(message, text)
	}
	client.Send(message)
	for i, want := range []testserver.Answer{
		{Types: "IZ"},
		{Types: "TDCZ"},
		{Types: "EZ", Code: "53300", Detail: "1500"},
		{Types: "EZ", Code: "42601"},
		{Types: "EZ", Code: "42601"},
		{Types: "EZ", Code: "08007"},
	} {
		answer := client.Until('Z')
		if i == 1 && !strings.Contains(answer.Value, "id=i-served,c=served,d=900,cluster=1") {
			t.Errorf("statement at the endpoint is %q, want it to keep its request comment", answer.Value)
		}
		answer.Value = ""
		if answer != want {
			t.Errorf("unexpected response %d: %+v", i, answer)
		}
	}
	client.Send(pgwire.Append(pgwire.AppendParse(nil, pgwire.ParseMessage{}), 'S'))
	if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
		t.Errorf("response %+v, want error 0A000", answer)
	}
}

// A client may request encryption first, and send its query immediately after the startup message.
func TestQueryImmediatelyAfterStartup(t *testing.T) {
	_, _, _, addr := start(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	message := pgwire.Append(nil, 0, []byte{4, 210, 22, 47})
	message = pgwire.AppendQuery(pgwire.AppendStartup(message, "user", "portal"), statement("served"))
	c.SetDeadline(time.Now().Add(20 * time.Second))
	write(t, c, message)
	refusal := make([]byte, 1)
	if _, err := io.ReadFull(c, refusal); err != nil || refusal[0] != 'N' {
		t.Fatalf("response to SSLRequest is %q, error %v, want N", refusal, err)
	}
	reader := pgwire.NewReader(1<<16, 0)
	types := ""
	for buf := make([]byte, 1000); !strings.HasSuffix(types, "TDCZ"); {
		count, err := c.Read(buf)
		if err != nil {
			t.Fatalf("connection ended with %v after messages %q", err, types)
		}
		reader.Feed(buf[:count])
		for {
			m, ok, err := reader.Next()
			if !ok || err != nil {
				break
			}
			types += string(m.Type)
		}
	}
}

// Invalid messages end at most their own connection, and other connections still work.
func TestInvalidMessagesEndOnlyTheirConnection(t *testing.T) {
	_, _, _, addr := start(t)
	random := rand.New(rand.NewPCG(9, 9))
	for i := range 60 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		message := make([]byte, 1+random.IntN(300))
		for i := range message {
			message[i] = byte(random.Uint32())
		}
		if i%2 == 0 {
			message = append(pgwire.AppendStartup(nil, "user", "x"), message...)
		}
		_, _ = c.Write(message) // fails where the connection was closed after the first bytes
		if i%3 == 0 {
			c.(*net.TCPConn).CloseWrite()
		}
		c.Close()
	}
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
	for name, message := range invalidMessages {
		client := testserver.Dial(t, addr)
		client.Send(message)
		if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: response %+v, want error 08P01 and the end of the connection", name, answer)
		}
	}
}

// invalidMessages are messages that violate the protocol, by the part that is invalid.
var invalidMessages = map[string][]byte{
	"type":   {'?', 0, 0, 0, 4},
	"length": {'Q', 0x7f, 0, 0, 0},
	"body":   {'Q', 0, 0, 0, 5, 'x'},
}

// The total size of the statements in flight is limited, and their memory is released.
func TestBytesInFlightAreBounded(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 100_000
	_, fake, _, addr := startWith(t, lim)
	large := func(class string) []byte {
		return pgwire.AppendQuery(nil, statement(class)+strings.Repeat(" ", 60_000))
	}
	held, client := testserver.Dial(t, addr), testserver.Dial(t, addr)
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
	held.Send(append(large("held"), pgwire.AppendQuery(nil, statement("served"))...))
	for fake.accepted() < 2 {
		time.Sleep(time.Millisecond)
	}
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Code != pgwire.TooManyConnections || answer.Detail == "" {
		t.Fatalf("response %+v above the memory limit, want error 53300 with a detail", answer)
	}
	held.Close()
	<-fake.disconnects
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v after the memory was released, want types TDCZ", answer)
	}
}
