// Package asynclog writes log lines to an output that may hang, fail or go away, without making those who log wait.
//
// Lines are put into a bounded queue and written by one goroutine, which is the only one that touches the output. A
// line that finds no room, or that the output does not take, is counted; the count is logged once lines get through
// again. Part of the queue is reserved for warnings and errors. Close waits for the queue for a bounded time.
//
// The package does not open, close or reopen the output.
package asynclog
