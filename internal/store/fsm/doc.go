// Package fsm is the replicated state machine to which package store applies the entries of its log.
//
// State owns the records with their revisions, the events that watches read, the history of configurations and the
// results of the latest changes. A Change sets or deletes several records at once, and is either applied completely or
// rejected with a typed reason. The package is deterministic: the same changes in the same order give the same state,
// byte for byte, on every member. It does no input or output, reads no clock, takes no lock and starts no goroutine.
// Package store calls it from the goroutine of raft that applies the log, and guards it with a lock.
//
// Changes, results and snapshots are stored on disk and sent between members. Their JSON names are fixed by struct
// tags.
package fsm
