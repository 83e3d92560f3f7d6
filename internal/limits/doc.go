// Package limits computes every size, count and time that bounds the program, from what the platform grants and the
// settings say.
//
// Limits is filled once at the start and handed down by value, grouped by the part of the program that heeds it. The
// package does no input or output, keeps no state and starts no goroutine.
package limits
