package main

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"limeladder/internal/config"
	"limeladder/internal/frontend"
	"limeladder/internal/frontend/extendedquery"
	"limeladder/internal/transport"
)

// The settings that hold the addresses of listeners, as errors and log lines name them.
const (
	platformListenSetting      = "listen"
	extendedQueryListenSetting = "extended.listen"
	adminListenSetting         = "operator"
)

// clientListener is a socket that clients connect to, with the frontend that holds its accepted connections.
type clientListener struct {
	*frontend.Frontend
	socket *transport.Listener
}

// listeners holds the client listeners and the state that decides whether they accept clients.
type listeners struct {
	open []clientListener // the platform's listener is the first

	// ready is true once the platform may send clients.
	ready bool
	// drained is true while the router is drained by operators.
	drained bool
	// inheritedSocket is true if the platform holds the listening socket, which the next process inherits too.
	inheritedSocket bool
}

// platform returns the listener that the platform sends clients to.
func (l *listeners) platform() clientListener { return l.open[0] }

// openConnections returns the number of connected clients.
func (l *listeners) openConnections() int {
	total := 0
	for _, listener := range l.open {
		total += listener.ConnectionCount()
	}
	return total
}

// startListeners opens the platform's listener and, if enabled in deploy/limeladder.toml, the extended-query one.
func (d *daemon) startListeners(cfg *config.Config) error {
	d.listeners.inheritedSocket = cfg.InheritedFD > 0
	socket, err := listenForPlatform(cfg.InheritedFD, cfg.Listen)
	if err != nil {
		return err
	}
	d.serveClients(platformListenSetting, cfg.InheritedFD, socket, frontend.NewSimpleQueryHandler)
	return d.startExtendedQueryListener()
}

// listenForPlatform returns the inherited socket or, if the descriptor is 0, a new one.
func listenForPlatform(inheritedDescriptor int, address string) (net.Listener, error) {
	if inheritedDescriptor == 0 {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", platformListenSetting, err)
		}
		return socket, nil
	}
	socket, err := transport.Inherit(inheritedDescriptor, address)
	if err != nil {
		return nil, fmt.Errorf("EDGE_INHERITED_FD: %w", err)
	}
	return socket, nil
}

// startExtendedQueryListener opens the listener for the extended-query protocol, if enabled in deploy/limeladder.toml.
// While another process of this router still listens at the address, it retries until the address is free.
func (d *daemon) startExtendedQueryListener() error {
	address := d.deploy.ExtendedQuery.Listen
	if address == "" || d.shutdown.listenersClosed {
		return nil
	}
	socket, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) && !d.hotRestart.shared.StartedAlone() {
		d.loop.AfterFunc(d.limits.HotRestart.PollInterval, d.retryExtendedQueryListener)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %w", extendedQueryListenSetting, err)
	}
	d.serveClients(extendedQueryListenSetting, 0, socket, extendedquery.NewHandler(d.core))
	return nil
}

// retryExtendedQueryListener calls startExtendedQueryListener in a running daemon, where a failure is logged and does
// not end the process.
func (d *daemon) retryExtendedQueryListener() {
	if err := d.startExtendedQueryListener(); err != nil {
		d.log.Error("extended-query listener not opened", "error", err)
	}
}

// serveClients starts to accept clients on a listening socket. newHandler returns the protocol handler of a connection.
func (d *daemon) serveClients(
	setting string,
	inheritedDescriptor int,
	socket net.Listener,
	newHandler func(*frontend.Conn) frontend.ProtocolHandler,
) {
	front := frontend.New(d.loop, d.limits, d.log, d.core, newHandler)
	if len(d.listeners.open) > 0 {
		front.ShareMemory(d.listeners.platform().Frontend)
	}
	if d.recording != nil {
		front.IdentifyClients()
	}
	front.SetDrained(d.listeners.drained)
	if d.listeners.ready {
		front.SetReady()
	}
	listener := d.engine.Serve(socket, d.acceptLimit(), d.loop.Post, d.log, front.Accept)
	d.log.Info("listening",
		"listener", setting, "address", listener.Addr().String(), "inherited", inheritedDescriptor)
	d.listeners.open = append(d.listeners.open, clientListener{front, listener})
}

// becomeReady makes the listeners accept clients. Calls after the first one do nothing.
func (d *daemon) becomeReady() {
	if d.listeners.ready {
		return
	}
	d.listeners.ready = true
	for _, listener := range d.listeners.open {
		listener.SetReady()
		listener.socket.Resize(d.acceptLimit())
	}
}

// setDrained drains the router or activates it again.
func (d *daemon) setDrained(drained bool, requestedBy string) {
	state := "activated"
	if drained {
		state = "drained"
	}
	d.log.Info(state)
	d.recording.routerStateChanged(state, requestedBy)
	d.listeners.drained = drained
	for _, listener := range d.listeners.open {
		listener.SetDrained(drained)
	}
}

// acceptLimit returns how many connections a listener may currently have. On a socket that two processes share, the new
// process accepts none until it is ready: it would have to route requests by the endpoint list of its configuration,
// which may be outdated, while the old process can still serve them.
func (d *daemon) acceptLimit() int {
	if d.awaitsFirstEndpointList() {
		return 0
	}
	return d.limits.Frontend.Connections
}

// awaitsFirstEndpointList reports whether the clients of a shared socket are still left to the other process, because
// this one is not ready.
func (d *daemon) awaitsFirstEndpointList() bool {
	return d.listeners.inheritedSocket && d.hotRestart.otherProcess && !d.listeners.ready
}
