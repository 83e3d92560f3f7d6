package report

import (
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"limeladder/internal/simulation/fleet"
)

// maxEndpoints is the maximum number of endpoints with lines of their own. More lines would be indistinguishable.
const maxEndpoints = 60

// Line widths.
const (
	thinWidth   vg.Length = 0.6
	mediumWidth vg.Length = 1.1
	thickWidth  vg.Length = 1.2
	boldWidth   vg.Length = 1.5
)

// drawPlots draws the plots for which this kind of run has measurements.
func drawPlots(result *fleet.Result) ([]figure, error) {
	var figures []figure
	for _, candidate := range []struct {
		name string
		plot func(*fleet.Result) chart
	}{
		{"worth", weightServedChart},
		{"endings", endingsChart},
		{"refusals", rejectionsChart},
		{"quantiles", quantilesChart},
		{"open", inFlightChart},
		{"load", loadChart},
		{"capacity", capacityChart},
		{"lag", lagChart},
	} {
		if slices.Contains(result.Unseen, candidate.name) {
			continue
		}
		chart := candidate.plot(result)
		drawn, err := chart.draw()
		if err != nil {
			return nil, err
		}
		figures = append(figures, drawn)
	}
	return figures, nil
}

// overTime returns a chart over the time of a run that has marks for the run's events but no lines yet.
func overTime(result *fleet.Result, title, note, unit string) chart {
	return chart{title: title, note: note, yLabel: unit, xLabel: "seconds", marks: result.Marks}
}

// perSecond returns a line with one value per second of a run.
func perSecond(
	result *fleet.Result, name string, ink color.Color, width vg.Length, value func(fleet.Second) float64,
) series {
	line := series{name: name, ink: ink, width: width}
	for i, second := range result.Seconds {
		line.points = append(line.points, plotter.XY{X: float64(i) + 0.5, Y: value(second)})
	}
	return line
}

func weightServedChart(result *fleet.Result) chart {
	drawn := overTime(result, "Worth over time",
		"The share of the worth of each second's requests that was achieved.", "share")
	drawn.minHeight = 1
	line := series{name: "worth", ink: blue, width: boldWidth}
	for i, second := range result.Seconds {
		if second.Could > 0 {
			line.points = append(line.points, plotter.XY{X: float64(i) + 0.5, Y: second.Worth / second.Could})
		}
	}
	drawn.lines = []series{line}
	return drawn
}

// endingsChart shows the number of requests by ending, except for endings that never occurred.
func endingsChart(result *fleet.Result) chart {
	drawn := overTime(result, "How requests ended", "By the second in which the requests were sent.", "requests")
	for i, ink := range []color.Color{blue, orange, purple, teal, grey} {
		occurred := slices.ContainsFunc(result.Seconds, func(second fleet.Second) bool { return second.Ends[i] > 0 })
		if !occurred {
			continue
		}
		drawn.lines = append(drawn.lines, perSecond(result, fleet.Endings[i], ink, thickWidth,
			func(second fleet.Second) float64 { return float64(second.Ends[i]) }))
	}
	drawn.lines = append(drawn.lines, perSecond(result, "served late", light, thickWidth,
		func(second fleet.Second) float64 { return float64(second.Late) }))
	return drawn
}

// rejectionsChart shows rejections by routers. In runs on sockets their reasons can't be observed, and the chart is
// left out.
func rejectionsChart(result *fleet.Result) chart {
	drawn := overTime(result, "Refused by routers, and why",
		"Never sent: no machine could serve the request in time. After attempts: machines rejected the request, "+
			"broke the connection or were too stale. Clients may have retried.", "refusals")
	drawn.lines = []series{
		perSecond(result, "never sent", orange, boldWidth,
			func(second fleet.Second) float64 { return float64(second.Unsent) }),
		perSecond(result, "after attempts", purple, boldWidth,
			func(second fleet.Second) float64 { return float64(second.Tried) }),
	}
	return drawn
}

// quantilesChart shows the latency by quantile, on a logarithmic scale that stretches the high quantiles.
func quantilesChart(result *fleet.Result) chart {
	line := series{name: "latency", ink: blue, width: boldWidth}
	for _, quantile := range result.Curve {
		point := plotter.XY{X: -math.Log10(1 - quantile.Part), Y: 1000 * quantile.Seconds}
		line.points = append(line.points, point)
	}
	return chart{
		title:  "Latency of served requests",
		note:   "By quantile, on a scale that stretches the high quantiles.",
		yLabel: "milliseconds",
		ticks: plot.ConstantTicks{
			{Value: 0, Label: "0"},
			{Value: 0.301, Label: "50%"},
			{Value: 1, Label: "90%"},
			{Value: 2, Label: "99%"},
			{Value: 3, Label: "99.9%"},
			{Value: 4, Label: "99.99%"},
		},
		lines: []series{line},
	}
}

func inFlightChart(result *fleet.Result) chart {
	drawn := overTime(result, "Requests in flight", "Requests that clients are waiting for.", "requests")
	line := series{name: "open", ink: blue, width: boldWidth}
	for _, sample := range result.Series {
		line.points = append(line.points, plotter.XY{X: sample.At.Seconds(), Y: float64(sample.InHand)})
	}
	drawn.lines = []series{line}
	return drawn
}

func loadChart(result *fleet.Result) chart {
	drawn := overTime(result, "Statements at each machine",
		"Running and queued statements; orange while the machine is a primary.", "statements")
	drawn.lines = perEndpoint(result, func(sample fleet.MachineSample) (float64, bool) {
		return float64(sample.Running + sample.Waiting), !sample.Down
	})
	return drawn
}

func capacityChart(result *fleet.Result) chart {
	drawn := overTime(result, "Capacity of each machine",
		"Work that it can do per second; rises during warm-up, and is 0 while it is down.", "core-seconds per second")
	drawn.lines = perEndpoint(result, func(sample fleet.MachineSample) (float64, bool) { return sample.Capacity, true })
	return drawn
}

func lagChart(result *fleet.Result) chart {
	drawn := overTime(result, "Lag of each replica", "Age of the replica's data.", "milliseconds")
	drawn.lines = perEndpoint(result, func(sample fleet.MachineSample) (float64, bool) {
		return float64(sample.Lag) / float64(time.Millisecond), !sample.Primary && !sample.Down
	})
	return drawn
}

// perEndpoint returns a line for each endpoint, and one on top of it in another color for the time during which it is a
// primary. The lines are interrupted where value returns ok false.
func perEndpoint(result *fleet.Result, value func(fleet.MachineSample) (value float64, ok bool)) []series {
	var lines []series
	for i := range result.Names[:min(maxEndpoints, len(result.Names))] {
		line := series{ink: grey, width: thinWidth}
		asPrimary := series{ink: orange, width: mediumWidth}
		for _, sample := range result.Series {
			at := sample.At.Seconds()
			y, ok := value(sample.Machines[i])
			if !ok {
				y = math.NaN()
			}
			line.points = append(line.points, plotter.XY{X: at, Y: y})
			if !sample.Machines[i].Primary {
				y = math.NaN()
			}
			asPrimary.points = append(asPrimary.points, plotter.XY{X: at, Y: y})
		}
		lines = append(lines, line, asPrimary)
	}
	return lines
}
