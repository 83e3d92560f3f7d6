package failover

import "time"

// Action is something that the caller has to do. Actions are carried out in order.
type Action struct {
	Kind       ActionKind
	ID         string        // of the request: ActionRelease, ActionReject
	Endpoint   string        // ActionHealthCheck
	Group      int64         // all but ActionHealthCheck
	RetryAfter time.Duration // ActionReject: when the client may try again
	Reason     Reason        // ActionReject
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of actions.
const (
	ActionRelease      ActionKind = iota // give the request to the decision module
	ActionReject                         // answer the request as rejected, at once
	ActionHealthCheck                    // ask the endpoint for a load report
	ActionWithdraw                       // take the group's requests of Config.Classes back, and enqueue them
	ActionPhaseChanged                   // the group is in another phase
)

// Reason says why a request was rejected.
type Reason uint8

// The reasons.
const (
	ReasonDeadline     Reason = iota // an answer can't reach the client before its deadline
	ReasonQueueFull                  // the queue is over a bound, and this was its least valuable request
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

// HasActions says whether Actions would return any.
func (t *Tracker) HasActions() bool { return len(t.actions) > 0 }

func (t *Tracker) emit(a Action) { t.actions = append(t.actions, a) }
