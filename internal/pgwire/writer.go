package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// SQLSTATE codes that the program writes or reads.
const (
	TooManyConnections = "53300"
	CannotConnectNow   = "57P03"
	ReadOnly           = "25006"
	SnapshotTooOld     = "72000"
	InternalError      = "XX000"
	ProtocolViolation  = "08P01"
	NotSupported       = "0A000"
	UnknownOutcome     = "08007"
	BadStatement       = "42601"
	UndefinedStatement = "26000"
	UndefinedPortal    = "34000"
	TooLarge           = "54000"
)

// Append adds a message of the given type with the parts as its body.
func Append(dst []byte, typ byte, parts ...[]byte) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	if typ != 0 {
		dst = append(dst, typ)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(n))
	for _, p := range parts {
		dst = append(dst, p...)
	}
	return dst
}

// AppendStartup adds a startup message.
func AppendStartup(dst []byte, pairs ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, ProtocolVersion)
	for _, s := range pairs {
		body = append(append(body, s...), 0)
	}
	return Append(dst, 0, append(body, 0))
}

// AppendQuery adds a simple query.
func AppendQuery(dst []byte, sql string) []byte { return Append(dst, 'Q', cstring(sql)) }

// AppendParse adds Parse.
func AppendParse(dst []byte, m ParseMessage) []byte {
	body := append(cstring(m.Name), cstring(m.Query)...)
	body = binary.BigEndian.AppendUint16(body, uint16(len(m.Types)))
	for _, t := range m.Types {
		body = binary.BigEndian.AppendUint32(body, t)
	}
	return Append(dst, 'P', body)
}

// AppendBind adds Bind.
func AppendBind(dst []byte, m BindMessage) []byte {
	return Append(dst, 'B', cstring(m.Portal), cstring(m.Statement), m.Rest)
}

// AppendTarget adds Describe ('D') or Close ('C') of a statement ('S') or portal ('P').
func AppendTarget(dst []byte, typ, kind byte, name string) []byte {
	return Append(dst, typ, []byte{kind}, cstring(name))
}

// AppendExecute adds Execute.
func AppendExecute(dst []byte, portal string, rows uint32) []byte {
	return Append(dst, 'E', cstring(portal), binary.BigEndian.AppendUint32(nil, rows))
}

// AppendReady adds ReadyForQuery outside a transaction.
func AppendReady(dst []byte) []byte { return Append(dst, 'Z', []byte{'I'}) }

// AppendPair adds ParameterStatus.
func AppendPair(dst []byte, name, value string) []byte {
	return Append(dst, 'S', cstring(name), cstring(value))
}

// AppendWelcome adds what a server says to a startup message it takes.
func AppendWelcome(dst []byte) []byte {
	dst = Append(dst, 'R', []byte{0, 0, 0, 0})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		dst = AppendPair(dst, p[0], p[1])
	}
	dst = Append(dst, 'K', make([]byte, 8)) // no cancel key: a cancel request is not served
	return AppendReady(dst)
}

// Error is what an ErrorResponse says.
type Error struct {
	Fatal   bool
	Code    string
	Message string
	After   time.Duration // come again after this: the field D, in milliseconds
}

// AppendError adds an ErrorResponse.
func AppendError(dst []byte, e Error) []byte {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	var body []byte
	add := func(k byte, v string) { body = append(append(append(body, k), v...), 0) }
	add('S', severity)
	add('V', severity)
	add('C', e.Code)
	add('M', e.Message)
	if e.After > 0 {
		add('D', strconv.FormatInt(max(1, e.After.Milliseconds()), 10))
	}
	return Append(dst, 'E', append(body, 0))
}

func cstring(s string) []byte { return append([]byte(s), 0) }
