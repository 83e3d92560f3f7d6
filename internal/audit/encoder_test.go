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

func encoder(tb testing.TB, most int, k *audit.Key) *audit.Encoder {
	tb.Helper()
	encoder, err := audit.NewEncoder(audit.EncoderOptions{
		Head:       syslog.Header{Facility: 16, Host: strings.Repeat("h", 200), App: "limeladder", Proc: "4194304"},
		Enterprise: 4294967295, MaxMessageBytes: most, Software: "limeladder", Version: "(devel)",
		Start: audit.NewStartID(time.Unix(1.8e9, 0), 1), StartedAt: time.Unix(1.8e9, 0),
		RejectedSQLSTATE: "53300", FailedSQLSTATE: "08007", Key: k,
		Quality: func() audit.Quality { return audit.Quality{Synced: true, Accuracy: time.Second} },
	})
	if err != nil {
		tb.Fatal(err)
	}
	return encoder
}

// hostile is text of the kind that clients could send.
func hostile(rng *rand.Rand) string {
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

func random(rng *rand.Rand) audit.Event {
	s := func() string { return hostile(rng) }
	switch rng.IntN(10) {
	case 0:
		return audit.Drain{Endpoint: s(), Group: rng.Int64() - 1<<62, State: "draining", Source: s()}
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
			audit.End{Taken: rng.Uint64()},
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

// check reads a message strictly and compares what has come with what was given, up to a legal cut.
func check(tb testing.TB, event audit.Event, msg []byte, most int) {
	tb.Helper()
	var m parser.Message
	if err := m.Read(msg); err != nil {
		tb.Fatalf("%v: %q", err, msg)
	}
	if len(msg) > most {
		tb.Fatalf("%d bytes of %d", len(msg), most)
	}
	own := m.Find("audit@4294967295")
	for _, name := range []string{"start", "link"} {
		if v, ok := own.Find(name); !ok || len(v) == 0 {
			tb.Fatalf("no %s: %q", name, msg)
		}
	}
	cut, isCut := own.Find("cut")
	checkEvent(tb, event, &m, string(cut), isCut)
	if !isCut && len(msg) < most/2 && m.Find("origin") == nil {
		tb.Fatalf("parts are missing without a word: %q", msg)
	}
	ascii := !slices.ContainsFunc(m.Text, func(c byte) bool { return c >= 0x80 })
	markIsMissing := !m.HasByteOrderMark && !ascii
	markIsNeedless := m.HasByteOrderMark && ascii && !isCut
	if markIsMissing || markIsNeedless {
		tb.Fatalf("byte order mark %v before %q", m.HasByteOrderMark, m.Text)
	}
}

// checkEvent compares the parameters of a message with the event that was given. cut is what the message says of a cut.
func checkEvent(tb testing.TB, event audit.Event, m *parser.Message, cut string, isCut bool) {
	tb.Helper()
	fits := func(elem, name, want string) {
		tb.Helper()
		v, ok := m.Find(elem + "@4294967295").Find(name)
		if !ok {
			if !isCut || cut == "msg" {
				tb.Fatalf("%s is gone without a word: %q", name, m.Elements)
			}
			return
		}
		if got, err := parser.DecodePercent(v); err != nil || got != want {
			tb.Fatalf("%s: %q, %v, given was %q", name, got, err, want)
		}
	}
	switch v := event.(type) {
	case *audit.Answer:
		fits("request", "id", v.Request)
		fits("request", "class", v.Class)
		fits("answer", "outcome", audit.Outcomes()[v.Outcome])
		if v.Endpoint != "" {
			fits("answer", "node", v.Endpoint)
		}
		if v.Reason != "" {
			fits("answer", "why", v.Reason)
		}
		if element := m.Find("answer@4294967295"); !isCut && element != nil {
			checkAttempts(tb, v, element)
		}
	case audit.Drain:
		fits("event", "node", v.Endpoint)
		fits("event", "by", v.Source)
	case audit.Note:
		fits("event", "topic", v.Topic)
		if !isCut {
			if text, err := parser.DecodePercent(m.Text); err != nil || text != v.Text {
				tb.Fatalf("MSG %q, given was %q", text, v.Text)
			}
		}
	case audit.Primary:
		fits("event", "node", v.Endpoint)
	}
}

// checkAttempts compares the attempts of an answer with the parameters that stand for them.
func checkAttempts(tb testing.TB, answer *audit.Answer, element *parser.Element) {
	tb.Helper()
	i := 0
	for _, p := range element.Params {
		if string(p.Name) != "try" {
			continue
		}
		part := strings.SplitN(string(p.Value), ",", 3)
		if node, err := parser.DecodePercent([]byte(part[2])); err != nil || node != answer.Attempts[i].Endpoint {
			tb.Fatalf("try %d: %q, given was %q", i, node, answer.Attempts[i].Endpoint)
		}
		i++
	}
	if i != len(answer.Attempts) {
		tb.Fatalf("%d of %d attempts", i, len(answer.Attempts))
	}
}

// 10,000 records of hostile content at sizes from the smallest on: the strict parser takes each, and all comes back.
func TestHostileRecordsComeBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 1))
	for _, most := range []int{480, 512, 700, 1024, 2048, 8192, 65_000} {
		enc := encoder(t, most, &key)
		for i := range 10_000 / 7 {
			event := random(rng)
			at := time.Unix(1.8e9+rng.Int64N(1e8), rng.Int64N(1e9))
			check(t, event, enc.Encode(audit.Record{Seq: uint64(i) + 1, Time: at, Event: event}), most)
			if rng.IntN(50) == 0 {
				msg, err := enc.Chain(at, nil)
				if err != nil {
					t.Fatal(err)
				}
				check(t, nil, msg, most)
			}
		}
	}
}

func FuzzEncode(f *testing.F) {
	f.Add("id", "class", "node", "why", 480, uint64(1))
	f.Add("\"]\\", "\x00\n", "\xff", "日本 % %zz", 600, uint64(1<<63))
	f.Add(strings.Repeat("é", 300), "c", "n", strings.Repeat("%", 700), 1000, uint64(7))
	f.Fuzz(func(t *testing.T, id, class, node, why string, most int, seq uint64) {
		most = syslog.MinMessageLimit + (most&0x7fffffff)%4096
		enc := encoder(t, most, &key)
		e := &audit.Answer{Request: id, Class: class, Endpoint: node, Reason: why, Outcome: audit.Failed}
		e.Attempts = []audit.Attempt{{Endpoint: node}, {Endpoint: why, End: audit.InFlight}}
		check(t, e, enc.Encode(audit.Record{Seq: seq, Time: time.Unix(1.8e9, 0), Event: e}), most)
		n := audit.Note{Topic: id, Text: why}
		check(t, n, enc.Encode(audit.Record{Seq: seq, Time: time.Unix(1.8e9, 0), Event: n}), most)
		msg, err := enc.Chain(time.Unix(1.8e9, 0), &key)
		if err != nil {
			t.Fatal(err)
		}
		check(t, nil, msg, most)
	})
}

// What goes first is MSG, then parameters by rank; what explains a record stays to the last.
func TestOrderOfCuts(t *testing.T) {
	e := &audit.Answer{
		Request: "request-1", Class: "job", Tenant: "tenant-1", Client: "127.0.0.1:9", Group: 7, Endpoint: "node-1",
		Outcome: audit.Failed,
		Reason:  "a long reason " + strings.Repeat("w", 60), Attempts: []audit.Attempt{{Endpoint: "node-1"}},
	}
	order := []string{
		" a long reason", "swVersion=", "isSynced=", "why=", "try=", "tenant=", "node=", "sequenceId=", "class=",
	}
	gone := 0
	for most := 1100; most >= 480; most-- {
		msg := string(encoder(t, most, &key).Encode(audit.Record{Seq: 1, Time: time.Unix(1.8e9, 0), Event: e}))
		check(t, e, []byte(msg), most)
		now := 0
		for now < len(order) && !strings.Contains(strings.ReplaceAll(msg, `"a long`, ""), order[now]) {
			now++
		}
		for _, later := range order[now:] {
			if !strings.Contains(msg, later) {
				t.Fatalf("at %d %q went before %q: %s", most, later, order[now], msg)
			}
		}
		if now < gone {
			t.Fatalf("at %d %q is back", most, order[now])
		}
		gone = now
	}
	if gone < 6 {
		t.Fatalf("only %d went: %q", gone, order[:gone])
	}
}

// The clock may step back: numbers and the chain go on.
func TestClockStepsBack(t *testing.T) {
	queue := audit.NewQueue(100, 1<<20)
	policy, _ := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
	now := time.Unix(1.8e9, 0)
	r := audit.NewRecorder(policy, queue, func() time.Time { now = now.Add(-time.Hour); return now })
	for range 3 {
		r.Record(audit.Note{})
	}
	enc := encoder(t, 2048, &key)
	for i, rec := range queue.Take(nil, 9) {
		if rec.Seq != uint64(i)+1 {
			t.Fatalf("%+v", rec)
		}
		var m parser.Message
		if err := m.Read(enc.Encode(rec)); err != nil { // the time since the start would be less than nothing
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
			enc := encoder(b, 2048, k)
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
