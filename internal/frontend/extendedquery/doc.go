// Package extendedquery is the protocol handler for PostgreSQL's extended queries, and simple ones. It makes requests
// of them for the same router, under the same rules as the platform's protocol.
//
// A session owns the prepared statements and portals of one client connection. Nothing of them stays at an endpoint:
// each attempt brings its own Parse and Bind, so it may go wherever the router sends it. A unit of work goes from one
// Sync to the next; its operations run one after the other, and a write is the last one of its unit.
//
// The package never keeps a transaction open, and rejects statements that would leave state at an endpoint.
//
// Like the connections that it serves, everything here runs on the event loop's goroutine.
package extendedquery
