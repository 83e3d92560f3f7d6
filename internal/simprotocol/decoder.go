package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"limeladder/balance"
)

// Batch is one line of input, with its events in their order.
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

var errNoTime = errors.New("batch without TsNs")

// Decoder reads batches. It remembers the numbered endpoint lists, which belong to the process.
type Decoder struct {
	lists   map[int][]balance.EndpointEntry
	origins map[string]balance.Time // where each instance's positions start
}

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder {
	return &Decoder{
		lists:   map[int][]balance.EndpointEntry{},
		origins: map[string]balance.Time{},
	}
}

// Decode reads one line. An error says what is wrong and at which event.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var wire rawBatch
	var batch Batch
	if err := json.Unmarshal(line, &wire); err != nil {
		return batch, err
	}
	if wire.TsNs == nil {
		return batch, errNoTime
	}
	batch.Now = time.Duration(*wire.TsNs)
	if len(wire.Arrivals) == 0 {
		return batch, nil
	}
	var events []rawEvent
	if err := json.Unmarshal(wire.Arrivals, &events); err != nil {
		return batch, locate(wire.Arrivals, err)
	}
	for i := range events {
		event, ok, err := d.event(&events[i])
		if err != nil {
			return batch, fmt.Errorf("event %d (%s): %w", i, events[i].Cmd, err)
		}
		if ok {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, nil
}

// locate names the event that a type error stands in.
func locate(arrivals []byte, err error) error {
	var parts []json.RawMessage
	if json.Unmarshal(arrivals, &parts) != nil {
		return fmt.Errorf("arrivals: %w", err)
	}
	for i, part := range parts {
		if err := json.Unmarshal(part, &rawEvent{}); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
	}
	return err
}

// event decodes one event; ok is false for one that no instance needs to see.
func (d *Decoder) event(w *rawEvent) (event Event, ok bool, err error) {
	if w.Cmd == commandPool {
		d.storeEndpoints(w)
		return Event{}, false, nil
	}
	if w.Who == "" {
		return Event{}, false, &MissingFieldError{Field: "Who"}
	}
	event.Who = w.Who
	switch w.Cmd {
	case commandStart:
		event.Start, err = d.start(w)
	case commandDown:
		event.Down = true
	case commandMail: // instances send each other nothing
		return Event{}, false, nil
	default:
		event.Event, err = d.balanceEvent(w)
	}
	return event, err == nil, err
}

// balanceEvent decodes an event that goes to the decision code.
func (d *Decoder) balanceEvent(w *rawEvent) (balance.Event, error) {
	switch w.Cmd {
	case commandMembers:
		return d.endpointUpdate(w)
	case commandRequest:
		return request(w), nil
	case commandOutcome:
		return d.attemptResult(w)
	case commandPong:
		return d.healthCheckResult(w)
	case commandLeft:
		return balance.ClientDisconnected{ID: w.Ticket}, nil
	case commandFirstByte:
		return balance.FirstByte{ID: w.Ticket, Attempt: w.Leg}, nil
	case commandWake:
		return balance.Wake{}, nil
	default:
		return nil, &UnknownCommandError{Command: w.Cmd}
	}
}

// storeEndpoints keeps a numbered endpoint list, in place of an earlier one of that number.
func (d *Decoder) storeEndpoints(w *rawEvent) {
	list := make([]balance.EndpointEntry, len(w.Members))
	for i, m := range w.Members {
		list[i] = balance.EndpointEntry{
			Endpoint:  m.Node,
			Zone:      m.Locality,
			Group:     m.Group,
			State:     balance.EndpointState(m.Lifecycle),
			Primary:   m.Leader == 1,
			StartedAt: time.Duration(m.ReadyAtNs),
		}
	}
	d.lists[w.Slot] = list
}

func (d *Decoder) start(w *rawEvent) (*Start, error) {
	if w.Params == nil {
		return nil, &MissingFieldError{Field: "Params"}
	}
	settings, err := w.Params.Balance()
	if err != nil {
		return nil, &ConfigError{Who: w.Who, Err: err}
	}
	d.origins[w.Who] = time.Duration(*w.Params.Extra.OriginTimeNs)
	return &Start{Seed: w.Nonce64, Config: settings}, nil
}

// maxKind is the last of the kinds of endpoint lists, in the wire's and in package balance's order.
const maxKind = int(balance.ListFailed)

func (d *Decoder) endpointUpdate(w *rawEvent) (balance.Event, error) {
	if w.Kind < 0 || w.Kind > maxKind {
		return nil, &FieldError{Field: "Kind", Reason: fmt.Sprintf("unknown value %d", w.Kind)}
	}
	list := balance.EndpointList{Kind: balance.EndpointListKind(w.Kind)}
	if list.Kind != balance.ListFailed {
		list.Entries = d.lists[w.Slot]
	}
	return list, nil
}

func request(w *rawEvent) balance.Request {
	return balance.Request{
		ID:                w.Ticket,
		Class:             w.TierClass,
		Tenant:            string(w.Project),
		Group:             int64(w.PartitionNo),
		SessionID:         w.ClientKey,
		TimeLeft:          time.Duration(w.ExpiresInNs),
		SinceSessionWrite: time.Duration(w.SinceWriteMs * 1e6),
		EstimatedWork:     time.Duration(w.EstimateNs),
		Retry:             w.AgainByClient,
	}
}

// standRoles is how many values the field Stand has for a role, in its lowest part; the position, in milliseconds since
// the origin, stands above them.
const standRoles = 4

func (d *Decoder) attemptResult(w *rawEvent) (balance.Event, error) {
	status, err := status(w.Reason)
	if err != nil {
		return nil, err
	}
	result := balance.AttemptResult{
		ID:       w.Ticket,
		Attempt:  w.Leg,
		Endpoint: w.Node,
		Status:   status,
		Elapsed:  time.Duration(w.TookNs),
		Finished: w.Finished,
		Role:     role(w.Stand % standRoles),
	}
	if ms := w.Stand / standRoles; ms > 0 {
		result.Position = d.origins[w.Who] + time.Duration(ms)*time.Millisecond
	}
	return result, nil
}

func (d *Decoder) healthCheckResult(w *rawEvent) (balance.Event, error) {
	status, err := status(w.Reason)
	if err != nil {
		return nil, err
	}
	result := balance.HealthCheckResult{
		Endpoint: w.Node,
		Status:   status,
		Elapsed:  time.Duration(w.TookNs),
	}
	if seconds, ok := w.Telemetry[telemetryPosition]; ok {
		result.Position = d.origins[w.Who] + time.Duration(math.Floor(seconds*1e9))
	}
	if primary, ok := w.Telemetry[telemetryPrimary]; ok {
		result.Role = balance.RoleReplica
		if primary == 1 {
			result.Role = balance.RolePrimary
		}
	}
	return result, nil
}

func status(reason string) (balance.Status, error) {
	status, ok := statuses[reason]
	if !ok {
		return 0, &FieldError{Field: "Reason", Reason: fmt.Sprintf("unknown word %q", reason)}
	}
	return status, nil
}

// role reads a role as the wire numbers it, which is as package balance does.
func role(number int64) balance.Role {
	switch role := balance.Role(number); role {
	case balance.RolePrimary, balance.RoleReplica:
		return role
	default:
		return balance.RoleUnknown
	}
}
