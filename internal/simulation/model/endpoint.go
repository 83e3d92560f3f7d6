package model

import (
	"time"

	"limeladder/internal/simulation/event"
)

// State is whether an endpoint serves.
type State uint8

// The states of an endpoint.
const (
	Up   State = iota
	Hung       // it keeps its connections and answers nothing
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
	cause      string // why it isn't up
	draining   bool
	removed    bool
	wasPrimary bool // it is the primary of its group, or was
	replica    replica

	slowStart   slowStart
	speedFactor float64 // share of its speed that other load on its host leaves it
	overload    overload
	connections int
	epoch       int // of its connections; it grows when they break
	load        loadMeter

	running        runningStatements
	queue          []*Statement
	progress       float64 // work that each running statement has got, in seconds, since the endpoint was added
	advancedAt     time.Duration
	nextCompletion *event.Event
	served         uint64
	workDone       float64 // seconds of a core
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

// State returns whether the endpoint is up, hangs or is down.
func (e *Endpoint) State() State { return e.state }

// WarmingUp reports whether the endpoint hasn't reached its full capacity since its start.
func (e *Endpoint) WarmingUp() bool { return e.slowStart.active }

// Draining reports whether the endpoint is about to leave.
func (e *Endpoint) Draining() bool { return e.draining }

// Removed reports whether the endpoint has left, or hasn't joined yet.
func (e *Endpoint) Removed() bool { return e.removed }

// WasPrimary reports whether the endpoint is or was the primary of its group.
func (e *Endpoint) WasPrimary() bool { return e.wasPrimary }

// Cause says why the endpoint isn't up; it is empty while it is.
func (e *Endpoint) Cause() string { return e.cause }

// Running returns how many statements run.
func (e *Endpoint) Running() int { return len(e.running) }

// Queued returns how many statements wait for a slot.
func (e *Endpoint) Queued() int { return len(e.queue) }

// Connections returns how many connections are open.
func (e *Endpoint) Connections() int { return e.connections }

// Served returns how many statements have run to their end.
func (e *Endpoint) Served() uint64 { return e.served }

// IsPrimary reports whether the endpoint is the primary of its group.
func (e *Endpoint) IsPrimary() bool { return e.Group.Primary == e }

// StartedAt returns when the endpoint was started last; 0 means that it has been up since the world began.
func (e *Endpoint) StartedAt() time.Duration { return e.slowStart.startedAt }

// Epoch returns the epoch of the present connections. Those of another epoch are broken.
func (e *Endpoint) Epoch() int { return e.epoch }

// WorkDone returns the work that the endpoint has done, in seconds of a core.
func (e *Endpoint) WorkDone() float64 {
	e.advance()
	return e.workDone
}

// now returns the virtual time.
func (e *Endpoint) now() time.Duration { return e.world.Clock.Now() }
