// Package hotrestart shares state between the process of a router and the one that replaces it, while both serve: which
// endpoints operators have suspended, whether the router is drained, which endpoints were ever listed, the endpoint
// list as discovery sent it last, and whether the other process still runs.
//
// SharedState owns a folder of the router's own under $TMPDIR, and locks in it that the system releases when a process
// ends, however it does. One goroutine of its own does all file access after Open; the methods only queue work for it,
// and what the other process has changed is passed to a Listener on a goroutine that the caller chooses. The package
// never fails a process for what another one has left in the folder: files that can't be read are passed over.
package hotrestart
