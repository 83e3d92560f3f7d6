// Package faultproxy carries connections between the parts of a rig, so that what befalls the ways between them can be a step of a script.
// It owns the connections and the bytes on their way; it reads nothing of them.
package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Way is the state of one direction of a link.
type Way struct {
	Cut    bool          // what is sent waits until the cut is healed: neither side is told
	Delay  time.Duration // added to each piece,
	Jitter time.Duration // and up to so much more
	Rate   int           // bytes a second, 0 = as fast as it goes
}

// Point is an end of a link: a process or machine, and the site it stands in.
type Point struct{ Name, Site string }

// Is says whether a word of a script names the point: its name, its site, * for all, or !WORD for what WORD does not name.
func (p Point) Is(word string) bool {
	if not, ok := strings.CutPrefix(word, "!"); ok {
		return !p.Is(not)
	}
	return word == "*" || word == p.Name || word == p.Site
}

// Net holds the links of a rig and what befalls them.
type Net struct {
	mu     sync.Mutex
	links  []*Link
	faults map[string]fault // "from>to" of a script
	rng    *rand.Rand
	ended  bool
	done   sync.WaitGroup
}

type fault struct {
	from, to string
	way      Way
}

// New returns a Net whose jitter comes from a seed.
func New(seed uint64) *Net {
	return &Net{faults: map[string]fault{}, rng: rand.New(rand.NewPCG(seed, 17))}
}

// Link is where one point listens for what another one dials.
type Link struct {
	From, To Point
	Addr     string // where From dials

	net    *Net
	target func() string
	ln     net.Listener
	conns  map[*pair]bool
	change chan struct{} // closed when the ways change; guarded by net.mu
	there  Way           // from From to To,
	back   Way           // and back
	watch  Watch
}

// Watch is told of a link's connections, where its functions are not nil. Local is the address by which To sees one.
type Watch struct {
	Dialled func(local string, held *Held) // before anything is sent on it
	GivenUp func(local string)             // From has closed it or ended its sending, whether or not To can know
}

// Held tells how long the newest piece that came through a connection towards To was on its way in the relay.
type Held struct{ ns atomic.Int64 }

// For is that time.
func (h *Held) For() time.Duration { return time.Duration(h.ns.Load()) }

// Link starts a relay on an address of its own. target is asked for the far address at each connection.
func (n *Net) Link(from, to Point, target func() string, watch Watch) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay %s>%s: %w", from.Name, to.Name, err)
	}
	l := &Link{From: from, To: to, Addr: ln.Addr().String(), net: n, target: target, ln: ln, conns: map[*pair]bool{}, change: make(chan struct{}), watch: watch}
	n.mu.Lock()
	n.links = append(n.links, l)
	n.settle(l)
	n.mu.Unlock()
	n.done.Add(1)
	go l.accept()
	return l, nil
}

// Set lets something befall the ways that words of a script name, in one direction; a Way of zero heals them. Each word is a name,
// a site, or * for all.
func (n *Net) Set(from, to string, w Way) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := from + ">" + to
	if n.faults[key] = (fault{from, to, w}); w == (Way{}) {
		delete(n.faults, key)
	}
	for _, l := range n.links {
		n.settle(l)
	}
}

// Heal ends all that befalls any way.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	for _, l := range n.links {
		n.settle(l)
	}
}

// settle works out a link's ways. Several faults of one way add up.
func (n *Net) settle(l *Link) {
	var there, back Way
	for _, f := range n.faults {
		if l.From.Is(f.from) && l.To.Is(f.to) {
			there = there.and(f.way)
		}
		if l.To.Is(f.from) && l.From.Is(f.to) {
			back = back.and(f.way)
		}
	}
	if there != l.there || back != l.back {
		l.there, l.back = there, back
		close(l.change)
		l.change = make(chan struct{})
	}
}

func (w Way) and(o Way) Way {
	w.Cut = w.Cut || o.Cut
	w.Delay, w.Jitter = w.Delay+o.Delay, w.Jitter+o.Jitter
	if w.Rate == 0 || o.Rate > 0 && o.Rate < w.Rate {
		w.Rate = o.Rate
	}
	return w
}

// Troubled says whether anything befalls the ways between two points now.
func (n *Net) Troubled(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.From.Name == from && l.To.Name == to {
			return l.there != Way{} || l.back != Way{}
		}
	}
	return false
}

// Reset breaks the open connections between two words, with a reset at both sides.
func (n *Net) Reset(a, b string) { n.each(a, b, (*pair).reset) }

// Lose forgets the open connections between two words: both sides keep a connection that stays silent for ever, as when a
// machine is lost and another one has its address.
func (n *Net) Lose(a, b string) { n.each(a, b, (*pair).lose) }

func (n *Net) each(a, b string, do func(*pair)) {
	n.mu.Lock()
	var all []*pair
	for _, l := range n.links {
		if l.From.Is(a) && l.To.Is(b) || l.From.Is(b) && l.To.Is(a) {
			for p := range l.conns {
				all = append(all, p)
			}
		}
	}
	n.mu.Unlock()
	for _, p := range all {
		do(p)
	}
}

// Close ends all links.
func (n *Net) Close() {
	n.mu.Lock()
	n.ended = true
	var all []*pair
	for _, l := range n.links {
		l.ln.Close()
		for p := range l.conns {
			all = append(all, p)
		}
	}
	n.mu.Unlock()
	for _, p := range all {
		p.mu.Lock()
		p.lost = false
		p.mu.Unlock()
		p.reset()
	}
	n.done.Wait()
}

func (l *Link) accept() {
	defer l.net.done.Done()
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		p := &pair{link: l, near: c, end: make(chan struct{})}
		l.net.mu.Lock()
		ended := l.net.ended
		if !ended {
			l.conns[p] = true
			l.net.done.Add(1)
		}
		l.net.mu.Unlock()
		if ended {
			c.Close()
			return
		}
		go p.run()
	}
}

// pair is one connection: its near side is From's, its far side To's.
type pair struct {
	link *Link
	near net.Conn

	mu   sync.Mutex
	far  net.Conn
	lost bool
	once sync.Once
	end  chan struct{}
	held Held

	local string // the address by which the far side sees it
}

// run connects the far side and carries both ways until one ends.
func (p *pair) run() {
	defer p.link.net.done.Done()
	defer p.drop()
	// A SYN waits for a way that is cut like anything else.
	if !p.pass(true, 0, nil) {
		return
	}
	far, err := net.DialTimeout("tcp", p.link.target(), 5*time.Second)
	if err != nil {
		p.reset() // as the far system would
		return
	}
	p.mu.Lock()
	p.far = far
	p.mu.Unlock()
	p.local = far.LocalAddr().String()
	if d := p.link.watch.Dialled; d != nil {
		d(p.local, &p.held)
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(p.near, far, true) })
	both.Go(func() { p.carry(far, p.near, false) })
	both.Wait()
}

// piece is what was read at once.
type piece struct {
	at   time.Time
	data []byte
	err  error
}

// carry takes what comes at one side to the other. Some pieces may be on their way; beyond that nothing more is read.
func (p *pair) carry(from, to net.Conn, there bool) {
	way := make(chan piece, 32)
	go func() {
		defer close(way)
		for {
			buf := make([]byte, 8<<10)
			n, err := from.Read(buf)
			if g := p.link.watch.GivenUp; err != nil && there && g != nil {
				g(p.local)
			}
			select {
			case way <- piece{time.Now(), buf[:n], err}:
			case <-p.end: // what is lost is still read, to see its end
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range way {
		if !p.pass(there, len(x.data), &x.at) {
			return
		}
		if there {
			p.held.ns.Store(int64(time.Since(x.at)))
		}
		if len(x.data) > 0 {
			if _, err := to.Write(x.data); err != nil {
				p.reset()
				return
			}
		}
		if x.err != nil {
			if errors.Is(x.err, syscall.ECONNRESET) {
				p.reset()
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

// pass waits until a piece may go on: until a cut is healed, and for as long as the way takes. False: the connection has ended.
func (p *pair) pass(there bool, size int, at *time.Time) bool {
	l, n := p.link, p.link.net
	waited := false
	for {
		n.mu.Lock()
		w, change := l.there, l.change
		if !there {
			w = l.back
		}
		wait := w.Delay
		if w.Jitter > 0 {
			wait += time.Duration(n.rng.Int64N(int64(w.Jitter) + 1))
		}
		n.mu.Unlock()
		if w.Rate > 0 {
			wait += time.Duration(size) * time.Second / time.Duration(w.Rate)
		}
		if w.Cut {
			select {
			case <-change:
				continue
			case <-p.end:
				return false
			}
		}
		if at != nil && w.Rate == 0 {
			wait -= time.Since(*at) // it was on its way while it stood behind others
		}
		if wait <= 0 || waited {
			return !p.over()
		}
		select {
		case <-time.After(wait):
			waited = true // a cut that has come meanwhile holds it
		case <-p.end:
			return false
		}
	}
}

func (p *pair) over() bool {
	select {
	case <-p.end:
		return true
	default:
		return false
	}
}

// reset ends both sides with a reset.
func (p *pair) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost {
		return
	}
	for _, c := range []net.Conn{p.near, p.far} {
		if t, ok := c.(*net.TCPConn); ok && t != nil {
			t.SetLinger(0)
		}
	}
	p.once.Do(func() { close(p.end) })
	p.near.Close()
	if p.far != nil {
		p.far.Close()
	}
}

// lose leaves both sides open and carries nothing any more. They are closed with the net.
func (p *pair) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
	p.once.Do(func() { close(p.end) })
}

// drop takes the pair off the books once it carries nothing; what is lost stays open until its sides close it.
func (p *pair) drop() {
	p.mu.Lock()
	lost := p.lost
	p.mu.Unlock()
	if lost {
		return // it stays among the links' connections, for Close
	}
	p.once.Do(func() { close(p.end) })
	p.near.Close()
	p.mu.Lock()
	if p.far != nil {
		p.far.Close()
	}
	p.mu.Unlock()
	p.link.net.mu.Lock()
	delete(p.link.conns, p)
	p.link.net.mu.Unlock()
}
