package config

import (
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Deploy is what the operators set in deploy/limeladder.toml. What is left empty is off.
//
// The daemon keeps it in the store as JSON. A field that is renamed keeps its old name there by a json tag.
type Deploy struct {
	ExtendedQuery ExtendedQuery `toml:"extended" json:"Extended"`
	Failover      Failover      `toml:"changeover" json:"Changeover"`
	SiteFailover  SiteFailover  `toml:"sites" json:"Sites"`
	Syslog        Syslog        `toml:"syslog"`
	Audit         Audit         `toml:"audit"`
	Store         Store         `toml:"store"`
}

// ExtendedQuery turns the extended-query frontend on.
type ExtendedQuery struct {
	Listen string `toml:"listen"` // its address
}

// Failover says which requests wait through a failover, and how many.
type Failover struct {
	Classes []string      `toml:"classes"` // whose requests wait; empty = off
	Count   int           `toml:"count"`   // of requests that wait; 0 = by memory
	Bytes   int           `toml:"bytes"`   // of their statements; 0 = by memory
	Time    time.Duration `toml:"time"`    // the longest that one waits; 0 = until its own deadline
}

// SiteFailover says what is done about the loss of a site.
type SiteFailover struct {
	Watch bool `toml:"watch"` // sites are observed, and capacity is forecast for the loss of each
	Act   bool `toml:"act"`   // while one is lost, excess load is shed, and its recovery is ramped
}

// Store says who this member of the replicated store is and where all of them are reached.
type Store struct {
	Name   string            `toml:"name"`   // of this member, among the peers
	Folder string            `toml:"folder"` // of its log
	Peers  map[string]string `toml:"peers"`  // addresses by name, this member's too
	CA     string            `toml:"ca"`     // PEM file of the authorities that members trust; empty = no encryption
	Cert   string            `toml:"cert"`   // PEM file of this member's certificate, with its name among the DNS names
	Key    string            `toml:"key"`
}

// LoadDeploy reads the file at path. If there is none, all of it is off.
func LoadDeploy(path string) (Deploy, error) {
	var d Deploy
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return d, nil
	}
	if err != nil {
		return d, err
	}
	meta, err := toml.Decode(string(text), &d)
	if err != nil {
		return d, &FieldError{File: path, Reason: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return d, &FieldError{File: path, Field: unknown[0].String(), Reason: errors.New("no such field")}
	}
	if err := d.check(); err != nil {
		return d, inFile(path, err)
	}
	return d, nil
}

// check checks the fields and reads what they name.
func (d *Deploy) check() error {
	for _, check := range []func() error{
		d.SiteFailover.check,
		d.ExtendedQuery.check,
		d.Failover.check,
		d.Syslog.check,
		d.Audit.check,
		d.Store.check,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *SiteFailover) check() error {
	if s.Act && !s.Watch {
		return fieldErrorf("sites.act", "nothing is known of sites without sites.watch")
	}
	return nil
}

func (e *ExtendedQuery) check() error {
	if e.Listen == "" {
		return nil
	}
	return checkAddress("extended.listen", e.Listen)
}

func (f *Failover) check() error {
	const (
		maxCount = 1 << 20
		maxBytes = 1 << 30
		maxTime  = time.Hour
	)
	return firstError(
		checkRange("changeover.count", f.Count, 0, maxCount),
		checkRange("changeover.bytes", f.Bytes, 0, maxBytes),
		checkDuration("changeover.time", f.Time, maxTime, "1h"),
	)
}

// isSet says whether any field of the store is set.
func (s *Store) isSet() bool {
	return s.Name+s.Folder != "" || len(s.Peers) > 0 || s.CA+s.Cert+s.Key != ""
}

// hasSomeFiles says whether some but not all files for encryption are named.
func (s *Store) hasSomeFiles() bool {
	hasCA := s.CA != ""
	return hasCA != (s.Cert != "") || hasCA != (s.Key != "")
}

func (s *Store) check() error {
	if !s.isSet() {
		return nil
	}
	switch {
	case s.hasSomeFiles():
		return fieldErrorf("store.ca", "ca, cert and key go together")
	case s.Folder == "":
		return &FieldError{Field: "store.folder", Reason: errMissing}
	case s.Peers[s.Name] == "":
		return fieldErrorf("store.name", "%q is none of store.peers", s.Name)
	}
	for name, address := range s.Peers {
		if err := checkAddress("store.peers."+name, address); err != nil {
			return err
		}
	}
	return nil
}
