// Package asynclog writes log lines to an output that may hang, fail or be closed, without blocking the goroutines that
// log.
//
// Lines are put into a bounded queue. A single goroutine writes them, and no other goroutine accesses the output. Lines
// that do not fit into the queue, or that the output fails to write, are counted; the count is logged once writing
// succeeds again. Part of the queue is reserved for warnings and errors. Close waits for a bounded time until the queue
// is empty.
//
// The package does not open, close or reopen the output.
package asynclog
