package extendedquery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A long message that arrives in parts while there is no memory for it must not wait until it times out: it is rejected
// with 53300 once it has arrived, an operation before it runs, and the connection stays in sync.
func TestMessageThatWaitsForMemoryIsRejected(t *testing.T) {
	const bufferedBytes, longBytes = 50_000, 100_000
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = bufferedBytes
	db := testserver.NewDB(t, true, nil)
	server := startWith(t, lim, db)
	padding := " /* " + strings.Repeat("x", longBytes) + " */"
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Rest: bindValues})
	execute := pgwire.AppendExecute(nil, "", 0)
	for _, c := range []struct {
		name   string
		before []byte
		long   []byte
		after  []byte
		want   string // types of the response
	}{
		{"simple query", nil, pgwire.AppendQuery(nil, statementText("long", "read", 2000)+padding), nil, "EZ"},
		{"Parse", nil, prepare("", statementText("long", "read", 2000)+padding), runStatement(""), "EZ"},
		{
			"Bind", prepare("s", statementText("long", "read", 2000)),
			pgwire.AppendBind(nil, pgwire.BindMessage{
				Portal: "p", Statement: "s", Rest: []byte(strings.Repeat("x", longBytes)),
			}),
			pgwire.Append(pgwire.AppendExecute(nil, "p", 0), 'S'), "1EZ",
		},
		{
			"Parse after a read", slices.Concat(prepare("", statementText("early", "read", 2000)), bind, execute),
			prepare("", statementText("long", "read", 2000)+padding), pgwire.Append(nil, 'S'), "12DCEZ",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := testserver.Dial(t, server.addr)
			part := len(c.long) * 7 / 10
			client.Send(slices.Concat(c.before, c.long[:part]))
			time.Sleep(2 * lim.Frontend.MemoryWaitTimeout)
			client.Send(slices.Concat(c.long[part:], c.after))
			if answer := client.Until('Z'); answer.Types != c.want || answer.Code != pgwire.TooManyConnections {
				t.Errorf("response %.100v, want types %s and error 53300", answer, c.want)
			}
			client.Send(parseAndRun("later", "read", 2000))
			if answer := client.Until('Z'); answer.Types != "12TDCZ" {
				t.Errorf("response %.100v to the next unit, want types 12TDCZ", answer)
			}
		})
	}
	if db.Runs("long") != 0 || db.Runs("early") != 1 {
		t.Errorf("rejected statements ran %d times and the read before them %d times, want 0 and 1",
			db.Runs("long"), db.Runs("early"))
	}
}

// The names of prepared statements were not counted, so clients could take a router over its memory with them. A client
// that prepares more than there is memory for is told so, and the memory is free once it has disconnected.
func TestNamesOfPreparedStatementsCount(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 1 << 20
	server := startWith(t, lim, testserver.NewDB(t, true, nil))
	client := testserver.Dial(t, server.addr)
	prepareNamed := func(number int) testserver.Answer {
		name := fmt.Sprintf("%d%s", number, strings.Repeat("n", 100_000))
		client.Send(pgwire.Append(prepare(name, statementText("r", "read", 900)), 'S'))
		return client.Until('Z')
	}
	prepared := 0
	for answer := prepareNamed(0); answer.Code == ""; answer = prepareNamed(prepared) {
		if prepared++; prepared > 20 {
			t.Fatal("20 names of 100,000 bytes are kept, want at most 10")
		}
	}
	if prepared < 5 {
		t.Errorf("%d names are kept, want at least half of what there is memory for", prepared)
	}
	client.Close()
	client = testserver.Dial(t, server.addr)
	for end := time.Now().Add(5 * time.Second); prepareNamed(0).Code != ""; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("there is no memory 5 s after the client has disconnected")
		}
	}
}
