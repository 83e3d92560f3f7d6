package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// storeRouter is one router with its member of the store.
type storeRouter struct {
	config  routerConfig
	env     string
	process *routerProcess
}

// startStores starts three routers whose stores are members of one another.
func (r *rig) startStores(d *discovery, settings map[string]any) ([]*storeRouter, error) {
	peers := ""
	for i := range 3 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		peers += fmt.Sprintf("m%d = %q\n", i+1, address)
	}
	var routers []*storeRouter
	for i := range 3 {
		name := fmt.Sprintf("m%d", i+1)
		deploy := filepath.Join(r.folder, name+".toml")
		folder := filepath.Join(r.folder, name+".store")
		text := fmt.Sprintf("[store]\nname = %q\nfolder = %q\n[store.peers]\n%s", name, folder, peers)
		if err := os.WriteFile(deploy, []byte(text), 0o600); err != nil {
			return nil, err
		}
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s := &storeRouter{env: "LIMELADDER_DEPLOY=" + deploy, config: routerConfig{
			Name: name, Listen: address, Discovery: d.address, Seed: "8c1f30d27a5be964", Known: d.list(0, true),
			Settings: settings,
		}}
		if s.process, err = r.startRouter(s.config, s.env); err != nil {
			return nil, err
		}
		routers = append(routers, s)
	}
	return routers, nil
}

// playStore: all db machines are replaced, then the store loses its majority and discovery goes down, and one instance
// is restarted. It has to come up with the last list that it knew.
func playStore(r *rig) (breaks []string, err error) {
	work := func(request) (time.Duration, int) { return 30 * time.Millisecond, 0 }
	s1, s2 := twoMachines(work)
	s3, s4 := twoMachines(work)
	s3.id, s4.id = "s-3", "s-4"
	for _, m := range []*machine{s1, s2, s3, s4} {
		if err := r.startMachine(m); err != nil {
			return nil, err
		}
	}
	d, err := r.startDiscovery(listed(s1, 0), listed(s2, 0))
	if err != nil {
		return nil, err
	}
	routers, err := r.startStores(d, settings("client", viewClass, reportClass, jobClass))
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		gone1, gone2 := listed(s1, 0), listed(s2, 0)
		gone1.State, gone2.State = "gone", "gone"
		d.set(listed(s3, 0), listed(s4, 0))
		time.Sleep(time.Second)
		d.set(gone1, gone2)
		time.Sleep(3 * time.Second)
		s1.die()
		s2.die()
		r.record.note("s-1 and s-2 have ended")
	}
	if err := r.askThrice(routers[0].config.Listen, "before the restart"); err != nil {
		return nil, err
	}
	routers[1].process.kill()
	routers[2].process.kill()
	d.stop()
	routers[0].process.kill()
	if routers[0].process, err = r.startRouter(routers[0].config, routers[0].env); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := r.askThrice(routers[0].config.Listen, "after the restart"); err != nil {
		breaks = append(breaks, err.Error())
	}
	return breaks, nil
}

// askThrice returns an error if none of three reads is served.
func (r *rig) askThrice(address, when string) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer c.close()
	last := answer{}
	for range 3 {
		id := nextID()
		last, err = c.ask(readStatement(id, viewClass.name, viewClass.limit, furtherCell, "k"), 3*time.Second)
		r.record.note("client gets for %s %s: %v, %v", id, when, last, err)
		if err != nil {
			return err
		}
		if last.kind == "served" {
			return nil
		}
	}
	return fmt.Errorf("%s no read is served: %v", when, last)
}
