package frontend

import "testing"

// What clients send ahead counts as half of the limit at the most.
func TestPipelinedBytesTakeHalfOfTheMemory(t *testing.T) {
	memory := memoryUse{bufferedBytes: 30, pipelinedBytes: 40}
	if got := memory.used(100); got != 70 {
		t.Errorf("%d bytes are used, not 70", got)
	}
	memory.pipelinedBytes = 400
	if got := memory.used(100); got != 80 {
		t.Errorf("%d bytes are used, not 80", got)
	}
}

// A connection gives back from where it was counted, whatever was counted as pipelined in between.
func TestByteAccountGivesEverythingBack(t *testing.T) {
	var total memoryUse
	account := byteAccount{total: &total}
	account.setUnparsed(10, false)
	account.add(5)
	if want := (memoryUse{bufferedBytes: 15}); total != want {
		t.Errorf("%+v, not %+v", total, want)
	}
	account.setUnparsed(7, true)
	if want := (memoryUse{bufferedBytes: 5, pipelinedBytes: 7}); total != want {
		t.Errorf("%+v, not %+v", total, want)
	}
	account.releaseAll()
	if want := (memoryUse{}); total != want {
		t.Errorf("%+v, not %+v", total, want)
	}
}
