package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryCell = 2
	memoryMB   = 64

	// Clients ask for long values (the pages allow up to 4 MiB), 100 a second, and spend about 4 s reading each.
	memoryClients = 280
	memoryValue   = 1 << 20
	clientsApart  = 10 * time.Millisecond
	slowBytes     = 24 << 10
	slowPause     = 100 * time.Millisecond

	platformLooks = 20 * time.Millisecond
	memoryLength  = 8 * time.Second
)

// memoryUse returns the anonymous and shared memory of the router in KB. The pages of its program file, which the
// system can drop, are left out in its favour.
func (p *routerProcess) memoryUse() (kb int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "RssAnon:" && fields[0] != "RssShmem:" {
			continue
		}
		n, err := strconv.Atoi(fields[1])
		if err != nil {
			return 0, err
		}
		kb += n
	}
	if kb == 0 {
		return 0, errors.New("the system does not tell the memory of the router")
	}
	return kb, nil
}

// playMemory: many clients read long values slowly, and the platform kills a router that takes more memory than its
// configuration grants. Without the disruption the clients read as fast as they can.
func playMemory(r *rig) (breaks []string, err error) {
	log := newGroupLog()
	work := func(request) (time.Duration, int) { return 60 * time.Millisecond, memoryValue }
	near := func() time.Duration { return 10 * time.Millisecond }
	machines := []*machine{{id: "s-1", zone: "eagle-farm", cell: memoryCell, log: log, work: work}}
	for i := range 4 {
		machines = append(machines, &machine{
			id: fmt.Sprintf("s-%d", i+2), zone: "eagle-farm", cell: memoryCell, log: log, work: work, lagBehind: near,
		})
	}
	r.memory = memoryMB
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), machines...)
	if err != nil {
		return nil, err
	}
	var running sync.WaitGroup
	for i := range memoryClients {
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(i) * clientsApart)
			r.readLong(at.router.address, fmt.Sprintf("client %d", i))
		}()
	}
	breaks, err = r.watchMemory(at.router)
	at.router.kill()
	running.Wait()
	return breaks, err
}

// watchMemory kills the router once it takes more than it is granted, as the platform does.
func (r *rig) watchMemory(p *routerProcess) (breaks []string, err error) {
	most := 0
	for end := time.Now().Add(memoryLength); time.Now().Before(end); time.Sleep(platformLooks) {
		select {
		case <-p.ended:
			return []string{"the router has ended by itself"}, nil
		default:
		}
		kb, err := p.memoryUse()
		if err != nil {
			return nil, err
		}
		if kb > most+1024 {
			most = kb
			r.record.note("router %s takes %d KB", p.name, kb)
		}
		if kb > memoryMB<<10 {
			breaks = append(breaks, fmt.Sprintf("router %s takes %d KB of the %d KB that it is granted, and is killed", p.name,
				kb, memoryMB<<10))
			p.signal(syscall.SIGKILL)
			<-p.ended
			time.Sleep(200 * time.Millisecond)
			return breaks, nil
		}
	}
	r.record.note("router %s took %d KB at the most", p.name, most)
	return nil, nil
}

// readLong asks for one long value and reads it, slowly where the disruption is on.
func (r *rig) readLong(address, who string) {
	c, err := dialClient(address)
	if err != nil {
		r.record.note("%s can't connect: %v", who, err)
		return
	}
	defer c.close()
	id := nextID()
	if err := c.send(readStatement(id, viewClass.name, viewClass.limit, memoryCell, "k")); err != nil {
		r.record.note("%s can't send %s: %v", who, id, err)
		return
	}
	r.record.note("%s has sent %s", who, id)
	piece := make([]byte, slowBytes)
	total := 0
	for total < memoryValue {
		c.conn.SetReadDeadline(time.Now().Add(memoryLength))
		n, err := c.conn.Read(piece)
		total += n
		if err != nil {
			r.record.note("%s has %d bytes of the answer to %s, then: %v", who, total, id, err)
			return
		}
		if r.trouble {
			time.Sleep(slowPause)
		}
	}
	r.record.note("%s has the whole value of %s", who, id)
}
