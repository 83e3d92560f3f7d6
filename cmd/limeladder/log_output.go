package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"limeladder/internal/asynclog"
)

const (
	logQueueBytes   = 256 << 10   // of lines that wait for the reader of the log
	logFlushTimeout = time.Second // how long the program's end waits for that reader
)

// startLog returns what the daemon logs to. From then on a log whose reader hangs or has ended neither delays the
// program nor ends it. Commands don't use it: in a shell pipe they end with their reader, as other programs do.
func startLog() *asynclog.Output {
	// Go ends a program whose standard error has lost its reader, unless the signal is ignored.
	signal.Ignore(syscall.SIGPIPE)
	level := slog.LevelInfo
	if os.Getenv("LIMELADDER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	return asynclog.New(separateFromCrashOutput(os.Stderr), asynclog.Options{Level: level, QueueBytes: logQueueBytes})
}

// separateFromCrashOutput returns a file that writes to the same pipe as the standard error. The descriptor of the
// standard error itself, where the runtime writes the reason of a crash, no longer blocks: a program that crashes while
// nobody reads its log would hang otherwise instead of ending. Where that can't be had, stderr stays as it is.
func separateFromCrashOutput(stderr *os.File) *os.File {
	info, err := stderr.Stat()
	if err != nil || info.Mode()&os.ModeNamedPipe == 0 {
		return stderr // a file opened again would have an offset of its own, and other kinds can't be opened again
	}
	blocking, err := unix.FcntlInt(stderr.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return stderr
	}
	nonblocking, err := unix.Open("/proc/self/fd/2", unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		_ = unix.Close(blocking) // it was not used
		return stderr
	}
	err = unix.Dup3(nonblocking, unix.Stderr, 0)
	_ = unix.Close(nonblocking) // the standard error has its own descriptor of it
	if err != nil {
		_ = unix.Close(blocking) // it was not used
		return stderr
	}
	return os.NewFile(uintptr(blocking), stderr.Name())
}

// exitWith ends the program with one line that says why.
func exitWith(output *asynclog.Output, code int, err error) {
	output.Print("limeladder: " + err.Error())
	output.Close(logFlushTimeout)
	os.Exit(code)
}
