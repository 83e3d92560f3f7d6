package extendedquery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A statement that leaves state at an endpoint, or writes in a class that does not, is rejected.
func TestUnsupportedStatementsAreRejected(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	head := "/* id=x,c=look,d=900,cluster=7 */ "
	for _, text := range []string{
		"BEGIN", "COPY facts FROM STDIN", "SET x = 1", "SELECT 1; SELECT 2", "INSERT INTO facts VALUES (1)",
		"WITH a AS (DELETE FROM facts RETURNING 1) SELECT 1", "SELECT 1 INTO t", "SELECT 'a", "SELECT $a$ x", "/* x",
		"commit",
	} {
		client := testserver.Dial(t, server.addr)
		client.Send(append(prepare("", head+text), runStatement("")...))
		if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
			t.Errorf("%s: %+v", text, answer)
		}
		client.Send(pgwire.AppendQuery(nil, head+text))
		if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
			t.Errorf("%s: %+v", text, answer)
		}
	}
	if db.Runs("x") != 0 {
		t.Errorf("%d runs", db.Runs("x"))
	}
}

// A write is the last message of its unit before Sync, and nothing of it is run otherwise.
func TestWriteMustBeFollowedBySync(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: bindValues})
	for _, behind := range [][]byte{
		bind, pgwire.Append(nil, 'H'), pgwire.AppendExecute(nil, "", 0), prepare("k", statementText("k", "look", 900)),
	} {
		client.Send(pgwire.Append(slices.Concat(writeWithoutSync(), behind), 'S'))
		if answer := client.Until('Z'); answer.Code != pgwire.NotSupported || strings.Count(answer.Types, "E") != 1 {
			t.Errorf("behind a job %q: %+v", behind[0], answer)
		}
		client.Send(pgwire.Append(pgwire.AppendTarget(nil, 'C', 'S', "j"), 'S'))
		client.Until('Z')
	}
	if db.Runs("j") != 0 {
		t.Errorf("%d runs", db.Runs("j"))
	}
}

// writeWithoutSync returns Parse, Bind and Execute of a write with the label j.
func writeWithoutSync() []byte {
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: bindValues})
	return pgwire.AppendExecute(append(prepare("j", statementText("j", "job", 900)), bind...), "", 0)
}

// What names no statement or portal, or has no request comment, gets an error of its own.
func TestUndefinedNamesAreRejected(t *testing.T) {
	server := start(t, testserver.NewDB(t, true, nil))
	client := testserver.Dial(t, server.addr)
	for want, messages := range map[string][]byte{
		"26000": runStatement("none"),
		"34000": pgwire.Append(pgwire.AppendExecute(nil, "none", 0), 'S'),
		"42601": pgwire.Append(prepare("", "SELECT 1"), 'S'),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Code != want || answer.Types != "EZ" {
			t.Errorf("%s: %+v", want, answer)
		}
	}
}

// What is prepared is bounded, and the connection stays in step.
func TestPreparedStatementsAreBounded(t *testing.T) {
	server := start(t, testserver.NewDB(t, true, nil))
	client := testserver.Dial(t, server.addr)
	var messages []byte
	for i := range 1100 {
		messages = append(messages, prepare(fmt.Sprint("s", i), statementText("x", "look", 900))...)
	}
	client.Send(pgwire.Append(messages, 'S'))
	if answer := client.Until('Z'); answer.Code != pgwire.TooLarge || strings.Count(answer.Types, "E") != 1 {
		t.Errorf("%s", answer.Code)
	}
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Errorf("then %+v", answer)
	}
}

// What waits for Sync is bounded: it is sent before that, and nothing of it is lost.
func TestResponsesThatAwaitSyncAreBounded(t *testing.T) {
	server := start(t, testserver.NewDB(t, true, nil))
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Rest: bindValues})
	messages := append(prepare("", statementText("x2", "look", 2500)), bind...)
	messages = pgwire.AppendExecute(messages, "", 0)
	const closes = 2 * maxBufferedBytes / 5
	client := testserver.Dial(t, server.addr)
	for range closes {
		messages = pgwire.AppendTarget(messages, 'C', 'S', "none")
	}
	client.Send(pgwire.Append(messages, 'S'))
	answer := client.Until('Z')
	if strings.Count(answer.Types, "3") != closes || !strings.HasPrefix(answer.Types, "12DC3") {
		t.Errorf("%.20s of %d", answer.Types, len(answer.Types))
	}
}

// A client that disconnects before Sync has run nothing, nor has one that sends Terminate. One that breaks the protocol
// is told so and closed.
func TestEndBeforeSyncRunsNothing(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(writeWithoutSync())
	client.Close()
	client = testserver.Dial(t, server.addr)
	client.Send(pgwire.Append(writeWithoutSync(), 'X'))
	if answer := client.Until('Z'); !answer.Ended {
		t.Errorf("%+v", answer)
	}
	client = testserver.Dial(t, server.addr)
	client.Send([]byte{'B', 0, 0, 0, 5, 9})
	if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
		t.Errorf("%+v", answer)
	}
	if db.Runs("j") != 0 {
		t.Errorf("%d runs", db.Runs("j"))
	}
}
