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
	logQueueBytes   = 256 << 10   // of lines queued for the reader of the log
	logFlushTimeout = time.Second // the longest wait for that reader at the program's exit
)

// startLog returns the log output of the daemon. It writes to standard error and ignores SIGPIPE, so that a log reader
// that hangs or has ended neither delays the program nor ends it. Commands do not use it: in a shell pipe they end
// together with their reader, as other programs do.
func startLog() *asynclog.Output {
	// Unless SIGPIPE is ignored, Go ends a program that writes to a standard error without a reader.
	signal.Ignore(syscall.SIGPIPE)
	level := slog.LevelInfo
	if os.Getenv("LIMELADDER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	return asynclog.New(separateFromCrashOutput(os.Stderr), asynclog.Options{Level: level, QueueBytes: logQueueBytes})
}

// separateFromCrashOutput returns a file that writes to the same pipe as standard error, and makes the descriptor of
// standard error itself nonblocking. The runtime writes the reason for a crash there: with a blocking descriptor, a
// program that crashes while nobody reads its log would hang instead of ending. If stderr is not a pipe or a system
// call fails, stderr is returned unchanged.
func separateFromCrashOutput(stderr *os.File) *os.File {
	info, err := stderr.Stat()
	if err != nil || info.Mode()&os.ModeNamedPipe == 0 {
		return stderr // a reopened regular file would have its own offset, and other kinds can't be reopened
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
	_ = unix.Close(nonblocking) // standard error has its own duplicate
	if err != nil {
		_ = unix.Close(blocking) // it was not used
		return stderr
	}
	return os.NewFile(uintptr(blocking), stderr.Name())
}

// exitWith prints the error as one line and ends the program with an exit code.
func exitWith(output *asynclog.Output, code int, err error) {
	output.Print("limeladder: " + err.Error())
	output.Close(logFlushTimeout)
	os.Exit(code)
}
