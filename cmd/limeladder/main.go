// Command limeladder is a database router: it accepts requests from clients and forwards each one to an endpoint of the
// replica group that the request names.
//
// The package makes no routing decisions. main.go reads the configuration, builds the daemon and handles signals;
// daemon.go assembles the subsystems; every other file starts one subsystem and connects it to the rest. The fields of
// a daemon are used only on the goroutine of its event loop, unless a comment says otherwise.
package main

import (
	"cmp"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"limeladder/internal/config"
)

// The exit codes of the daemon. Commands have exit codes of their own.
const (
	exitStartFailed        = 1
	exitConfigurationFault = 2
)

// signalQueueLength is the number of signals that can be queued while a configuration file is being read.
const signalQueueLength = 8

// defaultDeployPath is the path of the deploy file if LIMELADDER_DEPLOY is not set.
const defaultDeployPath = "deploy/limeladder.toml"

func main() {
	// Signals are requested before anything else, because a SIGHUP ends a Go program that has not requested it.
	signals := make(chan os.Signal, signalQueueLength)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if len(os.Args) > 1 {
		startDaemon, exitCode := runCommand(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
		if !startDaemon {
			os.Exit(exitCode)
		}
	}
	output := startLog()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		exitWith(output, exitConfigurationFault, err)
	}
	deploy, err := config.LoadDeploy(deployPath(os.Getenv))
	if err != nil {
		exitWith(output, exitConfigurationFault, err)
	}
	// More threads than the cores that the platform grants would only compete for them.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	log := slog.New(output.Handler()).With("router", cfg.Name)
	d, err := newDaemon(cfg, deploy, log)
	if err != nil {
		exitWith(output, exitStartFailed, err)
	}
	go handleSignals(d, signals, os.Getenv)
	d.run()
	output.Close(logFlushTimeout)
}

// handleSignals acts on signals until the program ends. SIGHUP reloads the configuration, every other signal starts the
// graceful shutdown. It runs on a goroutine of its own, so that a file that is slow to read does not delay requests.
func handleSignals(d *daemon, signals <-chan os.Signal, getenv func(string) string) {
	for received := range signals {
		if received == syscall.SIGHUP {
			d.reload(getenv)
		} else {
			d.loop.Post(d.startShutdown)
		}
	}
}

// deployPath returns the path of the deploy file, which holds the operators' own settings.
func deployPath(getenv func(string) string) string {
	return cmp.Or(getenv("LIMELADDER_DEPLOY"), defaultDeployPath)
}
