package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, name)
}

const shortScenario = `
traffic(use=0.4, length_s=12)
at(3, kill("primary:1", back_s=3))
expect("rules", most=0)
`

// A small experiment, from the flags of the run command to its output: arms, effects, result lines, reports, and the
// comparison of result files.
func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	script := writeFile(t, dir, "s.star", shortScenario)
	arms := []string{writeFile(t, dir, "good.toml", ""), writeFile(t, dir, "other.toml", "salt = 3\n")}
	var out bytes.Buffer
	c := runCommand{Scenario: script, Arms: arms, Seeds: 3, Seed: 5, Workers: 2, Out: dir + "/a.jsonl", Report: dir + "/r.html"}
	if err := c.Run(&out); err != nil {
		t.Fatal(err, out.String())
	}
	if got := out.String(); !strings.Contains(got, "seed 7    other") || !strings.Contains(got, "s: other against good, 3 pairs of seeds") || !strings.Contains(got, "within chance") {
		t.Fatal(got)
	}
	for _, name := range []string{"r-1.html", "r-2.html"} {
		p, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(p), "<svg "); n != 8 || strings.Contains(string(p), "http-equiv") || strings.Contains(string(p), "<script") || strings.Contains(string(p), "src=") ||
			!strings.Contains(string(p), "kill primary:1") || !strings.Contains(string(p), "submit-job") {
			t.Errorf("%s: %d plots, want 8; or the page loads other content, or lacks the fault or a class", name, n)
		}
	}
	// A second run with another number of workers gives identical results.
	first, _ := os.ReadFile(dir + "/a.jsonl")
	c.Out, c.Report, c.Workers = dir+"/b.jsonl", "", 5
	out.Reset()
	if err := c.Run(&out); err != nil {
		t.Fatal(err)
	}
	if second, _ := os.ReadFile(dir + "/b.jsonl"); !bytes.Equal(first, second) || len(first) == 0 {
		t.Error("a second run of the same plan gives different results")
	}
	out.Reset()
	if err := (&compareCommand{A: dir + "/a.jsonl", B: dir + "/b.jsonl"}).Run(&out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); strings.Count(got, "3 pairs of seeds") != 2 || strings.Contains(got, "beyond chance") {
		t.Fatal(got)
	}
}

// Unmet expectations and unreadable files end with an error on a single line.
func TestRunAndCompareErrors(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	c := runCommand{
		Scenario: writeFile(t, dir, "s.star", shortScenario+"expect(\"worth\", least=2)\n"), Seeds: 1, Seed: 1,
	}
	if err := c.Run(&out); err == nil || !strings.Contains(err.Error(), "1 expectations not met, 0 rules broken") || !strings.Contains(out.String(), "s.star:5: seed 1: worth is") {
		t.Fatal(err, out.String())
	}
	for want, c := range map[string]runCommand{
		"s2.star:1: ": {Scenario: writeFile(t, dir, "s2.star", "at()"), Seeds: 1},
		"--seeds":     {Scenario: dir + "/s.star"},
		"bad: unknown setting fun": {
			Scenario: dir + "/s.star", Seeds: 1, Arms: []string{writeFile(t, dir, "bad.toml", "fun = 1")},
		},
		"/none/r.html: no s": {Scenario: dir + "/s.star", Seeds: 1, Report: dir + "/none/r.html"},
	} {
		if err := c.Run(&out); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error of one line that contains %s, got %v", want, err)
		}
	}
	if err := (&compareCommand{A: writeFile(t, dir, "x", "{"), B: dir + "/s.star"}).Run(&out); err == nil ||
		!strings.Contains(err.Error(), "x:1: ") {
		t.Error(err)
	}
}

// The built program prints the table of checks, and exits with a failure and one line of text for a bad script.
func TestProgramOutput(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "limeladder-sim")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	if out, err := exec.Command(bin, "check").CombinedOutput(); err != nil || strings.Count(string(out), "\n") < 20 {
		t.Fatal(err, string(out))
	}
	out, err := exec.Command(bin, "run", writeFile(t, t.TempDir(), "s.star", "fleet(router=1)")).CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 ||
		!strings.Contains(string(out), "s.star:1: fleet: unknown argument router") {
		t.Fatal(err, string(out))
	}
}

// zeroStatistic matches a statistic in a report that is 0 because it was not measured.
var zeroStatistic = regexp.MustCompile(`<div>(attempts|probes|dials)<b>0</b>`)

// The demo, up and load commands run the real program with emulated endpoints on sockets.
func TestSocketCommands(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", ".", "../limeladder").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	var out bytes.Buffer
	if err := (&demoCommand{Report: dir + "/demo.html", Router: dir + "/limeladder", Length: 6, Seed: 1}).Run(&out); err != nil {
		t.Fatal(err, out.String())
	}
	if got := out.String(); !strings.Contains(got, "worth 0.") || !strings.Contains(got, "submit-job") {
		t.Fatal(got)
	}
	if p, err := os.ReadFile(dir + "/demo.html"); err != nil || strings.Count(string(p), "<svg ") != 7 || !strings.Contains(string(p), "kill primary:1, for 1.2 s") ||
		strings.Contains(string(p), "revision unknown") || strings.Contains(string(p), "Refused by routers") ||
		zeroStatistic.Match(p) || !strings.Contains(string(p), "<div>attempts<b>") {
		t.Fatal(err, len(p))
	}
	listen, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	up := exec.Command(dir+"/limeladder-sim", "up", "--listen", listen)
	pipe, err := up.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	text := ""
	for buf := make([]byte, 4096); !strings.Contains(text, "Ctrl-C"); {
		n, err := pipe.Read(buf)
		if text += string(buf[:n]); err != nil {
			t.Fatal(err, text)
		}
	}
	out.Reset()
	if err := (&loadCommand{Addr: listen, Rate: 100, Length: 1, Conns: 50, Arrivals: "even", WorkUs: 500, Seed: 1, Quiet: true}).Run(&out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.Contains(got, "99 requests in") && !strings.Contains(got, "100 requests in") {
		t.Error(got)
	}
	if err := up.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := up.Wait(); err != nil {
		t.Error(err)
	}
	if err := (&upCommand{Listen: "0.0.0.0:0"}).Run(&out); err == nil || !strings.Contains(err.Error(), "not on loopback") {
		t.Error(err)
	}
}
