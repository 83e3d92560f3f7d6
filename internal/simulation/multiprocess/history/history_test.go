package history

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestFactsDescribeThemselvesInOneLine checks the texts, which people search timelines for.
func TestFactsDescribeThemselvesInOneLine(t *testing.T) {
	for _, test := range []struct {
		name string
		fact Fact
		want string
	}{
		{
			"request sent",
			RequestSent{ID: "q1", Class: "view", Site: "n", Router: "r1", Incarnation: 2, Timeout: time.Second},
			"request q1 (view) of n to r1.2, within 1s",
		},
		{
			"request ended",
			RequestEnded{ID: "q1", Outcome: Rejected, SQLState: "53300"},
			"request q1 is refused 53300",
		},
		{
			"connection closed before the answer",
			RequestEnded{ID: "q1", Outcome: ClosedByPeer},
			"request q1 is crossed by a close ",
		},
		{
			"statement arrived",
			StatementArrived{ID: "q1", Endpoint: "db1a", Router: "r1", Incarnation: 2},
			"statement q1 comes to db1a from r1.2",
		},
		{
			"statement executed",
			StatementExecuted{ID: "q1", Endpoint: "db1a", Served: true},
			"statement q1 ends at db1a: served true, its connection gone false",
		},
		{
			"connection abandoned",
			ConnectionAbandoned{Router: "r1", Endpoint: "db1a", Connection: "127.0.0.1:9"},
			"r1 gives up its connection 127.0.0.1:9 to db1a",
		},
		{
			"endpoint state notified",
			EndpointStateNotified{Router: "r1", Incarnation: 2, Endpoint: "db1a", State: "draining"},
			"r1.2 is told that db1a is draining",
		},
		{"process ready", ProcessEvent{Router: "r1", Incarnation: 2, Ready: true}, "r1.2 is ready"},
		{"process event", ProcessEvent{Router: "r1", Incarnation: 2, Event: "is killed"}, "r1.2: is killed"},
		{"script step", ScriptStep{Text: "cut(n=s)"}, "step: cut(n=s)"},
		{"endpoint overloaded", EndpointOverloaded{Endpoint: "db1a"}, "db1a is pushed over while cold"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.fact.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestLogKeepsEveryFactInOrder adds facts from several goroutines at once.
func TestLogKeepsEveryFactInOrder(t *testing.T) {
	log := New()
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				log.Add(ScriptStep{})
			}
		})
	}
	writers.Wait()
	entries := log.Entries()
	if len(entries) != 800 {
		t.Fatalf("got %d entries, want 800", len(entries))
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Time < entries[i-1].Time {
			t.Fatalf("entry %d at %v is older than the one before it, at %v", i, entries[i].Time, entries[i-1].Time)
		}
	}
	entries[0].Fact = nil
	if log.Entries()[0].Fact == nil {
		t.Error("modifying the returned entries changed the log, want an independent copy")
	}
}

// TestTimelineIsSortedByTime checks the format of a line, and that lines of the same time keep their order.
func TestTimelineIsSortedByTime(t *testing.T) {
	var text strings.Builder
	err := WriteTimeline(&text, []TimelineEntry{
		{2 * time.Second, "r1", "second"},
		{time.Second, "rig", "first"},
		{2 * time.Second, "RULE", "third"},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := "    1.0000  rig        first\n    2.0000  r1         second\n    2.0000  RULE       third\n"
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}

var errDiskFull = errors.New("disk full")

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errDiskFull }

// TestTimelineReportsAFailedWrite checks that the returned error wraps the cause of a failed write.
func TestTimelineReportsAFailedWrite(t *testing.T) {
	if err := WriteTimeline(failingWriter{}, []TimelineEntry{{}}); !errors.Is(err, errDiskFull) {
		t.Errorf("got %v, want the writer's error", err)
	}
}
