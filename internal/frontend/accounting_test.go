package frontend

import "testing"

// Pipelined bytes count for at most half of the limit.
func TestPipelinedBytesAreLimitedToHalfOfMemory(t *testing.T) {
	memory := memoryUse{bufferedBytes: 30, pipelinedBytes: 40}
	if got := memory.used(100); got != 70 {
		t.Errorf("used() = %d bytes, want 70", got)
	}
	memory.pipelinedBytes = 400
	if got := memory.used(100); got != 80 {
		t.Errorf("used() = %d bytes, want 80", got)
	}
}

// A connection releases its bytes from the total that they were counted in, also when unparsed bytes have become
// pipelined ones in between.
func TestByteAccountReleasesAllBytes(t *testing.T) {
	var total memoryUse
	account := byteAccount{total: &total}
	account.setUnparsed(10, false)
	account.add(5)
	if want := (memoryUse{bufferedBytes: 15}); total != want {
		t.Errorf("memory use is %+v, want %+v", total, want)
	}
	account.setUnparsed(7, true)
	if want := (memoryUse{bufferedBytes: 5, pipelinedBytes: 7}); total != want {
		t.Errorf("memory use is %+v, want %+v", total, want)
	}
	account.releaseAll()
	if want := (memoryUse{}); total != want {
		t.Errorf("memory use is %+v, want %+v", total, want)
	}
}
