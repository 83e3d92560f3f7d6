package requestcomment

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"
)

const example = "/* id=9b1f03aa5c7e2d41,c=order,d=480,cluster=2,after=1767225600123,r=1,k=x */ " +
	"INSERT INTO facts (code) VALUES ('7f3a')"

func TestParse(t *testing.T) {
	parsed, err := Parse(example)
	if err != nil {
		t.Fatal(err)
	}
	parsed.timeoutStart = 0
	parsed.timeoutEnd = 0
	wantComment := Comment{
		ID: "9b1f03aa5c7e2d41", Class: "order", Timeout: 480 * time.Millisecond, Group: 2,
		MinPosition: 1767225600123 * time.Millisecond, Retry: true, Session: "7f3a",
	}
	if parsed != wantComment {
		t.Fatalf("got %+v, want the values of the example", parsed)
	}
	parsed, err = Parse(example)
	if err != nil {
		t.Fatal(err)
	}
	want := "/* id=9b1f03aa5c7e2d41,c=order,d=77,cluster=2,after=1767225600123,r=1,k=x */ " +
		"INSERT INTO facts (code) VALUES ('7f3a')"
	if got := parsed.WithTimeout(example, 77900*time.Microsecond); got != want {
		t.Fatal(got)
	}
	for sql, want := range map[string]error{
		"": ErrMissing, "SELECT 1": ErrMissing, "/* id=1": ErrMissing, "/* */ x": ErrMalformed,
		"/* id=1,c=a,d=5 */ x": ErrMalformed, "/* id=1,c=a,d=-5,cluster=1 */": ErrMalformed,
		"/* id=1,c=a,d=x,cluster=1 */": ErrMalformed, "/* id=1,c=a,d=5,d=6,cluster=1 */": ErrMalformed,
		"/* id=1,c=a,d=99999999999,cluster=1 */": ErrMalformed,
	} {
		if _, err := Parse(sql); !errors.Is(err, want) {
			t.Errorf("Parse(%q) returned %v, which is not the expected error", sql, err)
		}
	}
}

// WithTimeout changes only the value of d, whatever else a valid comment contains.
func FuzzParse(f *testing.F) {
	f.Add(example)
	f.Add("/*d=1,id=a,c=b,cluster=0*/")
	f.Add("/* id = 1, d= 5 ,c=,cluster=1 */ '")
	f.Fuzz(func(t *testing.T, sql string) {
		parsed, err := Parse(sql)
		if err != nil {
			return
		}
		changed, err := Parse(parsed.WithTimeout(sql, parsed.Timeout+time.Millisecond))
		for _, comment := range []*Comment{&parsed, &changed} {
			comment.timeoutStart = 0
			comment.timeoutEnd = 0
		}
		parsed.Timeout = max(parsed.Timeout+time.Millisecond, time.Millisecond)
		if err != nil && parsed.Timeout <= maxTimeout || err == nil && parsed != changed {
			t.Fatalf("want %+v with the new timeout, got %+v, error %v", parsed, changed, err)
		}
	})
}

// A comment of very many short fields took time and memory in proportion to its length, for each statement.
func TestTooManyFieldsAreMalformed(t *testing.T) {
	fields := ""
	for i := range 60 {
		fields += "k" + strconv.Itoa(i) + "=,"
	}
	end := "id=a,c=order,d=480,cluster=2 */ SELECT 1"
	if _, err := Parse("/* " + fields + end); err != nil {
		t.Errorf("64 fields: error %v, want none", err)
	}
	if _, err := Parse("/* more=," + fields + end); !errors.Is(err, ErrMalformed) {
		t.Errorf("65 fields: error %v, want ErrMalformed", err)
	}
	var many strings.Builder
	for i := range 100_000 {
		many.WriteString(strconv.Itoa(i) + "=,")
	}
	long := "/* " + many.String() + end
	allocations := testing.AllocsPerRun(10, func() { _, _ = Parse(long) })
	if allocations > 20 {
		t.Errorf("%v allocations for a comment of 100,000 fields, want at most 20", allocations)
	}
}
