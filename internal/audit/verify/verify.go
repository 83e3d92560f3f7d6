// Package verify proves that a collected file of audit records is complete and unchanged, or reports the faults in it.
// It implements the format that the page docs/syslog.md describes and shares no code with package audit, which writes
// the records, so that an error in the writer is not repeated here. It opens no files.
//
// Verifier.File runs on the caller's goroutine. A separate goroutine splits the input into messages, and several worker
// goroutines parse and hash them. The chain is checked on the caller's goroutine, in the order of the file.
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

// defaultMaxMessageBytes is the size limit of a message in bytes, unless Options set another.
const defaultMaxMessageBytes = 1 << 20

// Options configure a Verifier.
type Options struct {
	Keys            map[string][32]byte // by name; without keys only the numbers are checked and nothing is proved
	Partial         bool                // starts may begin before the files and continue after them, as after a rotation
	MaxMessageBytes int                 // the size limit of a message in bytes, 0 = 1 MiB
	Workers         int                 // goroutines that parse, 0 = GOMAXPROCS
}

// Verifier verifies files, which have to be passed to File in the order in which they were written. It is not safe for
// concurrent use.
type Verifier struct {
	options  Options
	keyNames []string // sorted
	report   Report
	starts   map[string]*startState
	order    []*startState // in the order of their first messages
}

// New returns a Verifier that has read nothing.
func New(options Options) *Verifier {
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = defaultMaxMessageBytes
	}
	if options.Workers == 0 {
		options.Workers = runtime.GOMAXPROCS(0)
	}
	v := &Verifier{options: options, starts: map[string]*startState{}}
	for name := range options.Keys {
		v.keyNames = append(v.keyNames, name)
	}
	slices.Sort(v.keyNames)
	v.report.HasKeys = len(v.keyNames) > 0
	return v
}

// blockSize is the maximum number of messages in a block.
const blockSize = 1024

// block is a sequence of consecutive messages of a file, which one worker parses.
type block struct {
	messages []message
	parsed   chan struct{} // closed once a worker has parsed the messages
	err      error         // the error that ended the file after these messages, io.EOF at its end
	index    int           // the index of the message at which reading failed, counted from 1
	offset   int64         // the offset in the file, in bytes, of the message at which reading failed
}

// File verifies one file. It returns an error if reading fails; faults in the content are added to the report.
func (v *Verifier) File(name string, input io.Reader) error {
	toParse := make(chan *block, v.options.Workers)
	inOrder := make(chan *block, 2*v.options.Workers)
	go splitFile(parser.NewFrames(input, v.options.MaxMessageBytes), toParse, inOrder)
	for range v.options.Workers {
		go parseBlocks(newMessageReader(v.options.Keys, v.keyNames), toParse)
	}
	var readErr error
	for b := range inOrder {
		<-b.parsed
		for i := range b.messages {
			v.checkMessage(name, &b.messages[i])
		}
		switch {
		case b.err == nil, errors.Is(b.err, io.EOF):
		case isFramingError(b.err):
			what := b.err.Error() + ": the rest of the file cannot be read"
			v.report.addFault(Fault{File: name, Message: b.index, Offset: b.offset, Problem: what})
		default:
			readErr = b.err
		}
	}
	return readErr
}

// isFramingError reports whether an error means that the rest of a file cannot be split into messages.
func isFramingError(err error) bool {
	return errors.Is(err, parser.ErrTruncated) || errors.Is(err, parser.ErrOctetCount) ||
		errors.Is(err, parser.ErrTooLong)
}

// splitFile splits the input into blocks until it ends or reading fails. It sends each block to the workers, and also
// to the goroutine that runs File.
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

// readBlock reads the next block. read is the number of messages that were read from the file before.
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

// parseBlocks parses and hashes the messages of blocks until the channel is closed. Each worker goroutine runs it.
func parseBlocks(reader *messageReader, blocks <-chan *block) {
	for b := range blocks {
		for i := range b.messages {
			reader.read(&b.messages[i])
		}
		close(b.parsed)
	}
}

// Report returns the result for all files that were verified so far.
func (v *Verifier) Report() *Report {
	report := v.report
	for _, state := range v.order {
		report.Starts = append(report.Starts, state.Start)
	}
	return &report
}

// faultFunc adds a fault of one message to the report.
type faultFunc func(format string, args ...any)

// checkMessage checks the next message of a file against those before it.
func (v *Verifier) checkMessage(file string, m *message) {
	v.report.Messages++
	fault := func(format string, args ...any) {
		what := fmt.Sprintf(format, args...)
		v.report.addFault(Fault{File: file, Message: m.index, Offset: m.offset, Start: m.start, Problem: what})
	}
	switch {
	case m.err != nil:
		fault("not a record: %v", m.err)
		return
	case !m.isRecord:
		v.report.Foreign++
		return
	case m.start == "":
		fault("the record has no start id")
		return
	}
	state := v.stateOf(m, fault)
	if state.isRepeated(m) {
		state.Repeated++
		return
	}
	state.Messages++
	if state.hasEnded && m.kind != kindChain {
		fault("%s comes after the last record of the start", m.name())
	}
	linkMatches := v.checkLink(state, m, fault)
	if m.kind == kindChain {
		v.checkHead(state, m, fault)
	} else {
		v.checkRecord(state, m, linkMatches, fault)
	}
	state.advance(m)
}

// stateOf returns the state of the start that a message belongs to. It reports a fault if the message is the first one
// of a new start but not its START record with number 1, unless Options.Partial is set.
func (v *Verifier) stateOf(m *message, fault faultFunc) *startState {
	if state := v.starts[m.start]; state != nil {
		return state
	}
	state, complete := newStartState(m)
	v.starts[m.start] = state
	v.order = append(v.order, state)
	if !complete && !v.options.Partial {
		fault("the beginning of the start is missing: its first message in the files is %s", m.name())
	}
	return state
}

// checkLink checks that the link of a message matches the previous message of the chain, and reports whether it does.
// Without keys it returns true, because links cannot be checked.
func (v *Verifier) checkLink(state *startState, m *message, fault faultFunc) bool {
	if !v.report.HasKeys || m.link == state.link || v.matchesOtherKey(state, m.link) {
		return true
	}
	state.hasFault = true
	switch {
	case m.link.isZero():
		fault("%s has no link", m.name())
	case m.number != 0 && m.number < state.nextNumber:
		fault("%s comes after number %d: it was moved or inserted", m.name(), state.nextNumber-1)
	case m.number > state.nextNumber:
		fault("numbers %d to %d are missing", state.nextNumber, m.number-1)
	default:
		fault("the link of %s does not match the previous message: one of them was changed, or messages between are missing",
			m.name())
	}
	return false
}

// matchesOtherKey reports whether a link matches the previous message under any key but the first, as it does after a
// change of the key.
func (v *Verifier) matchesOtherKey(state *startState, want link) bool {
	if state.newestRaw == nil {
		return false
	}
	for _, name := range v.keyNames[1:] {
		key := v.options.Keys[name]
		hash, err := blake3.NewKeyed(key[:])
		if err != nil {
			continue
		}
		hash.Write(state.newestRaw)
		if linkFromHash(hash, nil) == want {
			return true
		}
	}
	return false
}

// checkRecord checks the number of a record. For a DROPPED record it also checks the counts, and for an END record that
// the missing numbers match the reported ones.
func (v *Verifier) checkRecord(state *startState, m *message, linkMatches bool, fault faultFunc) {
	switch {
	case m.number == 0:
		fault("%s has no number", m.name())
		return
	case m.number < state.nextNumber && linkMatches:
		fault("%s comes after number %d", m.name(), state.nextNumber-1)
	case m.number > state.nextNumber && linkMatches:
		// The link is valid across the gap, so the router itself dropped the records with these numbers.
		state.Missing += m.number - state.nextNumber
	}
	if m.kind == kindDropped {
		if !m.hasValidDropCounts() {
			fault("the counts of the DROPPED record are invalid")
		}
		state.ReportedDropped += m.count
	}
	if m.kind == kindEnd {
		state.hasEnded = true
		if state.Missing != state.ReportedDropped && !state.hasFault && !v.options.Partial {
			fault("%d numbers are missing, but the router reported %d dropped records", state.Missing, state.ReportedDropped)
		}
	}
}

// checkHead checks a head of the chain, which proves the messages since the previous head.
func (v *Verifier) checkHead(state *startState, m *message, fault faultFunc) {
	state.Heads++
	if !v.report.HasKeys {
		return
	}
	if _, ok := v.options.Keys[m.key]; !ok {
		fault("the head of the chain uses the key %q, which is not in the key file", m.key)
		return
	}
	if !m.validMAC {
		fault("the hash that the head carries of itself does not match: the head was changed")
		return
	}
	declared := headSpan{count: m.count, first: m.first, last: m.last}
	found := state.sinceHead
	if !state.hasFault && declared != found {
		fault("the head covers %d messages, numbers %d to %d, but it follows %d messages, numbers %d to %d",
			declared.count, declared.first, declared.last, found.count, found.first, found.last)
	}
	state.Ended = state.hasEnded
}
