// Package membership keeps the endpoint list that a process goes by, and decides which of two lists is newer.
//
// A list reaches a process in several ways: with its configuration, from its machine's disk, from the replicated store,
// from the other process of a hot restart, and from discovery, complete or as a change. A [View] applies them. A list
// from discovery always applies, because the discovery package has checked it against the one before; any other list
// applies only until discovery has answered, and only if [Snapshot.NewerThan] says that it is newer than the list in
// hand.
//
// snapshot.go contains a complete list and the comparison of two of them, view.go the list in hand, and file.go the
// list on the disk, which is the only part that does input or output. The package starts no goroutine, and its types
// aren't safe for concurrent use.
package membership
