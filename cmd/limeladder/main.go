// Command limeladder routes requests to the members of replicated groups of db machines.
package main

import (
	"fmt"
	"log/slog"
	"math"
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
	// More processors than the platform grants cores would only take turns on them.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
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
