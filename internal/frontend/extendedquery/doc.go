// Package extendedquery implements the protocol handler for PostgreSQL's extended queries. It serves simple queries as
// well, and submits requests to the same router under the same rules as the platform's protocol.
//
// A session owns the prepared statements and portals of one client connection. They leave no state at an endpoint: each
// attempt sends its own Parse and Bind, so the router may send it to any endpoint. A unit of work reaches from one Sync
// to the next; its operations run one after another, and a write is the last operation of its unit.
//
// The package never keeps a transaction open, and rejects statements that would leave state at an endpoint.
//
// Like the connections that it serves, all code here runs on the event loop's goroutine.
package extendedquery
