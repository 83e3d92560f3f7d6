package sitefailover

import "time"

// Action is a result of Monitor.Step.
type Action interface{ action() }

// StateChanged reports that a site has entered another state.
type StateChanged struct {
	Site               string
	OldState, NewState SiteState
	Fault              FaultKind
	Evidence           string // Evidence is a text for operators.
}

// Wake asks for a call of Monitor.Step at Deadline, even if there are no events.
type Wake struct{ Deadline time.Duration }

func (StateChanged) action() {}
func (Wake) action()         {}
