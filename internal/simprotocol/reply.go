package simprotocol

import (
	"bytes"
	"encoding/json"

	"limeladder/balance"
)

// wireAction is the encoding of an action on the wire.
type wireAction struct {
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
type Reply struct{ actions []wireAction }

// Add appends the actions of one instance.
func (r *Reply) Add(instance string, actions []balance.Action) {
	for _, action := range actions {
		if _, ok := action.(balance.PrimaryUpdate); ok {
			continue // the simulator's protocol has no such action
		}
		wire := encodeAction(action)
		wire.Who = instance
		r.actions = append(r.actions, wire)
	}
}

// encodeAction encodes an action. The caller sets the instance.
func encodeAction(action balance.Action) wireAction {
	switch a := action.(type) {
	case balance.Send:
		return wireAction{Cmd: "Attempt", Ticket: a.ID, Node: a.Endpoint}
	case balance.Reject:
		return wireAction{Cmd: "Decline", Ticket: a.ID, PauseNs: int64(a.RetryAfter)}
	case balance.Fail:
		return wireAction{Cmd: "FinishError", Ticket: a.ID}
	case balance.Cancel:
		return wireAction{Cmd: "AbortAttempt", Ticket: a.ID, Leg: &a.Attempt}
	case balance.HealthCheck:
		return wireAction{Cmd: "Sample", Node: a.Endpoint}
	case balance.Timer:
		return wireAction{Cmd: "Timer", InNs: new(int64(a.After)), Label: new(int64)}
	case balance.PollEndpointList:
		return wireAction{Cmd: "Track", Active: new(true)}
	case balance.LogMessage:
		return wireAction{Cmd: "WriteLog", Text: a.Text}
	default:
		return wireAction{}
	}
}

// Crash appends the report that an instance has failed: its settings are invalid, or its balancer panicked.
func (r *Reply) Crash(instance, text string) {
	r.actions = append(r.actions, wireAction{Cmd: "Crash", Who: instance, Text: text})
}

// Encode returns the reply line without the trailing newline.
func (r *Reply) Encode() ([]byte, error) {
	if len(r.actions) == 0 {
		return []byte(`{"do":[]}`), nil
	}
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false) // the simulator's protocol does not escape HTML
	err := encoder.Encode(struct {
		Actions []wireAction `json:"do"`
	}{r.actions})
	return bytes.TrimRight(line.Bytes(), "\n"), err
}
