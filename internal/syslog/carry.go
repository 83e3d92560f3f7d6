package syslog

// What the goroutine of a Sender does: connect, write, settle what was acknowledged, and put back what was not.

import (
	"crypto/tls"
	"fmt"
	"time"

	"limeladder/internal/spool"
)

// ending says whether Close was called, and whether its time is over.
func (s *Sender) ending() (closing, over bool) {
	select {
	case <-s.quit:
		return true, s.ctx.Err() != nil
	default:
		return false, false
	}
}

// run is the goroutine that talks to collectors.
func (s *Sender) run() {
	defer close(s.done)
	var k *link
	defer func() {
		if k != nil {
			s.drop(k, true)
		}
	}()
	for {
		closing, over := s.ending()
		if over {
			return
		}
		if s.changed() && k != nil {
			s.drop(k, true)
			k = nil
		}
		s.sync()
		if k == nil {
			if closing && s.idle() {
				return
			}
			if k = s.connect(); k == nil {
				continue
			}
		}
		s.settle(k)
		if k.ended.Load() {
			s.failed(k, nil)
			k = nil
			continue
		}
		if time.Since(k.since) > s.opt.Stall {
			s.turn.Held(s.using)
			s.short = 0
		}
		if s.using > 0 && time.Since(k.since) > s.opt.Prefer && s.turn.Better(s.using, time.Since(s.start)) {
			s.drop(k, true)
			k = nil
			continue
		}
		f, wait := s.next()
		if f == nil {
			if closing && s.idle() {
				return
			}
			s.pause(wait)
			continue
		}
		if err := s.send(k, f); err != nil {
			s.failed(k, err)
			k = nil
		}
	}
}

// pause waits for something to do.
func (s *Sender) pause(most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	quit := s.quit
	if closing, _ := s.ending(); closing {
		quit = nil
	}
	select {
	case <-s.wake:
	case <-t.C:
	case <-quit:
	case <-s.ctx.Done():
	}
}

// idle says whether nothing waits that could be sent.
func (s *Sender) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) == 0 && len(s.flight) == 0 && (s.own == nil || s.own.Empty())
}

// changed takes over the collectors that Change has set, and says whether there were any.
func (s *Sender) changed() bool {
	next := s.pendingChange.Swap(nil)
	if next == nil {
		return false
	}
	s.opt.Collectors = next.collectors
	s.opt.TLS = next.tls
	s.turn = *NewFailover(len(s.opt.Collectors), s.opt.Seed, s.opt.First, s.opt.Last)
	return true
}

// connect tries the next collector, or waits until one may be tried.
func (s *Sender) connect() *link {
	now := time.Since(s.start)
	i, wait := s.turn.Next(now)
	if i < 0 {
		s.pause(min(wait, time.Second))
		return nil
	}
	c := s.opt.Collectors[i]
	k, err := dial(s.ctx, c, s.opt.TLS, s.opt.Connect, s.opt.Window)
	if err != nil {
		s.turn.Failed(i, time.Since(s.start))
		if s.ctx.Err() == nil {
			s.log.Warn("syslog: no connection", "collector", c.String(), "err", err)
		}
		return nil
	}
	s.using = i
	s.connects.Add(1)
	s.connected.Store(true)
	if !k.udp {
		s.log.Info("syslog: connected", "collector", c.String())
	}
	s.mu.Lock()
	s.link = k
	s.mu.Unlock()
	return k
}

// next picks what goes out next: what waits in memory, then the process's own spool, then what others have left.
func (s *Sender) next() (f *flight, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = 50 * time.Millisecond
	if len(s.flight) > 0 {
		// Guards the loop's timers: where the program has one processor, whoever wakes it between two of them makes the next
		// one late, since waiting is rounded to milliseconds. One that acknowledges nothing is looked at less and less.
		wait = min(wait, 2*time.Millisecond<<min(s.still/8, 5))
		s.still++
	}
	if n, size := 0, 0; len(s.waiting) > 0 {
		for n < len(s.waiting) && (n == 0 || size+len(s.waiting[n])+8 <= chunk) {
			size += len(s.waiting[n]) + 8
			n++
		}
		f = &flight{msgs: s.waiting[:n:n]}
		s.waiting = s.waiting[n:]
		if len(s.waiting) == 0 {
			s.waiting = nil
		}
		return f, 0
	}
	now := time.Now()
	most := 1 << 20
	if s.opt.Replay > 0 {
		s.tokens = min(float64(s.opt.Replay), s.tokens+now.Sub(s.filled).Seconds()*float64(s.opt.Replay))
		most = int(s.tokens)
	}
	s.filled = now
	for _, from := range append([]*spool.Spool{s.own}, s.left...) {
		if from == nil || most == 0 {
			continue
		}
		msgs, err := from.Next(nil, min(most, chunk/64), chunk-1024)
		if err != nil {
			s.fault(err)
			continue
		}
		if len(msgs) == 0 {
			continue
		}
		s.tokens -= float64(len(msgs))
		f = &flight{msgs: msgs, from: from, off: from.Reading()}
		for _, m := range msgs {
			f.off -= int64(len(m) + spool.Overhead)
		}
		return f, 0
	}
	s.tidy()
	return nil, wait
}

// tidy lets go of folders that others have left and that are delivered.
func (s *Sender) tidy() {
	rest := s.left[:0]
	for _, o := range s.left {
		if o.Empty() {
			s.skipped.Add(uint64(o.Skipped()))
			_ = o.Remove() // a folder that stays is empty, and the next start removes it
		} else {
			rest = append(rest, o)
		}
	}
	clear(s.left[len(rest):])
	s.left = rest
}

// send writes a chunk.
func (s *Sender) send(k *link, f *flight) error {
	if k.udp {
		n, err := k.packets(f.msgs)
		s.arrived(f, n)
		if err != nil {
			f.msgs = f.msgs[n:]
			s.again([]flight{*f}, nil)
		}
		return err
	}
	s.frame = s.frame[:0]
	at := k.wrote.n
	_, secret := k.conn.(*tls.Conn)
	for _, m := range f.msgs {
		s.frame = Frame(s.frame, m)
		if !secret {
			f.ends = append(f.ends, at+int64(len(s.frame)))
		}
	}
	s.flight = append(s.flight, *f)
	within := s.opt.Stall
	if closing, _ := s.ending(); closing {
		within = min(within, time.Until(s.until))
	}
	err := k.write(s.frame, within)
	if secret {
		// A record that was not written whole has not arrived.
		s.flight[len(s.flight)-1].ends = []int64{k.wrote.n}
		if err != nil {
			s.flight[len(s.flight)-1].ends[0]++
		}
	}
	return err
}

// settle books what is acknowledged.
func (s *Sender) settle(k *link) {
	if len(s.flight) == 0 {
		return
	}
	acked := k.acked()
	for len(s.flight) > 0 {
		f := &s.flight[0]
		n := 0
		for n < len(f.ends) && f.ends[n] <= acked {
			n++
		}
		if n > 0 && len(f.ends) == 1 {
			n = len(f.msgs) // a chunk of TLS
		}
		s.arrived(f, n)
		if n < len(f.msgs) {
			f.msgs, f.ends = f.msgs[n:], f.ends[n:]
			return
		}
		s.flight = s.flight[1:]
	}
	s.flight = nil
}

// arrived enters the first n messages of a chunk as delivered.
func (s *Sender) arrived(f *flight, n int) {
	if n == 0 {
		return
	}
	s.sent.Add(uint64(n))
	s.still = 0
	s.mu.Lock()
	for _, m := range f.msgs[:n] {
		if f.from == nil {
			s.bytes -= len(m)
		} else {
			f.off += int64(len(m) + spool.Overhead)
		}
	}
	if f.from != nil {
		f.from.Delivered(f.off)
	}
	s.mu.Unlock()
	if s.opt.Repeat > 0 {
		for _, m := range f.msgs[:n] {
			s.recent = append(s.recent, m)
			s.kept += len(m)
		}
		for s.kept > s.opt.Repeat {
			s.kept -= len(s.recent[0])
			s.recent = s.recent[1:]
		}
	}
}

// again puts back what has not arrived, oldest first, and in front of it what is repeated.
func (s *Sender) again(rest []flight, repeat [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var front [][]byte
	for _, m := range repeat {
		front = append(front, m)
		s.bytes += len(m)
	}
	for _, f := range rest {
		if f.from != nil {
			f.from.Again()
			continue
		}
		front = append(front, f.msgs...)
	}
	s.waiting = append(front, s.waiting...)
	s.shelve()
}

// shelve moves what waits in memory to the front of the spool, where it outlives the process.
func (s *Sender) shelve() {
	if s.own == nil || len(s.waiting) == 0 || s.link != nil || s.failing() {
		return
	}
	if err := s.own.Front(s.waiting); err != nil {
		s.fault(err)
		return
	}
	for _, m := range s.waiting {
		s.bytes -= len(m)
	}
	s.spooled.Add(uint64(len(s.waiting)))
	s.waiting = nil
}

// failed ends a connection that broke; nil is the collector's own close.
func (s *Sender) failed(k *link, err error) {
	s.turn.Failed(s.using, time.Since(s.start))
	if !k.udp {
		s.log.Warn("syslog: connection ended", "collector", s.opt.Collectors[s.using].String(), "err", fmt.Sprint(err))
	}
	s.drop(k, false)
}

// drop ends a connection and puts back what had not arrived. finish says that all is well with it: what is written is
// waited for.
func (s *Sender) drop(k *link, finish bool) {
	s.mu.Lock()
	s.link = nil
	s.mu.Unlock()
	s.connected.Store(false)
	if k.udp {
		k.raw.Close()
		s.again(nil, nil)
		return
	}
	orderly := finish || k.ended.Load() && k.orderly.Load()
	if orderly {
		within := min(s.opt.Stall, finishing)
		if _, over := s.ending(); over {
			within = finishing / 10
		}
		k.finish(within)
	}
	s.settle(k)
	if len(s.flight) > 0 {
		// What is not acknowledged is sent again elsewhere: the system must not go on sending it in the background.
		k.quiet(quieting)
		s.settle(k)
		k.abandon()
	}
	k.raw.Close()
	var repeat [][]byte
	if !orderly {
		// What the other system has acknowledged its program may never have read.
		// Guards against one that resets again and again before it has read what is repeated: it gets half as much each time,
		// so that the newer ones come to it at all.
		repeat = s.recent
		for most := s.opt.Repeat >> min(s.short, 30); s.kept > most; repeat = repeat[1:] {
			s.kept -= len(repeat[0])
		}
		s.short++
		s.repeated.Add(uint64(len(repeat)))
	}
	s.recent, s.kept = nil, 0
	rest := s.flight
	s.flight = nil
	s.again(rest, repeat)
}

// sync hands the spool to the disk once a second.
func (s *Sender) sync() {
	if s.own == nil || time.Since(s.synced) < time.Second {
		return
	}
	s.synced = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.adopted) > adopting {
		s.adopted = time.Now()
		left, err := spool.Adopt(s.opt.Spool, s.opt.Disk)
		if err != nil {
			s.fault(err)
		}
		s.left = append(s.left, left...)
	}
	if err := s.own.Sync(); err != nil {
		s.fault(err)
	}
	for _, o := range append([]*spool.Spool{s.own}, s.left...) {
		if !o.Empty() {
			if err := o.Keep(); err != nil {
				s.fault(err)
			}
		}
	}
}
