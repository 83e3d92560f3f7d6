package syslog

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

var form = regexp.MustCompile(`^<29>1 \d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z [!-~]{1,255} limeladder \d+ [!-~]{1,32} ` +
	`\[event@32473( [!#-<>-\\^-~]{1,32}="([^"\\\]]|\\["\\\]])*")*\]$`)

func FuzzFormat(f *testing.F) {
	f.Add("failed", "why", "it ran", 2048)
	f.Add("", `a=b" ]`, `x"y\z]`, 200)
	f.Add("e\n", "", "\xff\x00é", 120)
	f.Fuzz(func(t *testing.T, event, key, val string, most int) {
		most = 512 + (most&0x7fffffff)%2048
		b := Format(time.Unix(1, 0), "h", 7, most, event, key, val, "router", "n1")
		if len(b) > most || !utf8.Valid(b) || !form.Match(b) {
			t.Fatalf("%d bytes of %d: %q", len(b), most, b)
		}
	})
}

func TestEventsArriveEscapedAndDropsAreCounted(t *testing.T) {
	ln, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s, err := New(ln.LocalAddr().String(), "n1", 4, 1024)
	if err != nil {
		t.Fatal(err)
	}
	s.Event("failed", "why", `a "b" \c]`)
	buf := make([]byte, 4096)
	ln.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, _, err := ln.ReadFrom(buf)
	if err != nil || !strings.Contains(string(buf[:n]), ` failed [event@32473 why="a \"b\" \\c\]" router="n1"]`) {
		t.Fatalf("%v %q", err, buf[:n])
	}
	s.Close()

	// A queue that nobody empties: Event goes on at once.
	full := &Sender{conn: s.conn, queue: make(chan []byte, 4), most: 1024}
	for i := range 10 {
		full.Event("e", "i", fmt.Sprint(i))
	}
	if full.Dropped() != 6 {
		t.Fatalf("%d dropped", full.Dropped())
	}
}
