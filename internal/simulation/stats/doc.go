// Package stats measures the emulated endpoints and holds what it finds against what is expected of them: closed
// forms of queueing theory where there are any, and otherwise the values that the endpoints are set to. It also holds
// the routers' capacity forecast for the loss of a site against what comes of that loss.
//
// The package owns the expected values. It never changes how endpoints behave (package model does), and the routers'
// days are played by package fleet.
//
// Every function runs on the goroutine of its caller, on worlds of its own, and gives the same values for the same
// seed.
package stats
