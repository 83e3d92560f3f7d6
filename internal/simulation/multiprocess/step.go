package multiprocess

import (
	"strings"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// schedule calls action at a time after the start, unless the run has ended.
func (r *Driver) schedule(at time.Duration, action func()) {
	r.steps.Add(1)
	go func() {
		defer r.steps.Done()
		select {
		case <-time.After(time.Until(r.startedAt.Add(at))):
			action()
		case <-r.stopped:
		}
	}()
}

// injectFault injects a fault: into processes and links itself, any other through the emulator.
func (r *Driver) injectFault(f fleet.Fault) {
	text := strings.TrimSpace(f.What + " " + strings.Join(f.Who, " "))
	r.log.Add(history.ScriptStep{Text: text})
	now := time.Since(r.startedAt)
	switch f.What {
	case "crash", "term", "freeze":
		for _, p := range r.selectRouters(f.Who) {
			r.steps.Add(1)
			go func() {
				defer r.steps.Done()
				r.injectProcessFault(p, f, now)
			}()
		}
	case "cut", "delay", "trickle":
		w := faultproxy.Impairment{Cut: f.What == "cut", Delay: f.Delay, Jitter: f.Jitter, Rate: f.Rate}
		for _, name := range f.Who {
			from, to, both := parseLink(name)
			r.recordClientLinkFault(from, to, text, f.For)
			r.setImpairment(from, to, both, w)
			r.schedule(now+f.For, func() {
				r.setImpairment(from, to, both, faultproxy.Impairment{})
				r.log.Add(history.ScriptStep{Text: "end of " + text})
			})
		}
	case "reset", "lose":
		for _, name := range f.Who {
			from, to, _ := parseLink(name)
			r.recordClientLinkFault(from, to, text, r.longestTimeout())
			if f.What == "reset" {
				r.network.ResetConnections(from, to)
			} else {
				r.network.BlackholeConnections(from, to)
			}
		}
	default:
		r.host.InjectFault(f)
	}
}

// longestTimeout returns the longest client timeout.
func (r *Driver) longestTimeout() (d time.Duration) {
	for _, k := range r.options.Config.Classes {
		d = max(d, k.ClientTimeout)
	}
	return d
}

func (r *Driver) setImpairment(from, to string, both bool, w faultproxy.Impairment) {
	r.network.SetImpairment(from, to, w)
	if both {
		r.network.SetImpairment(to, from, w)
	}
}

// parseLink parses the link "a>b", or "a=b" for both directions.
func parseLink(name string) (from, to string, both bool) {
	from, to, ok := strings.Cut(name, ">")
	if !ok {
		from, to, _ = strings.Cut(name, "=")
		both = true
	}
	return from, to, both
}

// recordClientLinkFault records for the checks which routers' links to clients are impaired: responses and requests on
// them may be lost.
func (r *Driver) recordClientLinkFault(from, to string, what string, length time.Duration) {
	for _, p := range r.routers {
		router := faultproxy.Peer{Name: p.Name, Site: p.Site}
		for _, site := range r.options.Config.Zones {
			c := faultproxy.Peer{Name: "clients:" + site, Site: site}
			if matchDirection(from, to, c, router) || matchDirection(from, to, router, c) {
				p.recordEvent("its link to "+c.Name+": "+what, length)
				break
			}
		}
	}
}

// matchDirection reports whether the patterns from and to match the direction from peer a to peer b.
func matchDirection(from, to string, a, b faultproxy.Peer) bool {
	return a.Matches(from) && b.Matches(to)
}

// selectRouters returns the routers selected by name, by site ("routers:n") or by * for all.
func (r *Driver) selectRouters(names []string) (selected []*process) {
	for _, p := range r.routers {
		for _, name := range names {
			if name == "*" || name == p.Name || name == "routers:"+p.Site {
				selected = append(selected, p)
				break
			}
		}
	}
	return selected
}

// injectProcessFault injects a fault into a router's process.
func (r *Driver) injectProcessFault(p *process, f fleet.Fault, now time.Duration) {
	switch f.What {
	case "freeze":
		p.freeze(f.For)
		return
	case "crash":
		p.kill()
	case "term":
		p.terminate(r.longestTimeout() + 700*time.Millisecond)
	}
	if f.For == 0 {
		return
	}
	r.schedule(now+f.For, func() {
		if !p.waitForExit(20 * time.Second) {
			return
		}
		if err := p.start(); err != nil {
			r.log.Add(history.ScriptStep{Text: p.Name + " can't be started: " + err.Error()})
		}
	})
}
