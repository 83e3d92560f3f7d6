package router

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
)

// peer plays servers, watcher and events, and keeps the calls that are out.
type peer struct {
	t       *testing.T
	calls   []*call
	written bool // whether what is cancelled had been written
	events  []audit.Event
}

type call struct {
	p    *peer
	a    Attempt
	done func(Result)
	over bool

	status balance.Status
}

func (p *peer) Start(a Attempt, done func(Result)) AttemptHandle {
	c := &call{p: p, a: a, done: done}
	for _, o := range p.calls {
		if !o.over && o.a.Job == a.Job {
			p.t.Error("two attempts at once")
		}
	}
	p.calls = append(p.calls, c)
	return c
}
func (p *peer) HealthCheck(node string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (p *peer) Poll()                {}
func (p *peer) Suspend(string, bool) {}
func (p *peer) Record(e audit.Event) { p.events = append(p.events, e) }
func (c *call) Cancel() bool         { c.over = true; return c.p.written }
func (c *call) NotWritten() bool     { return !c.over && !c.p.written }
func (c *call) end(s balance.Status) { c.over, c.status = true, s; c.done(Result{Status: s}) }

// owed counts the answers to one request.
type owed struct {
	served, refused, failed int
	begun, parts, cut       int
	gone                    bool
	after                   time.Duration
	at                      time.Duration
	l                       *eventloop.Loop
}

func (o *owed) Disconnected(bool) bool         { return o.gone }
func (o *owed) ResponseStarted(Response, Flow) { o.begun++ }
func (o *owed) ResponsePart(p []byte)          { o.parts += len(p) }
func (o *owed) ResponseTruncated()             { o.cut++ }
func (o *owed) Served(Response)                { o.served++; o.at = o.l.Now() }
func (o *owed) Rejected(after time.Duration)   { o.refused++; o.after = after; o.at = o.l.Now() }
func (o *owed) Failed(string)                  { o.failed++; o.at = o.l.Now() }
func (o *owed) total() int                     { return o.served + o.refused + o.failed }

func start(t *testing.T) (*Router, *peer, *eventloop.Loop) {
	l := eventloop.New()
	r, p := startOn(t, l, true)
	return r, p, l
}

// startOn is start on a loop that the test made; the primary may be missing.
func startOn(t *testing.T, l *eventloop.Loop, primary bool) (*Router, *peer) {
	p := &peer{t: t, written: true}
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	r, err := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), balance.Config{Instances: 1, Zone: "a", Cancellation: true,
		MaxAttempts: 4, Classes: []balance.Class{
			{Name: "look", LatencyObjective: 100 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyAny},
			{Name: "job", LatencyObjective: 100 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent}}}, 1, p)
	if err != nil {
		t.Fatal(err)
	}
	r.Connect(p, p)
	r.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: primary}, {Endpoint: "n2", Zone: "a", State: balance.EndpointReady}}})
	return r, p
}

// play runs the loop for a while; do is called in it first.
func play(r *Router, l *eventloop.Loop, d time.Duration, do func()) {
	l.Post(do)
	l.Post(func() { l.AfterFunc(d, l.Stop) })
	l.Run(r.Step)
}

func TestTheFinalAnswerComesBeforeTheClientGivesUp(t *testing.T) {
	for class, written := range map[string]bool{"job": true, "look": true} {
		r, p, l := start(t)
		p.written = written
		o := &owed{l: l}
		var at time.Duration
		play(r, l, 200*time.Millisecond, func() {
			at = l.Now()
			r.Accept(Request{Class: class, Deadline: 120 * time.Millisecond, ReceivedAt: at, Job: 1}, o)
		})
		if len(p.calls) == 0 || !p.calls[0].over {
			t.Fatalf("%s: its attempt is still out", class)
		}
		if o.total() != 1 || class == "job" && o.failed != 1 || class == "look" && o.refused != 1 {
			t.Fatalf("%s: %+v", class, o)
		}
		if o.at-at >= 120*time.Millisecond {
			t.Logf("%s: answered after %v", class, o.at-at) // a busy machine may be late; the order is what is tested
		}
		if o.refused == 1 && o.after <= 0 {
			t.Fatal("a refusal that does not say when to come back")
		}
		if r.InFlight() != 0 {
			t.Fatalf("%d in hand", r.InFlight())
		}
	}
}

// Once an answer is passed on neither the end of the client's time nor the module ends it; if it breaks off the client is
// told by Cut, once, and nothing is sent again.
func TestLongAnswer(t *testing.T) {
	for _, end := range []balance.Status{balance.StatusDone, balance.StatusReset, balance.StatusError} {
		r, p, l := start(t)
		o := &owed{l: l}
		play(r, l, 400*time.Millisecond, func() {
			r.Accept(Request{Class: "look", Deadline: 120 * time.Millisecond, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				p.calls[0].a.OnResponseStarted(nil, nil)
				p.calls[0].a.OnResponsePart(make([]byte, 7))
				r.act(balance.Cancel{ID: "1", Attempt: 0})
			})
			l.AfterFunc(300*time.Millisecond, func() {
				p.calls[0].a.OnResponsePart(make([]byte, 7))
				p.calls[0].end(end)
			})
		})
		if done := end == balance.StatusDone; o.begun != 1 || o.parts != 14 || o.total()+o.cut != 1 || done != (o.served == 1) || len(p.calls) != 1 || r.InFlight() != 0 {
			t.Errorf("%v: %+v, %d attempts, %d in hand", end, o, len(p.calls), r.InFlight())
		}
		var recorded []*audit.Answer
		for _, e := range p.events {
			if a, ok := e.(*audit.Answer); ok {
				recorded = append(recorded, a)
			}
		}
		if want := map[bool]audit.Outcome{true: audit.Served, false: audit.Cut}[end == balance.StatusDone]; len(recorded) != 1 || recorded[0].Outcome != want ||
			len(recorded[0].Attempts) != 1 || recorded[0].Attempts[0].End != end {
			t.Errorf("%v: recorded as %+v", end, recorded)
		}
	}
}

// The module hears when an answer began to come, not when a slow peer had given the whole of it.
func TestTookEndsWithTheFirstByte(t *testing.T) {
	r, p, l := start(t)
	var took time.Duration
	play(r, l, 200*time.Millisecond, func() {
		at := l.Now()
		r.Accept(Request{Class: "look", Deadline: time.Second, ReceivedAt: at, Job: 1}, &owed{l: l})
		l.AfterFunc(150*time.Millisecond, func() {
			p.calls[0].done(Result{Status: balance.StatusDone, ResponseStartedAt: at + 10*time.Millisecond})
			took = r.pending[len(r.pending)-1].(balance.AttemptResult).Elapsed
		})
	})
	if took > 10*time.Millisecond {
		t.Fatal(took)
	}
}

func TestWhatWasNeverWrittenIsRefused(t *testing.T) {
	r, p, l := start(t)
	p.written = false
	o := &owed{l: l}
	play(r, l, 200*time.Millisecond, func() {
		r.Accept(Request{Class: "job", Deadline: 120 * time.Millisecond, ReceivedAt: l.Now(), Job: 1}, o)
	})
	if o.refused != 1 || o.total() != 1 {
		t.Fatalf("%+v", o)
	}
}

func TestTurnedAwayAtTheDoor(t *testing.T) {
	r, _, l := start(t)
	r.lim.Router.InFlightRequests = 1
	a, b, c := &owed{l: l}, &owed{l: l}, &owed{l: l}
	play(r, l, 50*time.Millisecond, func() {
		for want, q := range map[error]Request{ErrUnknownClass: {Class: "none", Deadline: time.Second}, ErrNoTimeLeft: {Class: "look"}} {
			if _, err := r.Accept(q, a); err != want {
				t.Errorf("%v, not %v", err, want)
			}
		}
		r.Accept(Request{Label: "b", Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 2}, b)
		// It would be given what another client has asked for.
		if _, err := r.Accept(Request{Label: "b", Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 4}, a); err != ErrDuplicateRequest {
			t.Error(err)
		}
		r.Accept(Request{Class: "look", Deadline: time.Second, ReceivedAt: l.Now(), Job: 3}, c)
	})
	if a.total() != 0 || b.total() != 0 || c.refused != 1 || c.after <= 0 {
		t.Fatalf("%+v %+v %+v", a, b, c)
	}
}

// Whatever the db machines do and whenever clients leave, each request ends once, no job goes out again after it
// may have run, and nothing stays behind.
func TestRandomOutcomes(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	r, p, l := start(t)
	var all []*owed
	left := map[int]bool{}
	var ids []string
	tick := func() {}
	n := 0
	tick = func() {
		if n++; n > 300 {
			return
		}
		o := &owed{l: l}
		class := []string{"look", "job"}[rng.IntN(2)]
		id, _ := r.Accept(Request{Class: class, Label: fmt.Sprint(class, n), Deadline: time.Duration(20+rng.IntN(80)) * time.Millisecond,
			ReceivedAt: l.Now(), Job: fmt.Sprintf("%s%d", class, n)}, o)
		ids = append(ids, id)
		all = append(all, o)
		if i := rng.IntN(len(all)); rng.IntN(6) == 0 && all[i].total() == 0 {
			left[i] = true
			r.Disconnect(ids[i])
		}
		for _, c := range p.calls {
			if !c.over && rng.IntN(3) == 0 {
				c.end([]balance.Status{balance.StatusDone, balance.StatusDone, balance.StatusError, balance.StatusBusy, balance.StatusConnectFailed,
					balance.StatusReset, balance.StatusNotSent, balance.StatusMiss}[rng.IntN(8)])
			}
		}
		l.AfterFunc(time.Millisecond, tick)
	}
	play(r, l, 800*time.Millisecond, tick)
	may := map[any]bool{}
	for _, c := range p.calls {
		if may[c.a.Job] {
			t.Fatalf("%v: sent again", c.a.Job)
		}
		// A call that ended without a status was cancelled at its deadline: it may have run.
		safe := c.status == balance.StatusBusy || c.status == balance.StatusConnectFailed || c.status == balance.StatusNotSent || c.status == balance.StatusMiss
		may[c.a.Job] = strings.HasPrefix(c.a.Job.(string), "job") && !safe
	}
	recorded, outcomes := map[string]*audit.Answer{}, map[audit.Outcome]int{}
	for _, e := range p.events {
		if a, ok := e.(*audit.Answer); ok {
			if recorded[a.Request] != nil {
				t.Fatalf("%s is recorded twice", a.Request)
			}
			recorded[a.Request] = a
			outcomes[a.Outcome]++
		}
	}
	if c := r.Counts(); len(recorded) != len(all) || uint64(outcomes[audit.Served]) != c.Served || uint64(outcomes[audit.Refused]) != c.Rejected ||
		uint64(outcomes[audit.Failed]) != c.Failed || uint64(outcomes[audit.Left]) != c.Disconnected {
		t.Fatalf("%d records of %d requests: %v, counted %+v", len(recorded), len(all), outcomes, c)
	}
	for id, a := range recorded {
		if len(a.Attempts) == 0 && (a.Outcome == audit.Served || a.MayRun) || a.Writes != strings.HasPrefix(id, "job") ||
			a.Outcome == audit.Refused && (a.Retry <= 0 || a.MayRun) || a.Outcome == audit.Failed && !a.MayRun && a.Writes || a.Total < a.Queued {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	for i, o := range all {
		want := 1
		if left[i] {
			want = 0
		}
		if o.total() != want {
			t.Fatalf("request %d, left %v: %+v", i, left[i], o)
		}
	}
	if r.InFlight() != 0 || len(r.open) != 0 {
		t.Fatalf("%d in hand, %d open", r.InFlight(), len(r.open))
	}
}

// A client that leaves gives up the attempt of its read, and hears nothing; what may change data runs to its end.
func TestLeavingGivesAReadUp(t *testing.T) {
	for class, given := range map[string]bool{"look": true, "job": false} {
		r, p, l := start(t)
		o := &owed{l: l}
		play(r, l, 100*time.Millisecond, func() {
			id, _ := r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() { r.Disconnect(id) })
		})
		if len(p.calls) != 1 || p.calls[0].over != given || o.total() != 0 || (r.InFlight() == 0) != given {
			t.Errorf("%s: %d attempts, %+v, %d in hand", class, len(p.calls), o, r.InFlight())
		}
	}
}

// A client that has gone gets no attempt begun, first or further, though the close has yet to be told; nor does one go out that
// waits for a connection when its client leaves, whatever the class.
func TestNothingIsBegunForAClientThatHasGone(t *testing.T) {
	for _, class := range []string{"look", "job"} {
		r, p, l := start(t)
		o := &owed{l: l, gone: true}
		play(r, l, 100*time.Millisecond, func() { r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o) })
		if len(p.calls) != 0 || o.total() != 0 || r.InFlight() != 0 || r.Counts().Disconnected != 1 {
			t.Errorf("%s: %d attempts, %+v, %d in hand", class, len(p.calls), o, r.InFlight())
		}

		// It goes between two attempts.
		r, p, l = start(t)
		o = &owed{l: l}
		play(r, l, 200*time.Millisecond, func() {
			r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				o.gone = true
				p.calls[0].end(balance.StatusBusy)
			})
		})
		if len(p.calls) != 1 || o.total() != 0 || r.InFlight() != 0 {
			t.Errorf("%s, a further one: %d attempts, %+v, %d in hand", class, len(p.calls), o, r.InFlight())
		}

		// It leaves while its attempt waits for a connection; the attempt asks again right before it is written.
		r, p, l = start(t)
		p.written = false
		o = &owed{l: l}
		play(r, l, 100*time.Millisecond, func() {
			id, _ := r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, o)
			l.AfterFunc(20*time.Millisecond, func() {
				o.gone = true
				if !p.calls[0].a.Abandoned() {
					t.Errorf("%s: its attempt is still wanted", class)
				}
				r.Disconnect(id)
			})
		})
		if len(p.calls) != 1 || !p.calls[0].over || o.total() != 0 || r.InFlight() != 0 {
			t.Errorf("%s, waiting: %d attempts, %+v, %d in hand", class, len(p.calls), o, r.InFlight())
		}
	}
}

// What is taken late in a shutdown is answered before the platform ends the process, though its client would wait longer.
func TestWhatIsTakenLateIsAnsweredByTheEnd(t *testing.T) {
	for _, class := range []string{"look", "job"} {
		r, _, l := start(t)
		early, late, last := &owed{l: l}, &owed{l: l}, &owed{l: l}
		play(r, l, 400*time.Millisecond, func() {
			r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 1}, early)
			r.SetShutdownDeadline(l.Now() + 100*time.Millisecond)
			r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 2}, late)
			l.AfterFunc(150*time.Millisecond, func() {
				r.Accept(Request{Class: class, Deadline: time.Second, ReceivedAt: l.Now(), Job: 3}, last)
			})
		})
		if early.total() != 0 && early.at <= late.at || late.total() != 1 || last.refused != 1 || last.total() != 1 {
			t.Errorf("%s: %+v %+v %+v", class, early, late, last)
		}
	}
}
