// Package report writes what a run has shown as one HTML file that needs nothing else.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/scenario"
)

// Run is what a report is made of.
type Run struct {
	Scenario *scenario.Scenario
	Arm      string
	Revision string
	Result   *fleet.Result
	Short    []string // expectations that were not met
}

// The colours are told apart by those who see no red or green, too.
var (
	blue   = color.RGBA{0x1f, 0x5f, 0xa8, 0xff}
	orange = color.RGBA{0xd9, 0x7a, 0x06, 0xff}
	teal   = color.RGBA{0x1b, 0x7f, 0x79, 0xff}
	purple = color.RGBA{0x7a, 0x3e, 0x9d, 0xff}
	grey   = color.RGBA{0x77, 0x77, 0x77, 0xff}
	light  = color.RGBA{0xcc, 0xcc, 0xcc, 0xff}
	shade  = color.RGBA{0x12, 0x09, 0x18, 0x1c} // over what stands below
)

const mostMachines = 60 // that are drawn one by one

// series is a named line of a plot.
type series struct {
	name string
	xy   plotter.XYs
	ink  color.Color
	wide vg.Length
}

// figure is a plot in the file.
type figure struct {
	Title, Note string
	Lines       []legend
	SVG         template.HTML
}

// legend names a line; in the plot itself it would stand over others.
type legend struct{ Name, Ink string }

type row struct{ Name, Value string }

type page struct {
	Title, About, Arm, Revision string
	Seed                        uint64
	Summary                     []row
	Rules                       []string
	Short                       []string
	Marks                       []row
	Classes                     [][]string
	Figures                     []figure
}

// Write writes it.
func Write(w io.Writer, run Run) error {
	r := run.Result
	p := page{Title: run.Scenario.Name, About: run.Scenario.About, Arm: run.Arm, Revision: run.Revision, Seed: r.Seed, Short: run.Short}
	for _, name := range scenario.Figures {
		if slices.Contains(r.Unseen, name) {
			continue
		}
		v, _ := scenario.Figure(r, name)
		p.Summary = append(p.Summary, row{strings.ReplaceAll(name, "_", " "), fmt.Sprintf("%.4g", v)})
	}
	p.Rules = r.Words
	for _, m := range r.Marks {
		text := m.Text
		if m.For > 0 {
			text += fmt.Sprintf(", for %.1f s", m.For.Seconds())
		}
		p.Marks = append(p.Marks, row{fmt.Sprintf("%.1f s", m.At.Seconds()), text})
	}
	for _, k := range run.Scenario.Config.Classes {
		t := r.Tally[k.Name]
		if t == nil {
			continue
		}
		cells := []string{k.Name, fmt.Sprint(t.Came), fmt.Sprintf("%.3f", t.Worth/max(1e-9, t.Could)), fmt.Sprint(t.Late)}
		for _, n := range t.Ends {
			cells = append(cells, fmt.Sprint(n))
		}
		p.Classes = append(p.Classes, cells)
	}
	if run.Revision == "unknown" {
		p.Revision = ""
	}
	for _, f := range []struct {
		name string
		draw func(*fleet.Result) (figure, error)
	}{{"worth", worth}, {"endings", endings}, {"refusals", refusals}, {"quantiles", quantiles}, {"open", inHand}, {"load", load}, {"capacity", capacity}, {"lag", lag}} {
		if slices.Contains(r.Unseen, f.name) {
			continue
		}
		x, err := f.draw(r)
		if err != nil {
			return err
		}
		p.Figures = append(p.Figures, x)
	}
	return sheet.Execute(w, p)
}

func worth(r *fleet.Result) (figure, error) {
	var xy plotter.XYs
	for i, s := range r.Seconds {
		if s.Could > 0 {
			xy = append(xy, plotter.XY{X: float64(i) + 0.5, Y: s.Worth / s.Could})
		}
	}
	return draws("Worth over time", "What was asked for in each second, and the part of its worth that was given.", "part", r, 1, series{"worth", xy, blue, 1.5})
}

func endings(r *fleet.Result) (figure, error) {
	var all []series
	for i, ink := range []color.Color{blue, orange, purple, teal, grey} {
		s := series{name: fleet.Endings[i], ink: ink, wide: 1.2}
		occurred := false
		for t, x := range r.Seconds {
			s.xy = append(s.xy, plotter.XY{X: float64(t) + 0.5, Y: float64(x.Ends[i])})
			occurred = occurred || x.Ends[i] > 0
		}
		if occurred {
			all = append(all, s)
		}
	}
	late := series{name: "served late", ink: light, wide: 1.2}
	for t, x := range r.Seconds {
		late.xy = append(late.xy, plotter.XY{X: float64(t) + 0.5, Y: float64(x.Late)})
	}
	return draws("How requests ended", "By the second in which they were asked for.", "requests", r, 0, append(all, late)...)
}

// refusals are the routers' own; on sockets nobody sees their reasons, and they are left out.
func refusals(r *fleet.Result) (figure, error) {
	unsent, tried := series{name: "never sent", ink: orange, wide: 1.5}, series{name: "behind attempts", ink: purple, wide: 1.5}
	for t, x := range r.Seconds {
		unsent.xy = append(unsent.xy, plotter.XY{X: float64(t) + 0.5, Y: float64(x.Unsent)})
		tried.xy = append(tried.xy, plotter.XY{X: float64(t) + 0.5, Y: float64(x.Tried)})
	}
	return draws("Refused by routers, and why", "Never sent: no machine could take it in time. Behind attempts: those that it was sent to turned it away, broke or were behind. Clients may have asked again.",
		"refusals", r, 0, unsent, tried)
}

func quantiles(r *fleet.Result) (figure, error) {
	s := series{name: "latency", ink: blue, wide: 1.5}
	for _, q := range r.Curve {
		s.xy = append(s.xy, plotter.XY{X: -math.Log10(1 - q.Part), Y: 1000 * q.Seconds})
	}
	ticks := plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 0.301, Label: "50%"}, {Value: 1, Label: "90%"}, {Value: 2, Label: "99%"}, {Value: 3, Label: "99.9%"}, {Value: 4, Label: "99.99%"}}
	return drawn("Latency of what was served", "By quantile; the scale stretches the slow end.", "milliseconds", "", nil, ticks, 0, s)
}

func inHand(r *fleet.Result) (figure, error) {
	s := series{name: "open", ink: blue, wide: 1.5}
	for _, x := range r.Series {
		s.xy = append(s.xy, plotter.XY{X: x.At.Seconds(), Y: float64(x.InHand)})
	}
	return draws("Requests in flight", "All that clients wait for.", "requests", r, 0, s)
}

// each draws a line for each machine, the primaries' in another ink.
func each(r *fleet.Result, of func(fleet.MachineSample) (float64, bool)) (all []series) {
	for i := range r.Names[:min(mostMachines, len(r.Names))] {
		s, lead := series{ink: grey, wide: 0.6}, series{ink: orange, wide: 1.1}
		for _, x := range r.Series {
			v, ok := of(x.Machines[i])
			if !ok {
				v = math.NaN()
			}
			s.xy = append(s.xy, plotter.XY{X: x.At.Seconds(), Y: v})
			if !x.Machines[i].Primary {
				v = math.NaN()
			}
			lead.xy = append(lead.xy, plotter.XY{X: x.At.Seconds(), Y: v})
		}
		all = append(all, s, lead)
	}
	return all
}

func load(r *fleet.Result) (figure, error) {
	return draws("Statements at each machine", "Those that run and those that wait; orange while it is a primary.", "statements", r, 0,
		each(r, func(m fleet.MachineSample) (float64, bool) { return float64(m.Running + m.Waiting), !m.Down })...)
}

func capacity(r *fleet.Result) (figure, error) {
	return draws("Capacity of each machine", "Work that it can do in a second; it climbs while it warms up, and is 0 while it is down.", "core seconds a second", r, 0,
		each(r, func(m fleet.MachineSample) (float64, bool) { return m.Capacity, true })...)
}

func lag(r *fleet.Result) (figure, error) {
	return draws("Lag of each replica", "How old its data is.", "milliseconds", r, 0,
		each(r, func(m fleet.MachineSample) (float64, bool) {
			return float64(m.Lag) / float64(time.Millisecond), !m.Primary && !m.Down
		})...)
}

func draws(title, note, y string, r *fleet.Result, most float64, all ...series) (figure, error) {
	return drawn(title, note, y, "seconds", r.Marks, nil, most, all...)
}

// parts splits a line where it is not a number.
func parts(xy plotter.XYs) (out []plotter.XYs) {
	var now plotter.XYs
	for _, p := range xy {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
			if len(now) > 0 {
				out, now = append(out, now), nil
			}
			continue
		}
		now = append(now, p)
	}
	if len(now) > 0 {
		out = append(out, now)
	}
	return out
}

func drawn(title, note, y, x string, marks []fleet.Mark, ticks plot.Ticker, most float64, all ...series) (figure, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	if ticks != nil {
		p.X.Tick.Marker = ticks
	}
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = nil, light
	p.Add(grid)
	high, last, lines := most, 0.0, []legend(nil)
	for _, s := range all {
		for i, xy := range parts(s.xy) {
			l, err := plotter.NewLine(xy)
			if err != nil {
				return figure{}, err
			}
			l.Color, l.Width = s.ink, s.wide
			p.Add(l)
			if i == 0 && s.name != "" && len(all) > 1 {
				r, g, b, _ := s.ink.RGBA()
				lines = append(lines, legend{s.name, fmt.Sprintf("#%02x%02x%02x", r>>8, g>>8, b>>8)})
			}
			for _, v := range xy {
				high, last = max(high, v.Y), max(last, v.X)
			}
		}
	}
	if p.Y.Min, p.Y.Max = 0, high*1.05; high == 0 {
		p.Y.Max = 1
	}
	for _, m := range marks {
		if m.For > 0 { // all of its time, to the return
			from, to := m.At.Seconds(), min((m.At+m.For).Seconds(), max(last, m.At.Seconds()))
			band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
			if err != nil {
				return figure{}, err
			}
			band.Color = shade
			band.Width = 0
			p.Add(band)
		}
		l, err := plotter.NewLine(plotter.XYs{{X: m.At.Seconds(), Y: 0}, {X: m.At.Seconds(), Y: p.Y.Max}})
		if err != nil {
			return figure{}, err
		}
		l.Color, l.Width, l.Dashes = purple, 0.8, []vg.Length{3, 2}
		p.Add(l)
	}
	c := vgsvg.New(620, 220)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return figure{}, err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	// The file's own width decides, not the plot's.
	svg = strings.Replace(svg, "<svg ", `<svg role="img" aria-label="`+template.HTMLEscapeString(title)+`" style="width:100%;height:auto" `, 1)
	return figure{title, note, lines, template.HTML(svg)}, nil
}

var sheet = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1">
<title>{{.Title}}</title>
<style>
body{font:16px/1.5 system-ui,sans-serif;color:#1a1a1a;background:#fff;margin:0 auto;max-width:72rem;padding:1rem}
h1{font-size:1.5rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.6rem 0 .2rem}p{margin:.2rem 0 .6rem}.note{color:#555}
.bad{background:#fdeee6;border-left:4px solid #b34700;padding:.5rem .8rem}
.sum{display:grid;grid-template-columns:repeat(auto-fill,minmax(8.5rem,1fr));gap:.5rem}
.sum div{background:#f2f5f8;padding:.4rem .6rem}.sum b{display:block;font-size:1.15rem}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(min(100%,30rem),1fr));gap:1rem}
figure{margin:0}figcaption{font-size:.9rem;color:#555}
.wide{overflow-x:auto}table{border-collapse:collapse;font-size:.9rem}td,th{padding:.2rem .6rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.About}}</p>
<p class="note">Seed {{.Seed}}, arm {{.Arm}}{{if .Revision}}, revision {{.Revision}}{{end}}</p>
{{if .Rules}}<div class="bad"><b>Rules were broken</b><ul>{{range .Rules}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
{{if .Short}}<div class="bad"><b>Not as expected</b><ul>{{range .Short}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
<h2>In figures</h2><div class="sum">{{range .Summary}}<div>{{.Name}}<b>{{.Value}}</b></div>{{end}}</div>
{{if .Marks}}<h2>What befell the fleet</h2><p class="note">Dashed lines in the plots, shaded until it is over.</p><div class="wide"><table><tr><th>at</th><th>what</th></tr>{{range .Marks}}<tr><td>{{.Name}}</td><td>{{.Value}}</td></tr>{{end}}</table></div>{{end}}
<h2>Over time</h2><div class="plots">{{range .Figures}}<figure><h2>{{.Title}}</h2><figcaption>{{.Note}}{{range .Lines}} <span style="white-space:nowrap"><span style="color:{{.Ink}}">&#9632;</span> {{.Name}}</span>{{end}}</figcaption>{{.SVG}}</figure>{{end}}</div>
<h2>By class</h2><div class="wide"><table><tr><th>class</th><th>asked</th><th>worth</th><th>late</th><th>served</th><th>refused</th><th>failed</th><th>expired</th><th>left</th></tr>
{{range .Classes}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table></div>
</body></html>
`))
