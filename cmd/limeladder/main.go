// Command limeladder routes requests to the members of replicated groups of db machines.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"limeladder/internal/config"
)

func main() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(2)
	}
	path := os.Getenv("LIMELADDER_DEPLOY")
	if path == "" {
		path = "deploy/limeladder.toml"
	}
	dep, err := config.LoadDeploy(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(2)
	}
	level := slog.LevelInfo
	if os.Getenv("LIMELADDER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("router", cfg.Name)
	// The poller waits in a system call that holds its processor for a while: with one alone the loop would wait
	// with it. The platform's share of a core binds all the same.
	runtime.GOMAXPROCS(2)
	d, err := newDaemon(cfg, dep, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "limeladder:", err)
		os.Exit(1)
	}
	debug.SetMemoryLimit(d.lim.Memory)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-term
		d.loop.Post(d.drain)
	}()
	d.run()
}
