// Package verify proves a collected file of audit records whole, or names what is first wrong with it. It shares no code
// with what writes the records: it knows the format of the page docs/syslog.md alone.
package verify

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"

	"github.com/zeebo/blake3"

	"limeladder/internal/syslog/parser"
)

// Options say how strictly a file is looked at.
type Options struct {
	Keys    map[string][32]byte // by name; none: numbers alone are checked, and nothing is proved
	Partial bool                // starts may begin before the file and go on behind it, as where files are rotated
	Most    int                 // bytes of the longest message
	Workers int                 // goroutines that parse, 0 = one a processor
}

// Fault is something that must not be in a file that is whole.
type Fault struct {
	File    string
	Message int   // counted from 1
	Offset  int64 // where it starts
	Start   string
	What    string
}

func (f Fault) String() string {
	s := fmt.Sprintf("%s: message %d at byte %d: %s", f.File, f.Message, f.Offset, f.What)
	if f.Start != "" {
		s += " (start " + f.Start + ")"
	}
	return s
}

// Start is what was found of one start.
type Start struct {
	ID       string
	Messages int
	First    uint64 // the lowest number
	Last     uint64 // and the highest
	Repeated int    // messages that came again, byte for byte
	Missing  uint64 // numbers that are not there
	Told     uint64 // of which the router says that it had no room for them
	Heads    uint64
	Unproved int  // messages behind the last head
	Ended    bool // its last record and a head behind it are there
}

// Report is what a file, or several in order, show.
type Report struct {
	Messages int
	Foreign  int // messages without an audit element, which prove nothing
	Faults   []Fault
	More     int // faults beyond those that are kept
	Starts   []*Start
	Proved   bool // there were keys
}

// Whole says whether nothing is wrong and every start is proved from its first record to its last. Records that the
// router itself tells it had no room for are no fault.
func (r *Report) Whole() bool { return r.Clean() && r.Proved && !r.Open() }

// Clean says whether nothing is wrong as far as the file goes.
func (r *Report) Clean() bool { return len(r.Faults) == 0 }

// Open says whether a start is not ended, or has records that no head proves yet.
func (r *Report) Open() bool {
	for _, s := range r.Starts {
		if !s.Ended || s.Unproved > 0 {
			return true
		}
	}
	return len(r.Starts) == 0
}

// keep bounds the faults that a report holds.
const keep = 100

// linkText is the length of a link: 128 bits as base64url.
const linkText = 22

// link is one, as it is written; the zero value is none.
type link [linkText]byte

// genesis is the link of the first message of a start.
func genesis() (l link) {
	copy(l[:], strings.Repeat("A", linkText))
	return l
}

// window is how many of the newest messages of a start are remembered, to know one that comes again.
const window = 1 << 14

// track follows one start.
type track struct {
	*Start
	link    link   // what the next message has to carry
	lastMsg []byte // hashed again under another key where link does not fit
	next    uint64 // the next number
	since   uint64 // messages since the last head
	first   uint64 // numbers since then
	last    uint64
	broken  bool // a fault stands since the last head: its count can't fit
	seen    map[link]bool
	order   []link // a ring
	oldest  int
	ended   bool
}

// Verifier reads files one after the other, in the order in which they were written.
type Verifier struct {
	opt    Options
	names  []string // of the keys
	rep    Report
	starts map[string]*track
	order  []*track
}

// New returns a Verifier that has seen nothing.
func New(opt Options) *Verifier {
	if opt.Most == 0 {
		opt.Most = 1 << 20
	}
	if opt.Workers == 0 {
		opt.Workers = runtime.GOMAXPROCS(0)
	}
	v := &Verifier{opt: opt, starts: map[string]*track{}}
	for n := range opt.Keys {
		v.names = append(v.names, n)
	}
	sort.Strings(v.names)
	v.rep.Proved = len(v.names) > 0
	return v
}

// item is one message with what a worker found in it.
type item struct {
	raw   []byte
	index int
	at    int64
	err   error

	audit bool
	kind  string
	start string
	seq   uint64 // 0 = none
	link  link
	next  link   // the link that the message behind it has to carry, under the first key
	count uint64 // of a head or of a record of losses
	first uint64
	last  uint64
	key   string
	sound bool // a head whose own hash fits
}

// blockSize is how many messages a worker takes at once.
const blockSize = 1024

type block struct {
	items []item
	done  chan struct{}
	err   error // the reader's, behind the items
	at    int64
	index int
}

// File reads one file. The error is one of reading; what is wrong with the content is a fault.
func (v *Verifier) File(name string, r io.Reader) error {
	frames := parser.NewFrames(r, v.opt.Most)
	work := make(chan *block, v.opt.Workers)
	line := make(chan *block, 2*v.opt.Workers)
	go func() {
		defer close(work)
		defer close(line)
		index := 0
		for more := true; more; {
			b := &block{items: make([]item, 0, blockSize), done: make(chan struct{})}
			for len(b.items) < blockSize {
				b.at, b.index = frames.Offset(), index+1
				raw, err := frames.Next()
				if err != nil {
					b.err, more = err, false
					break
				}
				index++
				b.items = append(b.items, item{raw: raw, index: index, at: b.at})
			}
			work <- b
			line <- b
		}
	}()
	for range v.opt.Workers {
		go func() {
			w := newWorker(v)
			for b := range work {
				for i := range b.items {
					w.look(&b.items[i])
				}
				close(b.done)
			}
		}()
	}
	var failed error
	for b := range line {
		<-b.done
		for i := range b.items {
			v.take(name, &b.items[i])
		}
		switch {
		case b.err == nil, errors.Is(b.err, io.EOF):
		case errors.Is(b.err, parser.ErrCut), errors.Is(b.err, parser.ErrFrame), errors.Is(b.err, parser.ErrLong):
			v.fault(Fault{File: name, Message: b.index, Offset: b.at, What: b.err.Error() + ": the rest can't be read"})
		default:
			failed = b.err
		}
	}
	return failed
}

// worker parses and hashes.
type worker struct {
	v      *Verifier
	msg    parser.Message
	hashes map[string]*blake3.Hasher
	words  map[string]string // starts, kinds and keys that were seen: the same bytes need no memory of their own
	sum    [32]byte
}

// wordsMost bounds what a worker remembers of a file that may hold anything.
const wordsMost = 1024

func (w *worker) word(p []byte) string {
	if s, ok := w.words[string(p)]; ok {
		return s
	}
	s := string(p)
	if len(w.words) < wordsMost {
		w.words[s] = s
	}
	return s
}

func newWorker(v *Verifier) *worker {
	w := &worker{v: v, hashes: map[string]*blake3.Hasher{}, words: map[string]string{}}
	for name, k := range v.opt.Keys {
		if h, err := blake3.NewKeyed(k[:]); err == nil {
			w.hashes[name] = h
		}
	}
	return w
}

func (w *worker) hash(key string, p ...[]byte) (l link) {
	h := w.hashes[key]
	h.Reset()
	for _, q := range p {
		h.Write(q)
	}
	base64.RawURLEncoding.Encode(l[:], h.Sum(w.sum[:0])[:16])
	return l
}

// look finds in a message what the chain needs.
func (w *worker) look(it *item) {
	m := &w.msg
	if it.err = m.Read(it.raw); it.err != nil {
		return
	}
	it.kind = w.word(m.ID)
	var mac link
	for i := range m.Elements {
		e := &m.Elements[i]
		own := bytes.HasPrefix(e.ID, []byte("audit@"))
		if !own && (it.kind != "DROPPED" || !bytes.HasPrefix(e.ID, []byte("event@"))) {
			continue
		}
		if own && it.audit {
			it.err = errors.New("two audit elements")
			return
		}
		it.audit = it.audit || own
		for _, p := range e.Params {
			ok := true
			switch string(p.Name) {
			case "start":
				it.start = w.word(p.Value)
			case "link":
				ok = copy(it.link[:], p.Value) == len(p.Value) && len(p.Value) == linkText
			case "seq":
				it.seq, ok = parser.Number(p.Value)
			case "count":
				it.count, ok = parser.Number(p.Value)
			case "first":
				it.first, ok = parser.Number(p.Value)
			case "last":
				it.last, ok = parser.Number(p.Value)
			case "key":
				it.key = w.word(p.Value)
			case "mac":
				ok = copy(mac[:], p.Value) == len(p.Value) && len(p.Value) == linkText
			}
			if !ok {
				it.err = fmt.Errorf("%s: %s does not fit", e.ID, p.Name)
				return
			}
		}
	}
	if !it.audit {
		return
	}
	if len(w.v.names) == 0 {
		return
	}
	it.next = w.hash(w.v.names[0], it.raw)
	if it.kind == "CHAIN" && w.hashes[it.key] != nil && mac != (link{}) {
		// The hash was made with the genesis link in its own place.
		if i := bytes.Index(it.raw, []byte(` mac="`)); i >= 0 && i+6+linkText <= len(it.raw) {
			own := genesis()
			it.sound = w.hash(it.key, it.raw[:i+6], own[:], it.raw[i+6+linkText:]) == mac
		}
	}
}

func (v *Verifier) fault(f Fault) {
	if len(v.rep.Faults) == keep {
		v.rep.More++
		return
	}
	v.rep.Faults = append(v.rep.Faults, f)
}

// take enters the next message.
func (v *Verifier) take(file string, it *item) {
	v.rep.Messages++
	bad := func(what string, args ...any) {
		v.fault(Fault{File: file, Message: it.index, Offset: it.at, Start: it.start, What: fmt.Sprintf(what, args...)})
	}
	switch {
	case it.err != nil:
		bad("not a record: %v", it.err)
		return
	case !it.audit:
		v.rep.Foreign++
		return
	case it.start == "":
		bad("a record of no start")
		return
	}
	t := v.starts[it.start]
	if t == nil {
		t = &track{Start: &Start{ID: it.start}, seen: map[link]bool{}}
		v.starts[it.start] = t
		v.order = append(v.order, t)
		if it.kind == "START" && it.seq == 1 {
			t.next, t.link = 1, genesis()
		} else {
			if !v.opt.Partial {
				bad("the beginning of the start is missing: its first message here is %s", it.name())
			}
			t.next, t.link, t.broken = it.seq, it.link, true
		}
	}
	if it.next != (link{}) && t.seen[it.next] {
		t.Repeated++ // sent again behind a connection that broke
		return
	}
	t.Messages++
	defer t.enter(it)
	if t.ended && it.kind != "CHAIN" {
		bad("%s stands behind the last record of the start", it.name())
	}
	fits := true
	if v.rep.Proved && it.link != t.link && !v.other(t, it.link) {
		fits, t.broken = false, true
		switch {
		case it.link == (link{}):
			bad("%s carries no link", it.name())
		case it.seq == 0:
			bad("%s does not follow the message before it: one of them was changed, or something is missing between them", it.name())
		case it.seq < t.next:
			bad("%s stands behind number %d: moved, or put in", it.name(), t.next-1)
		case it.seq > t.next:
			bad("numbers %d to %d are missing", t.next, it.seq-1)
		default:
			bad("%s does not follow the message before it: one of them was changed, or something is missing between them", it.name())
		}
	}
	switch {
	case it.kind == "CHAIN":
		v.head(t, it, bad)
		return
	case it.seq == 0:
		bad("%s has no number", it.name())
		return
	case it.seq < t.next && fits:
		bad("%s stands behind number %d", it.name(), t.next-1)
	case it.seq > t.next && fits && v.rep.Proved:
		// The chain holds across the gap: the router numbered these and had no room for them.
		t.Missing += it.seq - t.next
	case it.seq > t.next && fits:
		t.Missing += it.seq - t.next
	}
	if it.kind == "DROPPED" {
		if it.first == 0 || it.last < it.first || it.last >= it.seq || it.count > it.last-it.first+1 {
			bad("a record of losses that does not fit")
		}
		t.Told += it.count
	}
	if it.kind == "END" {
		t.ended = true
		if t.Missing != t.Told && !t.broken && !v.opt.Partial {
			bad("%d numbers are missing, and the router tells of %d", t.Missing, t.Told)
		}
	}
}

// enter moves a start on behind a message.
func (t *track) enter(it *item) {
	t.link, t.lastMsg = it.next, it.raw
	if it.next != (link{}) {
		t.seen[it.next] = true
		if len(t.order) < window {
			t.order = append(t.order, it.next)
		} else {
			delete(t.seen, t.order[t.oldest])
			t.order[t.oldest] = it.next
			t.oldest = (t.oldest + 1) % window
		}
	}
	if it.kind == "CHAIN" {
		t.since, t.first, t.last, t.broken, t.Unproved = 0, 0, 0, false, 0
		return
	}
	t.since++
	t.Unproved++
	if t.first == 0 {
		t.first = it.seq
	}
	t.last = it.seq
	t.next = max(t.next, it.seq+1)
	if t.First == 0 || it.seq < t.First {
		t.First = it.seq
	}
	t.Last = max(t.Last, it.seq)
}

// other says whether a link fits under another key than the first, which a change of keys brings.
func (v *Verifier) other(t *track, want link) bool {
	if t.lastMsg == nil {
		return false
	}
	for _, name := range v.names[1:] {
		k := v.opt.Keys[name]
		h, err := blake3.NewKeyed(k[:])
		if err != nil {
			continue
		}
		h.Write(t.lastMsg)
		if base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16]) == string(want[:]) {
			return true
		}
	}
	return false
}

// head looks at a head of the chain.
func (v *Verifier) head(t *track, it *item, bad func(string, ...any)) {
	t.Heads++
	if !v.rep.Proved {
		return
	}
	if _, ok := v.opt.Keys[it.key]; !ok {
		bad("a head under the key %q, which the key file does not have", it.key)
		return
	}
	if !it.sound {
		bad("a head whose own hash does not fit: it was changed")
		return
	}
	if !t.broken && (it.count != t.since || it.first != t.first || it.last != t.last) {
		bad("a head of %d messages, numbers %d to %d, behind %d messages, numbers %d to %d", it.count, it.first, it.last, t.since,
			t.first, t.last)
	}
	t.Ended = t.ended
}

func (it *item) name() string {
	if it.seq == 0 {
		return it.kind
	}
	return fmt.Sprintf("%s number %d", it.kind, it.seq)
}

// Report returns what was found in all files.
func (v *Verifier) Report() *Report {
	r := v.rep
	for _, t := range v.order {
		r.Starts = append(r.Starts, t.Start)
	}
	return &r
}
