// Package audit decides what of the router's work is recorded as evidence, numbers it, bounds what waits, and turns it
// into messages that are chained by a keyed hash. It opens no socket and no file: package syslog sends, package spool
// keeps. What is recorded has a type of its own each; the core and the daemon report through Recorder.Record alone.
package audit

import (
	"time"

	"limeladder/balance"
)

// Event is something that is recorded; the types of this file implement it.
type Event interface {
	kind() Kind
	level() Level
	size() int // bytes that it holds while it waits, about
}

// Kind tells the events apart; it is the MSGID of the message.
type Kind uint8

// The kinds of records.
const (
	KindAnswer  Kind = iota // a final answer
	KindDrain               // a db machine is taken out, or comes back
	KindRouter              // the router itself drains, or takes clients again
	KindPrimary             // a primary is believed, or doubted
	KindList                // discovery's list has changed
	KindReload              // configuration was read again
	KindStart               // recording begins
	KindEnd                 // recording ends
	KindDropped             // records were lost, and which
	KindNote                // a line of the decision module or of the store
	KindChain               // the head of the chain
	kinds
)

// Kinds are their names, in order.
func Kinds() []string {
	return []string{"ANSWER", "DRAIN", "ROUTER", "PRIMARY", "LIST", "RELOAD", "START", "END", "DROPPED", "NOTE", "CHAIN"}
}

// Level is how important a record is where there is no room for all.
type Level uint8

// The levels, from what goes first to what goes last.
const (
	LevelRead    Level = iota // a read that was served
	LevelUsual                // a write that was served, a client that left, the list, notes
	LevelRefused              // an answer that was none
	LevelState                // what explains the rest
	levels
)

// Outcome is the final answer of a request.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	Refused         // a repeat does no harm
	Failed          // nothing is promised
	Cut             // it broke off while it was passed on
	Left            // its client has gone
	outcomes
)

// Outcomes are their names, in order.
func Outcomes() []string { return []string{"served", "refused", "failed", "cut", "left"} }

// Out stands for the end of an attempt that is still out when its request is answered.
const Out balance.Status = -1

// Attempt is one try at one db machine.
type Attempt struct {
	Node string
	End  balance.Status
	Took time.Duration
}

// Answer records the final answer of one request.
type Answer struct {
	Request string // the client's id for it
	Class   string
	Tenant  string // the user of the connection
	Client  string // where it came from
	Group   int64
	Node    string // the db machine of the last attempt
	Outcome Outcome
	Code    string // the SQLSTATE of a db machine's error that was passed on, "" = none
	Writes  bool   // its class may change data
	MayRun  bool   // a write may have run
	Why     string // of a failure

	Attempts []Attempt
	Queued   time.Duration // until the first attempt, or until the end where there was none
	Worked   time.Duration // of all attempts together
	Total    time.Duration // from its last byte to the answer
	Retry    time.Duration // when a refused client may come back, 0 = not told
}

// Drain records that a db machine gets nothing new, or may again.
type Drain struct {
	Node  string
	Group int64
	State string // as the list calls it, or suspended, resumed
	By    string // list, operator, other process
}

// Router records a change of the router's own state.
type Router struct {
	State string // draining, drained, activated
	By    string
}

// Primary records what is believed of a group's primary.
type Primary struct {
	Group    int64
	Node     string
	Believed bool // or in doubt
	Why      string
}

// List records a list of discovery.
type List struct {
	Version                int64
	Full                   bool
	Ready, Draining, Going int
}

// Reload records that configuration was read again.
type Reload struct {
	What string
	Err  string // "" = it was taken
}

// Start is the first record of each start.
type Start struct {
	Router string
	Key    string // the name of the key that chains, "" = none
}

// End is the last one.
type End struct{ Taken, Served, Refused, Failed, Left uint64 }

// Dropped says what was lost since the last such record.
type Dropped struct {
	Count       uint64
	First, Last uint64 // the lowest and the highest number among them
	Of          [levels]uint64
}

// Note is a line for those on call.
type Note struct{ Topic, Text string }

func (*Answer) kind() Kind { return KindAnswer }
func (Drain) kind() Kind   { return KindDrain }
func (Router) kind() Kind  { return KindRouter }
func (Primary) kind() Kind { return KindPrimary }
func (List) kind() Kind    { return KindList }
func (Reload) kind() Kind  { return KindReload }
func (Start) kind() Kind   { return KindStart }
func (End) kind() Kind     { return KindEnd }
func (Dropped) kind() Kind { return KindDropped }
func (Note) kind() Kind    { return KindNote }

func (a *Answer) level() Level {
	switch {
	case a.Outcome == Served && !a.Writes:
		return LevelRead
	case a.Outcome == Served, a.Outcome == Left:
		return LevelUsual
	}
	return LevelRefused
}
func (Drain) level() Level   { return LevelState }
func (Router) level() Level  { return LevelState }
func (Primary) level() Level { return LevelState }
func (List) level() Level    { return LevelUsual }
func (Reload) level() Level  { return LevelState }
func (Start) level() Level   { return LevelState }
func (End) level() Level     { return LevelState }
func (Dropped) level() Level { return LevelState }
func (Note) level() Level    { return LevelUsual }

// fixed is what a record holds beside its texts.
const fixed = 320

func (a *Answer) size() int {
	n := fixed + len(a.Request) + len(a.Class) + len(a.Tenant) + len(a.Client) + len(a.Why)
	return n + 48*cap(a.Attempts) // the names of db machines are shared
}
func (d Drain) size() int   { return fixed + len(d.Node) }
func (r Router) size() int  { return fixed }
func (p Primary) size() int { return fixed + len(p.Why) }
func (l List) size() int    { return fixed }
func (r Reload) size() int  { return fixed + len(r.What) + len(r.Err) }
func (s Start) size() int   { return fixed }
func (e End) size() int     { return fixed }
func (d Dropped) size() int { return fixed }
func (n Note) size() int    { return fixed + len(n.Text) }
