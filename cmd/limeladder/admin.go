package main

import (
	"fmt"
	"net"

	"limeladder/internal/adminapi"
)

// requestedByOperator is how the audit record names operators.
const requestedByOperator = "operator"

// startAdminAPI opens the listener for operators' calls. An empty address leaves it off.
func (d *daemon) startAdminAPI(address string) error {
	if address == "" {
		return nil
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", adminListenSetting, err)
	}
	server := adminapi.New(d.loop, d.limits, d.log, d)
	// Calls enter the loop ahead of clients' work, because operators must reach a router that is overloaded.
	listener := d.engine.Serve(socket, d.limits.AdminAPI.Connections, d.loop.PostUrgent, d.log, server.Accept)
	d.log.Info("listening", "listener", adminListenSetting, "address", listener.Addr().String())
	return nil
}

// Takes implements adminapi.Router.
func (d *daemon) AcceptsClients() bool { return d.listeners.platform().AcceptsClients() }

// Suspend implements adminapi.Router. The operator is answered once the suspension is in the shared state, because it
// must hold in the next process too.
func (d *daemon) SetSuspended(id string, suspended bool, done func(known bool)) {
	if !d.knownEndpoints.contains(id) {
		done(false)
		return
	}
	d.setSuspended(id, suspended, requestedByOperator)
	d.hotRestart.shared.SetSuspended(id, suspended, func() { d.loop.PostUrgent(func() { done(true) }) })
}

// setSuspended suspends an endpoint or resumes it.
func (d *daemon) setSuspended(id string, suspended bool, requestedBy string) {
	state := "resumed"
	if suspended {
		state = "suspended"
	}
	d.log.Info(state, "endpoint", id)
	d.recording.endpointStateChanged(id, state, requestedBy)
	d.core.Suspend(id, suspended)
}

// Drain implements adminapi.Router.
func (d *daemon) SetDrained(drained bool, done func()) {
	d.setDrained(drained, requestedByOperator)
	d.hotRestart.shared.SetDrained(drained, func() { d.loop.PostUrgent(done) })
}
