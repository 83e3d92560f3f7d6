package pgwire

import "encoding/binary"

const (
	columnCountBytes = 2
	valueLengthBytes = 4
)

// RowStream follows a DataRow's body as it comes, and says whether the lengths of its values fit the length of the
// body.
type RowStream struct {
	Columns int // -1 = not known yet
	Left    int // bytes that have not come

	valuesLeft int    // values whose length has not come
	valueLeft  int    // bytes of the current value that have not come
	number     []byte // what has come of the number of columns or of a value's length
}

// NewRowStream expects a body of that length.
func NewRowStream(length int) *RowStream {
	return &RowStream{Columns: columnsUnknown, Left: length}
}

// Feed takes the next bytes, no more than are Left. The error is a *FormatError: the row can't be used from there on.
func (s *RowStream) Feed(p []byte) error {
	offset := 0
	for offset < len(p) {
		if s.valueLeft > 0 {
			n := min(s.valueLeft, len(p)-offset)
			s.valueLeft -= n
			s.Left -= n
			offset += n
			continue
		}
		s.number = append(s.number, p[offset])
		s.Left--
		offset++
		if s.numberComplete() && !s.useNumber() {
			return s.malformed(offset)
		}
	}
	if s.Left == 0 && (s.Columns < 0 || len(s.number) > 0) {
		return s.malformed(offset)
	}
	return nil
}

// numberComplete says whether the number that is coming has all its bytes.
func (s *RowStream) numberComplete() bool {
	if s.Columns < 0 {
		return len(s.number) == columnCountBytes
	}
	return len(s.number) == valueLengthBytes
}

// useNumber takes the number of columns or a value's length, and says whether what it announces fits in the body.
func (s *RowStream) useNumber() bool {
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
		return s.valueLeft == s.Left
	}
	return s.valueLeft+valueLengthBytes*s.valuesLeft <= s.Left
}

// malformed reports a fault. The offset is counted in the bytes of the last call to Feed.
func (s *RowStream) malformed(offset int) error {
	return &FormatError{Message: "DataRow", Offset: offset}
}
