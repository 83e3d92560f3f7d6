package frontend

// responseBuffer holds the bytes of a response that can't be sent yet. It consists of chunks, so that each one is freed
// as soon as it has been sent, and so that it grows without copying what it holds.
type responseBuffer struct {
	chunks [][]byte
	bytes  int
}

// responseChunkBytes is the size of a chunk up to which further data is appended to it.
const responseChunkBytes = 32 << 10

// append adds a copy of data.
func (b *responseBuffer) append(data []byte) {
	b.bytes += len(data)
	last := len(b.chunks) - 1
	if last >= 0 && len(b.chunks[last])+len(data) <= responseChunkBytes {
		b.chunks[last] = append(b.chunks[last], data...)
		return
	}
	b.chunks = append(b.chunks, append([]byte(nil), data...))
}

// takeChunk removes and returns the first chunk, or nil if the buffer is empty.
func (b *responseBuffer) takeChunk() []byte {
	if len(b.chunks) == 0 {
		return nil
	}
	chunk := b.chunks[0]
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	b.bytes -= len(chunk)
	return chunk
}

func (b *responseBuffer) empty() bool { return len(b.chunks) == 0 }
