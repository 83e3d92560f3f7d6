// Package discovery follows the endpoint list that a discovery service publishes over HTTP/1.1.
//
// A [Watcher] has at most one call in flight, on one connection that it reuses. The first call requests the full
// list. Each later call is a watch, a long poll: it names the version of the newest list, and discovery responds when
// there is a newer version or when the wait named in the call has expired. The Watcher makes the next call right after
// each response, since discovery forgets a watch that isn't continued. A Watcher that resumes from the version of an
// earlier process ([Watcher.ResumeFrom]) begins with a watch. One that moves to another address ([Watcher.MoveTo])
// requests the full list again, because the versions of two discovery services need not agree.
//
// The package validates each list. A list that can't be parsed, is empty, or is older than the newest one fails its
// call with a [CallError], and the newest list stays valid. A failed call is followed by another one in one of two
// ways. Where discovery is a service that all routers share, the decision module schedules the calls of the whole
// fleet and requests the next one ([Watcher.Poll]). Where lists are pushed to an agent on the router's own machine,
// the Watcher itself retries with a backoff ([Watcher.FollowPushed]).
//
// All methods, and all calls of the [Listener], run on the event loop's goroutine; the package starts no goroutine of
// its own. It never decides which endpoint a request is sent to, and stores nothing.
//
// watcher.go contains the Watcher's interface, call.go the call in flight with its deadline and connection,
// endpoint_list.go the validation of a received list, errors.go the failures, previous.go the watch that is kept
// during a move, retry.go the backoff and http_response.go the response parser.
package discovery
