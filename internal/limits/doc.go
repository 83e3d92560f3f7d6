// Package limits computes every size, count and timeout that bounds the program, from the resources that the platform
// grants and from the settings.
//
// Limits is computed once at startup and passed by value. Its fields are grouped by the part of the program that
// enforces them. The package does no input or output, keeps no state and starts no goroutine.
package limits
