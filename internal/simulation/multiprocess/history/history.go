// Package history is what happened in a rig, each thing recorded at the side that receives it: requests at the clients that asked,
// statements at the machines they came to, lists where they were handed to a router. It judges nothing.
package history

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Fact is one thing that happened. A fact knows how to say itself in one line.
type Fact interface {
	// String says the fact in one line.
	String() string
}

// Entry is a fact and when it was seen, on the rig's one clock, from its start.
type Entry struct {
	At   time.Duration
	Fact Fact
}

// Asked says that a client has written a request whole to a router.
type Asked struct {
	ID, Class, Site, Router string
	Life                    int // which start of the router
	Within                  time.Duration
	Write                   bool
}

// How a request ended for its client.
type How uint8

// Served, Refused and Failed are answers; Broken says that the connection ended without a whole one, Silent that none came in time, and
// Crossed that a connection which had carried others ended before any of the answer: the router may have closed it before it read this.
const (
	Served How = iota
	Refused
	Failed
	Broken
	Silent
	Crossed
)

func (h How) String() string {
	return [...]string{"served", "refused", "failed", "broken off", "unanswered", "crossed by a close"}[h]
}

// Answered says that the client has what it gets. Extra is how many messages came behind an answer that was whole.
type Answered struct {
	ID    string
	How   How
	Code  string // of an error
	Value string // of what was served: the machine that made it first
	Extra int
}

// Came says that a statement has come whole to a machine. Held is how long it was on its way in the rig's own relay.
type Came struct {
	ID, Class, Router, Member string
	Conn                      string // the connection, by the address that the machine sees
	Life                      int
	Held                      time.Duration
	Write, Led                bool // the class writes; the machine leads its bank, or did
	See                       time.Duration
}

// Ran says that a machine has ended a statement. Gone says that its connection ended before.
type Ran struct {
	ID, Router, Member string
	Life               int
	Served, Gone       bool
	Primary            bool
	Position           time.Duration
}

// GivenUp says that a router has closed a connection to a machine, or ended its sending, whether or not the machine can
// know.
type GivenUp struct{ Router, Member, Conn string }

// Told says that a list that names the state of a machine was handed to a router, or to the agent on its machine.
type Told struct {
	Router, Member, State string
	Life                  int
	Cut                   bool // something befell the way: it may not have arrived
}

// Process says that a router takes clients, or that something was done to it or to its way to clients.
type Process struct {
	Router, What string
	Life         int
	Ready        bool          // it takes clients from now on
	For          time.Duration // how long what was done lasts, 0 = to the end of this start of it
}

// Step says that a step of the script was carried out.
type Step struct{ Text string }

// Pushed says that a cold machine was pushed over.
type Pushed struct{ Member string }

func (a Asked) String() string {
	return fmt.Sprintf("request %s (%s) of %s to %s.%d, within %v", a.ID, a.Class, a.Site, a.Router, a.Life, a.Within)
}
func (a Answered) String() string { return fmt.Sprintf("request %s is %v %s", a.ID, a.How, a.Code) }
func (c Came) String() string {
	return fmt.Sprintf("statement %s comes to %s from %s.%d", c.ID, c.Member, c.Router, c.Life)
}

func (r Ran) String() string {
	return fmt.Sprintf("statement %s ends at %s: served %v, its connection gone %v", r.ID, r.Member, r.Served, r.Gone)
}

func (g GivenUp) String() string {
	return fmt.Sprintf("%s gives up its connection %s to %s", g.Router, g.Conn, g.Member)
}

func (t Told) String() string {
	return fmt.Sprintf("%s.%d is told that %s is %s", t.Router, t.Life, t.Member, t.State)
}

func (p Process) String() string {
	if p.Ready {
		return fmt.Sprintf("%s.%d is ready", p.Router, p.Life)
	}
	return fmt.Sprintf("%s.%d: %s", p.Router, p.Life, p.What)
}
func (s Step) String() string   { return "step: " + s.Text }
func (p Pushed) String() string { return p.Member + " is pushed over while cold" }

// Log collects entries. Any goroutine may add.
type Log struct {
	begin time.Time
	mu    sync.Mutex
	all   []Entry
}

// New returns a Log whose clock begins now.
func New() *Log { return &Log{begin: time.Now()} }

// Begin is when its clock began.
func (l *Log) Begin() time.Time { return l.begin }

// Add notes a fact as of now.
func (l *Log) Add(f Fact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, Entry{time.Since(l.begin), f})
}

// All are the entries so far, in their order.
func (l *Log) All() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// Line is one of a timeline: from the history or from a process's own log.
type Line struct {
	At         time.Duration
	From, Text string
}

// Timeline writes lines of all sides in the order of their times.
func Timeline(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%10.4f  %-10s %s\n", l.At.Seconds(), l.From, l.Text); err != nil {
			return err
		}
	}
	return nil
}
