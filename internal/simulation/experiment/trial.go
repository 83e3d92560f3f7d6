// Package experiment plays a scenario's arms with the same seeds and says what the difference is, and whether chance explains it.
package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/scenario"
)

// Arm changes what a scenario says of the routers, and nothing else.
type Arm struct {
	Name           string   `toml:"-"`
	Hold           []string `toml:"hold"`
	ProbePrice     *float64 `toml:"probe_price"`
	HeldBack       *float64 `toml:"held_back"`
	Cancel         *bool    `toml:"cancel"`
	Tries          *int     `toml:"tries"`
	HarmColdBudget *bool    `toml:"harm_cold_budget"`
	Sites          *string  `toml:"sites"`
	Salt           *uint64  `toml:"salt"`
}

// ReadArm reads one from TOML. An error is one line that names the file.
func ReadArm(name, text string) (a Arm, err error) {
	md, err := toml.Decode(text, &a)
	if err != nil {
		return a, fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if rest := md.Undecoded(); len(rest) > 0 {
		return a, fmt.Errorf("%s: nothing is called %s", name, rest[0])
	}
	if a.ProbePrice != nil && *a.ProbePrice < 0 || a.HeldBack != nil && *a.HeldBack < 0 || a.Tries != nil && *a.Tries < 0 || a.Salt != nil && *a.Salt >= 1<<13 {
		return a, fmt.Errorf("%s: out of bounds", name)
	}
	a.Name = name
	return a, nil
}

func (a Arm) apply(c fleet.Config) fleet.Config {
	set := func(do bool, f func()) {
		if do {
			f()
		}
	}
	set(a.Hold != nil, func() { c.Hold = a.Hold })
	set(a.ProbePrice != nil, func() { c.ProbePrice = *a.ProbePrice })
	set(a.HeldBack != nil, func() { c.HeldBack = *a.HeldBack })
	set(a.Cancel != nil, func() { c.Cancel = *a.Cancel })
	set(a.Tries != nil, func() { c.MostTries = *a.Tries })
	set(a.HarmColdBudget != nil, func() { c.HarmColdBudget = *a.HarmColdBudget })
	set(a.Sites != nil, func() { c.Sites = *a.Sites })
	set(a.Salt != nil, func() { c.Salt = *a.Salt })
	return c
}

// Line is the result of one run, as a file keeps it.
type Line struct {
	Scenario string             `json:"scenario"`
	Arm      string             `json:"arm"`
	Seed     uint64             `json:"seed"`
	Revision string             `json:"revision"`
	Figures  map[string]float64 `json:"figures"`
	Rules    map[string]int     `json:"rules,omitempty"`
	Words    []string           `json:"words,omitempty"`
	Short    []string           `json:"short,omitempty"` // expectations that were not met

	Result *fleet.Result `json:"-"`
}

// Run plays each arm with each seed, so many at once. The lines come in the order of seeds, the arms of a seed together,
// whichever was done first; done is called for each in that order.
func Run(s *scenario.Scenario, arms []Arm, first uint64, seeds, workers int, revision string, done func(Line) error) error {
	if len(arms) == 0 {
		arms = []Arm{{Name: "as it stands"}}
	}
	type job struct {
		line Line
		err  error
		end  chan bool
	}
	jobs := make([]*job, seeds*len(arms))
	for i := range jobs {
		jobs[i] = &job{end: make(chan bool)}
	}
	next, mu, stop := 0, sync.Mutex{}, false
	var wg sync.WaitGroup
	for range max(1, workers) {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				over := stop
				mu.Unlock()
				if i >= len(jobs) || over {
					return
				}
				j, arm, seed := jobs[i], arms[i%len(arms)], first+uint64(i/len(arms))
				r, err := fleet.Run(arm.apply(s.Config), seed)
				if j.err = err; err == nil {
					j.line = Line{Scenario: s.Name, Arm: arm.Name, Seed: seed, Revision: revision, Figures: map[string]float64{}, Rules: r.Rules, Words: r.Words, Short: s.Met(r), Result: r}
					for _, name := range scenario.Figures {
						j.line.Figures[name], _ = scenario.Figure(r, name)
					}
				}
				close(j.end)
			}
		})
	}
	var err error
	for _, j := range jobs {
		<-j.end
		if err = j.err; err == nil {
			err = done(j.line)
		}
		j.line.Result = nil
		if err != nil {
			mu.Lock()
			stop = true
			mu.Unlock()
			break
		}
	}
	wg.Wait()
	return err
}

// Effect is what one arm has over another in a figure.
type Effect struct {
	Figure     string
	Pairs      int
	A, B       float64 // means
	Diff       float64 // of b over a, in the mean of pairs
	Low, High  float64 // of it, at 95 percent
	Beyond     bool    // chance does not explain it
	Scenario   string
	ArmA, ArmB string
}

// Effects compares lines of the same scenario and seed, figure by figure. Lines without a partner are left out.
func Effects(a, b []Line, figures []string) (out []Effect) {
	type key struct {
		scenario string
		seed     uint64
	}
	of := map[key]Line{}
	for _, l := range b {
		of[key{l.Scenario, l.Seed}] = l
	}
	byScenario := map[string][][2]Line{}
	var names []string
	for _, l := range a {
		if m, ok := of[key{l.Scenario, l.Seed}]; ok {
			if byScenario[l.Scenario] == nil {
				names = append(names, l.Scenario)
			}
			byScenario[l.Scenario] = append(byScenario[l.Scenario], [2]Line{l, m})
		}
	}
	sort.Strings(names)
	for _, name := range names {
		for _, fig := range figures {
			var x, y, d []float64
			for _, p := range byScenario[name] {
				x, y = append(x, p[0].Figures[fig]), append(y, p[1].Figures[fig])
				d = append(d, p[1].Figures[fig]-p[0].Figures[fig])
			}
			e := Effect{Figure: fig, Pairs: len(d), A: stat.Mean(x, nil), B: stat.Mean(y, nil), Scenario: name, ArmA: byScenario[name][0][0].Arm, ArmB: byScenario[name][0][1].Arm}
			e.Diff, e.Low, e.High = interval(d)
			e.Beyond = e.Low > 0 || e.High < 0
			out = append(out, e)
		}
	}
	return out
}

// interval is the mean and where it lies at 95 percent, by Student's t.
func interval(d []float64) (mean, low, high float64) {
	if len(d) < 2 {
		return stat.Mean(d, nil), math.Inf(-1), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(d, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975)
	half := t * dev / math.Sqrt(float64(len(d)))
	return mean, mean - half, mean + half
}

// mostLine is the length of a line of results.
const mostLine = 1 << 20

// Read reads results, a line each. An error names the line.
func Read(name string, r io.Reader) (lines []Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, mostLine)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if l.Scenario == "" || l.Figures == nil {
			return nil, fmt.Errorf("%s:%d: no result", name, n)
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(lines) == 0 {
		return nil, errors.New(name + ": no results")
	}
	return lines, nil
}
