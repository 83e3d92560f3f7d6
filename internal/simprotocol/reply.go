package simprotocol

import (
	"bytes"
	"encoding/json"

	"limeladder/balance"
)

// wireAction is an action as it stands on the wire.
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
func (r *Reply) Add(who string, actions []balance.Action) {
	for _, action := range actions {
		if _, ok := action.(balance.PrimaryUpdate); ok {
			continue // the simulator's wire has no word for it
		}
		wire := encodeAction(action)
		wire.Who = who
		r.actions = append(r.actions, wire)
	}
}

// encodeAction returns the action without its instance.
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

// Crash reports that the decision code of an instance failed.
func (r *Reply) Crash(who, text string) {
	r.actions = append(r.actions, wireAction{Cmd: "Crash", Who: who, Text: text})
}

// Encode returns the reply line, without its newline.
func (r *Reply) Encode() ([]byte, error) {
	if len(r.actions) == 0 {
		return []byte(`{"do":[]}`), nil
	}
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false) // the pipe carries texts as they are
	err := encoder.Encode(struct {
		Actions []wireAction `json:"do"`
	}{r.actions})
	return bytes.TrimRight(line.Bytes(), "\n"), err
}
