package testserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"limeladder/internal/config"
)

const (
	headerTimeout = 5 * time.Second
	// silentRecheck is how long a silent agent waits before it looks again whether it is still silent; a change of how it
	// answers ends the wait at once.
	silentRecheck = time.Hour
)

// Agent is what discovery pushes endpoint lists to, on a router's own machine. It answers at once with what it has been
// sent, and a watch once it has something newer.
type Agent struct {
	Addr string

	mu          sync.Mutex
	server      *http.Server
	entries     []config.EndpointEntry
	changedAt   map[string]int64 // of each endpoint: the version that changed it last
	version     int64
	changed     chan struct{} // closed at the next change
	silent      bool          // it takes calls and says nothing
	failStatus  int           // every call gets this status, 0 = none does
	hasty       bool          // watches do not wait
	calls       int
	stateSentAt map[string]map[string]time.Time // of each endpoint and state: when it was sent
}

// NewAgent starts an agent that has been sent these entries.
func NewAgent(entries ...config.EndpointEntry) (*Agent, error) {
	a := &Agent{
		Addr:        "127.0.0.1:0",
		changedAt:   map[string]int64{},
		changed:     make(chan struct{}),
		stateSentAt: map[string]map[string]time.Time{},
	}
	a.Push(entries...)
	return a, a.Start()
}

// Start lets it come back at its address.
func (a *Agent) Start() error {
	listener, err := net.Listen("tcp", a.Addr)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	server := &http.Server{Handler: a, ReadHeaderTimeout: headerTimeout}
	a.mu.Lock()
	a.Addr = listener.Addr().String()
	a.server = server
	a.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // it ends when the agent is stopped
	return nil
}

// Stop ends it and all its connections; it keeps what it was sent.
func (a *Agent) Stop() {
	a.mu.Lock()
	server := a.server
	a.mu.Unlock()
	_ = server.Close() // its only error is that of a listener that is closed
}

// Push sends it changes: from now on they count as notified.
func (a *Agent) Push(entries ...config.EndpointEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, entry := range entries {
		a.changedAt[entry.ID] = a.version
		a.replace(entry)
		if a.stateSentAt[entry.ID] == nil {
			a.stateSentAt[entry.ID] = map[string]time.Time{}
		}
		a.stateSentAt[entry.ID][entry.State] = time.Now()
	}
	a.notify()
}

// replace puts the entry in the place of the endpoint's earlier one, or behind the others.
func (a *Agent) replace(entry config.EndpointEntry) {
	for i := range a.entries {
		if a.entries[i].ID == entry.ID {
			a.entries[i] = entry
			return
		}
	}
	a.entries = append(a.entries, entry)
}

// notify wakes the calls that wait for a change. The mutex is held.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Silent lets it take calls without an answer, or answer again.
func (a *Agent) Silent(on bool) { a.configure(func() { a.silent = on }) }

// FailWith lets it answer each call with a status, 0 = as it should.
func (a *Agent) FailWith(status int) { a.configure(func() { a.failStatus = status }) }

// AnswerAtOnce lets it answer watches at once, whatever it has.
func (a *Agent) AnswerAtOnce(on bool) { a.configure(func() { a.hasty = on }) }

// configure changes how it answers; calls that are in flight meet the change too.
func (a *Agent) configure(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	a.notify()
}

// Calls is how many calls have come.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// SentAt is when it was sent that an endpoint is in a state; zero = it was not.
func (a *Agent) SentAt(id, state string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stateSentAt[id][state]
}

// pollRequest is a poll of the endpoint list or a watch on it.
type pollRequest struct {
	watch bool  // it waits for a version
	index int64 // above this one,
	end   time.Time
}

func parsePollRequest(r *http.Request) pollRequest {
	query := r.URL.Query()
	index, err := strconv.ParseInt(query.Get("index"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait")) // a call without it doesn't wait
	return pollRequest{
		watch: err == nil,
		index: index,
		end:   time.Now().Add(time.Duration(ms) * time.Millisecond),
	}
}

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	poll := parsePollRequest(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if !a.blockUntilDue(r.Context(), poll) {
		return
	}
	if a.failStatus > 0 {
		w.WriteHeader(a.failStatus)
		return
	}
	list := config.EndpointList{Version: a.version, Full: !poll.watch, Endpoints: []config.EndpointEntry{}}
	for _, entry := range a.entries {
		if !poll.watch || a.changedAt[entry.ID] > poll.index {
			list.Endpoints = append(list.Endpoints, entry)
		}
	}
	_ = json.NewEncoder(w).Encode(list) // the caller may have gone meanwhile
}

// blockUntilDue waits until the call is to be answered, and says no when its caller has gone. The mutex is held before
// and behind it, and free while it waits.
func (a *Agent) blockUntilDue(ctx context.Context, poll pollRequest) bool {
	for !a.due(poll) {
		wait := time.Until(poll.end)
		if a.silent {
			wait = silentRecheck
		}
		changed := a.changed
		a.mu.Unlock()
		gone := false
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			gone = true
		}
		a.mu.Lock()
		if gone {
			return false
		}
	}
	return true
}

// due says whether the call is answered now.
func (a *Agent) due(poll pollRequest) bool {
	switch {
	case a.silent:
		return false
	case a.failStatus > 0, a.hasty:
		return true
	case !poll.watch, a.version > poll.index:
		return true
	default:
		return time.Until(poll.end) <= 0
	}
}
