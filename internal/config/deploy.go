package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Deploy is what the operators set in deploy/limeladder.toml. What is left empty is off.
type Deploy struct {
	Extended struct {
		Listen string `toml:"listen"` // where the second front listens
	} `toml:"extended"`
	Changeover struct {
		Classes []string      `toml:"classes"` // whose requests are held; empty = off
		Count   int           `toml:"count"`   // that are held, 0 = by memory
		Bytes   int           `toml:"bytes"`   // of their statements, 0 = by memory
		Time    time.Duration `toml:"time"`    // the longest that one is held, 0 = until its own deadline
	} `toml:"changeover"`
	Sites struct {
		Watch bool `toml:"watch"` // whole sites are judged, and their loss is planned
		Act   bool `toml:"act"`   // what is too much while one is lost is refused, and its return is paced
	} `toml:"sites"`
	Syslog Syslog `toml:"syslog"`
	Audit  Audit  `toml:"audit"`
	Store  struct {
		Name   string            `toml:"name"`   // this member's name among the peers
		Folder string            `toml:"folder"` // where its log is kept
		Peers  map[string]string `toml:"peers"`  // name to address, this member's too
		CA     string            `toml:"ca"`     // who vouches for members, PEM; "" = they talk in the clear
		Cert   string            `toml:"cert"`   // this member's, with its name among the DNS names
		Key    string            `toml:"key"`
	} `toml:"store"`
}

// LoadDeploy reads the file at path; one that is not there leaves all of it off.
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
		return d, fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return d, fmt.Errorf("%s: %s: no such field", path, extra[0])
	}
	if d.Sites.Act && !d.Sites.Watch {
		return d, fmt.Errorf("%s: sites.act: nothing is known of sites without sites.watch", path)
	}
	if d.Extended.Listen != "" {
		if err := address(d.Extended.Listen); err != nil {
			return d, fmt.Errorf("%s: extended.listen: %w", path, err)
		}
	}
	switch c := d.Changeover; {
	case c.Count < 0 || c.Count > 1<<20:
		return d, fmt.Errorf("%s: changeover.count: %d does not lie between 0 and %d", path, c.Count, 1<<20)
	case c.Bytes < 0 || c.Bytes > 1<<30:
		return d, fmt.Errorf("%s: changeover.bytes: %d does not lie between 0 and %d", path, c.Bytes, 1<<30)
	case c.Time < 0 || c.Time > time.Hour:
		return d, fmt.Errorf("%s: changeover.time: %v does not lie between 0s and 1h", path, c.Time)
	}
	if err := d.Syslog.check(); err != nil {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	if err := d.Audit.check(); err != nil {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	if s := d.Store; s.Name != "" || s.Folder != "" || len(s.Peers) > 0 || s.CA+s.Cert+s.Key != "" {
		switch {
		case (s.CA != "") != (s.Cert != "") || (s.CA != "") != (s.Key != ""):
			return d, fmt.Errorf("%s: store.ca: ca, cert and key go together", path)
		case s.Folder == "":
			return d, fmt.Errorf("%s: store.folder: missing", path)
		case s.Peers[s.Name] == "":
			return d, fmt.Errorf("%s: store.name: %q is none of store.peers", path, s.Name)
		}
		for name, a := range s.Peers {
			if err := address(a); err != nil {
				return d, fmt.Errorf("%s: store.peers.%s: %w", path, name, err)
			}
		}
	}
	return d, nil
}
