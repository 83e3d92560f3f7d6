package main

import (
	"fmt"
	"net"
	"time"
)

// watchTime is how long the restarted router is watched.
const watchTime = 20 * time.Second

// restartWithoutMajority: three routers hold the store. Two of them are killed, and the third is restarted while
// discovery is down.
func restartWithoutMajority(w *world) error {
	_, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	old, err := oldList()
	if err != nil {
		return err
	}
	routers, err := w.newStoreMembers(list, "n1", "n2", "n3")
	if err != nil {
		return err
	}
	for _, r := range routers {
		r.known = old
		if err := r.start(); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second) // all members have the list by then
	first := routers[0]
	for _, r := range routers {
		if !w.servesReads(r, "before-"+r.name, 10) {
			return errNotServed
		}
	}
	list.setDown(true)
	if w.trouble {
		for _, r := range routers[1:] {
			w.logf("%s: SIGKILL", r.name)
			r.kill()
		}
		time.Sleep(time.Second)
	}
	w.servesReads(first, "without-majority", 10)
	if err := first.terminate(); err != nil {
		return err
	}
	if err := first.waitEnded(20 * time.Second); err != nil {
		return err
	}
	if err := first.start(); err != nil {
		return err
	}
	restarted := time.Now()
	served, sent := 0, 0
	for ; time.Since(restarted) < watchTime; sent++ {
		got := w.ask(first.listen, fmt.Sprintf("after-%d", sent), "queue-view", 1200*time.Millisecond)
		if got.value != "" {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.logf("in %v after its restart n1 served %d of %d reads", watchTime, served, sent)
	if served == 0 {
		return brokenf("the restarted n1 has no list: it served none of %d reads in %v", sent, watchTime)
	}
	return nil
}

// newStoreMembers returns routers that hold the store together.
func (w *world) newStoreMembers(list *discovery, names ...string) ([]*router, error) {
	peers := map[string]string{}
	for _, name := range names {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		peers[name] = address
	}
	var routers []*router
	for _, name := range names {
		r, err := w.newRouter(name, list.addr, storeSection(name, w.path("store-"+name), peers))
		if err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	return routers, nil
}

// oldList returns a list of machines that were replaced since: their addresses refuse connections.
func oldList() (*endpointList, error) {
	list := &endpointList{Full: true}
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		list.Servers = append(list.Servers, endpointEntry{
			ID: fmt.Sprintf("old-%d", i+1), Addr: listener.Addr().String(), Zone: "north-lakes", Kind: "std-3core", Cell: 3,
			State: "ready", Weight: 1,
		})
		listener.Close()
	}
	return list, nil
}
