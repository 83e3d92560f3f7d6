package spool

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// The cursor file holds the number of the oldest segment, the offset up to which it was delivered, and the CRC-32C of
// both.
const (
	cursorOffsetAt   = 8
	cursorChecksumAt = 16
	cursorSize       = 20
)

// cursor is a position in the spool: all records before it are delivered.
type cursor struct {
	segment uint64 // the number of the segment
	offset  int64  // in bytes from its start
}

// SaveCursor writes the cursor file, so that the next start does not send delivered messages again.
func (s *Spool) SaveCursor() error {
	if len(s.segments) == 0 {
		return nil
	}
	return s.writeCursor(cursor{segment: s.segments[0].number, offset: s.deliveredOffset})
}

func (s *Spool) writeCursor(at cursor) error {
	p := binary.BigEndian.AppendUint64(nil, at.segment)
	p = binary.BigEndian.AppendUint64(p, uint64(at.offset))
	p = binary.BigEndian.AppendUint32(p, crc32.Checksum(p, s.checksums))
	path := filepath.Join(s.dir, cursorFile)
	if err := os.WriteFile(path+".new", p, fileMode); err != nil {
		return fmt.Errorf("%w: %w", ErrDisk, err)
	}
	return os.Rename(path+".new", path)
}

// readCursor returns the cursor that the last process saved. ok is false if there is no cursor file or it is damaged.
func (s *Spool) readCursor() (at cursor, ok bool) {
	p, err := os.ReadFile(filepath.Join(s.dir, cursorFile))
	if err != nil || len(p) != cursorSize {
		return cursor{}, false
	}
	if crc32.Checksum(p[:cursorChecksumAt], s.checksums) != binary.BigEndian.Uint32(p[cursorChecksumAt:]) {
		return cursor{}, false
	}
	at.segment = binary.BigEndian.Uint64(p)
	at.offset = int64(binary.BigEndian.Uint64(p[cursorOffsetAt:]))
	return at, true
}

// applyCursor skips the messages that the last process delivered according to the cursor file.
func (s *Spool) applyCursor() {
	at, ok := s.readCursor()
	if !ok {
		return
	}
	s.lastNumber = max(s.lastNumber, at.segment)
	for len(s.segments) > 0 && s.segments[0].number < at.segment {
		s.removeOldest()
	}
	if len(s.segments) > 0 && s.segments[0].number == at.segment {
		s.deliveredOffset = min(at.offset, s.segments[0].size)
		s.readOffset = s.deliveredOffset
	}
}
