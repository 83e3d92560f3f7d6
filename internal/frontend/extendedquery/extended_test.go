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

type nobody struct{}

func (nobody) Poll() {}

// world is the whole path from a client to db machines.
type world struct {
	addr string
	loop *eventloop.Loop
	core *router.Router
	pool *backend.Pool

	front *frontend.Front
}

func start(t *testing.T, dbs ...*testserver.DB) *world {
	t.Helper()
	return startWith(t, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second), dbs...)
}

func startWith(t *testing.T, lim limits.Limits, dbs ...*testserver.DB) *world {
	t.Helper()
	l := eventloop.New()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	e, err := transport.New(l, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	core, err := router.New(l, lim, log, balance.Config{Instances: 1, Zone: "a", HealthChecks: true, Cancellation: true, MaxAttempts: 10,
		SlowStartFrom: 0.2, ClientSessionTokens: true, Classes: []balance.Class{
			{Name: "own", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencySession},
			{Name: "look", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyAny},
			{Name: "job", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent},
		}}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{loop: l, core: core, pool: backend.New(l, e, lim, log)}
	core.Connect(w.pool, nobody{})
	w.front = frontend.New(l, lim, log, core, New(core))
	w.front.Ready()
	ln, err := e.Listen("127.0.0.1:0", lim.Frontend.Connections, log, w.front.Accept)
	if err != nil {
		t.Fatal(err)
	}
	w.addr = ln.Addr().String()
	w.list(true, "ready", dbs...)
	go l.Run(core.Step)
	t.Cleanup(func() { ln.Close(); l.Stop(); e.Stop() })
	return w
}

// list tells the router of db machines, named by their addresses.
func (w *world) list(full bool, state string, dbs ...*testserver.DB) {
	l, b := config.List{Full: full}, balance.EndpointList{Kind: balance.ListDelta}
	for i, d := range dbs {
		e := config.Entry{ID: d.Addr, Addr: d.Addr, Zone: "a", Cell: 7, State: state}
		if full && i == 0 {
			e.Mode = "read-write"
		}
		entry, _ := e.Balance()
		l.Servers, b.Entries = append(l.Servers, e), append(b.Entries, entry)
	}
	done := make(chan bool)
	w.loop.Post(func() { w.pool.UpdateEndpoints(l); w.core.UpdateEndpoints(b); close(done) })
	if !full {
		<-done
	}
}

func sql(id, class string, ms int) string {
	verb := "SELECT data FROM facts WHERE code = $1"
	if class == "job" {
		verb = "INSERT INTO facts (code, data) VALUES ($1, '\\x00') RETURNING data"
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=7 */ %s", id, class, ms, verb)
}

func prepare(name, text string) []byte {
	return pgwire.AppendParse(nil, pgwire.ParseMessage{Name: name, Query: text})
}

var values = []byte("\x00\x00\x00\x01\x00\x00\x00\x01x\x00\x01\x00\x01")

// unit is Bind, Describe, Execute and Sync.
func unit(name string) []byte {
	p := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: name, Rest: values})
	p = pgwire.AppendTarget(p, 'D', 'P', "")
	return pgwire.Append(pgwire.AppendExecute(p, "", 0), 'S')
}

func both(id, class string, ms int) []byte {
	return append(prepare("", sql(id, class, ms)), unit("")...)
}

func TestUnit(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	w := start(t, db)
	c := testserver.Dial(t, w.addr)
	c.Send(both("r1", "look", 2000))
	if a := c.Until('Z'); a.Types != "12TDCZ" || a.Value != db.Addr || db.Runs("r1") != 1 {
		t.Fatalf("%+v", a)
	}
	// In parts: prepared and described first, executed later, twice, a Close behind an Execute.
	c.Send(pgwire.Append(pgwire.AppendTarget(prepare("s", sql("r2", "job", 2000)), 'D', 'S', "s"), 'S'))
	if a := c.Until('Z'); a.Types != "1tTZ" || db.Runs("r2") != 0 {
		t.Fatalf("%+v", a)
	}
	p := pgwire.AppendBind(nil, pgwire.BindMessage{Portal: "p", Statement: "s", Rest: values})
	c.Send(pgwire.AppendTarget(pgwire.AppendExecute(p, "p", 0), 'C', 'P', "p"))
	c.Send(pgwire.Append(nil, 'S'))
	if a := c.Until('Z'); a.Types != "2DC3Z" || db.Runs("r2") != 1 {
		t.Fatalf("%+v, %d runs", a, db.Runs("r2"))
	}
	c.Send(unit("s"))
	if a := c.Until('Z'); a.Types != "2TDCZ" || db.Runs("r2") != 2 {
		t.Fatalf("%+v", a)
	}
	// Reads may share a unit, and Flush asks for what there is.
	p = append(prepare("q", sql("r3", "look", 2000)), pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: values})...)
	p = pgwire.AppendExecute(p, "", 0)
	p = append(p, pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "q", Rest: values})...)
	c.Send(pgwire.Append(pgwire.AppendExecute(p, "", 0), 'H'))
	if a := c.Until('C'); a.Types != "12DC" {
		t.Fatalf("%+v", a)
	}
	if a := c.Until('C'); a.Types != "2DC" || db.Runs("r3") != 2 {
		t.Fatalf("%+v", a)
	}
	c.Send(pgwire.Append(nil, 'S'))
	c.Send(pgwire.AppendQuery(nil, sql("r4", "look", 2000)))
	if a := c.Until('Z'); a.Types != "Z" {
		t.Fatalf("%+v", a)
	}
	if a := c.Until('Z'); a.Types != "TDCZ" || db.Runs("r4") != 1 {
		t.Fatalf("%+v", a)
	}
	c.Send(pgwire.AppendQuery(nil, " ; "))
	if a := c.Until('Z'); a.Types != "IZ" {
		t.Fatalf("%+v", a)
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
				w := start(t, db)
				c := testserver.Dial(t, w.addr)
				c.Send(both(id, class, 1500))
				a := c.Until('Z')
				runs := db.Runs(id)
				switch {
				case class == "job" && (at == 0 || cut == 140): // never written, so it may go out again; or cut behind its end
					if a.Types != "12TDCZ" || runs != 1 {
						t.Errorf("%s: %+v, %d runs", id, a, runs)
					}
				case class == "job":
					if a.Code != pgwire.UnknownOutcome || strings.Count(a.Types, "E") != 1 || runs > 1 {
						t.Errorf("%s: %+v, %d runs", id, a, runs)
					}
				case a.Types != "12TDCZ": // a read is repeated
					t.Errorf("%s: %+v", id, a)
				}
				c.Send(pgwire.AppendQuery(nil, ""))
				if a := c.Until('Z'); a.Types != "IZ" {
					t.Errorf("%s: then %+v", id, a)
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
			w := start(t, one, two)
			c := testserver.Dial(t, w.addr)
			c.Send(both(id, "job", 2500))
			a := c.Until('Z')
			if a.Code != want || one.Runs(id)+two.Runs(id) > 1 || want == "" && a.Types != "12TDCZ" {
				t.Errorf("%s, fatal %v: %+v, %d and %d runs", code, fatal, a, one.Runs(id), two.Runs(id))
			}
		}
	}
}

func TestDeadline(t *testing.T) {
	silent := func(typ byte, id string) testserver.Act { return testserver.Act{Silent: typ == 'E'} }
	db := testserver.NewDB(t, true, silent)
	w := start(t, db)
	for class, want := range map[string]string{"job": pgwire.UnknownOutcome, "look": pgwire.TooManyConnections} {
		c := testserver.Dial(t, w.addr)
		at := time.Now()
		c.Send(both("d-"+class, class, 400))
		a := c.Until('Z')
		if took := time.Since(at); a.Code != want || took < 100*time.Millisecond {
			t.Errorf("%s: %+v after %v", class, a, took)
		}
		if class == "look" && a.Detail == "" {
			t.Error("the refusal does not say when to come back")
		}
	}
}

// A statement prepared while one replica served reaches another once that one drains.
func TestDrainedReplica(t *testing.T) {
	primary, one, two := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil), testserver.NewDB(t, false, nil)
	w := start(t, primary, one)
	c := testserver.Dial(t, w.addr)
	c.Send(append(prepare("s", sql("r", "look", 1900)), unit("s")...))
	if a := c.Until('Z'); a.Value != one.Addr {
		t.Fatalf("%+v", a)
	}
	w.list(false, "draining", one)
	w.list(false, "ready", two)
	runs := one.Runs("r")
	c.Send(unit("s"))
	if a := c.Until('Z'); a.Types != "2TDCZ" || a.Value != two.Addr || one.Runs("r") != runs {
		t.Fatalf("%+v", a)
	}
	// The primary hands over: a job's statement follows it.
	c.Send(append(prepare("j", sql("j1", "job", 1900)), unit("j")...))
	if a := c.Until('Z'); a.Value != primary.Addr {
		t.Fatalf("%+v", a)
	}
	primary.Lead(false)
	two.Lead(true)
	w.list(false, "draining", primary)
	c.Send(unit("j"))
	if a := c.Until('Z'); a.Value != two.Addr || primary.Runs("j1") != 1 || two.Runs("j1") != 1 {
		t.Fatalf("%+v", a)
	}
}

func TestTurnedAway(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	w := start(t, db)
	head := "/* id=x,c=look,d=900,cluster=7 */ "
	for _, text := range []string{"BEGIN", "COPY facts FROM STDIN", "SET x = 1", "SELECT 1; SELECT 2", "INSERT INTO facts VALUES (1)",
		"WITH a AS (DELETE FROM facts RETURNING 1) SELECT 1", "SELECT 1 INTO t", "SELECT 'a", "SELECT $a$ x", "/* x", "commit"} {
		c := testserver.Dial(t, w.addr)
		c.Send(append(prepare("", head+text), unit("")...))
		if a := c.Until('Z'); a.Types != "EZ" || a.Code != pgwire.NotSupported {
			t.Errorf("%s: %+v", text, a)
		}
		c.Send(pgwire.AppendQuery(nil, head+text))
		if a := c.Until('Z'); a.Types != "EZ" || a.Code != pgwire.NotSupported {
			t.Errorf("%s: %+v", text, a)
		}
	}
	c := testserver.Dial(t, w.addr)
	b := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: "j", Rest: values})
	job := pgwire.AppendExecute(append(prepare("j", sql("j", "job", 900)), b...), "", 0)
	for _, behind := range [][]byte{b, pgwire.Append(nil, 'H'), pgwire.AppendExecute(nil, "", 0), prepare("k", sql("k", "look", 900))} {
		c.Send(pgwire.Append(append(append([]byte(nil), job...), behind...), 'S'))
		if a := c.Until('Z'); a.Code != pgwire.NotSupported || strings.Count(a.Types, "E") != 1 {
			t.Errorf("behind a job %q: %+v", behind[0], a)
		}
		c.Send(pgwire.Append(pgwire.AppendTarget(nil, 'C', 'S', "j"), 'S'))
		c.Until('Z')
	}
	for want, p := range map[string][]byte{"26000": unit("none"), "34000": pgwire.Append(pgwire.AppendExecute(nil, "none", 0), 'S'),
		"42601": pgwire.Append(prepare("", "SELECT 1"), 'S')} {
		c.Send(p)
		if a := c.Until('Z'); a.Code != want || a.Types != "EZ" {
			t.Errorf("%s: %+v", want, a)
		}
	}
	// What is prepared, and what waits for Sync, is bounded; the connection stays in step.
	var p []byte
	for i := range 1100 {
		p = append(p, prepare(fmt.Sprint("s", i), sql("x", "look", 900))...)
	}
	c.Send(pgwire.Append(p, 'S'))
	if a := c.Until('Z'); a.Code != pgwire.TooLarge || strings.Count(a.Types, "E") != 1 {
		t.Errorf("%s", a.Code)
	}
	p = append(prepare("", sql("x2", "look", 2500)), pgwire.AppendBind(nil, pgwire.BindMessage{Rest: values})...)
	p = pgwire.AppendExecute(p, "", 0)
	c = testserver.Dial(t, w.addr)
	for range 2 * ahead / 5 {
		p = pgwire.AppendTarget(p, 'C', 'S', "none")
	}
	c.Send(pgwire.Append(p, 'S'))
	if a := c.Until('Z'); strings.Count(a.Types, "3") != 2*ahead/5 || !strings.HasPrefix(a.Types, "12DC3") {
		t.Errorf("%.20s of %d", a.Types, len(a.Types))
	}
	// A client that leaves before Sync has run nothing, nor has one that says good-bye; one that breaks the protocol is told, and closed.
	c.Send(job)
	c.Close()
	c = testserver.Dial(t, w.addr)
	c.Send(pgwire.Append(append([]byte(nil), job...), 'X'))
	if a := c.Until('Z'); !a.Ended {
		t.Errorf("%+v", a)
	}
	c = testserver.Dial(t, w.addr)
	c.Send([]byte{'B', 0, 0, 0, 5, 9})
	if a := c.Until('Z'); !a.Ended || a.Code != pgwire.ProtocolViolation {
		t.Errorf("%+v", a)
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
	w := start(t, db)
	first, c := testserver.Dial(t, w.addr), testserver.Dial(t, w.addr)
	first.Send(both("open", "look", 2500))
	<-asked
	for _, p := range [][]byte{both("open", "look", 2500), both("other", "none", 2500), both("other", "look", 0),
		pgwire.AppendQuery(nil, sql("other", "none", 2500))} {
		c.Send(p)
		if a := c.Until('Z'); a.Code != pgwire.BadStatement || a.Value != "" {
			t.Errorf("%+v", a)
		}
	}
	close(goOn)
	if a := first.Until('Z'); a.Value != db.Addr || db.Runs("other") != 0 || db.Runs("open") != 1 {
		t.Fatalf("%+v", a)
	}
}

// A unit of work that does not go on ends its connection, however it was begun; what waits in it has run nothing.
func TestUnitThatStops(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnitTimeout, lim.Frontend.PartialMessageTimeout = 100*time.Millisecond, 100*time.Millisecond
	w := startWith(t, lim, db)
	job := both("j", "job", 2500)
	for name, p := range map[string][]byte{"no sync": job[:len(job)-5], "half a message": job[:len(job)-2], "half a parse": job[:20],
		"only parse": prepare("", sql("j", "job", 2500))} {
		c := testserver.Dial(t, w.addr)
		c.Send(p)
		if a := c.Until('Z'); !a.Ended || a.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, a)
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
			a.Spoil = func(p []byte) []byte {
				i := strings.IndexByte(string(p), 'D')
				p[i+4] ^= 1 // the row's length does not fit
				return p
			}
		}
		return a
	})
	w := start(t, db)
	c := testserver.Dial(t, w.addr)
	c.Send(both("r", "look", 2500))
	if a := c.Until('Z'); a.Types != "12TDCZ" || a.Value != db.Addr {
		t.Errorf("%+v", a)
	}
	c.Send(both("j", "job", 2500))
	if a := c.Until('Z'); a.Code != pgwire.UnknownOutcome || db.Runs("j") != 1 {
		t.Errorf("%+v, %d runs", a, db.Runs("j"))
	}
}

// A drained router says no to an empty query here too, serves what a newcomer brings, closes behind the answer, and
// serves as before once it is activated. A suspended db machine gets nothing.
func TestDrainedAndSuspended(t *testing.T) {
	a, b := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil)
	w := start(t, a, b)
	do := func(f func()) {
		done := make(chan bool)
		w.loop.Post(func() { f(); close(done) })
		<-done
	}
	old := testserver.Dial(t, w.addr)
	do(func() { w.front.Empty(true); w.core.Suspend(b.Addr, true) })
	old.Send(pgwire.AppendQuery(nil, ""))
	if x := old.Until('Z'); x.Code != pgwire.CannotConnectNow {
		t.Fatalf("%+v", x)
	}
	if x := old.Until('Z'); !x.Ended {
		t.Fatalf("%+v", x)
	}
	late, quiet := testserver.Dial(t, w.addr), testserver.Dial(t, w.addr)
	late.Send(both("late", "look", 2000))
	if x := late.Until('Z'); x.Value == "" || x.Value == b.Addr {
		t.Fatalf("%+v", x)
	}
	for _, c := range []*testserver.Client{late, quiet} {
		if x := c.Until('Z'); !x.Ended {
			t.Fatalf("%+v", x)
		}
	}
	do(func() { w.front.Empty(false); w.core.Suspend(b.Addr, false) })
	c := testserver.Dial(t, w.addr)
	c.Send(pgwire.AppendQuery(nil, ""))
	if x := c.Until('Z'); x.Code != "" {
		t.Fatalf("%+v", x)
	}
	for i := range 50 {
		c.Send(both(fmt.Sprint("again-", i), "look", 2000))
		if x := c.Until('Z'); x.Value == b.Addr {
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
			a.Spoil = func(p []byte) []byte {
				i := strings.IndexByte(string(p), 'C') // CommandComplete stands behind the row
				j := strings.LastIndex(string(p[:i]), "D\x00\x00\x00")
				out := append([]byte(nil), p[:j]...)
				out = pgwire.Append(out, 'D', []byte{0, 1, 0, 32, 0, 0}, []byte(value))
				return append(out, p[i:]...)
			}
		}
		return a
	})
	w := start(t, db)
	c := testserver.Dial(t, w.addr)
	for i, p := range [][]byte{both("r1", "look", 2500), pgwire.AppendQuery(nil, sql("r2", "look", 2500)), both("r3", "job", 2500)} {
		c.Send(p)
		if a := c.Until('Z'); a.Value != value || !strings.HasSuffix(a.Types, "TDCZ") {
			t.Fatalf("%d: %s, %d bytes", i, a.Types, len(a.Value))
		}
	}
}
