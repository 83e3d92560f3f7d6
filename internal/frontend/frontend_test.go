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

// Each kind of query, all sent at once, gets its own response in order.
func TestEachKindOfQueryGetsItsResponse(t *testing.T) {
	frontend, _, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != pgwire.CannotConnectNow || answer.Types != "EZ" {
		t.Fatalf("%+v before it is ready", answer)
	}
	runInLoop(loop, frontend.SetReady)
	var message []byte
	for _, text := range []string{
		"", statement("served"), statement("refused"), "SELECT 1", statement("odd"), statement("failed"),
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
			t.Errorf("passed on %q", answer.Value)
		}
		answer.Value = ""
		if answer != want {
			t.Errorf("answer %d: %+v", i, answer)
		}
	}
	client.Send(pgwire.Append(pgwire.AppendParse(nil, pgwire.ParseMessage{}), 'S'))
	if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
		t.Errorf("%+v", answer)
	}
}

// A client may ask for encryption first, and send its query right behind the startup message.
func TestQueryRightBehindStartup(t *testing.T) {
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
		t.Fatalf("%q %v", refusal, err)
	}
	reader := pgwire.NewReader(1<<16, 0)
	types := ""
	for buf := make([]byte, 1000); !strings.HasSuffix(types, "TDCZ"); {
		count, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, types)
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

// Invalid messages end their own connection at most, and the others go on.
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
		_, _ = c.Write(message) // it fails where the connection was closed for the first of the bytes
		if i%3 == 0 {
			c.(*net.TCPConn).CloseWrite()
		}
		c.Close()
	}
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	for name, message := range invalidMessages {
		client := testserver.Dial(t, addr)
		client.Send(message)
		if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, answer)
		}
	}
}

// invalidMessages are messages that no client may send, by what is wrong with them.
var invalidMessages = map[string][]byte{
	"type":   {'?', 0, 0, 0, 4},
	"length": {'Q', 0x7f, 0, 0, 0},
	"body":   {'Q', 0, 0, 0, 5, 'x'},
}

// The statements of all requests in flight are bounded in bytes, and given back.
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
		t.Fatalf("%+v", answer)
	}
	held.Send(append(large("held"), pgwire.AppendQuery(nil, statement("served"))...))
	for fake.accepted() < 2 {
		time.Sleep(time.Millisecond)
	}
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Code != pgwire.TooManyConnections || answer.Detail == "" {
		t.Fatalf("%+v", answer)
	}
	held.Close()
	<-fake.disconnects
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
}
