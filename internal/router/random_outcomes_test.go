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

// Whatever the endpoints do and whenever clients leave, each request ends once, no write is sent again after it may
// have run, and nothing stays behind.
func TestRandomOutcomes(t *testing.T) {
	run := &randomRun{rng: rand.New(rand.NewPCG(7, 8))}
	run.router, run.peers, run.loop = newTestRouter(t)
	runFor(run.router, run.loop, 800*time.Millisecond, func() { run.tick(t) })
	run.checkNoUnsafeRetry(t)
	run.checkAudit(t)
	run.checkAnswers(t)
	if run.router.InFlight() != 0 || len(run.router.openLabels) != 0 {
		t.Errorf("%d in flight, %d open labels", run.router.InFlight(), len(run.router.openLabels))
	}
}

// randomRun sends one request a millisecond, lets some clients leave, and ends attempts at random.
type randomRun struct {
	rng      *rand.Rand
	router   *Router
	peers    *fakePeers
	loop     *eventloop.Loop
	requests []randomRequest
}

type randomRequest struct {
	id     string
	client *fakeClient
	left   bool // its client left before the answer
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
	label := fmt.Sprint(class, len(run.requests)+1)
	client := &fakeClient{loop: run.loop}
	id := accept(t, run.router, Request{
		Class:           class,
		ClientRequestID: label,
		Deadline:        time.Duration(20+run.rng.IntN(80)) * time.Millisecond,
		ReceivedAt:      run.loop.Now(),
		Job:             label,
	}, client)
	run.requests = append(run.requests, randomRequest{id: id, client: client})
}

func (run *randomRun) disconnectSome() {
	req := &run.requests[run.rng.IntN(len(run.requests))]
	if run.rng.IntN(6) == 0 && req.client.answers() == 0 {
		req.left = true
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

func isWriteLabel(label string) bool { return strings.HasPrefix(label, writeClass) }

func (run *randomRun) checkNoUnsafeRetry(t *testing.T) {
	t.Helper()
	mayHaveRun := map[any]bool{}
	for _, attempt := range run.peers.attempts {
		if mayHaveRun[attempt.Job] {
			t.Fatalf("%v: sent again", attempt.Job)
		}
		// An attempt that ended without a status was cancelled at its deadline: it may have run.
		mayHaveRun[attempt.Job] = isWriteLabel(attempt.Job.(string)) && !isSafeEnd(attempt.status)
	}
}

func (run *randomRun) checkAudit(t *testing.T) {
	t.Helper()
	recorded := map[string]*audit.Answer{}
	outcomes := map[audit.Outcome]uint64{}
	for _, answer := range run.peers.answers() {
		if recorded[answer.Request] != nil {
			t.Fatalf("%s is recorded twice", answer.Request)
		}
		recorded[answer.Request] = answer
		outcomes[answer.Outcome]++
		checkAnswerRecord(t, answer)
	}
	if len(recorded) != len(run.requests) {
		t.Fatalf("%d records of %d requests", len(recorded), len(run.requests))
	}
	counts := run.router.Counts()
	for outcome, counted := range map[audit.Outcome]uint64{
		audit.Served:  counts.Served,
		audit.Refused: counts.Rejected,
		audit.Failed:  counts.Failed,
		audit.Left:    counts.Disconnected,
	} {
		if outcomes[outcome] != counted {
			t.Errorf("outcome %v: %d recorded, %d counted", outcome, outcomes[outcome], counted)
		}
	}
}

// checkAnswerRecord checks that what is recorded of an answer fits together.
func checkAnswerRecord(t *testing.T, answer *audit.Answer) {
	t.Helper()
	write := isWriteLabel(answer.Request)
	contradictions := map[string]bool{
		"an effect without an attempt": len(answer.Attempts) == 0 &&
			(answer.Outcome == audit.Served || answer.MayHaveExecuted),
		"the wrong kind of class": answer.Writes != write,
		"a rejection without a time to retry, or of what may have run": answer.Outcome == audit.Refused &&
			(answer.Retry <= 0 || answer.MayHaveExecuted),
		"a failed write that has not run": answer.Outcome == audit.Failed && write && !answer.MayHaveExecuted,
		"queued longer than in flight":    answer.Total < answer.Queued,
	}
	for contradiction, found := range contradictions {
		if found {
			t.Errorf("%s is recorded with %s: %+v", answer.Request, contradiction, answer)
		}
	}
}

func (run *randomRun) checkAnswers(t *testing.T) {
	t.Helper()
	for i, req := range run.requests {
		want := 1
		if req.left {
			want = 0
		}
		if req.client.answers() != want {
			t.Errorf("request %d, client left %v: %+v", i, req.left, req.client)
		}
	}
}
