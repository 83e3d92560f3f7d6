// Package testserver provides the peers of a router for tests on loopback: an endpoint that records the statements it
// executes, a client, and the agent to which discovery pushes endpoint lists.
//
// It owns the configured behaviour of its servers and the record of what they received. It is not part of the program
// and applies no rules: package check and the tests do. Each server accepts connections on one goroutine and serves
// each connection on another; a client runs on the goroutine of its test.
package testserver
