package main

import (
	"fmt"
	"net"

	"limeladder/internal/adminapi"
)

// requestedByOperator identifies operators in the audit record as the source of a change.
const requestedByOperator = "operator"

// startAdminAPI opens the listener for operators' calls. It does nothing if address is empty.
func (d *daemon) startAdminAPI(address string) error {
	if address == "" {
		return nil
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", adminListenSetting, err)
	}
	server := adminapi.New(d.loop, d.limits, d.log, d)
	// Calls are posted ahead of clients' work, because operators must be able to reach an overloaded router.
	listener := d.engine.Serve(socket, d.limits.AdminAPI.Connections, d.loop.PostUrgent, d.log, server.Accept)
	d.log.Info("listening", "listener", adminListenSetting, "address", listener.Addr().String())
	return nil
}

// AcceptsClients implements adminapi.Router.
func (d *daemon) AcceptsClients() bool { return d.listeners.platform().AcceptsClients() }

// SetSuspended implements adminapi.Router. The operator gets a response once the suspension is written to the shared
// state, because it must still apply in the next process.
func (d *daemon) SetSuspended(id string, suspended bool, done func(known bool)) {
	if !d.knownEndpoints.contains(id) {
		done(false)
		return
	}
	d.setSuspended(id, suspended, requestedByOperator)
	d.hotRestart.shared.SetSuspended(id, suspended, func() { d.loop.PostUrgent(func() { done(true) }) })
}

// setSuspended suspends or resumes an endpoint.
func (d *daemon) setSuspended(id string, suspended bool, requestedBy string) {
	state := "resumed"
	if suspended {
		state = "suspended"
	}
	d.log.Info(state, "endpoint", id)
	d.recording.endpointStateChanged(id, state, requestedBy)
	d.core.Suspend(id, suspended)
}

// SetDrained implements adminapi.Router.
func (d *daemon) SetDrained(drained bool, done func()) {
	d.setDrained(drained, requestedByOperator)
	d.hotRestart.shared.SetDrained(drained, func() { d.loop.PostUrgent(done) })
}
