package store

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a connection between members selects its protocol.
const (
	protocolRaft    = 'R'
	protocolForward = 'W' // a forwarded write
)

const (
	maxForwardBytes = 1 << 20
	forwardTimeout  = 5 * time.Second
	// acceptRetryInterval is the pause after a failed accept, for example because no file descriptor is free.
	acceptRetryInterval = 10 * time.Millisecond

	frameLengthBytes = 4
	// forwardAccepted precedes the frame with the result. In the first version of the program it was the whole response.
	forwardAccepted = 1
)

var errForwardTooLong = errors.New("write too long")

// streamLayer listens on one address for both raft's connections and the writes that members forward to the leader. It
// implements raft.StreamLayer.
type streamLayer struct {
	net.Listener
	tls       *memberTLS // nil if connections between members are not encrypted
	apply     func(entry []byte) ([]byte, error)
	raftConns chan net.Conn
	quit      chan struct{}
	closeOnce sync.Once
	done      sync.WaitGroup
}

func listen(address string, authentication *memberTLS, apply func([]byte) ([]byte, error)) (*streamLayer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &streamLayer{
		Listener:  ln,
		tls:       authentication,
		apply:     apply,
		raftConns: make(chan net.Conn),
		quit:      make(chan struct{}),
	}
	s.done.Add(1)
	go s.acceptConnections()
	return s, nil
}

func (s *streamLayer) acceptConnections() {
	defer s.done.Done()
	for {
		conn, err := s.Listener.Accept()
		if err == nil {
			go s.handleConn(conn)
			continue
		}
		select {
		case <-s.quit:
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}

// handleConn reads the first byte of a connection and dispatches the connection by its protocol.
func (s *streamLayer) handleConn(plain net.Conn) {
	conn := s.tls.server(plain)
	conn.SetDeadline(time.Now().Add(forwardTimeout))
	var protocol [1]byte
	if _, err := io.ReadFull(conn, protocol[:]); err != nil {
		conn.Close()
		return
	}
	switch protocol[0] {
	case protocolRaft:
		s.passToRaft(conn)
	case protocolForward:
		s.handleForward(conn)
	default:
		conn.Close()
	}
}

func (s *streamLayer) passToRaft(conn net.Conn) {
	conn.SetDeadline(time.Time{})
	select {
	case s.raftConns <- conn:
	case <-s.quit:
		conn.Close()
	}
}

// handleForward applies one write of another member and responds with its result. A failed write gets no response: the
// other member treats its outcome as unknown and commits it again.
func (s *streamLayer) handleForward(conn net.Conn) {
	defer conn.Close()
	entry, err := readFrame(conn)
	if err != nil {
		return
	}
	result, err := s.apply(entry)
	if err != nil {
		return
	}
	_, _ = conn.Write(appendFrame([]byte{forwardAccepted}, result)) // a member that gets no response retries
}

// forward sends a write to the leader, waits until it is replicated, and returns its encoded result.
func (s *streamLayer) forward(leader string, entry []byte) ([]byte, error) {
	conn, err := s.dial(leader, forwardTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(forwardTimeout))
	if _, err := conn.Write(appendFrame([]byte{protocolForward}, entry)); err != nil {
		return nil, err
	}
	var accepted [1]byte
	if _, err := io.ReadFull(conn, accepted[:]); err != nil {
		return nil, err
	}
	return readFrame(conn)
}

// appendFrame appends the length of a payload as 4 bytes, and then the payload.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

func readFrame(r io.Reader) ([]byte, error) {
	var header [frameLengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxForwardBytes {
		return nil, errForwardTooLong
	}
	payload := make([]byte, length)
	_, err := io.ReadFull(r, payload)
	return payload, err
}

// dial connects to a member and authenticates it if TLS is configured.
func (s *streamLayer) dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return s.tls.client(conn, address, timeout)
}

// Accept returns the next connection of raft. It implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.raftConns:
		return conn, nil
	case <-s.quit:
		return nil, net.ErrClosed
	}
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := s.dial(string(address), timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{protocolRaft}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Close implements net.Listener. Both raft and the store call it.
func (s *streamLayer) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.quit)
		err = s.Listener.Close()
		s.done.Wait()
	})
	return err
}
