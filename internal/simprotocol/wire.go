// Package simprotocol turns the JSON dialect of the pipe into the events of package balance, and its actions back.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
)

// Batch is one line of input, its events split by instance in the order in which the instances first appear.
type Batch struct {
	Now    balance.Time
	Events []Event
}

// Event is one event of the wire. Exactly one of Start, Down and Event is set.
type Event struct {
	Who   string
	Start *Start
	Down  bool
	Event balance.Event
}

// Start begins an instance.
type Start struct {
	Seed   uint64
	Config balance.Config
}

type rawBatch struct {
	TsNs     *int64          `json:"TsNs"`
	Arrivals json.RawMessage `json:"arrivals"`
}

type rawEvent struct {
	Cmd, Who                   string
	Ticket, Node, Reason       string
	Project                    project
	TierClass, Data            string
	Leg                        int
	Slot, Kind, Author         int
	Nonce64                    uint64
	Label                      int64
	TookNs, ExpiresInNs, Stand int64
	EstimateNs, ClientKey      int64
	Rev                        json.Number
	PartitionNo, SinceWriteMs  float64
	Finished, AgainByClient    bool
	IsWrite                    bool
	Telemetry                  map[string]float64
	Params                     *config.Settings
	Members                    []rawEntry
}

// project is a tenant's name; the wire writes 0 where there is none.
type project string

func (p *project) UnmarshalJSON(b []byte) error {
	if string(b) == "0" || string(b) == "null" {
		return nil
	}
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	*p = project(s)
	return nil
}

type rawEntry struct {
	Node, Locality string
	Group          int64
	Lifecycle      int
	Leader, Weight float64 // Weight is decoded for its type alone
	ReadyAtNs      int64
}

var statuses = map[string]balance.Status{
	"done": balance.StatusDone, "err": balance.StatusError, "busy": balance.StatusBusy,
	"etimedout": balance.StatusTimedOut, "econnrefused": balance.StatusConnectFailed, "econnreset": balance.StatusReset,
	"ecanceled": balance.StatusCancelled, "skipped": balance.StatusNotSent, "enoent": balance.StatusMiss,
}

// Decoder reads batches. It remembers the numbered node lists, which belong to the process.
type Decoder struct {
	pools map[int][]balance.EndpointEntry
	zero  map[string]balance.Time // where each instance's positions start
}

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder {
	return &Decoder{pools: map[int][]balance.EndpointEntry{}, zero: map[string]balance.Time{}}
}

// ConfigError is a settings fault of one instance; the pipe itself is sound.
type ConfigError struct {
	Who string
	Err error
}

func (e *ConfigError) Error() string { return e.Who + ": " + e.Err.Error() }
func (e *ConfigError) Unwrap() error { return e.Err }

// FieldError says that a field of an event holds what it may not. Field is its name on the wire.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// MissingFieldError says that an event lacks a field. Field is its name on the wire.
type MissingFieldError struct{ Field string }

func (e *MissingFieldError) Error() string { return e.Field + " is missing" }

// Decode reads one line. An error says what is wrong and at which event.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw rawBatch
	var b Batch
	if err := json.Unmarshal(line, &raw); err != nil {
		return b, err
	}
	if raw.TsNs == nil {
		return b, errors.New("batch without TsNs")
	}
	b.Now = time.Duration(*raw.TsNs)
	if len(raw.Arrivals) == 0 {
		return b, nil
	}
	var evs []rawEvent
	if err := json.Unmarshal(raw.Arrivals, &evs); err != nil {
		return b, locate(raw.Arrivals, err)
	}
	for i := range evs {
		e, err := d.event(&evs[i])
		if err != nil {
			return b, fmt.Errorf("event %d (%s): %w", i, evs[i].Cmd, err)
		}
		if e != nil {
			b.Events = append(b.Events, *e)
		}
	}
	return b, nil
}

// locate names the event that a type error stands in.
func locate(arrivals []byte, err error) error {
	var parts []json.RawMessage
	if json.Unmarshal(arrivals, &parts) != nil {
		return fmt.Errorf("arrivals: %w", err)
	}
	for i, p := range parts {
		if e := json.Unmarshal(p, &rawEvent{}); e != nil {
			return fmt.Errorf("event %d: %w", i, e)
		}
	}
	return err
}

func (d *Decoder) event(r *rawEvent) (*Event, error) {
	if r.Cmd == "Pool" {
		list := make([]balance.EndpointEntry, len(r.Members))
		for i, m := range r.Members {
			list[i] = balance.EndpointEntry{
				Endpoint: m.Node, Zone: m.Locality, Group: m.Group, State: balance.EndpointState(m.Lifecycle),
				Primary: m.Leader == 1, StartedAt: time.Duration(m.ReadyAtNs),
			}
		}
		d.pools[r.Slot] = list
		return nil, nil
	}
	if r.Who == "" {
		return nil, &MissingFieldError{Field: "Who"}
	}
	e := &Event{Who: r.Who}
	took := time.Duration(r.TookNs)
	switch r.Cmd {
	case "Start":
		if r.Params == nil {
			return nil, &MissingFieldError{Field: "Params"}
		}
		c, err := r.Params.Balance()
		if err != nil {
			return nil, &ConfigError{r.Who, err}
		}
		d.zero[r.Who] = time.Duration(*r.Params.Extra.OriginTimeNs)
		e.Start = &Start{Seed: r.Nonce64, Config: c}
	case "Down":
		e.Down = true
	case "Members":
		if r.Kind < 0 || r.Kind > 3 {
			return nil, &FieldError{Field: "Kind", Reason: fmt.Sprintf("unknown value %d", r.Kind)}
		}
		l := balance.EndpointList{Kind: balance.EndpointListKind(r.Kind)}
		if l.Kind != balance.ListFailed {
			l.Entries = d.pools[r.Slot]
		}
		e.Event = l
	case "Request":
		e.Event = balance.Request{
			ID: r.Ticket, Class: r.TierClass, Tenant: string(r.Project),
			Group: int64(r.PartitionNo), SessionID: r.ClientKey, TimeLeft: time.Duration(r.ExpiresInNs),
			SinceSessionWrite: time.Duration(r.SinceWriteMs * 1e6), EstimatedWork: time.Duration(r.EstimateNs),
			Retry: r.AgainByClient,
		}
	case "Outcome":
		s, ok := statuses[r.Reason]
		if !ok {
			return nil, &FieldError{Field: "Reason", Reason: fmt.Sprintf("unknown word %q", r.Reason)}
		}
		o := balance.AttemptResult{
			ID: r.Ticket, Attempt: r.Leg, Endpoint: r.Node, Status: s, Elapsed: took,
			Finished: r.Finished, Role: role(r.Stand % 4),
		}
		if ms := r.Stand / 4; ms > 0 {
			o.Position = d.zero[r.Who] + time.Duration(ms)*time.Millisecond
		}
		e.Event = o
	case "Pong":
		s, ok := statuses[r.Reason]
		if !ok {
			return nil, &FieldError{Field: "Reason", Reason: fmt.Sprintf("unknown word %q", r.Reason)}
		}
		p := balance.HealthCheckResult{Endpoint: r.Node, Status: s, Elapsed: took}
		if x0, ok := r.Telemetry["x0"]; ok {
			p.Position = d.zero[r.Who] + time.Duration(math.Floor(x0*1e9))
		}
		if x1, ok := r.Telemetry["x1"]; ok {
			p.Role = balance.RoleReplica
			if x1 == 1 {
				p.Role = balance.RolePrimary
			}
		}
		e.Event = p
	case "Left":
		e.Event = balance.ClientDisconnected{ID: r.Ticket}
	case "FirstByte":
		e.Event = balance.FirstByte{ID: r.Ticket, Attempt: r.Leg}
	case "Wake":
		e.Event = balance.Wake{}
	case "Mail": // instances send each other nothing
		return nil, nil
	default:
		return nil, fmt.Errorf("unknown command %q", r.Cmd)
	}
	return e, nil
}

func role(n int64) balance.Role {
	if n == 1 || n == 2 {
		return balance.Role(n)
	}
	return balance.RoleUnknown
}

type rawAction struct {
	Cmd     string `json:"cmd"`
	Who     string `json:"Who"`
	Ticket  string `json:",omitempty"`
	Node    string `json:",omitempty"`
	Text    string `json:",omitempty"`
	PauseNs int64  `json:",omitempty"`
	InNs    *int64 `json:",omitempty"`
	Label   *int64 `json:",omitempty"`
	Leg     *int   `json:",omitempty"`
	Active  *bool  `json:",omitempty"`
}

// Reply collects the actions of one batch.
type Reply struct{ acts []rawAction }

// Add appends the actions of one instance.
func (r *Reply) Add(who string, acts []balance.Action) {
	for _, a := range acts {
		w := rawAction{Who: who}
		switch a := a.(type) {
		case balance.Send:
			w.Cmd, w.Ticket, w.Node = "Attempt", a.ID, a.Endpoint
		case balance.Reject:
			w.Cmd, w.Ticket, w.PauseNs = "Decline", a.ID, int64(a.RetryAfter)
		case balance.Fail:
			w.Cmd, w.Ticket = "FinishError", a.ID
		case balance.Cancel:
			w.Cmd, w.Ticket, w.Leg = "AbortAttempt", a.ID, &a.Attempt
		case balance.HealthCheck:
			w.Cmd, w.Node = "Sample", a.Endpoint
		case balance.Timer:
			in, label := int64(a.After), int64(0)
			w.Cmd, w.InNs, w.Label = "Timer", &in, &label
		case balance.PollEndpointList:
			on := true
			w.Cmd, w.Active = "Track", &on
		case balance.PrimaryUpdate:
			continue // the simulator's wire has no word for it
		case balance.LogMessage:
			w.Cmd, w.Text = "WriteLog", a.Text
		}
		r.acts = append(r.acts, w)
	}
}

// Crash reports that the decision code of an instance failed.
func (r *Reply) Crash(who, text string) {
	r.acts = append(r.acts, rawAction{Cmd: "Crash", Who: who, Text: text})
}

// Encode returns the reply line, without its newline.
func (r *Reply) Encode() ([]byte, error) {
	if len(r.acts) == 0 {
		return []byte(`{"do":[]}`), nil
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(struct {
		Do []rawAction `json:"do"`
	}{r.acts})
	return bytes.TrimRight(b.Bytes(), "\n"), err
}
