package multiprocess

import (
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// observer records the statements that reach the endpoints.
type observer struct{ driver *Driver }

func (o observer) dialerOf(remote string) dialer {
	if d, ok := o.driver.dialers.Load(remote); ok {
		return d.(dialer)
	}
	return dialer{router: "?", transitTime: &faultproxy.TransitTime{}}
}

// Came implements emulator.Observer.
func (o observer) Came(v emulator.ReceivedStatement) {
	d := o.dialerOf(v.Remote)
	o.driver.log.Add(history.StatementArrived{
		ID:          v.ID,
		Connection:  v.Remote,
		Class:       v.Class,
		Router:      d.router,
		Incarnation: d.incarnation,
		Endpoint:    v.Member,
		TransitTime: d.transitTime.Last(),
		IsWrite:     v.Write,
		WasPrimary:  v.Led,
		MinPosition: v.See,
	})
}

// Ended implements emulator.Observer.
func (o observer) Ended(v emulator.ReceivedStatement, e emulator.StatementResult, gone bool) {
	d := o.dialerOf(v.Remote)
	o.driver.log.Add(history.StatementExecuted{
		ID:           v.ID,
		Router:       d.router,
		Incarnation:  d.incarnation,
		Endpoint:     v.Member,
		Served:       !gone && e.Outcome == 0,
		Disconnected: gone,
		IsPrimary:    e.Primary,
		Position:     e.Position,
	})
}
