package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"limeladder/internal/audit"
	"limeladder/internal/audit/verify"
)

// standardInputName is the file name argument that selects standard input.
const standardInputName = "-"

// auditVerify is the command audit verify, which verifies files of audit records.
type auditVerify struct {
	Files   []string `arg:"" help:"Files as a collector wrote them, oldest first; - is standard input."`
	Keys    string   `help:"The key file. Without it only numbers are checked and nothing is proved." placeholder:"FILE"`
	Partial bool     `help:"Starts may begin before the files and go on behind them."`
	Quiet   bool     `short:"q" help:"Print faults and the verdict only."`
}

// The exit codes of audit verify, besides exitUsage.
const (
	exitVerified     = 0 // the records are complete and proved
	exitFaultsFound  = 1 // at least one fault was found
	exitNotYetProved = 3 // no fault was found, but the records are not proved to their end
)

// run verifies the files, prints the faults and the verdict, and returns the exit code.
func (c *auditVerify) run(stdin io.Reader, stdout, stderr io.Writer) (exitCode int) {
	keys, err := c.loadKeys()
	if err != nil {
		fmt.Fprintln(stderr, "limeladder: --keys:", err)
		return exitUsage
	}
	verifier := verify.New(verify.Options{Partial: c.Partial, Keys: keys})
	for _, name := range c.Files {
		if err := readRecords(verifier, name, stdin); err != nil {
			fmt.Fprintf(stderr, "limeladder: %s: %v\n", name, err)
			return exitUsage
		}
	}
	report := verifier.Report()
	writeFaults(stdout, report)
	if !c.Quiet {
		for _, start := range report.Starts {
			writeStart(stdout, start)
		}
	}
	return writeVerdict(stdout, report)
}

// loadKeys reads the key file. It returns nil if none is given.
func (c *auditVerify) loadKeys() (map[string][32]byte, error) {
	if c.Keys == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.Keys)
	if err != nil {
		return nil, err
	}
	parsed, err := audit.ParseKeys(text)
	if err != nil {
		return nil, err
	}
	secrets := map[string][32]byte{}
	for _, key := range parsed {
		secrets[key.Name] = key.Secret
	}
	return secrets, nil
}

// readRecords passes a file to the verifier.
func readRecords(verifier *verify.Verifier, name string, stdin io.Reader) error {
	if name == standardInputName {
		return verifier.File(name, stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			return pathError.Err // the caller names the file
		}
		return err
	}
	defer func() { _ = file.Close() }() // the file was only read, so nothing can be lost
	return verifier.File(name, file)
}

func writeFaults(out io.Writer, report *verify.Report) {
	for _, fault := range report.Faults {
		fmt.Fprintln(out, "fault:", fault)
	}
	if report.OmittedFaults > 0 {
		fmt.Fprintf(out, "and %d more faults\n", report.OmittedFaults)
	}
}

// writeStart prints the line of one start of a router.
func writeStart(out io.Writer, start *verify.Start) {
	fmt.Fprintf(out, "start %s: %d messages, numbers %d to %d, %d heads",
		start.ID, start.Messages, start.First, start.Last, start.Heads)
	if start.ReportedDropped > 0 {
		fmt.Fprintf(out, ", %d records dropped as the router tells", start.ReportedDropped)
	}
	if start.Repeated > 0 {
		fmt.Fprintf(out, ", %d came again", start.Repeated)
	}
	if start.Unproved > 0 {
		fmt.Fprintf(out, ", %d behind the last head are not proved yet", start.Unproved)
	}
	if !start.Ended {
		fmt.Fprint(out, ", its end is not here")
	}
	fmt.Fprintln(out)
}

// writeVerdict prints the last line and returns the matching exit code.
func writeVerdict(out io.Writer, report *verify.Report) (exitCode int) {
	switch {
	case !report.Clean():
		fmt.Fprintln(out, "not whole: the first fault is", report.Faults[0])
		return exitFaultsFound
	case !report.HasKeys:
		fmt.Fprintf(out, "numbers fit in %d messages; nothing is proved without --keys\n", report.Messages)
		return exitNotYetProved
	case report.Open():
		fmt.Fprintf(out, "whole as far as it goes: %d messages; a start has not ended, or there is none\n", report.Messages)
		return exitNotYetProved
	default:
		fmt.Fprintf(out, "whole: %d messages\n", report.Messages)
		return exitVerified
	}
}
