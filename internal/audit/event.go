package audit

import (
	"time"

	"limeladder/balance"
)

// Event is an event that can be recorded. The types of this file implement it.
type Event interface {
	kind() Kind
	level() Level
	size() int // the approximate memory that the event uses while it is queued, in bytes
}

// Kind is the type of an event, and the MSGID of its message.
type Kind uint8

// The kinds of records.
const (
	KindAnswer  Kind = iota // the final answer of a request
	KindDrain               // an endpoint stops or resumes getting new requests
	KindRouter              // the router drains, or accepts clients again
	KindPrimary             // a primary was observed, or is suspect
	KindList                // the endpoint list of discovery changed
	KindReload              // the configuration was reloaded
	KindStart               // the recording begins
	KindEnd                 // the recording ends
	KindDropped             // records were dropped: how many, and their numbers
	KindNote                // a message of the decision module or of the store
	KindChain               // the head of the chain
	kindCount
)

// Kinds returns the names of the kinds, indexed by Kind.
func Kinds() []string {
	return []string{"ANSWER", "DRAIN", "ROUTER", "PRIMARY", "LIST", "RELOAD", "START", "END", "DROPPED", "NOTE", "CHAIN"}
}

// Level is the importance of a record, which decides what is dropped when the queue is full.
type Level uint8

// The levels, in the order in which records are dropped.
const (
	LevelServedRead  Level = iota // a served read
	LevelNormal                   // a served write, a client that disconnected, an endpoint list, a note
	LevelUnserved                 // a request that was rejected, failed or truncated
	LevelStateChange              // a state change, which explains other records
	levelCount
)

// Outcome is the way in which a request ended.
type Outcome uint8

// The outcomes.
const (
	Served       Outcome = iota
	Rejected             // the client can safely retry
	Failed               // the request may or may not have been executed
	Truncated            // the connection broke while the response was forwarded
	Disconnected         // the client disconnected before the answer
	outcomeCount
)

// Outcomes returns the names of the outcomes, indexed by Outcome.
func Outcomes() []string { return []string{"served", "refused", "failed", "cut", "left"} }

// InFlight is the status of an attempt that has not ended when its request is answered.
const InFlight balance.Status = -1

// Attempt is one attempt at one endpoint.
type Attempt struct {
	Endpoint string
	End      balance.Status
	Took     time.Duration
}

// Answer records the final answer of one request.
type Answer struct {
	Request         string // the id from the request comment; empty = the client sent none
	Class           string
	Tenant          string // the user of the connection
	Client          string // the address of the client
	Group           int64
	Endpoint        string // the endpoint of the last attempt
	Outcome         Outcome
	Code            string // the SQLSTATE of an endpoint's error that was forwarded; empty = none
	Writes          bool   // requests of its class may change data
	MayHaveExecuted bool   // a write may have been executed
	Reason          string // why the request was not served; empty = not stated

	Attempts []Attempt
	Queued   time.Duration // from the last byte of the request to the first attempt, or to the answer without one
	Worked   time.Duration // the total duration of all attempts
	Total    time.Duration // from the last byte of the request to the answer
	Retry    time.Duration // the retry delay that a rejected client was given; 0 = none
}

// EndpointStateChange records that an endpoint no longer gets new requests, or may get them again.
type EndpointStateChange struct {
	Endpoint string
	Group    int64
	State    string // a state of the endpoint list, or not listed, suspended or resumed
	Source   string // list, operator or other process
}

// Router records a change of the router's own state.
type Router struct {
	State  string // draining, drained or activated
	Source string
}

// Primary records that this router considers an endpoint the primary of a group, or that this primary became suspect.
type Primary struct {
	Group    int64
	Endpoint string
	Believed bool // false = the primary is suspect
	Reason   string
}

// List records a new or changed endpoint list of discovery.
type List struct {
	Version  int64
	Full     bool // the list is complete, not a change of the previous one
	Ready    int  // endpoints that are ready
	Draining int  // endpoints that are draining
	Gone     int  // endpoints in any other state, such as gone
}

// Reload records that the configuration was reloaded.
type Reload struct {
	What  string // what was reloaded: configuration or deploy
	Error string // why the configuration was rejected; empty = it was applied
}

// Start is the first record of each start.
type Start struct {
	Router string
	Key    string // the name of the chain's key; empty = no chain
}

// End is the last record of each start; it holds the totals of the start.
type End struct {
	Accepted     uint64 // accepted requests
	Served       uint64
	Rejected     uint64
	Failed       uint64
	Disconnected uint64
}

// Dropped counts the records that were dropped from the full queue since the previous Dropped record.
type Dropped struct {
	Count   uint64
	First   uint64             // the lowest number among them
	Last    uint64             // the highest number among them
	ByLevel [levelCount]uint64 // the count by level
}

// Note is a message for the engineers on call.
type Note struct {
	Topic string
	Text  string
}

func (*Answer) kind() Kind             { return KindAnswer }
func (EndpointStateChange) kind() Kind { return KindDrain }
func (Router) kind() Kind              { return KindRouter }
func (Primary) kind() Kind             { return KindPrimary }
func (List) kind() Kind                { return KindList }
func (Reload) kind() Kind              { return KindReload }
func (Start) kind() Kind               { return KindStart }
func (End) kind() Kind                 { return KindEnd }
func (Dropped) kind() Kind             { return KindDropped }
func (Note) kind() Kind                { return KindNote }

func (a *Answer) level() Level {
	switch {
	case a.Outcome == Served && !a.Writes:
		return LevelServedRead
	case a.Outcome == Served, a.Outcome == Disconnected:
		return LevelNormal
	}
	return LevelUnserved
}
func (EndpointStateChange) level() Level { return LevelStateChange }
func (Router) level() Level              { return LevelStateChange }
func (Primary) level() Level             { return LevelStateChange }
func (List) level() Level                { return LevelNormal }
func (Reload) level() Level              { return LevelStateChange }
func (Start) level() Level               { return LevelStateChange }
func (End) level() Level                 { return LevelStateChange }
func (Dropped) level() Level             { return LevelStateChange }
func (Note) level() Level                { return LevelNormal }

const (
	// recordOverhead is the memory of a record without its texts, in bytes.
	recordOverhead = 320
	// attemptSize is the memory of an attempt in bytes, without its endpoint's name, which is shared.
	attemptSize = 48
)

func (a *Answer) size() int {
	n := recordOverhead + len(a.Request) + len(a.Class) + len(a.Tenant) + len(a.Client) + len(a.Reason)
	return n + attemptSize*cap(a.Attempts)
}
func (d EndpointStateChange) size() int { return recordOverhead + len(d.Endpoint) }
func (r Router) size() int              { return recordOverhead }
func (p Primary) size() int             { return recordOverhead + len(p.Reason) }
func (l List) size() int                { return recordOverhead }
func (r Reload) size() int              { return recordOverhead + len(r.What) + len(r.Error) }
func (s Start) size() int               { return recordOverhead }
func (e End) size() int                 { return recordOverhead }
func (d Dropped) size() int             { return recordOverhead }
func (n Note) size() int                { return recordOverhead + len(n.Text) }
