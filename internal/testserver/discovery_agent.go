package testserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"limeladder/internal/config"
)

const (
	headerTimeout = 5 * time.Second
	// silentRecheck is the interval at which a call to a silent agent checks whether the agent is still silent. A change
	// of the agent's behaviour ends the wait immediately.
	silentRecheck = time.Hour
)

// noWatch is the index before the first watch.
const noWatch = -1

// Agent is a fake of the local agent to which discovery pushes endpoint lists and which a router polls on its own
// machine. It answers a poll immediately with the entries that it holds, and a watch as soon as it has a newer version.
type Agent struct {
	Addr string

	mu           sync.Mutex
	server       *http.Server
	entries      []config.EndpointEntry
	changedAt    map[string]int64 // by endpoint: the version that changed it last
	version      int64
	changed      chan struct{} // closed at the next change
	silent       bool          // calls are accepted and not answered
	failStatus   int           // HTTP status of every response, 0 = calls are answered normally
	answerAtOnce bool          // watches are answered without waiting for a newer version
	calls        int
	lastIndex    int64                           // index of the newest watch, noWatch = none was received
	stateSentAt  map[string]map[string]time.Time // by endpoint and state: when it was last pushed
}

// NewAgent starts an agent that holds the given entries.
func NewAgent(entries ...config.EndpointEntry) (*Agent, error) {
	a := &Agent{
		Addr:        "127.0.0.1:0",
		lastIndex:   noWatch,
		changedAt:   map[string]int64{},
		changed:     make(chan struct{}),
		stateSentAt: map[string]map[string]time.Time{},
	}
	a.Push(entries...)
	return a, a.Start()
}

// Start starts the agent. After a Stop, the agent listens at the same address as before.
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
	go func() { _ = server.Serve(listener) }() // returns when the agent is stopped
	return nil
}

// Stop closes the agent's listener and connections. The agent keeps its entries.
func (a *Agent) Stop() {
	a.mu.Lock()
	server := a.server
	a.mu.Unlock()
	_ = server.Close() // Close fails only on a listener that is closed already
}

// Push adds or replaces the given endpoints' entries and records the current time as the one at which they were sent.
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

// replace replaces the endpoint's earlier entry, or appends the entry if there is none.
func (a *Agent) replace(entry config.EndpointEntry) {
	for i := range a.entries {
		if a.entries[i].ID == entry.ID {
			a.entries[i] = entry
			return
		}
	}
	a.entries = append(a.entries, entry)
}

// notify wakes the calls that wait for a change. The caller holds a.mu.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Silent sets whether the agent accepts calls without answering them.
func (a *Agent) Silent(on bool) { a.configure(func() { a.silent = on }) }

// FailWith makes the agent answer each call with an HTTP status; 0 restores normal answers.
func (a *Agent) FailWith(status int) { a.configure(func() { a.failStatus = status }) }

// AnswerAtOnce sets whether watches are answered immediately, even without a newer version.
func (a *Agent) AnswerAtOnce(on bool) { a.configure(func() { a.answerAtOnce = on }) }

// configure changes how the agent answers. The change also applies to calls in flight.
func (a *Agent) configure(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	a.notify()
}

// Calls returns the number of calls received.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// LastIndex returns the version that the newest watch named, or -1 if there was none since the last call.
func (a *Agent) LastIndex() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	index := a.lastIndex
	a.lastIndex = noWatch
	return index
}

// List returns the complete list that the agent holds.
func (a *Agent) List() config.EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return config.EndpointList{Version: a.version, Full: true, Endpoints: slices.Clone(a.entries)}
}

// SentAt returns when an endpoint was last pushed with the given state, or the zero time if it never was.
func (a *Agent) SentAt(id, state string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stateSentAt[id][state]
}

// pollRequest is a call of a router: a poll of the endpoint list or a watch on it.
type pollRequest struct {
	watch bool      // the call waits for a version above index
	index int64     // the newest version that the caller knows
	end   time.Time // when a watch is answered at the latest
}

func parsePollRequest(r *http.Request) pollRequest {
	query := r.URL.Query()
	index, err := strconv.ParseInt(query.Get("index"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait")) // 0 if the parameter is missing: the call does not wait
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
	if poll.watch {
		a.lastIndex = poll.index
	}
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
	_ = json.NewEncoder(w).Encode(list) // the caller may have disconnected
}

// blockUntilDue waits until the call is due to be answered. It returns false if the caller disconnects first. The
// caller holds a.mu, which is released while blockUntilDue waits.
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

// due reports whether the call is to be answered now.
func (a *Agent) due(poll pollRequest) bool {
	switch {
	case a.silent:
		return false
	case a.failStatus > 0, a.answerAtOnce:
		return true
	case !poll.watch, a.version > poll.index:
		return true
	default:
		return time.Until(poll.end) <= 0
	}
}
