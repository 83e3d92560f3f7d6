package pgwire

import (
	"strconv"
	"strings"
)

// columnsUnknown is the number of columns before a RowDescription or a row has arrived.
const columnsUnknown = -1

// columnDescriptionBytes is the size in a RowDescription of a column's table, attribute, type, type size and modifier.
const columnDescriptionBytes = 16

const (
	uppercase      = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	digits         = "0123456789"
	sqlStateLength = 5
)

// Shape checks the messages of one response: each must be well formed and consistent with the earlier ones. The order
// of the message types is for the caller to check.
type Shape struct {
	Columns int    // number of columns of the rows, -1 = not known yet
	Rows    int    // number of DataRows so far
	Tag     string // tag of CommandComplete, "" = not received yet
}

// NewShape returns the Shape of a response of which no message has arrived.
func NewShape() Shape { return Shape{Columns: columnsUnknown} }

// Add checks the next message. After an error, which is a *FormatError, the response can't be used.
func (s *Shape) Add(m Message) error {
	switch m.Type {
	case typeDataRow:
		return s.addDataRow(m.Body)
	case typeRowDescription:
		return s.addRowDescription(m.Body)
	case typeCommandComplete:
		return s.addCommandComplete(m.Body)
	case typeParameterDescription:
		return checkParameterDescription(m.Body)
	case typeErrorResponse:
		return checkErrorResponse(m.Body)
	case typeParseComplete, typeBindComplete, typeCloseComplete, typeNoData, typePortalSuspended, typeEmptyQueryResponse:
		return checkEmpty(m.Body)
	default:
		return &FormatError{Message: "a message that is no part of a response"}
	}
}

func (s *Shape) addRowDescription(body []byte) error {
	const message = "RowDescription"
	d := newDecoder(body)
	n := int(d.uint16())
	for i := 0; i < n && !d.failed; i++ {
		d.text()
		d.next(columnDescriptionBytes)
		if format := d.uint16(); format > 1 { // 0 is text and 1 is binary
			return d.malformed(message)
		}
	}
	if s.Columns >= 0 {
		return d.malformed(message) // a response has one row description, which comes before the rows
	}
	s.Columns = n
	return d.end(message)
}

func (s *Shape) addDataRow(body []byte) error {
	const message = "DataRow"
	d := newDecoder(body)
	n := int(d.uint16())
	if !s.AddRow(n) {
		return d.malformed(message)
	}
	for i := 0; i < n && !d.failed; i++ {
		d.value()
	}
	return d.end(message)
}

func (s *Shape) addCommandComplete(body []byte) error {
	const message = "CommandComplete"
	d := newDecoder(body)
	tag := d.text()
	if s.Tag != "" || !s.tagFits(tag) {
		return d.malformed(message)
	}
	s.Tag = tag
	return d.end(message)
}

func checkParameterDescription(body []byte) error {
	d := newDecoder(body)
	for n := int(d.uint16()); n > 0 && !d.failed; n-- {
		d.uint32()
	}
	return d.end("ParameterDescription")
}

func checkEmpty(body []byte) error {
	d := newDecoder(body)
	return d.end("a message without a body")
}

func checkErrorResponse(body []byte) error {
	fields, err := Fields(body)
	if err != nil {
		return err
	}
	state := fields[fieldSQLState]
	if len(state) != sqlStateLength || strings.Trim(state, digits+uppercase) != "" {
		return &FormatError{Message: "ErrorResponse"}
	}
	return nil
}

// AddRow adds a row of which only the number of columns is known, and reports whether it is consistent with the earlier
// rows.
func (s *Shape) AddRow(columns int) bool {
	if s.Tag != "" {
		return false
	}
	if s.Columns >= 0 && s.Columns != columns {
		return false
	}
	s.Columns = columns
	s.Rows++
	return true
}

// tagFits reports whether tag is a command tag such as SELECT 1, INSERT 0 1 or SHOW. If rows were received, a row count
// in the tag must be their number.
func (s *Shape) tagFits(tag string) bool {
	words := strings.Split(tag, " ")
	if words[0] == "" || strings.Trim(words[0], uppercase) != "" {
		return false
	}
	if s.Rows == 0 || len(words) == 1 { // SHOW has no row count
		return strings.Trim(tag, uppercase+digits+" ") == ""
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
