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

func testOptions() Options {
	return Options{SegmentBytes: 300, MaxBytes: 1 << 20, MaxMessageBytes: 100}
}

func testMessage(i int) []byte { return fmt.Appendf(nil, "message %d", i) }

// testMessages returns the messages with the numbers from to to-1.
func testMessages(from, to int) (msgs [][]byte) {
	for i := from; i < to; i++ {
		msgs = append(msgs, testMessage(i))
	}
	return msgs
}

func createSpool(tb testing.TB, root string, opt Options) *Spool {
	tb.Helper()
	s, err := Create(root, "one", opt)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// checkNoError fails the test if a step that it depends on has failed.
func checkNoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// appendAll appends messages, and fails the test if not all fit.
func appendAll(tb testing.TB, s *Spool, msgs [][]byte) {
	tb.Helper()
	if n, err := s.Append(msgs); err != nil || n != len(msgs) {
		tb.Fatalf("%d of %d messages appended: %v", n, len(msgs), err)
	}
}

// readAll reads the remaining messages and marks them as delivered.
func readAll(tb testing.TB, s *Spool) (out []string) {
	tb.Helper()
	for !s.Empty() {
		msgs, err := s.Next(nil, 5, 60)
		if err != nil {
			tb.Fatal(err)
		}
		for _, m := range msgs {
			out = append(out, string(m))
		}
		s.MarkDelivered(s.ReadOffset())
		if len(msgs) == 0 && !s.Empty() {
			tb.Fatalf("Next returns no message though %d bytes are left", s.Size())
		}
	}
	return out
}

// checkMessages fails the test if got and want differ.
func checkMessages(tb testing.TB, got []string, want [][]byte) {
	tb.Helper()
	if len(got) != len(want) {
		tb.Fatalf("got %d messages, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i] != string(want[i]) {
			tb.Fatalf("message %d: got %q, want %q", i, got[i], want[i])
		}
	}
}

// After random appends, reads, deliveries, rewinds and reopenings, each message is read once and in order. Only
// messages that were not delivered are read again.
func TestRandomOperations(t *testing.T) {
	root := t.TempDir()
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		dir := filepath.Join(root, fmt.Sprint(round))
		s, err := Create(dir, "one", testOptions())
		if err != nil {
			t.Fatal(err)
		}
		run := &randomRun{t: t, dir: dir, spool: s}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step(rapid.IntRange(0, 5).Draw(t, "op"))
		}
		run.finish()
	})
}

// randomRun is a spool under random operations, with the numbers of the messages that it should return.
type randomRun struct {
	t         *rapid.T
	dir       string
	spool     *Spool
	next      int // the next message to append
	read      int // the next message to read
	delivered int // the number of messages that are delivered
}

func (r *randomRun) step(operation int) {
	switch operation {
	case 0, 1:
		r.append()
	case 2, 3:
		r.readSome()
	case 4:
		r.spool.Rewind()
		r.read = r.delivered
	case 5:
		r.reopen()
	}
}

func (r *randomRun) append() {
	count := rapid.IntRange(1, 20).Draw(r.t, "n")
	appended, err := r.spool.Append(testMessages(r.next, r.next+count))
	if err != nil || appended != count {
		r.t.Fatal(appended, err)
	}
	r.next += count
}

func (r *randomRun) readSome() {
	r.expectNext(rapid.IntRange(1, 12).Draw(r.t, "count"), rapid.IntRange(1, 200).Draw(r.t, "bytes"))
	if rapid.Bool().Draw(r.t, "deliver") {
		r.spool.MarkDelivered(r.spool.ReadOffset())
		r.delivered = r.read
	}
}

// expectNext calls Next with the given limits, and compares the returned messages with the expected ones.
func (r *randomRun) expectNext(count, maxBytes int) {
	messages, err := r.spool.Next(nil, count, maxBytes)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, got := range messages {
		if string(got) != string(testMessage(r.read)) {
			r.t.Fatalf("got %q, want %q", got, testMessage(r.read))
		}
		r.read++
	}
}

func (r *randomRun) reopen() {
	if r.spool.Empty() {
		return
	}
	if err := r.spool.Close(); err != nil {
		r.t.Fatal(err)
	}
	left, err := Adopt(r.dir, testOptions())
	if err != nil || len(left) != 1 {
		r.t.Fatal(len(left), err)
	}
	r.spool = left[0]
	r.read = r.delivered
}

// finish reads the remaining messages, and checks that every message was read.
func (r *randomRun) finish() {
	r.spool.Rewind()
	r.read = r.delivered
	for !r.spool.Empty() {
		r.expectNext(9, 99)
		r.spool.MarkDelivered(r.spool.ReadOffset())
	}
	if r.read != r.next {
		r.t.Fatalf("%d of %d messages were read", r.read, r.next)
	}
	if err := r.spool.Close(); err != nil {
		r.t.Fatal(err)
	}
}

// SIGKILL in the middle of a write truncates a segment at any offset. All complete records before it are read.
func TestTruncatedSegment(t *testing.T) {
	dir := t.TempDir()
	opt := testOptions()
	opt.SegmentBytes = 1 << 20
	s := createSpool(t, dir, opt)
	want := testMessages(0, 20)
	appendAll(t, s, want)
	checkNoError(t, s.newest.Close())
	whole, err := os.ReadFile(s.path(firstSegment))
	if err != nil {
		t.Fatal(err)
	}
	checkNoError(t, s.lock.Close())
	for cut := range len(whole) {
		checkNoError(t, os.WriteFile(s.path(firstSegment), whole[:cut], 0o600))
		left, err := Adopt(dir, opt)
		n := 0
		for at := 0; n < len(want) && at+headerSize+len(want[n]) <= cut; n++ {
			at += headerSize + len(want[n])
		}
		if cut == 0 {
			if len(left) != 0 {
				t.Fatal("Adopt has returned an empty folder")
			}
			checkNoError(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
			continue
		}
		if err != nil || len(left) != 1 {
			t.Fatalf("cut at byte %d: %d spools adopted, want 1, %v", cut, len(left), err)
		}
		checkMessages(t, readAll(t, left[0]), want[:n])
		checkNoError(t, left[0].lock.Close())
		checkNoError(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
	}
}

// A flipped bit loses the record that it is in, and no other.
func TestFlippedBits(t *testing.T) {
	dir := t.TempDir()
	s := createSpool(t, dir, Options{SegmentBytes: 1 << 20, MaxBytes: 1 << 20, MaxMessageBytes: 100})
	want := testMessages(0, 12)
	appendAll(t, s, want)
	checkNoError(t, s.newest.Close())
	whole, _ := os.ReadFile(s.path(firstSegment))
	checkNoError(t, s.lock.Close())
	for bit := range len(whole) * 8 {
		p := bytes.Clone(whole)
		p[bit/8] ^= 1 << (bit % 8)
		checkNoError(t, os.MkdirAll(filepath.Join(dir, "one"), 0o700))
		checkNoError(t, os.WriteFile(s.path(firstSegment), p, 0o600))
		left, err := Adopt(dir, testOptions())
		if err != nil || len(left) != 1 {
			t.Fatal(err)
		}
		got := readAll(t, left[0])
		hit, at := 0, 0
		for ; at+headerSize+len(want[hit]) <= bit/8; hit++ {
			at += headerSize + len(want[hit])
		}
		checkMessages(t, got, append(append([][]byte(nil), want[:hit]...), want[hit+1:]...))
		if left[0].Skipped() != int64(headerSize+len(want[hit])) {
			t.Fatalf("bit %d: %d bytes skipped, want the size of one record", bit, left[0].Skipped())
		}
		checkNoError(t, left[0].Remove())
	}
}

// A folder has one owner: no other process can adopt it while its owner lives, and a folder that was removed is not
// returned.
func TestFolderHasOneOwner(t *testing.T) {
	dir := t.TempDir()
	s := createSpool(t, dir, testOptions())
	appendAll(t, s, testMessages(0, 3))
	if left, err := Adopt(dir, testOptions()); err != nil || len(left) != 0 {
		t.Fatalf("%d spools adopted while the owner lives, %v", len(left), err)
	}
	if _, err := open(s.dir, testOptions()); !errors.Is(err, errLocked) {
		t.Fatalf("open: got %v, want errLocked", err)
	}
	checkNoError(t, s.Close())
	a, _ := Adopt(dir, testOptions())
	b, _ := Adopt(dir, testOptions())
	if len(a) != 1 || len(b) != 0 {
		t.Fatalf("%d and %d spools adopted, want 1 and 0", len(a), len(b))
	}
	checkMessages(t, readAll(t, a[0]), testMessages(0, 3))
	checkNoError(t, a[0].Close())
	if entries, _ := os.ReadDir(dir); len(entries) != 0 {
		t.Fatal("Close has not removed the empty folder")
	}
}

// fullDiskFile is a file on a disk that has room for a limited number of bytes.
type fullDiskFile struct {
	*os.File
	remaining         *int
	keepsPartialWrite bool // Truncate fails, so that the file keeps the part that a failed write has written
}

func (f *fullDiskFile) Write(p []byte) (int, error) {
	if len(p) <= *f.remaining {
		*f.remaining -= len(p)
		return f.File.Write(p)
	}
	n, _ := f.File.Write(p[:*f.remaining])
	*f.remaining = 0
	return n, syscall.ENOSPC
}

func (f *fullDiskFile) Truncate(size int64) error {
	if f.keepsPartialWrite {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// On a full disk Append fails and leaves no partial record that would hide complete ones. Once the disk has room again,
// messages can be appended.
func TestDiskFull(t *testing.T) {
	for _, keepsPartialWrite := range []bool{false, true} {
		for room := range 200 {
			dir, left := t.TempDir(), room
			opt := testOptions()
			opt.CreateFile = func(path string) (File, error) {
				f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
				return &fullDiskFile{f, &left, keepsPartialWrite}, err
			}
			s := createSpool(t, dir, opt)
			want := testMessages(0, 30)
			n, failures := 0, 0
			for n < len(want) {
				k, err := s.Append(want[n : n+1])
				if err != nil && (!errors.Is(err, ErrDisk) || !errors.Is(err, syscall.ENOSPC)) {
					t.Fatal(err)
				}
				n += k
				if err != nil {
					if failures++; failures > 3 {
						left = 1 << 20
					}
				}
			}
			checkMessages(t, readAll(t, s), want)
			checkNoError(t, s.Close())
		}
	}
}

// The size on disk never exceeds Options.MaxBytes, and delivering messages makes room for new ones.
func TestSizeLimit(t *testing.T) {
	opt := testOptions()
	opt.MaxBytes = 2000
	s := createSpool(t, t.TempDir(), opt)
	in, out := 0, 0
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		n, err := s.Append(testMessages(in, in+1+rng.IntN(9)))
		if err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		in += n
		var disk int64
		for _, g := range s.segments {
			disk += g.size
		}
		if disk > opt.MaxBytes {
			t.Fatalf("%d bytes on disk, want at most Options.MaxBytes", disk)
		}
		msgs, _ := s.Next(nil, rng.IntN(7), 1000)
		for _, m := range msgs {
			if string(m) != string(testMessage(out)) {
				t.Fatalf("message %q is out of order", m)
			}
			out++
		}
		s.MarkDelivered(s.ReadOffset())
	}
	if out < 3000 {
		t.Fatalf("%d messages were read, want at least 3000", out)
	}
}

// Prepended messages are read first, after a restart too, and delivered ones are not read again.
func TestPrepend(t *testing.T) {
	for delivered := range 12 {
		dir := t.TempDir()
		s := createSpool(t, dir, testOptions())
		appendAll(t, s, testMessages(5, 17))
		msgs, err := s.Next(nil, delivered, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		s.MarkDelivered(s.ReadOffset())
		n := len(msgs)
		if err := s.Prepend(testMessages(0, 5)); err != nil {
			t.Fatal(err)
		}
		checkNoError(t, s.Close())
		left, err := Adopt(dir, testOptions())
		if err != nil || len(left) != 1 {
			t.Fatal(err)
		}
		checkMessages(t, readAll(t, left[0]), append(testMessages(0, 5), testMessages(5+n, 17)...))
	}
}

func BenchmarkAppend(b *testing.B) {
	s := createSpool(b, b.TempDir(), Options{SegmentBytes: 256 << 10, MaxBytes: 1 << 40, MaxMessageBytes: 2048})
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
