// Package clients asks the routers of a rig for work in an open loop, as clients behind the plain front of their site do: the front
// lets a router in once it answers an empty query, and notices after a while that one has died.
package clients

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/history"
)

// Door is a way to one router from one site.
type Door struct {
	Router string
	Addr   string
	Life   func() int // which start of it runs now
}

// Options say what is asked for.
type Options struct {
	Sites    map[string][]Door // by site; a site's clients use its own routers, those of other sites where it has none that is up
	Others   map[string][]Door
	Rate     float64 // requests a second, all sites together
	Shape    []fleet.Step
	Classes  []fleet.Class
	Banks    int
	Sessions int
	Retries  int
	Honour   float64
	Backoff  time.Duration
	Notice   time.Duration // until a front has noticed that a router has died
	Seed     uint64
}

// Result is what came of it.
type Result struct {
	Seconds []fleet.Second
	Tally   map[string]*fleet.Tally
}

// Clients asks until it is stopped.
type Clients struct {
	o      Options
	log    *history.Log
	mu     sync.Mutex
	rng    *rand.Rand
	fronts map[string]*front
	wrote  []time.Duration // by session
	last   int
	res    Result
	open   sync.WaitGroup
	stop   chan struct{}
	begin  time.Time
}

// front is what stands before the routers of a site.
type front struct {
	doors []*door
}

type door struct {
	Door
	up   bool
	idle []*conn
}

// New returns Clients that ask nothing before Run. The fronts begin to look for routers at once.
func New(o Options, log *history.Log) *Clients {
	c := &Clients{
		o: o, log: log, rng: rand.New(rand.NewPCG(o.Seed, 23)), fronts: map[string]*front{}, wrote: make([]time.Duration, max(1, o.Sessions)),
		res: Result{Tally: map[string]*fleet.Tally{}}, stop: make(chan struct{}),
	}
	for _, k := range o.Classes {
		c.res.Tally[k.Name] = &fleet.Tally{}
	}
	for site, doors := range o.Sites {
		f := &front{}
		for _, d := range append(append([]Door{}, doors...), o.Others[site]...) {
			f.doors = append(f.doors, &door{Door: d})
		}
		c.fronts[site] = f
		for _, d := range f.doors {
			go c.look(d)
		}
	}
	return c
}

// look lets a router in once it answers an empty query, and takes it out a while after it no longer does.
func (c *Clients) look(d *door) {
	const every = 50 * time.Millisecond
	var failing time.Time
	for {
		k, err := dial(d.Addr, 500*time.Millisecond)
		if err == nil {
			k.c.SetDeadline(time.Now().Add(500 * time.Millisecond))
			_, err = k.c.Write(pgwire.AppendQuery(nil, ""))
			var a reply
			if err == nil {
				if a, err = k.until(); err == nil && (a.code != "" || !a.empty) {
					err = errors.New("not ready")
				}
			}
			k.c.Close()
		}
		c.mu.Lock()
		switch {
		case err == nil:
			d.up, failing = true, time.Time{}
		case failing.IsZero():
			failing = time.Now()
		case time.Since(failing) > c.o.Notice:
			d.up = false
		}
		c.mu.Unlock()
		select {
		case <-c.stop:
			return
		case <-time.After(every):
		}
	}
}

// Up is how many routers the fronts of their own sites let in.
func (c *Clients) Up() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for site, f := range c.fronts {
		for i, d := range f.doors {
			if i < len(c.o.Sites[site]) && d.up {
				n++
			}
		}
	}
	return n
}

// Run asks for so long, waits for all answers and returns what came of it.
func (c *Clients) Run(length time.Duration) Result {
	c.begin = time.Now()
	c.res.Seconds = make([]fleet.Second, int((length+time.Second-1)/time.Second))
	sites := make([]string, 0, len(c.fronts))
	for site := range c.fronts {
		sites = append(sites, site)
	}
	due := c.begin
	for {
		rate := c.o.Rate * fleet.Part(c.o.Shape, time.Since(c.begin))
		c.mu.Lock()
		due = due.Add(time.Duration(c.rng.ExpFloat64() / max(rate, 0.1) * 1e9))
		q := c.draw(sites)
		c.mu.Unlock()
		if due.Sub(c.begin) >= length {
			break
		}
		time.Sleep(time.Until(due))
		q.due = due
		c.came(q)
		c.open.Add(1)
		go c.ask(q)
	}
	c.open.Wait()
	close(c.stop)
	return c.res
}

type request struct {
	class   *fleet.Class
	site    string
	session int
	need    time.Duration
	honours bool
	due     time.Time
	number  int
	tries   int
	again   int // sends behind a close that crossed it
}

func (c *Clients) draw(sites []string) *request {
	sum := 0.0
	for _, k := range c.o.Classes {
		sum += k.Share
	}
	x := c.rng.Float64() * sum
	k := &c.o.Classes[len(c.o.Classes)-1]
	for i := range c.o.Classes {
		if x < c.o.Classes[i].Share {
			k = &c.o.Classes[i]
			break
		}
		x -= c.o.Classes[i].Share
	}
	c.last++
	return &request{
		class: k, site: sites[c.rng.IntN(len(sites))], session: c.rng.IntN(len(c.wrote)), need: max(time.Microsecond, k.Work.Draw(c.rng)),
		honours: c.rng.Float64() < c.o.Honour, number: c.last,
	}
}

func (c *Clients) second(q *request) *fleet.Second {
	return &c.res.Seconds[min(len(c.res.Seconds)-1, int(q.due.Sub(c.begin)/time.Second))]
}

func (c *Clients) came(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, t := c.second(q), c.res.Tally[q.class.Name]
	s.Came++
	t.Came++
	s.Could += q.class.PriorityWeight
	t.Could += q.class.PriorityWeight
}

// endings as fleet.Endings names them.
const (
	served = iota
	refused
	failed
	expired
	crossed // the request goes once more on another connection
)

func (c *Clients) ended(q *request, how int) {
	took := time.Since(q.due)
	c.mu.Lock()
	defer c.mu.Unlock()
	s, t := c.second(q), c.res.Tally[q.class.Name]
	if how == served {
		worth := q.class.PriorityWeight
		if took > q.class.LatencyObjective {
			worth *= q.class.LateWeightShare
			s.Late++
			t.Late++
		}
		if took > q.class.ClientTimeout {
			worth, how = 0, expired
		}
		s.Worth += worth
		t.Worth += worth
	}
	s.Ends[how]++
	t.Ends[how]++
}

// ask wants one request over all its tries.
func (c *Clients) ask(q *request) {
	defer c.open.Done()
	for {
		left := q.class.ClientTimeout - time.Since(q.due)
		if left < time.Millisecond { // d is told in whole milliseconds
			c.ended(q, expired)
			return
		}
		q.tries++
		how, wait := c.try(q, left)
		if how == served {
			c.ended(q, served)
			return
		}
		if how == crossed {
			q.tries--
			q.again++
			continue
		}
		if how == failed && q.class.Idempotency != balance.Idempotent || q.tries > c.o.Retries || time.Since(q.due)+wait >= q.class.ClientTimeout {
			c.ended(q, how)
			return
		}
		time.Sleep(wait)
	}
}

// pick is a router that the site's front lets clients to: one of its own, else of another site.
func (c *Clients) pick(site string) *door {
	f := c.fronts[site]
	own := len(c.o.Sites[site])
	var at []*door
	for i, d := range f.doors {
		if d.up && i < own {
			at = append(at, d)
		}
	}
	if len(at) == 0 {
		for _, d := range f.doors[own:] {
			if d.up {
				at = append(at, d)
			}
		}
	}
	if len(at) == 0 {
		return nil
	}
	return at[c.rng.IntN(len(at))]
}

// try sends a request once.
func (c *Clients) try(q *request, left time.Duration) (how int, wait time.Duration) {
	c.mu.Lock()
	d := c.pick(q.site)
	var k *conn
	if d != nil && len(d.idle) > 0 {
		k = d.idle[len(d.idle)-1]
		d.idle = d.idle[:len(d.idle)-1]
	}
	after := time.Duration(0)
	if q.class.Consistency == balance.ConsistencySession {
		after = c.wrote[q.session]
	}
	c.mu.Unlock()
	if d == nil {
		return refused, c.o.Backoff
	}
	if k == nil {
		var err error
		if k, err = dial(d.Addr, min(left, time.Second)); err != nil {
			return refused, c.o.Backoff // nothing of it was sent
		}
	}
	id := fmt.Sprintf("q%d.%d.%d", q.number, q.tries, q.again)
	life := d.Life()
	text := emulator.Statement(id, q.class.Name, left, int64(q.session%c.o.Banks+1), after, q.tries > 1, fmt.Sprint("s", q.session), q.need)
	k.c.SetDeadline(time.Now().Add(left + time.Second))
	c.log.Add(history.Asked{ID: id, Class: q.class.Name, Site: q.site, Router: d.Router, Life: life, Within: left, Write: q.class.Consistency == balance.ConsistencyWrite})
	_, err := k.c.Write(pgwire.AppendQuery(nil, text))
	var a reply
	if err == nil {
		a, err = k.until()
	}
	out := history.Answered{ID: id, Code: a.code, Extra: k.r.Waiting()}
	wait = c.o.Backoff
	switch {
	case err == nil && a.code == "":
		how, out.How, out.Value = served, history.Served, a.value
		if _, pos, ok := strings.Cut(a.value, " "); ok && q.class.Consistency == balance.ConsistencyWrite {
			if ns, e := strconv.ParseInt(pos, 10, 64); e == nil {
				c.mu.Lock()
				c.wrote[q.session] = max(c.wrote[q.session], time.Duration(ns))
				c.mu.Unlock()
			}
		}
	case a.code == pgwire.TooManyConnections || a.code == "57P03":
		how, out.How = refused, history.Refused
		if q.honours {
			wait = max(wait, a.after)
		}
	case a.code != "":
		how, out.How = failed, history.Failed
	default:
		how, out.How = failed, history.Broken
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			out.How = history.Silent
		}
		if a.none && errors.Is(err, errEnded) && !k.used.IsZero() {
			how, out.How, wait = crossed, history.Crossed, 0
		}
	}
	c.log.Add(out)
	if err != nil {
		k.c.Close()
		if how == crossed { // what else is idle was closed with it
			c.mu.Lock()
			for _, o := range d.idle {
				o.c.Close()
			}
			d.idle = nil
			c.mu.Unlock()
		}
		return how, wait
	}
	k.used = time.Now()
	c.mu.Lock()
	d.idle = append(d.idle, k)
	c.mu.Unlock()
	return how, wait
}

// conn is one connection to a router.
type conn struct {
	c    net.Conn
	r    *pgwire.Reader
	buf  []byte
	used time.Time // when it had its last answer, zero = none
}

// reply is what came up to ReadyForQuery.
type reply struct {
	code, value string
	after       time.Duration
	empty       bool // it answers an empty query
	none        bool // nothing of it came
}

var errEnded = errors.New("the connection has ended")

func dial(addr string, within time.Duration) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	k := &conn{c: c, r: pgwire.NewReader(8<<20, 0), buf: make([]byte, 4096)}
	c.SetDeadline(time.Now().Add(within))
	if _, err = c.Write(pgwire.AppendStartup(nil, "user", "portal", "database", "crm")); err == nil {
		var a reply
		if a, err = k.until(); err == nil && a.code != "" {
			err = errors.New("turned away: " + a.code)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// until reads up to ReadyForQuery, or a fatal error and the connection's end.
func (k *conn) until() (a reply, err error) {
	a.none = true
	for {
		m, ok, err := k.r.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := k.c.Read(k.buf)
			if err != nil {
				var netErr net.Error
				if timeout := errors.As(err, &netErr) && netErr.Timeout(); !timeout {
					err = errEnded
				}
				return a, err
			}
			k.r.Feed(k.buf[:n])
			continue
		}
		a.none = false
		switch m.Type {
		case 'E':
			f, err := pgwire.Fields(m.Body)
			if err != nil {
				return a, err
			}
			a.code = f['C']
			if ms, err := strconv.Atoi(f['D']); err == nil {
				a.after = time.Duration(ms) * time.Millisecond
			}
		case 'D':
			v, err := pgwire.Row(m.Body)
			if err != nil {
				return a, err
			}
			if len(v) > 0 {
				a.value = string(v[0])
			}
		case 'I':
			a.empty = true
		case 'Z':
			return a, nil
		}
	}
}
