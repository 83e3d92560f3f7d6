// Package check judges a history against the rules. It is apart from what drives a rig and what records it: it sees nothing but
// entries, and each check is a function of them. Later checks (of leases, of work that is taken over) are further functions.
package check

import (
	"fmt"
	"math"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// Rules are the figures of the contract, and what the rig can't tell more finely than.
type Rules struct {
	Grace     time.Duration // sends to a machine must have ended so long after a router was told that it leaves
	Late      time.Duration // an answer may come so much later than its time
	Unarrived time.Duration // what could not arrive counts as told after this
}

// Broken is a rule that was broken, by which entry.
type Broken struct {
	Rule string
	At   time.Duration
	Text string
}

func (b Broken) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
}

// Check is one rule.
type Check func(r Rules, all []history.Entry) []Broken

// All are the rules of the contract.
var All = []Check{Answers, Twice, Copies, Drains, Cold, Stale}

// Run applies checks, in their order.
func Run(r Rules, all []history.Entry, checks ...Check) (out []Broken) {
	for _, c := range checks {
		out = append(out, c(r, all)...)
	}
	return out
}

// life is one start of a router.
type life struct {
	router string
	number int
}

// Answers checks that each request that a router has taken is answered once and in time, unless that router was ended,
// frozen or cut off from its client meanwhile.
func Answers(r Rules, all []history.Entry) (out []Broken) {
	type open struct {
		at time.Duration
		a  history.Asked
	}
	asked, came := map[string]open{}, map[string]bool{}
	type span struct{ from, to time.Duration }
	troubled := map[life][]span{} // while something was done to it
	for _, e := range all {
		if p, ok := e.Fact.(history.Process); ok && !p.Ready {
			k, to := life{p.Router, p.Life}, time.Duration(math.MaxInt64)
			if p.For > 0 {
				to = e.At + p.For + r.Late
			}
			troubled[k] = append(troubled[k], span{e.At, to})
		}
	}
	for _, e := range all {
		switch f := e.Fact.(type) {
		case history.Asked:
			asked[f.ID] = open{e.At, f}
		case history.Came:
			came[f.ID] = true
		case history.Answered:
			q, ok := asked[f.ID]
			if !ok {
				out = append(out, Broken{"answered", e.At, fmt.Sprintf("request %s is answered and was not asked, or is answered again", f.ID)})
				continue
			}
			delete(asked, f.ID)
			if f.Extra > 0 {
				out = append(out, Broken{"answered", e.At, fmt.Sprintf("request %s gets %d messages behind its answer", f.ID, f.Extra)})
			}
			excused := false
			for _, x := range troubled[life{q.a.Router, q.a.Life}] {
				excused = excused || x.from <= e.At && q.at <= x.to
			}
			switch {
			case f.How == history.Crossed && came[f.ID] && !excused:
				out = append(out, Broken{"lost", e.At, fmt.Sprintf("request %s was sent on by %s.%d, which then closed without an answer", f.ID, q.a.Router, q.a.Life)})
			case f.How == history.Crossed, excused:
			case f.How == history.Broken || f.How == history.Silent:
				out = append(out, Broken{"lost", e.At, fmt.Sprintf("request %s (%s) at %s.%d is %v after %v", f.ID, q.a.Class, q.a.Router, q.a.Life, f.How, e.At-q.at)})
			case e.At-q.at > q.a.Within+r.Late:
				out = append(out, Broken{"late", e.At, fmt.Sprintf("request %s (%s) at %s.%d is %v after %v of %v", f.ID, q.a.Class, q.a.Router, q.a.Life, f.How, e.At-q.at, q.a.Within)})
			}
		}
	}
	for id, q := range asked {
		out = append(out, Broken{"lost", q.at, fmt.Sprintf("request %s has no end", id)})
	}
	return out
}

// Twice checks that no write runs twice.
func Twice(_ Rules, all []history.Entry) (out []Broken) {
	writes, ran := map[string]bool{}, map[string]string{}
	for _, e := range all {
		switch f := e.Fact.(type) {
		case history.Came:
			if f.Write {
				writes[f.ID] = true
			}
		case history.Ran:
			if !f.Served || !writes[f.ID] {
				continue
			}
			if first := ran[f.ID]; first != "" {
				out = append(out, Broken{"twice", e.At, fmt.Sprintf("write %s has run at %s and at %s", f.ID, first, f.Member)})
			}
			ran[f.ID] = f.Member
		}
	}
	return out
}

// seen is how much later than it happened the rig may note that a router has given up a connection.
const seen = 100 * time.Millisecond

// Copies checks that no statement comes to a machine while an earlier copy is out at one, on a connection that its router
// has not given up.
func Copies(_ Rules, all []history.Entry) (out []Broken) {
	at, given := map[string]history.Came{}, map[string]time.Duration{}
	for _, e := range all {
		if f, ok := e.Fact.(history.GivenUp); ok {
			given[f.Conn] = e.At
		}
	}
	for _, e := range all {
		switch f := e.Fact.(type) {
		case history.Came:
			o, is := at[f.ID]
			if up, gave := given[o.Conn]; is && (!gave || up > e.At+seen) {
				out = append(out, Broken{"copies", e.At, fmt.Sprintf("%s comes to %s while it is out at %s", f.ID, f.Member, o.Member)})
			}
			at[f.ID] = f
		case history.Ran:
			if at[f.ID].Member == f.Member {
				delete(at, f.ID)
			}
		}
	}
	return out
}

// Drains checks that nothing is sent to a machine later than the grace after the router was told that it drains or is
// gone. A statement that the relay has held was sent when it entered it.
func Drains(r Rules, all []history.Entry) (out []Broken) {
	type seat struct {
		life
		member string
	}
	leaves := map[seat]time.Duration{}
	for _, e := range all {
		switch f := e.Fact.(type) {
		case history.Told:
			k := seat{life{f.Router, f.Life}, f.Member}
			if f.State == "ready" {
				delete(leaves, k)
				continue
			}
			at := e.At
			if f.Cut {
				at += r.Unarrived
			}
			if was, is := leaves[k]; !is || at < was {
				leaves[k] = at
			}
		case history.Came:
			at, is := leaves[seat{life{f.Router, f.Life}, f.Member}]
			if sent := e.At - f.Held; is && sent > at+r.Grace {
				out = append(out, Broken{"drain", e.At, fmt.Sprintf("%s.%d sends %s to %s %v after it was told that it leaves", f.Router, f.Life, f.ID, f.Member, sent-at)})
			}
		}
	}
	return out
}

// Cold checks that no cold machine is pushed over, by all routers together.
func Cold(_ Rules, all []history.Entry) (out []Broken) {
	for _, e := range all {
		if f, ok := e.Fact.(history.Pushed); ok {
			out = append(out, Broken{"cold", e.At, f.String()})
		}
	}
	return out
}

// Stale checks that no read is answered from before what it has to see. A machine that leads or led is excused until an
// answer has told that router that it is a replica.
func Stale(_ Rules, all []history.Entry) (out []Broken) {
	type seat struct {
		life
		member string
	}
	replica, came := map[seat]bool{}, map[string]history.Came{}
	excused := map[string]bool{}
	for _, e := range all {
		switch f := e.Fact.(type) {
		case history.Came:
			came[f.ID+f.Member] = f
			excused[f.ID+f.Member] = f.Led && !replica[seat{life{f.Router, f.Life}, f.Member}]
		case history.Ran:
			k := f.ID + f.Member
			if c, ok := came[k]; ok && f.Served && !c.Write && c.See > f.Position && !excused[k] {
				out = append(out, Broken{"stale", e.At, fmt.Sprintf("%s is answered by %s from %v before what it has to see", f.ID, f.Member, c.See-f.Position)})
			}
			delete(came, k)
			if !f.Gone {
				replica[seat{life{f.Router, f.Life}, f.Member}] = !f.Primary
			}
		}
	}
	return out
}
