package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

const (
	longValue   = 1 << 20 // bytes
	longPrefix  = "long-"
	breakAfter  = 300 << 10 // bytes of the long value that come at once
	breakPause  = time.Second
	readsBehind = 8
)

// streamLong gives a long value in two parts. With trouble the process dies in place of the second part: all its
// connections are reset, and new ones are refused.
func (s *machineSession) streamLong(conn net.Conn, value string) error {
	header := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	s.out = pgwire.Append(s.out, 'T', rowDescription("data"))
	s.out = pgwire.Append(s.out, 'D', header, []byte(value))
	if _, err := conn.Write(s.out[:breakAfter]); err != nil {
		return err
	}
	rest := s.out[breakAfter:]
	s.out = nil
	time.Sleep(breakPause)
	if s.machine.w.trouble {
		s.machine.die()
		return net.ErrClosed
	}
	s.out = pgwire.Append(rest, 'C', []byte("SELECT 1\x00"))
	s.ready()
	return nil
}

// answersBehind: a client sends a read of a long value, and reads of short ones behind it on the same connection. The
// machine that gives the long value dies in the middle of it.
func answersBehind(w *world) error {
	machines, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	r, err := w.newRouter("n1", list.addr, "")
	if err != nil {
		return err
	}
	if err := r.start(); err != nil {
		return err
	}
	if !w.servesReads(r, "before", 20) {
		return errNotServed
	}
	c, err := dialClient(r.listen)
	if err != nil {
		return err
	}
	defer c.close()
	commands := pgwire.AppendQuery(nil, statement(longPrefix+"0", "audit-report", readTimeout))
	for i := range readsBehind {
		commands = pgwire.AppendQuery(commands, statement(fmt.Sprintf("short-%d", i), "audit-report", readTimeout))
	}
	if err := c.send(commands); err != nil {
		return err
	}
	w.logf("client: sent the read of a long value and %d reads behind it", readsBehind)
	first := c.until('Z', 2*readTimeout)
	w.logf("client: the long value: %d bytes, messages %q, end %v", len(first.value), first.types, first.end)
	answered := 0
	for range readsBehind {
		got := c.until('Z', readTimeout)
		w.logf("client: behind it: %s", got)
		if got.end == nil {
			answered++
		}
	}
	ran := 0
	for _, m := range machines {
		for _, got := range m.received() {
			if strings.HasPrefix(got.id, "short-") && got.ran {
				ran++
			}
		}
	}
	w.logf("of %d reads behind the long value %d have run and %d were answered", readsBehind, ran, answered)
	if ran > answered {
		return brokenf("%d reads were read, have run and got no answer", ran-answered)
	}
	return nil
}
