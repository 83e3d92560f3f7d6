package multiprocess

import (
	"strings"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// later does something so long behind the start, unless the run is over.
func (r *Driver) later(at time.Duration, do func()) {
	r.steps.Add(1)
	go func() {
		defer r.steps.Done()
		select {
		case <-time.After(time.Until(r.begin.Add(at))):
			do()
		case <-r.stop:
		}
	}()
}

// step carries out a fault.
func (r *Driver) step(f fleet.Fault) {
	text := strings.TrimSpace(f.What + " " + strings.Join(f.Who, " "))
	r.log.Add(history.ScriptStep{Text: text})
	now := time.Since(r.begin)
	switch f.What {
	case "crash", "term", "freeze":
		for _, p := range r.named(f.Who) {
			r.steps.Add(1)
			go func() {
				defer r.steps.Done()
				r.befall(p, f, now)
			}()
		}
	case "cut", "delay", "trickle":
		w := faultproxy.Impairment{Cut: f.What == "cut", Delay: f.Delay, Jitter: f.Jitter, Rate: f.Rate}
		for _, name := range f.Who {
			from, to, both := ends(name)
			r.trouble(from, to, text, f.For)
			r.set(from, to, both, w)
			r.later(now+f.For, func() {
				r.set(from, to, both, faultproxy.Impairment{})
				r.log.Add(history.ScriptStep{Text: "end of " + text})
			})
		}
	case "reset", "lose":
		for _, name := range f.Who {
			from, to, _ := ends(name)
			r.trouble(from, to, text, r.longest())
			if f.What == "reset" {
				r.net.ResetConnections(from, to)
			} else {
				r.net.BlackholeConnections(from, to)
			}
		}
	default:
		r.host.InjectFault(f)
	}
}

// longest is how long a request may be on its way.
func (r *Driver) longest() (d time.Duration) {
	for _, k := range r.o.Config.Classes {
		d = max(d, k.ClientTimeout)
	}
	return d
}

func (r *Driver) set(from, to string, both bool, w faultproxy.Impairment) {
	r.net.SetImpairment(from, to, w)
	if both {
		r.net.SetImpairment(to, from, w)
	}
}

// ends reads "a>b", or "a=b" for both ways.
func ends(name string) (from, to string, both bool) {
	from, to, ok := strings.Cut(name, ">")
	if !ok {
		from, to, _ = strings.Cut(name, "=")
		both = true
	}
	return from, to, both
}

// trouble notes for the checks which routers' links to clients are impaired: what they have accepted may not be
// answered, and what is asked may not come.
func (r *Driver) trouble(from, to string, what string, length time.Duration) {
	for _, p := range r.routers {
		me := faultproxy.Peer{Name: p.Name, Site: p.Site}
		for _, site := range r.o.Config.Zones {
			c := faultproxy.Peer{Name: "clients:" + site, Site: site}
			if joins(from, to, c, me) || joins(from, to, me, c) {
				p.note("its way to "+c.Name+": "+what, length)
				break
			}
		}
	}
}

// joins says whether a link that a step names leads from one peer to the other.
func joins(from, to string, a, b faultproxy.Peer) bool { return a.Matches(from) && b.Matches(to) }

// named are routers by name, by site, or all.
func (r *Driver) named(names []string) (out []*process) {
	for _, p := range r.routers {
		for _, name := range names {
			if name == "*" || name == p.Name || name == "routers:"+p.Site {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// befall does something to a router's process.
func (r *Driver) befall(p *process, f fleet.Fault, now time.Duration) {
	switch f.What {
	case "freeze":
		p.freeze(f.For)
		return
	case "crash":
		p.crash()
	case "term":
		p.term(r.longest() + 700*time.Millisecond)
	}
	if f.For == 0 {
		return
	}
	r.later(now+f.For, func() {
		if !p.wait(20 * time.Second) {
			return
		}
		if err := p.start(); err != nil {
			r.log.Add(history.ScriptStep{Text: p.Name + " can't be started: " + err.Error()})
		}
	})
}
