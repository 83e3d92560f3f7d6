// Package scenario reads scenarios, which are Starlark scripts that describe a fleet, its load, the faults to inject
// and the expected results. A script has no access to a clock, files or randomness, so it always describes the same
// scenario.
//
// The package owns the functions that scripts can call and the names of the statistics. It doesn't run scenarios
// (package fleet does).
//
// Load executes the script on the goroutine of its caller, with limits on steps and sizes. Calls share no state.
package scenario
