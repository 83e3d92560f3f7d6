package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// maxExitTime is the longest time that a process may take to exit after a signal, including the flush of its log.
const maxExitTime = 10 * time.Second

// fullPipe returns the write end of a pipe that is full and never read.
func fullPipe(tb testing.TB) *os.File {
	tb.Helper()
	reader, writer := newPipe(tb)
	tb.Cleanup(func() { closeFile(tb, reader) })
	fillPipe(tb, writer)
	return writer
}

// newPipe returns a pipe whose write end blocks, like the one that a log collector passes to a process.
func newPipe(tb testing.TB) (reader, writer *os.File) {
	tb.Helper()
	var ends [2]int
	if err := unix.Pipe2(ends[:], unix.O_CLOEXEC); err != nil {
		tb.Fatal(err)
	}
	reader = os.NewFile(uintptr(ends[0]), "reader")
	writer = os.NewFile(uintptr(ends[1]), "writer")
	tb.Cleanup(func() { _ = writer.Close() }) // a test may have closed it
	return reader, writer
}

func closeFile(tb testing.TB, file *os.File) {
	tb.Helper()
	if err := file.Close(); err != nil {
		tb.Error(err)
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(tb testing.TB, writer *os.File) {
	tb.Helper()
	descriptor := int(writer.Fd())
	if err := unix.SetNonblock(descriptor, true); err != nil {
		tb.Fatal(err)
	}
	for _, chunk := range [][]byte{make([]byte, 4096), {'\n'}} {
		for {
			if _, err := unix.Write(descriptor, chunk); err != nil {
				break
			}
		}
	}
	if err := unix.SetNonblock(descriptor, false); err != nil {
		tb.Fatal(err)
	}
}

// startLoggingTo starts the program with the given file as its standard error.
func (r *routerProcess) startLoggingTo(stderr *os.File, level string) {
	r.test.Helper()
	r.writeFile("deploy.toml", "")
	r.address = freeAddress(r.test)
	r.cmd = r.command()
	r.cmd.Env = append(r.cmd.Env, "LIMELADDER_LOG="+level)
	r.cmd.Stderr = stderr
	startProgram(r.test, r.cmd)
	r.waitFor("ready", r.isReady)
}

// requireAllServed sends requests and fails the test unless all are served. Each request also writes a line to the
// debug log.
func (r *routerProcess) requireAllServed(prefix string, count int) {
	r.test.Helper()
	for i, code := range r.sendRequests(prefix, "look", count, 2500*time.Millisecond) {
		if code != "" {
			r.test.Fatalf("request %s-%d: got SQLSTATE %s, want none", prefix, i, code)
		}
	}
}

// requireExit sends SIGTERM to the program and fails the test unless it exits with code 0 within maxExitTime.
func (r *routerProcess) requireExit() {
	r.test.Helper()
	signalProcess(r.test, r.cmd, syscall.SIGTERM)
	requireExitCode(r.test, r.cmd.Wait, 0)
}

func requireExitCode(tb testing.TB, wait func() error, code int) {
	tb.Helper()
	ended := make(chan error, 1)
	go func() { ended <- wait() }()
	select {
	case err := <-ended:
		if got := exitCode(err); got != code {
			tb.Fatalf("exit code %d (%v), want %d", got, err, code)
		}
	case <-time.After(maxExitTime):
		tb.Fatal("the process did not exit within 10 s")
	}
}

func exitCode(err error) int {
	var exit interface{ ExitCode() int }
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// Guards against a router that hangs or exits because its log can't be written.
func TestRouterKeepsServingWhenLogReaderFails(t *testing.T) {
	outputs := map[string]func(testing.TB) *os.File{
		"pipe full": fullPipe,
		"pipe not read": func(tb testing.TB) *os.File {
			tb.Helper()
			reader, writer := newPipe(tb)
			tb.Cleanup(func() { closeFile(tb, reader) })
			return writer
		},
		"reader ended": func(tb testing.TB) *os.File {
			tb.Helper()
			reader, writer := newPipe(tb)
			closeFile(tb, reader)
			return writer
		},
		"disk full": func(tb testing.TB) *os.File {
			tb.Helper()
			file, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			if err != nil {
				tb.Fatal(err)
			}
			tb.Cleanup(func() { closeFile(tb, file) })
			return file
		},
	}
	for name, open := range outputs {
		for _, level := range []string{"info", "debug"} {
			t.Run(name+"/"+level, func(t *testing.T) {
				t.Parallel()
				router := newRouterProcess(t, nil)
				router.startLoggingTo(open(t), level)
				router.requireAllServed("before", 500)
				router.callAdminAPI("router/drain", 200)
				router.waitFor("drained", func() bool { return !router.isReady() })
				router.callAdminAPI("router/activate", 200)
				router.waitFor("ready again", router.isReady)
				router.requireAllServed("after", 10)
				router.requireExit()
			})
		}
	}
}

// Guards against a router that exits, or stops logging, after the reader of its named pipe has ended and a new one has
// opened the pipe.
func TestLoggingResumesWhenReaderReturns(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "log")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	openReader := func() *os.File {
		reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		return reader
	}
	first := openReader()
	writer, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = writer.Close() }) // closed below
	router := newRouterProcess(t, nil)
	router.startLoggingTo(writer, "debug")
	closeFile(t, first)
	router.requireAllServed("unread", 20)
	second := openReader()
	defer closeFile(t, second)
	router.requireAllServed("read", 20)
	closeFile(t, writer)
	router.requireExit()
	text, err := io.ReadAll(second)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"log lines lost", "request=read-19", "stopped serving"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the log does not contain %q:\n%s", want, text)
		}
	}
}

// Guards against losing the last log lines at the exit although a slow reader would still have read them.
func TestLastLogLinesReachASlowReader(t *testing.T) {
	t.Parallel()
	reader, writer := newPipe(t)
	defer closeFile(t, reader)
	fillPipe(t, writer)
	router := newRouterProcess(t, nil)
	router.startLoggingTo(writer, "info")
	closeFile(t, writer)
	signalProcess(t, router.cmd, syscall.SIGTERM)
	router.waitFor("the router accepts no more connections", func() bool { return !acceptsConnections(router.address) })
	text, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	requireExitCode(t, router.cmd.Wait, 0)
	for _, want := range []string{"graceful shutdown started", "stopped serving"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
}

// Guards against a failed start that hangs because nobody reads the log, or whose exit code does not show the reason.
func TestFailedStartExitsWhenLogIsBlocked(t *testing.T) {
	path := t.TempDir() + "/config.json"
	writeFile(t, path, strings.Replace(configText("127.0.0.1:1"), `"seed":"1"`, `"seed":"x"`, 1))
	cmd := programCommand(path)
	cmd.Stderr = fullPipe(t)
	startProgram(t, cmd)
	requireExitCode(t, cmd.Wait, exitConfigurationFault)
}

// Guards against a command in a shell pipe that keeps running after the reader of its output has ended.
func TestCommandExitsWhenItsReaderHasEnded(t *testing.T) {
	reader, writer := newPipe(t)
	closeFile(t, reader)
	cmd := programCommand("")
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=1", commandEnvironment))
	cmd.Args = append(cmd.Args, "audit", "verify", "--help")
	cmd.Stdout = writer
	startProgram(t, cmd)
	err := cmd.Wait()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGPIPE {
		t.Fatalf("the command exited with %v, want it killed by SIGPIPE", err)
	}
}

// Guards against a crash that hangs because nobody reads the log. SIGQUIT makes the runtime print a stack trace, as it
// does in a crash.
func TestCrashExitsWhenLogIsBlocked(t *testing.T) {
	t.Parallel()
	router := newRouterProcess(t, nil)
	router.startLoggingTo(fullPipe(t), "info")
	signalProcess(t, router.cmd, syscall.SIGQUIT)
	const runtimeCrashExitCode = 2
	requireExitCode(t, router.cmd.Wait, runtimeCrashExitCode)
}
