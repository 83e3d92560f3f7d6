// Package frontend owns the connections of clients: it reads their messages, hands their requests to the router, and
// writes the responses in the order of the requests.
//
// A Frontend is the set of connections of one listener. It closes those that overstay a timeout, evicts idle ones when
// places run short, and drains all of them before a shutdown. A Conn is one connection, put together from parts with
// one concern each: its lifetime, message reading, the pipeline of responses that are owed, the request that excludes
// others, the output, and the account of the bytes that are kept for it. A ProtocolHandler gives the messages of a
// connection their meaning: the one in this package serves the platform's protocol, one simple query per request; the
// one in the package extendedquery serves extended queries as well.
//
// The package never decides where a request goes, never retries one, and never looks into a response beyond what
// its protocol asks for.
//
// Everything here runs on the event loop's goroutine, so nothing is locked and nothing may block.
package frontend
