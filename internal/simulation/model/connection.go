package model

// Connect opens a connection. done is called with the epoch of the connection when it is up, or with ok false when it
// failed; full says that the endpoint had no place for it. An endpoint that hangs never calls done.
func (e *Endpoint) Connect(done func(ok, full bool, epoch int)) {
	switch {
	case e.state == Down:
		done(false, false, e.epoch)
		return
	case e.state == Hung:
		return
	case e.Spec.MaxConnections > 0 && e.connections >= e.Spec.MaxConnections:
		done(false, true, e.epoch)
		return
	}
	e.advance()
	e.connections++
	epoch := e.epoch
	e.scheduleCompletion()
	established := func() {
		if e.epoch == epoch {
			done(true, false, epoch)
		} else {
			done(false, false, e.epoch)
		}
	}
	if e.Spec.HandshakeWork == 0 {
		established()
		return
	}
	// A handshake waits for no slot: it takes its time of a core beside the statements.
	e.world.Clock.After(e.timeOnCore(e.Spec.HandshakeWork), established)
}

// Disconnect closes a connection of an epoch. One of an earlier epoch is closed already.
func (e *Endpoint) Disconnect(epoch int) {
	if epoch != e.epoch || e.connections == 0 {
		return
	}
	e.advance()
	e.connections--
	e.scheduleCompletion()
}
