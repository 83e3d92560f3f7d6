package pgwire

import "encoding/binary"

const (
	columnCountBytes = 2
	valueLengthBytes = 4
)

// RowStream checks the body of a DataRow while it arrives: the lengths of the values must match the length of the body.
type RowStream struct {
	Columns   int // -1 = not known yet
	BytesLeft int // bytes of the body that have not arrived

	valuesLeft int    // values whose length has not arrived
	valueLeft  int    // bytes of the current value that have not arrived
	number     []byte // bytes that have arrived of the column count or of a value's length
}

// NewRowStream returns a RowStream for a body of the given length in bytes.
func NewRowStream(length int) *RowStream {
	return &RowStream{Columns: columnsUnknown, BytesLeft: length}
}

// Feed checks the next bytes, at most BytesLeft of them. After an error, which is a *FormatError, the row can't be
// used.
func (s *RowStream) Feed(p []byte) error {
	offset := 0
	for offset < len(p) {
		if s.valueLeft > 0 {
			n := min(s.valueLeft, len(p)-offset)
			s.valueLeft -= n
			s.BytesLeft -= n
			offset += n
			continue
		}
		s.number = append(s.number, p[offset])
		s.BytesLeft--
		offset++
		if s.numberComplete() && !s.applyNumber() {
			return s.malformed(offset)
		}
	}
	if s.BytesLeft == 0 && (s.Columns < 0 || len(s.number) > 0) {
		return s.malformed(offset)
	}
	return nil
}

// numberComplete reports whether all bytes of the current number have arrived.
func (s *RowStream) numberComplete() bool {
	if s.Columns < 0 {
		return len(s.number) == columnCountBytes
	}
	return len(s.number) == valueLengthBytes
}

// applyNumber applies the column count or a value's length, and reports whether the values that it announces fit in the
// body.
func (s *RowStream) applyNumber() bool {
	if s.Columns < 0 {
		s.Columns = int(binary.BigEndian.Uint16(s.number))
		s.valuesLeft = s.Columns
	} else {
		length := int(int32(binary.BigEndian.Uint32(s.number)))
		if length < nullLength {
			return false
		}
		s.valueLeft = max(0, length)
		s.valuesLeft--
	}
	s.number = s.number[:0]
	if s.valuesLeft == 0 {
		return s.valueLeft == s.BytesLeft
	}
	return s.valueLeft+valueLengthBytes*s.valuesLeft <= s.BytesLeft
}

// malformed returns an error. The offset is relative to the bytes of the last call of Feed.
func (s *RowStream) malformed(offset int) error {
	return &FormatError{Message: "DataRow", Offset: offset}
}
