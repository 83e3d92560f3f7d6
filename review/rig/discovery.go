package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one line of the list of db machines.
type entry struct {
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

// endpointList is an answer of discovery.
type endpointList struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for discovery: the whole list, and watches that are answered with what has changed.
type discovery struct {
	record  *record
	address string
	server  *http.Server

	mu      sync.Mutex
	version int
	changed map[string]int // the version of an entry's last change
	entries map[string]entry
	order   []string
	news    chan struct{} // closed with the next change
}

// startDiscovery starts discovery with a list.
func (r *rig) startDiscovery(entries ...entry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		record: r.record, address: listener.Addr().String(), changed: map[string]int{}, entries: map[string]entry{},
		news: make(chan struct{}), version: 40,
	}
	d.set(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.answer)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.server.Serve(listener) }() // it ends with stop, or with the program
	return d, nil
}

// stop takes discovery down: calls are refused and watches end.
func (d *discovery) stop() {
	d.record.note("discovery goes down")
	_ = d.server.Close() // the listener is closed whatever it returns
}

// set changes entries or adds them.
func (d *discovery) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		if _, known := d.entries[e.ID]; !known {
			d.order = append(d.order, e.ID)
		}
		d.entries[e.ID] = e
		d.changed[e.ID] = d.version
		d.record.note("discovery lists %s as %s at %s in version %d", e.ID, e.State, e.Addr, d.version)
	}
	close(d.news)
	d.news = make(chan struct{})
}

// list returns the whole list, or what has changed since a version.
func (d *discovery) list(since int, full bool) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := endpointList{Version: d.version, Full: full, Servers: []entry{}}
	for _, id := range d.order {
		e := d.entries[id]
		if full && e.State == "gone" || !full && d.changed[id] <= since {
			continue
		}
		l.Servers = append(l.Servers, e)
	}
	return l
}

func (d *discovery) answer(w http.ResponseWriter, call *http.Request) {
	query := call.URL.Query()
	list := d.list(0, true)
	if query.Has("index") {
		since, _ := strconv.Atoi(query.Get("index")) // 0 tells everything
		wait, _ := strconv.Atoi(query.Get("wait"))   // 0 does not wait
		d.wait(call, since, time.Duration(wait)*time.Millisecond)
		list = d.list(since, false)
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded) // a caller that has gone is told nothing
	d.record.note("discovery has told version %d (full=%v, %d lines)", list.Version, list.Full, len(list.Servers))
}

// wait waits until something newer than the version exists, the time is over or the caller has gone.
func (d *discovery) wait(call *http.Request, since int, atMost time.Duration) {
	end := time.After(atMost)
	for {
		d.mu.Lock()
		version, news := d.version, d.news
		d.mu.Unlock()
		if version > since {
			return
		}
		select {
		case <-news:
		case <-end:
			return
		case <-call.Context().Done():
			return
		}
	}
}
