package fleet

import (
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/router"
	"limeladder/internal/simulation/model"
)

// request is what a client wants, over all its tries. It implements router.Client.
type request struct {
	f       *Fleet
	id      int
	class   *Class
	bank    int64
	session *session
	need    time.Duration
	born    time.Duration
	until   time.Duration // its client gives up then
	see     time.Duration // the position that it has to see, as its client knew it when it asked
	tries   int
	at      *instance // who has it now
	life    int
	handle  string
	over    bool
	left    bool
	out     int // copies of it at machines
	runs    int
	answers int // final answers to this try
	live    int // attempts of this try that its router has out, whatever the class
	sent    int // statements of this try that a router has written
	pos     time.Duration
}

// request lets one come.
func (f *Fleet) request() {
	f.last++
	pick, sum := f.rng.Float64(), 0.0
	for _, k := range f.cfg.Classes {
		sum += k.Share
	}
	pick *= sum
	k := &f.cfg.Classes[len(f.cfg.Classes)-1]
	for i := range f.cfg.Classes {
		if pick < f.cfg.Classes[i].Share {
			k = &f.cfg.Classes[i]
			break
		}
		pick -= f.cfg.Classes[i].Share
	}
	q := &request{f: f, id: f.last, class: k, session: &f.sessions[f.rng.IntN(len(f.sessions))], need: max(time.Microsecond, k.Work.Draw(f.rng)), born: f.clock.Now()}
	q.bank = int64(q.session.bank + 1)
	q.until = q.born + k.ClientTimeout
	f.inHand++
	f.obs.came(q)
	if f.cfg.Leave > 0 && f.rng.Float64() < f.cfg.Leave {
		f.clock.After(time.Duration(f.rng.Float64()*float64(k.ClientTimeout)/2), q.leave)
	}
	f.clock.At(q.until, q.giveUp)
	q.send()
}

// send hands it to a router: any of them if its session roams.
func (q *request) send() {
	f := q.f
	r := f.routers[f.rng.IntN(len(f.routers))]
	if home := q.session.home; home >= 0 && f.routers[home].alive {
		r = f.routers[home]
	}
	for range 8 {
		if r.alive {
			break
		}
		r = f.routers[f.rng.IntN(len(f.routers))]
	}
	q.tries++
	q.answers, q.sent, q.live, q.at = 0, 0, 0, nil
	way := f.jitter(f.cfg.Client)
	f.clock.After(way, func() {
		now := f.clock.Now()
		if q.over || q.left {
			return
		}
		if !r.alive {
			q.again(0)
			return
		}
		q.at, q.life = r, r.life
		switch q.see = 0; q.class.Consistency {
		case balance.ConsistencySession:
			q.see = q.session.wrote
		case balance.ConsistencyLatest:
			q.see = now
		}
		x := router.Request{
			ClientRequestID: fmt.Sprint("q", q.id, ".", q.tries), Class: q.class.Name, Group: q.bank, Session: fmt.Sprint("s", q.id%len(f.sessions)),
			ClientTimeout: q.until - now - f.cfg.Client, ReceivedAt: now, Retry: q.tries > 1, Job: q,
		}
		if q.class.Consistency == balance.ConsistencySession {
			x.MinPosition = q.see
		}
		id, err := r.core.Accept(x, q)
		if err != nil {
			q.again(0)
			return
		}
		q.handle = id
		r.turn()
	})
}

// answered notes a final answer; there is one for each try.
func (q *request) answered() bool {
	if q.answers++; q.answers > 1 {
		q.f.obs.fault("answered", "request %d has %d answers", q.id, q.answers)
		return false
	}
	return true
}

// Served implements router.Client.
func (q *request) Served(a router.Response) {
	if !q.answered() {
		return
	}
	q.pos = a.(time.Duration)
	q.f.clock.After(q.f.jitter(q.f.cfg.Client), func() {
		if q.class.Consistency == balance.ConsistencyWrite {
			q.session.wrote = max(q.session.wrote, q.pos)
		}
		q.end(served)
	})
}

// Refused implements router.Client.
func (q *request) Rejected(after time.Duration) {
	if q.answered() {
		q.f.obs.refused(q)
		q.f.clock.After(q.f.jitter(q.f.cfg.Client), func() { q.again(after) })
	}
}

// Failed implements router.Client.
func (q *request) Failed(string) {
	if q.answered() {
		q.f.clock.After(q.f.jitter(q.f.cfg.Client), func() {
			if q.class.Idempotency == balance.Idempotent {
				q.again(0)
			} else {
				q.end(failed)
			}
		})
	}
}

// Gone implements router.Client: the model tells at once.
func (q *request) Disconnected(bool) bool { return q.left }

// Begun, Part and Cut implement router.Client; answers of the model are short.
func (q *request) ResponseStarted(router.Response, router.FlowController) {}
func (q *request) ResponsePart([]byte)                                    {}
func (q *request) ResponseTruncated()                                     { q.Failed("cut") }

// again asks once more, as clients do.
func (q *request) again(after time.Duration) {
	f := q.f
	if q.over || q.left {
		return
	}
	wait := f.cfg.Backoff
	if f.rng.Float64() < f.cfg.Honour {
		wait = max(wait, after)
	}
	if q.tries > f.cfg.Retries || f.clock.Now()+wait >= q.until {
		q.end(refusedOnes)
		return
	}
	f.clock.After(wait, func() {
		if !q.over && !q.left {
			q.send()
		}
	})
}

func (q *request) leave() {
	if q.over {
		return
	}
	q.left = true
	if q.at != nil && q.at.alive && q.at.life == q.life && q.answers == 0 {
		q.at.core.Disconnect(q.handle)
		q.at.turn()
	}
	q.end(gone)
}

// giveUp ends it when its client's time is over. A router that holds it then has broken the rules.
func (q *request) giveUp() {
	if q.over {
		return
	}
	if q.at != nil && q.at.alive && q.at.life == q.life && q.answers == 0 {
		q.f.obs.fault("late", "request %d of %s was not answered in time by %v", q.id, q.class.Name, q.at)
	}
	q.left = true
	q.end(expired)
}

func (q *request) end(how ending) {
	if q.over {
		return
	}
	q.over = true
	q.f.inHand--
	q.f.obs.ended(q, how)
}

// orphans are the requests that a router had when it ended: their clients see the connection close.
func (f *Fleet) orphans(r *instance) {
	for _, q := range f.obs.open(r) {
		q.answers++
		f.clock.After(f.jitter(f.cfg.Client), func() {
			if q.class.Idempotency == balance.Idempotent {
				q.again(0)
			} else {
				q.end(failed)
			}
		})
	}
}

// ran notes that a machine has run a copy, which had to see a position.
func (f *Fleet) ran(q *request, m *model.Endpoint, pos, see time.Duration) {
	q.runs++
	f.obs.ran(q, m, pos, see)
}
