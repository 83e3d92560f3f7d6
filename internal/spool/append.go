package spool

import (
	"errors"
	"fmt"
	"os"
)

// maxWriteSize is the size in bytes at which no further message is added to a write.
const maxWriteSize = 64 << 10

// Append appends messages in order and returns how many. The error is ErrFull if the size limit is reached, ErrDisk if
// the disk has failed. The messages that were not appended may be appended again. If the disk has failed and the file
// could not be truncated either, those with a complete record in it are then read twice.
func (s *Spool) Append(msgs [][]byte) (appended int, err error) {
	var p []byte
	for appended < len(msgs) {
		var count int
		p, count = s.appendRecords(p[:0], msgs[appended:])
		if count > 0 {
			if err := s.writeNewest(p); err != nil {
				return appended, err
			}
			appended += count
			continue
		}
		if !s.isNewestFull() {
			return appended, ErrFull
		}
		if err := s.sealNewest(); err != nil {
			return appended, err
		}
	}
	return appended, nil
}

// appendRecords appends to p as many records as one write may hold, and returns how many. It appends none if the newest
// segment or the spool is full.
func (s *Spool) appendRecords(p []byte, msgs [][]byte) (records []byte, count int) {
	segmentSize := s.newestSize()
	diskSize := s.diskSize()
	for _, msg := range msgs {
		if len(p) >= maxWriteSize || segmentSize+int64(len(p)) >= int64(s.options.SegmentBytes) {
			break
		}
		if diskSize+int64(len(p)+headerSize+len(msg)) > s.options.MaxBytes {
			break
		}
		p = s.appendRecord(p, msg)
		count++
	}
	return p, count
}

// newestSize returns the size in bytes of the segment that is open for writing, or 0 if none is.
func (s *Spool) newestSize() int64 {
	if s.newest == nil {
		return 0
	}
	return s.segments[len(s.segments)-1].size
}

// isNewestFull reports whether the segment that is open for writing has reached its size limit.
func (s *Spool) isNewestFull() bool {
	return s.newest != nil && s.newestSize() >= int64(s.options.SegmentBytes)
}

// writeNewest writes records to the newest segment. It begins a new segment if none is open.
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
	// There must not be a part of a record between two complete ones, so everything that this write has written is cut
	// off. If this fails, the reader skips the incomplete record. In both cases the next message begins a new segment.
	if s.newest.Truncate(newest.size) != nil {
		newest.size += int64(written)
	}
	s.closeNewest()
	return fmt.Errorf("%w: %w", ErrDisk, err)
}

// beginSegment creates a new segment after all others.
func (s *Spool) beginSegment() error {
	number := s.lastNumber + 1
	file, err := s.options.CreateFile(s.path(number))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	s.newest = file
	s.lastNumber = number
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// closeNewest closes the newest segment without flushing it. It is called when a write has failed, or when the content
// is no longer needed because it is delivered, copied or removed.
func (s *Spool) closeNewest() {
	_ = s.newest.Close()
	s.newest = nil
}

// sealNewest flushes the newest segment to the disk and closes it.
func (s *Spool) sealNewest() error {
	err := errors.Join(s.newest.Sync(), s.newest.Close())
	s.newest = nil
	s.unsynced = false
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}

// Sync flushes the appended messages to the disk.
func (s *Spool) Sync() error {
	if s.newest == nil || !s.unsynced {
		return nil
	}
	s.unsynced = false
	return s.newest.Sync()
}

// Prepend adds messages before all others in the spool. They are older than those, as they were read from the spool
// before or were never in it.
func (s *Spool) Prepend(msgs [][]byte) error {
	if len(msgs) == 0 {
		return nil
	}
	number := s.lastNumber + 1
	if len(s.segments) > 0 {
		number = s.segments[0].number - 1
	}
	// The saved cursor is after the new segment, which the next start would remove. If the process is killed now, the next
	// start sends the delivered part of the oldest segment again.
	if err := s.writeCursor(cursor{segment: number}); err != nil {
		return err
	}
	var p []byte
	for _, msg := range msgs {
		p = s.appendRecord(p, msg)
	}
	// The delivered part of the oldest segment must not be read again after the new segment, so the rest of it is copied
	// to the new segment.
	copiesOldest := len(s.segments) > 0 && s.deliveredOffset > 0
	if copiesOldest {
		oldest, err := os.ReadFile(s.path(s.segments[0].number))
		if err != nil {
			return fmt.Errorf("%w: %w", ErrDisk, err)
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
	s.lastNumber = max(s.lastNumber, number)
	s.segments = append([]segment{{number: number, size: int64(len(p))}}, s.segments...)
	s.deliveredOffset = 0
	s.readOffset = 0
	s.dropBuffer()
	return s.SaveCursor()
}

// writeSegment writes a complete segment.
func (s *Spool) writeSegment(number uint64, p []byte) error {
	file, err := s.options.CreateFile(s.path(number))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	_, err = file.Write(p)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		_ = os.Remove(s.path(number)) // the caller keeps the messages: if the file stays, they are sent twice
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return nil
}
