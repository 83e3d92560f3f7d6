package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The smallest router that the settings may give, one of 350, that knows a list of 1,024 db machines and gets it again, indented and in pieces: it
// serves, answers each of the pipelined requests of many clients, far more than its share, and stays inside its memory and its descriptors.
func TestTheSmallestRouterBeforeAThousandMachines(t *testing.T) {
	const memoryMB, sockets, machines, clients, ahead, rounds = 32, 160, 1024, 30, 20, 2
	var list strings.Builder
	list.WriteString("{\n        \"version\": 1,\n        \"full\": true,\n        \"servers\": [")
	entry := func(id, addr, mode string, cell int) {
		if !strings.HasSuffix(list.String(), "[") {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, "\n                {\n                        \"id\": %q,\n                        \"addr\": %q,\n                        \"zone\": \"a\","+
			"\n                        \"cell\": %d,\n                        \"state\": \"ready\",\n                        \"mode\": %q\n                }", id, addr, cell, mode)
	}
	for i, id := range []string{"p", "a", "b"} {
		entry(id, testserver.NewDB(t, i == 0, nil).Addr, map[bool]string{true: "read-write", false: "read-only"}[i == 0], 7)
	}
	for i := 3; i < machines; i++ {
		entry(fmt.Sprint("s-", i), "127.0.0.1:1", "read-only", 8+i%60)
	}
	list.WriteString("\n        ]\n}\n")
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "1" {
			<-r.Context().Done()
			return
		}
		for p := list.String(); len(p) > 0; p = p[min(len(p), 5000):] {
			fmt.Fprint(w, p[:min(len(p), 5000)])
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(discovery.CloseClientConnections)
	path, addr := t.TempDir()+"/config.json", freeAddr(t)
	text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB),
		`"Instances":1`, `"Instances":350`,
		`"settings":`, `"known":`+list.String()+`,"settings":`).Replace(configText(discovery.Listener.Addr().String()))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := program(path)
	cmd.Args = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, sockets), cmd.Path, cmd.Args[1]}
	cmd.Path = "/bin/sh"
	cmd.Env = append(cmd.Env, "EDGE_LISTEN="+addr, "EDGE_OPERATOR="+freeAddr(t), "EDGE_DISCOVERY="+discovery.Listener.Addr().String(), "TMPDIR="+t.TempDir())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			break
		} else if time.Now().After(end) {
			t.Fatal("it does not accept")
		}
	}
	served, answered := make([]int, clients), make([]int, clients)
	var all sync.WaitGroup
	for i := range clients {
		c := testserver.Dial(t, addr)
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.Close()
			for round := range rounds {
				var p []byte
				for j := range ahead {
					p = append(p, query(sql(fmt.Sprintf("c%d-%d-%d", i, round, j), "look"))...)
				}
				if c.Write(p) != nil {
					return
				}
				for range ahead {
					a := c.Until('Z')
					if a.Ended {
						return
					}
					switch {
					case a.Types == "TDCZ":
						served[i]++
						fallthrough
					case a.Types == "EZ" && a.Code == pgwire.TooManyConnections:
						answered[i]++
					}
				}
			}
		}()
	}
	all.Wait()
	total := 0
	for i, n := range answered {
		if total += served[i]; n != rounds*ahead {
			t.Errorf("client %d: %d answered of %d", i, n, rounds*ahead)
		}
	}
	if total == 0 {
		t.Error("none is served")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	if err != nil || kb > memoryMB<<10 {
		t.Errorf("%d KB at its peak, %v", kb, err)
	}
	t.Logf("%d KB at its peak, %d served", kb, total)
}
