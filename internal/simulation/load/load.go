// Package load is an open-loop load generator for servers that speak the PostgreSQL protocol. Requests are issued when
// they are due, regardless of how slow the responses are, and latency is measured from the time a request was due, not
// from the time it could be sent.
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

// Options configure a run.
type Options struct {
	Addr     string
	Extended bool            // use Parse, Bind, Describe, Execute and Sync instead of a simple query
	Rate     float64         // requests per second, before Shape is applied
	Length   time.Duration   // of the period in which requests become due
	Conns    int             // maximum number of connections
	Arrivals string          // poisson, even or bursty; "" = poisson
	Bursts   float64         // bursty only: coefficient of variation of the rate, which is redrawn every 500 ms
	Offsets  []time.Duration // due times from the start of the run, in place of Rate, Shape and Arrivals
	Shape    []fleet.Step    // changes of the rate over time
	Classes  []fleet.Class
	Banks    int           // number of replica groups
	Sessions int           // number of client sessions
	Tenants  []Tenant      // empty = one tenant with a default name
	Retries  int           // maximum number of retries per request
	Honour   float64       // probability that a client waits as long as the server's retry hint says
	Backoff  time.Duration // minimum wait before a retry
	Seed     uint64
	Open     *atomic.Int64  // set to the number of open requests whenever one ends; nil = not set
	Progress func(Progress) // called once per second; nil = never
}

// Tenant is a customer. Its connections send its name as the user.
type Tenant struct {
	Name  string
	Share float64 // of the requests, relative to the other tenants' shares
}

// Progress is the state of a run.
type Progress struct {
	At     time.Duration  // since the start of the run
	Came   int            // requests issued
	Open   int            // requests issued that have not ended
	Ends   map[string]int // ended requests by ending, see fleet.Endings
	LateMs float64        // 99th percentile of the load generator's own lateness so far, in ms
}

// Result is the outcome of a run.
type Result struct {
	Worth, Whole, Window, Class float64                            // score and its parts, see fleet.Score
	Worst                       string                             // the class with the lowest score, "" = all have 1
	Tally                       map[string]*fleet.Tally            // by class
	Seconds                     []fleet.Second                     // by the second in which a request was due
	Latency                     map[string]*hdrhistogram.Histogram // by class, "" = all: µs from due time to response
	Lateness                    *hdrhistogram.Histogram            // of this program: µs from due time to enqueueing
	Codes                       map[string]int                     // rejected or failed requests by SQLSTATE or error text
	Tenants                     map[string]*fleet.Tally            // by tenant
	Took                        time.Duration
	Came                        int // requests issued
}

// Upper limit and precision of the histograms of latency and lateness.
const (
	maxLatencyUs      = 60_000_000
	significantDigits = 3
)

// Check returns an error of one line for the first invalid option.
func (o *Options) Check() error {
	a, err := net.ResolveTCPAddr("tcp", o.Addr)
	switch {
	case err != nil:
		return fmt.Errorf("addr: %w", err)
	case !a.IP.IsLoopback():
		return fmt.Errorf("addr: %s is not on loopback", o.Addr)
	case o.Rate <= 0 && len(o.Offsets) == 0 || o.Rate > 1e6:
		return fmt.Errorf("rate: must be above 0 and at most 1,000,000 requests per second")
	case o.Length <= 0 || o.Length > time.Hour:
		return fmt.Errorf("length: must be above 0 and at most 1 hour")
	case o.Conns < 1 || o.Conns > 60_000:
		return fmt.Errorf("connections: must be 1 to 60,000")
	case len(o.Classes) == 0 || o.Banks < 1 || o.Sessions < 1:
		return fmt.Errorf("classes, banks and sessions: at least one of each is required")
	case len(o.Tenants) > o.Conns ||
		slices.ContainsFunc(o.Tenants, func(x Tenant) bool { return x.Name == "" || !(x.Share > 0) }):
		return fmt.Errorf("tenants: each needs a name, a positive share and a connection")
	case !slices.Contains([]string{"", "poisson", "even", "bursty"}, o.Arrivals):
		return fmt.Errorf("arrivals: unknown value %s", o.Arrivals)
	}
	return nil
}

// arrivals generates the due times of the requests in order. The same options give the same times.
type arrivals struct {
	options     *Options
	rng         *rand.Rand
	gap         distuv.Exponential
	at          time.Duration
	nextOffset  int
	burstFactor float64
	burstEnd    time.Duration // when burstFactor is drawn anew
}

func newArrivals(o *Options) *arrivals {
	src := rand.NewPCG(o.Seed, 11)
	return &arrivals{options: o, rng: rand.New(src), gap: distuv.Exponential{Rate: 1, Src: src}, burstFactor: 1}
}

// nextDue returns the next due time, from the start of the run, and false if there is none within the run.
func (a *arrivals) nextDue() (time.Duration, bool) {
	if len(a.options.Offsets) > 0 {
		if a.nextOffset >= len(a.options.Offsets) || a.options.Offsets[a.nextOffset] > a.options.Length {
			return 0, false
		}
		a.nextOffset++
		return a.options.Offsets[a.nextOffset-1], true
	}
	for {
		rate := a.options.Rate * fleet.Part(a.options.Shape, a.at) * a.burstFactor
		if a.options.Arrivals == "bursty" && a.at >= a.burstEnd {
			v := math.Log(1 + a.options.Bursts*a.options.Bursts)
			a.burstFactor = distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: a.rng}.Rand()
			a.burstEnd = a.at + 500*time.Millisecond
			continue
		}
		wait := 100 * time.Millisecond
		if rate > 0 {
			draw := a.gap.Rand()
			if a.options.Arrivals == "even" {
				draw = 1
			}
			wait = time.Duration(min(draw/rate, 3600) * 1e9)
		}
		// The rate may change meanwhile. A draw of more than 100 ms is therefore dropped and made again 100 ms later.
		if a.options.Arrivals != "even" && wait > 100*time.Millisecond {
			a.at += 100 * time.Millisecond
			if a.at >= a.options.Length {
				return 0, false
			}
			continue
		}
		if a.at += wait; a.at >= a.options.Length {
			return 0, false
		}
		if rate > 0 {
			return a.at, true
		}
	}
}

// request is one request with all its attempts.
type request struct {
	id       int
	class    *fleet.Class
	session  int
	work     time.Duration
	due      time.Time
	attempts int
	tenant   int
}

// session is a client session whose reads may have to see its own writes.
type session struct {
	mu        sync.Mutex
	lastWrite time.Duration // replication position of the newest write, 0 = none
}

// runner holds the state of a run.
type runner struct {
	options    Options
	startedAt  time.Time
	pools      []pool // by tenant
	sessions   []session
	unfinished sync.WaitGroup

	mu           sync.Mutex // guards the fields below and the counts of the pools
	result       *Result
	connections  int
	openRequests int
}

// pool holds the connections of a tenant.
type pool struct {
	name          string
	queue         chan *request
	workers, busy int // connections, and those that have a request in progress
}

// Run issues requests for o.Length and returns when all of them have ended.
func Run(o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if len(o.Tenants) == 0 {
		o.Tenants = []Tenant{{"limelab", 1}}
	}
	r := &runner{options: o, sessions: make([]session, o.Sessions), result: &Result{
		Tenants: map[string]*fleet.Tally{}, Tally: map[string]*fleet.Tally{}, Latency: map[string]*hdrhistogram.Histogram{},
		Lateness: hdrhistogram.New(1, maxLatencyUs, significantDigits), Codes: map[string]int{},
		Seconds: make([]fleet.Second, int((o.Length+time.Second-1)/time.Second)),
	}}
	r.result.Latency[""] = hdrhistogram.New(1, maxLatencyUs, significantDigits)
	for _, k := range o.Classes {
		r.result.Tally[k.Name], r.result.Latency[k.Name] = &fleet.Tally{},
			hdrhistogram.New(1, maxLatencyUs, significantDigits)
	}
	for _, x := range o.Tenants {
		r.pools = append(r.pools, pool{name: x.Name, queue: make(chan *request, 1<<16)})
		r.result.Tenants[x.Name] = &fleet.Tally{}
	}
	// Fail early if the server does not accept connections.
	c, err := net.DialTimeout("tcp", o.Addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c.Close()
	a, rng := newArrivals(&o), rand.New(rand.NewPCG(o.Seed, 12))
	stop := make(chan bool)
	r.startedAt = time.Now()
	if o.Progress != nil {
		go r.reportProgress(stop)
	}
	for {
		at, ok := a.nextDue()
		if !ok {
			break
		}
		k := &o.Classes[pickByShare(rng, len(o.Classes), func(i int) float64 { return o.Classes[i].Share })]
		q := &request{
			id: r.result.Came, class: k,
			tenant:  pickByShare(rng, len(o.Tenants), func(i int) float64 { return o.Tenants[i].Share }),
			session: rng.IntN(o.Sessions), work: k.Work.Draw(rng), due: r.startedAt.Add(at),
		}
		waitUntil(q.due)
		r.recordArrival(q)
		r.enqueue(q)
	}
	r.unfinished.Wait()
	for i := range r.pools {
		close(r.pools[i].queue)
	}
	close(stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Took = time.Since(r.startedAt)
	r.result.Whole, r.result.Window, r.result.Class, r.result.Worst = fleet.Score(r.result.Seconds, r.result.Tally)
	r.result.Worth = 0.5*r.result.Whole + 0.3*r.result.Window + 0.2*r.result.Class
	return r.result, nil
}

// pickByShare draws an index below n with probabilities in proportion to share.
func pickByShare(rng *rand.Rand, n int, share func(int) float64) int {
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

// waitUntil returns at the given time. In an otherwise idle process the Go runtime's timers are late by up to a
// millisecond, so the last 2 ms are waited for in nanosleep, which is more precise.
func waitUntil(at time.Time) {
	const rough = 2 * time.Millisecond
	if wait := time.Until(at); wait > rough {
		time.Sleep(wait - rough)
	}
	for wait := time.Until(at); wait > 0; wait = time.Until(at) {
		t := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&t, nil) // a signal interrupts it; the next iteration waits for the rest
	}
}

// reportProgress calls options.Progress once per second until stop is closed.
func (r *runner) reportProgress(stop chan bool) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			r.mu.Lock()
			p := Progress{
				At: time.Since(r.startedAt), Came: r.result.Came, Open: r.openRequests, Ends: map[string]int{},
				LateMs: float64(r.result.Lateness.ValueAtQuantile(99)) / 1000,
			}
			for _, t := range r.result.Tally {
				for i, n := range t.Ends {
					p.Ends[fleet.Endings[i]] += n
				}
			}
			r.mu.Unlock()
			r.options.Progress(p)
		}
	}
}

// secondOf returns the counts of the second in which a request was due.
func (r *runner) secondOf(q *request) *fleet.Second {
	return &r.result.Seconds[min(len(r.result.Seconds)-1, max(0, int(q.due.Sub(r.startedAt)/time.Second)))]
}

// recordArrival counts a request that is due.
func (r *runner) recordArrival(q *request) {
	r.unfinished.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Came++
	r.openRequests++
	// A value above maxLatencyUs is not recorded.
	_ = r.result.Lateness.RecordValue(max(1, time.Since(q.due).Microseconds()))
	s := r.secondOf(q)
	s.Came++
	s.Could += q.class.PriorityWeight
	for _, t := range r.tallies(q) {
		t.Came++
		t.Could += q.class.PriorityWeight
	}
}

// tallies returns the tallies of a request's class and tenant.
func (r *runner) tallies(q *request) [2]*fleet.Tally {
	return [2]*fleet.Tally{r.result.Tally[q.class.Name], r.result.Tenants[r.pools[q.tenant].name]}
}

// enqueue queues a request for the connections of its tenant. It opens another one if all of them are busy and the
// maximum is not reached, or if the tenant has none.
func (r *runner) enqueue(q *request) {
	p := &r.pools[q.tenant]
	r.mu.Lock()
	if r.connections < r.options.Conns && p.busy+len(p.queue) >= p.workers || p.workers == 0 {
		r.connections++
		p.workers++
		go r.serveQueue(p)
	}
	r.mu.Unlock()
	p.queue <- q
}

// Indexes into fleet.Endings, which calls rejected requests "refused" and timed-out ones "expired".
const (
	served = iota
	rejected
	failed
	timedOut
)

// recordEnd counts the end of a request; code is the SQLSTATE or error text, "" = none. A response after the client
// timeout counts as timed out.
func (r *runner) recordEnd(q *request, ending int, code string) {
	took := time.Since(q.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, late, worth := r.secondOf(q), 0, 0.0
	if ending == served {
		us := min(maxLatencyUs, max(1, took.Microseconds()))
		_ = r.result.Latency[""].RecordValue(us) // us is within the histogram's range
		_ = r.result.Latency[q.class.Name].RecordValue(us)
		if worth = q.class.PriorityWeight; took > q.class.LatencyObjective {
			worth, late = worth*q.class.LateWeightShare, 1
		}
		if took > q.class.ClientTimeout {
			worth, ending = 0, timedOut
		}
	}
	if code != "" {
		r.result.Codes[code]++
	}
	s.Late += late
	s.Worth += worth
	s.Ends[ending]++
	for _, t := range r.tallies(q) {
		t.Late += late
		t.Worth += worth
		t.Ends[ending]++
	}
	r.openRequests--
	if r.options.Open != nil {
		r.options.Open.Store(int64(r.openRequests))
	}
	r.unfinished.Done()
}

// serveQueue sends the requests of a pool's queue over one connection, which it opens again after it has ended.
func (r *runner) serveQueue(p *pool) {
	var c *conn
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(time.Now().UnixNano())))
	for q := range p.queue {
		r.mu.Lock()
		p.busy++
		r.mu.Unlock()
		// The request comment has the deadline in whole milliseconds.
		if left := q.class.ClientTimeout - time.Since(q.due); left < time.Millisecond {
			r.recordEnd(q, timedOut, "")
		} else {
			if c == nil {
				c, _ = dial(r.options.Addr, p.name, left)
			}
			c = r.attempt(c, q, left, rng)
		}
		r.mu.Lock()
		p.busy--
		r.mu.Unlock()
	}
	if c != nil {
		c.netConn.Close()
	}
}

// attempt sends a request once, and then records its end or schedules a retry. It returns the connection, or nil if the
// connection has ended.
func (r *runner) attempt(c *conn, q *request, left time.Duration, rng *rand.Rand) *conn {
	q.attempts++
	s := &r.sessions[q.session]
	after := time.Duration(0)
	if q.class.Consistency == balance.ConsistencySession {
		s.mu.Lock()
		after = s.lastWrite
		s.mu.Unlock()
	}
	a := answer{code: "no connection"}
	if c != nil {
		text := emulator.Statement(fmt.Sprintf("l%d.%d", q.id, q.attempts), q.class.Name, left,
			int64(q.session%r.options.Banks+1), after, q.attempts > 1, fmt.Sprint("s", q.session), q.work)
		var err error
		if a, err = c.query(text, r.options.Extended, left+200*time.Millisecond); err != nil {
			c.netConn.Close()
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
				s.lastWrite = max(s.lastWrite, time.Duration(pos))
				s.mu.Unlock()
			}
		}
		r.recordEnd(q, served, "")
		return c
	}
	ending := failed
	if a.code == pgwire.TooManyConnections || a.code == "no connection" {
		ending = rejected
	}
	wait := r.options.Backoff
	if rng.Float64() < r.options.Honour {
		wait = max(wait, a.retryAfter)
	}
	if ending == failed && q.class.Idempotency != balance.Idempotent || q.attempts > r.options.Retries ||
		time.Since(q.due)+wait >= q.class.ClientTimeout {
		r.recordEnd(q, ending, a.code)
		return c
	}
	time.AfterFunc(wait, func() { r.enqueue(q) })
	return c
}

// conn is a client connection.
type conn struct {
	netConn net.Conn
	reader  *pgwire.Reader
	buf     []byte
	out     []byte
}

// answer is the response to a query.
type answer struct {
	code, value string        // SQLSTATE of the error, "" = none, and first column of the last row
	retryAfter  time.Duration // the server's retry hint, 0 = none
}

// dial opens a connection and completes its startup.
func dial(addr, user string, within time.Duration) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	k := &conn{netConn: c, reader: pgwire.NewReader(8<<20, 0), buf: make([]byte, 4096)}
	c.SetDeadline(time.Now().Add(within))
	if _, err = c.Write(pgwire.AppendStartup(nil, "user", user, "database", "limelab")); err == nil {
		var a answer
		if a, err = k.readResponse(); err == nil && a.code != "" {
			err = fmt.Errorf("startup rejected: %s", a.code)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// query sends a statement and reads the response to its end.
func (k *conn) query(sql string, extended bool, within time.Duration) (answer, error) {
	k.out = k.out[:0]
	if extended {
		k.out = pgwire.AppendParse(k.out, pgwire.ParseMessage{Query: sql})
		k.out = pgwire.AppendBind(k.out, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
		k.out = pgwire.AppendTarget(k.out, 'D', 'P', "")
		k.out = pgwire.Append(pgwire.AppendExecute(k.out, "", 0), 'S')
	} else {
		k.out = pgwire.AppendQuery(k.out, sql)
	}
	k.netConn.SetDeadline(time.Now().Add(within))
	if _, err := k.netConn.Write(k.out); err != nil {
		return answer{}, err
	}
	return k.readResponse()
}

// readResponse reads up to the end of a response, ReadyForQuery.
func (k *conn) readResponse() (a answer, err error) {
	for {
		m, ok, err := k.reader.Next()
		if err != nil {
			return a, err
		}
		if !ok {
			n, err := k.netConn.Read(k.buf)
			if err != nil {
				return a, err
			}
			k.reader.Feed(k.buf[:n])
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
				a.retryAfter = time.Duration(ms) * time.Millisecond
			}
		}
	}
}

// ParseTenants parses tenants and their shares, such as a=3,b=1.
func ParseTenants(text string) (out []Tenant, err error) {
	for _, part := range strings.Split(text, ",") {
		name, share, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(share, 64)
		if err != nil || !(v > 0) || v > 1e9 || name == "" ||
			slices.ContainsFunc(out, func(x Tenant) bool { return x.Name == name }) {
			return nil, fmt.Errorf("tenants: %q is not name=share with a new name and a share above 0 and at most 1e9", part)
		}
		out = append(out, Tenant{name, v})
	}
	return out, nil
}

// ParseDueTimes parses the due times in the text of the file name: one per line in ascending order, in seconds from the
// start of the run. An error names the line.
func ParseDueTimes(name, text string) (out []time.Duration, err error) {
	last := 0.0
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		v, err := strconv.ParseFloat(strings.TrimSpace(line), 64)
		if err != nil || !(v >= last) || v > 3600 {
			return nil, fmt.Errorf("%s:%d: %q is not a time in seconds, at least that of the line before and at most 3600",
				name, i+1, line)
		}
		last = v
		out = append(out, time.Duration(v*1e9))
	}
	return out, nil
}
