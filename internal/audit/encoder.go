package audit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"limeladder/internal/syslog"
)

// EncoderOptions configure an Encoder.
type EncoderOptions struct {
	Head             syslog.Header
	Enterprise       uint32 // the operator's private enterprise number, in the names of the elements
	MaxMessageBytes  int    // the size limit of a message in bytes
	Software         string // the name of the program, for the element origin
	Version          string // the version of the program, for the element origin
	Start            string // the id of this start of the program
	StartedAt        time.Time
	RejectedSQLSTATE string              // the SQLSTATE that a client gets when its request is rejected
	FailedSQLSTATE   string              // the SQLSTATE that a client gets when its request fails
	Key              *Key                // nil = no chain
	Quality          func() ClockQuality // reads the quality of the clock; nil = messages have no element timeQuality
}

// ClockQuality is the quality of the clock, for the element timeQuality (RFC 5424, section 7.1).
type ClockQuality struct {
	Synced   bool
	Accuracy time.Duration // the maximum error of a synced clock; 0 = unknown
}

// qualityInterval is the time after which the clock's quality is read again.
const qualityInterval = 10 * time.Second

// upTimeUnit is the unit of the parameter sysUpTime of the element meta (RFC 5424, section 7.3.3).
const upTimeUnit = 10 * time.Millisecond

// maxSequenceID is the highest sequenceId of the element meta, which is followed by 1 (RFC 5424, section 7.3.1).
const maxSequenceID = 1<<31 - 1

// The router's own elements, as indexes of Encoder.elementIDs.
const (
	elementAudit = iota
	elementRequest
	elementAnswer
	elementEvent
	elementCount
)

// errNoChain is returned when the head of the chain is requested but the Encoder has no key.
var errNoChain = errors.New("audit: the messages are not chained")

// Encoder encodes the records of one start as messages. It is not safe for concurrent use.
type Encoder struct {
	options           EncoderOptions
	builder           *syslog.Builder
	elementIDs        [elementCount]string
	chain             *chain // nil = the messages are not chained
	sequenceID        uint64 // the sequenceId of the newest message
	headCount         uint64
	firstSinceHead    uint64 // the first record number since the last head, 0 = none
	lastNumber        uint64 // the newest record number
	messagesSinceHead uint64
	qualityElement    []byte // nil = none
	originElement     []byte
	qualityReadAt     time.Time
}

// NewEncoder returns an Encoder for one start.
func NewEncoder(options EncoderOptions) (*Encoder, error) {
	encoder := &Encoder{options: options, builder: syslog.NewBuilder(options.Head)}
	enterprise := strconv.FormatUint(uint64(options.Enterprise), 10)
	for i, name := range [elementCount]string{"audit", "request", "answer", "event"} {
		encoder.elementIDs[i] = name + "@" + enterprise
	}
	encoder.originElement = syslog.PrepareElement("origin",
		"software", options.Software, "swVersion", options.Version, "enterpriseId", enterprise)
	if options.Key == nil {
		return encoder, nil
	}
	chain, err := newChain(*options.Key)
	if err != nil {
		return nil, err
	}
	encoder.chain = chain
	return encoder, nil
}

// Encode returns the message of a record. Its bytes are valid until the next call.
func (e *Encoder) Encode(record Record) []byte {
	e.beginMessage(severityOf(record.Event), record.Time, record.Event.kind())
	e.builder.Uint(syslog.Keep, "seq", record.Seq)
	if e.firstSinceHead == 0 {
		e.firstSinceHead = record.Seq
	}
	e.lastNumber = record.Seq
	text := e.writeEvent(record.Event)
	msg := e.endMessage(record.Time, text)
	if e.chain != nil {
		e.chain.advance(msg)
	}
	return msg
}

// MessagesSinceHead returns the number of messages since the last head of the chain, or 0 if there is no chain.
func (e *Encoder) MessagesSinceHead() uint64 {
	if e.chain == nil {
		return 0
	}
	return e.messagesSinceHead
}

// EncodeHead returns the head of the chain as a message. It carries the count and the first and last numbers of the
// records since the previous head, and its own hash, which proves every message up to it. next, if not nil, is the key
// that hashes this head, for the link of the message after it, and all later messages.
func (e *Encoder) EncodeHead(at time.Time, next *Key) ([]byte, error) {
	if e.chain == nil {
		return nil, errNoChain
	}
	e.headCount++
	e.beginMessage(syslog.Info, at, KindChain)
	builder := e.builder
	builder.Uint(syslog.Keep, "head", e.headCount)
	builder.String(syslog.Keep, "key", e.chain.key.Name)
	builder.Uint(syslog.Keep, "first", e.firstSinceHead)
	builder.Uint(syslog.Keep, "last", e.lastNumber)
	builder.Uint(syslog.Keep, "count", e.messagesSinceHead)
	if next != nil {
		builder.String(rankMeta, "next", next.Name)
	}
	builder.Raw(syslog.Keep, "mac", func(p []byte) []byte { return append(p, genesisLink[:]...) })
	msg := e.endMessage(at, "")
	e.chain.writeHeadMAC(msg)
	e.firstSinceHead = 0
	e.messagesSinceHead = 0
	if next != nil {
		if err := e.chain.useKey(*next); err != nil {
			return nil, err
		}
	}
	e.chain.advance(msg)
	return msg, nil
}

// beginMessage writes the part that every message has before its own parameters.
func (e *Encoder) beginMessage(severity syslog.Severity, at time.Time, kind Kind) {
	builder := e.builder
	builder.Begin(severity, at, Kinds()[kind])
	builder.Element(e.elementIDs[elementAudit], true)
	builder.String(syslog.Keep, "start", e.options.Start)
	if e.chain != nil {
		builder.Raw(syslog.Keep, "link", func(p []byte) []byte { return append(p, e.chain.link[:]...) })
	}
}

// endMessage writes the part that every message has after its own parameters, and cuts the message to the size limit.
func (e *Encoder) endMessage(at time.Time, text string) []byte {
	e.sequenceID = e.sequenceID%maxSequenceID + 1
	e.refreshQuality(at)
	builder := e.builder
	builder.Element("meta", false)
	builder.Uint(rankMeta, "sequenceId", e.sequenceID)
	builder.Int(rankMeta, "sysUpTime", max(0, int64(at.Sub(e.options.StartedAt)/upTimeUnit)))
	if e.qualityElement != nil {
		builder.PreparedElement(rankQuality, e.qualityElement)
	}
	builder.PreparedElement(rankOrigin, e.originElement)
	builder.Text(text)
	e.messagesSinceHead++
	return builder.End(e.options.MaxMessageBytes)
}

// refreshQuality reads the quality of the clock again if the last reading is older than qualityInterval.
func (e *Encoder) refreshQuality(at time.Time) {
	if e.options.Quality == nil || at.Sub(e.qualityReadAt).Abs() <= qualityInterval {
		return
	}
	e.qualityReadAt = at
	quality := e.options.Quality()
	pairs := []string{"tzKnown", "1", "isSynced", formatFlag(quality.Synced)}
	if quality.Synced && quality.Accuracy > 0 {
		pairs = append(pairs, "syncAccuracy", strconv.FormatInt(quality.Accuracy.Microseconds(), 10))
	}
	e.qualityElement = syslog.PrepareElement("timeQuality", pairs...)
}

// NewStartID returns the id of a start: its time in Unix milliseconds and a random part, both in hexadecimal.
func NewStartID(at time.Time, random uint32) string {
	return strings.ToLower(fmt.Sprintf("%011x%08x", at.UnixMilli(), random))
}
