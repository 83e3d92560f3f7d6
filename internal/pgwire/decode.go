package pgwire

// Request codes of untyped messages.
const (
	ProtocolVersion = 3 << 16
	CancelRequest   = 1234<<16 | 5678
	SSLRequest      = 1234<<16 | 5679
	GSSENCRequest   = 1234<<16 | 5680
)

// majorVersion is the major version of the protocol. Startup reads parameters only from startup messages of this
// version.
const majorVersion = ProtocolVersion >> 16

// Startup decodes an untyped message. It returns the request code, and the parameters if the code is a protocol
// version.
func Startup(body []byte) (code uint32, params map[string]string, err error) {
	const message = "StartupMessage"
	d := newDecoder(body)
	code = d.uint32()
	if d.failed {
		return 0, nil, d.malformed(message)
	}
	if code>>16 != majorVersion {
		return code, nil, nil
	}
	params = map[string]string{}
	for {
		name := d.text()
		if d.failed {
			return code, nil, d.malformed(message)
		}
		if name == "" {
			return code, params, nil
		}
		params[name] = d.text()
	}
}

// Query decodes the text of a simple query.
func Query(body []byte) (string, error) {
	d := newDecoder(body)
	sql := d.text()
	return sql, d.end("Query")
}

// ParameterStatus decodes ParameterStatus.
func ParameterStatus(body []byte) (name, value string, err error) {
	d := newDecoder(body)
	name = d.text()
	value = d.text()
	return name, value, d.end("ParameterStatus")
}

// Fields decodes ErrorResponse and NoticeResponse.
func Fields(body []byte) (map[byte]string, error) {
	d := newDecoder(body)
	fields := map[byte]string{}
	for {
		code := d.byte()
		if code == 0 || d.failed {
			return fields, d.end("ErrorResponse")
		}
		fields[code] = d.text()
	}
}

// Row decodes DataRow. A NULL is nil.
func Row(body []byte) ([][]byte, error) {
	d := newDecoder(body)
	n := int(d.uint16())
	var values [][]byte
	for i := 0; i < n && !d.failed; i++ {
		values = append(values, d.value())
	}
	return values, d.end("DataRow")
}

// ParseMessage is the content of Parse.
type ParseMessage struct {
	Name, Query string
	Types       []uint32
}

// Parse decodes Parse.
func Parse(body []byte) (ParseMessage, error) {
	d := newDecoder(body)
	m := ParseMessage{Name: d.text(), Query: d.text()}
	n := int(d.uint16())
	for i := 0; i < n && !d.failed; i++ {
		m.Types = append(m.Types, d.uint32())
	}
	return m, d.end("Parse")
}

// BindMessage is the content of Bind. Rest holds the parameter formats, values and result formats, not decoded.
type BindMessage struct {
	Portal, Statement string
	Rest              []byte
}

// Bind decodes Bind and checks that its whole body is well formed.
func Bind(body []byte) (BindMessage, error) {
	d := newDecoder(body)
	m := BindMessage{Portal: d.text(), Statement: d.text()}
	m.Rest = d.rest
	d.formats()
	d.values()
	d.formats()
	return m, d.end("Bind")
}

// Target decodes Describe and Close. The kind is 'S' with the name of a statement, or 'P' with the name of a portal.
func Target(body []byte) (kind byte, name string, err error) {
	const message = "Describe or Close"
	d := newDecoder(body)
	kind = d.byte()
	if kind != kindStatement && kind != kindPortal {
		return 0, "", &FormatError{Message: message}
	}
	name = d.text()
	return kind, name, d.end(message)
}

// Execute decodes Execute.
func Execute(body []byte) (portal string, rows uint32, err error) {
	d := newDecoder(body)
	portal = d.text()
	rows = d.uint32()
	return portal, rows, d.end("Execute")
}
