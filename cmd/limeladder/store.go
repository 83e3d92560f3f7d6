package main

import (
	"encoding/json"
	"fmt"

	"limeladder/internal/store"
)

// The keys of the replicated store. They are stored data and must not change.
const (
	endpointListKey     = "list"
	configKeyPrefix     = "config/"  // the name of a router follows
	countersKeyPrefix   = "counts/"  // the name of a router follows
	groupTermsKeyPrefix = "primary/" // the number of a replica group follows
)

// startStore opens the store where this process is the only one of its router. Two processes must never have its log
// open at once, so during a hot restart the store is opened once the other process is gone.
func (d *daemon) startStore() error {
	if !d.hotRestart.shared.StartedAlone() {
		return nil
	}
	var err error
	d.store, err = d.openStore()
	return err
}

// openStore opens the store, or returns nil where deploy/limeladder.toml names none.
func (d *daemon) openStore() (*store.Store, error) {
	settings := d.deploy.Store
	if settings.Name == "" {
		return nil, nil
	}
	opened, err := store.Open(store.Config{
		Name:         settings.Name,
		Folder:       settings.Folder,
		Peers:        settings.Peers,
		LogEntries:   d.limits.Store.LogEntries,
		QueuedWrites: d.limits.Store.QueuedWrites,
		TLS:          store.TLSFiles{CA: settings.CA, Cert: settings.Cert, Key: settings.Key},
		Purge:        holdsSecret,
	}, d.log)
	if err != nil {
		return nil, err
	}
	if torn := opened.TornBytes(); torn > 0 {
		d.loop.Post(func() { d.recording.note("store", fmt.Sprintf("%d bytes of torn data were dropped", torn)) })
	}
	d.loop.Post(func() { d.storeValue(configKeyPrefix+d.name, d.deploy) })
	return opened, nil
}

// openStoreInBackground opens the store on a goroutine of its own, because reading its log would delay requests.
func (d *daemon) openStoreInBackground() {
	go func() {
		opened, err := d.openStore()
		if err != nil {
			d.log.Error("store not opened", "error", err)
		}
		d.loop.Post(func() { d.store = opened })
	}()
}

// storeValue queues a value for the store. Nothing waits for it, and where the store is off it does nothing.
func (d *daemon) storeValue(key string, value any) {
	if d.store == nil {
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		d.log.Warn("value not stored", "key", key, "error", err)
		return
	}
	if !d.store.Put(key, encoded) {
		d.log.Warn("value not stored: queue is full", "key", key, "dropped", d.store.Dropped())
	}
}

// loadValue reads a value from the store. ok is false where the store is off or has no such value that can be read.
func (d *daemon) loadValue(key string, value any) (ok bool) {
	if d.store == nil {
		return false
	}
	encoded, found := d.store.Get(key)
	return found && json.Unmarshal(encoded, value) == nil
}
