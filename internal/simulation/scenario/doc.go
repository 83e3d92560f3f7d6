// Package scenario reads scenarios, which are Starlark scripts: a fleet, its load, the faults in it and what is
// expected of the result. A script has no clock, no files and no randomness, so that it always describes the same
// scenario.
//
// The package owns the words of the scripts and the names of the statistics. It never plays a scenario (package fleet
// does).
//
// Load runs the script on the goroutine of its caller, within bounds of steps and sizes. Nothing is shared between
// calls.
package scenario
