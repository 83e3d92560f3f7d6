package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// collector is a stand-in for a syslog collector over TCP. It keeps the ids of the requests whose answers it was told.
type collector struct {
	address string
	stalls  atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
	told     map[string]bool
}

func (c *collector) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener, c.address = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.read(conn)
		}
	}()
	return nil
}

var recordedAnswer = regexp.MustCompile(` id="([0-9a-f]{16})"`)

// read reads messages until the connection ends. A message may be cut between two reads, so the end is kept.
func (c *collector) read(conn net.Conn) {
	var text []byte
	piece := make([]byte, 16<<10)
	for {
		for c.stalls.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		n, err := conn.Read(piece)
		text = append(text, piece[:n]...)
		c.mu.Lock()
		for _, found := range recordedAnswer.FindAllSubmatch(text, -1) {
			c.told[string(found[1])] = true
		}
		c.mu.Unlock()
		text = append([]byte(nil), text[max(0, len(text)-4096):]...)
		if err != nil {
			return
		}
	}
}

// die ends the collector as the end of its process would: what it has not read is gone.
func (c *collector) die() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.Close()
	for _, conn := range c.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	c.conns = nil
}

// playAudit: a collector becomes slow, dies and comes back. Each final answer has to be in the record. There is a
// spool; all else is as the deploy file has it.
func playAudit(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 5 * time.Millisecond, 0 })
	told := &collector{told: map[string]bool{}}
	if err := told.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	deploy := filepath.Join(r.folder, "deploy.toml")
	text := fmt.Sprintf("[syslog]\ncollectors = [\"tcp://%s\"]\n[syslog.spool]\nfolder = %q\n", told.address,
		filepath.Join(r.folder, "spool"))
	if err := os.WriteFile(deploy, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.env = []string{"LIMELADDER_DEPLOY=" + deploy}
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	answered := make(chan []string, 1)
	go func() { answered <- r.askFor(at.router.address, 6*time.Second) }()
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.record.note("the collector reads nothing any more")
		told.stalls.Store(true)
		time.Sleep(2 * time.Second)
		r.record.note("the collector dies")
		told.die()
		told.stalls.Store(false)
		time.Sleep(time.Second)
		if err := told.start(told.address); err != nil {
			return nil, err
		}
		r.record.note("the collector is back")
	}
	ids := <-answered
	time.Sleep(8 * time.Second)
	at.router.signal(syscall.SIGTERM)
	<-at.router.ended
	time.Sleep(500 * time.Millisecond)
	told.die()
	told.mu.Lock()
	defer told.mu.Unlock()
	missing := 0
	for _, id := range ids {
		if !told.told[id] {
			missing++
		}
	}
	r.record.note("%d answers, %d of them are not in the record", len(ids), missing)
	if missing > 0 {
		breaks = append(breaks, fmt.Sprintf("%d of %d final answers were never told to the collector", missing, len(ids)))
	}
	return breaks, nil
}

// askFor sends reads one after the other for a time, and returns the ids of those that were answered.
func (r *rig) askFor(address string, length time.Duration) (ids []string) {
	c, err := dialClient(address)
	if err != nil {
		return nil
	}
	defer c.close()
	for end := time.Now().Add(length); time.Now().Before(end); {
		id := nextID()
		a, err := c.ask(readStatement(id, viewClass.name, viewClass.limit, furtherCell, "k"), 3*time.Second)
		r.record.note("client gets for %s: %v, %v", id, a, err)
		if err != nil {
			return ids
		}
		ids = append(ids, id)
	}
	return ids
}
