package main

import (
	"encoding/json"
	"fmt"

	"limeladder/internal/membership"
	"limeladder/internal/store"
)

// The keys of the replicated store. They are stored data and must not change.
const (
	endpointListKey     = "list"
	configKeyPrefix     = "config/"  // followed by the name of a router
	countersKeyPrefix   = "counts/"  // followed by the name of a router
	groupTermsKeyPrefix = "primary/" // followed by the number of a replica group
)

// openedStore is the result of opening the store in the background.
type openedStore struct {
	store *store.Store
	err   error
}

// startStore opens the store if this process is the only one of its router. Two processes must never have the store's
// log open at once, so during a hot restart the store is opened once the other process has ended.
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

// storeConfig returns the configuration of the store from the deploy file and the current limits.
func (d *daemon) storeConfig() store.Config {
	settings := d.deploy.Store
	return store.Config{
		Name:         settings.Name,
		Folder:       settings.Folder,
		Peers:        settings.Peers,
		LogEntries:   d.limits.Store.LogEntries,
		LogBytes:     int64(d.limits.Store.LogBytes),
		QueuedWrites: d.limits.Store.QueuedWrites,
		TLS:          store.TLSFiles{CA: settings.CA, Cert: settings.Cert, Key: settings.Key},
		Purge:        holdsSecret,
		Recover:      func(key string) bool { return key == endpointListKey },
	}
}

// openStoreInBackground opens the store on another goroutine, because reading its log would delay requests. It does
// nothing if the store is off, open or being opened. The goroutine gets copies of the fields that it needs, because the
// daemon belongs to the event loop.
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

// finishOpeningStore starts to use the store that was opened in the background. It blocks until the store is open.
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

// useStore starts to use an opened store, and writes the settings of the deploy file and the endpoint list to it. From
// now on this process saves the list on its disk too: before, another process of this router may do so.
func (d *daemon) useStore(opened *store.Store) {
	d.store = opened
	if torn := opened.TornBytes(); torn > 0 {
		d.recording.note("store", fmt.Sprintf("%d bytes of torn data were dropped", torn))
	}
	d.storeValue(configKeyPrefix+d.name, d.deploy)
	d.storeEndpointList()
	d.saveEndpointList()
}

// closeStore closes the store, including one that is still being opened: otherwise that would keep its log open and its
// address in use.
func (d *daemon) closeStore() {
	d.finishOpeningStore()
	if d.store == nil {
		return
	}
	if err := d.store.Close(); err != nil {
		d.log.Warn("store not closed cleanly", "error", err)
	}
}

// storeValue queues a value to be stored. It doesn't wait for the write, and does nothing if the store is off.
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

// recoveredEndpointList returns the list that was stored on this machine's disk when the store was opened. It is empty
// if there is none, or the store is not open.
func (d *daemon) recoveredEndpointList() (list membership.Snapshot) {
	if d.store == nil {
		return list
	}
	encoded, found := d.store.Recovered(endpointListKey)
	if found && json.Unmarshal(encoded, &list) != nil {
		return membership.Snapshot{}
	}
	return list
}

// loadValue reads a value from the store. ok is false if the store is off, has no such value, or the value can't be
// decoded.
func (d *daemon) loadValue(key string, value any) (ok bool) {
	if d.store == nil {
		return false
	}
	encoded, found := d.store.Get(key)
	return found && json.Unmarshal(encoded, value) == nil
}
