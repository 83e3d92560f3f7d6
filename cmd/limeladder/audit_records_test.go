package main

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"limeladder/internal/syslog/parser"
	"limeladder/internal/testserver/collector"
)

// startCollector starts a collector and stops it at the end of the test.
func startCollector(tb testing.TB, options collector.Options) *collector.Collector {
	tb.Helper()
	started, err := collector.New(options)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(started.Stop)
	return started
}

// parseRecord parses a syslog message that holds a record.
func parseRecord(tb testing.TB, message []byte) parser.Message {
	tb.Helper()
	var record parser.Message
	if err := record.Read(message); err != nil {
		tb.Fatalf("invalid message: %v: %q", err, message)
	}
	return record
}

// recordKind returns the kind of a record.
func recordKind(tb testing.TB, message []byte) string {
	tb.Helper()
	record := parseRecord(tb, message)
	return string(record.ID)
}

// recordValue returns a value of a record, or "" if the record has no such value.
func recordValue(tb testing.TB, message []byte, element, name string) string {
	tb.Helper()
	record := parseRecord(tb, message)
	value, _ := record.Find(element + "@32473").Find(name)
	return string(value)
}

// recordsOfKind returns the records of one kind.
func recordsOfKind(tb testing.TB, messages [][]byte, kind string) [][]byte {
	tb.Helper()
	var records [][]byte
	for _, message := range messages {
		if recordKind(tb, message) == kind {
			records = append(records, message)
		}
	}
	return records
}

// answersByRequest returns the records of final answers by request id.
func answersByRequest(tb testing.TB, messages [][]byte) map[string][][]byte {
	tb.Helper()
	byID := map[string][][]byte{}
	for _, message := range recordsOfKind(tb, messages, "ANSWER") {
		id := recordValue(tb, message, "request", "id")
		byID[id] = append(byID[id], message)
	}
	return byID
}

// verifyRecords runs audit verify over the messages that collectors received, and returns its output.
func (r *routerProcess) verifyRecords(wantExitCode int, collectors ...*collector.Collector) string {
	r.test.Helper()
	arguments := []string{"audit", "verify", "--keys", r.dir + "/keys.toml"}
	for i, c := range collectors {
		path := fmt.Sprint(r.dir, "/collected", i)
		var collected bytes.Buffer
		if err := c.Write(&collected); err != nil {
			r.test.Fatal(err)
		}
		if err := os.WriteFile(path, collected.Bytes(), 0o600); err != nil {
			r.test.Fatal(err)
		}
		arguments = append(arguments, path)
	}
	var stdout, stderr bytes.Buffer
	startDaemon, code := runCommand(arguments, nil, &stdout, &stderr)
	if startDaemon || code != wantExitCode {
		r.test.Fatalf("got exit code %d, want %d: %s%s", code, wantExitCode, &stdout, &stderr)
	}
	return stdout.String()
}

// waitForEnds waits until a collector has received the END records of count starts and a chain head after each, because
// a collector does not read at once what a router has sent.
func (r *routerProcess) waitForEnds(count int, c *collector.Collector) {
	r.test.Helper()
	r.waitFor("the records of the end", func() bool {
		ended := map[string]bool{}
		proved := map[string]bool{}
		for _, message := range c.Messages() {
			start := recordValue(r.test, message, "audit", "start")
			switch recordKind(r.test, message) {
			case "END":
				ended[start] = true
			case "CHAIN":
				if ended[start] {
					proved[start] = true
				}
			}
		}
		return len(proved) == count
	})
}
