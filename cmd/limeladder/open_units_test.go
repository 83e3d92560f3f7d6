package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// openUnitMoment is when a client opens its connection and sends the parts of a unit of work, relative to SIGTERM.
type openUnitMoment struct {
	name        string
	connectLate bool // the client connects after SIGTERM instead of before
	bindEarly   bool // Parse and Bind come before SIGTERM, and only Execute after it
}

// Guards against a process that ends before it has answered an open unit of work: the units were ended by a sweep that
// came after the exit, so that a client whose Sync came late or not at all read the end of its connection.
func TestShutdownAnswersOpenUnitsBeforeTheProcessEnds(t *testing.T) {
	for _, moment := range []openUnitMoment{
		{name: "connected before"},
		{name: "connected after", connectLate: true},
		{name: "bound before", bindEarly: true},
	} {
		for _, clientTimeout := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
			for _, sendsSync := range []bool{true, false} {
				for _, hotRestart := range []bool{false, true} {
					if hotRestart && moment.connectLate {
						continue // the old process of a hot restart accepts no connections after SIGTERM
					}
					name := fmt.Sprintf("%s/%v/sync %t/hot restart %t", moment.name, clientTimeout, sendsSync, hotRestart)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						playOpenUnit(t, moment, clientTimeout, sendsSync, hotRestart)
					})
				}
			}
		}
	}
}

// playOpenUnit sends an Execute 0.4 s after SIGTERM and, if it sends one, its Sync 1 s later. The client must get an
// answer: the result, or an error if nothing has run.
func playOpenUnit(t *testing.T, moment openUnitMoment, clientTimeout time.Duration, sendsSync, hotRestart bool) {
	t.Helper()
	router, address := startOpenUnitRouter(t, clientTimeout, hotRestart)
	prepared := pgwire.AppendParse(nil, pgwire.ParseMessage{Query: statement("unit", "job")})
	prepared = pgwire.AppendBind(prepared, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
	var client *testserver.Client
	if !moment.connectLate {
		client = testserver.Dial(t, address)
	}
	if moment.bindEarly {
		client.Send(pgwire.Append(prepared, 'H'))
		client.Until('2')
		prepared = nil
	}
	signalProcess(t, router.cmd, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if moment.connectLate {
		client = testserver.Dial(t, address)
	}
	time.Sleep(100 * time.Millisecond)
	client.Send(pgwire.AppendExecute(prepared, "", 0))
	if sendsSync {
		time.Sleep(time.Second)
		_ = client.Write(pgwire.Append(nil, 'S')) // the connection may have been closed behind the error by now
	}
	answer := client.Until('Z')
	runs := router.primary.Runs("unit")
	served := answer.Code == "" && strings.HasSuffix(answer.Types, "DCZ") && runs == 1
	rejected := answer.Code == pgwire.TooManyConnections && runs == 0
	if !served && !rejected {
		t.Errorf("got answer %+v and %d runs, want the result, or error 53300 and none", answer, runs)
	}
}

// startOpenUnitRouter starts a router with an extended-query listener, whose classes have the given client timeout.
func startOpenUnitRouter(
	t *testing.T, clientTimeout time.Duration, hotRestart bool,
) (router *routerProcess, extendedAddress string) {
	t.Helper()
	router = newRouterProcess(t, nil)
	extendedAddress = freeAddress(t)
	router.writeFile("deploy.toml", fmt.Sprintf("[extended]\nlisten = %q\n", extendedAddress))
	router.writeFile("config.json", strings.ReplaceAll(configText(router.discovery.Listener.Addr().String()),
		`"GiveUpNs":3000000000`, fmt.Sprintf(`"GiveUpNs":%d`, clientTimeout)))
	if hotRestart {
		router.cmd = router.useInheritedSocket()()
	} else {
		router.start()
	}
	return router, extendedAddress
}
