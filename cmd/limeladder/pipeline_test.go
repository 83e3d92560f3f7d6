package main

import (
	"slices"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The first write of a pipeline takes longer than the deadline of a later one. The reads after it run meanwhile; the
// write whose deadline expires while it waits is rejected and never forwarded; the requests after that are served;
// answers arrive in the order of the requests.
func TestPipelinedReadsPassSlowWriteAndExpiredWriteIsNotSent(t *testing.T) {
	const (
		longDeadline  = 2500 * time.Millisecond
		shortDeadline = 300 * time.Millisecond
	)
	pipeline := []struct {
		id, class string
		deadline  time.Duration
	}{
		{"head", "job", longDeadline},
		{"r1", "look", longDeadline},
		{"r2", "look", longDeadline},
		{"w1", "job", shortDeadline},
		{"r3", "look", longDeadline},
		{"w2", "job", longDeadline},
	}
	act, arrived, release := blockRequest(t, "head")
	servers, list, agent := newReplicaGroup(t, act)
	d := runDaemon(t, pushedConfig(t, agent, list...))
	waitUntilReady(t, d)
	client := testserver.Dial(t, d.platformAddress())
	var messages []byte
	for _, request := range pipeline {
		text := statementWithin(request.id, request.class, request.deadline, 7)
		messages = slices.Concat(messages, queryMessage(text))
	}
	sentAt := time.Now()
	client.Send(messages)
	<-arrived
	replicas := servers[1:]
	for countRuns("r1", replicas...) != 1 || countRuns("r2", replicas...) != 1 {
		if time.Since(sentAt) > 2*time.Second {
			t.Fatal("reads wait for the slow write ahead of them")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(sentAt.Add(shortDeadline + 10*time.Millisecond)))
	release()
	for _, request := range pipeline {
		answer := client.Until('Z')
		rejected := answer.Types == "EZ" && answer.Code == pgwire.TooManyConnections && answer.Detail != ""
		served := answer.Types == "TDCZ"
		expired := request.deadline == shortDeadline
		if expired && !rejected || !expired && !served {
			t.Fatalf("%s: got answer %+v, want it rejected if it has the short deadline, otherwise served", request.id, answer)
		}
	}
	for _, request := range pipeline {
		wantRuns := 1
		if request.deadline == shortDeadline {
			wantRuns = 0
		}
		if runs := countRuns(request.id, servers...); runs != wantRuns {
			t.Errorf("%s ran %d times, want once, or never if it has the short deadline", request.id, runs)
		}
	}
}
