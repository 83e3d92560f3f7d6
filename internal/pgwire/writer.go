package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Append appends a message of the given type with the concatenated parts as its body. Type 0 is an untyped message.
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

// AppendStartup appends a startup message with parameters, given as alternating names and values.
func AppendStartup(dst []byte, pairs ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, ProtocolVersion)
	for _, text := range pairs {
		body = append(body, text...)
		body = append(body, 0)
	}
	return Append(dst, 0, append(body, 0))
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, sql string) []byte { return Append(dst, typeQuery, cstring(sql)) }

// AppendParse appends Parse.
func AppendParse(dst []byte, m ParseMessage) []byte {
	body := append(cstring(m.Name), cstring(m.Query)...)
	body = binary.BigEndian.AppendUint16(body, uint16(len(m.Types)))
	for _, t := range m.Types {
		body = binary.BigEndian.AppendUint32(body, t)
	}
	return Append(dst, typeParse, body)
}

// AppendBind appends Bind.
func AppendBind(dst []byte, m BindMessage) []byte {
	return Append(dst, typeBind, cstring(m.Portal), cstring(m.Statement), m.Rest)
}

// AppendTarget appends Describe ('D') or Close ('C') of a statement ('S') or portal ('P').
func AppendTarget(dst []byte, typ, kind byte, name string) []byte {
	return Append(dst, typ, []byte{kind}, cstring(name))
}

// AppendExecute appends Execute.
func AppendExecute(dst []byte, portal string, rows uint32) []byte {
	return Append(dst, typeExecute, cstring(portal), binary.BigEndian.AppendUint32(nil, rows))
}

// AppendReady appends ReadyForQuery outside a transaction.
func AppendReady(dst []byte) []byte { return Append(dst, typeReadyForQuery, []byte{statusIdle}) }

// AppendParameterStatus appends ParameterStatus.
func AppendParameterStatus(dst []byte, name, value string) []byte {
	return Append(dst, typeParameterStatus, cstring(name), cstring(value))
}

// AppendStartupResponse appends the response of a server that accepts a startup message.
func AppendStartupResponse(dst []byte) []byte {
	dst = Append(dst, typeAuthentication, []byte{0, 0, 0, 0})
	for _, parameter := range []struct{ name, value string }{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		dst = AppendParameterStatus(dst, parameter.name, parameter.value)
	}
	dst = Append(dst, typeBackendKeyData, make([]byte, 8)) // no usable cancel key, since cancel requests are not supported
	return AppendReady(dst)
}

// Error is the content of an ErrorResponse.
type Error struct {
	Fatal      bool
	Code       string
	Message    string
	RetryAfter time.Duration // the client may retry after this time, sent in the detail field (D) in milliseconds
}

// AppendError appends an ErrorResponse.
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
	add(fieldSeverityUnlocalized, severity)
	add(fieldSQLState, e.Code)
	add(fieldMessage, e.Message)
	if e.RetryAfter > 0 {
		body = append(body, fieldDetail)
		body = strconv.AppendInt(body, max(1, e.RetryAfter.Milliseconds()), 10)
		body = append(body, 0)
	}
	return Append(dst, typeErrorResponse, append(body, 0))
}

// cstring returns s with the terminating zero byte of a string on the wire.
func cstring(s string) []byte { return append([]byte(s), 0) }
