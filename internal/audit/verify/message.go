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

// The message ids that the chain depends on.
const (
	kindStart   = "START"
	kindEnd     = "END"
	kindDropped = "DROPPED"
	kindChain   = "CHAIN"
)

const (
	// linkBytes is the length of a link in bytes.
	linkBytes = 16
	// linkLength is the length of a link as base64url without padding.
	linkLength = 22
)

// macPrefix is what stands in front of a head's own hash.
var macPrefix = []byte(` mac="`)

// link is the hash of a message as text; the zero value stands for none.
type link [linkLength]byte

// genesisLink is the link of the first message of a start.
var genesisLink = link([]byte(strings.Repeat("A", linkLength)))

// setTo copies the text of a link, and reports whether its length fits.
func (l *link) setTo(text []byte) bool {
	return copy(l[:], text) == len(text) && len(text) == linkLength
}

// isZero reports whether there is no link.
func (l *link) isZero() bool { return *l == link{} }

// sumLink returns the link that a hash has come to. buffer is memory for the sum.
func sumLink(hash *blake3.Hasher, buffer []byte) (l link) {
	base64.RawURLEncoding.Encode(l[:], hash.Sum(buffer[:0])[:linkBytes])
	return l
}

// message is one message of a file with what a worker found in it.
type message struct {
	raw    []byte
	index  int   // counted from 1
	offset int64 // in the file
	err    error // why it is no record

	isRecord  bool   // it has an audit element
	kind      string // MSGID
	start     string
	number    uint64 // 0 = none
	link      link
	nextLink  link   // the link that the message behind it has to carry, under the first key
	count     uint64 // of a head or of a record of losses
	first     uint64
	last      uint64
	key       string
	soundHead bool // a head whose own hash fits
}

// name says which message it is, for a fault.
func (m *message) name() string {
	if m.number == 0 {
		return m.kind
	}
	return fmt.Sprintf("%s number %d", m.kind, m.number)
}

// hasValidLosses reports whether the numbers of a record of losses can be right.
func (m *message) hasValidLosses() bool {
	if m.first == 0 || m.last < m.first || m.last >= m.number {
		return false
	}
	return m.count <= m.last-m.first+1
}

// maxWords bounds what a worker remembers of a file, which may hold anything.
const maxWords = 1024

// messageReader parses and hashes messages. Each belongs to one worker goroutine.
type messageReader struct {
	firstKey string // empty = no keys
	parsed   parser.Message
	hashes   map[string]*blake3.Hasher // by the name of the key
	words    map[string]string         // starts, kinds and keys that were seen, so that equal bytes share their memory
	sum      [32]byte
}

func newMessageReader(keys map[string][32]byte, keyNames []string) *messageReader {
	r := &messageReader{hashes: map[string]*blake3.Hasher{}, words: map[string]string{}}
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

// word returns bytes as a string, which is shared with earlier ones of the same content.
func (r *messageReader) word(p []byte) string {
	if word, ok := r.words[string(p)]; ok {
		return word
	}
	word := string(p)
	if len(r.words) < maxWords {
		r.words[word] = word
	}
	return word
}

// hash returns the link of the parts of a message under a key.
func (r *messageReader) hash(key string, parts ...[]byte) link {
	hash := r.hashes[key]
	hash.Reset()
	for _, part := range parts {
		hash.Write(part)
	}
	return sumLink(hash, r.sum[:])
}

var errTwoAuditElements = errors.New("two audit elements")

// read fills in what the chain needs to know of a message.
func (r *messageReader) read(m *message) {
	if m.err = r.parsed.Read(m.raw); m.err != nil {
		return
	}
	m.kind = r.word(r.parsed.ID)
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
		m.soundHead = r.isSoundHead(m, mac)
	}
}

// readElement reads the audit element, and the event element of a record of losses; others are passed over.
func (r *messageReader) readElement(m *message, element *parser.Element, mac *link) error {
	isAudit := bytes.HasPrefix(element.ID, []byte("audit@"))
	isLosses := m.kind == kindDropped && bytes.HasPrefix(element.ID, []byte("event@"))
	if !isAudit && !isLosses {
		return nil
	}
	if isAudit && m.isRecord {
		return errTwoAuditElements
	}
	m.isRecord = m.isRecord || isAudit
	for _, param := range element.Params {
		if !r.readParam(m, param, mac) {
			return fmt.Errorf("%s: %s does not fit", element.ID, param.Name)
		}
	}
	return nil
}

// readParam reads one parameter, and reports whether its value can be right.
func (r *messageReader) readParam(m *message, param parser.Param, mac *link) (ok bool) {
	ok = true
	switch string(param.Name) {
	case "start":
		m.start = r.word(param.Value)
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
		m.key = r.word(param.Value)
	case "mac":
		ok = mac.setTo(param.Value)
	}
	return ok
}

// isSoundHead reports whether a head's own hash fits. It was made with the genesis link in the place of the hash.
func (r *messageReader) isSoundHead(m *message, mac link) bool {
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
