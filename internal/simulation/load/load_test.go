package load

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/model"
)

// testOptions returns options for a run of two seconds at 300 requests per second.
func testOptions(addr string) Options {
	c := fleet.Default()
	for i := range c.Classes {
		c.Classes[i].Work = model.WorkDistribution{Mean: 200 * time.Microsecond}
	}
	return Options{
		Addr: addr, Rate: 300, Length: 2 * time.Second, Conns: 100,
		Classes: c.Classes, Banks: 1, Sessions: 10, Retries: 2, Honour: 1, Backoff: 20 * time.Millisecond, Seed: 1,
	}
}

// allArrivals returns all due times of a run.
func allArrivals(o Options) (out []time.Duration) {
	for a := newArrivals(&o); ; {
		at, ok := a.nextDue()
		if !ok {
			return out
		}
		out = append(out, at)
	}
}

// Requests become due at the configured rate, kind of arrivals and shape, and the same seed gives the same times.
func TestArrivals(t *testing.T) {
	o := testOptions("127.0.0.1:1")
	o.Rate, o.Length = 1000, 20*time.Second
	for _, how := range []string{"poisson", "even", "bursty"} {
		o.Arrivals, o.Bursts = how, 0.5
		got := allArrivals(o)
		if !slices.Equal(got, allArrivals(o)) || !slices.IsSorted(got) {
			t.Errorf("%s: due times are unsorted or differ between two runs, expected the same sorted times", how)
		}
		within := 300.0
		if how == "bursty" {
			within = 5000
		}
		if math.Abs(float64(len(got))-20_000) > within {
			t.Errorf("%s: got %d requests in 20 s, expected about 20000", how, len(got))
		}
		var gaps []float64
		for i := range got[1:] {
			gaps = append(gaps, (got[i+1] - got[i]).Seconds())
		}
		mean, sq := 0.0, 0.0
		for _, g := range gaps {
			mean += g / float64(len(gaps))
		}
		for _, g := range gaps {
			sq += (g - mean) * (g - mean) / float64(len(gaps))
		}
		cv := math.Sqrt(sq) / mean
		if how == "even" && cv > 0.01 || how == "poisson" && math.Abs(cv-1) > 0.05 || how == "bursty" && cv < 1.05 {
			t.Errorf("%s: coefficient of variation of the gaps is %.2f, expected 0 for even, 1 for poisson, more for bursty",
				how, cv)
		}
	}
	o.Arrivals, o.Shape = "poisson", []fleet.Step{
		{At: 5 * time.Second, Part: 3},
		{At: 10 * time.Second, Ramp: 5 * time.Second, Part: 0},
	}
	got := allArrivals(o)
	count := func(from, to int) (n int) {
		for _, at := range got {
			if at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second {
				n++
			}
		}
		return n
	}
	if a, b, c, d := count(0, 5), count(5, 10), count(10, 15), count(16, 20); math.Abs(float64(a)-5000) > 300 ||
		math.Abs(float64(b)-15000) > 500 || math.Abs(float64(c)-7500) > 500 || d != 0 {
		t.Error(a, b, c, d)
	}
	o.Offsets = []time.Duration{1, 2, time.Hour}
	if got := allArrivals(o); !slices.Equal(got, []time.Duration{1, 2}) {
		t.Error(got)
	}
}

// startHost starts an emulator with one endpoint and returns the endpoint's address.
func startHost(t *testing.T, change ...func(*fleet.Config)) (*emulator.Host, string) {
	t.Helper()
	c := fleet.Default()
	c.Banks, c.Members, c.Kind.ErrorShare = 1, 1, 0
	for _, f := range change {
		f(&c)
	}
	h, err := emulator.New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Stop)
	return h, h.Addresses()["db1a"]
}

// Every request is answered and counted, both with simple and with extended queries.
func TestRun(t *testing.T) {
	for _, extended := range []bool{false, true} {
		h, addr := startHost(t)
		o := testOptions(addr)
		o.Extended = extended
		o.Tenants = []Tenant{{"many", 3}, {"few", 1}}
		progressCalls := 0
		o.Progress = func(Progress) { progressCalls++ }
		r, err := Run(o)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := r.Tenants["many"].Came, r.Tenants["few"].Came; a+b != r.Came || a < 2*b || a > 5*b ||
			r.Tenants["few"].Ends[0] != b {
			t.Errorf("got %d and %d requests by tenant, %d in total, expected a ratio of 3 and all of tenant few served",
				a, b, r.Came)
		}
		came, served := 0, 0
		for _, x := range r.Tally {
			came, served = came+x.Came, served+x.Ends[0]
		}
		if _, executed := h.PrimaryChangesAndServed(); came != r.Came || served != came || came < 400 ||
			int(executed) != served || int(r.Latency[""].TotalCount()) != served || r.Worth < 0.95 || progressCalls == 0 {
			t.Errorf("%d issued, %d served, %d executed, score %.3f, %d progress calls, errors %v, expected each served once",
				came, served, executed, r.Worth, progressCalls, r.Codes)
		}
	}
}

// Guards against coordinated omission: while a server hangs, all requests that are due count as slow, not only those
// that could be sent.
func TestLatencyCountsFromDueTime(t *testing.T) {
	h, addr := startHost(t)
	o := testOptions(addr)
	o.Arrivals, o.Conns, o.Length = "even", 2, 3*time.Second
	time.AfterFunc(time.Second,
		func() { h.InjectFault(fleet.Fault{What: "hang", Who: []string{"db1a"}, For: 500 * time.Millisecond}) })
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	// 150 requests are due in the 500 ms of the hang and wait 250 ms on average. A closed loop with two connections would
	// see two slow requests.
	slow := 0
	for _, b := range r.Latency[""].Distribution() {
		if b.From >= 100_000 {
			slow += int(b.Count)
		}
	}
	if slow < 90 {
		t.Errorf("%d of %d requests took 100 ms or more, expected at least 90", slow, r.Came)
	}
	if r.Came < 890 {
		t.Errorf("got %d requests, expected at least 890: the hang must not delay the load generator", r.Came)
	}
}

// Requests that an overloaded server rejects are retried and counted once. Invalid options, tenants and due times are
// reported with their name.
func TestRejectionsAndInvalidOptions(t *testing.T) {
	_, addr := startHost(t, func(c *fleet.Config) { c.Kind.Slots, c.Kind.QueueCapacity = 1, 1 })
	o := testOptions(addr)
	o.Length, o.Rate = time.Second, 400
	for i := range o.Classes {
		o.Classes[i].ClientTimeout, o.Classes[i].Work.Mean = 400*time.Millisecond, 50*time.Millisecond
	}
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	ends := 0
	for _, x := range r.Tally {
		for _, n := range x.Ends {
			ends += n
		}
	}
	if ends != r.Came || r.Codes["53300"] == 0 || r.Whole > 0.2 {
		t.Errorf("%d of %d requests ended, errors %v, score %.2f, expected all, some with 53300 and at most 0.2",
			ends, r.Came, r.Codes, r.Whole)
	}
	for want, f := range map[string]func(*Options){
		"addr:": func(o *Options) { o.Addr = "10.0.0.1:5432" }, "rate:": func(o *Options) { o.Rate = 0 },
		"length:":      func(o *Options) { o.Length = 0 },
		"connections:": func(o *Options) { o.Conns = 0 }, "classes, ": func(o *Options) { o.Classes = nil },
		"arrivals:": func(o *Options) { o.Arrivals = "odd" }, "tenants:": func(o *Options) { o.Tenants = []Tenant{{"", 1}} },
	} {
		o := testOptions(addr)
		f(&o)
		if _, err := Run(o); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %[2]v, expected prefix %[1]q", want, err)
		}
	}
	if got, err := ParseTenants("a=3,b=0.5"); err != nil || !slices.Equal(got, []Tenant{{"a", 3}, {"b", 0.5}}) {
		t.Error(got, err)
	}
	for _, bad := range []string{"", "a", "a=0", "a=1,a=2", "=1", "a=x"} {
		if _, err := ParseTenants(bad); err == nil || !strings.HasPrefix(err.Error(), "tenants:") {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if got, err := ParseDueTimes("f", "0\n0.5\n0.5\n2\n"); err != nil ||
		!slices.Equal(got, []time.Duration{0, 5e8, 5e8, 2e9}) {
		t.Error(got, err)
	}
	for _, bad := range []string{"x", "1\n0.5", "NaN", "-1", "1e9", ""} {
		if _, err := ParseDueTimes("f", bad); err == nil || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
