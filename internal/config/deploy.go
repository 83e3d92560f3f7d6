package config

import (
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Deploy is the content of deploy/limeladder.toml, which the operators write. A feature that is not configured is off.
//
// The daemon keeps it in the store as JSON. A field whose Go name differs from its stored name has a json tag with the
// stored name.
type Deploy struct {
	ExtendedQuery ExtendedQuery `toml:"extended" json:"Extended"`
	Failover      Failover      `toml:"changeover" json:"Changeover"`
	SiteFailover  SiteFailover  `toml:"sites" json:"Sites"`
	Syslog        Syslog        `toml:"syslog"`
	Audit         Audit         `toml:"audit"`
	Store         Store         `toml:"store"`
}

// ExtendedQuery is the section [extended], which enables the extended-query frontend.
type ExtendedQuery struct {
	Listen string `toml:"listen"` // listen address; empty = off
}

// Failover is the section [changeover]: which requests are queued during a failover, and the bounds of that queue.
type Failover struct {
	Classes []string      `toml:"classes"` // classes whose requests are queued; empty = off
	Count   int           `toml:"count"`   // maximum number of queued requests; 0 = derived from the memory limit
	Bytes   int           `toml:"bytes"`   // maximum total size of their statements; 0 = derived from the memory limit
	Time    time.Duration `toml:"time"`    // maximum wait of a request; 0 = until its deadline
}

// SiteFailover is the section [sites]: how the router handles the loss of a site.
type SiteFailover struct {
	Watch bool `toml:"watch"` // monitor sites, and forecast the capacity that is left after the loss of each
	Act   bool `toml:"act"`   // shed excess load while a site is lost, and ramp up its load when it recovers
}

// Store is the section [store]: the name of this member of the replicated store and the addresses of all members.
type Store struct {
	Name   string            `toml:"name"`   // name of this member, a key of Peers
	Folder string            `toml:"folder"` // folder of the member's log
	Peers  map[string]string `toml:"peers"`  // addresses by member name, including this member
	CA     string            `toml:"ca"`     // PEM file of the trusted certificate authorities; empty = no encryption
	Cert   string            `toml:"cert"`   // PEM file of this member's certificate, whose DNS names include Name
	Key    string            `toml:"key"`    // PEM file of the certificate's private key
}

// LoadDeploy reads the file at path. If the file does not exist, every feature is off.
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
		return d, &FieldError{File: path, Field: unknown[0].String(), Reason: errors.New("unknown field")}
	}
	if err := d.check(); err != nil {
		return d, inFile(path, err)
	}
	return d, nil
}

// check validates the fields and reads the files that they name.
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
		return fieldErrorf("sites.act", "requires sites.watch")
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

// isSet reports whether any field of the section is set.
func (s *Store) isSet() bool {
	return s.Name+s.Folder != "" || len(s.Peers) > 0 || s.CA+s.Cert+s.Key != ""
}

// hasIncompleteTLS reports whether some, but not all, of CA, Cert and Key are set.
func (s *Store) hasIncompleteTLS() bool {
	hasCA := s.CA != ""
	return hasCA != (s.Cert != "") || hasCA != (s.Key != "")
}

func (s *Store) check() error {
	if !s.isSet() {
		return nil
	}
	switch {
	case s.hasIncompleteTLS():
		return fieldErrorf("store.ca", "ca, cert and key must be set together")
	case s.Folder == "":
		return &FieldError{Field: "store.folder", Reason: errMissing}
	case s.Peers[s.Name] == "":
		return fieldErrorf("store.name", "%q is not in store.peers", s.Name)
	}
	for name, address := range s.Peers {
		if err := checkAddress("store.peers."+name, address); err != nil {
			return err
		}
	}
	return nil
}
