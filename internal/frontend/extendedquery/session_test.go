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

// Units of work may arrive whole or in parts, and may contain several reads.
func TestUnitOfWork(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun("r1", "read", 2000))
	if answer := client.Until('Z'); answer.Types != "12TDCZ" || answer.Value != db.Addr || db.Runs("r1") != 1 {
		t.Fatalf("response %+v to a whole unit, want types 12TDCZ and one run", answer)
	}
	// In parts: prepared and described first, executed later, twice, with a Close after an Execute.
	client.Send(pgwire.Append(pgwire.AppendTarget(prepare("s", statementText("r2", "write", 2000)), 'D', 'S', "s"), 'S'))
	if answer := client.Until('Z'); answer.Types != "1tTZ" || db.Runs("r2") != 0 {
		t.Fatalf("response %+v to Parse and Describe, want types 1tTZ and no run", answer)
	}
	messages := pgwire.AppendBind(nil, pgwire.BindMessage{Portal: "p", Statement: "s", Rest: bindValues})
	client.Send(pgwire.AppendTarget(pgwire.AppendExecute(messages, "p", 0), 'C', 'P', "p"))
	client.Send(pgwire.Append(nil, 'S'))
	if answer := client.Until('Z'); answer.Types != "2DC3Z" || db.Runs("r2") != 1 {
		t.Fatalf("response %+v to Bind, Execute and Close, %d runs, want types 2DC3Z and one run", answer, db.Runs("r2"))
	}
	client.Send(runStatement("s"))
	if answer := client.Until('Z'); answer.Types != "2TDCZ" || db.Runs("r2") != 2 {
		t.Fatalf("response %+v to the second execution, want types 2TDCZ and two runs", answer)
	}
	// Several reads may share a unit, and Flush requests the responses that are available.
	bind := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: bindValues})
	execute := pgwire.AppendExecute(nil, "", 0)
	messages = slices.Concat(prepare("q", statementText("r3", "read", 2000)), bind, execute, bind, execute)
	client.Send(pgwire.Append(messages, 'H'))
	if answer := client.Until('C'); answer.Types != "12DC" {
		t.Fatalf("response %+v to the first read before Flush, want types 12DC", answer)
	}
	if answer := client.Until('C'); answer.Types != "2DC" || db.Runs("r3") != 2 {
		t.Fatalf("response %+v to the second read before Flush, want types 2DC and two runs", answer)
	}
	client.Send(pgwire.Append(nil, 'S'))
	client.Send(pgwire.AppendQuery(nil, statementText("r4", "read", 2000)))
	if answer := client.Until('Z'); answer.Types != "Z" {
		t.Fatalf("response %+v to Sync, want types Z", answer)
	}
	if answer := client.Until('Z'); answer.Types != "TDCZ" || db.Runs("r4") != 1 {
		t.Fatalf("response %+v to a simple query, want types TDCZ and one run", answer)
	}
	client.Send(pgwire.AppendQuery(nil, " ; "))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Fatalf("response %+v to an empty query, want types IZ", answer)
	}
}

// A write runs at most once, wherever the connection to its endpoint is lost, and its client gets exactly one response.
// A read is retried.
func TestConnectionLossAtEachMessage(t *testing.T) {
	for _, class := range []string{"write", "read"} {
		for _, at := range []byte{0, 'P', 'B', 'D', 'E', 'S'} {
			testConnectionLoss(t, class, at, 0)
		}
		for _, cut := range []int{1, 5, 10, 15, 46, 60, 90, 140} {
			testConnectionLoss(t, class, 'S', cut)
		}
	}
}

// testConnectionLoss runs a statement at an endpoint that closes its first connection when it receives the message type
// at, 0 = the startup message. If cut is above 0, the endpoint sends that many bytes of its response first.
func testConnectionLoss(t *testing.T, class string, at byte, cut int) {
	t.Helper()
	id := fmt.Sprintf("%s-%d-%d", class, at, cut)
	broken := false
	db := testserver.NewDB(t, true, func(messageType byte, request string) testserver.Act {
		if broken || messageType != at || messageType != 0 && request != id {
			return testserver.Act{}
		}
		broken = true
		return testserver.Act{CloseConnection: cut == 0, TruncateAt: cut}
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun(id, class, 1500))
	answer := client.Until('Z')
	runs := db.Runs(id)
	neverSent := at == 0
	cutAfterItsEnd := cut == 140
	switch {
	case class == "write" && (neverSent || cutAfterItsEnd):
		if answer.Types != "12TDCZ" || runs != 1 {
			t.Errorf("%s: response %+v, %d runs, want a served write and one run", id, answer, runs)
		}
	case class == "write":
		if answer.Code != pgwire.UnknownOutcome || strings.Count(answer.Types, "E") != 1 || runs > 1 {
			t.Errorf("%s: response %+v, %d runs, want one error 08007 and at most one run", id, answer, runs)
		}
	case answer.Types != "12TDCZ":
		t.Errorf("%s: response %+v, want a served read", id, answer)
	}
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Types != "IZ" {
		t.Errorf("%s: response %+v to an empty query afterwards, want types IZ", id, answer)
	}
}

// An endpoint's error is retried elsewhere if it means that nothing was run, is forwarded if it concerns the statement,
// and fails a write otherwise.
func TestEndpointErrors(t *testing.T) {
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
			client.Send(parseAndRun(id, "write", 2500))
			answer := client.Until('Z')
			if answer.Code != want || one.Runs(id)+two.Runs(id) > 1 || want == "" && answer.Types != "12TDCZ" {
				t.Errorf("error %s, fatal %v: unexpected response %+v after %d and %d runs at the two endpoints",
					code, fatal, answer, one.Runs(id), two.Runs(id))
			}
		}
	}
}

// A request whose deadline passes at an endpoint that sends nothing is answered: a write fails, a read is rejected.
func TestDeadline(t *testing.T) {
	silent := func(messageType byte, _ string) testserver.Act {
		return testserver.Act{Silent: messageType == 'E'}
	}
	db := testserver.NewDB(t, true, silent)
	server := start(t, db)
	for class, want := range map[string]string{"write": pgwire.UnknownOutcome, "read": pgwire.TooManyConnections} {
		client := testserver.Dial(t, server.addr)
		at := time.Now()
		client.Send(parseAndRun("d-"+class, class, 400))
		answer := client.Until('Z')
		if took := time.Since(at); answer.Code != want || took < 100*time.Millisecond {
			t.Errorf("class %s: response %+v after %v, want error 08007 for write and 53300 for read, after at least 100 ms",
				class, answer, took)
		}
		if class == "read" && answer.Detail == "" {
			t.Error("the rejection has no detail with the time to retry after")
		}
	}
}

// A statement that was prepared while one replica served runs at another one once the first is draining.
func TestDrainedReplica(t *testing.T) {
	primary := testserver.NewDB(t, true, nil)
	one := testserver.NewDB(t, false, nil)
	two := testserver.NewDB(t, false, nil)
	server := start(t, primary, one)
	client := testserver.Dial(t, server.addr)
	client.Send(append(prepare("s", statementText("r", "read", 1900)), runStatement("s")...))
	if answer := client.Until('Z'); answer.Value != one.Addr {
		t.Fatalf("response %+v, want it from the first replica", answer)
	}
	server.updateEndpoints(false, "draining", one)
	server.updateEndpoints(false, "ready", two)
	runs := one.Runs("r")
	client.Send(runStatement("s"))
	if answer := client.Until('Z'); answer.Types != "2TDCZ" || answer.Value != two.Addr || one.Runs("r") != runs {
		t.Fatalf("response %+v, want it from the second replica without another run at the first", answer)
	}
	// The primary changes: the statement of a write runs at the new one.
	client.Send(append(prepare("j", statementText("j1", "write", 1900)), runStatement("j")...))
	if answer := client.Until('Z'); answer.Value != primary.Addr {
		t.Fatalf("response %+v, want it from the first primary", answer)
	}
	primary.SetPrimary(false)
	two.SetPrimary(true)
	server.updateEndpoints(false, "draining", primary)
	client.Send(runStatement("j"))
	if answer := client.Until('Z'); answer.Value != two.Addr || primary.Runs("j1") != 1 || two.Runs("j1") != 1 {
		t.Fatalf("response %+v, want it from the new primary, and one run at each", answer)
	}
}

// A request that is invalid, or has the id of another open request, gets an error and reaches no endpoint.
func TestInvalidRequests(t *testing.T) {
	received, proceed := make(chan bool, 9), make(chan bool)
	db := testserver.NewDB(t, true, func(messageType byte, _ string) testserver.Act {
		if messageType == 'E' {
			received <- true
			<-proceed
		}
		return testserver.Act{}
	})
	server := start(t, db)
	first := testserver.Dial(t, server.addr)
	client := testserver.Dial(t, server.addr)
	first.Send(parseAndRun("open", "read", 2500))
	<-received
	for _, messages := range [][]byte{
		parseAndRun("open", "read", 2500), parseAndRun("other", "none", 2500), parseAndRun("other", "read", 0),
		pgwire.AppendQuery(nil, statementText("other", "none", 2500)),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Code != pgwire.SyntaxError || answer.Value != "" {
			t.Errorf("response %+v to an invalid request, want error 42601 without a value", answer)
		}
	}
	close(proceed)
	if answer := first.Until('Z'); answer.Value != db.Addr || db.Runs("other") != 0 || db.Runs("open") != 1 {
		t.Fatalf("response %+v to the open request, want a value, one run and no run of the invalid requests", answer)
	}
}

// A unit of work that does not continue ends its connection, whatever was sent of it, and no write of it has run.
func TestStalledUnitOfWork(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	lim := defaultLimits()
	lim.Frontend.UnitIdleTimeout = 100 * time.Millisecond
	lim.Frontend.PartialMessageTimeout = 100 * time.Millisecond
	server := startWith(t, lim, db)
	write := parseAndRun("j", "write", 2500)
	for name, messages := range map[string][]byte{
		"no Sync":          write[:len(write)-5],
		"incomplete Sync":  write[:len(write)-2],
		"incomplete Parse": write[:20],
		"Parse only":       prepare("", statementText("j", "write", 2500)),
	} {
		client := testserver.Dial(t, server.addr)
		client.Send(messages)
		if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: response %+v, want error 08P01 and the end of the connection", name, answer)
		}
	}
	if db.Runs("j") != 0 {
		t.Error("a write of an incomplete unit of work has run, want no run")
	}
}

// A malformed response counts as a lost one: a read is retried, and a write fails and runs once.
func TestMalformedResponses(t *testing.T) {
	calls := 0
	db := testserver.NewDB(t, true, func(messageType byte, id string) (act testserver.Act) {
		calls++
		corruptsRead := id == "r" && calls < 8
		if messageType == 'S' && (id == "j" || corruptsRead) {
			act.Corrupt = func(messages []byte) []byte {
				i := strings.IndexByte(string(messages), 'D')
				messages[i+4] ^= 1 // so that the length of the row is wrong
				return messages
			}
		}
		return act
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	client.Send(parseAndRun("r", "read", 2500))
	if answer := client.Until('Z'); answer.Types != "12TDCZ" || answer.Value != db.Addr {
		t.Errorf("response %+v to a read, want types 12TDCZ and the value of the endpoint", answer)
	}
	client.Send(parseAndRun("j", "write", 2500))
	if answer := client.Until('Z'); answer.Code != pgwire.UnknownOutcome || db.Runs("j") != 1 {
		t.Errorf("response %+v to a write, %d runs, want error 08007 and one run", answer, db.Runs("j"))
	}
}

// A drained router answers an empty query with an error, serves the request of a new connection, closes the connection
// after the response, and serves normally once the drain has ended. A suspended endpoint gets no request.
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
		t.Fatalf("response %+v to an empty query while drained, want error 57P03", answer)
	}
	if answer := old.Until('Z'); !answer.Ended {
		t.Fatalf("response %+v after the readiness check, want the end of the connection", answer)
	}
	late := testserver.Dial(t, server.addr)
	quiet := testserver.Dial(t, server.addr)
	late.Send(parseAndRun("late", "read", 2000))
	if answer := late.Until('Z'); answer.Value == "" || answer.Value == suspended.Addr {
		t.Fatalf("response %+v on a new connection while drained, want one from the endpoint that is not suspended", answer)
	}
	for _, client := range []*testserver.Client{late, quiet} {
		if answer := client.Until('Z'); !answer.Ended {
			t.Fatalf("response %+v while drained, want the end of the connection", answer)
		}
	}
	runInLoop(func() {
		server.frontend.SetDrained(false)
		server.router.Suspend(suspended.Addr, false)
	})
	client := testserver.Dial(t, server.addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != "" {
		t.Fatalf("response %+v to an empty query after the drain, want no error", answer)
	}
	for i := range 50 {
		client.Send(parseAndRun(fmt.Sprint("again-", i), "read", 2000))
		if answer := client.Until('Z'); answer.Value == suspended.Addr {
			return
		}
	}
	t.Fatal("the resumed endpoint served none of 50 reads")
}

// A long value is streamed for each kind of request, and the connection stays in sync.
func TestLongValue(t *testing.T) {
	value := strings.Repeat("v", 2<<20)
	db := testserver.NewDB(t, true, func(messageType byte, id string) (act testserver.Act) {
		if (messageType == 'S' || messageType == 'Q') && id != "" {
			act.Corrupt = func(messages []byte) []byte {
				rowEnd := strings.IndexByte(string(messages), 'C') // CommandComplete follows the row
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
		parseAndRun("r1", "read", 2500),
		pgwire.AppendQuery(nil, statementText("r2", "read", 2500)),
		parseAndRun("r3", "write", 2500),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Value != value || !strings.HasSuffix(answer.Types, "TDCZ") {
			t.Fatalf("request %d: response has types %s and a value of %d bytes, want all bytes of the value",
				i, answer.Types, len(answer.Value))
		}
	}
}
