package extendedquery

import (
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// beginShutdown starts a shutdown as the daemon does, some time after which open units of work are ended.
func (server *testRouter) beginShutdown(graceful bool, unitsEndAfter time.Duration) {
	done := make(chan bool)
	server.eventLoop.Post(func() {
		server.frontend.Shutdown(graceful)
		server.frontend.SetShutdownDeadline(server.eventLoop.Now() + unitsEndAfter)
		if !graceful {
			server.frontend.CloseIdleConnections()
		}
		close(done)
	})
	<-done
}

// openUnit sends a unit of work up to its Execute, without its Sync, and waits until Parse and Bind are answered.
func openUnit(t *testing.T, client *testserver.Client, id, class string) {
	t.Helper()
	messages := prepare("", statementText(id, class, 3000))
	messages = pgwire.AppendBind(messages, pgwire.BindMessage{Rest: bindValues})
	client.Send(pgwire.Append(messages, 'H'))
	if answer := client.Until('2'); answer.Types != "12" {
		t.Fatalf("response %+v to Parse and Bind, want types 12", answer)
	}
	client.Send(pgwire.AppendExecute(nil, "", 0))
}

// An Execute that waits for its Sync at a shutdown was dropped without an answer when idle connections were closed. It
// is served when the Sync comes, and then the connection is closed.
func TestShutdownWaitsForOpenUnits(t *testing.T) {
	for _, class := range []string{"write", "read"} {
		for _, graceful := range []bool{false, true} {
			db := testserver.NewDB(t, true, nil)
			server := start(t, db)
			client := testserver.Dial(t, server.addr)
			openUnit(t, client, "late", class)
			server.beginShutdown(graceful, time.Minute)
			time.Sleep(2 * defaultLimits().Frontend.UnusedIdle) // several sweeps
			client.Send(pgwire.Append(nil, 'S'))
			if answer := client.Until('Z'); answer.Types != "DCZ" {
				t.Errorf("%s, graceful %t: response %+v, want types DCZ", class, graceful, answer)
			}
			if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
				t.Errorf("%s, graceful %t: response %+v, want the end of the connection", class, graceful, answer)
			}
			if runs := db.Runs("late"); runs != 1 {
				t.Errorf("%s, graceful %t: %d runs, want 1", class, graceful, runs)
			}
		}
	}
}

// A unit of work whose Sync does not come is answered with an error at the shutdown deadline, and nothing of it runs.
// The process exits then, and would drop it.
func TestShutdownDeadlineAnswersOpenUnits(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		db := testserver.NewDB(t, true, nil)
		server := start(t, db)
		client := testserver.Dial(t, server.addr)
		openUnit(t, client, "endless", "write")
		server.beginShutdown(graceful, time.Second)
		answer := client.Until('Z')
		if answer.Code != pgwire.TooManyConnections || !answer.Ended {
			t.Errorf("graceful %t: response %+v, want error 53300 and the end of the connection", graceful, answer)
		}
		if runs := db.Runs("endless"); runs != 0 {
			t.Errorf("graceful %t: %d runs, want none", graceful, runs)
		}
	}
}
