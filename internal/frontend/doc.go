// Package frontend manages client connections: it reads their messages, passes their requests to the router, and writes
// the responses in the order of the requests.
//
// A Frontend is the set of connections of one listener. It closes connections that exceed a timeout, evicts idle ones
// when there are too many connections, and drains all of them before a shutdown. A Conn is one connection. It consists
// of parts with one concern each: its lifetime, message reading, the pipeline of pending responses, the exclusive
// request, the output, and the account of the memory that is reserved for it. A ProtocolHandler interprets the messages
// of a connection: the one in this package serves the platform's protocol, one simple query per request; the one in
// package extendedquery serves extended queries as well.
//
// The package never decides where a request goes, never retries one, and never inspects a response beyond what its
// protocol requires.
//
// All code here runs on the event loop's goroutine, so nothing is locked and nothing may block.
package frontend
