// Package load asks a server that speaks PostgreSQL for work in an open loop: requests come when they are due, however slow
// the answers are, and times count from when a request was due, not from when it could be sent.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/fleet"
)

// Options say what is asked for.
type Options struct {
	Addr     string
	Extended bool          // Parse, Bind, Describe, Execute and Sync in place of a simple query
	Rate     float64       // requests a second
	Length   time.Duration //
	Conns    int           // connections at most
	Arrivals string        // poisson, even or bursty
	Bursts   float64       // spread of the rate from one half second to the next, where it is bursty
	Offsets  []time.Duration
	Shape    []fleet.Step
	Classes  []fleet.Class
	Banks    int
	Sessions int
	Tenants  []Tenant // whose connections they are, empty = one without a name of its own
	Retries  int
	Honour   float64
	Backoff  time.Duration
	Seed     uint64
	Open     *atomic.Int64  // kept at how many requests are open, nil = not
	Progress func(Progress) // called once a second, nil = never
}

// Tenant is a customer: its connections say its name as their user.
type Tenant struct {
	Name  string
	Share float64
}

// Progress is how far it is.
type Progress struct {
	At     time.Duration
	Came   int
	Open   int
	Ends   map[string]int
	LateMs float64 // the tool's own lateness so far, 99th percentile
}

// Result is what came of it.
type Result struct {
	Worth, Whole, Window, Class float64
	Worst                       string
	Tally                       map[string]*fleet.Tally
	Seconds                     []fleet.Second
	Latency                     map[string]*hdrhistogram.Histogram // by class, microseconds from when it was due to the answer; "" = all
	Lateness                    *hdrhistogram.Histogram            // of the tool itself, from when it was due to when it was handed to a connection
	Codes                       map[string]int
	Tenants                     map[string]*fleet.Tally
	Took                        time.Duration
	Came                        int
}

const (
	longestUs = 60_000_000
	digits    = 3
)

// Check says in one line what is wrong with them.
func (o *Options) Check() error {
	a, err := net.ResolveTCPAddr("tcp", o.Addr)
	switch {
	case err != nil:
		return fmt.Errorf("addr: %w", err)
	case !a.IP.IsLoopback():
		return fmt.Errorf("addr: %s is not on loopback", o.Addr)
	case o.Rate <= 0 && len(o.Offsets) == 0 || o.Rate > 1e6:
		return fmt.Errorf("rate: up to 1,000,000 a second")
	case o.Length <= 0 || o.Length > time.Hour:
		return fmt.Errorf("length: up to an hour")
	case o.Conns < 1 || o.Conns > 60_000:
		return fmt.Errorf("connections: 1 to 60,000")
	case len(o.Classes) == 0 || o.Banks < 1 || o.Sessions < 1:
		return fmt.Errorf("classes, banks and sessions: one of each at least")
	case len(o.Tenants) > o.Conns || slices.ContainsFunc(o.Tenants, func(x Tenant) bool { return x.Name == "" || !(x.Share > 0) }):
		return fmt.Errorf("tenants: each needs a name, a share and a connection")
	case !slices.Contains([]string{"", "poisson", "even", "bursty"}, o.Arrivals):
		return fmt.Errorf("arrivals: nothing is called %s", o.Arrivals)
	}
	return nil
}

// arrivals tells when requests are due, one after the other. The same options give the same moments.
type arrivals struct {
	o     *Options
	rng   *rand.Rand
	gap   distuv.Exponential
	at    time.Duration
	next  int
	burst float64
	until time.Duration // the burst holds until then
}

func newArrivals(o *Options) *arrivals {
	src := rand.NewPCG(o.Seed, 11)
	return &arrivals{o: o, rng: rand.New(src), gap: distuv.Exponential{Rate: 1, Src: src}, burst: 1}
}

// due is the next moment, from the start.
func (a *arrivals) due() (time.Duration, bool) {
	if len(a.o.Offsets) > 0 {
		if a.next >= len(a.o.Offsets) || a.o.Offsets[a.next] > a.o.Length {
			return 0, false
		}
		a.next++
		return a.o.Offsets[a.next-1], true
	}
	for {
		rate := a.o.Rate * fleet.Part(a.o.Shape, a.at) * a.burst
		if a.o.Arrivals == "bursty" && a.at >= a.until {
			v := math.Log(1 + a.o.Bursts*a.o.Bursts)
			a.burst = distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: a.rng}.Rand()
			a.until = a.at + 500*time.Millisecond
			continue
		}
		wait := 100 * time.Millisecond
		if rate > 0 {
			draw := a.gap.Rand()
			if a.o.Arrivals == "even" {
				draw = 1
			}
			wait = time.Duration(min(draw/rate, 3600) * 1e9)
		}
		// The rate may change: no draw reaches further than a tenth of a second, and where it does it is made anew.
		if a.o.Arrivals != "even" && wait > 100*time.Millisecond {
			a.at += 100 * time.Millisecond
			if a.at >= a.o.Length {
				return 0, false
			}
			continue
		}
		if a.at += wait; a.at >= a.o.Length {
			return 0, false
		}
		if rate > 0 {
			return a.at, true
		}
	}
}

// request is one, over all its tries.
type request struct {
	id      int
	class   *fleet.Class
	session int
	need    time.Duration
	due     time.Time
	tries   int
	tenant  int
}

type session struct {
	mu    sync.Mutex
	wrote time.Duration
}

// runner is a run under way.
type runner struct {
	o        Options
	begin    time.Time
	pools    []pool // of each tenant
	sessions []session
	open     sync.WaitGroup

	mu     sync.Mutex
	res    *Result
	opened int
	inHand int
}

// pool is the connections of a tenant.
type pool struct {
	name          string
	queue         chan *request
	workers, busy int
}

// Run asks until the time is over and all is answered.
func Run(o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if len(o.Tenants) == 0 {
		o.Tenants = []Tenant{{"limelab", 1}}
	}
	r := &runner{o: o, sessions: make([]session, o.Sessions), res: &Result{
		Tenants: map[string]*fleet.Tally{}, Tally: map[string]*fleet.Tally{}, Latency: map[string]*hdrhistogram.Histogram{}, Lateness: hdrhistogram.New(1, longestUs, digits), Codes: map[string]int{},
		Seconds: make([]fleet.Second, int((o.Length+time.Second-1)/time.Second)),
	}}
	r.res.Latency[""] = hdrhistogram.New(1, longestUs, digits)
	for _, k := range o.Classes {
		r.res.Tally[k.Name], r.res.Latency[k.Name] = &fleet.Tally{}, hdrhistogram.New(1, longestUs, digits)
	}
	for _, x := range o.Tenants {
		r.pools = append(r.pools, pool{name: x.Name, queue: make(chan *request, 1<<16)})
		r.res.Tenants[x.Name] = &fleet.Tally{}
	}
	// Without a first connection nothing is asked.
	c, err := net.DialTimeout("tcp", o.Addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c.Close()
	a, rng := newArrivals(&o), rand.New(rand.NewPCG(o.Seed, 12))
	stop := make(chan bool)
	r.begin = time.Now()
	if o.Progress != nil {
		go r.report(stop)
	}
	for {
		at, ok := a.due()
		if !ok {
			break
		}
		k := &o.Classes[pick(rng, len(o.Classes), func(i int) float64 { return o.Classes[i].Share })]
		q := &request{id: r.res.Came, class: k, tenant: pick(rng, len(o.Tenants), func(i int) float64 { return o.Tenants[i].Share }), session: rng.IntN(o.Sessions), need: k.Work.Draw(rng), due: r.begin.Add(at)}
		until(q.due)
		r.came(q)
		r.hand(q)
	}
	r.open.Wait()
	for i := range r.pools {
		close(r.pools[i].queue)
	}
	close(stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Took = time.Since(r.begin)
	r.res.Whole, r.res.Window, r.res.Class, r.res.Worst = fleet.Score(r.res.Seconds, r.res.Tally)
	r.res.Worth = 0.5*r.res.Whole + 0.3*r.res.Window + 0.2*r.res.Class
	return r.res, nil
}

// pick draws one of n by share.
func pick(rng *rand.Rand, n int, share func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	at := rng.Float64() * sum
	for i := range n {
		if at < share(i) {
			return i
		}
		at -= share(i)
	}
	return n - 1
}

// until waits. The runtime's timers are late by up to a millisecond where nothing else happens; the system's own wait is not.
func until(at time.Time) {
	const rough = 2 * time.Millisecond
	if wait := time.Until(at); wait > rough {
		time.Sleep(wait - rough)
	}
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		t := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&t, nil) // a signal cuts it short, and the rest is waited for in the next round
	}
}

func (r *runner) report(stop chan bool) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			r.mu.Lock()
			p := Progress{At: time.Since(r.begin), Came: r.res.Came, Open: r.inHand, Ends: map[string]int{}, LateMs: float64(r.res.Lateness.ValueAtQuantile(99)) / 1000}
			for _, t := range r.res.Tally {
				for i, n := range t.Ends {
					p.Ends[fleet.Endings[i]] += n
				}
			}
			r.mu.Unlock()
			r.o.Progress(p)
		}
	}
}

func (r *runner) second(q *request) *fleet.Second {
	return &r.res.Seconds[min(len(r.res.Seconds)-1, max(0, int(q.due.Sub(r.begin)/time.Second)))]
}

func (r *runner) came(q *request) {
	r.open.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Came++
	r.inHand++
	_ = r.res.Lateness.RecordValue(max(1, time.Since(q.due).Microseconds())) // more than longestUs is not recorded
	s := r.second(q)
	s.Came++
	s.Could += q.class.PriorityWeight
	for _, t := range r.tallies(q) {
		t.Came++
		t.Could += q.class.PriorityWeight
	}
}

// tallies are those that a request counts in.
func (r *runner) tallies(q *request) [2]*fleet.Tally {
	return [2]*fleet.Tally{r.res.Tally[q.class.Name], r.res.Tenants[r.pools[q.tenant].name]}
}

// hand gives it to a connection; where all are busy another one is opened, up to the most.
func (r *runner) hand(q *request) {
	p := &r.pools[q.tenant]
	r.mu.Lock()
	if r.opened < r.o.Conns && p.busy+len(p.queue) >= p.workers || p.workers == 0 {
		r.opened++
		p.workers++
		go r.work(p)
	}
	r.mu.Unlock()
	p.queue <- q
}

// The endings, as fleet.Endings names them.
const (
	served = iota
	refused
	failed
	expired
)

func (r *runner) ended(q *request, how int, code string) {
	took := time.Since(q.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, late, worth := r.second(q), 0, 0.0
	if how == served {
		us := min(longestUs, max(1, took.Microseconds()))
		_ = r.res.Latency[""].RecordValue(us) // us is within the histogram's bounds
		_ = r.res.Latency[q.class.Name].RecordValue(us)
		if worth = q.class.PriorityWeight; took > q.class.LatencyObjective {
			worth, late = worth*q.class.LateWeightShare, 1
		}
		if took > q.class.ClientTimeout {
			worth, how = 0, expired
		}
	}
	if code != "" {
		r.res.Codes[code]++
	}
	s.Late += late
	s.Worth += worth
	s.Ends[how]++
	for _, t := range r.tallies(q) {
		t.Late += late
		t.Worth += worth
		t.Ends[how]++
	}
	r.inHand--
	if r.o.Open != nil {
		r.o.Open.Store(int64(r.inHand))
	}
	r.open.Done()
}

// work is one connection, opened anew where it has ended.
func (r *runner) work(p *pool) {
	var c *conn
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(time.Now().UnixNano())))
	for q := range p.queue {
		r.mu.Lock()
		p.busy++
		r.mu.Unlock()
		if left := q.class.ClientTimeout - time.Since(q.due); left < time.Millisecond { // d is told in whole milliseconds
			r.ended(q, expired, "")
		} else {
			if c == nil {
				c, _ = dial(r.o.Addr, p.name, left)
			}
			c = r.ask(c, q, left, rng)
		}
		r.mu.Lock()
		p.busy--
		r.mu.Unlock()
	}
	if c != nil {
		c.c.Close()
	}
}

// ask sends a request once and books what came of it. It returns the connection, nil where it has ended.
func (r *runner) ask(c *conn, q *request, left time.Duration, rng *rand.Rand) *conn {
	q.tries++
	s := &r.sessions[q.session]
	after := time.Duration(0)
	if q.class.Consistency == balance.ConsistencySession {
		s.mu.Lock()
		after = s.wrote
		s.mu.Unlock()
	}
	a := answer{code: "no connection"}
	if c != nil {
		text := emulator.Statement(fmt.Sprintf("l%d.%d", q.id, q.tries), q.class.Name, left, int64(q.session%r.o.Banks+1), after, q.tries > 1, fmt.Sprint("s", q.session), q.need)
		var err error
		if a, err = c.ask(text, r.o.Extended, left+200*time.Millisecond); err != nil {
			c.c.Close()
			c = nil
			if a.code == "" {
				a.code = "connection ended"
			}
		}
	}
	if a.code == "" {
		if _, text, ok := strings.Cut(a.value, " "); ok && q.class.Consistency == balance.ConsistencyWrite {
			if pos, err := strconv.ParseInt(text, 10, 64); err == nil {
				s.mu.Lock()
				s.wrote = max(s.wrote, time.Duration(pos))
				s.mu.Unlock()
			}
		}
		r.ended(q, served, "")
		return c
	}
	how := failed
	if a.code == pgwire.TooManyConnections || a.code == "no connection" {
		how = refused
	}
	wait := r.o.Backoff
	if rng.Float64() < r.o.Honour {
		wait = max(wait, a.after)
	}
	if how == failed && q.class.Idempotency != balance.Idempotent || q.tries > r.o.Retries || time.Since(q.due)+wait >= q.class.ClientTimeout {
		r.ended(q, how, a.code)
		return c
	}
	time.AfterFunc(wait, func() { r.hand(q) })
	return c
}

// conn is one connection.
type conn struct {
	c   net.Conn
	r   *pgwire.Reader
	buf []byte
	out []byte
}

type answer struct {
	code, value string
	after       time.Duration
}

func dial(addr, user string, within time.Duration) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	k := &conn{c: c, r: pgwire.NewReader(8<<20, 0), buf: make([]byte, 4096)}
	c.SetDeadline(time.Now().Add(within))
	if _, err = c.Write(pgwire.AppendStartup(nil, "user", user, "database", "limelab")); err == nil {
		var a answer
		if a, err = k.until(); err == nil && a.code != "" {
			err = fmt.Errorf("turned away: %s", a.code)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

func (k *conn) ask(sql string, extended bool, within time.Duration) (answer, error) {
	k.out = k.out[:0]
	if extended {
		k.out = pgwire.AppendParse(k.out, pgwire.ParseMessage{Query: sql})
		k.out = pgwire.AppendBind(k.out, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
		k.out = pgwire.AppendTarget(k.out, 'D', 'P', "")
		k.out = pgwire.Append(pgwire.AppendExecute(k.out, "", 0), 'S')
	} else {
		k.out = pgwire.AppendQuery(k.out, sql)
	}
	k.c.SetDeadline(time.Now().Add(within))
	if _, err := k.c.Write(k.out); err != nil {
		return answer{}, err
	}
	return k.until()
}

// until reads up to the end of an answer.
func (k *conn) until() (a answer, err error) {
	for {
		m, ok, err := k.r.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := k.c.Read(k.buf)
			if err != nil {
				return a, err
			}
			k.r.Feed(k.buf[:n])
			continue
		}
		switch m.Type {
		case 'Z':
			return a, nil
		case 'D':
			row, err := pgwire.Row(m.Body)
			if err != nil {
				return a, err
			}
			if len(row) > 0 {
				a.value = string(row[0])
			}
		case 'E':
			f, err := pgwire.Fields(m.Body)
			if err != nil {
				return a, err
			}
			a.code = f['C']
			if ms, err := strconv.Atoi(f['D']); err == nil && ms > 0 && ms < 1<<30 {
				a.after = time.Duration(ms) * time.Millisecond
			}
		}
	}
}

// ReadTenants reads tenants and their shares, such as a=3,b=1.
func ReadTenants(text string) (out []Tenant, err error) {
	for _, part := range strings.Split(text, ",") {
		name, share, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(share, 64)
		if err != nil || !(v > 0) || v > 1e9 || name == "" || slices.ContainsFunc(out, func(x Tenant) bool { return x.Name == name }) {
			return nil, fmt.Errorf("tenants: %q is no name=share, or comes twice", part)
		}
		out = append(out, Tenant{name, v})
	}
	return out, nil
}

// Captured reads moments from a file: seconds from the start, a line each, in order. An error names the line.
func Captured(name, text string) (out []time.Duration, err error) {
	last := 0.0
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		v, err := strconv.ParseFloat(strings.TrimSpace(line), 64)
		if err != nil || !(v >= last) || v > 3600 {
			return nil, fmt.Errorf("%s:%d: %q is no moment behind the one before", name, i+1, line)
		}
		last = v
		out = append(out, time.Duration(v*1e9))
	}
	return out, nil
}
