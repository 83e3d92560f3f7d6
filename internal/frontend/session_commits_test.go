package frontend

import (
	"fmt"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// A read that was sent after a write of its session gets the position of the write, which its client can't know yet.
// Reads of other sessions do not get it.
func TestPipelinedReadSeesItsSessionsWrite(t *testing.T) {
	_, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	sessionQuery := func(id, class, session string) []byte {
		comment := fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1,after=5 */", id, class)
		return pgwire.AppendQuery(nil, fmt.Sprintf("%s SELECT data FROM facts WHERE code = '%s'", comment, session))
	}
	client.Send(concat(
		sessionQuery("w", "write", "mine"), sessionQuery("other", "session", "another"),
		sessionQuery("same", "session", "mine"), sessionQuery("more", "session", "another"),
	))
	expectAccepted(t, fake, "w", "other")
	runInLoop(loop, func() {
		write := fake.client("w")
		write.(router.CommitObserver).Committed(7 * time.Second)
		write.Served(valueResponse("w"))
	})
	expectAccepted(t, fake, "w", "other", "same", "more")
	runInLoop(loop, func() {
		for _, request := range fake.requests {
			want := 5 * time.Millisecond
			if request.ClientRequestID == "same" {
				want = 7 * time.Second
			}
			if request.MinPosition != want {
				t.Errorf("request %s has to see position %v, want %v", request.ClientRequestID, request.MinPosition, want)
			}
		}
	})
	fake.serve("same", "other", "more")
	expectResponses(t, client, "w", "other", "same", "more")
	// The response to the write was sent and no request of the connection is queued. A read that the client sends
	// before it receives the response carries the earlier position.
	readAfter := func(id string, ms int) []byte {
		comment := fmt.Sprintf("/* id=%s,c=session,d=900,cluster=1,after=%d */", id, ms)
		return pgwire.AppendQuery(nil, comment+" SELECT data FROM facts WHERE code = 'mine'")
	}
	for i, later := range []struct {
		id               string
		clientPositionMs int
		wantPosition     time.Duration
		reason           string
	}{
		{"crossing", 5, 7 * time.Second, "the client does not know the write"},
		{"another", 6, 7 * time.Second, "the client still does not know the write"},
		{"knows", 7000, 7 * time.Second, "the client knows the write"},
		{"later", 5, 5 * time.Millisecond, "the client's position is used from then on"},
	} {
		client.Send(readAfter(later.id, later.clientPositionMs))
		waitUntil(t, later.id, func() bool { return fake.accepted() == 5+i })
		runInLoop(loop, func() {
			if request := fake.requests[4+i]; request.MinPosition != later.wantPosition {
				t.Errorf("request %s has to see position %v, want %v: %s",
					later.id, request.MinPosition, later.wantPosition, later.reason)
			}
		})
		fake.serve(later.id)
		expectResponses(t, client, later.id)
	}
}

// The writes of more sessions on one connection than are tracked separately are still seen, each by the reads of its
// replica group, and the memory for them is limited.
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
			t.Fatalf("session %d has to see position %v, want its own write's or that of a later write of its group", i, got)
		}
	}
	elsewhere := router.Request{Session: "s1", Group: 77, MinPosition: 5}
	if commits.positionFor(&elsewhere) != 5 {
		t.Error("a read has to see the writes of another replica group")
	}
	if len(commits.sessions) > maxTrackedSessions || len(commits.groups) != 4 {
		t.Errorf("%d sessions and %d groups are kept, want at most maxTrackedSessions and exactly 4",
			len(commits.sessions), len(commits.groups))
	}
	newest := time.Duration(count) * time.Second
	for i := range count { // drops the writes of sessions that are tracked separately, and not those of the groups
		commits.positionFor(&router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: newest})
	}
	read := router.Request{Session: "s0", Group: 0, MinPosition: 1}
	if len(commits.sessions) != 0 || commits.positionFor(&read) < time.Second {
		t.Errorf("%d sessions are still tracked, want 0; a session without an entry has to see %v, want at least 1s",
			len(commits.sessions), commits.positionFor(&read))
	}
}
