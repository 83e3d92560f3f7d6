package failover

import "time"

// Action is something that the caller has to do. The caller has to carry out actions in their order.
type Action struct {
	Kind       ActionKind
	ID         string        // of the request; set for ActionRelease and ActionReject
	Endpoint   string        // set for ActionHealthCheck
	Group      int64         // set for all kinds but ActionHealthCheck
	RetryAfter time.Duration // how long the client should wait before it retries; set for ActionReject
	Reason     Reason        // set for ActionReject
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	ActionRelease     ActionKind = iota // pass the request to the decision module
	ActionReject                        // reject the request immediately
	ActionHealthCheck                   // request a load report from the endpoint
	// ActionWithdraw requests to withdraw the group's requests of Config.Classes from the decision module, except those
	// that may have been executed, and to pass them to Enqueue.
	ActionWithdraw
	ActionPhaseChanged // the group has entered another phase
)

// Reason is why a request was rejected.
type Reason uint8

// The reasons.
const (
	ReasonDeadline     Reason = iota // a response can't reach the client before its deadline
	ReasonQueueFull                  // the queue exceeded a bound, and this was its least valuable request
	ReasonQueueTimeout               // it was queued for MaxPendingTime
	reasonCount
)

// String returns the reason as operators see it.
func (r Reason) String() string { return []string{"too late", "no room", "too long"}[r] }

// Actions returns the actions that were requested since the last call.
func (t *Tracker) Actions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// HasActions reports whether Actions would return any.
func (t *Tracker) HasActions() bool { return len(t.actions) > 0 }

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }
