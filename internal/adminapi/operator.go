// Package adminapi is where operators call: HTTP/1.1, one call to a connection. It runs beside all clients' work, so its
// connections are few, have places of their own, and enter the loop by Loop.Urgent.
package adminapi

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// Router is what operators act on. Every done is called once, in the loop.
type Router interface {
	// Takes says whether this process takes clients.
	Takes() bool
	// Suspend takes a db machine out, or lets it back in. known is false for one that was never listed.
	Suspend(id string, out bool, done func(known bool))
	// Drain empties the router, or ends that.
	Drain(on bool, done func())
	// Cells is the state of all banks as JSON; off says that nothing is held here.
	Cells() (p []byte, off bool)
	// Sites is what has become of each site and what its loss would mean, as JSON or as a table; off says that they are not watched.
	Sites(table bool) (text string, off bool)
	// Declare says that a site is lost, for so long at most; 0 takes it back. known lists the sites there are where it is none.
	Declare(site string, length time.Duration) (ok bool, known []string, off bool)
	// Pace says that a site may be used for a part of its power at most, for so long; 0 for length takes it back.
	Pace(site string, part float64, length time.Duration) (ok bool, known []string, off bool)
	// Changeover says that a bank's primary is about to change: its writes are held until then, for so long at most.
	Changeover(cell int64, limit time.Duration) (known, off bool)
}

// The time limit of an announced change of primary, where the call names none, and the longest.
const (
	changeoverUsual = 5 * time.Second
	changeoverMost  = time.Minute
)

// Server answers operators' calls. All of it runs in the loop's goroutine.
type Server struct {
	loop   *eventloop.Loop
	lim    limits.Limits
	log    *slog.Logger
	router Router
	open   []*conn // in the order they came
}

// New returns a Server; its connections come by Accept.
func New(l *eventloop.Loop, lim limits.Limits, log *slog.Logger, r Router) *Server {
	return &Server{loop: l, lim: lim, log: log, router: r}
}

// Accept takes a new connection.
func (s *Server) Accept(c *transport.Conn) transport.Handler {
	k := &conn{server: s, sock: c}
	s.open = append(s.open, k)
	k.timer = s.loop.AfterFunc(s.lim.AdminAPI.CallTimeout, func() { k.answer(http.StatusRequestTimeout, "the call does not end") })
	// Guards the next caller: those that finish no call must not hold all places until their time is up.
	if len(s.open) > s.lim.AdminAPI.Connections/2 {
		for _, o := range s.open {
			if !o.whole {
				o.drop()
				break
			}
		}
	}
	return k
}

// conn is one caller.
type conn struct {
	server *Server
	sock   *transport.Conn
	timer  *eventloop.Timer
	buf    []byte
	whole  bool // its call has come
	told   bool // its answer is written
	over   bool
}

// Data implements transport.Handler.
func (k *conn) Data(p []byte) {
	if k.whole || k.over {
		return // one call to a connection
	}
	k.buf = append(k.buf, p...)
	c, whole, err := parse(k.buf, k.server.lim.AdminAPI.CallBytes)
	switch {
	case err != nil:
		status := http.StatusBadRequest
		switch {
		case errors.Is(err, errLong):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errVersion):
			status = http.StatusHTTPVersionNotSupported
		case errors.Is(err, errLength):
			status = http.StatusLengthRequired
		}
		k.answer(status, err.Error())
	case whole:
		k.whole, k.buf = true, nil
		k.serve(c)
	}
}

// Closed implements transport.Handler.
func (k *conn) Closed(error) { k.drop() }

// serve carries out a call.
func (k *conn) serve(c call) {
	r := k.server.router
	method := http.MethodPost
	var act func()
	switch p := c.path; {
	case len(p) == 2 && p[0] == "v1" && p[1] == "readyz":
		method = http.MethodGet
		act = func() {
			if r.Takes() {
				k.answer(http.StatusOK, "ready")
			} else {
				k.answer(http.StatusServiceUnavailable, "takes no clients")
			}
		}
	case len(p) == 4 && p[0] == "v1" && p[1] == "db-machines" && p[2] != "" && (p[3] == "suspend" || p[3] == "resume"):
		act = func() {
			r.Suspend(p[2], p[3] == "suspend", func(known bool) {
				k.server.log.Info("operator", "call", p[3], "node", p[2], "known", known)
				if known {
					k.answer(http.StatusOK, p[3]+"ed")
				} else {
					k.answer(http.StatusNotFound, "no db machine of that id was ever listed")
				}
			})
		}
	case len(p) == 3 && p[0] == "v1" && p[1] == "router" && (p[2] == "drain" || p[2] == "activate"):
		act = func() {
			r.Drain(p[2] == "drain", func() {
				k.server.log.Info("operator", "call", p[2])
				k.answer(http.StatusOK, p[2]+" begun")
			})
		}
	case len(p) == 2 && p[0] == "v1" && p[1] == "cells":
		method = http.MethodGet
		act = func() {
			if text, off := r.Cells(); off {
				k.answer(http.StatusNotFound, "nothing is held through a change of primary here: [changeover] is off")
			} else {
				k.answer(http.StatusOK, string(text), "Content-Type: application/json")
			}
		}
	case len(p) == 2 && p[0] == "v1" && p[1] == "sites":
		method = http.MethodGet
		act = func() {
			table := c.query.Get("as") == "table"
			switch text, off := r.Sites(table); {
			case off:
				k.answer(http.StatusNotFound, sitesOff)
			case table:
				k.answer(http.StatusOK, text)
			default:
				k.answer(http.StatusOK, text, "Content-Type: application/json")
			}
		}
	case len(p) == 4 && p[0] == "v1" && p[1] == "sites" && (p[3] == "lost" || p[3] == "found"):
		act = func() { k.declare(p[2], p[3] == "lost", c.query.Get("limit")) }
	case len(p) == 4 && p[0] == "v1" && p[1] == "sites" && (p[3] == "pace" || p[3] == "free"):
		act = func() { k.pace(p[2], p[3] == "pace", c.query.Get("part"), c.query.Get("limit")) }
	case len(p) == 4 && p[0] == "v1" && p[1] == "cells" && p[3] == "changeover":
		act = func() { k.changeover(p[2], c.query.Get("limit")) }
	default:
		k.answer(http.StatusNotFound, "no such path")
		return
	}
	if c.method != method {
		k.answer(http.StatusMethodNotAllowed, method+" only", "Allow: "+method)
		return
	}
	act()
}

// changeover carries out the announcement of a change of primary.
func (k *conn) changeover(cell, limit string) {
	id, err := strconv.ParseInt(cell, 10, 64)
	if err != nil {
		k.answer(http.StatusNotFound, "no cell of that number")
		return
	}
	within := changeoverUsual
	if limit != "" {
		if within, err = time.ParseDuration(limit); err != nil || within <= 0 || within > changeoverMost {
			k.answer(http.StatusBadRequest, "limit: a time such as 5s, one minute at most")
			return
		}
	}
	known, off := k.server.router.Changeover(id, within)
	k.server.log.Info("operator", "call", "changeover", "cell", id, "limit", within, "known", known)
	switch {
	case off:
		k.answer(http.StatusNotFound, "nothing is held through a change of primary here: [changeover] is off")
	case !known:
		k.answer(http.StatusNotFound, "no cell of that number is known")
	default:
		k.answer(http.StatusOK, "writes are held")
	}
}

const sitesOff = "sites are not watched here: [sites] watch is off"

// The time limit of a site that is declared lost, where the call names none, and the longest.
const (
	declareUsual = 5 * time.Minute
	declareMost  = 24 * time.Hour
)

// length is for how long an operator's word on a site holds; of one that is taken back it is 0.
func (k *conn) length(holds bool, limit string) (length time.Duration, ok bool) {
	if !holds {
		return 0, true
	}
	if limit == "" {
		return declareUsual, true
	}
	length, err := time.ParseDuration(limit)
	if err != nil || length <= 0 || length > declareMost {
		k.answer(http.StatusBadRequest, "limit: a time such as 5m, one day at most")
		return 0, false
	}
	return length, true
}

// pace carries out an operator's word on the return of a site.
func (k *conn) pace(site string, bound bool, text, limit string) {
	part := 1.0
	if bound {
		var err error
		if part, err = strconv.ParseFloat(text, 64); err != nil || !(part >= 0 && part <= 1) {
			k.answer(http.StatusBadRequest, "part: what may be used of the site, from 0, which forbids its return, to 1")
			return
		}
	}
	length, ok := k.length(bound, limit)
	if !ok {
		return
	}
	ok, known, off := k.server.router.Pace(site, part, length)
	k.server.log.Info("operator", "call", "pace", "site", site, "part", part, "limit", length, "known", ok)
	switch {
	case off:
		k.answer(http.StatusNotFound, "no return is paced here: [sites] act is off")
	case !ok:
		k.answer(http.StatusNotFound, "no site of that name; there are: "+strings.Join(known, ", "))
	case bound:
		k.answer(http.StatusOK, "bound")
	default:
		k.answer(http.StatusOK, "paced by evidence")
	}
}

// declare carries out an operator's word on a site.
func (k *conn) declare(site string, lost bool, limit string) {
	length, ok := k.length(lost, limit)
	if !ok {
		return
	}
	ok, known, off := k.server.router.Declare(site, length)
	k.server.log.Info("operator", "call", "site", "site", site, "lost", lost, "limit", length, "known", ok)
	switch {
	case off:
		k.answer(http.StatusNotFound, sitesOff)
	case !ok:
		k.answer(http.StatusNotFound, "no site of that name; there are: "+strings.Join(known, ", "))
	case lost:
		k.answer(http.StatusOK, "taken for lost")
	default:
		k.answer(http.StatusOK, "judged by evidence")
	}
}

// answer ends the call and the connection.
func (k *conn) answer(status int, text string, header ...string) {
	if k.over {
		return
	}
	if len(header) == 0 || !strings.HasPrefix(header[0], "Content-Type:") {
		header = append(header, "Content-Type: text/plain; charset=utf-8")
	}
	p := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), len(text)+1)
	for _, h := range header {
		p = append(append(p, h...), "\r\n"...)
	}
	// A connection that takes no answer is broken, and it is dropped below all the same.
	_ = k.sock.Write(append(append(append(p, "\r\n"...), text...), '\n'))
	k.told = true
	k.drop()
}

// drop closes the connection, once an answer that was written is taken.
func (k *conn) drop() {
	if k.over {
		return
	}
	k.over = true
	k.timer.Stop()
	if k.told {
		k.sock.Finish(k.server.lim.Frontend.FlushTimeout)
	} else {
		k.sock.Close() // nothing is owed to it, and others wait for its place
	}
	open := k.server.open[:0]
	for _, o := range k.server.open {
		if o != k {
			open = append(open, o)
		}
	}
	clear(k.server.open[len(open):])
	k.server.open = open
}
