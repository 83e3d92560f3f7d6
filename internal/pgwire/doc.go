// Package pgwire reads and writes messages of version 3 of the PostgreSQL wire protocol.
//
// Reader cuts a stream of bytes into messages, the functions named after a message (Parse, Bind, Row and so on) decode
// a message body, the Append functions encode messages, and Shape and RowStream check a response while it arrives.
//
// The package opens no sockets, starts no goroutines and knows nothing of requests. Whether a message is permitted at a
// given moment is for its callers to decide. Its values belong to the goroutine that uses them, which for a connection
// is the goroutine of its event loop.
package pgwire
