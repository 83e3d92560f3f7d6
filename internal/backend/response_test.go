package backend

import (
	"bytes"
	"encoding/binary"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

func TestErrorCodesBecomeStatuses(t *testing.T) {
	for code, want := range map[string]balance.Status{
		"53300": balance.StatusBusy,
		"25006": balance.StatusMiss,
		"72000": balance.StatusMiss,
		"XX000": balance.StatusError,
		"08P01": balance.StatusError,
		"23505": balance.StatusDone,
	} {
		for _, fatal := range []bool{false, true} {
			server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
				if typ == 0 {
					return testserver.Act{}
				}
				return testserver.Act{Code: code, Fatal: fatal}
			})
			result := newTestPool(t, testLimits(), server.Addr).attempt("a", 0)
			if result.Status != want || server.Runs("a") != 0 {
				t.Errorf("%s, fatal %v: unexpected status or run: %+v", code, fatal, result)
			}
			if code == "23505" && result.Response.(*Response).Code != code {
				t.Errorf("%s, fatal %v: the response does not have the code: %+v", code, fatal, result)
			}
		}
	}
}

// The result contains the time at which the response started to arrive, not the time of its end.
func TestResponseStartIsReported(t *testing.T) {
	server := testserver.NewDB(t, true, func(typ byte, _ string) (act testserver.Act) {
		if typ == 'Q' {
			act.Corrupt = func(p []byte) []byte { return p[:20] }
			act.Trailing = longResponse(4, 0)[20:]
			act.Pause = 100 * time.Millisecond
		}
		return act
	})
	p := newTestPool(t, testLimits(), server.Addr)
	var end time.Duration
	done := make(chan router.Result, 9)
	p.loop.Post(func() {
		requested := router.Attempt{Endpoint: "n", Job: testJob("a"), Deadline: p.loop.Now() + 10*time.Second}
		p.pool.Start(requested, func(result router.Result) {
			end = p.loop.Now()
			done <- result
		})
	})
	result := p.await(done)
	if result.Status != balance.StatusDone || end-result.ResponseStartedAt < 90*time.Millisecond {
		t.Fatalf("status %v, started %v before its end; want StatusDone and at least 90 ms",
			result.Status, end-result.ResponseStartedAt)
	}
}

// After an invalid response the attempt counts as one that may have run. The connection is closed, and the role and
// position reported with the response are discarded.
func TestInvalidResponsesAreRejected(t *testing.T) {
	column := rowDescription()
	value := pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x01v"))
	tag := pgwire.Append(nil, 'C', []byte("SELECT 1\x00"))
	status := pgwire.AppendParameterStatus(nil, "mode", "read-write")
	row := func(body string) []byte { return pgwire.Append(nil, 'D', []byte(body)) }
	complete := func(body string) []byte { return pgwire.Append(nil, 'C', []byte(body)) }
	failure := func(body string) []byte { return pgwire.Append(nil, 'E', []byte(body)) }
	lateError := pgwire.AppendError(nil, pgwire.Error{Code: "53300"})
	join := func(parts ...[]byte) []byte { return bytes.Join(append(parts, pgwire.AppendReady(nil)), nil) }
	for name, p := range map[string][]byte{
		"random bytes":        []byte("\x8f\xff\x13\x37 noise"),
		"message of 3 GiB":    append(status, 'D', 0xC0, 0, 0, 0, 0, 1),
		"never ends":          append(join(status, column), 'D', 0, 0, 1, 0, 0, 1),
		"too many columns":    join(status, column, row("\x00\x02\x00\x00\x00\x01v\x00\x00\x00\x01w"), tag),
		"value too long":      join(status, column, row("\x00\x01\x00\x00\x00\x09v"), tag),
		"value too short":     join(status, column, row("\x00\x01\x00\x00\x00\x01vw"), tag),
		"negative value":      join(status, column, row("\x00\x01\xff\xff\xff\x00v"), tag),
		"unknown format code": join(status, append(column[:len(column)-1:len(column)-1], 7), value, tag),
		"truncated column":    join(status, pgwire.Append(nil, 'T', []byte("\x00\x01data")), value, tag),
		"tag not terminated":  join(status, column, value, complete("SELECT 1")),
		"unknown tag":         join(status, column, value, complete("\x01\x02\x00")),
		"wrong count in tag":  join(status, column, value, complete("SELECT 2\x00")),
		"no tag":              join(status, column, value),
		"no ReadyForQuery":    bytes.Join([][]byte{status, column, value, tag}, nil),
		"unterminated error":  join(status, failure("C53300\x00")),
		"SQLSTATE too short":  join(status, failure("C53\x00\x00")),
		"error after the tag": join(status, column, value, tag, lateError),
	} {
		t.Run(name, func(t *testing.T) { checkInvalidResponse(t, p) })
	}
}

// checkInvalidResponse sends an invalid response to one attempt and checks the result of that attempt and the next one.
func checkInvalidResponse(t *testing.T, response []byte) {
	t.Helper()
	var dials atomic.Int32
	server := testserver.NewDB(t, true, func(typ byte, id string) (act testserver.Act) {
		if typ == 0 {
			dials.Add(1)
		}
		if id == "invalid" {
			act.Corrupt = func([]byte) []byte { return response }
		}
		return act
	})
	lim := testLimits()
	lim.Backend.StallTimeout = 30 * time.Millisecond
	p := newTestPool(t, lim, server.Addr)
	if result := p.attempt("invalid", 0); result != (router.Result{Status: balance.StatusError}) {
		t.Errorf("got %+v, want StatusError alone", result)
	}
	if result := p.attempt("next", 0); result.Status != balance.StatusDone || dials.Load() != 2 {
		t.Errorf("next attempt: got %+v after %d connections, want StatusDone after 2", result, dials.Load())
	}
}

// A value of several hundred KB is accepted; one beyond the limit for responses is an error and is not read completely.
func TestLargeResponses(t *testing.T) {
	lim := testLimits()
	for size, want := range map[int]balance.Status{
		400_000:                   balance.StatusDone,
		lim.Backend.ResponseBytes: balance.StatusError,
	} {
		value := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(size))
		value = append(value, make([]byte, size)...)
		server := testserver.NewDB(t, true, func(typ byte, _ string) (act testserver.Act) {
			if typ == 'Q' {
				act.Corrupt = func(p []byte) []byte {
					end := bytes.IndexByte(p, 'D')
					return append(pgwire.Append(p[:end:end], 'D', value), p[bytes.IndexByte(p, 'C'):]...)
				}
			}
			return act
		})
		if result := newTestPool(t, lim, server.Addr).attempt("a", 0); result.Status != want {
			t.Errorf("%d bytes: unexpected status %+v", size, result.Status)
		}
	}
}
