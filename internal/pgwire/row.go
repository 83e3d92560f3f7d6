package pgwire

import "encoding/binary"

// RowStream follows a DataRow's body as it comes, and says whether the lengths of its values fit that of the whole.
type RowStream struct {
	Columns int // -1 = not told yet
	Left    int // bytes that have not come
	todo    int // values whose length has not come
	value   int // bytes of a value that have not come
	part    []byte
}

// NewRowStream expects a body of that length.
func NewRowStream(length int) *RowStream { return &RowStream{Columns: -1, Left: length} }

// Feed takes the next bytes, no more than are Left. ErrFormat says that the row is spoilt.
func (s *RowStream) Feed(p []byte) error {
	for len(p) > 0 {
		if s.value > 0 {
			n := min(s.value, len(p))
			s.value, s.Left, p = s.value-n, s.Left-n, p[n:]
			continue
		}
		s.part, s.Left, p = append(s.part, p[0]), s.Left-1, p[1:]
		switch {
		case s.Columns < 0 && len(s.part) == 2:
			s.Columns = int(binary.BigEndian.Uint16(s.part))
			s.todo, s.part = s.Columns, s.part[:0]
		case s.Columns >= 0 && len(s.part) == 4:
			// NULL has a length of -1 and no bytes.
			if s.value = int(int32(binary.BigEndian.Uint32(s.part))); s.value < -1 {
				return ErrFormat
			}
			s.value, s.todo, s.part = max(0, s.value), s.todo-1, s.part[:0]
		default:
			continue
		}
		if s.value+4*s.todo > s.Left || s.todo == 0 && s.value != s.Left {
			return ErrFormat
		}
	}
	if s.Left == 0 && (s.Columns < 0 || len(s.part) > 0) {
		return ErrFormat
	}
	return nil
}
