package pgwire

import (
	"strconv"
	"strings"
)

// Shape follows the messages of one answer and says whether each has its type's form and fits those before it. The
// order of the types is for the caller to judge.
type Shape struct {
	Columns int    // of the rows, -1 = not told yet
	Rows    int    // DataRows so far
	Tag     string // of CommandComplete, "" = it has not come
}

// NewShape starts an answer.
func NewShape() Shape { return Shape{Columns: -1} }

// Add takes the next message. ErrFormat says that the answer is spoilt.
func (s *Shape) Add(m Message) error {
	d := decoder{p: m.Body}
	switch m.Type {
	case 'T':
		n := int(d.uint16())
		for i := 0; i < n && !d.bad; i++ {
			d.text()
			d.take(16) // table, attribute, type, size, modifier
			if d.uint16() > 1 {
				return ErrFormat
			}
		}
		if s.Columns >= 0 {
			return ErrFormat
		}
		s.Columns = n
	case 'D':
		n := int(d.uint16())
		if !s.Row(n) {
			return ErrFormat
		}
		for i := 0; i < n && !d.bad; i++ {
			d.value()
		}
	case 'C':
		tag := d.text()
		if !s.fits(tag) || s.Tag != "" {
			return ErrFormat
		}
		s.Tag = tag
	case 't':
		for n := int(d.uint16()); n > 0 && !d.bad; n-- {
			d.uint32()
		}
	case 'E':
		f, err := Fields(m.Body)
		if err != nil || len(f['C']) != 5 || strings.Trim(f['C'], "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			return ErrFormat
		}
		return nil
	case '1', '2', '3', 'n', 's', 'I': // without a body
	default:
		return ErrFormat
	}
	return d.end()
}

// Row takes a row of which only the number of columns is told, and says whether it fits those before it.
func (s *Shape) Row(columns int) bool {
	if s.Columns >= 0 && s.Columns != columns || s.Tag != "" {
		return false
	}
	s.Columns = columns
	s.Rows++
	return true
}

// fits says whether tag is one such as SELECT 1, INSERT 0 1 or SHOW, and counts the rows that have come.
func (s *Shape) fits(tag string) bool {
	words := strings.Split(tag, " ")
	if words[0] == "" || strings.Trim(words[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return false
	}
	if s.Rows == 0 || len(words) == 1 { // SHOW counts nothing
		return strings.Trim(tag, "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789 ") == ""
	}
	if words[0] == "INSERT" {
		if len(words) != 3 || words[1] != "0" {
			return false
		}
		words = words[1:]
	}
	if len(words) != 2 {
		return false
	}
	n, err := strconv.ParseUint(words[1], 10, 31)
	return err == nil && int(n) == s.Rows
}
