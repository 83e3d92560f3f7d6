// Package discovery follows the endpoint list that a discovery service gives over HTTP/1.1.
//
// A [Watcher] keeps one call out at a time, on one connection that it reuses. The first call asks for the full list.
// Each later one is a watch: it names the version of the newest list, and discovery answers when there is a newer
// one, or when the wait that the call names is over. The next call follows each answer at once, since discovery
// forgets a watch that isn't continued. A Watcher that was told what an earlier process knew ([Watcher.ResumeFrom])
// begins with a watch; one that moves to another address ([Watcher.MoveTo]) begins with the full list again, because
// the versions of two discoveries need not agree.
//
// Whether a list is used is judged here: one that can't be read, that is empty, or that is older than the newest one
// fails its call with a [CallError], and the newest one stays valid. A failed call is followed by another one in one
// of two ways. Where discovery is a service that all routers share, the decision module schedules the calls of the
// whole fleet and asks for the next one ([Watcher.Poll]). Where lists are pushed to an agent on the router's own
// machine, the Watcher retries by itself with a backoff ([Watcher.FollowPushed]).
//
// All methods, and all calls of the [Listener], run on the event loop's goroutine; the package starts none of its
// own. It never decides which endpoint a request is sent to, and stores nothing.
//
// watcher.go has the Watcher's interface, call.go the call that is out, its deadline and its connection,
// endpoint_list.go the judgement of a received list, errors.go the failures, retry.go the backoff and
// http_response.go the parser.
package discovery
