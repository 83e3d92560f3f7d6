package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"limeladder/internal/simulation/fleet"
)

// Colors that readers with red-green color blindness can distinguish.
var (
	blue   = color.RGBA{0x1f, 0x5f, 0xa8, 0xff}
	orange = color.RGBA{0xd9, 0x7a, 0x06, 0xff}
	teal   = color.RGBA{0x1b, 0x7f, 0x79, 0xff}
	purple = color.RGBA{0x7a, 0x3e, 0x9d, 0xff}
	grey   = color.RGBA{0x77, 0x77, 0x77, 0xff}
	light  = color.RGBA{0xcc, 0xcc, 0xcc, 0xff}
	shade  = color.RGBA{0x12, 0x09, 0x18, 0x1c} // transparent, so that lines below stay visible
)

// Size of a plot. Only the ratio matters: the page scales plots to its own width.
const (
	plotWidth  vg.Length = 620
	plotHeight vg.Length = 220
)

// series is a line of a chart.
type series struct {
	name   string // for the legend; lines without a name are not in it
	points plotter.XYs
	ink    color.Color
	width  vg.Length
}

// chart describes a plot.
type chart struct {
	title     string
	note      string
	xLabel    string
	yLabel    string
	marks     []fleet.Mark // events that are marked on the x axis
	ticks     plot.Ticker  // of the x axis; nil = library default
	minHeight float64      // the y axis extends at least to this value
	lines     []series
}

// figure is a rendered plot with its captions, as the page template uses it.
type figure struct {
	Title string
	Note  string
	Lines []legend
	SVG   template.HTML
}

// legend is the name and the color of a line. Legends are shown outside the plot, where they don't cover lines.
type legend struct{ Name, Color string }

// draw renders the chart as SVG.
func (c *chart) draw() (figure, error) {
	p := plot.New()
	p.X.Label.Text = c.xLabel
	p.Y.Label.Text = c.yLabel
	if c.ticks != nil {
		p.X.Tick.Marker = c.ticks
	}
	grid := plotter.NewGrid()
	grid.Vertical.Color = nil
	grid.Horizontal.Color = light
	p.Add(grid)
	highest := c.minHeight
	last := 0.0
	for _, line := range c.lines {
		if err := line.addTo(p); err != nil {
			return figure{}, err
		}
		for _, point := range line.finitePoints() {
			highest = max(highest, point.Y)
			last = max(last, point.X)
		}
	}
	p.Y.Min = 0
	p.Y.Max = highest * 1.05
	if highest == 0 {
		p.Y.Max = 1
	}
	for _, mark := range c.marks {
		if err := addMark(p, mark, last); err != nil {
			return figure{}, err
		}
	}
	svg, err := renderSVG(p, c.title)
	if err != nil {
		return figure{}, err
	}
	return figure{Title: c.title, Note: c.note, Lines: c.legends(), SVG: svg}, nil
}

// legends returns the legends of the lines that have a name and points, or none if the chart has a single line.
func (c *chart) legends() []legend {
	if len(c.lines) < 2 {
		return nil
	}
	var legends []legend
	for _, line := range c.lines {
		if line.name == "" || len(line.finitePoints()) == 0 {
			continue
		}
		red, green, blue, _ := line.ink.RGBA()
		legends = append(legends, legend{line.name, fmt.Sprintf("#%02x%02x%02x", red>>8, green>>8, blue>>8)})
	}
	return legends
}

// addTo adds the line to a plot, interrupted where points are not numbers.
func (s *series) addTo(p *plot.Plot) error {
	for _, segment := range s.segments() {
		line, err := plotter.NewLine(segment)
		if err != nil {
			return err
		}
		line.Color = s.ink
		line.Width = s.width
		p.Add(line)
	}
	return nil
}

// segments splits the line into the sections between points that are not numbers.
func (s *series) segments() []plotter.XYs {
	var segments []plotter.XYs
	var segment plotter.XYs
	for _, point := range s.points {
		if isFinite(point.Y) {
			segment = append(segment, point)
			continue
		}
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		segment = nil
	}
	if len(segment) > 0 {
		segments = append(segments, segment)
	}
	return segments
}

// finitePoints returns the points whose Y is neither NaN nor infinite.
func (s *series) finitePoints() plotter.XYs {
	var points plotter.XYs
	for _, point := range s.points {
		if isFinite(point.Y) {
			points = append(points, point)
		}
	}
	return points
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// addMark adds a dashed line at an event, and shades the duration of the event up to the end of the lines.
func addMark(p *plot.Plot, mark fleet.Mark, last float64) error {
	from := mark.At.Seconds()
	if mark.For > 0 {
		to := min((mark.At + mark.For).Seconds(), max(last, from))
		band, err := plotter.NewPolygon(plotter.XYs{
			{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max},
		})
		if err != nil {
			return err
		}
		band.Color = shade
		band.Width = 0
		p.Add(band)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: from, Y: 0}, {X: from, Y: p.Y.Max}})
	if err != nil {
		return err
	}
	line.Color = purple
	line.Width = 0.8
	line.Dashes = []vg.Length{3, 2}
	p.Add(line)
	return nil
}

// renderSVG renders a plot as an SVG element to embed in a page, as wide as the page allows.
func renderSVG(p *plot.Plot, title string) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var file bytes.Buffer
	if _, err := canvas.WriteTo(&file); err != nil {
		return "", err
	}
	svg := file.String()
	if start := strings.Index(svg, "<svg"); start >= 0 { // skip the XML declaration
		svg = svg[start:]
	}
	attributes := `<svg role="img" aria-label="` + template.HTMLEscapeString(title) + `" style="width:100%;height:auto" `
	return template.HTML(strings.Replace(svg, "<svg ", attributes, 1)), nil
}
