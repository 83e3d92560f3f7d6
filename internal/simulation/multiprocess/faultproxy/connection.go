package faultproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout     = 5 * time.Second // for connecting to the real destination
	chunkBytes      = 8 << 10         // the most that is read by one call
	chunksInTransit = 32              // for each direction; when full, reading stops and the sender is slowed down
)

// direction is one of the two ways in which a connection carries bytes.
type direction bool

const (
	toDestination direction = true
	toSource      direction = false
)

// proxiedConnection is one connection that the source has opened, and its counterpart to the destination.
type proxiedConnection struct {
	link         *Link
	sourceConn   net.Conn
	localAddress string // by which the destination sees it; set before the first byte is carried
	transitTime  TransitTime

	closeOnce sync.Once
	closed    chan struct{} // closed when nothing is carried any more

	mutex           sync.Mutex // guards the fields below
	destinationConn net.Conn   // nil until it is connected
	blackholed      bool
}

// run connects the destination and forwards both directions until both have ended.
func (connection *proxiedConnection) run() {
	defer connection.link.network.goroutines.Done()
	defer connection.release()
	// Opening a connection waits for the end of a cut like everything else that the source sends.
	if !connection.awaitDelivery(toDestination, 0, time.Time{}) {
		return
	}
	destinationConn, err := net.DialTimeout("tcp", connection.link.targetAddress(), dialTimeout)
	if err != nil {
		connection.reset() // as the destination's operating system would
		return
	}
	connection.mutex.Lock()
	connection.destinationConn = destinationConn
	connection.mutex.Unlock()
	connection.localAddress = destinationConn.LocalAddr().String()
	if connected := connection.link.observer.Connected; connected != nil {
		connected(connection.localAddress, &connection.transitTime)
	}
	var directions sync.WaitGroup
	directions.Go(func() { connection.forward(connection.sourceConn, destinationConn, toDestination) })
	directions.Go(func() { connection.forward(destinationConn, connection.sourceConn, toSource) })
	directions.Wait()
}

// chunk is what one read has returned.
type chunk struct {
	receivedAt time.Time
	data       []byte
	readErr    error // the direction ends after data when it is not nil
}

// forward carries one direction until it ends or the connection is closed.
func (connection *proxiedConnection) forward(from, to net.Conn, way direction) {
	chunks := make(chan chunk, chunksInTransit)
	go connection.read(from, way, chunks)
	for received := range chunks {
		if !connection.deliver(received, to, way) {
			return
		}
	}
}

// read sends what arrives from one side to chunks, which it closes after the side's end. It goes on reading after the
// connection was closed, because the observer is still notified when a side of a blackholed connection closes it.
func (connection *proxiedConnection) read(from net.Conn, way direction, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if err != nil && way == toDestination {
			connection.notifyAbandoned()
		}
		select {
		case chunks <- chunk{time.Now(), buffer[:count], err}:
		case <-connection.closed:
		}
		if err != nil {
			return
		}
	}
}

func (connection *proxiedConnection) notifyAbandoned() {
	if abandoned := connection.link.observer.Abandoned; abandoned != nil {
		abandoned(connection.localAddress)
	}
}

// deliver writes a chunk when it is due, and passes on a close or reset of the sending side. It reports whether the
// direction stays open.
func (connection *proxiedConnection) deliver(received chunk, to net.Conn, way direction) bool {
	if !connection.awaitDelivery(way, len(received.data), received.receivedAt) {
		return false
	}
	if way == toDestination {
		connection.transitTime.nanoseconds.Store(int64(time.Since(received.receivedAt)))
	}
	if len(received.data) > 0 {
		if _, err := to.Write(received.data); err != nil {
			connection.reset()
			return false
		}
	}
	switch {
	case received.readErr == nil:
		return true
	case errors.Is(received.readErr, syscall.ECONNRESET):
		connection.reset()
	default:
		if conn, ok := to.(*net.TCPConn); ok {
			conn.CloseWrite()
		}
	}
	return false
}

// awaitDelivery waits until size bytes that were received at a time may be delivered: until the direction is not cut,
// and for as long as its delay and rate require. A zero time means a connection attempt, whose delay begins now. It
// reports false when the connection is closed first.
func (connection *proxiedConnection) awaitDelivery(way direction, size int, receivedAt time.Time) bool {
	delayed := false
	for {
		impairment, changed, wait := connection.link.drawDelay(way)
		if impairment.Rate > 0 {
			wait += time.Duration(size) * time.Second / time.Duration(impairment.Rate)
		}
		if impairment.Cut {
			select {
			case <-changed:
				continue
			case <-connection.closed:
				return false
			}
		}
		if !receivedAt.IsZero() && impairment.Rate == 0 {
			wait -= time.Since(receivedAt) // the time that the chunk spent queued counts towards the delay
		}
		if wait <= 0 || delayed {
			return !connection.isClosed()
		}
		select {
		case <-time.After(wait):
			delayed = true // the loop goes on because a cut may have begun meanwhile
		case <-connection.closed:
			return false
		}
	}
}

// drawDelay returns a direction's impairment, a channel that is closed when it changes, and the delay of one chunk with
// its jitter.
func (link *Link) drawDelay(way direction) (impairment Impairment, changed <-chan struct{}, delay time.Duration) {
	network := link.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	impairment = link.backward
	if way == toDestination {
		impairment = link.forward
	}
	delay = impairment.Delay
	if impairment.Jitter > 0 {
		delay += time.Duration(network.rng.Int64N(int64(impairment.Jitter) + 1))
	}
	return impairment, link.impairmentsChanged, delay
}

func (connection *proxiedConnection) isClosed() bool {
	select {
	case <-connection.closed:
		return true
	default:
		return false
	}
}

func (connection *proxiedConnection) markClosed() {
	connection.closeOnce.Do(func() { close(connection.closed) })
}

// reset closes both sides with a TCP reset, except those of a blackholed connection.
func (connection *proxiedConnection) reset() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.blackholed {
		return
	}
	for _, side := range []net.Conn{connection.sourceConn, connection.destinationConn} {
		if conn, ok := side.(*net.TCPConn); ok && conn != nil {
			conn.SetLinger(0)
		}
	}
	connection.markClosed()
	connection.closeSides()
}

// blackhole stops carrying and leaves both sides open until the network is closed.
func (connection *proxiedConnection) blackhole() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.blackholed = true
	connection.markClosed()
}

// clearBlackhole lets a reset close the connection again.
func (connection *proxiedConnection) clearBlackhole() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.blackholed = false
}

// release closes a connection that no longer carries data. A blackholed connection stays open and registered, so that
// Network.Close finds it.
func (connection *proxiedConnection) release() {
	connection.mutex.Lock()
	if connection.blackholed {
		connection.mutex.Unlock()
		return
	}
	connection.markClosed()
	connection.closeSides()
	connection.mutex.Unlock()
	connection.link.unregister(connection)
}

// closeSides closes both sides. The caller holds the mutex.
func (connection *proxiedConnection) closeSides() {
	connection.sourceConn.Close()
	if connection.destinationConn != nil {
		connection.destinationConn.Close()
	}
}
