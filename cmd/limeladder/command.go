package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// cliCommands defines the command line. Without arguments the program runs the daemon and does not parse it. The names
// of the fields are the names of the commands and options.
type cliCommands struct {
	Run   struct{} `cmd:"" help:"Run the router, as without arguments."`
	Audit struct {
		Verify auditVerify `cmd:"" help:"Prove collected audit records whole, or name what is first wrong."`
	} `cmd:"" help:"Work with audit records."`
	Sites struct {
		Plan sitesPlan `cmd:"" help:"What has become of each site, and what its loss would mean, as a router sees it now."`
	} `cmd:"" help:"Work with whole sites."`
}

// The exit codes that every command has.
const (
	exitOK    = 0
	exitUsage = 2 // an argument is invalid, or a file or router that it names can't be read
)

// runCommand runs the command that the arguments select. It returns startDaemon = true if that is the daemon, which the
// caller starts; otherwise the program must exit with exitCode.
func runCommand(arguments []string, stdin io.Reader, stdout, stderr io.Writer) (startDaemon bool, exitCode int) {
	var commands cliCommands
	helpShown := false
	helpExitCode := exitOK
	parser, err := kong.New(&commands,
		kong.Name("limeladder"),
		kong.Description("A database router."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) {
			helpShown = true
			helpExitCode = code
		}))
	if err != nil {
		fmt.Fprintln(stderr, "limeladder:", err)
		return false, exitUsage
	}
	parsed, err := parser.Parse(arguments)
	if helpShown {
		return false, helpExitCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "limeladder:", err)
		return false, exitUsage
	}
	switch name := parsed.Command(); {
	case name == "run":
		return true, exitOK
	case strings.HasPrefix(name, "sites plan"):
		return false, commands.Sites.Plan.run(stdout, stderr)
	default:
		return false, commands.Audit.Verify.run(stdin, stdout, stderr)
	}
}
