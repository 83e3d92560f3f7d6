package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
)

// With random results of attempts and random disconnects of clients, each request ends exactly once, no write is
// retried after it may have been executed, and no state is left in the router.
func TestRandomOutcomes(t *testing.T) {
	run := &randomRun{rng: rand.New(rand.NewPCG(7, 8))}
	run.router, run.peers, run.loop = newTestRouter(t)
	runFor(run.router, run.loop, 800*time.Millisecond, func() { run.tick(t) })
	run.checkNoUnsafeRetry(t)
	run.checkAudit(t)
	run.checkAnswers(t)
	if run.router.InFlight() != 0 || len(run.router.openClientRequestIDs) != 0 {
		t.Errorf("got %d requests in flight, %d open client request ids, want 0 and 0",
			run.router.InFlight(), len(run.router.openClientRequestIDs))
	}
}

// randomRun sends one request per millisecond, and at random disconnects clients and ends attempts.
type randomRun struct {
	rng      *rand.Rand
	router   *Router
	peers    *fakePeers
	loop     *eventloop.Loop
	requests []randomRequest
}

type randomRequest struct {
	id           string
	client       *fakeClient
	disconnected bool // the client disconnected before the answer
}

func (run *randomRun) tick(t *testing.T) {
	t.Helper()
	if len(run.requests) == 300 {
		return
	}
	run.send(t)
	run.disconnectSome()
	run.endSomeAttempts()
	run.loop.AfterFunc(time.Millisecond, func() { run.tick(t) })
}

func (run *randomRun) send(t *testing.T) {
	t.Helper()
	class := []string{readClass, writeClass}[run.rng.IntN(2)]
	requestID := fmt.Sprint(class, len(run.requests)+1)
	client := &fakeClient{loop: run.loop}
	id := accept(t, run.router, Request{
		Class:           class,
		ClientRequestID: requestID,
		ClientTimeout:   time.Duration(20+run.rng.IntN(80)) * time.Millisecond,
		ReceivedAt:      run.loop.Now(),
		Job:             requestID,
	}, client)
	run.requests = append(run.requests, randomRequest{id: id, client: client})
}

func (run *randomRun) disconnectSome() {
	req := &run.requests[run.rng.IntN(len(run.requests))]
	if run.rng.IntN(6) == 0 && req.client.answers() == 0 {
		req.disconnected = true
		run.router.Disconnect(req.id)
	}
}

func (run *randomRun) endSomeAttempts() {
	ends := []balance.Status{
		balance.StatusDone, balance.StatusDone, balance.StatusError, balance.StatusBusy, balance.StatusConnectFailed,
		balance.StatusReset, balance.StatusNotSent, balance.StatusMiss,
	}
	for _, attempt := range run.peers.attempts {
		if !attempt.ended && run.rng.IntN(3) == 0 {
			attempt.end(ends[run.rng.IntN(len(ends))])
		}
	}
}

func isWriteRequestID(requestID string) bool { return strings.HasPrefix(requestID, writeClass) }

func (run *randomRun) checkNoUnsafeRetry(t *testing.T) {
	t.Helper()
	mayHaveRun := map[any]bool{}
	for _, attempt := range run.peers.attempts {
		if mayHaveRun[attempt.Job] {
			t.Fatalf("write %v was retried after it may have been executed", attempt.Job)
		}
		// An attempt without a status was cancelled at its deadline, so it may have been executed.
		mayHaveRun[attempt.Job] = isWriteRequestID(attempt.Job.(string)) && !provesNotRun(attempt.status)
	}
}

func (run *randomRun) checkAudit(t *testing.T) {
	t.Helper()
	recorded := map[string]*audit.Answer{}
	outcomes := map[audit.Outcome]uint64{}
	for _, answer := range run.peers.answers() {
		if recorded[answer.Request] != nil {
			t.Fatalf("request %s has two audit records, want one", answer.Request)
		}
		recorded[answer.Request] = answer
		outcomes[answer.Outcome]++
		checkAnswerRecord(t, answer)
	}
	if len(recorded) != len(run.requests) {
		t.Fatalf("got %d audit records of %d requests, want one each", len(recorded), len(run.requests))
	}
	counts := run.router.Counts()
	for outcome, counted := range map[audit.Outcome]uint64{
		audit.Served:       counts.Served,
		audit.Rejected:     counts.Rejected,
		audit.Failed:       counts.Failed,
		audit.Disconnected: counts.Disconnected,
	} {
		if outcomes[outcome] != counted {
			t.Errorf("outcome %v: got %d audit records, counter is %d", outcome, outcomes[outcome], counted)
		}
	}
}

// checkAnswerRecord checks that the audit record of an answer does not contradict itself.
func checkAnswerRecord(t *testing.T, answer *audit.Answer) {
	t.Helper()
	write := isWriteRequestID(answer.Request)
	contradictions := map[string]bool{
		"an effect without an attempt": len(answer.Attempts) == 0 &&
			(answer.Outcome == audit.Served || answer.MayHaveExecuted),
		"the wrong kind of class": answer.Writes != write,
		"a rejection without a Retry-After, or of a request that may have been executed": answer.Outcome == audit.Rejected &&
			(answer.Retry <= 0 || answer.MayHaveExecuted),
		"a failed write that was not executed": answer.Outcome == audit.Failed && write && !answer.MayHaveExecuted,
		"queued longer than in flight":         answer.Total < answer.Queued,
	}
	for contradiction, found := range contradictions {
		if found {
			t.Errorf("audit record of request %s has %s: %+v", answer.Request, contradiction, answer)
		}
	}
}

func (run *randomRun) checkAnswers(t *testing.T) {
	t.Helper()
	for i, req := range run.requests {
		want := 1
		if req.disconnected {
			want = 0
		}
		if req.client.answers() != want {
			t.Errorf("request %d, client disconnected %v: got %+v, want one answer unless disconnected",
				i, req.disconnected, req.client)
		}
	}
}
