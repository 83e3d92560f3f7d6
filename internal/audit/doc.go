// Package audit records the router's work as evidence: it decides which events are recorded, numbers them, bounds the
// queue of records and encodes them as messages that are chained by a keyed hash. It opens no socket and no file:
// package syslog sends the messages and package spool stores them.
//
// An event has a type of its own (Answer, Drain, Primary and others). The router and the daemon report events through
// Recorder.Record, which runs on the event loop's goroutine and never blocks. A Policy selects events, a Queue holds
// their records, and a Shipper takes them from there on a goroutine of its own, encodes them with an Encoder and hands
// the messages to a Sink. The page docs/syslog.md describes the messages, package verify checks files of them.
package audit
