package spool

import (
	"errors"
	"fmt"
	"os"
)

// maxWriteSize is the size in bytes from which on no further message joins a write.
const maxWriteSize = 64 << 10

// Append adds messages in order and returns how many it took. ErrFull says that the size limit is reached,
// ErrBroken that the disk has failed; nothing of the message at which it stopped is left in the file then, so it
// may be tried again.
func (s *Spool) Append(msgs [][]byte) (taken int, err error) {
	var p []byte
	for taken < len(msgs) {
		var count int
		p, count = s.appendRecords(p[:0], msgs[taken:])
		if count > 0 {
			if err := s.writeNewest(p); err != nil {
				return taken, err
			}
			taken += count
			continue
		}
		if !s.isNewestFull() {
			return taken, ErrFull
		}
		if err := s.sealNewest(); err != nil {
			return taken, err
		}
	}
	return taken, nil
}

// appendRecords appends to p as many records as one write may hold, and returns how many there are. There are none
// where the newest segment or the spool is full.
func (s *Spool) appendRecords(p []byte, msgs [][]byte) (records []byte, count int) {
	segmentSize := s.newestSize()
	diskSize := s.diskSize()
	for _, msg := range msgs {
		if len(p) >= maxWriteSize || segmentSize+int64(len(p)) >= int64(s.options.Segment) {
			break
		}
		if diskSize+int64(len(p)+headerSize+len(msg)) > s.options.Most {
			break
		}
		p = s.appendRecord(p, msg)
		count++
	}
	return p, count
}

// newestSize returns the size of the segment that is open for writing; 0 where none is.
func (s *Spool) newestSize() int64 {
	if s.newest == nil {
		return 0
	}
	return s.segments[len(s.segments)-1].size
}

// isNewestFull reports whether the segment that is open for writing has reached its size limit.
func (s *Spool) isNewestFull() bool {
	return s.newest != nil && s.newestSize() >= int64(s.options.Segment)
}

// writeNewest writes records to the newest segment, and begins one where none is open.
func (s *Spool) writeNewest(p []byte) error {
	if s.newest == nil {
		if err := s.beginSegment(); err != nil {
			return err
		}
	}
	newest := &s.segments[len(s.segments)-1]
	written, err := s.newest.Write(p)
	if err == nil {
		newest.size += int64(written)
		s.unsynced = true
		return nil
	}
	// A part of a record must not stand between two complete ones. If it can't be cut off, a new segment begins, and
	// reading passes over the rest of this one.
	if s.newest.Truncate(newest.size) != nil {
		newest.size += int64(written)
	}
	s.closeNewest()
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// beginSegment opens a new segment behind all others.
func (s *Spool) beginSegment() error {
	number := uint64(firstSegment)
	if len(s.segments) > 0 {
		number = s.segments[len(s.segments)-1].number + 1
	}
	file, err := s.options.Create(s.path(number))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	s.newest = file
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// closeNewest closes the newest segment where its content is no longer needed: the write before it has failed, or
// all of it is delivered, copied or removed.
func (s *Spool) closeNewest() {
	_ = s.newest.Close()
	s.newest = nil
}

// sealNewest hands the newest segment to the disk and closes it.
func (s *Spool) sealNewest() error {
	err := errors.Join(s.newest.Sync(), s.newest.Close())
	s.newest = nil
	s.unsynced = false
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil
}

// Sync hands what was appended to the disk.
func (s *Spool) Sync() error {
	if s.newest == nil || !s.unsynced {
		return nil
	}
	s.unsynced = false
	return s.newest.Sync()
}

// Front puts messages before all that is here: they were taken from it, or never came to it, and are older.
func (s *Spool) Front(msgs [][]byte) error {
	if len(msgs) == 0 {
		return nil
	}
	number := uint64(firstSegment)
	if len(s.segments) > 0 {
		number = s.segments[0].number - 1
	}
	var p []byte
	for _, msg := range msgs {
		p = s.appendRecord(p, msg)
	}
	// What is delivered of the oldest segment must not be read again behind the new one: the rest of it is copied.
	copiesOldest := len(s.segments) > 0 && s.deliveredOffset > 0
	if copiesOldest {
		oldest, err := os.ReadFile(s.path(s.segments[0].number))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		p = append(p, oldest[min(s.deliveredOffset, int64(len(oldest))):]...)
	}
	if err := s.writeSegment(number, p); err != nil {
		return err
	}
	if copiesOldest {
		if len(s.segments) == 1 && s.newest != nil {
			s.closeNewest()
		}
		s.removeOldest()
	}
	s.segments = append([]segment{{number: number, size: int64(len(p))}}, s.segments...)
	s.deliveredOffset = 0
	s.readOffset = 0
	s.dropBuffer()
	return s.Keep()
}

// writeSegment writes a complete segment.
func (s *Spool) writeSegment(number uint64, p []byte) error {
	file, err := s.options.Create(s.path(number))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	_, err = file.Write(p)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		_ = os.Remove(s.path(number)) // the caller keeps the messages: where the file stays they come twice
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil
}
