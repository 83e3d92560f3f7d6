package model

// Connect opens a connection. done is called with the connection's epoch once the connection is established, or with
// ok false if it failed; full is true if it failed because MaxConnections was reached. An endpoint that hangs never
// calls done.
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
	// A handshake doesn't wait for a slot: it shares the cores with the running statements.
	e.world.Clock.After(e.timeOnCore(e.Spec.HandshakeWork), established)
}

// Disconnect closes a connection that was opened in the given epoch. Connections of earlier epochs are closed already.
func (e *Endpoint) Disconnect(epoch int) {
	if epoch != e.epoch || e.connections == 0 {
		return
	}
	e.advance()
	e.connections--
	e.scheduleCompletion()
}
