package multiprocess

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// discoveryView serves discovery to one router, with the addresses of the router's own links as those of the endpoints.
// If lists are pushed it acts as the agent on the router's host: it serves the newest list that has reached it, and
// answers nothing while discovery is unreachable.
type discoveryView struct {
	host          *emulator.Host
	network       *faultproxy.Network
	log           *history.Log
	router        *process
	pushed        bool
	linkAddress   func(endpoint string) string
	server        *http.Server
	listenAddress string
	stopped       chan struct{}

	mutex       sync.Mutex
	agentList   config.EndpointList // if pushed: the newest list that reached the agent
	unreachable bool                // if pushed: discovery can't reach the agent
}

const viewPollInterval = 10 * time.Millisecond

func (v *discoveryView) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	v.listenAddress, v.stopped = ln.Addr().String(), make(chan struct{})
	v.server = &http.Server{Handler: v, ReadHeaderTimeout: 5 * time.Second}
	v.agentList = v.host.List(0)
	go func() { _ = v.server.Serve(ln) }() // it returns when the view is closed
	if v.pushed {
		go v.receivePushes()
	}
	return nil
}

func (v *discoveryView) close() {
	close(v.stopped)
	_ = v.server.Close() // its only error is that of closing the listener
}

// receivePushes copies the pushed lists while discovery can reach the agent. The router counts as notified of the
// agent's list.
func (v *discoveryView) receivePushes() {
	for {
		select {
		case <-v.stopped:
			return
		case <-time.After(viewPollInterval):
		}
		l := v.host.List(0)
		unreachable := len(l.Endpoints) == 0 || v.network.Impaired(v.router.Name, discovery.Name)
		v.mutex.Lock()
		if v.unreachable = unreachable; !unreachable && l.Version > v.agentList.Version {
			previous := v.agentList.Version
			v.agentList = l
			for _, e := range v.host.List(previous).Endpoints {
				v.recordNotification(e, false)
			}
		}
		v.mutex.Unlock()
	}
}

// recordInitialList records, when the router starts, the notification of each endpoint that isn't ready in the agent's
// list.
func (v *discoveryView) recordInitialList() {
	if !v.pushed {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, e := range v.agentList.Endpoints {
		if e.State != "ready" {
			v.recordNotification(e, false)
		}
	}
}

func (v *discoveryView) recordNotification(e config.EndpointEntry, impaired bool) {
	v.log.Add(history.EndpointStateNotified{
		Router:       v.router.Name,
		Incarnation:  v.router.Incarnation(),
		Endpoint:     e.ID,
		State:        e.State,
		LinkImpaired: impaired,
	})
}

// list returns the answer to a call, and whether there is one.
func (v *discoveryView) list(since int64) (l config.EndpointList, ok bool) {
	if !v.pushed {
		l = v.host.List(since)
		return l, l.Version > 0
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.unreachable {
		return l, false
	}
	l = config.EndpointList{Version: v.agentList.Version, Full: since == 0, Endpoints: []config.EndpointEntry{}}
	if since < l.Version {
		// A complete list is a valid answer to a watch.
		l.Full, l.Endpoints = true, append(l.Endpoints, v.agentList.Endpoints...)
	}
	return l, true
}

// initialList returns the cached list for a router that starts.
func (v *discoveryView) initialList() config.EndpointList {
	l := v.host.List(0)
	if len(l.Endpoints) == 0 {
		v.mutex.Lock()
		l = v.agentList
		v.mutex.Unlock()
	}
	return v.withLinkAddresses(l)
}

func (v *discoveryView) withLinkAddresses(l config.EndpointList) config.EndpointList {
	mapped := l
	mapped.Endpoints = make([]config.EndpointEntry, len(l.Endpoints))
	for i, e := range l.Endpoints {
		e.Addr = v.linkAddress(e.ID)
		mapped.Endpoints[i] = e
	}
	return mapped
}

// ServeHTTP implements http.Handler.
func (v *discoveryView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	since, wait, err := parseWatch(r.URL.Query())
	if err != nil {
		http.Error(w, "index and wait are numbers", http.StatusBadRequest)
		return
	}
	watch := r.URL.Query().Has("index")
	for end := time.Now().Add(wait); ; {
		l, ok := v.list(since)
		if ok && (!watch || l.Version > since || time.Now().After(end)) {
			if watch && l.Version <= since {
				l.Full, l.Endpoints = false, l.Endpoints[:0]
			}
			if !v.pushed {
				impaired := v.network.Impaired(v.router.Name, discovery.Name)
				for _, e := range l.Endpoints {
					v.recordNotification(e, impaired)
				}
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v.withLinkAddresses(l)) // the caller may have disconnected
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(viewPollInterval):
		}
	}
}

var errInvalidWait = errors.New("invalid wait time")

// parseWatch reads which version a call knows and how long it may wait. A call for the complete list knows none and
// doesn't wait.
func parseWatch(query url.Values) (since int64, wait time.Duration, err error) {
	const longestWait = time.Minute
	if !query.Has("index") {
		return 0, 0, nil
	}
	since, err = strconv.ParseInt(query.Get("index"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	milliseconds, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		return 0, 0, err
	}
	wait = time.Duration(milliseconds) * time.Millisecond
	if wait < 0 || wait > longestWait {
		return 0, 0, errInvalidWait
	}
	return since, wait, nil
}
