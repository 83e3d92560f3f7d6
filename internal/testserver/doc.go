// Package testserver has the other ends that tests meet on loopback: an endpoint that counts what it runs, a client,
// and the agent through which discovery pushes endpoint lists.
//
// It owns what its servers were told to do and what they have seen. It is no part of the program and judges nothing:
// that is for package check and the tests. Each server accepts on a goroutine of its own and serves each connection
// on another one; a client runs on the goroutine of its test.
package testserver
