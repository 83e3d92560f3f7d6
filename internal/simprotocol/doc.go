// Package simprotocol decodes the JSON lines that the simulator sends over its pipe into events of package balance, and
// encodes the actions of package balance as JSON.
//
// The names and formats of that protocol are fixed by the simulator. They are translated here and are not used anywhere
// else. The package keeps the numbered endpoint lists, which all instances of the process share, and the origin of each
// instance's replication positions. It contains no balancer and makes no decisions. It is not safe for concurrent use.
package simprotocol
