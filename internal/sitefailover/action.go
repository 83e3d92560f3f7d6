package sitefailover

import "time"

// Action is what a Monitor tells its caller.
type Action interface{ action() }

// StateChanged says that a site has entered another state.
type StateChanged struct {
	Site               string
	OldState, NewState SiteState
	Fault              FaultKind
	Evidence           string // Evidence is a sentence for operators.
}

// Wake asks for a call of Monitor.Step at the given time, also without events.
type Wake struct{ Deadline time.Duration }

func (StateChanged) action() {}
func (Wake) action()         {}
