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

// openedStore is what came of opening the store in the background.
type openedStore struct {
	store *store.Store
	err   error
}

// startStore opens the store where this process is the only one of its router. Two processes must never have its log
// open at once, so during a hot restart the store is opened once the other process is gone.
func (d *daemon) startStore() error {
	if d.deploy.Store.Name == "" || !d.hotRestart.shared.StartedAlone() {
		return nil
	}
	opened, err := store.Open(d.storeConfig(), d.log)
	if err != nil {
		return err
	}
	d.loop.Post(func() { d.useStore(opened) })
	return nil
}

// storeConfig returns how the store is opened, by the operators' file and the limits of this moment.
func (d *daemon) storeConfig() store.Config {
	settings := d.deploy.Store
	return store.Config{
		Name:         settings.Name,
		Folder:       settings.Folder,
		Peers:        settings.Peers,
		LogEntries:   d.limits.Store.LogEntries,
		QueuedWrites: d.limits.Store.QueuedWrites,
		TLS:          store.TLSFiles{CA: settings.CA, Cert: settings.Cert, Key: settings.Key},
		Purge:        holdsSecret,
	}
}

// openStoreInBackground opens the store, unless it is off, open or being opened, on a goroutine of its own: reading its
// log would delay requests. That goroutine gets copies of all that it needs.
func (d *daemon) openStoreInBackground() {
	if d.deploy.Store.Name == "" || d.store != nil || d.openingStore != nil {
		return
	}
	cfg := d.storeConfig()
	log := d.log
	result := make(chan openedStore, 1)
	d.openingStore = result
	go func() {
		opened, err := store.Open(cfg, log)
		result <- openedStore{store: opened, err: err}
		d.loop.Post(d.finishOpeningStore)
	}()
}

// finishOpeningStore takes over what was opened in the background. It waits where that is not done yet.
func (d *daemon) finishOpeningStore() {
	if d.openingStore == nil {
		return
	}
	result := <-d.openingStore
	d.openingStore = nil
	if result.err != nil {
		d.log.Error("store not opened", "error", result.err)
		return
	}
	d.useStore(result.store)
}

// useStore takes over a store that was opened, and stores the operators' file there.
func (d *daemon) useStore(opened *store.Store) {
	d.store = opened
	if torn := opened.TornBytes(); torn > 0 {
		d.recording.note("store", fmt.Sprintf("%d bytes of torn data were dropped", torn))
	}
	d.storeValue(configKeyPrefix+d.name, d.deploy)
}

// closeStore closes the store, also one that is still being opened: left open, it would keep its log and its address.
func (d *daemon) closeStore() {
	d.finishOpeningStore()
	if d.store == nil {
		return
	}
	if err := d.store.Close(); err != nil {
		d.log.Warn("store not closed cleanly", "error", err)
	}
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
