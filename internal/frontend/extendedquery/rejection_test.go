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
	head := "/* id=x,c=read,d=900,cluster=7 */ "
	for _, text := range []string{
		"BEGIN", "COPY facts FROM STDIN", "SET x = 1", "SELECT 1; SELECT 2", "INSERT INTO facts VALUES (1)",
		"WITH a AS (DELETE FROM facts RETURNING 1) SELECT 1", "SELECT 1 INTO t", "SELECT 'a", "SELECT $a$ x", "/* x",
		"commit",
	} {
		client := testserver.Dial(t, server.addr)
		client.Send(append(prepare("", head+text), runStatement("")...))
		if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
			t.Errorf("%s as an extended query: response %+v, want error 0A000", text, answer)
		}
		client.Send(pgwire.AppendQuery(nil, head+text))
		if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
			t.Errorf("%s as a simple query: response %+v, want error 0A000", text, answer)
		}
	}
	if db.Runs("x") != 0 {
		t.Errorf("rejected statements ran %d times, want 0", db.Runs("x"))
	}
}

// A write that is not the last operation of its unit before Sync is rejected and not run.
func TestWriteMustBeFollowedBySync(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: bindValues})
	for _, next := range [][]byte{
		bind, pgwire.Append(nil, 'H'), pgwire.AppendExecute(nil, "", 0), prepare("k", statementText("k", "read", 900)),
	} {
		client.Send(pgwire.Append(slices.Concat(writeWithoutSync(), next), 'S'))
		if answer := client.Until('Z'); answer.Code != pgwire.NotSupported || strings.Count(answer.Types, "E") != 1 {
			t.Errorf("message %q after a write: response %+v, want one error 0A000", next[0], answer)
		}
		client.Send(pgwire.Append(pgwire.AppendTarget(nil, 'C', 'S', "j"), 'S'))
		client.Until('Z')
	}
	if db.Runs("j") != 0 {
		t.Errorf("rejected writes ran %d times, want 0", db.Runs("j"))
	}
}

// writeWithoutSync returns Parse, Bind and Execute of a write with the id j.
func writeWithoutSync() []byte {
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: bindValues})
	return pgwire.AppendExecute(append(prepare("j", statementText("j", "write", 900)), bind...), "", 0)
}

// An undefined statement, an undefined portal and a missing request comment each have their own error.
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
			t.Errorf("want error %s, got response %+v", want, answer)
		}
	}
}

// The number of prepared statements is limited, and the connection is in sync after the error.
func TestPreparedStatementsAreBounded(t *testing.T) {
	server := start(t, testserver.NewDB(t, true, nil))
	client := testserver.Dial(t, server.addr)
	var messages []byte
	for i := range 1100 {
		messages = append(messages, prepare(fmt.Sprint("s", i), statementText("x", "read", 900))...)
	}
	client.Send(pgwire.Append(messages, 'S'))
	if answer := client.Until('Z'); answer.Code != pgwire.ProgramLimitExceeded || strings.Count(answer.Types, "E") != 1 {
		t.Errorf("error %q, want 54000 exactly once", answer.Code)
	}
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Errorf("response %+v to an empty query after the error, want types IZ", answer)
	}
}

// Responses that wait for Sync are limited: above the limit they are sent before it, and none is lost.
func TestResponsesThatAwaitSyncAreBounded(t *testing.T) {
	server := start(t, testserver.NewDB(t, true, nil))
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Rest: bindValues})
	messages := append(prepare("", statementText("x2", "read", 2500)), bind...)
	messages = pgwire.AppendExecute(messages, "", 0)
	const closes = 2 * maxBufferedBytes / 5
	client := testserver.Dial(t, server.addr)
	for range closes {
		messages = pgwire.AppendTarget(messages, 'C', 'S', "none")
	}
	client.Send(pgwire.Append(messages, 'S'))
	answer := client.Until('Z')
	if strings.Count(answer.Types, "3") != closes || !strings.HasPrefix(answer.Types, "12DC3") {
		t.Errorf("response has types %.20s... (%d messages), want 12DC and all CloseComplete messages",
			answer.Types, len(answer.Types))
	}
}

// A write has not run if its client disconnects or sends Terminate before Sync, and a client that violates the protocol
// gets an error and is closed.
func TestConnectionEndBeforeSyncRunsNothing(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(writeWithoutSync())
	client.Close()
	client = testserver.Dial(t, server.addr)
	client.Send(pgwire.Append(writeWithoutSync(), 'X'))
	if answer := client.Until('Z'); !answer.Ended {
		t.Errorf("response %+v to Terminate, want the end of the connection", answer)
	}
	client = testserver.Dial(t, server.addr)
	client.Send([]byte{'B', 0, 0, 0, 5, 9})
	if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
		t.Errorf("response %+v to an invalid message, want error 08P01 and the end of the connection", answer)
	}
	if db.Runs("j") != 0 {
		t.Errorf("writes without Sync ran %d times, want 0", db.Runs("j"))
	}
}
