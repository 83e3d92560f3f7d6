package pgwire

import "testing"

// BenchmarkReadRow measures cutting one row of a response from the stream and checking it.
func BenchmarkReadRow(b *testing.B) {
	wire := Append(nil, 'D', []byte("\x00\x02\x00\x00\x00\x01v\xff\xff\xff\xff"))
	r := NewReader(1<<16, 0)
	shape := NewShape()
	b.ReportAllocs()
	for b.Loop() {
		r.Feed(wire)
		m, ok, err := r.Next()
		if !ok || err != nil || shape.Add(m) != nil {
			b.Fatal("the row was not read or not valid")
		}
	}
}

// BenchmarkBind measures checking the parameters of a statement.
func BenchmarkBind(b *testing.B) {
	body := []byte("p\x00s\x00\x00\x00\x00\x01\x00\x00\x00\x01x\x00\x01\x00\x01")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Bind(body); err != nil {
			b.Fatal(err)
		}
	}
}
