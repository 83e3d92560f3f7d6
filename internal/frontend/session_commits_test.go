package frontend

import (
	"fmt"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// A read of a session that was sent behind a write of it gets the position of the write, which its client could not
// know. Reads of other sessions do not.
func TestPipelinedReadSeesItsSessionsWrite(t *testing.T) {
	_, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	of := func(id, class, session string) []byte {
		comment := fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1,after=5 */", id, class)
		return pgwire.AppendQuery(nil, fmt.Sprintf("%s SELECT data FROM facts WHERE code = '%s'", comment, session))
	}
	client.Send(concat(
		of("w", "waits", "mine"), of("other", "own", "another"), of("own", "own", "mine"), of("more", "own", "another"),
	))
	expectAccepted(t, fake, "w", "other")
	runInLoop(loop, func() {
		write := fake.client("w")
		write.(router.CommitObserver).Committed(7 * time.Second)
		write.Served(valueResponse("w"))
	})
	expectAccepted(t, fake, "w", "other", "own", "more")
	runInLoop(loop, func() {
		for _, request := range fake.requests {
			want := 5 * time.Millisecond
			if request.ClientRequestID == "own" {
				want = 7 * time.Second
			}
			if request.MinPosition != want {
				t.Errorf("%s has to see %v, not %v", request.ClientRequestID, request.MinPosition, want)
			}
		}
	})
	fake.serve("own", "other", "more")
	expectAnswers(t, client, "w", "other", "own", "more")
	// The response to the write has left and nothing of the connection waits. A read that crosses the response on its
	// way carries the position from before.
	at := func(id string, ms int) []byte {
		comment := fmt.Sprintf("/* id=%s,c=own,d=900,cluster=1,after=%d */", id, ms)
		return pgwire.AppendQuery(nil, comment+" SELECT data FROM facts WHERE code = 'mine'")
	}
	for i, later := range []struct {
		id         string
		tells      int
		sees       time.Duration
		afterwards string
	}{
		{"crossing", 5, 7 * time.Second, "it says that it knows of none"},
		{"another", 6, 7 * time.Second, "again"},
		{"knows", 7000, 7 * time.Second, "it says that it knows"},
		{"free", 5, 5 * time.Millisecond, "its own word counts from then on"},
	} {
		client.Send(at(later.id, later.tells))
		waitUntil(t, later.id, func() bool { return fake.accepted() == 5+i })
		runInLoop(loop, func() {
			if request := fake.requests[4+i]; request.MinPosition != later.sees {
				t.Errorf("%s has to see %v, not %v: %s", later.id, request.MinPosition, later.sees, later.afterwards)
			}
		})
		fake.serve(later.id)
		expectAnswers(t, client, later.id)
	}
}

// The writes of more sessions on one connection than are told apart are still seen, each by the reads of its replica
// group, and what is kept is bounded.
func TestWritesOfManySessionsAreSeen(t *testing.T) {
	var commits sessionCommits
	const count = 40 * maxTrackedSessions
	for i := range count {
		commits.record(fmt.Sprint("s", i), int64(i%4), time.Duration(i+1)*time.Second)
	}
	for i := range count {
		read := router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: 1}
		got := commits.positionFor(&read)
		inRange := got >= time.Duration(i+1)*time.Second && got <= time.Duration(count)*time.Second
		if !inRange || got/time.Second%4 != time.Duration(i+1)%4 {
			t.Fatalf("session %d has to see %v", i, got)
		}
	}
	elsewhere := router.Request{Session: "s1", Group: 77, MinPosition: 5}
	if commits.positionFor(&elsewhere) != 5 {
		t.Error("another group's writes are asked of it")
	}
	if len(commits.sessions) > maxTrackedSessions || len(commits.groups) != 4 {
		t.Errorf("%d sessions and %d groups are kept", len(commits.sessions), len(commits.groups))
	}
	newest := time.Duration(count) * time.Second
	for i := range count { // all sessions that are told apart show that they know their write; the others have not
		commits.positionFor(&router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: newest})
	}
	read := router.Request{Session: "s0", Group: 0, MinPosition: 1}
	if len(commits.sessions) != 0 || commits.positionFor(&read) < time.Second {
		t.Errorf("with %d sessions told apart another one has to see %v", len(commits.sessions), commits.positionFor(&read))
	}
}
