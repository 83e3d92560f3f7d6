// Package hotrestart shares state between a router's process and the process that replaces it, while both serve: which
// endpoints operators have suspended, whether the router is drained, which endpoints discovery has ever listed, the
// latest endpoint list from discovery, and whether the other process still runs.
//
// RequestIDs shares the ids of writes in memory, where each process sees at once what the other has accepted.
//
// SharedState owns a folder below $TMPDIR, one for each listen address, and file locks in it, which the operating
// system releases when a process ends in any way. After Open, one goroutine does all file access: the methods only
// queue jobs for it. Changes by the other process are passed to a Listener on a goroutine that the caller chooses. What
// another process has left in the folder never causes an error: files that can't be used are skipped.
package hotrestart
