// Package stats measures the emulated endpoints and compares the results with expected values: closed forms of queueing
// theory where they exist, and otherwise the configured values. It also compares the routers' capacity forecast for the
// loss of a site with the outcome of a simulated loss.
//
// The package owns the expected values. The behavior of endpoints is defined in package model, and simulations of
// routers are run by package fleet.
//
// Every function runs on the goroutine of its caller, creates its own worlds, and returns the same values for the same
// seed.
package stats
