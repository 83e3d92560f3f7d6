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

// A unit of work may come whole or in parts, and may hold several reads.
func TestUnitOfWork(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun("r1", "look", 2000))
	if answer := client.Until('Z'); answer.Types != "12TDCZ" || answer.Value != db.Addr || db.Runs("r1") != 1 {
		t.Fatalf("%+v", answer)
	}
	// In parts: prepared and described first, executed later, twice, a Close behind an Execute.
	client.Send(pgwire.Append(pgwire.AppendTarget(prepare("s", statementText("r2", "job", 2000)), 'D', 'S', "s"), 'S'))
	if answer := client.Until('Z'); answer.Types != "1tTZ" || db.Runs("r2") != 0 {
		t.Fatalf("%+v", answer)
	}
	messages := pgwire.AppendBind(nil, pgwire.BindMessage{Portal: "p", Statement: "s", Rest: bindValues})
	client.Send(pgwire.AppendTarget(pgwire.AppendExecute(messages, "p", 0), 'C', 'P', "p"))
	client.Send(pgwire.Append(nil, 'S'))
	if answer := client.Until('Z'); answer.Types != "2DC3Z" || db.Runs("r2") != 1 {
		t.Fatalf("%+v, %d runs", answer, db.Runs("r2"))
	}
	client.Send(runStatement("s"))
	if answer := client.Until('Z'); answer.Types != "2TDCZ" || db.Runs("r2") != 2 {
		t.Fatalf("%+v", answer)
	}
	// Reads may share a unit, and Flush asks for what there is.
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: bindValues})
	execute := pgwire.AppendExecute(nil, "", 0)
	messages = slices.Concat(prepare("q", statementText("r3", "look", 2000)), bind, execute, bind, execute)
	client.Send(pgwire.Append(messages, 'H'))
	if answer := client.Until('C'); answer.Types != "12DC" {
		t.Fatalf("%+v", answer)
	}
	if answer := client.Until('C'); answer.Types != "2DC" || db.Runs("r3") != 2 {
		t.Fatalf("%+v", answer)
	}
	client.Send(pgwire.Append(nil, 'S'))
	client.Send(pgwire.AppendQuery(nil, statementText("r4", "look", 2000)))
	if answer := client.Until('Z'); answer.Types != "Z" {
		t.Fatalf("%+v", answer)
	}
	if answer := client.Until('Z'); answer.Types != "TDCZ" || db.Runs("r4") != 1 {
		t.Fatalf("%+v", answer)
	}
	client.Send(pgwire.AppendQuery(nil, " ; "))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Fatalf("%+v", answer)
	}
}

// A write runs at most once, whatever breaks and wherever, and its client gets exactly one response. A read is retried.
func TestBreaksAtEachBoundary(t *testing.T) {
	for _, class := range []string{"job", "look"} {
		for _, at := range []byte{0, 'P', 'B', 'D', 'E', 'S'} {
			testBreak(t, class, at, 0)
		}
		for _, cut := range []int{1, 5, 10, 15, 46, 60, 90, 140} {
			testBreak(t, class, 'S', cut)
		}
	}
}

// testBreak runs a statement at an endpoint that breaks its first connection at a message, 0 = at the startup. With cut
// above 0 it sends so many bytes of its response before that.
func testBreak(t *testing.T, class string, at byte, cut int) {
	t.Helper()
	id := fmt.Sprintf("%s-%d-%d", class, at, cut)
	broken := false
	db := testserver.NewDB(t, true, func(messageType byte, request string) testserver.Act {
		if broken || messageType != at || messageType != 0 && request != id {
			return testserver.Act{}
		}
		broken = true
		return testserver.Act{Break: cut == 0, TruncateAt: cut}
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun(id, class, 1500))
	answer := client.Until('Z')
	runs := db.Runs(id)
	neverWritten := at == 0
	cutBehindItsEnd := cut == 140
	switch {
	case class == "job" && (neverWritten || cutBehindItsEnd):
		if answer.Types != "12TDCZ" || runs != 1 {
			t.Errorf("%s: %+v, %d runs", id, answer, runs)
		}
	case class == "job":
		if answer.Code != pgwire.UnknownOutcome || strings.Count(answer.Types, "E") != 1 || runs > 1 {
			t.Errorf("%s: %+v, %d runs", id, answer, runs)
		}
	case answer.Types != "12TDCZ":
		t.Errorf("%s: %+v", id, answer)
	}
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Errorf("%s: then %+v", id, answer)
	}
}

// An error that says that nothing was run is retried elsewhere, one of the statement is forwarded, and any other
// fails a write.
func TestEachErrorOfAnEndpoint(t *testing.T) {
	for code, want := range map[string]string{
		"53300": "",
		"25006": "",
		"72000": "",
		"XX000": "08007",
		"57P01": "08007",
		"23505": "23505",
	} {
		for _, fatal := range []bool{false, true} {
			id := "e" + code
			sent := false
			act := func(messageType byte, request string) testserver.Act {
				if sent || messageType != 'E' || request != id {
					return testserver.Act{}
				}
				sent = true
				return testserver.Act{Code: code, Fatal: fatal}
			}
			one, two := testserver.NewDB(t, true, act), testserver.NewDB(t, true, nil)
			server := start(t, one, two)
			client := testserver.Dial(t, server.addr)
			client.Send(parseAndRun(id, "job", 2500))
			answer := client.Until('Z')
			if answer.Code != want || one.Runs(id)+two.Runs(id) > 1 || want == "" && answer.Types != "12TDCZ" {
				t.Errorf("%s, fatal %v: %+v, %d and %d runs", code, fatal, answer, one.Runs(id), two.Runs(id))
			}
		}
	}
}

// A request whose deadline passes at an endpoint that stays silent is answered: a write fails, a read is rejected.
func TestDeadline(t *testing.T) {
	silent := func(messageType byte, _ string) testserver.Act {
		return testserver.Act{Silent: messageType == 'E'}
	}
	db := testserver.NewDB(t, true, silent)
	server := start(t, db)
	for class, want := range map[string]string{"job": pgwire.UnknownOutcome, "look": pgwire.TooManyConnections} {
		client := testserver.Dial(t, server.addr)
		at := time.Now()
		client.Send(parseAndRun("d-"+class, class, 400))
		answer := client.Until('Z')
		if took := time.Since(at); answer.Code != want || took < 100*time.Millisecond {
			t.Errorf("%s: %+v after %v", class, answer, took)
		}
		if class == "look" && answer.Detail == "" {
			t.Error("the rejection does not say when to come back")
		}
	}
}

// A statement that was prepared while one replica served reaches another once that one drains.
func TestDrainedReplica(t *testing.T) {
	primary := testserver.NewDB(t, true, nil)
	one := testserver.NewDB(t, false, nil)
	two := testserver.NewDB(t, false, nil)
	server := start(t, primary, one)
	client := testserver.Dial(t, server.addr)
	client.Send(append(prepare("s", statementText("r", "look", 1900)), runStatement("s")...))
	if answer := client.Until('Z'); answer.Value != one.Addr {
		t.Fatalf("%+v", answer)
	}
	server.updateEndpoints(false, "draining", one)
	server.updateEndpoints(false, "ready", two)
	runs := one.Runs("r")
	client.Send(runStatement("s"))
	if answer := client.Until('Z'); answer.Types != "2TDCZ" || answer.Value != two.Addr || one.Runs("r") != runs {
		t.Fatalf("%+v", answer)
	}
	// The primary changes: the statement of a write follows it.
	client.Send(append(prepare("j", statementText("j1", "job", 1900)), runStatement("j")...))
	if answer := client.Until('Z'); answer.Value != primary.Addr {
		t.Fatalf("%+v", answer)
	}
	primary.SetPrimary(false)
	two.SetPrimary(true)
	server.updateEndpoints(false, "draining", primary)
	client.Send(runStatement("j"))
	if answer := client.Until('Z'); answer.Value != two.Addr || primary.Runs("j1") != 1 || two.Runs("j1") != 1 {
		t.Fatalf("%+v", answer)
	}
}

// A request that is invalid, or has the label of another open request, gets an error and reaches no endpoint.
func TestInvalidRequests(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	db := testserver.NewDB(t, true, func(messageType byte, _ string) testserver.Act {
		if messageType == 'E' {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	server := start(t, db)
	first := testserver.Dial(t, server.addr)
	client := testserver.Dial(t, server.addr)
	first.Send(parseAndRun("open", "look", 2500))
	<-asked
	for _, messages := range [][]byte{
		parseAndRun("open", "look", 2500), parseAndRun("other", "none", 2500), parseAndRun("other", "look", 0),
		pgwire.AppendQuery(nil, statementText("other", "none", 2500)),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Code != pgwire.BadStatement || answer.Value != "" {
			t.Errorf("%+v", answer)
		}
	}
	close(goOn)
	if answer := first.Until('Z'); answer.Value != db.Addr || db.Runs("other") != 0 || db.Runs("open") != 1 {
		t.Fatalf("%+v", answer)
	}
}

// A unit of work that does not go on ends its connection, however it was begun, and what waits in it has run nothing.
func TestStalledUnitOfWork(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	lim := defaultLimits()
	lim.Frontend.UnitTimeout = 100 * time.Millisecond
	lim.Frontend.PartialMessageTimeout = 100 * time.Millisecond
	server := startWith(t, lim, db)
	job := parseAndRun("j", "job", 2500)
	for name, messages := range map[string][]byte{
		"no sync":        job[:len(job)-5],
		"half a message": job[:len(job)-2],
		"half a parse":   job[:20],
		"only parse":     prepare("", statementText("j", "job", 2500)),
	} {
		client := testserver.Dial(t, server.addr)
		client.Send(messages)
		if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, answer)
		}
	}
	if db.Runs("j") != 0 {
		t.Error("it ran")
	}
}

// A malformed response is no response: a read is retried elsewhere, and a write has failed, once.
func TestMalformedResponses(t *testing.T) {
	calls := 0
	db := testserver.NewDB(t, true, func(messageType byte, id string) (act testserver.Act) {
		calls++
		spoilsRead := id == "r" && calls < 8
		if messageType == 'S' && (id == "j" || spoilsRead) {
			act.Corrupt = func(messages []byte) []byte {
				i := strings.IndexByte(string(messages), 'D')
				messages[i+4] ^= 1 // so that the length of the row does not fit
				return messages
			}
		}
		return act
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun("r", "look", 2500))
	if answer := client.Until('Z'); answer.Types != "12TDCZ" || answer.Value != db.Addr {
		t.Errorf("%+v", answer)
	}
	client.Send(parseAndRun("j", "job", 2500))
	if answer := client.Until('Z'); answer.Code != pgwire.UnknownOutcome || db.Runs("j") != 1 {
		t.Errorf("%+v, %d runs", answer, db.Runs("j"))
	}
}

// A drained router says no to an empty query, serves what a new connection brings, closes it behind the response, and
// serves as before once it is activated. A suspended endpoint gets nothing.
func TestDrainedAndSuspended(t *testing.T) {
	used := testserver.NewDB(t, true, nil)
	suspended := testserver.NewDB(t, false, nil)
	server := start(t, used, suspended)
	runInLoop := func(f func()) {
		done := make(chan bool)
		server.eventLoop.Post(func() {
			f()
			close(done)
		})
		<-done
	}
	old := testserver.Dial(t, server.addr)
	runInLoop(func() {
		server.frontend.SetDrained(true)
		server.router.Suspend(suspended.Addr, true)
	})
	old.Send(pgwire.AppendQuery(nil, ""))
	if answer := old.Until('Z'); answer.Code != pgwire.CannotConnectNow {
		t.Fatalf("%+v", answer)
	}
	if answer := old.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	late := testserver.Dial(t, server.addr)
	quiet := testserver.Dial(t, server.addr)
	late.Send(parseAndRun("late", "look", 2000))
	if answer := late.Until('Z'); answer.Value == "" || answer.Value == suspended.Addr {
		t.Fatalf("%+v", answer)
	}
	for _, client := range []*testserver.Client{late, quiet} {
		if answer := client.Until('Z'); !answer.Ended {
			t.Fatalf("%+v", answer)
		}
	}
	runInLoop(func() {
		server.frontend.SetDrained(false)
		server.router.Suspend(suspended.Addr, false)
	})
	client := testserver.Dial(t, server.addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != "" {
		t.Fatalf("%+v", answer)
	}
	for i := range 50 {
		client.Send(parseAndRun(fmt.Sprint("again-", i), "look", 2000))
		if answer := client.Until('Z'); answer.Value == suspended.Addr {
			return
		}
	}
	t.Fatal("never used again")
}

// A long value is streamed in each way to ask for it, and what stands around it stays in step.
func TestLongValue(t *testing.T) {
	value := strings.Repeat("v", 2<<20)
	db := testserver.NewDB(t, true, func(messageType byte, id string) (act testserver.Act) {
		if (messageType == 'S' || messageType == 'Q') && id != "" {
			act.Corrupt = func(messages []byte) []byte {
				rowEnd := strings.IndexByte(string(messages), 'C') // CommandComplete stands behind the row
				rowStart := strings.LastIndex(string(messages[:rowEnd]), "D\x00\x00\x00")
				row := pgwire.Append(nil, 'D', []byte{0, 1, 0, 32, 0, 0}, []byte(value))
				return slices.Concat(messages[:rowStart], row, messages[rowEnd:])
			}
		}
		return act
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	for i, messages := range [][]byte{
		parseAndRun("r1", "look", 2500),
		pgwire.AppendQuery(nil, statementText("r2", "look", 2500)),
		parseAndRun("r3", "job", 2500),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Value != value || !strings.HasSuffix(answer.Types, "TDCZ") {
			t.Fatalf("%d: %s, %d bytes", i, answer.Types, len(answer.Value))
		}
	}
}
