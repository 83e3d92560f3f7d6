// Package faultproxy carries the TCP connections between the parts of a multi-process test, so that a script can
// inject network faults between them.
//
// The package owns its listeners, the proxied connections and the bytes in transit. It never interprets the
// bytes, and it never decides which fault happens: its caller does so with Network.SetImpairment, ResetConnections and
// BlackholeConnections. All methods of Network may be called from any goroutine.
//
// Each link accepts on a goroutine of its own. Each connection is run by one goroutine, which starts a reader and a
// writer for each direction. Network.Close ends the accepting goroutines and all connections, and waits for them.
package faultproxy
