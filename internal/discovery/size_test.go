package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A list of 1,024 db machines is read whole: on one line, indented, in small pieces, without a length, and as a
// change.
func TestAThousandMachinesInOneList(t *testing.T) {
	const n = 1024
	type server struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Zone    string  `json:"zone"`
		Kind    string  `json:"kind"`
		Cell    int     `json:"cell"`
		State   string  `json:"state"`
		Weight  float64 `json:"weight"`
		Started int64   `json:"started_ms"`
		Mode    string  `json:"mode"`
	}
	type whole struct {
		Version int      `json:"version"`
		Full    bool     `json:"full"`
		Servers []server `json:"servers"`
	}
	text := func(full, indented bool) string {
		l := whole{Version: 7, Full: full}
		for i := range n {
			l.Servers = append(l.Servers, server{
				ID: fmt.Sprintf("s-%064d", i), Addr: fmt.Sprintf("10.%d.%d.%d:6432", i>>16, i>>8&255, i&255),
				Zone: strings.Repeat("z", 30), Kind: strings.Repeat("k", 30), Cell: i % 40, State: "ready", Weight: 1, Started: 1796184586883, Mode: "read-only",
			})
		}
		p, err := json.Marshal(l)
		if indented {
			p, err = json.MarshalIndent(l, "", "        ")
		}
		if err != nil {
			t.Fatal(err)
		}
		return string(p)
	}
	for name, c := range map[string]struct {
		full, indented bool
		piece          int
		length         bool
	}{
		"one line": {true, false, 1 << 20, true}, "indented": {true, true, 1 << 20, true}, "in pieces": {true, true, 700, true},
		"chunked, in pieces": {true, true, 700, false}, "a change": {false, false, 1 << 20, true}, "a change, indented, in pieces": {false, true, 700, true},
	} {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			lim.Discovery.CallTimeout *= 50 // the machine that tests may be slow
			s, _, _ := startWatch(t, lim, func(w http.ResponseWriter, r *http.Request) {
				p := text(c.full, c.indented)
				if c.length {
					w.Header().Set("Content-Length", fmt.Sprint(len(p)))
				}
				for len(p) > 0 {
					m := min(len(p), c.piece)
					fmt.Fprint(w, p[:m])
					w.(http.Flusher).Flush()
					p = p[m:]
				}
			})
			select {
			case l := <-s.lists:
				if len(l.Endpoints) != n || l.Full != c.full || l.Endpoints[n-1].ID != fmt.Sprintf("s-%064d", n-1) || l.Endpoints[n-1].Cell != (n-1)%40 {
					t.Fatalf("%d db machines, the last is %+v", len(l.Endpoints), l.Endpoints[len(l.Endpoints)-1])
				}
			case <-s.fails:
				t.Fatal("the list is not taken")
			}
		})
	}
}
