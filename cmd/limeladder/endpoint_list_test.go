package main

import (
	"fmt"
	"testing"
)

func TestKnownEndpointsForgetsTheOldestBeyondItsLimit(t *testing.T) {
	const limit = 3
	var known knownEndpoints
	known.add([]string{"e0", "e1", "e0", "e2"}, limit)
	for i := range 3 {
		if id := fmt.Sprint("e", i); !known.contains(id) {
			t.Errorf("%s is not known, although the limit is not exceeded", id)
		}
	}
	known.add([]string{"e3", "e1"}, limit)
	for id, want := range map[string]bool{"e0": false, "e1": true, "e2": true, "e3": true, "": false} {
		if known.contains(id) != want {
			t.Errorf("contains(%q) = %v, want the opposite", id, !want)
		}
	}
}
