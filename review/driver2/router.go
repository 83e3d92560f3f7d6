package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"syscall"
	"time"
)

// router is one router with its files; it may run several times.
type router struct {
	w         *world
	name      string
	listen    string
	operator  string
	deploy    string // text of its deploy/limeladder.toml
	discovery string
	instances int
	known     *endpointList // nil = none
	memoryMB  int
	noProbes  bool // the settings allow no probes
	starts    int
	process   *exec.Cmd
	ended     chan struct{}
}

// newRouter returns a router that is not started. deploy is the text of its deploy/limeladder.toml.
func (w *world) newRouter(name, discovery, deploy string) (*router, error) {
	r := &router{w: w, name: name, discovery: discovery, deploy: deploy, instances: 3, memoryMB: 192}
	var err error
	if r.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	r.operator, err = freeAddress()
	return r, err
}

// runCommand reads the run command of deploy/balancer.toml.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(match[1]), nil
}

// start starts the router with the run command, and waits until it takes clients.
func (r *router) start() error {
	if err := r.startOnly(); err != nil {
		return err
	}
	return r.waitReady()
}

func (r *router) startOnly() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	r.starts++
	if err := r.writeFiles(); err != nil {
		return err
	}
	temporary, err := os.MkdirTemp(r.w.dir, r.name+"-tmp-") // private and empty at each start
	if err != nil {
		return err
	}
	log, err := os.Create(r.w.path(fmt.Sprintf("%s.%d.log", r.name, r.starts)))
	if err != nil {
		return err
	}
	process := exec.Command("/bin/sh", "-c", command)
	process.Env = append(os.Environ(), "EDGE_CONFIG="+r.w.path(r.name+".json"), "EDGE_NAME="+r.name,
		"EDGE_LISTEN="+r.listen, "EDGE_OPERATOR="+r.operator, "LIMELADDER_DEPLOY="+r.w.path(r.name+".toml"),
		"TMPDIR="+temporary)
	process.Stderr = log
	if err := process.Start(); err != nil {
		return err
	}
	r.process = process
	ended := make(chan struct{})
	r.ended = ended
	r.w.processes = append(r.w.processes, r)
	go func() {
		_ = process.Wait() // how it ended shows in the record
		_ = log.Close()
		close(ended)
	}()
	r.w.logf("%s: started, start %d, known list %s", r.name, r.starts, r.known)
	return nil
}

func (r *router) writeFiles() error {
	settings, err := json.Marshal(settingsOf(r.instances, !r.noProbes))
	if err != nil {
		return err
	}
	config := map[string]any{
		"name": r.name, "listen": r.listen, "operator": r.operator, "discovery": r.discovery,
		"seed":     fmt.Sprintf("8c1f30d27a5be9%02x", r.starts),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": 1024},
		"settings": json.RawMessage(settings),
	}
	if r.known != nil {
		config["known"] = r.known
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.w.path(r.name+".json"), text, 0o600); err != nil {
		return err
	}
	return os.WriteFile(r.w.path(r.name+".toml"), []byte(r.deploy), 0o600)
}

func (r *router) waitReady() error {
	return waitFor(r.name+" takes clients", 30*time.Second, func() bool {
		status, _ := r.call(http.MethodGet, "/v1/readyz")
		return status == http.StatusOK
	})
}

// call makes an operator's call; status 0 means that the router did not answer.
func (r *router) call(method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+r.operator+path, nil)
	if err != nil {
		return 0, ""
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body) // a part of it is good enough for the record
	return response.StatusCode, string(text)
}

// terminate sends SIGTERM; the router ends by itself.
func (r *router) terminate() error {
	r.w.logf("%s: SIGTERM", r.name)
	return r.process.Process.Signal(syscall.SIGTERM)
}

// waitEnded waits until the process has ended.
func (r *router) waitEnded(limit time.Duration) error {
	select {
	case <-r.ended:
		r.w.logf("%s: ended, %v", r.name, r.process.ProcessState)
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %v", r.name, limit)
	}
}

// kill kills the process if it runs.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill() // it may have ended
	<-r.ended
}

// settingsOf returns the settings of a small deployment, in the form of the example of the wire page.
func settingsOf(instances int, probes bool) map[string]any {
	class := func(name, effect string, aim, giveUp time.Duration, importance, late float64) map[string]any {
		return map[string]any{
			"Name": name, "Effect": effect, "AimNs": aim.Nanoseconds(), "GiveUpNs": giveUp.Nanoseconds(),
			"Group": "all", "Importance": importance, "LateShare": late, "Stream": false, "WindowNs": 5000000000,
		}
	}
	return map[string]any{
		"Instances": instances, "Position": 0, "Locality": "north-lakes", "Discovery": "ask", "KindOfService": "replicas",
		"Zones": []string{"eagle-farm", "springwood", "north-lakes"}, "ResolutionNs": 5000000, "WorthBy": "request",
		"Weights": "rough", "Tenants": []any{}, "OverShareWorth": 0.1, "MachineTypes": []string{"std-3core"},
		"ClientHabits": map[string]any{"MarksRetry": false},
		"Contract": map[string]any{
			"AnswerSlackNs": 20000000, "AskWithinNs": 10000000000, "ColdFrom": 0.16, "ColdNs": 18000000000,
			"DrainGraceNs": 2000000000, "FallMultiple": 2.5, "FallNs": 2000000000,
		},
		"Extra": map[string]any{
			"Guards": "silent", "HoldsForNs": 0, "LagAllowedNs": []int64{500000000, 0, 0},
			"NeedsByClass": []string{"recent", "loose", "update"}, "OriginTimeNs": 0, "ProgressTold": true,
			"RoleListed": "initial", "Sync": false, "TokenMode": "client",
		},
		"Lanes": []any{
			class("queue-view", "safe", 300*time.Millisecond, 1200*time.Millisecond, 2, 0.2),
			class("audit-report", "safe", 5*time.Second, 10*time.Second, 6, 0.2),
			class("submit-job", "unsafe", time.Second, 3*time.Second, 3, 0.5),
		},
		"Limits": map[string]any{
			"Cancelling": true, "ConnIdleNs": 15000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerS": 400000,
			"MaxOpen": 20000, "MaxRetryAfterNs": 2000000000, "MostTries": 10, "Multiplex": 1, "PeerMessages": false,
			"Probes": probes, "RetryAfter": false, "SecondCopies": false,
		},
		"Prices":    map[string]any{"CrossZone": 0.014, "LateFail": 0.061, "Probe": 0.017, "Waste": 0.022},
		"Reporting": map[string]any{"Fields": []string{"x0", "x1", "utilization"}, "How": "pull"},
	}
}
