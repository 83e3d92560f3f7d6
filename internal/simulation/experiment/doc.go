// Package experiment plays a scenario with several seeds and with several arms, which are variants of the routers'
// settings, and says how the arms differ and whether chance explains the difference.
//
// The package owns the arms, the result of a run as result files keep it, and the comparison of paired runs. It never
// decides what is measured (package scenario does) and never plays a fleet itself (package fleet does).
//
// Run starts its workers and waits for them. Each run of a fleet stays on the goroutine of one worker; results are
// reported on the goroutine that called Run.
package experiment
