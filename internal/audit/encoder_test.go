package audit_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/syslog"
	"limeladder/internal/syslog/parser"
)

var key = audit.Key{Name: "k-2026", Secret: [32]byte{7, 7, 7}}

func newEncoder(tb testing.TB, maxBytes int, k *audit.Key) *audit.Encoder {
	tb.Helper()
	encoder, err := audit.NewEncoder(audit.EncoderOptions{
		Head:       syslog.Header{Facility: 16, Host: strings.Repeat("h", 200), App: "limeladder", Proc: "4194304"},
		Enterprise: 4294967295, MaxMessageBytes: maxBytes, Software: "limeladder", Version: "(devel)",
		Start: audit.NewStartID(time.Unix(1.8e9, 0), 1), StartedAt: time.Unix(1.8e9, 0),
		RejectedSQLSTATE: "53300", FailedSQLSTATE: "08007", Key: k,
		Quality: func() audit.ClockQuality { return audit.ClockQuality{Synced: true, Accuracy: time.Second} },
	})
	if err != nil {
		tb.Fatal(err)
	}
	return encoder
}

// hostileText returns random text with characters that need escapes, invalid UTF-8 and excessive length, as clients
// could send it.
func hostileText(rng *rand.Rand) string {
	parts := []string{
		`"`, `]`, `\`, `[`, "\n", "\x00", "\x7f", "\xff\xfe", "é", "日本", "%", "%41", ` mac="AAAA`, "\xef\xbb\xbf",
		"\u0085", "plain", "", "=", "'", "😀",
	}
	var b strings.Builder
	for range rng.IntN(6) {
		b.WriteString(parts[rng.IntN(len(parts))])
	}
	if rng.IntN(200) == 0 {
		b.WriteString(strings.Repeat("long]", 13_000)) // 64 KiB
	}
	return b.String()
}

func randomEvent(rng *rand.Rand) audit.Event {
	s := func() string { return hostileText(rng) }
	switch rng.IntN(10) {
	case 0:
		return audit.EndpointStateChange{Endpoint: s(), Group: rng.Int64() - 1<<62, State: "draining", Source: s()}
	case 1:
		return audit.Primary{Group: 7, Endpoint: s(), Believed: rng.IntN(2) == 0, Reason: s()}
	case 2:
		return audit.Note{Topic: s(), Text: s()}
	case 3:
		return []audit.Event{
			audit.List{Version: rng.Int64()},
			audit.Router{State: s()},
			audit.Reload{What: s(), Error: s()},
			audit.Start{Router: s(), Key: s()},
			audit.End{Accepted: rng.Uint64()},
			audit.Dropped{Count: rng.Uint64(), First: rng.Uint64(), Last: rng.Uint64()},
		}[rng.IntN(6)]
	}
	a := &audit.Answer{
		Request: s(), Class: s(), Tenant: s(), Client: s(), Endpoint: s(),
		Group: rng.Int64(), Outcome: audit.Outcome(rng.IntN(5)), Reason: s(),
		Writes: rng.IntN(2) == 0, MayHaveExecuted: rng.IntN(2) == 0,
		Queued: time.Duration(rng.Int64N(1e9)), Total: time.Duration(rng.Int64N(1e10)),
		Retry: time.Duration(rng.Int64N(1e9)),
	}
	for range rng.IntN(5) {
		a.Attempts = append(a.Attempts, audit.Attempt{
			Endpoint: s(), End: balance.Status(rng.IntN(10) - 1), Took: time.Duration(rng.Int64N(1e9)),
		})
	}
	return a
}

// checkMessage parses a message strictly and compares it with its event. Parameters may be missing if the message is
// marked as cut.
func checkMessage(tb testing.TB, event audit.Event, msg []byte, maxBytes int) {
	tb.Helper()
	var m parser.Message
	if err := m.Read(msg); err != nil {
		tb.Fatalf("the message cannot be parsed: %v: %q", err, msg)
	}
	if len(msg) > maxBytes {
		tb.Fatalf("the message has %d bytes, want at most %d", len(msg), maxBytes)
	}
	auditElement := m.Find("audit@4294967295")
	for _, name := range []string{"start", "link"} {
		if v, ok := auditElement.Find(name); !ok || len(v) == 0 {
			tb.Fatalf("the message has no parameter %s: %q", name, msg)
		}
	}
	cut, isCut := auditElement.Find("cut")
	checkEvent(tb, event, &m, string(cut), isCut)
	if !isCut && len(msg) < maxBytes/2 && m.Find("origin") == nil {
		tb.Fatalf("elements are missing though the message is not marked as cut: %q", msg)
	}
	ascii := !slices.ContainsFunc(m.Text, func(c byte) bool { return c >= 0x80 })
	markIsMissing := !m.HasByteOrderMark && !ascii
	markIsUnneeded := m.HasByteOrderMark && ascii && !isCut
	if markIsMissing || markIsUnneeded {
		tb.Fatalf("the byte order mark is present: %v, want the opposite before the text %q", m.HasByteOrderMark, m.Text)
	}
}

// checkEvent compares the parameters of a message with its event. cut is the value of the message's parameter cut.
func checkEvent(tb testing.TB, event audit.Event, m *parser.Message, cut string, isCut bool) {
	tb.Helper()
	checkParam := func(elem, name, want string) {
		tb.Helper()
		v, ok := m.Find(elem + "@4294967295").Find(name)
		if !ok {
			if !isCut || cut == "msg" {
				tb.Fatalf("parameter %s is missing though the message is not marked as cut: %q", name, m.Elements)
			}
			return
		}
		if got, err := parser.DecodePercent(v); err != nil || got != want {
			tb.Fatalf("parameter %s is %q, error %v, want %q", name, got, err, want)
		}
	}
	switch v := event.(type) {
	case *audit.Answer:
		checkParam("request", "id", v.Request)
		checkParam("request", "class", v.Class)
		checkParam("answer", "outcome", audit.Outcomes()[v.Outcome])
		if v.Endpoint != "" {
			checkParam("answer", "node", v.Endpoint)
		}
		if v.Reason != "" {
			checkParam("answer", "why", v.Reason)
		}
		if element := m.Find("answer@4294967295"); !isCut && element != nil {
			checkAttempts(tb, v, element)
		}
	case audit.EndpointStateChange:
		checkParam("event", "node", v.Endpoint)
		checkParam("event", "by", v.Source)
	case audit.Note:
		checkParam("event", "topic", v.Topic)
		if !isCut {
			if text, err := parser.DecodePercent(m.Text); err != nil || text != v.Text {
				tb.Fatalf("the text of the message is %q, want %q", text, v.Text)
			}
		}
	case audit.Primary:
		checkParam("event", "node", v.Endpoint)
	}
}

// checkAttempts compares the attempts of an answer with the parameters that encode them.
func checkAttempts(tb testing.TB, answer *audit.Answer, element *parser.Element) {
	tb.Helper()
	i := 0
	for _, p := range element.Params {
		if string(p.Name) != "try" {
			continue
		}
		part := strings.SplitN(string(p.Value), ",", 3)
		if node, err := parser.DecodePercent([]byte(part[2])); err != nil || node != answer.Attempts[i].Endpoint {
			tb.Fatalf("parameter try %d names endpoint %q, want %q", i, node, answer.Attempts[i].Endpoint)
		}
		i++
	}
	if i != len(answer.Attempts) {
		tb.Fatalf("the message has %d attempts, want %d", i, len(answer.Attempts))
	}
}

// Guards against hostile content that makes a message invalid or that is changed by the encoding. 10,000 records are
// encoded with size limits from the smallest one up, and parsed strictly.
func TestHostileRecordsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 1))
	for _, maxBytes := range []int{480, 512, 700, 1024, 2048, 8192, 65_000} {
		enc := newEncoder(t, maxBytes, &key)
		for i := range 10_000 / 7 {
			event := randomEvent(rng)
			at := time.Unix(1.8e9+rng.Int64N(1e8), rng.Int64N(1e9))
			checkMessage(t, event, enc.Encode(audit.Record{Seq: uint64(i) + 1, Time: at, Event: event}), maxBytes)
			if rng.IntN(50) == 0 {
				msg, err := enc.EncodeHead(at, nil)
				if err != nil {
					t.Fatal(err)
				}
				checkMessage(t, nil, msg, maxBytes)
			}
		}
	}
}

func FuzzEncode(f *testing.F) {
	f.Add("id", "class", "node", "why", 480, uint64(1))
	f.Add("\"]\\", "\x00\n", "\xff", "日本 % %zz", 600, uint64(1<<63))
	f.Add(strings.Repeat("é", 300), "c", "n", strings.Repeat("%", 700), 1000, uint64(7))
	f.Fuzz(func(t *testing.T, id, class, node, why string, maxBytes int, seq uint64) {
		maxBytes = syslog.MinMessageLimit + (maxBytes&0x7fffffff)%4096
		enc := newEncoder(t, maxBytes, &key)
		e := &audit.Answer{Request: id, Class: class, Endpoint: node, Reason: why, Outcome: audit.Failed}
		e.Attempts = []audit.Attempt{{Endpoint: node}, {Endpoint: why, End: audit.InFlight}}
		checkMessage(t, e, enc.Encode(audit.Record{Seq: seq, Time: time.Unix(1.8e9, 0), Event: e}), maxBytes)
		n := audit.Note{Topic: id, Text: why}
		checkMessage(t, n, enc.Encode(audit.Record{Seq: seq, Time: time.Unix(1.8e9, 0), Event: n}), maxBytes)
		msg, err := enc.EncodeHead(time.Unix(1.8e9, 0), &key)
		if err != nil {
			t.Fatal(err)
		}
		checkMessage(t, nil, msg, maxBytes)
	})
}

// Guards against a message that is cut in the wrong order: first the text (MSG), then the parameters by rank, so that
// those that identify the record stay longest.
func TestTruncationOrder(t *testing.T) {
	e := &audit.Answer{
		Request: "request-1", Class: "job", Tenant: "tenant-1", Client: "127.0.0.1:9", Group: 7, Endpoint: "node-1",
		Outcome: audit.Failed,
		Reason:  "a long reason " + strings.Repeat("w", 60), Attempts: []audit.Attempt{{Endpoint: "node-1"}},
	}
	order := []string{
		" a long reason", "swVersion=", "isSynced=", "why=", "try=", "tenant=", "node=", "sequenceId=", "class=",
	}
	lastCutCount := 0
	for maxBytes := 1100; maxBytes >= 480; maxBytes-- {
		msg := string(newEncoder(t, maxBytes, &key).Encode(audit.Record{Seq: 1, Time: time.Unix(1.8e9, 0), Event: e}))
		checkMessage(t, e, []byte(msg), maxBytes)
		cutCount := 0
		for cutCount < len(order) && !strings.Contains(strings.ReplaceAll(msg, `"a long`, ""), order[cutCount]) {
			cutCount++
		}
		for _, later := range order[cutCount:] {
			if !strings.Contains(msg, later) {
				t.Fatalf("at %d bytes, %q was cut before %q: %s", maxBytes, later, order[cutCount], msg)
			}
		}
		if cutCount < lastCutCount {
			t.Fatalf("at %d bytes, %q is present again after it was cut at a larger size", maxBytes, order[cutCount])
		}
		lastCutCount = cutCount
	}
	if lastCutCount < 6 {
		t.Fatalf("only %d parts were cut, want at least 6: %q", lastCutCount, order[:lastCutCount])
	}
}

// Guards against a clock that steps back and stops the numbering of the records or makes their messages invalid.
func TestClockStepsBack(t *testing.T) {
	queue := audit.NewQueue(100, 1<<20)
	policy, _ := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
	now := time.Unix(1.8e9, 0)
	r := audit.NewRecorder(policy, queue, func() time.Time { now = now.Add(-time.Hour); return now })
	for range 3 {
		r.Record(audit.Note{})
	}
	enc := newEncoder(t, 2048, &key)
	for i, rec := range queue.Take(nil, 9) {
		if rec.Seq != uint64(i)+1 {
			t.Fatalf("the record %+v does not have the next number, want numbers from 1 without a gap", rec)
		}
		var m parser.Message
		if err := m.Read(enc.Encode(rec)); err != nil { // the time since the start would be negative
			t.Fatal(err)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	policy, _ := audit.NewPolicy(audit.Rules{Reads: 0.5}, &key.Secret)
	queue := audit.NewQueue(1<<16, 1<<28)
	r := audit.NewRecorder(policy, queue, time.Now)
	b.ReportAllocs()
	var recs []audit.Record
	for i := range b.N {
		a := &audit.Answer{Request: "request-1234", Class: "look", Endpoint: "node-1", Attempts: make([]audit.Attempt, 1)}
		r.Record(a)
		if i%4096 == 0 {
			b.StopTimer()
			recs = queue.Take(recs[:0], 1<<16)
			b.StartTimer()
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	for name, k := range map[string]*audit.Key{"chained": &key, "plain": nil} {
		b.Run(name, func(b *testing.B) {
			enc := newEncoder(b, 2048, k)
			e := &audit.Answer{
				Request: "request-1234", Class: "look", Tenant: "member-1", Client: "127.0.0.1:54321", Endpoint: "node-1",
				Attempts: []audit.Attempt{{Endpoint: "node-1", Took: 1e6}},
			}
			b.ReportAllocs()
			n := 0
			for i := range b.N {
				n += len(enc.Encode(audit.Record{Seq: uint64(i), Time: time.Unix(1.8e9, int64(i)*1000), Event: e}))
			}
			b.SetBytes(int64(n / b.N))
		})
	}
}
