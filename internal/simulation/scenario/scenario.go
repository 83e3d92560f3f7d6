// Package scenario reads a rehearsal from a Starlark script: a fleet, its load, what befalls it and what is expected. A
// script has no clock, no files and no chance of its own, so what it describes is the same every time.
package scenario

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"limeladder/balance"
	"limeladder/internal/simulation/fleet"
)

// Scenario is one.
type Scenario struct {
	Name   string // of its file
	About  string
	Config fleet.Config
	Expect []Expectation
}

// Expectation bounds a figure of the result.
type Expectation struct {
	Figure string
	Least  float64 // NaN = no bound
	Most   float64
	Where  string // file and line
}

// What a script may take at most.
const (
	mostSteps = 5_000_000
	mostBytes = 1 << 20
	mostItems = 10_000
)

// Load runs a script. An error is one line with file, line and what is wrong.
func Load(file string, src []byte) (s *Scenario, err error) {
	if len(src) > mostBytes {
		return nil, fmt.Errorf("%s: longer than %d bytes", file, mostBytes)
	}
	s = &Scenario{Name: strings.TrimSuffix(filepath.Base(file), ".star"), Config: fleet.Default()}
	r := &reader{s: s}
	thread := &starlark.Thread{Name: s.Name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(mostSteps)
	names := starlark.StringDict{}
	for name, f := range map[string]func(t *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error){
		"about": r.about, "fleet": r.fleet, "machine": r.machine, "follow": r.follow, "network": r.network, "clients": r.clients, "traffic": r.traffic,
		"jump": r.jump, "request_class": r.class, "only": r.only, "hold": r.hold, "at": r.at, "when": r.when, "expect": r.expect,
	} {
		names[name] = builtin(name, f)
	}
	for _, what := range append(slices.Clone(fleet.Faults), fleet.RigFaults...) {
		names[what] = builtin(what, r.fault(what))
	}
	_, err = starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true, Set: true}, thread, file, src, names)
	if err != nil {
		return nil, oneLine(file, err)
	}
	if err := s.Config.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// oneLine says where a script went wrong.
func oneLine(file string, err error) error {
	var eval *starlark.EvalError
	if errors.As(err, &eval) {
		for i := len(eval.CallStack) - 1; i >= 0; i-- {
			if pos := eval.CallStack[i].Pos; pos.IsValid() && pos.Filename() == file {
				return fmt.Errorf("%s:%d: %s", file, pos.Line, strings.ReplaceAll(eval.Msg, "\n", " "))
			}
		}
		return fmt.Errorf("%s: %s", file, strings.ReplaceAll(eval.Msg, "\n", " "))
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " ")) // the parser and the resolver name file and line
}

type reader struct {
	s   *Scenario
	own bool // the script has named a class of its own
}

func builtin(name string, f func(*starlark.Thread, starlark.Tuple, map[string]starlark.Value) (starlark.Value, error)) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		kw := map[string]starlark.Value{}
		for _, k := range kwargs {
			kw[string(k[0].(starlark.String))] = k[1]
		}
		v, err := f(t, args, kw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		return v, nil
	})
}

// field sets one thing from a value.
type field func(v starlark.Value) error

func number(v starlark.Value) (float64, error) {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s is no number", v)
	}
	return f, nil
}

func float(to *float64, least, most float64) field {
	return func(v starlark.Value) error {
		f, err := number(v)
		if err == nil && (f < least || f > most) {
			err = fmt.Errorf("%v is not within %v and %v", f, least, most)
		}
		if err == nil {
			*to = f
		}
		return err
	}
}

func whole(to *int, least, most int) field {
	return func(v starlark.Value) error {
		i, ok := v.(starlark.Int)
		n, fits := int64(0), false
		if ok {
			n, fits = i.Int64()
		}
		switch {
		case !ok || !fits:
			return fmt.Errorf("%s is no whole number", v)
		case n < int64(least) || n > int64(most):
			return fmt.Errorf("%d is not within %d and %d", n, least, most)
		}
		*to = int(n)
		return nil
	}
}

func truth(to *bool) field {
	return func(v starlark.Value) error {
		b, ok := v.(starlark.Bool)
		if !ok {
			return fmt.Errorf("%s is neither True nor False", v)
		}
		*to = bool(b)
		return nil
	}
}

// span reads a time in a unit.
func span(to *time.Duration, unit time.Duration) field {
	return func(v starlark.Value) error {
		f := 0.0
		if err := float(&f, 0, float64(24*time.Hour/unit))(v); err != nil {
			return err
		}
		*to = time.Duration(math.Round(f * float64(unit)))
		return nil
	}
}

// spans reads a pair of times, or one for both.
func spans(to *[2]time.Duration, unit time.Duration) field {
	return func(v starlark.Value) error {
		if t, ok := v.(starlark.Indexable); ok && t.Len() == 2 {
			for i := range 2 {
				if err := span(&to[i], unit)(t.Index(i)); err != nil {
					return err
				}
			}
			if to[1] < to[0] {
				return fmt.Errorf("%s: the second is less than the first", v)
			}
			return nil
		}
		if err := span(&to[0], unit)(v); err != nil {
			return err
		}
		to[1] = to[0]
		return nil
	}
}

func text(to *string) field {
	return func(v starlark.Value) error {
		s, ok := starlark.AsString(v)
		if !ok {
			return fmt.Errorf("%s is no text", v)
		}
		*to = s
		return nil
	}
}

func texts(to *[]string) field {
	return func(v starlark.Value) error {
		if s, ok := starlark.AsString(v); ok {
			*to = []string{s}
			return nil
		}
		it, ok := v.(starlark.Sequence)
		if !ok || it.Len() > mostItems {
			return fmt.Errorf("%s is no list of texts", v.Type())
		}
		out := []string{}
		iter := it.Iterate()
		defer iter.Done()
		for x := starlark.Value(nil); iter.Next(&x); {
			s, ok := starlark.AsString(x)
			if !ok {
				return fmt.Errorf("%s is no text", x)
			}
			out = append(out, s)
		}
		*to = out
		return nil
	}
}

// checks reads what machines do with reads that they are too far behind for.
func checks(to *balance.FreshnessCheck) field {
	return func(v starlark.Value) error {
		var word string
		if err := text(&word)(v); err != nil {
			return err
		}
		switch word {
		case "refuse":
			*to = balance.FreshnessCheckReject
		case "answer":
			*to = balance.FreshnessCheckNone
		default:
			return fmt.Errorf("%s is neither refuse nor answer", word)
		}
		return nil
	}
}

// set takes what a call names, and nothing else.
func set(args starlark.Tuple, kw map[string]starlark.Value, fields map[string]field) error {
	if len(args) > 0 {
		return errors.New("takes names only, as in name=value")
	}
	for _, name := range slices.Sorted(maps.Keys(kw)) {
		f := fields[name]
		if f == nil {
			return fmt.Errorf("nothing is called %s", name)
		}
		if err := f(kw[name]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (r *reader) about(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	if len(args) != 1 || len(kw) > 0 {
		return nil, errors.New("takes a text")
	}
	return starlark.None, text(&r.s.About)(args[0])
}

func (r *reader) fleet(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	c := &r.s.Config
	return starlark.None, set(args, kw, map[string]field{
		"routers": whole(&c.Routers, 1, 2000), "banks": whole(&c.Banks, 1, 5000), "members": whole(&c.Members, 1, 50), "spares": whole(&c.Spares, 0, 50),
		"zones": texts(&c.Zones), "memory_mb": whole(&c.MemoryMB, 16, 1<<16), "sockets": whole(&c.Sockets, 128, 1<<20), "tries": whole(&c.MostTries, 0, 1000),
		"grace_ms": span(&c.Grace, time.Millisecond), "sites": text(&c.Sites), "come_back_s": span(&c.Comeback, time.Second), "checks": checks(&c.Checks),
		"probe_price": float(&c.ProbePrice, 0, 1), "held_back": float(&c.HeldBack, 0, 1), "cancel": truth(&c.Cancel), "harm_cold_budget": truth(&c.HarmColdBudget),
		"connect_ms": span(&c.ConnectWithin, time.Millisecond), "idle_s": span(&c.ConnIdle, time.Second),
	})
}

func (r *reader) machine(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	k := &r.s.Config.Kind
	return starlark.None, set(args, kw, map[string]field{
		"cores": whole(&k.Cores, 1, 1024), "speed": float(&k.Speed, 0.001, 1000), "slots": whole(&k.Slots, 1, 1<<16), "room": whole(&k.Room, 0, 1<<20),
		"thrash": float(&k.Thrash, 0, 10), "thrash_at": float(&k.ThrashAt, 0, 1000), "cold_from": float(&k.ColdFrom, 0.01, 1), "cold_s": span(&k.ColdFor, time.Second),
		"warm_by_work": truth(&k.WarmByWork), "fall_multiple": float(&k.FallMultiple, 0.1, 1000), "fall_s": span(&k.FallFor, time.Second), "fall_back_s": span(&k.FallBack, time.Second),
		"connections": whole(&k.Conns, 0, 1<<20), "full_tax": float(&k.FullTax, 0, 0.95), "handshake_ms": span(&k.Handshake, time.Millisecond), "probe_ms": span(&k.ProbeWork, time.Millisecond),
		"refresh_ms": span(&k.Refresh, time.Millisecond), "noise": float(&k.Noise, 0, 10), "errors": float(&k.Errors, 0, 1), "cancel_stops": truth(&k.CancelAll), "drops_late": truth(&k.DropsLate),
	})
}

func (r *reader) follow(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	f := &r.s.Config.Follow
	return starlark.None, set(args, kw, map[string]field{
		"ship_ms": span(&f.Ship, time.Millisecond), "apply_ms": span(&f.Apply, time.Millisecond), "detect_s": spans(&f.Detect, time.Second),
		"stand_s": spans(&f.Stand, time.Second), "hand_over_s": spans(&f.HandOver, time.Second), "resync_s": span(&f.Resync, time.Second),
	})
}

func (r *reader) network(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	c := &r.s.Config
	return starlark.None, set(args, kw, map[string]field{
		"same_ms": span(&c.Same, time.Millisecond), "cross_ms": span(&c.Cross, time.Millisecond), "client_ms": span(&c.Client, time.Millisecond),
		"jitter": float(&c.Jitter, 0, 10), "notice_s": spans(&c.Notice, time.Second), "silent_s": spans(&c.Silent, time.Second), "call_ms": span(&c.Call, time.Millisecond),
		"call_within_s": span(&c.CallWithin, time.Second), "pushed": truth(&c.Pushed), "role_lag_s": spans(&c.RoleLag, time.Second),
	})
}

func (r *reader) clients(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	c := &r.s.Config
	return starlark.None, set(args, kw, map[string]field{
		"retries": whole(&c.Retries, 0, 1000), "honour": float(&c.Honour, 0, 1), "backoff_ms": span(&c.Backoff, time.Millisecond),
		"leave": float(&c.Leave, 0, 1), "sessions": whole(&c.Sessions, 1, 1<<20), "roam": float(&c.Roam, 0, 1),
	})
}

func (r *reader) traffic(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	c := &r.s.Config
	return starlark.None, set(args, kw, map[string]field{"use": float(&c.Use, 0.001, 20), "length_s": span(&c.Length, time.Second), "bursts": float(&c.Bursts, 0, 5)})
}

func (r *reader) jump(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	x := fleet.Step{Part: 1}
	err := set(args, kw, map[string]field{"at_s": span(&x.At, time.Second), "ramp_s": span(&x.Ramp, time.Second), "to": float(&x.Part, 0, 100)})
	shape := r.s.Config.Shape
	if err == nil && len(shape) > 0 && x.At < shape[len(shape)-1].At {
		err = errors.New("at_s: before the jump that stands above it")
	}
	if len(shape) > mostItems {
		err = errors.New("too many")
	}
	r.s.Config.Shape = append(shape, x)
	return starlark.None, err
}

var needs = map[string]balance.Consistency{"any": balance.ConsistencyAny, "bounded": balance.ConsistencyBounded, "session": balance.ConsistencySession, "latest": balance.ConsistencyLatest, "update": balance.ConsistencyWrite}

func (r *reader) class(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	k, need, safe := fleet.Class{}, "any", true
	k.Work.Exp = true
	k.PriorityWeight, k.LateWeightShare = 1, 0.2
	err := set(args, kw, map[string]field{
		"name": text(&k.Name), "share": float(&k.Share, 0, 1000), "work_ms": span(&k.Work.Mean, time.Millisecond), "cv": float(&k.Work.CV, 0, 20),
		"aim_ms": span(&k.LatencyObjective, time.Millisecond), "deadline_ms": span(&k.ClientTimeout, time.Millisecond), "worth": float(&k.PriorityWeight, 0, 1e6), "late": float(&k.LateWeightShare, 0, 1),
		"need": text(&need), "bound_ms": span(&k.MaxStaleness, time.Millisecond), "safe": truth(&safe), "long": truth(&k.Long),
	})
	var ok bool
	if k.Consistency, ok = needs[need]; err == nil && !ok {
		err = fmt.Errorf("need: nothing is called %s", need)
	}
	if err == nil && (k.Name == "" || k.ClientTimeout == 0 || k.Work.Mean == 0) {
		err = errors.New("name, work_ms and deadline_ms are needed")
	}
	k.Work.Exp = k.Work.CV == 0
	if !safe || k.Consistency == balance.ConsistencyWrite {
		k.Idempotency = balance.NonIdempotent
	}
	if !r.own { // the first one takes the place of the usual ones
		r.own, r.s.Config.Classes = true, nil
	}
	r.s.Config.Classes = append(r.s.Config.Classes, k)
	return starlark.None, err
}

// only keeps some of the usual classes.
func (r *reader) only(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	var names []string
	if len(args) != 1 || len(kw) > 0 {
		return nil, errors.New("takes a list of classes")
	}
	if err := texts(&names)(args[0]); err != nil {
		return nil, err
	}
	var kept []fleet.Class
	for _, name := range names {
		found := false
		for _, k := range r.s.Config.Classes {
			if k.Name == name {
				kept, found = append(kept, k), true
			}
		}
		if !found {
			return nil, fmt.Errorf("no class is called %s", name)
		}
	}
	r.s.Config.Classes = kept
	return starlark.None, nil
}

func (r *reader) hold(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	if len(args) != 1 || len(kw) > 0 {
		return nil, errors.New("takes a list of classes")
	}
	return starlark.None, texts(&r.s.Config.Hold)(args[0])
}

// fault makes what is handed to at and when.
type fault struct{ fleet.Fault }

func (fault) String() string        { return "fault" }
func (fault) Type() string          { return "fault" }
func (fault) Freeze()               {}
func (fault) Truth() starlark.Bool  { return true }
func (fault) Hash() (uint32, error) { return 0, errors.New("no fault is hashable") }

func (r *reader) fault(what string) func(*starlark.Thread, starlark.Tuple, map[string]starlark.Value) (starlark.Value, error) {
	return func(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
		x := fault{fleet.Fault{What: what, Part: 1}}
		for _, a := range args {
			var who []string
			if err := texts(&who)(a); err != nil {
				return nil, err
			}
			x.Who = append(x.Who, who...)
		}
		fields := map[string]field{"length_s": span(&x.For, time.Second)}
		switch what {
		case "slow", "sick":
			fields["part"] = float(&x.Part, 0, 1)
		case "routers":
			fields["part"] = float(&x.Part, 0, 1)
		case "kill", "crash", "term":
			fields = map[string]field{"back_s": span(&x.For, time.Second)}
		case "delay":
			fields["ms"], fields["jitter_ms"] = span(&x.Delay, time.Millisecond), span(&x.Jitter, time.Millisecond)
		case "trickle":
			fields["rate"] = whole(&x.Rate, 1, 1<<30)
		case "reset", "lose":
			fields = nil
		}
		if err := set(nil, kw, fields); err != nil {
			return nil, err
		}
		if what != "discovery" && what != "routers" {
			if len(x.Who) == 0 {
				return nil, errors.New("nobody is named")
			}
			if err := r.known(what, x.Who); err != nil {
				return nil, err
			}
		}
		return x, nil
	}
}

// known says whether names can be those of machines or links.
func (r *reader) known(what string, names []string) error {
	c := r.s.Config
	for _, name := range names {
		switch what {
		case "cut", "delay", "trickle", "reset", "lose":
			from, to, ok := strings.Cut(name, ">")
			if !ok {
				from, to, ok = strings.Cut(name, "=")
			}
			if !ok || from == "" || to == "" {
				return fmt.Errorf("%s is no link such as a>b or a>db1a", name)
			}
			continue
		case "crash", "freeze", "term":
			n, site, of := 0, "", false
			if site, of = strings.CutPrefix(name, "routers:"); of && slices.Contains(c.Zones, site) || name == "*" {
				continue
			}
			if k, _ := fmt.Sscanf(name, "r%d", &n); k == 1 && name == fmt.Sprint("r", n) && n >= 1 && n <= c.Routers {
				continue
			}
			return fmt.Errorf("no router is called %s", name)
		}
		kind, of, ok := strings.Cut(name, ":")
		var bank int
		var member byte
		switch {
		case ok && kind == "zone":
			found := false
			for _, z := range c.Zones {
				found = found || z == of
			}
			if found {
				continue
			}
		case ok && (kind == "bank" || kind == "primary" || kind == "replicas"):
			if _, err := fmt.Sscanf(of, "%d", &bank); err == nil && bank >= 1 && bank <= c.Banks {
				continue
			}
		default:
			if n, _ := fmt.Sscanf(name, "db%d%c", &bank, &member); n == 2 && bank >= 1 && bank <= c.Banks && int(member-'a') < c.Members && member >= 'a' {
				continue
			}
		}
		return fmt.Errorf("nobody is called %s", name)
	}
	return nil
}

func (r *reader) add(x fleet.Fault) error {
	if len(r.s.Config.Faults) >= mostItems {
		return errors.New("too many faults")
	}
	r.s.Config.Faults = append(r.s.Config.Faults, x)
	return nil
}

func (r *reader) at(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	if len(args) < 2 || len(kw) > 0 {
		return nil, errors.New("takes a time in seconds and faults")
	}
	var when time.Duration
	if err := span(&when, time.Second)(args[0]); err != nil {
		return nil, err
	}
	for _, a := range args[1:] {
		x, ok := a.(fault)
		if !ok {
			return nil, fmt.Errorf("%s is no fault", a.Type())
		}
		x.At = when
		if err := r.add(x.Fault); err != nil {
			return nil, err
		}
	}
	return starlark.None, nil
}

// when makes faults follow on something: "lost:BANK", "led:BANK", "down:MACHINE" or "up:MACHINE".
func (r *reader) when(_ *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	var on string
	var after time.Duration
	if len(args) < 2 {
		return nil, errors.New("takes a condition and faults")
	}
	if err := text(&on)(args[0]); err != nil {
		return nil, err
	}
	if err := set(nil, kw, map[string]field{"after_s": span(&after, time.Second)}); err != nil {
		return nil, err
	}
	kind, of, _ := strings.Cut(on, ":")
	switch kind {
	case "lost", "led":
		if err := r.known("", []string{"bank:" + of}); err != nil {
			return nil, err
		}
	case "down", "up":
		if err := r.known("", []string{of}); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("%s is no condition such as lost:1, led:1, down:db1a or up:db1a", on)
	}
	for _, a := range args[1:] {
		x, ok := a.(fault)
		if !ok {
			return nil, fmt.Errorf("%s is no fault", a.Type())
		}
		x.On, x.At = on, after
		if err := r.add(x.Fault); err != nil {
			return nil, err
		}
	}
	return starlark.None, nil
}

func (r *reader) expect(t *starlark.Thread, args starlark.Tuple, kw map[string]starlark.Value) (starlark.Value, error) {
	x := Expectation{Least: math.NaN(), Most: math.NaN()}
	if len(args) != 1 {
		return nil, errors.New("takes a figure")
	}
	if err := text(&x.Figure)(args[0]); err != nil {
		return nil, err
	}
	if err := set(nil, kw, map[string]field{"least": float(&x.Least, -1e12, 1e12), "most": float(&x.Most, -1e12, 1e12)}); err != nil {
		return nil, err
	}
	if math.IsNaN(x.Least) && math.IsNaN(x.Most) {
		return nil, errors.New("least or most is needed")
	}
	if _, ok := Figure(&fleet.Result{}, x.Figure); !ok {
		return nil, fmt.Errorf("no figure is called %s", x.Figure)
	}
	pos := t.CallFrame(1).Pos
	x.Where = fmt.Sprintf("%s:%d", pos.Filename(), pos.Line)
	r.s.Expect = append(r.s.Expect, x)
	return starlark.None, nil
}

// Figure is one of a result, by name.
func Figure(r *fleet.Result, name string) (float64, bool) {
	came, ends, late := 0.0, map[string]float64{}, 0.0
	for _, t := range r.Tally {
		came += float64(t.Came)
		late += float64(t.Late)
		for i, n := range t.Ends {
			ends[fleet.Endings[i]] += float64(n)
		}
	}
	share := func(n float64) float64 { return n / max(1, came) }
	lat := func(i int) float64 {
		if i < len(r.Latency) {
			return 1000 * r.Latency[i]
		}
		return 0
	}
	switch name {
	case "worth":
		return r.Worth, true
	case "top":
		return r.Top, true
	case "whole":
		return r.Whole, true
	case "window":
		return r.Window, true
	case "class":
		return r.Class, true
	case "rules":
		n := 0
		for _, k := range r.Rules {
			n += k
		}
		return float64(n), true
	case "late":
		return share(late), true
	case "p50_ms":
		return lat(0), true
	case "p90_ms":
		return lat(1), true
	case "p99_ms":
		return lat(2), true
	case "changes":
		return float64(r.Changes), true
	case "probes":
		return share(float64(r.Count.Probes)), true
	case "dials":
		return share(float64(r.Count.Dials)), true
	case "attempts":
		return share(float64(r.Count.Attempts)), true
	case "pushed_over":
		return float64(r.Pushed), true
	}
	for _, e := range fleet.Endings {
		if e == name {
			return share(ends[e]), true
		}
	}
	return 0, false
}

// Figures names those that Figure knows, for the command's table.
var Figures = []string{"worth", "top", "whole", "window", "class", "rules", "served", "late", "refused", "failed", "expired", "p50_ms", "p99_ms", "attempts", "probes", "dials", "changes", "pushed_over"}

// Met returns what a result falls short of, each in one line.
func (s *Scenario) Met(r *fleet.Result) (short []string) {
	for _, x := range s.Expect {
		v, _ := Figure(r, x.Figure)
		if v < x.Least || v > x.Most {
			bound := fmt.Sprintf("at least %g", x.Least)
			if v > x.Most {
				bound = fmt.Sprintf("at most %g", x.Most)
			}
			short = append(short, fmt.Sprintf("%s: seed %d: %s is %.4g, expected %s", x.Where, r.Seed, x.Figure, v, bound))
		}
	}
	return short
}
