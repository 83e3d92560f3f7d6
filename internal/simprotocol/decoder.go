package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"limeladder/balance"
)

// Batch is one decoded line of input. Its events are in the order of the line.
type Batch struct {
	Now    balance.Time
	Events []Event
}

// Event is an event for one instance. Exactly one of Start, Stop and Event is set.
type Event struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    balance.Event
}

// Start has the seed and the settings of an instance that is to be started.
type Start struct {
	Seed   uint64
	Config balance.Config
}

var errMissingTime = errors.New("batch without TsNs")

// Decoder decodes batches. It keeps the numbered endpoint lists, which all instances of the process share.
type Decoder struct {
	endpointLists   map[int][]balance.EndpointEntry
	positionOrigins map[string]balance.Time // origin of each instance's replication positions
}

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder {
	return &Decoder{
		endpointLists:   map[int][]balance.EndpointEntry{},
		positionOrigins: map[string]balance.Time{},
	}
}

// Decode decodes one line. If an event is invalid, the error includes its index.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var wire rawBatch
	var batch Batch
	if err := json.Unmarshal(line, &wire); err != nil {
		return batch, err
	}
	if wire.TsNs == nil {
		return batch, errMissingTime
	}
	batch.Now = time.Duration(*wire.TsNs)
	if len(wire.Arrivals) == 0 {
		return batch, nil
	}
	var events []rawEvent
	if err := json.Unmarshal(wire.Arrivals, &events); err != nil {
		return batch, locateTypeError(wire.Arrivals, err)
	}
	for i := range events {
		event, ok, err := d.decodeEvent(&events[i])
		if err != nil {
			return batch, fmt.Errorf("event %d (%s): %w", i, events[i].Cmd, err)
		}
		if ok {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, nil
}

// locateTypeError adds the location of the wrong type to a type error: the index of the event, or "arrivals" if its
// value is not a list.
func locateTypeError(arrivals []byte, err error) error {
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

// decodeEvent decodes one event; ok is false if no instance needs the event.
func (d *Decoder) decodeEvent(w *rawEvent) (event Event, ok bool, err error) {
	if w.Cmd == commandPool {
		d.storeEndpoints(w)
		return Event{}, false, nil
	}
	if w.Who == "" {
		return Event{}, false, &MissingFieldError{Field: "Who"}
	}
	event.Instance = w.Who
	switch w.Cmd {
	case commandStart:
		event.Start, err = d.decodeStart(w)
	case commandDown:
		event.Stop = true
	case commandMail: // instances do not send messages to each other
		return Event{}, false, nil
	default:
		event.Event, err = d.decodeBalanceEvent(w)
	}
	return event, err == nil, err
}

// decodeBalanceEvent decodes an event that is passed to the balancer.
func (d *Decoder) decodeBalanceEvent(w *rawEvent) (balance.Event, error) {
	switch w.Cmd {
	case commandMembers:
		return d.decodeEndpointList(w)
	case commandRequest:
		return decodeRequest(w), nil
	case commandOutcome:
		return d.decodeAttemptResult(w)
	case commandPong:
		return d.decodeHealthCheckResult(w)
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

// storeEndpoints stores a numbered endpoint list, replacing an earlier one with the same number.
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
	d.endpointLists[w.Slot] = list
}

func (d *Decoder) decodeStart(w *rawEvent) (*Start, error) {
	if w.Params == nil {
		return nil, &MissingFieldError{Field: "Params"}
	}
	settings, err := w.Params.Balance()
	if err != nil {
		return nil, &ConfigError{Instance: w.Who, Err: err}
	}
	d.positionOrigins[w.Who] = time.Duration(*w.Params.Extra.OriginTimeNs)
	return &Start{Seed: w.Nonce64, Config: settings}, nil
}

// maxListKind is the highest kind of endpoint list. The wire and package balance number the kinds in the same order.
const maxListKind = int(balance.ListFailed)

func (d *Decoder) decodeEndpointList(w *rawEvent) (balance.Event, error) {
	if w.Kind < 0 || w.Kind > maxListKind {
		return nil, &FieldError{Field: "Kind", Reason: fmt.Sprintf("unknown value %d", w.Kind)}
	}
	list := balance.EndpointList{Kind: balance.EndpointListKind(w.Kind)}
	if list.Kind != balance.ListFailed {
		list.Entries = d.endpointLists[w.Slot]
	}
	return list, nil
}

func decodeRequest(w *rawEvent) balance.Request {
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

// standRoleCount is the number of values that the field Stand reserves for the role. Stand is the position in
// milliseconds since the origin, multiplied by this number, plus the role.
const standRoleCount = 4

func (d *Decoder) decodeAttemptResult(w *rawEvent) (balance.Event, error) {
	status, err := decodeStatus(w.Reason)
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
		Role:     decodeRole(w.Stand % standRoleCount),
	}
	if ms := w.Stand / standRoleCount; ms > 0 {
		result.Position = d.positionOrigins[w.Who] + time.Duration(ms)*time.Millisecond
	}
	return result, nil
}

func (d *Decoder) decodeHealthCheckResult(w *rawEvent) (balance.Event, error) {
	status, err := decodeStatus(w.Reason)
	if err != nil {
		return nil, err
	}
	result := balance.HealthCheckResult{
		Endpoint: w.Node,
		Status:   status,
		Elapsed:  time.Duration(w.TookNs),
	}
	if seconds, ok := w.Telemetry[telemetryPosition]; ok {
		result.Position = d.positionOrigins[w.Who] + time.Duration(math.Floor(seconds*1e9))
	}
	if primary, ok := w.Telemetry[telemetryPrimary]; ok {
		result.Role = balance.RoleReplica
		if primary == 1 {
			result.Role = balance.RolePrimary
		}
	}
	return result, nil
}

func decodeStatus(reason string) (balance.Status, error) {
	status, ok := statuses[reason]
	if !ok {
		return 0, &FieldError{Field: "Reason", Reason: fmt.Sprintf("unknown word %q", reason)}
	}
	return status, nil
}

// decodeRole decodes a role. The wire and package balance use the same numbers.
func decodeRole(number int64) balance.Role {
	switch role := balance.Role(number); role {
	case balance.RolePrimary, balance.RoleReplica:
		return role
	default:
		return balance.RoleUnknown
	}
}
