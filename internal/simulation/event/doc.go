// Package event is the discrete-event clock of the simulation: it runs callbacks in the order of their virtual time,
// and callbacks that are due at the same instant in the order in which they were scheduled.
//
// The package owns the virtual time and the queue of pending events. It never reads the system's clock, draws no
// random numbers and knows nothing of what its callbacks do, so the same schedule always runs in the same order.
//
// A Clock belongs to the one goroutine that calls Run. Callbacks run on that goroutine and may schedule and stop
// events.
package event
