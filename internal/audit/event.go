package audit

import (
	"time"

	"limeladder/balance"
)

// Event is something that can be recorded; the types of this file implement it.
type Event interface {
	kind() Kind
	level() Level
	size() int // the memory that it holds while it is queued, in bytes, approximately
}

// Kind is the type of an event, and the MSGID of its message.
type Kind uint8

// The kinds of records.
const (
	KindAnswer  Kind = iota // a final answer
	KindDrain               // an endpoint is taken out, or comes back
	KindRouter              // the router itself drains, or takes clients again
	KindPrimary             // a primary is observed, or suspect
	KindList                // discovery's list has changed
	KindReload              // configuration was read again
	KindStart               // recording begins
	KindEnd                 // recording ends
	KindDropped             // records were lost, and which
	KindNote                // a line of the decision module or of the store
	KindChain               // the head of the chain
	kindCount
)

// Kinds returns the names of the kinds, in order.
func Kinds() []string {
	return []string{"ANSWER", "DRAIN", "ROUTER", "PRIMARY", "LIST", "RELOAD", "START", "END", "DROPPED", "NOTE", "CHAIN"}
}

// Level is how important a record is where there is no room for all.
type Level uint8

// The levels, from what is dropped first to what is dropped last.
const (
	LevelRead    Level = iota // a read that was served
	LevelUsual                // a write that was served, a client that left, the list, notes
	LevelRefused              // a request that was not served
	LevelState                // state changes, which explain the other records
	levelCount
)

// Outcome is the final answer of a request.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	Refused         // rejected; a retry by the client is safe
	Failed          // nothing is known of what was done
	Cut             // the connection broke while the response was forwarded
	Left            // the client disconnected
	outcomeCount
)

// Outcomes returns the names of the outcomes, in order.
func Outcomes() []string { return []string{"served", "refused", "failed", "cut", "left"} }

// InFlight is the end of an attempt that is still in flight when its request is answered.
const InFlight balance.Status = -1

// Attempt is one attempt at one endpoint.
type Attempt struct {
	Endpoint string
	End      balance.Status
	Took     time.Duration
}

// Answer records the final answer of one request.
type Answer struct {
	Request         string // the client's id for it
	Class           string
	Tenant          string // the user of the connection
	Client          string // where it came from
	Group           int64
	Endpoint        string // the endpoint of the last attempt
	Outcome         Outcome
	Code            string // the SQLSTATE of an endpoint's error that was forwarded, empty = none
	Writes          bool   // its class may change data
	MayHaveExecuted bool   // a write may have been executed
	Reason          string // the reason of a failure

	Attempts []Attempt
	Queued   time.Duration // until the first attempt, or until the answer where there was none
	Worked   time.Duration // in all attempts together
	Total    time.Duration // from the last byte of the request to the answer
	Retry    time.Duration // when a rejected client was told to retry, 0 = it was not
}

// Drain records that an endpoint gets no new requests, or may get them again.
type Drain struct {
	Endpoint string
	Group    int64
	State    string // as the endpoint list calls it, or suspended, resumed
	Source   string // list, operator, other process
}

// Router records a change of the router's own state.
type Router struct {
	State  string // draining, drained, activated
	Source string
}

// Primary records which endpoint this router takes for a group's primary.
type Primary struct {
	Group    int64
	Endpoint string
	Believed bool // false = the primary is suspect
	Reason   string
}

// List records a new endpoint list of discovery.
type List struct {
	Version  int64
	Full     bool // not a change of the list before
	Ready    int
	Draining int
	Going    int // endpoints that are gone
}

// Reload records that configuration was read again.
type Reload struct {
	What  string
	Error string // empty = it was applied
}

// Start is the first record of each start.
type Start struct {
	Router string
	Key    string // the name of the key of the chain, empty = none
}

// End is the last record of each start; it counts all answers.
type End struct {
	Taken   uint64 // accepted requests
	Served  uint64
	Refused uint64
	Failed  uint64
	Left    uint64
}

// Dropped counts the records that had no room since the last such record.
type Dropped struct {
	Count   uint64
	First   uint64             // the lowest number among them
	Last    uint64             // the highest number among them
	ByLevel [levelCount]uint64 // the count of each level
}

// Note is a line for the engineers on call.
type Note struct {
	Topic string
	Text  string
}

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

const (
	// recordOverhead is the memory that a record holds beside its texts, in bytes.
	recordOverhead = 320
	// attemptSize is the memory of an attempt in bytes; the names of endpoints are shared.
	attemptSize = 48
)

func (a *Answer) size() int {
	n := recordOverhead + len(a.Request) + len(a.Class) + len(a.Tenant) + len(a.Client) + len(a.Reason)
	return n + attemptSize*cap(a.Attempts)
}
func (d Drain) size() int   { return recordOverhead + len(d.Endpoint) }
func (r Router) size() int  { return recordOverhead }
func (p Primary) size() int { return recordOverhead + len(p.Reason) }
func (l List) size() int    { return recordOverhead }
func (r Reload) size() int  { return recordOverhead + len(r.What) + len(r.Error) }
func (s Start) size() int   { return recordOverhead }
func (e End) size() int     { return recordOverhead }
func (d Dropped) size() int { return recordOverhead }
func (n Note) size() int    { return recordOverhead + len(n.Text) }
