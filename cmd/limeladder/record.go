package main

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/spool"
	"limeladder/internal/syslog"
)

// recording is the audit record: the recorder in the loop, and behind its queue two goroutines that make messages of the
// records and carry them. All methods belong to the loop's goroutine and work on nil, which is off.
type recording struct {
	log      *slog.Logger
	loop     *eventloop.Loop
	lim      limits.Limits
	dep      config.Deploy
	recorder *audit.Recorder
	queue    *audit.Queue
	shipper  *audit.Shipper
	sender   *syslog.Sender
	states   map[string]string // of db machines, as the list told them last
	flush    time.Duration
}

// startRecording starts what deploy/limeladder.toml turns on, or returns nil.
func startRecording(l *eventloop.Loop, lim limits.Limits, dep config.Deploy, name string, seed uint64, log *slog.Logger) (*recording, error) {
	c, a := dep.Syslog, dep.Audit
	if !c.On() {
		return nil, nil
	}
	policy, err := a.Policy()
	if err != nil {
		return nil, fmt.Errorf("audit.%w", err)
	}
	began := time.Now()
	// The seed is the same in two processes of one router: the id needs chance of its own.
	start := audit.Stem(began, rand.Uint32())
	enc := audit.EncoderOptions{Head: syslog.Head{Facility: c.FacilityCode, Host: cmp.Or(c.Host, syslog.HostName()), App: "limeladder",
		Proc: strconv.Itoa(os.Getpid())}, Enterprise: uint32(c.Enterprise), Most: c.Bytes, Software: "limeladder", Version: version(),
		Start: start, Began: began, Refused: pgwire.TooManyConnections, Failed: pgwire.UnknownOutcome, Quality: clock}
	var key string
	if len(a.Loaded) > 0 {
		enc.Key, key = &a.Loaded[0], a.Loaded[0].Name
	}
	encoder, err := audit.NewEncoder(enc)
	if err != nil {
		return nil, fmt.Errorf("audit.keys: %w", err)
	}
	r := &recording{log: log, loop: l, lim: lim, dep: dep, states: map[string]string{}, flush: cmp.Or(c.Queue.Flush, lim.Syslog.FlushTimeout)}
	r.sender, err = syslog.NewSender(syslog.Options{Collectors: c.Parsed, TLS: c.TLS, Seed: seed, Window: max(lim.Syslog.WindowBytes, 2*c.Bytes),
		Repeat: c.Repeat, Spool: c.Spool.Folder, Name: start, Replay: c.Spool.Replay,
		Disk:    spool.Options{Segment: lim.Syslog.SpoolSegmentBytes, Most: cmp.Or(c.Spool.Bytes, int64(lim.Syslog.SpoolBytes)), Message: c.Bytes},
		Connect: lim.Syslog.ConnectTimeout, Stall: lim.Syslog.StallTimeout, First: lim.Syslog.MinBackoff, Last: lim.Syslog.MaxBackoff, Prefer: lim.Syslog.FailbackInterval}, log)
	if err != nil {
		return nil, fmt.Errorf("syslog.spool.folder: %w", err)
	}
	r.queue = audit.NewQueue(cmp.Or(c.Queue.Records, lim.Audit.QueueRecords), cmp.Or(c.Queue.Bytes, lim.Audit.QueueBytes))
	r.recorder = audit.NewRecorder(policy, r.queue, time.Now)
	r.shipper = audit.NewShipper(audit.ShipperOptions{Gather: lim.Audit.GatherInterval, Heads: uint64(cmp.Or(a.Heads, lim.Audit.ChainHeadMessages)),
		Every: cmp.Or(a.Every, lim.Audit.ChainHeadInterval), Now: time.Now}, r.queue, encoder, r.sender)
	r.recorder.Record(audit.Start{Router: name, Key: key})
	log.Info("recording", "start", start, "collectors", fmt.Sprint(c.Parsed), "spool", c.Spool.Folder, "key", key)
	l.Post(r.tick)
	return r, nil
}

// version is the program's, as its build says.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version[:min(len(info.Main.Version), 32)]
	}
	return "unknown"
}

// clock asks the system how good its clock is.
func clock() audit.Quality {
	var t unix.Timex
	state, err := unix.Adjtimex(&t)
	if err != nil || state == unix.TIME_ERROR || t.Status&unix.STA_UNSYNC != 0 {
		return audit.Quality{}
	}
	return audit.Quality{Synced: true, Accuracy: time.Duration(t.Maxerror) * time.Microsecond}
}

func (r *recording) tick() {
	r.recorder.Tick()
	r.loop.AfterFunc(r.lim.Audit.LossReportInterval, r.tick)
}

// audit is what the core reports to.
func (r *recording) audit() router.Audit {
	if r == nil {
		return nil
	}
	return r.recorder
}

func (r *recording) note(topic, text string) {
	if r != nil {
		r.recorder.Record(audit.Note{Topic: topic, Text: text})
	}
}

func (r *recording) router(state, by string) {
	if r != nil {
		r.recorder.Record(audit.Router{State: state, By: by})
	}
}

func (r *recording) drain(node, state, by string) {
	if r != nil {
		r.recorder.Record(audit.Drain{Node: node, State: state, By: by})
	}
}

// listed records a list, and the db machines that it takes out or lets back in.
func (r *recording) listed(l config.List, kind balance.EndpointListKind) {
	if r == nil || len(l.Servers) == 0 && kind != balance.ListFull {
		return
	}
	e := audit.List{Version: l.Version, Full: kind != balance.ListDelta}
	if e.Full {
		named := map[string]bool{}
		for _, s := range l.Servers {
			named[s.ID] = true
		}
		for id := range r.states {
			if !named[id] {
				delete(r.states, id)
				r.recorder.Record(audit.Drain{Node: id, State: "not listed", By: "list"})
			}
		}
	}
	for _, s := range l.Servers {
		switch s.State {
		case "ready":
			e.Ready++
		case "draining":
			e.Draining++
		default:
			e.Going++
		}
		was, known := r.states[s.ID]
		if was != s.State && (known || s.State != "ready") {
			r.recorder.Record(audit.Drain{Node: s.ID, Group: s.Cell, State: s.State, By: "list"})
		}
		if r.states[s.ID] = s.State; s.State == "gone" {
			delete(r.states, s.ID)
		}
	}
	r.recorder.Record(e)
}

// reloaded records that configuration was read again, or why not.
func (r *recording) reloaded(what string, err error) {
	if r == nil {
		return
	}
	e := audit.Reload{What: what}
	if err != nil {
		e.Err = err.Error()
	}
	r.recorder.Record(e)
}

// change takes what SIGHUP may bring: collectors, their certificates, the key, and the rules. The rest is read at the start.
func (r *recording) change(dep config.Deploy) {
	if r == nil {
		return
	}
	policy, err := dep.Audit.Policy()
	switch {
	case err != nil:
	case !dep.Syslog.On():
		err = fmt.Errorf("syslog.collectors: recording can't be turned off while the program runs")
	case (len(dep.Audit.Loaded) > 0) != (len(r.dep.Audit.Loaded) > 0):
		err = fmt.Errorf("audit.keys: the chain can't be turned on or off while the program runs")
	}
	if err != nil {
		r.log.Error("configuration not taken, the old one stays", "err", err)
		r.reloaded("deploy", err)
		return
	}
	if len(dep.Audit.Loaded) > 0 && dep.Audit.Loaded[0] != r.dep.Audit.Loaded[0] && !r.shipper.Use(dep.Audit.Loaded[0]) {
		r.loop.AfterFunc(r.lim.Audit.LossReportInterval, func() { r.change(dep) })
		return
	}
	r.recorder.Rule(policy)
	r.sender.Change(dep.Syslog.Parsed, dep.Syslog.TLS)
	r.dep = dep
	r.log.Info("recording goes on", "collectors", fmt.Sprint(dep.Syslog.Parsed))
	r.reloaded("deploy", nil)
}

// end records the end and sends what waits, for a bounded time: the program ends whether a collector takes it or not.
func (r *recording) end(c router.Counts) {
	if r == nil {
		return
	}
	r.recorder.End(audit.End{Taken: c.Accepted, Served: c.Served, Refused: c.Rejected, Failed: c.Failed, Left: c.Disconnected})
	left := r.shipper.Close(r.flush / 2)
	r.sender.Close(r.flush / 2)
	s := r.sender.Stats()
	r.log.Info("recording ended", "records", r.recorder.Numbers(), "sent", s.Sent, "spooled", s.Spooled, "lost", uint64(left)+s.Lost)
}
