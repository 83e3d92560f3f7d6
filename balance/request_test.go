package balance

import (
	"testing"
	"time"
)

func TestOpenAttempt(t *testing.T) {
	request := &request{attempts: []*attempt{{number: 0, ended: true}, {number: 1}}}
	for number, want := range map[int]bool{-1: false, 0: false, 1: true, 2: false} {
		if got := request.openAttempt(number) != nil; got != want {
			t.Errorf("attempt %d: open = %v, want the opposite", number, got)
		}
	}
}

func TestTimesOfARequest(t *testing.T) {
	request := &request{arrivedAt: 100 * time.Second, deadline: 102 * time.Second}
	if got, want := request.halfTime(), 101*time.Second-tickInterval; got != want {
		t.Errorf("got half time %v, want %v", got, want)
	}
	if got, want := request.lastAnswer(), 102*time.Second-2*tickInterval; got != want {
		t.Errorf("got last answer %v, want %v", got, want)
	}
}

func TestMinPosition(t *testing.T) {
	b, err := New(testConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.now = 100 * time.Second
	b.sessionCommits.record(sessionInGroup{session: 5, group: 1}, 90*time.Second)
	event := Request{SessionID: 5, Group: 1, SinceSessionWrite: time.Second}
	for _, c := range []struct {
		class  string
		tokens bool
		want   Time
	}{
		{"latest", true, 100 * time.Second},
		{"any", true, 0},
		{"session", true, 99*time.Second + commitRounding},
		{"session", false, 90 * time.Second},
	} {
		b.config.ClientSessionTokens = c.tokens
		if got := b.minPosition(b.classes[c.class], event); got != c.want {
			t.Errorf("%s, tokens %v: got position %v, want %v", c.class, c.tokens, got, c.want)
		}
	}
}

func TestStreamingAttemptIsNotInFlight(t *testing.T) {
	endpoint := &endpoint{}
	streaming := &attempt{endpoint: endpoint}
	endpoint.inFlight = []*attempt{streaming}
	if !streaming.startStreaming(time.Second) || streaming.startStreaming(2*time.Second) {
		t.Error("startStreaming did not return true at its first call and false at its second, as expected")
	}
	if len(endpoint.inFlight) != 0 || endpoint.health.lastAnswerAt != time.Second {
		t.Errorf("%d attempts in flight, last answer at %v; want none and 1s",
			len(endpoint.inFlight), endpoint.health.lastAnswerAt)
	}
}
