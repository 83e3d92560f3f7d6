// Package verify proves that a collected file of audit records is complete and unchanged, or names what is first wrong
// with it. It knows the format of the page docs/syslog.md alone and shares no code with package audit, which writes the
// records, so that a mistake of the writer is not repeated here. It opens no file.
//
// File runs on the caller's goroutine. One goroutine of its own splits the input into messages, and a few workers parse
// and hash them; the chain is followed on the caller's goroutine, in the order of the file.
package verify

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"

	"github.com/zeebo/blake3"

	"limeladder/internal/syslog/parser"
)

// defaultMaxMessage is the size limit of a message in bytes, unless Options say another.
const defaultMaxMessage = 1 << 20

// Options say how strictly a file is checked.
type Options struct {
	Keys    map[string][32]byte // by name; without keys only the numbers are checked, and nothing is proved
	Partial bool                // starts may begin before the file and go on behind it, as where files are rotated
	Most    int                 // the size limit of a message in bytes, 0 = 1 MiB
	Workers int                 // goroutines that parse, 0 = one a processor
}

// Verifier reads files one after the other, in the order in which they were written. Only one goroutine may use it.
type Verifier struct {
	options  Options
	keyNames []string // sorted
	report   Report
	starts   map[string]*startState
	order    []*startState // in the order of their first messages
}

// New returns a Verifier that has read nothing.
func New(options Options) *Verifier {
	if options.Most == 0 {
		options.Most = defaultMaxMessage
	}
	if options.Workers == 0 {
		options.Workers = runtime.GOMAXPROCS(0)
	}
	v := &Verifier{options: options, starts: map[string]*startState{}}
	for name := range options.Keys {
		v.keyNames = append(v.keyNames, name)
	}
	slices.Sort(v.keyNames)
	v.report.Proved = len(v.keyNames) > 0
	return v
}

// blockSize is how many messages a worker parses at once.
const blockSize = 1024

// block is a run of messages of a file.
type block struct {
	messages []message
	parsed   chan struct{} // closed once a worker has parsed them
	err      error         // of the reader, behind the messages
	index    int           // of the message at which the error came
	offset   int64         // of the message at which the error came
}

// File reads one file. The error is one of reading; what is wrong with the content is a fault of the report.
func (v *Verifier) File(name string, input io.Reader) error {
	toParse := make(chan *block, v.options.Workers)
	inOrder := make(chan *block, 2*v.options.Workers)
	go splitFile(parser.NewFrames(input, v.options.Most), toParse, inOrder)
	for range v.options.Workers {
		go parseBlocks(newMessageReader(v.options.Keys, v.keyNames), toParse)
	}
	var failed error
	for b := range inOrder {
		<-b.parsed
		for i := range b.messages {
			v.check(name, &b.messages[i])
		}
		switch {
		case b.err == nil, errors.Is(b.err, io.EOF):
		case isFramingError(b.err):
			what := b.err.Error() + ": the rest can't be read"
			v.report.add(Fault{File: name, Message: b.index, Offset: b.offset, What: what})
		default:
			failed = b.err
		}
	}
	return failed
}

// isFramingError reports whether the content of a file can't be split into messages.
func isFramingError(err error) bool {
	return errors.Is(err, parser.ErrTruncated) || errors.Is(err, parser.ErrOctetCount) ||
		errors.Is(err, parser.ErrTooLong)
}

// splitFile splits the input into blocks until it ends, and hands each to the workers and to the caller of File.
func splitFile(frames *parser.Frames, toParse, inOrder chan<- *block) {
	defer close(toParse)
	defer close(inOrder)
	read := 0
	for {
		b := readBlock(frames, read)
		read += len(b.messages)
		toParse <- b
		inOrder <- b
		if b.err != nil {
			return
		}
	}
}

// readBlock reads the next block behind so many messages of the file.
func readBlock(frames *parser.Frames, read int) *block {
	b := &block{messages: make([]message, 0, blockSize), parsed: make(chan struct{})}
	for len(b.messages) < blockSize {
		b.offset = frames.Offset()
		b.index = read + len(b.messages) + 1
		raw, err := frames.Next()
		if err != nil {
			b.err = err
			return b
		}
		b.messages = append(b.messages, message{raw: raw, index: b.index, offset: b.offset})
	}
	return b
}

// parseBlocks is the goroutine of a worker.
func parseBlocks(reader *messageReader, blocks <-chan *block) {
	for b := range blocks {
		for i := range b.messages {
			reader.read(&b.messages[i])
		}
		close(b.parsed)
	}
}

// Report returns what was found in all files.
func (v *Verifier) Report() *Report {
	report := v.report
	for _, state := range v.order {
		report.Starts = append(report.Starts, state.Start)
	}
	return &report
}

// faultFunc notes a fault of one message.
type faultFunc func(format string, args ...any)

// check enters the next message of a file.
func (v *Verifier) check(file string, m *message) {
	v.report.Messages++
	fault := func(format string, args ...any) {
		what := fmt.Sprintf(format, args...)
		v.report.add(Fault{File: file, Message: m.index, Offset: m.offset, Start: m.start, What: what})
	}
	switch {
	case m.err != nil:
		fault("not a record: %v", m.err)
		return
	case !m.isRecord:
		v.report.Foreign++
		return
	case m.start == "":
		fault("a record of no start")
		return
	}
	state := v.stateOf(m, fault)
	if state.isRepeated(m) {
		state.Repeated++
		return
	}
	state.Messages++
	if state.hasEnded && m.kind != kindChain {
		fault("%s stands behind the last record of the start", m.name())
	}
	linkFits := v.checkLink(state, m, fault)
	if m.kind == kindChain {
		v.checkHead(state, m, fault)
	} else {
		v.checkRecord(state, m, linkFits, fault)
	}
	state.advance(m)
}

// stateOf returns the state of the start of a message. A start that was not seen before has to begin at its beginning.
func (v *Verifier) stateOf(m *message, fault faultFunc) *startState {
	if state := v.starts[m.start]; state != nil {
		return state
	}
	state, complete := newStartState(m)
	v.starts[m.start] = state
	v.order = append(v.order, state)
	if !complete && !v.options.Partial {
		fault("the beginning of the start is missing: its first message here is %s", m.name())
	}
	return state
}

// checkLink reports whether a message follows the one before it in the chain; without keys it returns true, since
// nothing can be proved.
func (v *Verifier) checkLink(state *startState, m *message, fault faultFunc) bool {
	if !v.report.Proved || m.link == state.link || v.fitsOtherKey(state, m.link) {
		return true
	}
	state.hasFault = true
	switch {
	case m.link.isZero():
		fault("%s carries no link", m.name())
	case m.number != 0 && m.number < state.nextNumber:
		fault("%s stands behind number %d: moved, or put in", m.name(), state.nextNumber-1)
	case m.number > state.nextNumber:
		fault("numbers %d to %d are missing", state.nextNumber, m.number-1)
	default:
		fault("%s does not follow the message before it: one of them was changed, or something is missing between them",
			m.name())
	}
	return false
}

// fitsOtherKey reports whether a link fits under another key than the first, as behind a change of the key.
func (v *Verifier) fitsOtherKey(state *startState, want link) bool {
	if state.newest == nil {
		return false
	}
	for _, name := range v.keyNames[1:] {
		key := v.options.Keys[name]
		hash, err := blake3.NewKeyed(key[:])
		if err != nil {
			continue
		}
		hash.Write(state.newest)
		if sumLink(hash, nil) == want {
			return true
		}
	}
	return false
}

// checkRecord checks the number of a record, and what a record of losses and the last record say of missing ones.
func (v *Verifier) checkRecord(state *startState, m *message, linkFits bool, fault faultFunc) {
	switch {
	case m.number == 0:
		fault("%s has no number", m.name())
		return
	case m.number < state.nextNumber && linkFits:
		fault("%s stands behind number %d", m.name(), state.nextNumber-1)
	case m.number > state.nextNumber && linkFits:
		// Where the chain holds across the gap, the router numbered these records and dropped them.
		state.Missing += m.number - state.nextNumber
	}
	if m.kind == kindDropped {
		if !m.hasValidLosses() {
			fault("a record of losses that does not fit")
		}
		state.ReportedDropped += m.count
	}
	if m.kind == kindEnd {
		state.hasEnded = true
		if state.Missing != state.ReportedDropped && !state.hasFault && !v.options.Partial {
			fault("%d numbers are missing, and the router tells of %d", state.Missing, state.ReportedDropped)
		}
	}
}

// checkHead checks a head of the chain, which proves the messages since the head before it.
func (v *Verifier) checkHead(state *startState, m *message, fault faultFunc) {
	state.Heads++
	if !v.report.Proved {
		return
	}
	if _, ok := v.options.Keys[m.key]; !ok {
		fault("a head under the key %q, which the key file does not have", m.key)
		return
	}
	if !m.soundHead {
		fault("a head whose own hash does not fit: it was changed")
		return
	}
	told := headSpan{count: m.count, first: m.first, last: m.last}
	found := state.sinceHead
	if !state.hasFault && told != found {
		fault("a head of %d messages, numbers %d to %d, behind %d messages, numbers %d to %d",
			told.count, told.first, told.last, found.count, found.first, found.last)
	}
	state.Ended = state.hasEnded
}
