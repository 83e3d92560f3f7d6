// Package spool keeps messages on disk while nobody takes them: a queue of segments, each a run of checksummed records.
// A folder has one writer, which holds its lock; what a process that has died left there can be adopted and read, never
// written to. Nothing here is called from the loop.
package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Options bound a spool.
type Options struct {
	Segment int   // bytes after which a new segment begins
	Most    int64 // bytes of all segments together
	Message int   // bytes of the longest message
	// Create opens a new segment; nil is the file system's. Tests put failing disks here.
	Create func(path string) (File, error)
}

// File is what a segment is written to.
type File interface {
	io.Writer
	// Truncate cuts the file to a size.
	Truncate(size int64) error
	// Sync hands what was written to the disk.
	Sync() error
	// Close ends the writing.
	Close() error
}

// The errors of Append.
var (
	ErrFull   = errors.New("spool: full")
	ErrBroken = errors.New("spool: the disk does not take it")
)

// A record is a magic of two bytes, the message's length in four, the CRC-32C of the message in four, and the message.
const (
	magic  = 0x5ba7
	header = 10
	middle = 1 << 32 // the number of the first segment; lower ones are put in front
)

func table() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// Spool is one folder. One goroutine may append and another one read: the caller locks.
type Spool struct {
	dir  string
	opt  Options
	sums *crc32.Table
	lock *os.File
	segs []segment // oldest first
	out  File      // the newest segment, nil = none is open

	reading int64  // of the oldest segment, so much is read
	done    int64  // and so much is delivered
	buf     []byte // the oldest segment from base on, as far as it was read from the file
	base    int64
	in      *os.File
	skipped int64
	dirty   bool
}

type segment struct {
	n    uint64
	size int64
}

func (s *Spool) path(n uint64) string { return filepath.Join(s.dir, fmt.Sprintf("%016x.seg", n)) }

// Create makes the folder root/name and locks it for writing.
func Create(root, name string, opt Options) (*Spool, error) {
	dir := filepath.Join(root, name)
	for tries := 0; ; tries++ {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
		s, err := open(dir, opt)
		if err == nil {
			return s, nil
		}
		// Another process may be looking whether the empty folder is one that was left.
		if tries == 100 || !errors.Is(err, errHeld) {
			return nil, err
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// errHeld says that another process has the folder.
var errHeld = errors.New("spool: another process holds it")

// Adopt opens every folder below root whose writer has died, oldest name first. Two processes never hold the same one.
func Adopt(root string, opt Options) (left []*Spool, err error) {
	entries, err := os.ReadDir(root)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if !e.IsDir() {
			continue
		}
		s, err := open(filepath.Join(root, e.Name()), opt)
		if err != nil {
			continue // it is in use, or not readable
		}
		if s.Empty() {
			_ = s.Remove() // a folder that stays is empty, and the next start removes it
			continue
		}
		left = append(left, s)
	}
	return left, err
}

// unlock lets go of a folder. Nothing is ever written to its lock, so closing that has nothing to lose.
func unlock(lock *os.File) { _ = lock.Close() }

func open(dir string, opt Options) (*Spool, error) {
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		unlock(lock)
		return nil, errHeld
	}
	// Guards against a folder that its last owner has removed between the open and the lock.
	if i, err := os.Stat(lock.Name()); err != nil {
		unlock(lock)
		return nil, errHeld
	} else if j, err := lock.Stat(); err != nil || !os.SameFile(i, j) {
		unlock(lock)
		return nil, errHeld
	}
	if opt.Create == nil {
		opt.Create = func(path string) (File, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		}
	}
	s := &Spool{dir: dir, opt: opt, sums: table(), lock: lock}
	entries, err := os.ReadDir(dir)
	if err != nil {
		unlock(lock)
		return nil, fmt.Errorf("spool: %w", err)
	}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".seg")
		n, err := strconv.ParseUint(name, 16, 64)
		if info, err2 := e.Info(); ok && err == nil && err2 == nil {
			s.segs = append(s.segs, segment{n, info.Size()})
		}
	}
	slices.SortFunc(s.segs, func(a, b segment) int { return int(int64(a.n) - int64(b.n)) })
	if at, ok := s.cursor(); ok {
		for len(s.segs) > 0 && s.segs[0].n < at.n {
			s.removeOldest()
		}
		if len(s.segs) > 0 && s.segs[0].n == at.n {
			s.done = min(at.size, s.segs[0].size)
			s.reading = s.done
		}
	}
	s.skip()
	return s, nil
}

// Size is the number of bytes that are not delivered.
func (s *Spool) Size() (n int64) {
	for _, g := range s.segs {
		n += g.size
	}
	return n - s.done
}

// Empty says whether all is delivered.
func (s *Spool) Empty() bool { return s.Size() == 0 }

// Skipped is the number of bytes that were passed over because they were no whole record.
func (s *Spool) Skipped() int64 { return s.skipped }

// Append adds messages in order and says how many it took. ErrFull says that the bound is reached, ErrBroken that the
// disk has refused; nothing of the message at which it stopped is left in the file then, so it may be tried again.
func (s *Spool) Append(msgs [][]byte) (n int, err error) {
	var p []byte
	for n < len(msgs) {
		p = p[:0]
		last := n
		seg := int64(0)
		if s.out != nil {
			seg = s.segs[len(s.segs)-1].size
		}
		total := s.Size() + s.done
		for last < len(msgs) && len(p) < 64<<10 && seg+int64(len(p)) < int64(s.opt.Segment) {
			if total+int64(len(p)+header+len(msgs[last])) > s.opt.Most {
				break
			}
			p = s.record(p, msgs[last])
			last++
		}
		if last == n {
			if s.out != nil && seg >= int64(s.opt.Segment) {
				if err := s.seal(); err != nil {
					return n, err
				}
				continue
			}
			return n, ErrFull
		}
		if err := s.write(p); err != nil {
			return n, err
		}
		n = last
	}
	return n, nil
}

func (s *Spool) record(p, msg []byte) []byte {
	p = binary.BigEndian.AppendUint16(p, magic)
	p = binary.BigEndian.AppendUint32(p, uint32(len(msg)))
	p = binary.BigEndian.AppendUint32(p, crc32.Checksum(msg, s.sums))
	return append(p, msg...)
}

func (s *Spool) write(p []byte) error {
	if s.out == nil {
		n := uint64(middle)
		if len(s.segs) > 0 {
			n = s.segs[len(s.segs)-1].n + 1
		}
		f, err := s.opt.Create(s.path(n))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		s.out = f
		s.segs = append(s.segs, segment{n: n})
	}
	g := &s.segs[len(s.segs)-1]
	n, err := s.out.Write(p)
	if err == nil {
		g.size += int64(n)
		s.dirty = true
		return nil
	}
	// What is there of the record must not stand between two whole ones. If it can't be taken back, a new segment begins,
	// and reading passes over the rest of this one.
	if s.out.Truncate(g.size) != nil {
		g.size += int64(n)
	}
	s.closeNewest()
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// closeNewest ends the newest segment where nothing that is to be kept depends on it: the write before it has failed, or
// all that stands in it is delivered, copied or removed.
func (s *Spool) closeNewest() {
	_ = s.out.Close()
	s.out = nil
}

// removeOldest lets go of the oldest segment. Where its file stays and the cursor is not behind it, the next start reads it
// again: messages come twice, and none is lost.
func (s *Spool) removeOldest() {
	_ = os.Remove(s.path(s.segs[0].n))
	s.segs = s.segs[1:]
}

func (s *Spool) seal() error {
	err := errors.Join(s.out.Sync(), s.out.Close())
	s.out, s.dirty = nil, false
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil
}

// Sync hands what was appended to the disk.
func (s *Spool) Sync() error {
	if s.out == nil || !s.dirty {
		return nil
	}
	s.dirty = false
	return s.out.Sync()
}

// Front puts messages before all that is here: they were taken from it, or never came to it, and are older.
func (s *Spool) Front(msgs [][]byte) error {
	if len(msgs) == 0 {
		return nil
	}
	n := uint64(middle)
	if len(s.segs) > 0 {
		n = s.segs[0].n - 1
	}
	// What is delivered of the oldest segment must not be read again behind the new one: it is written anew.
	var p []byte
	for _, m := range msgs {
		p = s.record(p, m)
	}
	if len(s.segs) > 0 && s.done > 0 {
		rest, err := os.ReadFile(s.path(s.segs[0].n))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		p = append(p, rest[min(s.done, int64(len(rest))):]...)
	}
	f, err := s.opt.Create(s.path(n))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	_, err = f.Write(p)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(s.path(n)) // the caller keeps the messages: where the file stays they come twice
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if len(s.segs) > 0 && s.done > 0 {
		if len(s.segs) == 1 && s.out != nil {
			s.closeNewest()
		}
		s.removeOldest()
	}
	s.segs = append([]segment{{n, int64(len(p))}}, s.segs...)
	s.done, s.reading = 0, 0
	s.forget()
	return s.Keep()
}

// Next reads on and appends to out: at most so many messages and bytes, at least one message if there is any.
func (s *Spool) Next(out [][]byte, count, bytes int) ([][]byte, error) {
	for len(s.segs) > 0 && count > 0 && bytes > 0 {
		g := s.segs[0]
		if s.reading >= g.size {
			if s.skip(); len(s.segs) > 0 && s.segs[0].n == g.n {
				return out, nil // the next segment only once this one is delivered
			}
			continue
		}
		msg, n, err := s.at(s.reading)
		if err != nil {
			return out, err
		}
		s.reading += n
		if msg == nil {
			if len(out) > 0 {
				s.reading -= n // what was returned stands without a gap
				return out, nil
			}
			s.skipped += n
			if s.done == s.reading-n {
				s.done = s.reading
			}
			s.skip()
			continue
		}
		out = append(out, msg)
		count--
		bytes -= len(msg)
	}
	return out, nil
}

// skip lets go of oldest segments that hold nothing more, where all that was read of them is delivered.
func (s *Spool) skip() {
	for len(s.segs) > 0 && s.done >= s.segs[0].size && (s.out == nil || len(s.segs) > 1) {
		s.shift()
	}
}

// at returns the record at an offset of the oldest segment, and its whole length; nil where there is none, with the
// length of what is passed over up to the next one or the end. Guards what stands behind a damaged record.
func (s *Spool) at(off int64) (msg []byte, n int64, err error) {
	if err := s.fill(off); err != nil {
		return nil, 0, err
	}
	p := s.buf[off-s.base:]
	if msg, n := s.parse(p); msg != nil {
		return msg, n, nil
	}
	// The buffer holds all of the segment from off on.
	for i := 1; i+header <= len(p); i++ {
		if p[i] == magic>>8 && p[i+1] == magic&0xff {
			if msg, _ := s.parse(p[i:]); msg != nil {
				return nil, int64(i), nil
			}
		}
	}
	return nil, int64(len(p)), nil
}

func (s *Spool) parse(p []byte) ([]byte, int64) {
	if len(p) < header || binary.BigEndian.Uint16(p) != magic {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(p[2:]))
	if n == 0 || n > s.opt.Message || header+n > len(p) {
		return nil, 0
	}
	if msg := p[header : header+n]; crc32.Checksum(msg, s.sums) == binary.BigEndian.Uint32(p[6:]) {
		return msg, int64(header + n)
	}
	return nil, 0
}

// fill reads all of the oldest segment that is written, from off on. A segment is bounded by Options.Segment.
func (s *Spool) fill(off int64) error {
	g := s.segs[0]
	if s.base <= off && s.base+int64(len(s.buf)) >= g.size {
		return nil
	}
	if s.in == nil {
		f, err := os.Open(s.path(g.n))
		if err != nil {
			return fmt.Errorf("spool: %w", err)
		}
		s.in = f
	}
	p := make([]byte, g.size-off)
	n, err := s.in.ReadAt(p, off)
	if err != nil && err != io.EOF {
		return fmt.Errorf("spool: %w", err)
	}
	if n < len(p) {
		s.segs[0].size = off + int64(n) // it is shorter than it was
	}
	s.buf, s.base = p[:n], off
	return nil
}

func (s *Spool) forget() {
	if s.in != nil {
		_ = s.in.Close() // it was only read
	}
	s.in, s.buf, s.base = nil, nil, 0
}

func (s *Spool) shift() {
	s.removeOldest()
	s.done, s.reading = 0, 0
	s.forget()
}

// Overhead is what a message takes beside its own bytes.
const Overhead = header

// Reading is the offset up to which Next has read the oldest segment. A message that Next returned stood Overhead and its
// length before the next one.
func (s *Spool) Reading() int64 { return s.reading }

// Delivered says that all up to an offset of the oldest segment has arrived. A segment that is delivered whole is removed.
func (s *Spool) Delivered(to int64) {
	if len(s.segs) == 0 {
		return
	}
	s.done = max(s.done, min(to, s.reading))
	if s.done >= s.segs[0].size {
		if s.out != nil && len(s.segs) == 1 {
			s.closeNewest() // the next message begins another
		}
		s.shift()
	}
}

// Again says that what Next has returned since Delivered has not arrived.
func (s *Spool) Again() { s.reading = s.done }

// Keep notes on disk what is delivered, so that the next start does not send it again.
func (s *Spool) Keep() error {
	if len(s.segs) == 0 {
		return nil
	}
	p := binary.BigEndian.AppendUint64(nil, s.segs[0].n)
	p = binary.BigEndian.AppendUint64(p, uint64(s.done))
	p = binary.BigEndian.AppendUint32(p, crc32.Checksum(p, s.sums))
	path := filepath.Join(s.dir, "cursor")
	if err := os.WriteFile(path+".new", p, 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return os.Rename(path+".new", path)
}

func (s *Spool) cursor() (segment, bool) {
	p, err := os.ReadFile(filepath.Join(s.dir, "cursor"))
	if err != nil || len(p) != 20 || crc32.Checksum(p[:16], s.sums) != binary.BigEndian.Uint32(p[16:]) {
		return segment{}, false
	}
	return segment{binary.BigEndian.Uint64(p), int64(binary.BigEndian.Uint64(p[8:]))}, true
}

// Close leaves what is not delivered to the next start; a folder with nothing left in it goes.
func (s *Spool) Close() error {
	if s.Empty() {
		return s.Remove()
	}
	var err error
	if s.out != nil {
		err = s.seal()
	}
	s.forget()
	err = errors.Join(err, s.Keep())
	return errors.Join(err, s.lock.Close())
}

// Remove deletes the folder.
func (s *Spool) Remove() error {
	if s.out != nil {
		s.closeNewest()
	}
	s.forget()
	err := os.RemoveAll(s.dir)
	return errors.Join(err, s.lock.Close())
}
