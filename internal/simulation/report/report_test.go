package report

import (
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/scenario"
)

// The report of a run shows its events, unmet expectations, and the plots for which there are measurements.
func TestWrite(t *testing.T) {
	const script = "about('a <b>')\ntraffic(length_s=3)\nat(1, slow('db1b', part=0.5, length_s=1))"
	loaded, err := scenario.Load("x.star", []byte(script))
	if err != nil {
		t.Fatal(err)
	}
	result, err := fleet.Run(loaded.Config, 1)
	if err != nil {
		t.Fatal(err)
	}
	result.Unseen = []string{"refusals", "rules"}
	if len(result.Marks) == 0 || result.Marks[0].At != time.Second {
		t.Fatalf("events %+v", result.Marks)
	}
	var file strings.Builder
	run := Run{Scenario: loaded, Arm: "arm", Revision: "unknown", Result: result, UnmetExpectations: []string{"too slow"}}
	if err := Write(&file, run); err != nil {
		t.Fatal(err)
	}
	html := file.String()
	for _, want := range []string{
		"a &lt;b&gt;", "slow db1b, for 1.0 s", "<li>too slow</li>", "Worth over time", "Lag of each replica", "p99 ms",
	} {
		if !strings.Contains(html, want) {
			t.Errorf("%q is not in the report", want)
		}
	}
	for _, unwanted := range []string{"Refused by routers, and why", ">rules<", "Rules were broken", "revision unknown"} {
		if strings.Contains(html, unwanted) {
			t.Errorf("%q is in the report", unwanted)
		}
	}
	if plots := strings.Count(html, "<svg role="); plots != 7 {
		t.Errorf("%d plots, want 7", plots)
	}
}
