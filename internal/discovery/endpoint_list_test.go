package discovery

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// A list without Content-Length ends with its connection. It may be indented and arrive in parts of any size.
func TestListWithoutContentLengthInParts(t *testing.T) {
	const text = `{
  "version": 7,
  "full": true,
  "servers": [
    {
      "id": "s",
      "state": "ready"
    }
  ]
}
`
	for _, size := range []int{1, 7, len(text)} {
		watch := startWatch(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
			if isWatch(r) {
				<-r.Context().Done()
				return
			}
			conn := hijack(t, w)
			defer conn.Close()
			for rest := "HTTP/1.1 200 OK\r\n\r\n" + text; rest != ""; rest = rest[min(size, len(rest)):] {
				fmt.Fprint(conn, rest[:min(size, len(rest))])
			}
		})
		if list := watch.nextList(t); list.Version != 7 || len(list.Endpoints) != 1 {
			t.Fatalf("list %+v, want version 7 with one endpoint", list)
		}
	}
}

// implausibleDiscovery responds to its first call with a valid list, and to all others with an implausible one.
type implausibleDiscovery struct {
	answer           string
	calls, snapshots int
}

func (d *implausibleDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.calls++
	if !isWatch(r) {
		d.snapshots++
	}
	if d.calls == 1 {
		fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"s","state":"ready"}]}`)
		return
	}
	fmt.Fprint(w, d.answer)
}

// A list that is empty, or older than the newest one, is not used, and the failure is logged once. If discovery keeps
// sending an older list, it has restarted its version numbers and the list is accepted. The call after an older list
// requests the full one.
func TestImplausibleListsAreNotUsed(t *testing.T) {
	for name, test := range map[string]struct {
		answer      string
		failures    int
		usedVersion int64 // version accepted after the failures, 0 = none
	}{
		"empty": {`{"version":9,"full":true,"servers":[]}`, 4, 0},
		"older": {`{"version":3,"full":true,"servers":[{"id":"old","state":"ready"}]}`, 2, 3},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := implausibleDiscovery{answer: test.answer}
			watch := startWatch(t, testLimits(), discovery.serve)
			var logged strings.Builder
			watch.loop.Post(func() { watch.watcher.log = slog.New(slog.NewTextHandler(&logged, nil)) })
			if list := watch.nextList(t); list.Version != 7 {
				t.Fatalf("list %+v, want version 7", list)
			}
			for i := range test.failures {
				// Discovery counts the list as delivered, so the first failures are reported as unanswered and repeated soon.
				if unanswered := watch.nextFailure(t); unanswered != (i <= maxOutdatedAnswers) {
					t.Fatalf("failure %d: unanswered is %v, want true for the first three failures only", i, unanswered)
				}
				watch.poll()
			}
			if test.usedVersion > 0 {
				if list := watch.nextList(t); list.Version != test.usedVersion {
					t.Fatalf("list %+v, want the older version", list)
				}
			}
			watch.runInLoop(watch.watcher.Stop)
			if n := strings.Count(logged.String(), "discovery call failed"); n != 1 {
				t.Errorf("the failure was logged %d times, want once: %s", n, logged.String())
			}
			if name == "older" && discovery.snapshots < 2 {
				t.Errorf("the full list was requested %d times, want at least 2", discovery.snapshots)
			}
		})
	}
}

const largeListEndpoints = 1024

func largeListID(i int) string { return fmt.Sprintf("s-%064d", i) }

// largeList returns the JSON text of a list of 1,024 endpoints.
func largeList(t *testing.T, full, indented bool) string {
	t.Helper()
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
	list := struct {
		Version int      `json:"version"`
		Full    bool     `json:"full"`
		Servers []server `json:"servers"`
	}{Version: 7, Full: full}
	for i := range largeListEndpoints {
		list.Servers = append(list.Servers, server{
			ID:      largeListID(i),
			Addr:    fmt.Sprintf("10.%d.%d.%d:6432", i>>16, i>>8&255, i&255),
			Zone:    strings.Repeat("z", 30),
			Kind:    strings.Repeat("k", 30),
			Cell:    i % 40,
			State:   "ready",
			Weight:  1,
			Started: 1796184586883,
			Mode:    "read-only",
		})
	}
	text, err := json.Marshal(list)
	if indented {
		text, err = json.MarshalIndent(list, "", "        ")
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A list of 1,024 endpoints is read on one line, indented, in small parts, without Content-Length, and as a change.
func TestListOfAThousandEndpoints(t *testing.T) {
	const onePart = 1 << 20
	for name, test := range map[string]struct {
		full, indented bool
		partSize       int
		hasLength      bool
	}{
		"one line":                     {true, false, onePart, true},
		"indented":                     {true, true, onePart, true},
		"in parts":                     {true, true, 700, true},
		"chunked, in parts":            {true, true, 700, false},
		"a change":                     {false, false, onePart, true},
		"a change, indented, in parts": {false, true, 700, true},
	} {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			lim.Discovery.CallTimeout *= 50 // the test machine may be slow
			watch := startWatch(t, lim, func(w http.ResponseWriter, _ *http.Request) {
				rest := largeList(t, test.full, test.indented)
				if test.hasLength {
					w.Header().Set("Content-Length", fmt.Sprint(len(rest)))
				}
				for len(rest) > 0 {
					size := min(len(rest), test.partSize)
					fmt.Fprint(w, rest[:size])
					flush(w)
					rest = rest[size:]
				}
			})
			list := watch.nextList(t)
			if len(list.Endpoints) != largeListEndpoints || list.Full != test.full {
				t.Fatalf("the list has %d endpoints, full: %v; not as sent", len(list.Endpoints), list.Full)
			}
			const last = largeListEndpoints - 1
			if got := list.Endpoints[last]; got.ID != largeListID(last) || got.Group != last%40 {
				t.Fatalf("the last endpoint is %+v, not as sent", got)
			}
		})
	}
}
