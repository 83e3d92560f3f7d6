package spool

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Next reads the next messages and appends them to out: at most maxMessages, and none after maxBytes are reached, but
// at least one if the oldest segment holds any that was not read. It reads the next segment only when the oldest one is
// delivered.
func (s *Spool) Next(out [][]byte, maxMessages, maxBytes int) ([][]byte, error) {
	for len(s.segments) > 0 && maxMessages > 0 && maxBytes > 0 {
		oldest := s.segments[0]
		if s.readOffset >= oldest.size {
			s.removeDelivered()
			if len(s.segments) > 0 && s.segments[0].number == oldest.number {
				return out, nil // the next segment is read only when this one is delivered
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
			maxMessages--
			maxBytes -= len(msg)
			continue
		}
		if len(out) > 0 {
			return out, nil // the caller computes offsets from the returned messages, so there must be no gap between them
		}
		s.skipBytes(length)
	}
	return out, nil
}

// skipBytes skips bytes that are not part of a complete record.
func (s *Spool) skipBytes(length int64) {
	s.skipped += length
	if s.deliveredOffset == s.readOffset {
		s.deliveredOffset += length
	}
	s.readOffset += length
	s.removeDelivered()
}

// recordAt returns the message at an offset of the oldest segment, and the length of its record in bytes. If there is
// no complete record, the message is nil and the length is the distance to the next complete record or the end of the
// segment, so that the records after a damaged one are still read.
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

// fillBuffer reads the oldest segment from an offset to its end into the buffer. Options.SegmentBytes limits the size
// of the segments that Append writes, and so of the buffer.
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
		s.segments[0].size = offset + int64(n) // the file has become shorter
	}
	s.buffer = p[:n]
	s.bufferOffset = offset
	return nil
}

// dropBuffer closes the oldest segment for reading and drops its buffered content.
func (s *Spool) dropBuffer() {
	if s.oldest != nil {
		_ = s.oldest.Close() // the file was only read, so no data is lost
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

// advanceSegment removes the oldest segment, so that the next one is read.
func (s *Spool) advanceSegment() {
	s.removeOldest()
	s.deliveredOffset = 0
	s.readOffset = 0
	s.dropBuffer()
}

// ReadOffset returns the offset in bytes up to which Next has read the oldest segment. A message that Next returned
// takes Overhead bytes and its own length there.
func (s *Spool) ReadOffset() int64 { return s.readOffset }

// MarkDelivered notes that all messages before an offset of the oldest segment are delivered. It removes the segment
// when all of it is.
func (s *Spool) MarkDelivered(offset int64) {
	if len(s.segments) == 0 {
		return
	}
	s.deliveredOffset = max(s.deliveredOffset, min(offset, s.readOffset))
	if s.deliveredOffset < s.segments[0].size {
		return
	}
	if s.newest != nil && len(s.segments) == 1 {
		s.closeNewest() // the next message begins another segment
	}
	s.advanceSegment()
}

// Rewind makes Next return all messages again that are not marked as delivered.
func (s *Spool) Rewind() { s.readOffset = s.deliveredOffset }
