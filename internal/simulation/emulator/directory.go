package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/simulation/model"
)

// directory is the discovery service over HTTP: it serves full endpoint lists and watches for changes after a version.
// For a single router it equals an agent to which lists are pushed, except that it does not answer while discovery is
// down.
type directory struct {
	*model.Registry
	host      *Host
	addr      string
	server    *http.Server
	changed   chan struct{} // closed and replaced at the next change
	downUntil time.Duration
}

// startDirectory starts discovery at a free loopback port.
func (h *Host) startDirectory() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	d := &directory{host: h, addr: ln.Addr().String(), changed: make(chan struct{})}
	d.Registry = model.NewRegistry(h.world, model.NoticeDelays{Change: h.cfg.Notice, Silent: h.cfg.Silent, Role: h.cfg.RoleLag},
		func(r [2]time.Duration) time.Duration {
			return r[0] + time.Duration(h.rng.Float64()*float64(r[1]-r[0]))
		},
		func(int) {
			close(d.changed)
			d.changed = make(chan struct{})
		})
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	h.directory = d
	go func() { _ = d.server.Serve(ln) }() // returns when the directory is closed
	return nil
}

func (d *directory) close() {
	_ = d.server.Close() // Close fails only on a listener that is closed already
}

// changesSince returns the endpoints that have changed after a version, all of them after version 0.
func (d *directory) changesSince(version int64) config.EndpointList {
	l := config.EndpointList{Version: d.Version, Full: version == 0, Endpoints: []config.EndpointEntry{}}
	d.Since(version, func(x model.Listing) {
		e := config.EndpointEntry{
			ID: x.Endpoint.ID, Zone: x.Endpoint.Zone, Group: x.Endpoint.Group.ID,
			State: x.State.String(), Weight: 1, StartedMs: x.StartedAt.Milliseconds(), Mode: "read-only",
		}
		if x.Primary {
			e.Mode = "read-write"
		}
		for _, s := range d.host.servers {
			if s.endpoint == x.Endpoint {
				e.Addr = s.addr
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	})
	return l
}

// ServeHTTP answers GET /v1/endpoints with the full list. With index=VERSION&wait=MS it waits up to MS milliseconds for
// a newer version and answers with the changes since VERSION.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	index, watch := int64(0), r.URL.Query().Has("index")
	ms := int64(0)
	if watch {
		var err error
		if index, err = strconv.ParseInt(r.URL.Query().Get("index"), 10, 64); err == nil {
			ms, err = strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
		}
		if err != nil || ms < 0 || ms > 600_000 {
			http.Error(w, "index and wait are numbers", http.StatusBadRequest)
			return
		}
	}
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		var l config.EndpointList
		var changed chan struct{}
		var downFor time.Duration
		d.host.withModel(func() {
			changed, downFor = d.changed, d.downUntil-d.host.clock.Now()
			if l = d.changesSince(index); watch {
				l.Full = false
			}
		})
		if downFor > 0 { // no response until discovery is back
			select {
			case <-r.Context().Done():
				return
			case <-time.After(downFor):
			}
			continue
		}
		if left := time.Until(end); watch && l.Version == index && left > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
			case <-time.After(left):
			}
			continue
		}
		p, err := json.Marshal(l)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(p) // the caller may have disconnected
		return
	}
}
