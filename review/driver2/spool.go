package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// collector is the stand-in of a syslog collector over TCP, with octet counts.
type collector struct {
	w    *world
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	text     strings.Builder // all messages
}

func (w *world) newCollector() (*collector, error) {
	c := &collector{w: w, addr: "127.0.0.1:0", conns: map[net.Conn]bool{}}
	return c, c.start()
}

func (c *collector) start() error {
	listener, err := net.Listen("tcp", c.addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	c.addr = listener.Addr().String()
	c.w.logf("collector: up")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.read(conn)
		}
	}()
	return nil
}

func (c *collector) read(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var length int
		if _, err := fmt.Fscanf(reader, "%d ", &length); err != nil {
			return
		}
		message := make([]byte, length)
		if _, err := io.ReadFull(reader, message); err != nil {
			return
		}
		c.mu.Lock()
		c.text.Write(append(message, '\n'))
		c.mu.Unlock()
	}
}

// stop closes the listener and all connections: the collector can't be reached.
func (c *collector) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.logf("collector: down")
	c.listener.Close()
	for conn := range c.conns {
		conn.Close()
	}
	clear(c.conns)
}

// missing returns which of the records of requests with these ids have not come.
func (c *collector) missing(ids []string) (missing []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return idsNotIn(c.text.String(), ids)
}

func idsNotIn(text string, ids []string) (missing []string) {
	for _, id := range ids {
		if !strings.Contains(text, `id="`+id+`"`) {
			missing = append(missing, id)
		}
	}
	return missing
}

// spoolLosesRecords: a router has used its spool through an outage of the collector, and emptied it again. The
// collector is gone once more, and the router is killed a moment later. The next start finds the spool.
func spoolLosesRecords(w *world) error {
	_, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	to, err := w.newCollector()
	if err != nil {
		return err
	}
	folder := w.path("spool")
	r, err := w.newRouter("n1", list.addr, fmt.Sprintf(
		"[syslog]\ncollectors = [%q]\n[syslog.spool]\nfolder = %q\nreplay = 400\n", "tcp://"+to.addr, folder))
	if err != nil {
		return err
	}
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if w.trouble {
		to.stop()
	}
	first := w.askMany(r, "first", 1600)
	if w.trouble {
		if err := to.start(); err != nil {
			return err
		}
	}
	hasAll := func() bool { return len(to.missing(first)) == 0 }
	if err := waitFor("the collector has all", 40*time.Second, hasAll); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	to.stop()
	time.Sleep(50 * time.Millisecond)
	second := w.askMany(r, "second", 64)
	time.Sleep(100 * time.Millisecond)
	r.kill()
	w.logf("n1: SIGKILL")
	kept := idsIn(spoolText(folder), second)
	w.logf("of %d final answers %d are in the spool on disk", len(second), len(kept))
	if err := to.start(); err != nil {
		return err
	}
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	lost := to.missing(kept)
	w.logf("%d of them have not come to the collector; the spool holds %d bytes", len(lost), len(spoolText(folder)))
	if len(lost) > 0 {
		return brokenf("%d of %d records that were in the spool were dropped by the next start", len(lost), len(kept))
	}
	return nil
}

// idsIn returns the ids whose records are in a text.
func idsIn(text string, ids []string) (found []string) {
	for _, id := range ids {
		if len(idsNotIn(text, []string{id})) == 0 {
			found = append(found, id)
		}
	}
	return found
}

// spoolText returns the content of all segments below a folder.
func spoolText(folder string) string {
	paths, _ := filepath.Glob(folder + "/*/*.seg") // the pattern is well formed
	var text strings.Builder
	for _, path := range paths {
		content, _ := os.ReadFile(path) // a segment that was removed meanwhile holds nothing
		text.Write(content)
	}
	return text.String()
}

// askMany sends reads from sixteen clients and returns the ids of those that were served.
func (w *world) askMany(r *router, name string, count int) (served []string) {
	var all sync.WaitGroup
	var mu sync.Mutex
	const clients = 16
	for c := range clients {
		all.Go(func() {
			for i := c; i < count; i += clients {
				id := fmt.Sprintf("%s-%d", name, i)
				if got := w.ask(r.listen, id, "audit-report", readTimeout); got.value != "" {
					mu.Lock()
					served = append(served, id)
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	w.logf("%s: %d of %d reads served", name, len(served), count)
	return served
}
