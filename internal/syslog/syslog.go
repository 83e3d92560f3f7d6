// Package syslog sends events as RFC 5424 messages with structured data, over UDP to a loopback address. A sender
// never waits: what does not fit is dropped and counted.
package syslog

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"
)

// The fixed parts of a message: facility daemon (3), severity notice (5), and the enterprise number that RFC 5612
// sets aside for examples, since the project has none of its own.
const (
	priority = 3*8 + 5
	app      = "limeladder"
	sdID     = "event@32473"
)

// Sender holds a bounded queue and the socket behind it.
type Sender struct {
	conn    net.Conn
	host    string
	router  string
	most    int
	queue   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// New opens the socket. queue is the number of events that may wait, most the bytes of one message.
func New(addr, router string, queue, most int) (*Sender, error) {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("syslog: %w", err)
	}
	host, err := os.Hostname()
	if err != nil {
		host = ""
	}
	s := &Sender{conn: conn, host: name(host, 255), router: router, most: most, queue: make(chan []byte, queue)}
	s.done.Add(1)
	go s.run()
	return s, nil
}

func (s *Sender) run() {
	defer s.done.Done()
	for p := range s.queue {
		if _, err := s.conn.Write(p); err != nil {
			s.dropped.Add(1) // nobody listens just now
		}
	}
}

// Event queues an event with its parameters, names and values by turns. It never blocks. Only one goroutine may
// call it, and not after Close.
func (s *Sender) Event(event string, pairs ...string) {
	if n := s.dropped.Load(); n > 0 {
		pairs = append(pairs[:len(pairs):len(pairs)], "dropped", strconv.FormatUint(n, 10))
	}
	pairs = append(pairs[:len(pairs):len(pairs)], "router", s.router)
	select {
	case s.queue <- Format(time.Now(), s.host, os.Getpid(), s.most, event, pairs...):
	default:
		s.dropped.Add(1)
	}
}

// Dropped is the number of events that were not sent.
func (s *Sender) Dropped() uint64 { return s.dropped.Load() }

// Close sends what waits and closes the socket.
func (s *Sender) Close() {
	close(s.queue)
	s.done.Wait()
	s.conn.Close()
}

// Format writes one message of at most so many bytes; a parameter that does not fit is cut or left out.
func Format(at time.Time, host string, pid, most int, event string, pairs ...string) []byte {
	head := fmt.Sprintf("<%d>1 %s %s %s %d %s [%s", priority, at.UTC().Format("2006-01-02T15:04:05.000000Z"),
		name(host, 255), app, pid, name(event, 32), sdID)
	b := []byte(head)
	for i := 0; i+1 < len(pairs); i += 2 {
		key := name(pairs[i], 32)
		room := most - len(b) - len(key) - len(` =""]`)
		if room < 0 {
			break
		}
		b = append(b, ' ')
		b = append(append(b, key...), '=', '"')
		b = append(append(b, value(pairs[i+1], room)...), '"')
	}
	return append(b, ']')
}

// name keeps the printable ASCII that a name may hold.
func name(s string, most int) string {
	out := strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || r == '=' || r == ']' || r == '"' {
			return -1
		}
		return r
	}, s)
	if out == "" {
		return "-"
	}
	return out[:min(len(out), most)]
}

// value escapes a parameter's value, and cuts it where its escaped form would pass most bytes.
func value(s string, most int) string {
	var b strings.Builder
	for _, r := range strings.ToValidUTF8(s, "\uFFFD") {
		n := utf8.RuneLen(r)
		if r == '"' || r == '\\' || r == ']' {
			n++
		}
		if b.Len()+n > most {
			break
		}
		if r == '"' || r == '\\' || r == ']' {
			b.WriteByte('\\')
		}
		b.WriteRune(r)
	}
	return b.String()
}
