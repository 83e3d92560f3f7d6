package audit

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/syslog"
)

// EncoderOptions say how records become messages.
type EncoderOptions struct {
	Head       syslog.Head
	Enterprise uint32 // the operator's private enterprise number, in the names of the elements
	Most       int    // bytes of a message
	Software   string // for origin
	Version    string
	Start      string // the start's own id
	Began      time.Time
	Refused    string // the SQLSTATEs that clients see
	Failed     string
	Key        *Key // nil = no chain
	Quality    func() Quality
}

// Quality says what is known of the clock, for timeQuality (RFC 5424, section 7.1).
type Quality struct {
	Synced   bool
	Accuracy time.Duration // how far off it may be, where it is synced; 0 = not known
}

// Encoder turns the records of one start into messages. Only one goroutine may use it.
type Encoder struct {
	opt     EncoderOptions
	b       *syslog.Builder
	ids     [4]string // of the elements
	chain   *chain
	n       uint64 // messages made, for meta's sequenceId
	heads   uint64
	first   uint64 // the first number since the last head, 0 = none
	last    uint64
	since   uint64 // messages since the last head
	quality []byte // the element, nil = none
	origin  []byte
	asked   time.Time
}

// The order in which parameters go where a message is too long, from what goes first. What has no rank here stays.
const (
	rankOrigin  syslog.Rank = 9 // which program it is: the head names it too
	rankQuality syslog.Rank = 8
	rankWhy     syslog.Rank = 7 // free text
	rankTries   syslog.Rank = 6 // the attempts one by one
	rankTimes   syslog.Rank = 5 // times in parts, the address and tenant
	rankPlace   syslog.Rank = 4 // db machine, group, total time
	rankMeta    syslog.Rank = 3
	rankRequest syslog.Rank = 2 // whose request, which class
	rankOutcome syslog.Rank = 1
)

// NewEncoder returns an Encoder for one start.
func NewEncoder(opt EncoderOptions) (*Encoder, error) {
	e := &Encoder{opt: opt, b: syslog.NewBuilder(opt.Head)}
	for i, name := range []string{"audit", "request", "answer", "event"} {
		e.ids[i] = name + "@" + strconv.FormatUint(uint64(opt.Enterprise), 10)
	}
	e.origin = syslog.Prepared("origin", "software", opt.Software, "swVersion", opt.Version, "enterpriseId", strconv.FormatUint(uint64(opt.Enterprise), 10))
	if opt.Key != nil {
		var err error
		if e.chain, err = newChain(*opt.Key); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// severities of answers, by outcome.
var severities = [outcomes]syslog.Severity{Served: syslog.Info, Refused: syslog.Warning, Failed: syslog.Err, Cut: syslog.Err, Left: syslog.Notice}

// Encode returns the message of a record. Its bytes are good until the next call.
func (e *Encoder) Encode(r Record) []byte {
	kind := r.Event.kind()
	severity := syslog.Notice
	switch v := r.Event.(type) {
	case *Answer:
		severity = severities[v.Outcome]
	case List, Note:
		severity = syslog.Info
	case Dropped:
		severity = syslog.Err
	case Reload:
		if v.Err != "" {
			severity = syslog.Warning
		}
	}
	e.begin(severity, r.At, kind)
	e.b.Uint(syslog.Keep, "seq", r.Seq)
	if e.first == 0 {
		e.first = r.Seq
	}
	e.last = r.Seq
	text := e.body(r.Event)
	return e.end(r.At, text)
}

// begin writes what every message has.
func (e *Encoder) begin(s syslog.Severity, at time.Time, kind Kind) {
	b := e.b
	b.Begin(s, at, Kinds()[kind])
	b.Element(e.ids[0], true)
	b.String(syslog.Keep, "start", e.opt.Start)
	if e.chain != nil {
		b.Raw(syslog.Keep, "link", func(p []byte) []byte { return append(p, e.chain.link[:]...) })
	}
}

func (e *Encoder) end(at time.Time, text string) []byte {
	b := e.b
	e.n = e.n%(1<<31-1) + 1
	if e.opt.Quality != nil && at.Sub(e.asked).Abs() > 10*time.Second {
		q := e.opt.Quality()
		e.asked = at
		pairs := []string{"tzKnown", "1", "isSynced", flag(q.Synced)}
		if q.Synced && q.Accuracy > 0 {
			pairs = append(pairs, "syncAccuracy", strconv.FormatInt(q.Accuracy.Microseconds(), 10))
		}
		e.quality = syslog.Prepared("timeQuality", pairs...)
	}
	b.Element("meta", false)
	b.Uint(rankMeta, "sequenceId", e.n)
	b.Int(rankMeta, "sysUpTime", max(0, int64(at.Sub(e.opt.Began)/(10*time.Millisecond))))
	if e.quality != nil {
		b.Fixed(rankQuality, e.quality)
	}
	b.Fixed(rankOrigin, e.origin)
	b.Text(text)
	msg := b.End(e.opt.Most)
	if e.chain != nil {
		e.chain.next(msg)
	}
	e.since++
	return msg
}

// body writes the parameters of an event and returns its sentence.
func (e *Encoder) body(ev Event) string {
	b := e.b
	if a, ok := ev.(*Answer); ok {
		return e.answer(a)
	}
	b.Element(e.ids[3], false)
	switch v := ev.(type) {
	case Drain:
		b.String(rankRequest, "node", v.Node)
		b.Int(rankRequest, "group", v.Group)
		b.String(rankOutcome, "state", v.State)
		b.String(rankTimes, "by", v.By)
		return "db machine " + v.Node + " is " + v.State + ", says " + v.By
	case Router:
		b.String(rankOutcome, "state", v.State)
		b.String(rankTimes, "by", v.By)
		return "the router is " + v.State + ", says " + v.By
	case Primary:
		b.Int(rankOutcome, "group", v.Group)
		b.String(rankOutcome, "node", v.Node)
		state := "believed"
		if !v.Believed {
			state = "doubted"
		}
		b.String(rankOutcome, "state", state)
		if v.Why != "" {
			b.String(rankWhy, "why", v.Why)
		}
		return "primary " + v.Node + " of group " + strconv.FormatInt(v.Group, 10) + " is " + state
	case List:
		b.Int(rankOutcome, "version", v.Version)
		b.String(rankPlace, "full", flag(v.Full))
		b.Int(rankPlace, "ready", int64(v.Ready))
		b.Int(rankPlace, "draining", int64(v.Draining))
		b.Int(rankPlace, "gone", int64(v.Going))
		return ""
	case Reload:
		b.String(rankRequest, "what", v.What)
		b.String(rankOutcome, "taken", flag(v.Err == ""))
		if v.Err != "" {
			b.String(rankWhy, "why", v.Err)
		}
		return ""
	case Start:
		b.String(rankRequest, "router", v.Router)
		b.String(rankRequest, "key", v.Key)
		return "recording begins"
	case End:
		b.Uint(rankOutcome, "taken", v.Taken)
		b.Uint(rankOutcome, "served", v.Served)
		b.Uint(rankOutcome, "refused", v.Refused)
		b.Uint(rankOutcome, "failed", v.Failed)
		b.Uint(rankOutcome, "left", v.Left)
		return "recording ends"
	case Dropped:
		b.Uint(syslog.Keep, "count", v.Count)
		b.Uint(syslog.Keep, "first", v.First)
		b.Uint(syslog.Keep, "last", v.Last)
		for l, name := range []string{"reads", "usual", "refusals", "states"} {
			b.Uint(rankPlace, name, v.Of[l])
		}
		return strconv.FormatUint(v.Count, 10) + " records found no room"
	case Note:
		b.String(rankRequest, "topic", v.Topic)
		return v.Text
	}
	return ""
}

// ends are the words for how an attempt ended.
func ends() []string {
	return []string{
		balance.StatusDone: "done", balance.StatusError: "error", balance.StatusBusy: "busy", balance.StatusTimedOut: "timed-out",
		balance.StatusConnectFailed: "connect-failed", balance.StatusReset: "reset", balance.StatusCancelled: "cancelled",
		balance.StatusNotSent: "skipped", balance.StatusMiss: "miss",
	}
}

func (e *Encoder) answer(a *Answer) string {
	b := e.b
	outcome := Outcomes()[a.Outcome]
	b.Element(e.ids[2], false)
	b.String(rankOutcome, "outcome", outcome)
	switch {
	case a.Outcome == Refused:
		b.String(rankOutcome, "sqlstate", e.opt.Refused)
	case a.Outcome == Failed:
		b.String(rankOutcome, "sqlstate", e.opt.Failed)
	case a.Outcome == Served && a.Code == "":
		b.String(rankOutcome, "sqlstate", "00000")
	case a.Code != "":
		b.String(rankOutcome, "sqlstate", a.Code)
	}
	b.String(rankOutcome, "writes", flag(a.Writes))
	b.String(rankOutcome, "may-have-run", flag(a.MayRun))
	if a.Node != "" {
		b.String(rankPlace, "node", a.Node)
	}
	b.Micros(rankPlace, "total-us", a.Total)
	b.Micros(rankTimes, "queued-us", a.Queued)
	b.Micros(rankTimes, "worked-us", a.Worked)
	b.Uint(rankTimes, "attempts", uint64(len(a.Attempts)))
	if a.Retry > 0 {
		b.Int(rankPlace, "retry-ms", a.Retry.Milliseconds())
	}
	if a.Why != "" {
		b.String(rankWhy, "why", a.Why)
	}
	words := ends()
	for _, t := range a.Attempts {
		b.Raw(rankTries, "try", func(p []byte) []byte {
			p = strconv.AppendInt(p, t.Took.Microseconds(), 10)
			p = append(p, ',')
			if t.End == Out {
				p = append(p, "out"...)
			} else if int(t.End) < len(words) {
				p = append(p, words[t.End]...)
			}
			return syslog.AppendValue(append(p, ','), t.Node)
		})
	}
	b.Element(e.ids[1], false)
	b.String(rankRequest, "id", a.Request)
	b.String(rankRequest, "class", a.Class)
	b.Int(rankPlace, "group", a.Group)
	if a.Tenant != "" {
		b.String(rankTimes, "tenant", a.Tenant)
	}
	if a.Client != "" {
		b.String(rankTimes, "client", a.Client)
	}
	if a.Outcome == Served {
		return "" // the elements say it all, and most records are of this kind
	}
	text := a.Class + " " + outcome + " after " + strconv.FormatInt(a.Total.Milliseconds(), 10) + " ms"
	if a.Retry > 0 {
		text += ", may come again in " + strconv.FormatInt(a.Retry.Milliseconds(), 10) + " ms"
	}
	if a.Why != "" {
		text += ": " + a.Why
	}
	return text
}

func flag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

// Due is how many messages were made since the last head of the chain; 0 where there is no chain.
func (e *Encoder) Due() uint64 {
	if e.chain == nil {
		return 0
	}
	return e.since
}

// Chain returns the head of the chain as a message: which numbers stand behind the head before it, and the hash that
// proves all up to here. next, if not nil, is the key that the messages behind it are hashed with.
func (e *Encoder) Chain(at time.Time, next *Key) ([]byte, error) {
	if e.chain == nil {
		return nil, fmt.Errorf("audit: there is no chain")
	}
	e.heads++
	e.begin(syslog.Info, at, KindChain)
	b := e.b
	b.Uint(syslog.Keep, "head", e.heads)
	b.String(syslog.Keep, "key", e.chain.key.Name)
	b.Uint(syslog.Keep, "first", e.first)
	b.Uint(syslog.Keep, "last", e.last)
	b.Uint(syslog.Keep, "count", e.since)
	if next != nil {
		b.String(rankMeta, "next", next.Name)
	}
	b.Raw(syslog.Keep, "mac", func(p []byte) []byte { return append(p, genesis[:]...) })
	link := e.chain.link
	msg := e.end(at, "")
	e.chain.link = link
	e.chain.seal(msg)
	e.first, e.since = 0, 0
	if next != nil {
		if err := e.chain.use(*next); err != nil {
			return nil, err
		}
	}
	e.chain.next(msg)
	return msg, nil
}

// Stem is the id of a start: the moment in hexadecimal, and a random part.
func Stem(at time.Time, random uint32) string {
	return strings.ToLower(fmt.Sprintf("%011x%08x", at.UnixMilli(), random))
}
