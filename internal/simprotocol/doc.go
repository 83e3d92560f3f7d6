// Package simprotocol turns the JSON lines of the simulator's pipe into the events of package balance, and its actions
// back into JSON.
//
// It owns the names and forms of that pipe, which are fixed; they are translated here and stand nowhere else in the
// code. It remembers the numbered endpoint lists, which belong to the process, and where the positions of each instance
// start. It holds no balancer and decides nothing. Its caller uses it from one goroutine.
package simprotocol
