package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"limeladder/internal/audit"
	"limeladder/internal/audit/verify"
)

// commands is the command line. Without arguments the program is the daemon and none of this is looked at.
type commands struct {
	Run   struct{} `cmd:"" help:"Run the router, as without arguments."`
	Audit struct {
		Verify auditVerify `cmd:"" help:"Prove collected audit records whole, or name what is first wrong."`
	} `cmd:"" help:"Work with audit records."`
	Sites struct {
		Plan sitesPlan `cmd:"" help:"What has become of each site, and what its loss would mean, as a router sees it now."`
	} `cmd:"" help:"Work with whole sites."`
}

// auditVerify proves files.
type auditVerify struct {
	Files   []string `arg:"" help:"Files as a collector wrote them, oldest first; - is standard input."`
	Keys    string   `help:"The key file. Without it only numbers are checked and nothing is proved." placeholder:"FILE"`
	Partial bool     `help:"Starts may begin before the files and go on behind them."`
	Quiet   bool     `short:"q" help:"Print faults and the verdict only."`
}

// The exit codes of audit verify.
const (
	exitWhole  = 0 // whole and proved
	exitFaults = 1 // something is wrong
	exitUsage  = 2 // a file or a key can't be read
	exitOpen   = 3 // nothing is wrong, but it is not proved to its end
)

// command runs what the arguments ask for. daemon says that it is the daemon.
func command(args []string, in io.Reader, out, fault io.Writer) (daemon bool, code int) {
	var c commands
	ended := -1
	p, err := kong.New(&c, kong.Name("limeladder"), kong.Description("A database router."), kong.Writers(out, fault),
		kong.Exit(func(code int) { ended = code }))
	if err != nil {
		fmt.Fprintln(fault, "limeladder:", err)
		return false, exitUsage
	}
	ctx, err := p.Parse(args)
	if ended >= 0 { // it has shown its help
		return false, ended
	}
	if err != nil {
		fmt.Fprintln(fault, "limeladder:", err)
		return false, exitUsage
	}
	if ctx.Command() == "run" {
		return true, 0
	}
	if strings.HasPrefix(ctx.Command(), "sites plan") {
		return false, c.Sites.Plan.run(out, fault)
	}
	return false, c.Audit.Verify.run(in, out, fault)
}

func (c *auditVerify) run(in io.Reader, out, fault io.Writer) int {
	opt := verify.Options{Partial: c.Partial}
	if c.Keys != "" {
		text, err := os.ReadFile(c.Keys)
		if err == nil {
			var keys audit.Keys
			if keys, err = audit.ParseKeys(text); err == nil {
				opt.Keys = map[string][32]byte{}
				for _, k := range keys {
					opt.Keys[k.Name] = k.Secret
				}
			}
		}
		if err != nil {
			fmt.Fprintln(fault, "limeladder: --keys:", err)
			return exitUsage
		}
	}
	v := verify.New(opt)
	for _, name := range c.Files {
		if err := file(v, name, in); err != nil {
			fmt.Fprintf(fault, "limeladder: %s: %v\n", name, err)
			return exitUsage
		}
	}
	r := v.Report()
	for _, f := range r.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
	if r.More > 0 {
		fmt.Fprintf(out, "and %d more faults\n", r.More)
	}
	for _, s := range r.Starts {
		if c.Quiet {
			break
		}
		fmt.Fprintf(out, "start %s: %d messages, numbers %d to %d, %d heads", s.ID, s.Messages, s.First, s.Last, s.Heads)
		if s.Told > 0 {
			fmt.Fprintf(out, ", %d records dropped as the router tells", s.Told)
		}
		if s.Repeated > 0 {
			fmt.Fprintf(out, ", %d came again", s.Repeated)
		}
		if s.Unproved > 0 {
			fmt.Fprintf(out, ", %d behind the last head are not proved yet", s.Unproved)
		}
		if !s.Ended {
			fmt.Fprint(out, ", its end is not here")
		}
		fmt.Fprintln(out)
	}
	switch {
	case !r.Clean():
		fmt.Fprintln(out, "not whole: the first fault is", r.Faults[0])
		return exitFaults
	case !r.Proved:
		fmt.Fprintf(out, "numbers fit in %d messages; nothing is proved without --keys\n", r.Messages)
		return exitOpen
	case r.Open():
		fmt.Fprintf(out, "whole as far as it goes: %d messages; a start has not ended, or there is none\n", r.Messages)
		return exitOpen
	}
	fmt.Fprintf(out, "whole: %d messages\n", r.Messages)
	return exitWhole
}

func file(v *verify.Verifier, name string, in io.Reader) error {
	if name == "-" {
		return v.File(name, in)
	}
	f, err := os.Open(name)
	if err != nil {
		var p *os.PathError
		if errors.As(err, &p) {
			err = p.Err
		}
		return err
	}
	defer f.Close()
	return v.File(name, f)
}
