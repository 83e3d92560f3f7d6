// Package clients simulates the clients of the routers in a multi-process test. They send requests in an open loop: the
// arrivals follow a rate and don't wait for answers. The clients of a site reach the routers through a simple load
// balancer, which uses a router once it answers an empty query, and detects only after a delay that a router has died.
//
// The package owns the connections to the routers and the statistics of the requests, and it records in the history
// what clients see. It never chooses a router by load or latency, and it never judges an outcome.
//
// New starts a health-check goroutine for each target. Run draws the arrivals on the caller's goroutine and starts one
// goroutine for each request. Before it returns, it waits for the requests and tells the health checks to stop.
package clients
