// Package audit records what the router does, as evidence: it selects the events to record, numbers them, keeps them in
// a bounded queue and encodes them as messages that are chained by a keyed hash. It opens no sockets and no files:
// package syslog sends the messages and package spool stores them.
//
// Each kind of event has its own type (Answer, EndpointStateChange, Primary and others). The router and the daemon
// report events through Recorder.Record, which runs on the event loop's goroutine and never blocks. A Policy selects
// events, a Queue holds their records, and a Shipper, on its own goroutine, takes them from the queue, encodes them
// with an Encoder and passes the messages to a Sink. The page docs/syslog.md describes the messages; package verify
// checks files of them.
package audit
