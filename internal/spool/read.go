package spool

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Next reads on and appends to out: at most so many messages and bytes, at least one message if there is any.
func (s *Spool) Next(out [][]byte, count, bytes int) ([][]byte, error) {
	for len(s.segments) > 0 && count > 0 && bytes > 0 {
		oldest := s.segments[0]
		if s.readOffset >= oldest.size {
			s.removeDelivered()
			if len(s.segments) > 0 && s.segments[0].number == oldest.number {
				return out, nil // the next segment is read only once this one is delivered
			}
			continue
		}
		msg, length, err := s.recordAt(s.readOffset)
		if err != nil {
			return out, err
		}
		if msg != nil {
			s.readOffset += length
			out = append(out, msg)
			count--
			bytes -= len(msg)
			continue
		}
		if len(out) > 0 {
			return out, nil // the caller takes the returned messages to stand without a gap
		}
		s.skipBytes(length)
	}
	return out, nil
}

// skipBytes passes over bytes that are no complete record.
func (s *Spool) skipBytes(length int64) {
	s.skipped += length
	if s.deliveredOffset == s.readOffset {
		s.deliveredOffset += length
	}
	s.readOffset += length
	s.removeDelivered()
}

// recordAt returns the message at an offset of the oldest segment, and the length of its record. Where there is no
// complete record the message is nil, and the length is the distance to the next one or the end, so that a damaged
// record does not cost the ones behind it.
func (s *Spool) recordAt(offset int64) (msg []byte, length int64, err error) {
	if err := s.fillBuffer(offset); err != nil {
		return nil, 0, err
	}
	p := s.buffer[offset-s.bufferOffset:] // to the end of the segment
	if msg, ok := s.parseRecord(p); ok {
		return msg, int64(headerSize + len(msg)), nil
	}
	return nil, int64(s.nextRecord(p)), nil
}

// fillBuffer reads all of the oldest segment that is written, from an offset on. A segment is bounded by
// Options.Segment.
func (s *Spool) fillBuffer(offset int64) error {
	oldest := s.segments[0]
	if s.bufferOffset <= offset && s.bufferOffset+int64(len(s.buffer)) >= oldest.size {
		return nil
	}
	if s.oldest == nil {
		file, err := os.Open(s.path(oldest.number))
		if err != nil {
			return fmt.Errorf("spool: %w", err)
		}
		s.oldest = file
	}
	p := make([]byte, oldest.size-offset)
	n, err := s.oldest.ReadAt(p, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("spool: %w", err)
	}
	if n < len(p) {
		s.segments[0].size = offset + int64(n) // the file is shorter than it was
	}
	s.buffer = p[:n]
	s.bufferOffset = offset
	return nil
}

// dropBuffer forgets what was read of the oldest segment.
func (s *Spool) dropBuffer() {
	if s.oldest != nil {
		_ = s.oldest.Close() // it was only read
	}
	s.oldest = nil
	s.buffer = nil
	s.bufferOffset = 0
}

// removeDelivered removes the oldest segments that are delivered, up to the one that is open for writing.
func (s *Spool) removeDelivered() {
	for len(s.segments) > 0 && s.deliveredOffset >= s.segments[0].size {
		if s.newest != nil && len(s.segments) == 1 {
			return
		}
		s.advanceSegment()
	}
}

// advanceSegment removes the oldest segment and goes on with the one behind it.
func (s *Spool) advanceSegment() {
	s.removeOldest()
	s.deliveredOffset = 0
	s.readOffset = 0
	s.dropBuffer()
}

// Reading returns the offset up to which Next has read the oldest segment. A message that Next returned stands Overhead
// and its length before the one behind it.
func (s *Spool) Reading() int64 { return s.readOffset }

// Delivered notes that everything up to an offset of the oldest segment has arrived. A segment that is delivered as a
// whole is removed.
func (s *Spool) Delivered(to int64) {
	if len(s.segments) == 0 {
		return
	}
	s.deliveredOffset = max(s.deliveredOffset, min(to, s.readOffset))
	if s.deliveredOffset < s.segments[0].size {
		return
	}
	if s.newest != nil && len(s.segments) == 1 {
		s.closeNewest() // the next message begins another segment
	}
	s.advanceSegment()
}

// Again notes that what Next has returned since Delivered has not arrived.
func (s *Spool) Again() { s.readOffset = s.deliveredOffset }
