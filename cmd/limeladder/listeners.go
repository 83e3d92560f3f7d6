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

// The settings that name the addresses of listeners, as errors and log lines call them.
const (
	platformListenSetting      = "listen"
	extendedQueryListenSetting = "extended.listen"
	adminListenSetting         = "operator"
)

// clientListener is one address where clients connect, with the connections that it has accepted.
type clientListener struct {
	*frontend.Frontend
	socket *transport.Listener
}

// listeners are the addresses where clients connect, and what decides whether clients may come.
type listeners struct {
	open []clientListener // the platform's is the first

	// ready says that the platform may send clients.
	ready bool
	// drained says that operators have drained the router.
	drained bool
	// inheritedSocket says that the platform holds the listening socket: the next process gets the same one.
	inheritedSocket bool
}

// platform returns the listener that the platform sends clients to.
func (l *listeners) platform() clientListener { return l.open[0] }

// openConnections returns how many clients are connected.
func (l *listeners) openConnections() int {
	total := 0
	for _, listener := range l.open {
		total += listener.ConnectionCount()
	}
	return total
}

// startListeners opens the platform's listener and, where deploy/limeladder.toml says so, the extended-query one.
func (d *daemon) startListeners(cfg *config.Config) error {
	d.listeners.inheritedSocket = cfg.InheritedFD > 0
	socket, err := listenForPlatform(cfg.InheritedFD, cfg.Listen)
	if err != nil {
		return err
	}
	d.serveClients(platformListenSetting, cfg.InheritedFD, socket, frontend.NewSimpleQueryHandler)
	return d.startExtendedQueryListener()
}

// listenForPlatform returns the socket that was inherited or, where the descriptor is 0, a new one.
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

// startExtendedQueryListener opens the listener for the extended-query protocol, if deploy/limeladder.toml says so.
// While another process of this router holds its address, it is retried until that process lets go.
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

// retryExtendedQueryListener is startExtendedQueryListener when the daemon runs already, where a failure is only
// logged.
func (d *daemon) retryExtendedQueryListener() {
	if err := d.startExtendedQueryListener(); err != nil {
		d.log.Error("extended-query listener not opened", "error", err)
	}
}

// serveClients accepts clients on a listening socket. newHandler returns the protocol handler of a connection.
func (d *daemon) serveClients(
	setting string,
	inheritedDescriptor int,
	socket net.Listener,
	newHandler func(*frontend.Conn) frontend.ProtocolHandler,
) {
	front := frontend.New(d.loop, d.limits, d.log, d.core, newHandler)
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

// becomeReady lets clients come. Calls after the first one do nothing.
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

// setDrained drains the router or ends that.
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

// acceptLimit returns how many connections a listener accepts now. On a socket that two processes share, the new
// process accepts none until it is ready, because requests would reach it while it knows no endpoint list but the one
// from its start, and the old process serves them meanwhile.
func (d *daemon) acceptLimit() int {
	if d.awaitsFirstEndpointList() {
		return 0
	}
	return d.limits.Frontend.Connections
}

// awaitsFirstEndpointList says that another process accepts the clients of the shared socket until this one is ready.
func (d *daemon) awaitsFirstEndpointList() bool {
	return d.listeners.inheritedSocket && d.hotRestart.otherProcess && !d.listeners.ready
}
