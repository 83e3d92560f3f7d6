package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// rig holds what one run has started.
type rig struct {
	trouble bool
	record  *record
	folder  string // temporary, removed at the end
	runLine string // the platform's command for one router, from the deploy file
	memory  int    // MB of a router

	env      []string // of all routers
	operator string   // where operators call, "" is off
	socket   *os.File // the clients' socket, if the platform holds it
	listen   string   // its address

	mu       sync.Mutex
	routers  []*routerProcess
	machines []*machine
	closed   bool
}

func newRig(recordPath string, trouble bool) (*rig, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("deploy/balancer.toml names no command for run")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	return &rig{trouble: trouble, record: rec, folder: folder, runLine: string(found[1]), memory: 192}, nil
}

// close ends everything that the run has started.
func (r *rig) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	routers, machines := r.routers, r.machines
	r.mu.Unlock()
	for _, p := range routers {
		p.kill()
	}
	for _, m := range machines {
		m.die()
	}
	r.record.close()
	_ = os.RemoveAll(r.folder) // the system's temporary folder is cleaned in the end
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// note writes one line, with the seconds since the start of the run.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close() // every line has been written already
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// routerConfig is the content of EDGE_CONFIG.
type routerConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Operator  string         `json:"operator,omitempty"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

// routerProcess is one router, started as the platform starts it.
type routerProcess struct {
	rig      *rig
	name     string
	address  string
	operator string // "" is none
	cmd      *exec.Cmd
	ended    chan struct{}
}

// startRouter starts a router and waits until it takes clients.
func (r *rig) startRouter(cfg routerConfig, extraEnv ...string) (*routerProcess, error) {
	if r.socket != nil { // each process of a router has an operators' address of its own
		var err error
		if cfg.Operator, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	cfg.Limits = map[string]any{"cores": 1.0, "memory_mb": r.memory, "sockets": 1024}
	folder, err := os.MkdirTemp(r.folder, cfg.Name)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, err
	}
	tmp := filepath.Join(r.folder, cfg.Name+".tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	cmd := exec.Command("/bin/sh", "-c", r.runLine)
	cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "EDGE_CONFIG=" + path, "EDGE_NAME=" + cfg.Name,
		"EDGE_LISTEN=" + cfg.Listen, "EDGE_DISCOVERY=" + cfg.Discovery, "EDGE_OPERATOR=" + cfg.Operator,
	}, extraEnv...)
	cmd.Stdout, cmd.Stderr = output, output
	if r.socket != nil {
		cmd.ExtraFiles = []*os.File{r.socket} // descriptor 3
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD=3")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &routerProcess{
		rig: r, name: cfg.Name, address: cfg.Listen, operator: cfg.Operator, cmd: cmd, ended: make(chan struct{}),
	}
	r.mu.Lock()
	r.routers = append(r.routers, p)
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.record.note("router %s has ended: %v, %v", p.name, cmd.ProcessState, err)
		close(p.ended)
	}()
	if err := p.waitReady(); err != nil {
		text, _ := os.ReadFile(output.Name()) // may be empty
		return nil, fmt.Errorf("%w; its log: %s", err, text)
	}
	r.record.note("router %s takes clients at %s", p.name, p.address)
	return p, nil
}

// waitReady asks the router until it says that it takes clients.
func (p *routerProcess) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.saysReady() {
			return nil
		}
	}
	return fmt.Errorf("router %s did not take clients within 10 s", p.name)
}

// saysReady asks with an empty query, as the front does. Where two processes may share the clients' socket, it asks at
// the operators' address, which each process has for itself.
func (p *routerProcess) saysReady() bool {
	if p.rig.socket == nil {
		c, err := dialClient(p.address)
		if err != nil {
			return false
		}
		defer c.close()
		return c.emptyQuery()
	}
	answer, err := http.Get("http://" + p.operator + "/v1/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// signal sends a signal to the router alone.
func (p *routerProcess) signal(s syscall.Signal) {
	p.rig.record.note("router %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // it may have ended already
}

// terminate tells the router to end.
func (p *routerProcess) terminate() { p.signal(syscall.SIGTERM) }

// holdSocket opens the clients' socket on behalf of the platform, for routers that inherit it.
func (r *rig) holdSocket() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close() // the file below is a descriptor of its own
	r.listen = listener.Addr().String()
	r.socket, err = listener.(*net.TCPListener).File()
	return err
}

// kill ends the router if it still runs.
func (p *routerProcess) kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// deployment is one router with its db machines and discovery.
type deployment struct {
	discovery *discovery
	router    *routerProcess
	config    routerConfig
}

// startDeployment starts db machines, discovery and a router that goes by the settings.
func (r *rig) startDeployment(settings map[string]any, machines ...*machine) (*deployment, error) {
	var entries []entry
	for _, m := range machines {
		if err := r.startMachine(m); err != nil {
			return nil, err
		}
		entries = append(entries, listed(m, 0))
	}
	d, err := r.startDiscovery(entries...)
	if err != nil {
		return nil, err
	}
	address := r.listen
	if address == "" {
		if address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	cfg := routerConfig{
		Name: "n1", Listen: address, Operator: r.operator, Discovery: d.address, Seed: "8c1f30d27a5be964",
		Known: d.list(0, true), Settings: settings,
	}
	router, err := r.startRouter(cfg, r.env...)
	if err != nil {
		return nil, err
	}
	return &deployment{discovery: d, router: router, config: cfg}, nil
}
