package main

import (
	"fmt"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// Client and backend connections have TCP_NODELAY set: data that is written right before a close must not wait in the
// kernel for more data.
func TestSocketsSendWithoutDelay(t *testing.T) {
	servers, list, agent := newReplicaGroup(t, nil)
	d := runDaemon(t, pushedConfig(t, agent, list...))
	waitUntilReady(t, d)
	client := testserver.Dial(t, d.platformAddress())
	client.Send(queryMessage(statement("r", "look")))
	client.Until('Z')
	ownPorts := map[int]bool{}
	for _, address := range []string{
		d.platformAddress(), agent.Addr, servers[0].Addr, servers[1].Addr, servers[2].Addr,
	} {
		resolved, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		ownPorts[resolved.Port] = true
	}
	const maxDescriptor = 1024
	checked := 0
	for descriptor := 3; descriptor < maxDescriptor; descriptor++ {
		local, peer := socketPorts(descriptor)
		if peer == 0 || !ownPorts[local] && !ownPorts[peer] {
			continue // not a connection, or not one of this test
		}
		if !hasSentData(descriptor) {
			continue
		}
		noDelay, err := unix.GetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		localAfter, peerAfter := socketPorts(descriptor)
		if err != nil || localAfter != local || peerAfter != peer {
			continue // the descriptor was closed or reused meanwhile
		}
		checked++
		if noDelay == 0 {
			t.Errorf("TCP_NODELAY is not set on descriptor %d", descriptor)
		}
	}
	if checked < 4 { // both ends of the client's connection and of one to a server
		t.Fatalf("checked %d sockets, want at least 4", checked)
	}
}

// socketPorts returns the ports of both ends of a connection. They are 0 for a descriptor that is not a connection.
func socketPorts(descriptor int) (local, peer int) {
	return portOf(unix.Getsockname(descriptor)), portOf(unix.Getpeername(descriptor))
}

func portOf(address unix.Sockaddr, _ error) int {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return address.Port
	case *unix.SockaddrInet6:
		return address.Port
	}
	return 0
}

// hasSentData reports whether a connection has sent data. Go sets TCP_NODELAY after the handshake and before it returns
// the connection, so it is certain to be set only on a connection that has sent data.
func hasSentData(descriptor int) bool {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Data_segs_out > 0
}

// A server closes its connection in the middle of its response to a write, after 1, 8, 15 ... bytes: the write fails
// once and is not retried, and the next pipelined request is served.
func TestTruncatedResponseEndsOnlyItsAttempt(t *testing.T) {
	for cut := 1; cut < 60; cut += 7 {
		t.Run(fmt.Sprintf("after %d bytes", cut), func(t *testing.T) {
			servers, list, agent := newReplicaGroup(t, func(typ byte, id string) testserver.Act {
				if typ == 'Q' && id == "w" {
					return testserver.Act{TruncateAt: cut}
				}
				return testserver.Act{}
			})
			d := runDaemon(t, pushedConfig(t, agent, list...))
			waitUntilReady(t, d)
			client := testserver.Dial(t, d.platformAddress())
			client.Send(append(queryMessage(statement("w", "job")), queryMessage(statement("then", "job"))...))
			if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.UnknownOutcome {
				t.Errorf("write whose response was truncated: got answer %+v, want SQLSTATE 08007", answer)
			}
			if answer := client.Until('Z'); answer.Types != "TDCZ" {
				t.Errorf("request after the truncated write: got answer %+v, want it served", answer)
			}
			if runs := countRuns("w", servers...); runs > 1 {
				t.Errorf("the truncated write ran %d times, want at most 1", runs)
			}
		})
	}
}
