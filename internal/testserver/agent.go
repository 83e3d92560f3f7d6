package testserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"limeladder/internal/config"
)

// Agent is what discovery pushes lists to, on a router's own machine. It answers at once with what it has been sent, and a watch
// once it has something newer.
type Agent struct {
	Addr string

	mu      sync.Mutex
	ln      net.Listener
	server  *http.Server
	entries []config.EndpointEntry
	changed map[string]int64 // the version that changed a machine last
	version int64
	news    chan struct{} // closed at the next change
	silent  bool          // it takes calls and says nothing
	fault   int           // every call gets this status, 0 = none does
	hasty   bool          // watches do not wait
	calls   int
	has     map[string]map[string]time.Time // machine, state: since when it has it
}

// NewAgent starts an agent that has been sent these entries.
func NewAgent(entries ...config.EndpointEntry) (*Agent, error) {
	a := &Agent{Addr: "127.0.0.1:0", changed: map[string]int64{}, news: make(chan struct{}), has: map[string]map[string]time.Time{}}
	a.Push(entries...)
	return a, a.Start()
}

// Start lets it come back at its address.
func (a *Agent) Start() error {
	ln, err := net.Listen("tcp", a.Addr)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.mu.Lock()
	a.ln, a.Addr = ln, ln.Addr().String()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	server := a.server
	a.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // it ends when the agent is stopped
	return nil
}

// Stop ends it and all its connections; what it was sent it keeps.
func (a *Agent) Stop() {
	a.mu.Lock()
	server := a.server
	a.mu.Unlock()
	_ = server.Close() // its only error is that of a listener that is closed
}

// Push sends it changes: from now on they count as told.
func (a *Agent) Push(entries ...config.EndpointEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		a.changed[e.ID] = a.version
		at := -1
		for i := range a.entries {
			if a.entries[i].ID == e.ID {
				at = i
			}
		}
		if at < 0 {
			a.entries = append(a.entries, e)
		} else {
			a.entries[at] = e
		}
		if a.has[e.ID] == nil {
			a.has[e.ID] = map[string]time.Time{}
		}
		a.has[e.ID][e.State] = time.Now()
	}
	close(a.news)
	a.news = make(chan struct{})
}

// Silent lets it take calls without a word, or answer again.
func (a *Agent) Silent(on bool) { a.set(func() { a.silent = on }) }

// Fault lets it answer each call with a status, 0 = as it should.
func (a *Agent) Fault(status int) { a.set(func() { a.fault = status }) }

// Hasty lets it answer watches at once, whatever it has.
func (a *Agent) Hasty(on bool) { a.set(func() { a.hasty = on }) }

// set changes how it answers; calls that are out meet the change too.
func (a *Agent) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.news)
	a.news = make(chan struct{})
}

// Calls is how many calls have come.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Has is when it was sent that a machine is in a state; zero = it was not.
func (a *Agent) Has(id, state string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.has[id][state]
}

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	a.mu.Lock()
	a.calls++
	for {
		wait := time.Until(end)
		if !a.silent && (a.fault > 0 || !watch || a.hasty || a.version > index || wait <= 0) {
			break
		}
		if a.silent {
			wait = time.Hour
		}
		news := a.news
		a.mu.Unlock()
		select {
		case <-news:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	if a.fault > 0 {
		w.WriteHeader(a.fault)
		return
	}
	l := config.EndpointList{Version: a.version, Full: !watch, Endpoints: []config.EndpointEntry{}}
	for _, e := range a.entries {
		if !watch || a.changed[e.ID] > index {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	_ = json.NewEncoder(w).Encode(l) // the caller may have gone meanwhile
}
