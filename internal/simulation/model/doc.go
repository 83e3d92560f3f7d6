// Package model emulates, in virtual time, the world that routers meet: endpoints that run statements, warm up, fail
// under overload and restart; replica groups whose replicas apply the log of a primary; and discovery that lists all
// that late.
//
// The package owns the state of all endpoints and replica groups. It is pure: time comes from an event.Clock and
// randomness from a seed, so the same calls always give the same events. It does no input or output and knows no
// router.
//
// A World and everything in it belongs to the one goroutine that runs its clock. Callbacks are called on that
// goroutine.
package model
