// Package pgwire reads and writes messages of version 3 of the PostgreSQL wire protocol.
//
// It owns the form of the messages: Reader cuts a stream of bytes into messages, the functions named after a message
// (Parse, Bind, Row and so on) decode a body, the Append functions encode messages, and Shape and RowStream check a
// response while it comes.
//
// It holds no sockets, starts no goroutines and knows nothing of requests; whether a message may come at a given
// moment is for its callers to judge. Its values belong to the goroutine that uses them, which for a connection is
// the one of its event loop.
package pgwire
