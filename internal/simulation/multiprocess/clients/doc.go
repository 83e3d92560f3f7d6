// Package clients plays the clients of the routers in a multi-process test. They send requests in an open loop: the
// arrivals follow a rate and wait for no answer. The clients of a site stand behind a plain load balancer, which sends
// them to a router once that answers an empty query, and notices only after a while that a router has died.
//
// The package owns the connections to the routers and the statistics of the requests, and it records in the history
// what clients see. It never chooses a router by load or latency, and it never judges an outcome.
//
// New starts a health-check goroutine for each target. Run draws the arrivals on the caller's goroutine and starts one
// goroutine for each request; it stops them all before it returns.
package clients
