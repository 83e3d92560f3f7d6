// Command limeladder routes requests to the members of replicated groups of db machines.
package main

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"limeladder/internal/config"
)

// deployPath is the operators' own file.
func deployPath(getenv func(string) string) string {
	return cmp.Or(getenv("LIMELADDER_DEPLOY"), "deploy/limeladder.toml")
}

func main() {
	// First of all: Go ends a program on a SIGHUP that nobody has asked for, however early it comes.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if len(os.Args) > 1 {
		if daemon, code := command(os.Args[1:], os.Stdin, os.Stdout, os.Stderr); !daemon {
			os.Exit(code)
		}
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(2)
	}
	dep, err := config.LoadDeploy(deployPath(os.Getenv))
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(2)
	}
	level := slog.LevelInfo
	if os.Getenv("LIMELADDER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("router", cfg.Name)
	// More processors than the platform grants cores would only take turns on them.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	d, err := newDaemon(cfg, dep, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(1)
	}
	go d.heed(signals, os.Getenv)
	d.run()
}
