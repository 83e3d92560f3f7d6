package multiprocess

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// process is one router. Its files and addresses stay the same over all starts of the program.
type process struct {
	Name, Site string
	dir        string
	program    string
	log        *history.Log
	settings   func() ([]byte, error) // for the next start
	onStart    func()                 // called at each start

	incarnation atomic.Int64
	mutex       sync.Mutex // guards the fields below
	cmd         *exec.Cmd  // nil if none runs
	exited      chan struct{}
}

// Incarnation returns the current incarnation, counted from 1.
func (p *process) Incarnation() int { return int(p.incarnation.Load()) }

func (p *process) recordEvent(what string, length time.Duration) {
	p.log.Add(history.ProcessEvent{Router: p.Name, Incarnation: p.Incarnation(), Event: what, Duration: length})
}

// start starts the program. Of its earlier incarnation it keeps only the name and the addresses.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.Name)
	}
	text, err := p.settings()
	if err != nil {
		return err
	}
	incarnation := p.incarnation.Add(1)
	tmp := filepath.Join(p.dir, fmt.Sprint("tmp", incarnation))
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("log.%d", incarnation)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(),
		"EDGE_CONFIG="+filepath.Join(p.dir, "config.json"),
		"TMPDIR="+tmp,
		"LIMELADDER_DEPLOY="+filepath.Join(p.dir, "limeladder.toml"),
		"LIMELADDER_LOG=debug",
		"EDGE_NAME=", "EDGE_LISTEN=", "EDGE_OPERATOR=", "EDGE_DISCOVERY=", "EDGE_INHERITED_FD=")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the driver
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	exited := p.exited
	if p.onStart != nil {
		p.onStart()
	}
	go func() {
		err := cmd.Wait()
		p.recordEvent(fmt.Sprintf("has ended: %v", exitText(err)), 0)
		p.mutex.Lock()
		p.cmd = nil
		p.mutex.Unlock()
		close(exited)
	}()
	return nil
}

func exitText(err error) string {
	if err == nil {
		return "in order"
	}
	return err.Error()
}

// signal sends a signal to the running process. It reports whether there is one.
func (p *process) signal(signal syscall.Signal) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd != nil && p.cmd.Process.Signal(signal) == nil
}

// pid returns the id of the running process. ok is false if there is none.
func (p *process) pid() (pid int, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}

// waitForExit waits until the running process has ended. It reports false after the timeout.
func (p *process) waitForExit(timeout time.Duration) bool {
	p.mutex.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mutex.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill kills the process.
func (p *process) kill() {
	p.recordEvent("is killed", 0)
	p.signal(syscall.SIGKILL)
	p.waitForExit(10 * time.Second)
}

// freeze stops the process with SIGSTOP for a time.
func (p *process) freeze(length time.Duration) {
	p.recordEvent(fmt.Sprintf("is stopped for %v", length), length)
	if !p.signal(syscall.SIGSTOP) {
		return
	}
	incarnation := p.Incarnation()
	time.AfterFunc(length, func() {
		if p.Incarnation() == incarnation {
			p.signal(syscall.SIGCONT)
		}
	})
}

// terminate sends SIGTERM, and kills the process if it has not ended within the timeout.
func (p *process) terminate(timeout time.Duration) {
	p.recordEvent("is asked to end", timeout)
	p.signal(syscall.SIGTERM)
	if !p.waitForExit(timeout) {
		p.kill()
	}
}

// cleanUp kills the process if one runs.
func (p *process) cleanUp() {
	p.signal(syscall.SIGCONT)
	if p.signal(syscall.SIGKILL) {
		p.waitForExit(10 * time.Second)
	}
}
