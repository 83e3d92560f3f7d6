package extendedquery

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A unit of work that waited for another one until its deadline is rejected and not run, since its deadline runs from
// its arrival. The unit after it is served.
func TestExpiredUnitOfWorkIsNotRun(t *testing.T) {
	received, proceed := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	db := testserver.NewDB(t, true, func(messageType byte, id string) testserver.Act {
		if id == "head" && messageType == 'E' {
			received <- true
			<-proceed
		}
		return testserver.Act{}
	})
	client := testserver.Dial(t, start(t, db).addr)
	client.Send(slices.Concat(
		prepare("a", statementText("head", "write", 2500)),
		prepare("b", statementText("late", "write", 300)),
		prepare("c", statementText("next", "write", 2500)),
		pgwire.Append(nil, 'S'),
	))
	client.Until('Z')
	sent := time.Now()
	client.Send(slices.Concat(runStatement("a"), runStatement("b"), runStatement("c")))
	<-received
	for time.Since(sent) < 310*time.Millisecond { // until the deadline of the second has passed
		time.Sleep(time.Millisecond)
	}
	release()
	for i, code := range []string{"", pgwire.TooManyConnections, ""} {
		if answer := client.Until('Z'); answer.Code != code || answer.Ended {
			t.Fatalf("unit %d: response %+v, want units 0 and 2 served, and unit 1 rejected with error 53300", i, answer)
		}
	}
	for id, want := range map[string]int{"head": 1, "late": 0, "next": 1} {
		if n := db.Runs(id); n != want {
			t.Errorf("%s ran %d times, want one run of head and of next, and none of late", id, n)
		}
	}
}

// A read of a session sees the session's write although it was sent before its client had received the response to the
// write, and so carries the earlier position: in the same bytes as the write, or while the response was on its way.
func TestReadSentBeforeWriteResponseSeesWrite(t *testing.T) {
	first, second := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil)
	second.SetLag(time.Minute)
	client := testserver.Dial(t, start(t, first, second).addr)
	old := time.Now().Add(-2 * time.Minute).UnixMilli()
	read := func(id string) []byte {
		comment := fmt.Sprintf("/* id=%s,c=session,d=2500,cluster=7,after=%d */", id, old)
		return prepare(id, comment+" SELECT data FROM facts WHERE code = 'mine' AND $1 <> ''")
	}
	write := "/* id=write,c=write,d=2500,cluster=7 */ INSERT INTO facts (code, data) VALUES ('mine', $1) RETURNING data"
	client.Send(slices.Concat(
		prepare("write", write), read("before"), read("ahead"), read("crossing"), pgwire.Append(nil, 'S'),
	))
	client.Until('Z')
	served := func(unit string) {
		t.Helper()
		if answer := client.Until('Z'); answer.Code != "" || answer.Ended {
			t.Fatalf("%s: response %+v, want no error", unit, answer)
		}
	}
	client.Send(runStatement("before"))
	served("before")
	client.Send(slices.Concat(runStatement("write"), runStatement("ahead")))
	served("write")
	served("ahead")
	client.Send(runStatement("crossing"))
	served("crossing")
	for id, want := range map[string][2]int{"before": {0, 1}, "write": {1, 0}, "ahead": {1, 0}, "crossing": {1, 0}} {
		if got := [2]int{first.Runs(id), second.Runs(id)}; got != want {
			t.Errorf("%s ran %v times at the primary and the replica, want %v", id, got, want)
		}
	}
}
