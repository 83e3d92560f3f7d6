package faultproxy

import (
	"net"
	"sync/atomic"
	"time"
)

// Link is the proxy between one peer and another one that it dials.
type Link struct {
	Source      Peer   // dials
	Destination Peer   // is dialed
	Address     string // where Source reaches Destination through the proxy

	network       *Network
	targetAddress func() string
	listener      net.Listener
	observer      Observer

	// These are guarded by the network's mutex.
	connections        map[*proxiedConnection]bool
	impairmentsChanged chan struct{} // closed and replaced when forward or backward changes
	forward            Impairment    // from Source to Destination
	backward           Impairment    // from Destination to Source
}

// Observer is notified of a link's connections by its functions, which may be nil. The local address is the one by
// which the destination sees a connection. The functions are called on the connection's own goroutines.
type Observer struct {
	// Connected is called once the destination is connected, before anything is sent to it.
	Connected func(localAddress string, transitTime *TransitTime)

	// Abandoned is called once the source has closed the connection or ended its sending, whether or not the
	// destination can detect it.
	Abandoned func(localAddress string)
}

// TransitTime holds how long the newest chunk that reached the destination of a connection was inside the proxy. Any
// goroutine may read it.
type TransitTime struct{ nanoseconds atomic.Int64 }

// Last returns the newest chunk's time in the proxy, zero before the first one.
func (t *TransitTime) Last() time.Duration { return time.Duration(t.nanoseconds.Load()) }

// isBetween reports whether the link joins two peers that match the patterns, in either order.
func (link *Link) isBetween(onePattern, otherPattern string) bool {
	asGiven := link.Source.Matches(onePattern) && link.Destination.Matches(otherPattern)
	swapped := link.Source.Matches(otherPattern) && link.Destination.Matches(onePattern)
	return asGiven || swapped
}

// accept runs the connections that the source opens until the listener is closed.
func (link *Link) accept() {
	defer link.network.goroutines.Done()
	for {
		sourceConn, err := link.listener.Accept()
		if err != nil {
			return
		}
		connection := &proxiedConnection{link: link, sourceConn: sourceConn, closed: make(chan struct{})}
		if !link.register(connection) {
			sourceConn.Close()
			return
		}
		go connection.run()
	}
}

// register adds a connection to the link. It reports false when the network has been closed meanwhile.
func (link *Link) register(connection *proxiedConnection) bool {
	network := link.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.closed {
		return false
	}
	link.connections[connection] = true
	network.goroutines.Add(1)
	return true
}

// unregister removes a connection that has ended.
func (link *Link) unregister(connection *proxiedConnection) {
	link.network.mutex.Lock()
	defer link.network.mutex.Unlock()
	delete(link.connections, connection)
}
