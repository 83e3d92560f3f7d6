// Package backend holds the connections to the endpoints (the PostgreSQL servers) and carries attempts of requests and
// health checks over them.
//
// It owns the connections, knows which attempts wait for one, and turns what an endpoint sends, or fails to send,
// into one router.Result an attempt. It never chooses an endpoint and never retries an attempt that may have run:
// both are the balancer's decisions.
//
// A Pool and all that belongs to it run on the event loop's goroutine and use no locks.
package backend
