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

// A unit of work that waited behind another one until its deadline is rejected and not run, since its deadline runs
// from when it came. The one behind it is served.
func TestExpiredUnitOfWorkIsNotRun(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	db := testserver.NewDB(t, true, func(messageType byte, id string) testserver.Act {
		if id == "head" && messageType == 'E' {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	client := testserver.Dial(t, start(t, db).addr)
	client.Send(slices.Concat(
		prepare("a", statementText("head", "job", 2500)),
		prepare("b", statementText("late", "job", 300)),
		prepare("c", statementText("next", "job", 2500)),
		pgwire.Append(nil, 'S'),
	))
	client.Until('Z')
	sent := time.Now()
	client.Send(slices.Concat(runStatement("a"), runStatement("b"), runStatement("c")))
	<-asked
	for time.Since(sent) < 310*time.Millisecond { // until the deadline of the second has passed
		time.Sleep(time.Millisecond)
	}
	release()
	for i, code := range []string{"", pgwire.TooManyConnections, ""} {
		if answer := client.Until('Z'); answer.Code != code || answer.Ended {
			t.Fatalf("unit %d: %+v", i, answer)
		}
	}
	for id, want := range map[string]int{"head": 1, "late": 0, "next": 1} {
		if n := db.Runs(id); n != want {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// A read of a session that was sent before its client had read the response to its write carries the position from
// before the write, be it in the same bytes as the write or across the response on its way. It sees the write all the
// same.
func TestReadSentAcrossAWriteSeesIt(t *testing.T) {
	first, second := testserver.NewDB(t, true, nil), testserver.NewDB(t, false, nil)
	second.SetLag(time.Minute)
	client := testserver.Dial(t, start(t, first, second).addr)
	old := time.Now().Add(-2 * time.Minute).UnixMilli()
	read := func(id string) []byte {
		comment := fmt.Sprintf("/* id=%s,c=own,d=2500,cluster=7,after=%d */", id, old)
		return prepare(id, comment+" SELECT data FROM facts WHERE code = 'mine' AND $1 <> ''")
	}
	write := "/* id=write,c=job,d=2500,cluster=7 */ INSERT INTO facts (code, data) VALUES ('mine', $1) RETURNING data"
	client.Send(slices.Concat(
		prepare("write", write), read("before"), read("ahead"), read("crossing"), pgwire.Append(nil, 'S'),
	))
	client.Until('Z')
	served := func(unit string) {
		t.Helper()
		if answer := client.Until('Z'); answer.Code != "" || answer.Ended {
			t.Fatalf("%s: %+v", unit, answer)
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
			t.Errorf("%s ran %v times at the primary and the replica, not %v", id, got, want)
		}
	}
}
