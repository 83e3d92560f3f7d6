package verify

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/blake3"

	"limeladder/internal/syslog/parser"
)

// The kinds of messages (MSGID) that the verification treats specially.
const (
	kindStart   = "START"
	kindEnd     = "END"
	kindDropped = "DROPPED"
	kindChain   = "CHAIN"
)

const (
	// linkBytes is the length of a link in bytes.
	linkBytes = 16
	// linkLength is the length of a link in bytes as base64url text without padding (RFC 4648, section 5).
	linkLength = 22
)

// macPrefix is the text before a head's own hash.
var macPrefix = []byte(` mac="`)

// link is the hash of a message as text; the zero value means no link.
type link [linkLength]byte

// genesisLink is the link of the first message of a start.
var genesisLink = link([]byte(strings.Repeat("A", linkLength)))

// setTo sets the link to text, and reports whether its length is that of a link.
func (l *link) setTo(text []byte) bool {
	return copy(l[:], text) == len(text) && len(text) == linkLength
}

// isZero reports whether there is no link.
func (l *link) isZero() bool { return *l == link{} }

// linkFromHash returns the link for the current state of a hash. buffer is memory for the sum.
func linkFromHash(hash *blake3.Hasher, buffer []byte) (l link) {
	base64.RawURLEncoding.Encode(l[:], hash.Sum(buffer[:0])[:linkBytes])
	return l
}

// message is one message of a file with the data that a worker parsed from it.
type message struct {
	raw    []byte
	index  int   // counted from 1
	offset int64 // in the file, in bytes
	err    error // why it is not a valid record

	isRecord bool   // it has an audit element
	kind     string // MSGID
	start    string
	number   uint64 // 0 = none
	link     link
	nextLink link   // the link that the next message has to carry, under the first key
	count    uint64 // of a head or of a DROPPED record
	first    uint64
	last     uint64
	key      string
	validMAC bool // it is a head whose own hash is valid
}

// name returns the kind and number of the message, for the text of a fault.
func (m *message) name() string {
	if m.number == 0 {
		return m.kind
	}
	return fmt.Sprintf("%s number %d", m.kind, m.number)
}

// hasValidDropCounts reports whether the count and numbers of a DROPPED record are consistent.
func (m *message) hasValidDropCounts() bool {
	if m.first == 0 || m.last < m.first || m.last >= m.number {
		return false
	}
	return m.count <= m.last-m.first+1
}

// maxInternedStrings bounds the strings that a worker keeps, because a file may have any content.
const maxInternedStrings = 1024

// messageReader parses and hashes messages. Each worker goroutine has its own.
type messageReader struct {
	firstKey string // the name of the first key; empty = no keys
	parsed   parser.Message
	hashes   map[string]*blake3.Hasher // by the name of the key
	interned map[string]string         // the starts, kinds and keys so far, so that equal strings share memory
	sum      [32]byte
}

func newMessageReader(keys map[string][32]byte, keyNames []string) *messageReader {
	r := &messageReader{hashes: map[string]*blake3.Hasher{}, interned: map[string]string{}}
	if len(keyNames) > 0 {
		r.firstKey = keyNames[0]
	}
	for name, key := range keys {
		if hash, err := blake3.NewKeyed(key[:]); err == nil {
			r.hashes[name] = hash
		}
	}
	return r
}

// intern returns bytes as a string that shares memory with earlier strings of the same content.
func (r *messageReader) intern(p []byte) string {
	if text, ok := r.interned[string(p)]; ok {
		return text
	}
	text := string(p)
	if len(r.interned) < maxInternedStrings {
		r.interned[text] = text
	}
	return text
}

// hash returns the link for a message, which is passed in parts, under the key with the given name.
func (r *messageReader) hash(key string, parts ...[]byte) link {
	hash := r.hashes[key]
	hash.Reset()
	for _, part := range parts {
		hash.Write(part)
	}
	return linkFromHash(hash, r.sum[:])
}

var errTwoAuditElements = errors.New("the message has two audit elements")

// read parses the raw bytes of a message and sets the fields that checking the chain needs.
func (r *messageReader) read(m *message) {
	if m.err = r.parsed.Read(m.raw); m.err != nil {
		return
	}
	m.kind = r.intern(r.parsed.ID)
	var mac link
	for i := range r.parsed.Elements {
		if m.err = r.readElement(m, &r.parsed.Elements[i], &mac); m.err != nil {
			return
		}
	}
	if !m.isRecord || r.firstKey == "" {
		return
	}
	m.nextLink = r.hash(r.firstKey, m.raw)
	if m.kind == kindChain && r.hashes[m.key] != nil && !mac.isZero() {
		m.validMAC = r.hasValidMAC(m, mac)
	}
}

// readElement reads the audit element, and the event element of a DROPPED record. It ignores other elements.
func (r *messageReader) readElement(m *message, element *parser.Element, mac *link) error {
	isAudit := bytes.HasPrefix(element.ID, []byte("audit@"))
	isDroppedEvent := m.kind == kindDropped && bytes.HasPrefix(element.ID, []byte("event@"))
	if !isAudit && !isDroppedEvent {
		return nil
	}
	if isAudit && m.isRecord {
		return errTwoAuditElements
	}
	m.isRecord = m.isRecord || isAudit
	for _, param := range element.Params {
		if !r.readParam(m, param, mac) {
			return fmt.Errorf("%s: the value of %s is invalid", element.ID, param.Name)
		}
	}
	return nil
}

// readParam reads one parameter, and reports whether its value is well-formed.
func (r *messageReader) readParam(m *message, param parser.Param, mac *link) (ok bool) {
	ok = true
	switch string(param.Name) {
	case "start":
		m.start = r.intern(param.Value)
	case "link":
		ok = m.link.setTo(param.Value)
	case "seq":
		m.number, ok = parser.ParseNumber(param.Value)
	case "count":
		m.count, ok = parser.ParseNumber(param.Value)
	case "first":
		m.first, ok = parser.ParseNumber(param.Value)
	case "last":
		m.last, ok = parser.ParseNumber(param.Value)
	case "key":
		m.key = r.intern(param.Value)
	case "mac":
		ok = mac.setTo(param.Value)
	}
	return ok
}

// hasValidMAC reports whether a head's own hash is valid. The hash was computed with the genesis link in its place.
func (r *messageReader) hasValidMAC(m *message, mac link) bool {
	prefix := bytes.Index(m.raw, macPrefix)
	if prefix < 0 {
		return false
	}
	from := prefix + len(macPrefix)
	to := from + linkLength
	if to > len(m.raw) {
		return false
	}
	return r.hash(m.key, m.raw[:from], genesisLink[:], m.raw[to:]) == mac
}
