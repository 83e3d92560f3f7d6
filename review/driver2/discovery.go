package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpointEntry and endpointList have the form of the protocol page.
type endpointEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	Mode      string  `json:"mode,omitempty"`
}

type endpointList struct {
	Version int64           `json:"version"`
	Full    bool            `json:"full"`
	Servers []endpointEntry `json:"servers"`
}

// String returns the list for the record.
func (l *endpointList) String() string {
	if l == nil {
		return "none"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "version %d:", l.Version)
	for _, entry := range l.Servers {
		fmt.Fprintf(&text, " %s %s", entry.ID, entry.State)
	}
	return text.String()
}

// discovery is the stand-in of the discovery service.
type discovery struct {
	w    *world
	addr string

	mu        sync.Mutex
	list      endpointList
	changedAt map[string]int64 // by id: the version that changed it last
	changed   chan struct{}
	down      bool // every call ends with 503
}

func (w *world) newDiscovery(entries ...endpointEntry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		w: w, addr: listener.Addr().String(), changedAt: map[string]int64{}, changed: make(chan struct{}),
		list: endpointList{Full: true},
	}
	d.change(entries...)
	server := &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // it serves until the end of the run
	return d, nil
}

// change replaces or adds entries, as one new version.
func (d *discovery) change(entries ...endpointEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	for _, entry := range entries {
		d.changedAt[entry.ID] = d.list.Version
		replaced := false
		for i := range d.list.Servers {
			if d.list.Servers[i].ID == entry.ID {
				d.list.Servers[i] = entry
				replaced = true
			}
		}
		if !replaced {
			d.list.Servers = append(d.list.Servers, entry)
		}
	}
	d.w.logf("discovery: %s", &d.list)
	close(d.changed)
	d.changed = make(chan struct{})
}

// setDown makes every call end with 503, or ends that. Watches end when discovery goes down.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.w.logf("discovery: down=%v", down)
	close(d.changed)
	d.changed = make(chan struct{})
}

// known returns the whole list as a router has it that was told everything.
func (d *discovery) known() *endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	copied := d.list
	copied.Servers = append([]endpointEntry(nil), d.list.Servers...)
	return &copied
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	index, err := strconv.ParseInt(query.Get("index"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(query.Get("wait")) // 0 where there is none
	end := time.After(time.Duration(wait) * time.Millisecond)
	waitOver := !watch
	for {
		d.mu.Lock()
		down, version, changed := d.down, d.list.Version, d.changed
		d.mu.Unlock()
		if down || waitOver || version > index {
			break
		}
		select {
		case <-changed:
		case <-end:
			waitOver = true
		case <-request.Context().Done():
			return
		}
	}
	d.answer(response, request.URL.RawQuery, watch, index)
}

func (d *discovery) answer(response http.ResponseWriter, query string, watch bool, index int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		d.w.logf("discovery: call %q answered 503", query)
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := endpointList{Version: d.list.Version, Full: !watch, Servers: []endpointEntry{}}
	for _, entry := range d.list.Servers {
		if !watch || d.changedAt[entry.ID] > index {
			answer.Servers = append(answer.Servers, entry)
		}
	}
	d.w.logf("discovery: call %q answered full=%v %s", query, answer.Full, &answer)
	_ = json.NewEncoder(response).Encode(answer) // the caller may have gone
}
