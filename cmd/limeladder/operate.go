package main

// What operators ask for, as internal/operator hands it on. All of it runs in the loop's goroutine.

// Takes implements operator.Router.
func (d *daemon) Takes() bool { return d.fronts[0].Takes() }

// Suspend implements operator.Router.
func (d *daemon) Suspend(id string, out bool, done func(known bool)) {
	if !d.known[id] {
		done(false)
		return
	}
	d.suspend(id, out)
	done(true)
}

func (d *daemon) suspend(id string, out bool) {
	name := "resumed"
	if out {
		name = "suspended"
	}
	d.log.Info(name, "node", id)
	d.events.Event(name, "node", id)
	d.core.Suspend(id, out)
}

// Drain implements operator.Router.
func (d *daemon) Drain(on bool, done func()) {
	d.empty(on)
	done()
}

func (d *daemon) empty(on bool) {
	name := "activated"
	if on {
		name = "drained"
	}
	d.log.Info(name)
	d.events.Event(name)
	for _, f := range d.fronts {
		f.Empty(on)
	}
}
