// Package report writes the result of a run as a self-contained HTML file with plots.
//
// The package owns the layout and the plots. It takes no measurements and keeps no state: everything that it shows is
// in the Run passed to Write. Write runs on the goroutine of its caller.
package report

import (
	_ "embed" // for the template
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/scenario"
)

// Run is the content of a report.
type Run struct {
	Scenario          *scenario.Scenario
	Arm               string
	Revision          string // of the build; "unknown" is left out
	Result            *fleet.Result
	UnmetExpectations []string
}

// page is the data of the page template.
type page struct {
	Title             string
	About             string
	Arm               string
	Revision          string
	Seed              uint64
	Summary           []row
	Violations        []string // descriptions of rule violations
	UnmetExpectations []string
	Events            []row
	Classes           [][]string
	Plots             []figure
}

type row struct{ Name, Value string }

//go:embed report.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("report").Parse(pageText))

// Write writes the report of a run as HTML.
func Write(w io.Writer, run Run) error {
	figures, err := drawPlots(run.Result)
	if err != nil {
		return err
	}
	revision := run.Revision
	if revision == "unknown" {
		revision = ""
	}
	return pageTemplate.Execute(w, page{
		Title:             run.Scenario.Name,
		About:             run.Scenario.About,
		Arm:               run.Arm,
		Revision:          revision,
		Seed:              run.Result.Seed,
		Summary:           summaryRows(run.Result),
		Violations:        run.Result.Words,
		UnmetExpectations: run.UnmetExpectations,
		Events:            eventRows(run.Result.Marks),
		Classes:           classRows(run.Scenario.Config.Classes, run.Result),
		Plots:             figures,
	})
}

// summaryRows returns the statistics that this kind of run can measure.
func summaryRows(result *fleet.Result) []row {
	var rows []row
	for _, name := range scenario.StatisticNames {
		if slices.Contains(result.Unseen, name) {
			continue
		}
		value, _ := scenario.Statistic(result, name) // every name in StatisticNames is known
		rows = append(rows, row{strings.ReplaceAll(name, "_", " "), fmt.Sprintf("%.4g", value)})
	}
	return rows
}

// eventRows returns the time, the description and the duration of each event, such as a fault.
func eventRows(marks []fleet.Mark) []row {
	var rows []row
	for _, mark := range marks {
		text := mark.Text
		if mark.For > 0 {
			text += fmt.Sprintf(", for %.1f s", mark.For.Seconds())
		}
		rows = append(rows, row{fmt.Sprintf("%.1f s", mark.At.Seconds()), text})
	}
	return rows
}

// classRows returns for each class: its name, the number of requests, the share of their priority weight that was
// achieved, how many were served late, and how many had each ending.
func classRows(classes []fleet.Class, result *fleet.Result) [][]string {
	var rows [][]string
	for _, class := range classes {
		tally := result.Tally[class.Name]
		if tally == nil {
			continue
		}
		achieved := tally.Worth / max(1e-9, tally.Could)
		cells := []string{class.Name, fmt.Sprint(tally.Came), fmt.Sprintf("%.3f", achieved), fmt.Sprint(tally.Late)}
		for _, count := range tally.Ends {
			cells = append(cells, fmt.Sprint(count))
		}
		rows = append(rows, cells)
	}
	return rows
}
