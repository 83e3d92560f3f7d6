// Package model emulates, in virtual time, the servers that routers work with: endpoints that run statements, warm up,
// fail under overload and restart; replica groups whose replicas apply the log of a primary; and a discovery registry
// that lists their state with a delay.
//
// The package owns the state of all endpoints and replica groups. It is deterministic: time comes from an
// event.Clock and randomness from a seed, so the same calls always give the same events. It does no input or output
// and doesn't depend on any router code.
//
// A World and everything in it must only be used on the goroutine that runs its clock. Callbacks are called on that
// goroutine.
package model
