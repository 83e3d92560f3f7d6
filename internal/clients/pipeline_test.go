package clients

import (
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/servers"
	"limeladder/internal/standin"
)

// A request that waited behind another one came when its last byte did: its client's time runs from then, not from its turn.
func TestTheTimeOfWhatWaitsRunsFromWhenItCame(t *testing.T) {
	f, k, l, addr := start(t)
	c := standin.Dial(t, addr)
	c.Send(append(pgwire.AppendQuery(nil, sql("waits")), pgwire.AppendQuery(nil, sql("served"))...))
	until(t, "the head is taken", func() bool { return k.len() == 1 })
	conn := only(t, f, l)
	until(t, "the other one has come", func() (came bool) {
		do(l, func() { came = conn.reader.Waiting() > 0 })
		return came
	})
	came := l.Now()
	until(t, "time has passed", func() bool { return l.Now() > came+50*time.Millisecond })
	do(l, func() { conn.speaker.(*simple).Served(&servers.Answer{}) })
	c.Until('Z')
	if q := k.newest.Load(); q.Class != "served" || q.At > came {
		t.Fatalf("%s counts from %v behind its coming", q.Class, q.At-came)
	}
}
