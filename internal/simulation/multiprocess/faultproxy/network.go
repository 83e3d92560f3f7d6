package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// jitterStream is the second word of the seed of a network's jitter, which makes it independent of the random numbers
// of other packages.
const jitterStream = 17

// Impairment is what happens to the bytes of one direction of a link. The zero value is a healthy direction.
type Impairment struct {
	Cut    bool          // sent bytes are held until the cut ends, and neither side is notified
	Delay  time.Duration // added to each chunk
	Jitter time.Duration // the most that is added at random to each chunk on top of Delay
	Rate   int           // bytes per second; 0 means unlimited
}

// combine returns the effect of two impairments of the same direction: delays add up and the lower rate holds.
func (impairment Impairment) combine(other Impairment) Impairment {
	combined := Impairment{
		Cut:    impairment.Cut || other.Cut,
		Delay:  impairment.Delay + other.Delay,
		Jitter: impairment.Jitter + other.Jitter,
		Rate:   impairment.Rate,
	}
	if impairment.Rate == 0 || other.Rate > 0 && other.Rate < impairment.Rate {
		combined.Rate = other.Rate
	}
	return combined
}

// Peer is an end of a link: the name of a process or server, and its site.
type Peer struct{ Name, Site string }

// Matches reports whether a script's pattern names the peer. A pattern is a peer's name, a site, * for every peer, or
// !PATTERN for every peer that PATTERN does not name.
func (peer Peer) Matches(pattern string) bool {
	if excluded, ok := strings.CutPrefix(pattern, "!"); ok {
		return !peer.Matches(excluded)
	}
	return pattern == "*" || pattern == peer.Name || pattern == peer.Site
}

// scopedImpairment is an impairment and the patterns that select the directions that it applies to.
type scopedImpairment struct {
	sourcePattern      string
	destinationPattern string
	impairment         Impairment
}

// appliesTo reports whether the direction from one peer to another is selected.
func (scoped scopedImpairment) appliesTo(source, destination Peer) bool {
	return source.Matches(scoped.sourcePattern) && destination.Matches(scoped.destinationPattern)
}

// Network holds the links of a multi-process test and the impairments in effect.
type Network struct {
	mutex       sync.Mutex // guards the fields below, and the links' impairments and connections
	links       []*Link
	impairments map[string]scopedImpairment // by "SOURCE>DESTINATION"
	rng         *rand.Rand
	closed      bool

	goroutines sync.WaitGroup
}

// New returns a Network without links whose jitter is drawn from a seed.
func New(seed uint64) *Network {
	return &Network{
		impairments: map[string]scopedImpairment{},
		rng:         rand.New(rand.NewPCG(seed, jitterStream)),
	}
}

// AddLink starts a proxy on a loopback address of its own, which source dials to reach destination. targetAddress is
// called for each connection and returns the address of the real destination. The error is that of listening.
func (network *Network) AddLink(
	source, destination Peer, targetAddress func() string, observer Observer,
) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link %s>%s: %w", source.Name, destination.Name, err)
	}
	link := &Link{
		Source:             source,
		Destination:        destination,
		Address:            listener.Addr().String(),
		network:            network,
		targetAddress:      targetAddress,
		listener:           listener,
		connections:        map[*proxiedConnection]bool{},
		impairmentsChanged: make(chan struct{}),
		observer:           observer,
	}
	network.mutex.Lock()
	network.links = append(network.links, link)
	network.updateImpairments(link)
	network.mutex.Unlock()
	network.goroutines.Add(1)
	go link.accept()
	return link, nil
}

// SetImpairment sets what happens to all directions from a peer that matches the first pattern to a peer that matches
// the second one, and replaces an earlier impairment with the same two patterns. The zero Impairment removes it.
func (network *Network) SetImpairment(sourcePattern, destinationPattern string, impairment Impairment) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	key := sourcePattern + ">" + destinationPattern
	if impairment == (Impairment{}) {
		delete(network.impairments, key)
	} else {
		network.impairments[key] = scopedImpairment{sourcePattern, destinationPattern, impairment}
	}
	for _, link := range network.links {
		network.updateImpairments(link)
	}
}

// ClearImpairments removes all impairments.
func (network *Network) ClearImpairments() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	clear(network.impairments)
	for _, link := range network.links {
		network.updateImpairments(link)
	}
}

// updateImpairments works out both directions of a link and wakes the connections that wait on it if one has changed.
// The caller holds the mutex.
func (network *Network) updateImpairments(link *Link) {
	var forward, backward Impairment
	for _, scoped := range network.impairments {
		if scoped.appliesTo(link.Source, link.Destination) {
			forward = forward.combine(scoped.impairment)
		}
		if scoped.appliesTo(link.Destination, link.Source) {
			backward = backward.combine(scoped.impairment)
		}
	}
	if forward == link.forward && backward == link.backward {
		return
	}
	link.forward = forward
	link.backward = backward
	close(link.impairmentsChanged)
	link.impairmentsChanged = make(chan struct{})
}

// Impaired reports whether either direction of the link between two peers, given by name, is impaired now.
func (network *Network) Impaired(source, destination string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, link := range network.links {
		if link.Source.Name == source && link.Destination.Name == destination {
			return link.forward != Impairment{} || link.backward != Impairment{}
		}
	}
	return false
}

// ResetConnections closes the open connections between the peers that match two patterns, with a TCP reset at both
// sides.
func (network *Network) ResetConnections(onePattern, otherPattern string) {
	for _, connection := range network.connectionsBetween(onePattern, otherPattern) {
		connection.reset()
	}
}

// BlackholeConnections makes the open connections between the peers that match two patterns silent permanently: both
// sides stay open and nothing is carried, as when a server is lost and another one takes over its address.
func (network *Network) BlackholeConnections(onePattern, otherPattern string) {
	for _, connection := range network.connectionsBetween(onePattern, otherPattern) {
		connection.blackhole()
	}
}

// connectionsBetween returns the open connections of all links between peers that match two patterns, in either order.
func (network *Network) connectionsBetween(onePattern, otherPattern string) []*proxiedConnection {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	var connections []*proxiedConnection
	for _, link := range network.links {
		if !link.isBetween(onePattern, otherPattern) {
			continue
		}
		for connection := range link.connections {
			connections = append(connections, connection)
		}
	}
	return connections
}

// Close stops all links, resets all connections, including blackholed ones, and waits until their goroutines have
// ended.
func (network *Network) Close() {
	network.mutex.Lock()
	network.closed = true
	var connections []*proxiedConnection
	for _, link := range network.links {
		link.listener.Close()
		for connection := range link.connections {
			connections = append(connections, connection)
		}
	}
	network.mutex.Unlock()
	for _, connection := range connections {
		connection.clearBlackhole()
		connection.reset()
	}
	network.goroutines.Wait()
}
