package multiprocess

import (
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// observer notes what reaches the machines.
type observer struct{ r *Driver }

func (o observer) who(remote string) dialler {
	if d, ok := o.r.by.Load(remote); ok {
		return d.(dialler)
	}
	return dialler{router: "?", held: &faultproxy.TransitTime{}}
}

// Came implements standins.Observer.
func (o observer) Came(v emulator.ReceivedStatement) {
	d := o.who(v.Remote)
	o.r.log.Add(history.StatementArrived{
		ID:          v.ID,
		Connection:  v.Remote,
		Class:       v.Class,
		Router:      d.router,
		Incarnation: d.life,
		Endpoint:    v.Member,
		TransitTime: d.held.Last(),
		IsWrite:     v.Write,
		WasPrimary:  v.Led,
		MinPosition: v.See,
	})
}

// Ended implements standins.Observer.
func (o observer) Ended(v emulator.ReceivedStatement, e emulator.StatementResult, gone bool) {
	d := o.who(v.Remote)
	o.r.log.Add(history.StatementExecuted{
		ID:           v.ID,
		Router:       d.router,
		Incarnation:  d.life,
		Endpoint:     v.Member,
		Served:       !gone && e.Outcome == 0,
		Disconnected: gone,
		IsPrimary:    e.Primary,
		Position:     e.Position,
	})
}
