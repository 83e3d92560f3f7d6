// Package history records what happened in a multi-process test. Each fact has a type of its own and is recorded
// outside the routers: requests at the clients that sent them, statements at the endpoints that they arrived at, and
// endpoint lists at the simulated discovery or agent that serves them to a router.
//
// The package owns the recorded facts and their clock. It never judges them, which is the task of package check, and it
// never acts on them. It has no goroutines; a Log may be used from any goroutine.
package history
