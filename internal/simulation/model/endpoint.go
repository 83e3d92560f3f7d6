package model

import (
	"time"

	"limeladder/internal/simulation/event"
)

// State is the running state of an endpoint.
type State uint8

// The states of an endpoint.
const (
	Up   State = iota
	Hung       // keeps its connections open and answers nothing
	Down
)

// Endpoint is one database server.
type Endpoint struct {
	ID    string
	Zone  string
	Spec  EndpointSpec
	Group *ReplicaGroup

	world      *World
	state      State
	cause      string // why it isn't up; empty while it is
	draining   bool
	removed    bool
	wasPrimary bool // is the primary of its group, or was before
	replica    replica

	slowStart   slowStart
	speedFactor float64 // share of Spec.Speed that other load on its host leaves available
	overload    overload
	connections int
	epoch       int // of its connections; incremented when they break
	load        loadMeter

	running        runningStatements
	queue          []*Statement
	progress       float64 // sum of statementRate over time, in core-seconds, since the endpoint was added
	advancedAt     time.Duration
	nextCompletion *event.Event
	served         uint64
	workDone       float64 // core-seconds
}

// AddEndpoint adds a warm endpoint to a replica group. The first one of a group is its primary.
func (world *World) AddEndpoint(id, zone string, spec EndpointSpec, group *ReplicaGroup) *Endpoint {
	e := &Endpoint{ID: id, Zone: zone, Spec: spec, Group: group, world: world, speedFactor: 1}
	e.replica.next = group.committed()
	world.Endpoints = append(world.Endpoints, e)
	group.Endpoints = append(group.Endpoints, e)
	if group.Primary == nil {
		group.Primary = e
		e.wasPrimary = true
	}
	return e
}

// State returns the running state: Up, Hung or Down.
func (e *Endpoint) State() State { return e.state }

// WarmingUp reports whether the endpoint hasn't reached its full capacity since its start.
func (e *Endpoint) WarmingUp() bool { return e.slowStart.active }

// Draining reports whether the endpoint has announced that it will leave.
func (e *Endpoint) Draining() bool { return e.draining }

// Removed reports whether the endpoint was removed, or is a spare that hasn't joined yet.
func (e *Endpoint) Removed() bool { return e.removed }

// WasPrimary reports whether the endpoint is or was the primary of its group.
func (e *Endpoint) WasPrimary() bool { return e.wasPrimary }

// Cause returns why the endpoint isn't up, or an empty string if it is.
func (e *Endpoint) Cause() string { return e.cause }

// Running returns the number of running statements.
func (e *Endpoint) Running() int { return len(e.running) }

// Queued returns the number of statements that wait for a slot.
func (e *Endpoint) Queued() int { return len(e.queue) }

// Connections returns the number of open connections.
func (e *Endpoint) Connections() int { return e.connections }

// Served returns the number of statements that have run to completion.
func (e *Endpoint) Served() uint64 { return e.served }

// IsPrimary reports whether the endpoint is the primary of its group.
func (e *Endpoint) IsPrimary() bool { return e.Group.Primary == e }

// StartedAt returns when the endpoint was last started; 0 means that it has not restarted since it was added.
func (e *Endpoint) StartedAt() time.Duration { return e.slowStart.startedAt }

// Epoch returns the epoch of the current connections. Connections of other epochs are broken.
func (e *Endpoint) Epoch() int { return e.epoch }

// WorkDone returns the work that the endpoint has done so far, in core-seconds.
func (e *Endpoint) WorkDone() float64 {
	e.advance()
	return e.workDone
}

// now returns the virtual time.
func (e *Endpoint) now() time.Duration { return e.world.Clock.Now() }
