// Package experiment runs a scenario with several seeds and with several arms, which are variants of the routers'
// settings, and reports how the arms differ and whether the differences are statistically significant.
//
// The package owns the arms, the format of result files, and the comparison of paired runs. Package scenario defines
// what is measured, and package fleet simulates the fleet.
//
// Run starts its workers and waits for them. Each run takes place on the goroutine of one worker; results are reported
// on the goroutine that called Run.
package experiment
