package extendedquery

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/frontend"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

type noDiscovery struct{}

func (noDiscovery) Poll() {}

// world is the whole path from a client to db machines.
type testRouter struct {
	addr      string
	eventLoop *eventloop.Loop
	router    *router.Router
	pool      *backend.Pool

	frontend *frontend.Front
}

func start(t *testing.T, endpoints ...*testserver.DB) *testRouter {
	t.Helper()
	return startWith(t, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second), endpoints...)
}

func startWith(t *testing.T, lim limits.Limits, endpoints ...*testserver.DB) *testRouter {
	t.Helper()
	loop := eventloop.New()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	e, err := transport.New(loop, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	core, err := router.New(loop, lim, log, balance.Config{
		Instances: 1, Zone: "a", HealthChecks: true, Cancellation: true, MaxAttempts: 10,
		SlowStartFrom: 0.2, ClientSessionTokens: true, Classes: []balance.Class{
			{Name: "own", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencySession},
			{Name: "look", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyAny},
			{Name: "job", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent},
		},
	}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	server := &testRouter{eventLoop: loop, router: core, pool: backend.New(loop, e, lim, log)}
	core.Connect(server.pool, noDiscovery{})
	server.frontend = frontend.New(loop, lim, log, core, New(core))
	server.frontend.Ready()
	ln, err := e.Listen("127.0.0.1:0", lim.Frontend.Connections, log, server.frontend.Accept)
	if err != nil {
		t.Fatal(err)
	}
	server.addr = ln.Addr().String()
	server.updateEndpoints(true, "ready", endpoints...)
	go loop.Run(core.Step)
	t.Cleanup(func() { ln.Close(); loop.Stop(); e.Stop() })
	return server
}

// list tells the router of db machines, named by their addresses.
func (server *testRouter) updateEndpoints(full bool, state string, endpoints ...*testserver.DB) {
	l, b := config.List{Full: full}, balance.EndpointList{Kind: balance.ListDelta}
	for i, d := range endpoints {
		e := config.Entry{ID: d.Addr, Addr: d.Addr, Zone: "a", Cell: 7, State: state}
		if full && i == 0 {
			e.Mode = "read-write"
		}
		entry, _ := e.Balance()
		l.Servers, b.Entries = append(l.Servers, e), append(b.Entries, entry)
	}
	done := make(chan bool)
	server.eventLoop.Post(func() { server.pool.UpdateEndpoints(l); server.router.UpdateEndpoints(b); close(done) })
	if !full {
		<-done
	}
}

func statementText(id, class string, ms int) string {
	verb := "SELECT data FROM facts WHERE code = $1"
	if class == "job" {
		verb = "INSERT INTO facts (code, data) VALUES ($1, '\\x00') RETURNING data"
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=7 */ %s", id, class, ms, verb)
}

func prepare(name, text string) []byte {
	return pgwire.AppendParse(nil, pgwire.ParseMessage{Name: name, Query: text})
}

var bindValues = []byte("\x00\x00\x00\x01\x00\x00\x00\x01x\x00\x01\x00\x01")

// unit is Bind, Describe, Execute and Sync.
func runStatement(name string) []byte {
	messages := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: name, Rest: bindValues})
	messages = pgwire.AppendTarget(messages, 'D', 'P', "")
	return pgwire.Append(pgwire.AppendExecute(messages, "", 0), 'S')
}

func parseAndRun(id, class string, ms int) []byte {
	return append(prepare("", statementText(id, class, ms)), runStatement("")...)
}

func TestUnit(t *testing.T) {
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
	messages = append(prepare("q", statementText("r3", "look", 2000)), pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: bindValues})...)
	messages = pgwire.AppendExecute(messages, "", 0)
	messages = append(messages, pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: bindValues})...)
	client.Send(pgwire.Append(pgwire.AppendExecute(messages, "", 0), 'H'))
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

// A job runs at most once, whatever breaks and wherever, and its client hears of its end exactly once.
func TestBreaksAtEachBoundary(t *testing.T) {
	for _, class := range []string{"job", "look"} {
		for _, at := range []byte{0, 'P', 'B', 'D', 'E', 'S'} {
			for _, cut := range []int{0, 1, 5, 10, 15, 46, 60, 90, 140} {
				if cut > 0 && at != 'S' {
					continue
				}
				id, broke := fmt.Sprintf("%s-%d-%d", class, at, cut), 0
				act := func(typ byte, is string) testserver.Act {
					if broke > 0 || typ != at || typ != 0 && is != id {
						return testserver.Act{}
					}
					broke++
					return testserver.Act{Break: cut == 0, Cut: cut}
				}
				db := testserver.NewDB(t, true, act)
				server := start(t, db)
				client := testserver.Dial(t, server.addr)
				client.Send(parseAndRun(id, class, 1500))
				answer := client.Until('Z')
				runs := db.Runs(id)
				switch {
				case class == "job" && (at == 0 || cut == 140): // never written, so it may go out again; or cut behind its end
					if answer.Types != "12TDCZ" || runs != 1 {
						t.Errorf("%s: %+v, %d runs", id, answer, runs)
					}
				case class == "job":
					if answer.Code != pgwire.UnknownOutcome || strings.Count(answer.Types, "E") != 1 || runs > 1 {
						t.Errorf("%s: %+v, %d runs", id, answer, runs)
					}
				case answer.Types != "12TDCZ": // a read is repeated
					t.Errorf("%s: %+v", id, answer)
				}
				client.Send(pgwire.AppendQuery(nil, ""))
				if answer := client.Until('Z'); answer.Types != "IZ" {
					t.Errorf("%s: then %+v", id, answer)
				}
			}
		}
	}
}

func TestEachErrorOfADbMachine(t *testing.T) {
	for code, want := range map[string]string{"53300": "", "25006": "", "72000": "", "XX000": "08007", "57P01": "08007", "23505": "23505"} {
		for _, fatal := range []bool{false, true} {
			id, told := "e"+code, 0
			act := func(typ byte, is string) testserver.Act {
				if told > 0 || typ != 'E' || is != id {
					return testserver.Act{}
				}
				told++
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

func TestDeadline(t *testing.T) {
	silent := func(typ byte, id string) testserver.Act { return testserver.Act{Silent: typ == 'E'} }
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
			t.Error("the refusal does not say when to come back")
		}
	}
}

// A statement prepared while one replica served reaches another once that one drains.
func TestDrainedReplica(t *testing.T) {
	primary, one, two := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil), testserver.NewDB(t, false, nil)
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
	// The primary hands over: a job's statement follows it.
	client.Send(append(prepare("j", statementText("j1", "job", 1900)), runStatement("j")...))
	if answer := client.Until('Z'); answer.Value != primary.Addr {
		t.Fatalf("%+v", answer)
	}
	primary.Lead(false)
	two.Lead(true)
	server.updateEndpoints(false, "draining", primary)
	client.Send(runStatement("j"))
	if answer := client.Until('Z'); answer.Value != two.Addr || primary.Runs("j1") != 1 || two.Runs("j1") != 1 {
		t.Fatalf("%+v", answer)
	}
}

func TestTurnedAway(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	head := "/* id=x,c=look,d=900,cluster=7 */ "
	for _, text := range []string{
		"BEGIN", "COPY facts FROM STDIN", "SET x = 1", "SELECT 1; SELECT 2", "INSERT INTO facts VALUES (1)",
		"WITH a AS (DELETE FROM facts RETURNING 1) SELECT 1", "SELECT 1 INTO t", "SELECT 'a", "SELECT $a$ x", "/* x", "commit",
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
	client := testserver.Dial(t, server.addr)
	b := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: bindValues})
	job := pgwire.AppendExecute(append(prepare("j", statementText("j", "job", 900)), b...), "", 0)
	for _, behind := range [][]byte{b, pgwire.Append(nil, 'H'), pgwire.AppendExecute(nil, "", 0), prepare("k", statementText("k", "look", 900))} {
		client.Send(pgwire.Append(append(append([]byte(nil), job...), behind...), 'S'))
		if answer := client.Until('Z'); answer.Code != pgwire.NotSupported || strings.Count(answer.Types, "E") != 1 {
			t.Errorf("behind a job %q: %+v", behind[0], answer)
		}
		client.Send(pgwire.Append(pgwire.AppendTarget(nil, 'C', 'S', "j"), 'S'))
		client.Until('Z')
	}
	for want, messages := range map[string][]byte{
		"26000": runStatement("none"), "34000": pgwire.Append(pgwire.AppendExecute(nil, "none", 0), 'S'),
		"42601": pgwire.Append(prepare("", "SELECT 1"), 'S'),
	} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Code != want || answer.Types != "EZ" {
			t.Errorf("%s: %+v", want, answer)
		}
	}
	// What is prepared, and what waits for Sync, is bounded; the connection stays in step.
	var messages []byte
	for i := range 1100 {
		messages = append(messages, prepare(fmt.Sprint("s", i), statementText("x", "look", 900))...)
	}
	client.Send(pgwire.Append(messages, 'S'))
	if answer := client.Until('Z'); answer.Code != pgwire.TooLarge || strings.Count(answer.Types, "E") != 1 {
		t.Errorf("%s", answer.Code)
	}
	messages = append(prepare("", statementText("x2", "look", 2500)), pgwire.AppendBind(nil, pgwire.BindMessage{Rest: bindValues})...)
	messages = pgwire.AppendExecute(messages, "", 0)
	client = testserver.Dial(t, server.addr)
	for range 2 * maxBufferedBytes / 5 {
		messages = pgwire.AppendTarget(messages, 'C', 'S', "none")
	}
	client.Send(pgwire.Append(messages, 'S'))
	if answer := client.Until('Z'); strings.Count(answer.Types, "3") != 2*maxBufferedBytes/5 || !strings.HasPrefix(answer.Types, "12DC3") {
		t.Errorf("%.20s of %d", answer.Types, len(answer.Types))
	}
	// A client that leaves before Sync has run nothing, nor has one that says good-bye; one that breaks the protocol is told, and closed.
	client.Send(job)
	client.Close()
	client = testserver.Dial(t, server.addr)
	client.Send(pgwire.Append(append([]byte(nil), job...), 'X'))
	if answer := client.Until('Z'); !answer.Ended {
		t.Errorf("%+v", answer)
	}
	client = testserver.Dial(t, server.addr)
	client.Send([]byte{'B', 0, 0, 0, 5, 9})
	if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
		t.Errorf("%+v", answer)
	}
	if db.Runs("j") != 0 || db.Runs("x") != 0 {
		t.Errorf("%d and %d runs", db.Runs("j"), db.Runs("x"))
	}
}

// What is unfit, or asks under the id of another's open request, gets an error and reaches no db machine.
func TestUnfit(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	db := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
		if typ == 'E' {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	server := start(t, db)
	first, client := testserver.Dial(t, server.addr), testserver.Dial(t, server.addr)
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

// A unit of work that does not go on ends its connection, however it was begun; what waits in it has run nothing.
func TestUnitThatStops(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnitTimeout, lim.Frontend.PartialMessageTimeout = 100*time.Millisecond, 100*time.Millisecond
	server := startWith(t, lim, db)
	job := parseAndRun("j", "job", 2500)
	for name, messages := range map[string][]byte{
		"no sync": job[:len(job)-5], "half a message": job[:len(job)-2], "half a parse": job[:20],
		"only parse": prepare("", statementText("j", "job", 2500)),
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

// A spoilt answer is no answer here either: a read goes to another, a job has failed, once.
func TestSpoilt(t *testing.T) {
	spoilt := 0
	db := testserver.NewDB(t, true, func(typ byte, id string) (a testserver.Act) {
		if spoilt++; typ == 'S' && id == "j" || typ == 'S' && id == "r" && spoilt < 8 {
			a.Spoil = func(messages []byte) []byte {
				i := strings.IndexByte(string(messages), 'D')
				messages[i+4] ^= 1 // the row's length does not fit
				return messages
			}
		}
		return a
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

// A drained router says no to an empty query here too, serves what a newcomer brings, closes behind the answer, and
// serves as before once it is activated. A suspended db machine gets nothing.
func TestDrainedAndSuspended(t *testing.T) {
	a, b := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil)
	server := start(t, a, b)
	do := func(f func()) {
		done := make(chan bool)
		server.eventLoop.Post(func() { f(); close(done) })
		<-done
	}
	old := testserver.Dial(t, server.addr)
	do(func() { server.frontend.Empty(true); server.router.Suspend(b.Addr, true) })
	old.Send(pgwire.AppendQuery(nil, ""))
	if answer := old.Until('Z'); answer.Code != pgwire.CannotConnectNow {
		t.Fatalf("%+v", answer)
	}
	if answer := old.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	late, quiet := testserver.Dial(t, server.addr), testserver.Dial(t, server.addr)
	late.Send(parseAndRun("late", "look", 2000))
	if answer := late.Until('Z'); answer.Value == "" || answer.Value == b.Addr {
		t.Fatalf("%+v", answer)
	}
	for _, client := range []*testserver.Client{late, quiet} {
		if answer := client.Until('Z'); !answer.Ended {
			t.Fatalf("%+v", answer)
		}
	}
	do(func() { server.frontend.Empty(false); server.router.Suspend(b.Addr, false) })
	client := testserver.Dial(t, server.addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != "" {
		t.Fatalf("%+v", answer)
	}
	for i := range 50 {
		client.Send(parseAndRun(fmt.Sprint("again-", i), "look", 2000))
		if answer := client.Until('Z'); answer.Value == b.Addr {
			return
		}
	}
	t.Fatal("never used again")
}

// A long value passes here too, in each way to ask for it, and what stands around it stays in step.
func TestLongValue(t *testing.T) {
	value := strings.Repeat("v", 2<<20)
	db := testserver.NewDB(t, true, func(typ byte, id string) (a testserver.Act) {
		if (typ == 'S' || typ == 'Q') && id != "" {
			a.Spoil = func(messages []byte) []byte {
				i := strings.IndexByte(string(messages), 'C') // CommandComplete stands behind the row
				j := strings.LastIndex(string(messages[:i]), "D\x00\x00\x00")
				out := append([]byte(nil), messages[:j]...)
				out = pgwire.Append(out, 'D', []byte{0, 1, 0, 32, 0, 0}, []byte(value))
				return append(out, messages[i:]...)
			}
		}
		return a
	})
	server := start(t, db)
	client := testserver.Dial(t, server.addr)
	for i, messages := range [][]byte{parseAndRun("r1", "look", 2500), pgwire.AppendQuery(nil, statementText("r2", "look", 2500)), parseAndRun("r3", "job", 2500)} {
		client.Send(messages)
		if answer := client.Until('Z'); answer.Value != value || !strings.HasSuffix(answer.Types, "TDCZ") {
			t.Fatalf("%d: %s, %d bytes", i, answer.Types, len(answer.Value))
		}
	}
}
