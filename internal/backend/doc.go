// Package backend manages the connections to the endpoints (the PostgreSQL servers) and sends the attempts of requests
// and health checks over them.
//
// It owns the connections, queues the attempts that wait for one, and reports exactly one router.Result per attempt
// that is not cancelled, derived from what the endpoint sends or fails to send. It never chooses an endpoint and never
// retries an attempt that may have run: both are the balancer's decisions.
//
// A Pool and everything it owns run on the event loop's goroutine and use no locks.
package backend
