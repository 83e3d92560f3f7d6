package spool

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// A record is a magic of two bytes, the message's length in four, the CRC-32C of the message in four, and the message.
const (
	recordMagic = 0x5ba7
	headerSize  = 10
	lengthAt    = 2
	checksumAt  = 6
)

// Overhead is the number of bytes that a record has in addition to its message.
const Overhead = headerSize

// firstSegment is the number of the first segment. It leaves lower numbers for the segments that Prepend adds before
// it.
const firstSegment = 1 << 32

// segmentSuffix is the end of the file name of a segment. It follows the number in hexadecimal.
const segmentSuffix = ".seg"

// segment is a file of the queue.
type segment struct {
	number uint64
	size   int64 // in bytes
}

// path returns the file name of a segment.
func (s *Spool) path(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x"+segmentSuffix, number))
}

// findSegments lists the segments in the folder.
func (s *Spool) findSegments() error {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	for _, entry := range entries {
		digits, ok := strings.CutSuffix(entry.Name(), segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			continue
		}
		info, err := entry.Info()
		if err != nil {
			continue
		}
		s.segments = append(s.segments, segment{number: number, size: info.Size()})
	}
	slices.SortFunc(s.segments, func(a, b segment) int { return int(int64(a.number) - int64(b.number)) })
	if len(s.segments) > 0 {
		s.lastNumber = max(s.lastNumber, s.segments[len(s.segments)-1].number)
	}
	return nil
}

// removeOldest removes the oldest segment. If its file can't be removed and the saved cursor is not after it, the next
// start reads it again: messages are sent twice, but none is lost.
func (s *Spool) removeOldest() {
	_ = os.Remove(s.path(s.segments[0].number))
	s.segments = s.segments[1:]
}

// appendRecord appends the record of a message to p.
func (s *Spool) appendRecord(p, msg []byte) []byte {
	p = binary.BigEndian.AppendUint16(p, recordMagic)
	p = binary.BigEndian.AppendUint32(p, uint32(len(msg)))
	p = binary.BigEndian.AppendUint32(p, crc32.Checksum(msg, s.checksums))
	return append(p, msg...)
}

// parseRecord returns the message of the record at the start of p. ok is false if there is no complete record.
func (s *Spool) parseRecord(p []byte) (msg []byte, ok bool) {
	if len(p) < headerSize || binary.BigEndian.Uint16(p) != recordMagic {
		return nil, false
	}
	length := int(binary.BigEndian.Uint32(p[lengthAt:]))
	if length == 0 || length > s.options.MaxMessageBytes || headerSize+length > len(p) {
		return nil, false
	}
	msg = p[headerSize : headerSize+length]
	return msg, crc32.Checksum(msg, s.checksums) == binary.BigEndian.Uint32(p[checksumAt:])
}

// nextRecord returns the distance from the start of p to the next complete record after it, or to the end of p.
func (s *Spool) nextRecord(p []byte) int {
	for i := 1; i+headerSize <= len(p); i++ {
		if binary.BigEndian.Uint16(p[i:]) != recordMagic {
			continue
		}
		if _, ok := s.parseRecord(p[i:]); ok {
			return i
		}
	}
	return len(p)
}
