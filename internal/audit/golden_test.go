package audit_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/syslog"
	"limeladder/internal/syslog/parser"
)

// The golden file testdata/records.log was written by the program at commit 4e3d53a: one record of each kind, chained.
// Collectors keep such records for years, and their search rules name elements and parameters, so the records must stay
// byte-identical.

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenKeys returns the keys of testdata/keys.toml.
func goldenKeys(t *testing.T) audit.Keys {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "keys.toml"))
	if err != nil {
		t.Fatal(err)
	}
	keys, err := audit.ParseKeys(text)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func TestGoldenKeyFile(t *testing.T) {
	secret := func(first byte) (s [32]byte) {
		for i := range s {
			s[i] = first + byte(i)
		}
		return s
	}
	want := audit.Keys{{Name: "key-2", Secret: secret(0x20)}, {Name: "key-1", Secret: secret(0)}}
	if got := goldenKeys(t); !reflect.DeepEqual(got, want) {
		t.Errorf("the key file was read as %v, want %v", got, want)
	}
}

// goldenRecord is an event and the expected content of its message: its severity and MSGID, the parameters after start,
// link and seq as element/name=value, and the text.
type goldenRecord struct {
	event    audit.Event
	severity int
	id       string
	params   string
	text     string
}

func goldenRecords() []goldenRecord {
	return append(goldenAnswers(), goldenEvents()...)
}

func goldenAnswers() []goldenRecord {
	return []goldenRecord{
		{
			&audit.Answer{
				Request: "request-1", Class: "view", Tenant: "tenant-1", Client: "192.0.2.1:4000", Group: 3,
				Endpoint: "endpoint-1", Outcome: audit.Served, Queued: 5 * time.Microsecond,
				Worked: 70 * time.Microsecond, Total: 75 * time.Microsecond,
				Attempts: []audit.Attempt{{Endpoint: "endpoint-1", End: balance.StatusDone, Took: 70 * time.Microsecond}},
			},
			6, "ANSWER",
			"answer/outcome=served answer/sqlstate=00000 answer/writes=0 answer/may-have-run=0 " +
				"answer/node=endpoint-1 answer/total-us=75 answer/queued-us=5 answer/worked-us=70 answer/attempts=1 " +
				"answer/try=70,done,endpoint-1 request/id=request-1 request/class=view request/group=3 " +
				"request/tenant=tenant-1 request/client=192.0.2.1:4000", "",
		},
		{
			&audit.Answer{
				Request: "request-2", Class: "job", Outcome: audit.Rejected, Writes: true, Reason: "no \"room\"]\\",
				Queued: 2 * time.Millisecond, Total: 2 * time.Millisecond, Retry: 1500 * time.Millisecond,
			},
			4, "ANSWER",
			"answer/outcome=refused answer/sqlstate=53300 answer/writes=1 answer/may-have-run=0 " +
				"answer/total-us=2000 answer/queued-us=2000 answer/worked-us=0 answer/attempts=0 " +
				"answer/retry-ms=1500 answer/why=no \"room\"]\\ request/id=request-2 request/class=job request/group=0",
			"job refused after 2 ms, may come again in 1500 ms: no \"room\"]\\",
		},
		{
			&audit.Answer{
				Request: "request-3", Class: "job", Group: -1, Outcome: audit.Failed, Writes: true, MayHaveExecuted: true,
				Total: time.Second, Attempts: goldenAttempts(),
			},
			3, "ANSWER",
			"answer/outcome=failed answer/sqlstate=08007 answer/writes=1 answer/may-have-run=1 " +
				"answer/total-us=1000000 answer/queued-us=0 answer/worked-us=0 answer/attempts=10 " +
				"answer/try=0,done,endpoint-0 answer/try=1,error,endpoint-1 answer/try=2,busy,endpoint-2 " +
				"answer/try=3,timed-out,endpoint-3 answer/try=4,connect-failed,endpoint-4 " +
				"answer/try=5,reset,endpoint-5 answer/try=6,cancelled,endpoint-6 answer/try=7,skipped,endpoint-7 " +
				"answer/try=8,miss,endpoint-8 answer/try=9,out,endpoint-9 " +
				"request/id=request-3 request/class=job request/group=-1", "job failed after 1000 ms",
		},
		{
			&audit.Answer{Request: "request-4", Class: "view", Outcome: audit.Truncated, Code: "57014"}, 3, "ANSWER",
			"answer/outcome=cut answer/sqlstate=57014 answer/writes=0 answer/may-have-run=0 answer/total-us=0 " +
				"answer/queued-us=0 answer/worked-us=0 answer/attempts=0 request/id=request-4 request/class=view " +
				"request/group=0", "view cut after 0 ms",
		},
		{
			&audit.Answer{Request: "request-5", Class: "view", Outcome: audit.Disconnected}, 5, "ANSWER",
			"answer/outcome=left answer/writes=0 answer/may-have-run=0 answer/total-us=0 answer/queued-us=0 " +
				"answer/worked-us=0 answer/attempts=0 request/id=request-5 request/class=view request/group=0",
			"view left after 0 ms",
		},
	}
}

// goldenAttempts returns one attempt for each end.
func goldenAttempts() (attempts []audit.Attempt) {
	ends := []balance.Status{
		balance.StatusDone, balance.StatusError, balance.StatusBusy, balance.StatusTimedOut,
		balance.StatusConnectFailed, balance.StatusReset, balance.StatusCancelled, balance.StatusNotSent,
		balance.StatusMiss, audit.InFlight,
	}
	for i, end := range ends {
		node := "endpoint-" + string(rune('0'+i))
		attempts = append(attempts, audit.Attempt{Endpoint: node, End: end, Took: time.Duration(i) * time.Microsecond})
	}
	return attempts
}

func goldenEvents() []goldenRecord {
	return []goldenRecord{
		{
			audit.Start{Router: "router-1", Key: "key-2"},
			5, "START",
			"event/router=router-1 event/key=key-2", "recording begins",
		},
		{
			audit.EndpointStateChange{Endpoint: "endpoint-1", Group: 3, State: "draining", Source: "list"},
			5, "DRAIN",
			"event/node=endpoint-1 event/group=3 event/state=draining event/by=list",
			"db machine endpoint-1 is draining, says list",
		},
		{
			audit.Router{State: "drained", Source: "operator"},
			5, "ROUTER",
			"event/state=drained event/by=operator", "the router is drained, says operator",
		},
		{
			audit.Primary{Group: 3, Endpoint: "endpoint-1", Believed: true},
			5, "PRIMARY",
			"event/group=3 event/node=endpoint-1 event/state=believed", "primary endpoint-1 of group 3 is believed",
		},
		{
			audit.Primary{Group: 4, Endpoint: "endpoint-2", Reason: "miss"},
			5, "PRIMARY",
			"event/group=4 event/node=endpoint-2 event/state=doubted event/why=miss",
			"primary endpoint-2 of group 4 is doubted",
		},
		{
			audit.List{Version: 41, Full: true, Ready: 5, Draining: 6, Gone: 7},
			6, "LIST",
			"event/version=41 event/full=1 event/ready=5 event/draining=6 event/gone=7", "",
		},
		{audit.Reload{What: "configuration"}, 5, "RELOAD", "event/what=configuration event/taken=1", ""},
		{
			audit.Reload{What: "keys", Error: "not there"},
			4, "RELOAD",
			"event/what=keys event/taken=0 event/why=not there", "",
		},
		{
			audit.Dropped{Count: 10, First: 2, Last: 12, ByLevel: [4]uint64{1, 2, 3, 4}},
			3, "DROPPED",
			"event/count=10 event/first=2 event/last=12 event/reads=1 event/usual=2 event/refusals=3 event/states=4",
			"10 records found no room",
		},
		{audit.Note{Topic: "store", Text: "no leader"}, 6, "NOTE", "event/topic=store", "no leader"},
		{
			audit.End{Accepted: 21, Served: 22, Rejected: 23, Failed: 24, Disconnected: 25},
			5, "END",
			"event/taken=21 event/served=22 event/refused=23 event/failed=24 event/left=25", "recording ends",
		},
	}
}

var goldenStart = time.Date(2027, 1, 15, 8, 0, 0, 0, time.UTC)

// goldenStartID is the id of the start that the golden records belong to.
const goldenStartID = "1a3185c500000abcdef"

// goldenTime returns the time of the record with the given number.
func goldenTime(number int) time.Time {
	return goldenStart.Add(time.Duration(number) * 1010 * time.Millisecond)
}

// encodeGolden returns a message for each golden record, followed by two heads of the chain.
func encodeGolden(t *testing.T) (messages [][]byte) {
	t.Helper()
	keys := goldenKeys(t)
	encoder, err := audit.NewEncoder(audit.EncoderOptions{
		Head:       syslog.Header{Facility: 3, Host: "site-a", App: "limeladder", Proc: "17"},
		Enterprise: 32473, MaxMessageBytes: 2048, Software: "limeladder", Version: "1.0",
		Start: audit.NewStartID(goldenStart, 0xabcdef), StartedAt: goldenStart,
		RejectedSQLSTATE: "53300", FailedSQLSTATE: "08007", Key: &keys[1],
		Quality: func() audit.ClockQuality { return audit.ClockQuality{Synced: true, Accuracy: 3 * time.Millisecond} },
	})
	if err != nil {
		t.Fatal(err)
	}
	records := goldenRecords()
	for i, record := range records {
		message := encoder.Encode(audit.Record{Seq: uint64(i) + 1, Time: goldenTime(i + 1), Event: record.event})
		messages = append(messages, bytes.Clone(message))
	}
	for _, next := range []*audit.Key{&keys[0], nil} {
		head, err := encoder.EncodeHead(goldenTime(len(messages)+1), next)
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, bytes.Clone(head))
	}
	return messages
}

// goldenLines returns the lines of the golden file. With -update it first writes the messages to the file.
func goldenLines(t *testing.T, messages [][]byte) [][]byte {
	t.Helper()
	path := filepath.Join("testdata", "records.log")
	if *update {
		if err := os.WriteFile(path, append(bytes.Join(messages, []byte("\n")), '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	if len(lines) != len(messages) {
		t.Fatalf("the golden file has %d lines, want %d", len(lines), len(messages))
	}
	return lines
}

func TestGoldenRecordsAreWritten(t *testing.T) {
	messages := encodeGolden(t)
	for i, want := range goldenLines(t, messages) {
		t.Run(string(rune('a'+i)), func(t *testing.T) {
			if !bytes.Equal(messages[i], want) {
				t.Errorf("the message is\n%s, want\n%s", messages[i], want)
			}
		})
	}
}

// formatParams returns the parameters of a message as element/name=value, without the enterprise number.
func formatParams(t *testing.T, message *parser.Message) (params []string) {
	t.Helper()
	for _, element := range message.Elements {
		name, number, own := strings.Cut(string(element.ID), "@")
		if own && number != "32473" {
			t.Errorf("the enterprise number of the element %s is not 32473", element.ID)
		}
		for _, param := range element.Params {
			params = append(params, name+"/"+string(param.Name)+"="+string(param.Value))
		}
	}
	return params
}

func TestGoldenRecordsAreRead(t *testing.T) {
	lines := goldenLines(t, encodeGolden(t))
	for i, record := range goldenRecords() {
		t.Run(record.id+"/"+string(rune('a'+i)), func(t *testing.T) {
			var message parser.Message
			if err := message.Read(lines[i]); err != nil {
				t.Fatal(err)
			}
			if message.Facility != 3 || message.Severity != record.severity || string(message.ID) != record.id {
				t.Errorf("facility, severity and MSGID are %d.%d %s, want 3.%d %s",
					message.Facility, message.Severity, message.ID, record.severity, record.id)
			}
			if string(message.Host) != "site-a" || string(message.App) != "limeladder" || string(message.Proc) != "17" {
				t.Errorf("host, program and process are %s, %s and %s, want site-a, limeladder and 17",
					message.Host, message.App, message.Proc)
			}
			if !message.Time.Equal(goldenTime(i + 1)) {
				t.Errorf("the time is %v, want %v", message.Time, goldenTime(i+1))
			}
			if string(message.Text) != record.text {
				t.Errorf("the text is %q, want %q", message.Text, record.text)
			}
			checkParams(t, formatParams(t, &message), i+1, record.params)
		})
	}
}

// checkParams checks the parameters that every message has and, between them, those of its event.
func checkParams(t *testing.T, got []string, number int, event string) {
	t.Helper()
	if len(got) < 3 || !strings.HasPrefix(got[1], "audit/link=") {
		t.Fatalf("the parameters %q have no link in second place", got)
	}
	link := strings.TrimPrefix(got[1], "audit/link=")
	if len(link) != 22 || (number == 1) != (link == strings.Repeat("A", 22)) {
		t.Errorf("the link of record %d is %q, want 22 characters, and the genesis link only in record 1", number, link)
	}
	uptime := goldenTime(number).Sub(goldenStart) / (10 * time.Millisecond)
	want := []string{"audit/start=" + goldenStartID, got[1], "audit/seq=" + strconv.Itoa(number)}
	want = append(want, event, "meta/sequenceId="+strconv.Itoa(number), "meta/sysUpTime="+strconv.Itoa(int(uptime)),
		"timeQuality/tzKnown=1", "timeQuality/isSynced=1", "timeQuality/syncAccuracy=3000",
		"origin/software=limeladder", "origin/swVersion=1.0", "origin/enterpriseId=32473")
	if gotText, wantText := strings.Join(got, " "), strings.Join(want, " "); gotText != wantText {
		t.Errorf("the parameters are\n%s, want\n%s", gotText, wantText)
	}
}
