package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Append adds a message of the given type with the parts as its body.
func Append(dst []byte, typ byte, parts ...[]byte) []byte {
	length := lengthBytes
	for _, p := range parts {
		length += len(p)
	}
	if typ != 0 {
		dst = append(dst, typ)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	for _, p := range parts {
		dst = append(dst, p...)
	}
	return dst
}

// AppendStartup adds a startup message with these parameters, name and value in turn.
func AppendStartup(dst []byte, pairs ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, ProtocolVersion)
	for _, text := range pairs {
		body = append(body, text...)
		body = append(body, 0)
	}
	return Append(dst, 0, append(body, 0))
}

// AppendQuery adds a simple query.
func AppendQuery(dst []byte, sql string) []byte { return Append(dst, typeQuery, cstring(sql)) }

// AppendParse adds Parse.
func AppendParse(dst []byte, m ParseMessage) []byte {
	body := append(cstring(m.Name), cstring(m.Query)...)
	body = binary.BigEndian.AppendUint16(body, uint16(len(m.Types)))
	for _, t := range m.Types {
		body = binary.BigEndian.AppendUint32(body, t)
	}
	return Append(dst, typeParse, body)
}

// AppendBind adds Bind.
func AppendBind(dst []byte, m BindMessage) []byte {
	return Append(dst, typeBind, cstring(m.Portal), cstring(m.Statement), m.Rest)
}

// AppendTarget adds Describe ('D') or Close ('C') of a statement ('S') or portal ('P').
func AppendTarget(dst []byte, typ, kind byte, name string) []byte {
	return Append(dst, typ, []byte{kind}, cstring(name))
}

// AppendExecute adds Execute.
func AppendExecute(dst []byte, portal string, rows uint32) []byte {
	return Append(dst, typeExecute, cstring(portal), binary.BigEndian.AppendUint32(nil, rows))
}

// AppendReady adds ReadyForQuery outside a transaction.
func AppendReady(dst []byte) []byte { return Append(dst, typeReadyForQuery, []byte{statusIdle}) }

// AppendPair adds ParameterStatus.
func AppendPair(dst []byte, name, value string) []byte {
	return Append(dst, typeParameterStatus, cstring(name), cstring(value))
}

// AppendWelcome adds what a server answers to a startup message that it accepts.
func AppendWelcome(dst []byte) []byte {
	dst = Append(dst, typeAuthentication, []byte{0, 0, 0, 0})
	for _, parameter := range []struct{ name, value string }{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		dst = AppendPair(dst, parameter.name, parameter.value)
	}
	dst = Append(dst, typeBackendKeyData, make([]byte, 8)) // no cancel key: a cancel request is not served
	return AppendReady(dst)
}

// Error is what an ErrorResponse says.
type Error struct {
	Fatal      bool
	Code       string
	Message    string
	RetryAfter time.Duration // a client may retry after this: the field D, in milliseconds
}

// AppendError adds an ErrorResponse.
func AppendError(dst []byte, e Error) []byte {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	var body []byte
	add := func(field byte, value string) {
		body = append(body, field)
		body = append(body, value...)
		body = append(body, 0)
	}
	add(fieldSeverity, severity)
	add(fieldUnlocalized, severity)
	add(fieldSQLState, e.Code)
	add(fieldMessage, e.Message)
	if e.RetryAfter > 0 {
		body = append(body, fieldDetail)
		body = strconv.AppendInt(body, max(1, e.RetryAfter.Milliseconds()), 10)
		body = append(body, 0)
	}
	return Append(dst, typeErrorResponse, append(body, 0))
}

// cstring is a text as the protocol writes it, with a zero byte behind it.
func cstring(s string) []byte { return append([]byte(s), 0) }
