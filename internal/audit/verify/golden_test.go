package verify_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/audit/verify"
	"limeladder/internal/syslog"
)

// The golden file testdata/chain.log was written by the program at commit 4e3d53a: two starts, the second of which
// changes its key. Operators verify such files long after the router that wrote them was replaced.

var update = flag.Bool("update", false, "write the golden file instead of comparing with it")

func goldenKeys(t *testing.T) audit.Keys {
	t.Helper()
	text, err := os.ReadFile("testdata/keys.toml")
	if err != nil {
		t.Fatal(err)
	}
	keys, err := audit.ParseKeys(text)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// goldenStart returns the messages of one start as lines: five records, one of which reports two dropped records, and
// two heads of the chain.
func goldenStart(t *testing.T, id string, key, next *audit.Key) []byte {
	t.Helper()
	began := time.Date(2027, 1, 15, 8, 0, 0, 0, time.UTC)
	encoder, err := audit.NewEncoder(audit.EncoderOptions{
		Head:       syslog.Header{Facility: 3, Host: "site-a", App: "limeladder", Proc: "17"},
		Enterprise: 32473, MaxMessageBytes: 1024, Software: "limeladder", Version: "1.0", Start: id, StartedAt: began,
		RejectedSQLSTATE: "53300", FailedSQLSTATE: "08007", Key: key,
	})
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	record := func(number uint64, event audit.Event) {
		file.Write(encoder.Encode(audit.Record{Seq: number, Time: began.Add(time.Second), Event: event}))
		file.WriteByte('\n')
	}
	head := func(next *audit.Key) {
		message, err := encoder.EncodeHead(began.Add(2*time.Second), next)
		if err != nil {
			t.Fatal(err)
		}
		file.Write(message)
		file.WriteByte('\n')
	}
	record(1, audit.Start{Router: "router-1", Key: key.Name})
	record(2, &audit.Answer{Request: "request-1", Class: "view", Endpoint: "endpoint-1"})
	head(next)
	record(5, audit.Dropped{Count: 2, First: 3, Last: 4, ByLevel: [4]uint64{2}})
	record(6, audit.Router{State: "drained", Source: "operator"})
	record(7, audit.End{Accepted: 3, Served: 3})
	head(nil)
	return file.Bytes()
}

func TestGoldenChain(t *testing.T) {
	keys := goldenKeys(t)
	written := append(goldenStart(t, "start-1", &keys[1], nil), goldenStart(t, "start-2", &keys[1], &keys[0])...)
	if *update {
		if err := os.WriteFile("testdata/chain.log", written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile("testdata/chain.log")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("the messages are\n%s, want\n%s", written, stored)
	}
	verifier := verify.New(verify.Options{Workers: 1, Keys: map[string][32]byte{
		keys[0].Name: keys[0].Secret, keys[1].Name: keys[1].Secret,
	}})
	if err := verifier.File("chain.log", bytes.NewReader(stored)); err != nil {
		t.Fatal(err)
	}
	report := verifier.Report()
	if !report.Complete() || report.Messages != 14 || report.Foreign != 0 || len(report.Starts) != 2 {
		t.Fatalf("the report is %+v, want a complete one with 2 starts and 14 messages, none of them foreign", report)
	}
	for i, id := range []string{"start-1", "start-2"} {
		want := verify.Start{ID: id, Messages: 7, First: 1, Last: 7, Missing: 2, ReportedDropped: 2, Heads: 2, Ended: true}
		if *report.Starts[i] != want {
			t.Errorf("start %d is %+v, want %+v", i, *report.Starts[i], want)
		}
	}
}
