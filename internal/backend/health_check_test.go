package backend

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// healthCheck performs a health check and returns its result.
func (p *testPool) healthCheck() router.Result {
	p.t.Helper()
	done := make(chan router.Result, 9)
	p.loop.Post(func() { p.pool.HealthCheck("n", func(result router.Result) { done <- result }) })
	return p.await(done)
}

func TestHealthCheck(t *testing.T) {
	server := testserver.NewDB(t, false, nil)
	p := newTestPool(t, testLimits(), server.Addr)
	now := time.Duration(time.Now().UnixNano())
	result := p.healthCheck()
	if result.Status != balance.StatusDone || result.Role != balance.RoleReplica {
		t.Fatalf("got %+v, want StatusDone from a replica", result)
	}
	if result.Position > now+time.Minute || result.Position < now-time.Minute {
		t.Fatalf("got %+v, want a position within a minute of now", result)
	}
	silent := testserver.NewDB(t, false, func(typ byte, _ string) testserver.Act {
		return testserver.Act{Silent: typ == 'Q'}
	})
	p = newTestPool(t, testLimits(), silent.Addr)
	if result := p.healthCheck(); result.Status != balance.StatusTimedOut {
		t.Fatalf("silent endpoint: got %+v, want StatusTimedOut", result)
	}
	for text, want := range map[string]time.Duration{
		"x0=1767225600.123,x1=1,util=0.6": 1767225600123 * time.Millisecond,
		`{"x0": 1767225600.5, "x1": 1}`:   1767225600500 * time.Millisecond,
		"x0=nan,x1=1":                     0,
		"x1=1,x0=-5":                      0,
		"x0=1767225600,x1=7":              0,
	} {
		row := pgwire.Append(nil, 'D', []byte{0, 1, 0, 0, 0, byte(len(text))}, []byte(text))
		report := parseLoadReport(&Response{Messages: row})
		isEmpty := report.position == 0
		if report.position != want || isEmpty != (report.role == balance.RoleUnknown) {
			t.Errorf("%s: unexpected report %+v", text, report)
		}
	}
}
