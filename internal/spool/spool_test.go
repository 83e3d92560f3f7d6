package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"pgregory.net/rapid"
)

func options() Options { return Options{Segment: 300, Most: 1 << 20, Message: 100} }

func message(i int) []byte { return fmt.Appendf(nil, "message %d", i) }

func some(from, to int) (msgs [][]byte) {
	for i := from; i < to; i++ {
		msgs = append(msgs, message(i))
	}
	return msgs
}

func create(tb testing.TB, root string, opt Options) *Spool {
	tb.Helper()
	s, err := Create(root, "one", opt)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// must fails the test where a step that it rests on fails.
func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// appendAll appends messages that there is room for.
func appendAll(tb testing.TB, s *Spool, msgs [][]byte) {
	tb.Helper()
	if n, err := s.Append(msgs); err != nil || n != len(msgs) {
		tb.Fatalf("%d of %d messages appended: %v", n, len(msgs), err)
	}
}

// drain reads all that is left, as delivered.
func drain(tb testing.TB, s *Spool) (out []string) {
	tb.Helper()
	for !s.Empty() {
		msgs, err := s.Next(nil, 5, 60)
		if err != nil {
			tb.Fatal(err)
		}
		for _, m := range msgs {
			out = append(out, string(m))
		}
		s.Delivered(s.Reading())
		if len(msgs) == 0 && !s.Empty() {
			tb.Fatalf("nothing comes, %d bytes are left", s.Size())
		}
	}
	return out
}

func same(tb testing.TB, got []string, want [][]byte) {
	tb.Helper()
	if len(got) != len(want) {
		tb.Fatalf("%d messages, %d wanted", len(got), len(want))
	}
	for i := range got {
		if got[i] != string(want[i]) {
			tb.Fatalf("%d: %q, %q wanted", i, got[i], want[i])
		}
	}
}

// Whatever is appended, read, delivered, put back, closed and opened again in whatever order: all comes out once, in
// order, but for what was not delivered, which comes again.
func TestAnyOrder(t *testing.T) {
	root := t.TempDir()
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		dir := filepath.Join(root, fmt.Sprint(round))
		s, err := Create(dir, "one", options())
		if err != nil {
			t.Fatal(err)
		}
		run := &anyOrderRun{t: t, dir: dir, spool: s}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step(rapid.IntRange(0, 5).Draw(t, "op"))
		}
		run.finish()
	})
}

// anyOrderRun is a spool under random steps, with the numbers of the messages that it should give.
type anyOrderRun struct {
	t         *rapid.T
	dir       string
	spool     *Spool
	next      int // the next message to append
	read      int // the next message to read
	delivered int // all messages before it are delivered
}

func (r *anyOrderRun) step(operation int) {
	switch operation {
	case 0, 1:
		r.append()
	case 2, 3:
		r.readSome()
	case 4:
		r.spool.Again()
		r.read = r.delivered
	case 5:
		r.reopen()
	}
}

func (r *anyOrderRun) append() {
	count := rapid.IntRange(1, 20).Draw(r.t, "n")
	appended, err := r.spool.Append(some(r.next, r.next+count))
	if err != nil || appended != count {
		r.t.Fatal(appended, err)
	}
	r.next += count
}

func (r *anyOrderRun) readSome() {
	r.expectNext(rapid.IntRange(1, 12).Draw(r.t, "count"), rapid.IntRange(1, 200).Draw(r.t, "bytes"))
	if rapid.Bool().Draw(r.t, "deliver") {
		r.spool.Delivered(r.spool.Reading())
		r.delivered = r.read
	}
}

// expectNext reads at most so many messages and bytes, and compares them with what should come.
func (r *anyOrderRun) expectNext(count, maxBytes int) {
	messages, err := r.spool.Next(nil, count, maxBytes)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, got := range messages {
		if string(got) != string(message(r.read)) {
			r.t.Fatalf("%q, %q wanted", got, message(r.read))
		}
		r.read++
	}
}

func (r *anyOrderRun) reopen() {
	if r.spool.Empty() {
		return
	}
	if err := r.spool.Close(); err != nil {
		r.t.Fatal(err)
	}
	left, err := Adopt(r.dir, options())
	if err != nil || len(left) != 1 {
		r.t.Fatal(len(left), err)
	}
	r.spool = left[0]
	r.read = r.delivered
}

// finish reads what is left, and checks that every message came out.
func (r *anyOrderRun) finish() {
	r.spool.Again()
	r.read = r.delivered
	for !r.spool.Empty() {
		r.expectNext(9, 99)
		r.spool.Delivered(r.spool.Reading())
	}
	if r.read != r.next {
		r.t.Fatalf("%d of %d came out", r.read, r.next)
	}
	if err := r.spool.Close(); err != nil {
		r.t.Fatal(err)
	}
}

// A file that ends anywhere gives all whole records before its end: SIGKILL in the middle of a write
// loses what it cuts.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	opt := options()
	opt.Segment = 1 << 20
	s := create(t, dir, opt)
	want := some(0, 20)
	appendAll(t, s, want)
	must(t, s.newest.Close())
	whole, err := os.ReadFile(s.path(firstSegment))
	if err != nil {
		t.Fatal(err)
	}
	must(t, s.lock.Close())
	for cut := range len(whole) {
		must(t, os.WriteFile(s.path(firstSegment), whole[:cut], 0o600))
		left, err := Adopt(dir, opt)
		n := 0
		for at := 0; n < len(want) && at+headerSize+len(want[n]) <= cut; n++ {
			at += headerSize + len(want[n])
		}
		if cut == 0 {
			if len(left) != 0 {
				t.Fatal("an empty folder is not let go")
			}
			must(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
			continue
		}
		if err != nil || len(left) != 1 {
			t.Fatalf("%d: %d, %v", cut, len(left), err)
		}
		same(t, drain(t, left[0]), want[:n])
		must(t, left[0].lock.Close())
		must(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
	}
}

// A flipped bit costs the record it is in, and no other.
func TestFlippedBits(t *testing.T) {
	dir := t.TempDir()
	s := create(t, dir, Options{Segment: 1 << 20, Most: 1 << 20, Message: 100})
	want := some(0, 12)
	appendAll(t, s, want)
	must(t, s.newest.Close())
	whole, _ := os.ReadFile(s.path(firstSegment))
	must(t, s.lock.Close())
	for bit := range len(whole) * 8 {
		p := bytes.Clone(whole)
		p[bit/8] ^= 1 << (bit % 8)
		must(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
		must(t, os.WriteFile(s.path(firstSegment), p, 0o600))
		left, err := Adopt(dir, options())
		if err != nil || len(left) != 1 {
			t.Fatal(err)
		}
		got := drain(t, left[0])
		hit, at := 0, 0
		for ; at+headerSize+len(want[hit]) <= bit/8; hit++ {
			at += headerSize + len(want[hit])
		}
		same(t, got, append(append([][]byte(nil), want[:hit]...), want[hit+1:]...))
		if left[0].Skipped() != int64(headerSize+len(want[hit])) {
			t.Fatalf("bit %d: %d bytes passed over", bit, left[0].Skipped())
		}
		must(t, left[0].Remove())
	}
}

// A folder is one process's: nobody else adopts it while it lives, and nobody is given one that was removed under him.
func TestOneOwner(t *testing.T) {
	dir := t.TempDir()
	s := create(t, dir, options())
	appendAll(t, s, some(0, 3))
	if left, err := Adopt(dir, options()); err != nil || len(left) != 0 {
		t.Fatalf("%d adopted, %v", len(left), err)
	}
	if _, err := open(s.dir, options()); !errors.Is(err, errLocked) {
		t.Fatalf("%v", err)
	}
	must(t, s.Close())
	a, _ := Adopt(dir, options())
	b, _ := Adopt(dir, options())
	if len(a) != 1 || len(b) != 0 {
		t.Fatalf("%d and %d adopted", len(a), len(b))
	}
	same(t, drain(t, a[0]), some(0, 3))
	must(t, a[0].Close())
	if entries, _ := os.ReadDir(dir); len(entries) != 0 {
		t.Fatal("the folder is still there")
	}
}

// full is a disk that takes so many bytes.
type full struct {
	*os.File
	room *int
	half bool // a write that does not fit leaves a part of it behind, and it can't be cut off
}

func (f *full) Write(p []byte) (int, error) {
	if len(p) <= *f.room {
		*f.room -= len(p)
		return f.File.Write(p)
	}
	n, _ := f.File.Write(p[:*f.room])
	*f.room = 0
	return n, syscall.ENOSPC
}

func (f *full) Truncate(size int64) error {
	if f.half {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// A full disk is an error, leaves nothing between whole records, and once it has room again all goes on.
func TestDiskFull(t *testing.T) {
	for _, half := range []bool{false, true} {
		for room := range 200 {
			dir, left := t.TempDir(), room
			opt := options()
			opt.Create = func(path string) (File, error) {
				f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
				return &full{f, &left, half}, err
			}
			s := create(t, dir, opt)
			want := some(0, 30)
			n, tries := 0, 0
			for n < len(want) {
				k, err := s.Append(want[n : n+1])
				if err != nil && (!errors.Is(err, ErrBroken) || !errors.Is(err, syscall.ENOSPC)) {
					t.Fatal(err)
				}
				n += k
				if err != nil {
					if tries++; tries > 3 {
						left = 1 << 20
					}
				}
			}
			same(t, drain(t, s), want)
			must(t, s.Close())
		}
	}
}

// The bound in bytes holds, and delivering makes room.
func TestBound(t *testing.T) {
	opt := options()
	opt.Most = 2000
	s := create(t, t.TempDir(), opt)
	in, out := 0, 0
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		n, err := s.Append(some(in, in+1+rng.IntN(9)))
		if err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		in += n
		var disk int64
		for _, g := range s.segments {
			disk += g.size
		}
		if disk > opt.Most {
			t.Fatalf("%d bytes", disk)
		}
		msgs, _ := s.Next(nil, rng.IntN(7), 1000)
		for _, m := range msgs {
			if string(m) != string(message(out)) {
				t.Fatalf("%q", m)
			}
			out++
		}
		s.Delivered(s.Reading())
	}
	if out < 3000 {
		t.Fatalf("%d came out", out)
	}
}

// What was taken out and not delivered goes back in front, and stands there at the next start.
func TestFront(t *testing.T) {
	for delivered := range 12 {
		dir := t.TempDir()
		s := create(t, dir, options())
		appendAll(t, s, some(5, 17))
		msgs, err := s.Next(nil, delivered, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		s.Delivered(s.Reading())
		n := len(msgs)
		if err := s.Front(some(0, 5)); err != nil {
			t.Fatal(err)
		}
		must(t, s.Close())
		left, err := Adopt(dir, options())
		if err != nil || len(left) != 1 {
			t.Fatal(err)
		}
		same(t, drain(t, left[0]), append(some(0, 5), some(5+n, 17)...))
	}
}

func BenchmarkAppend(b *testing.B) {
	s := create(b, b.TempDir(), Options{Segment: 256 << 10, Most: 1 << 40, Message: 2048})
	msgs := make([][]byte, 256)
	for i := range msgs {
		msgs[i] = make([]byte, 500)
	}
	b.SetBytes(500)
	for i := 0; i < b.N; i += len(msgs) {
		if _, err := s.Append(msgs); err != nil {
			b.Fatal(err)
		}
	}
}
