package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// peers reserves addresses that the kernel picks.
func peers(t *testing.T, n int) map[string]string {
	out := map[string]string{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		out[fmt.Sprintf("m%d", i)] = ln.Addr().String()
	}
	return out
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

func has(s *Store, key, want string) func() bool {
	return func() bool { v, ok := s.Get(key); return ok && string(v) == want }
}

func TestMembersAgreeAndSurviveRestarts(t *testing.T) {
	addrs, dir := peers(t, 3), t.TempDir()
	open := func(name string) *Store {
		s, err := Open(Config{Name: name, Folder: filepath.Join(dir, name), Peers: addrs, Entries: 8, Queue: 64}, quiet)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	all := map[string]*Store{}
	for name := range addrs {
		all[name] = open(name)
	}
	for name, s := range all {
		if !s.Put("from/"+name, []byte(name)) {
			t.Fatal("no room")
		}
	}
	for _, s := range all {
		for name := range addrs {
			eventually(t, name+" everywhere", has(s, "from/"+name, name))
		}
	}
	// One member is away while the others go on, then comes back and catches up.
	if err := all["m0"].Close(); err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		all["m1"].Put("count", fmt.Append(nil, i))
	}
	eventually(t, "the last count", has(all["m2"], "count", "29"))
	all["m0"] = open("m0")
	eventually(t, "caught up", has(all["m0"], "count", "29"))
	// All of them end and start again: nothing is lost.
	for _, s := range all {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	for name := range addrs {
		all[name] = open(name)
	}
	for _, s := range all {
		eventually(t, "still there", has(s, "count", "29"))
	}
	for _, s := range all { // not before: what a member has is told to it by a majority
		s.Close()
	}
}

func TestPutNeverWaits(t *testing.T) {
	s := &Store{queue: make(chan fsm.Change, 2)}
	for range 5 {
		s.Put("k", nil)
	}
	if s.Dropped() != 3 {
		t.Fatalf("%d dropped", s.Dropped())
	}
}

// Wherever a crash cuts the file, what was acknowledged before is there and the rest is reported.
func TestTornData(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	w, err := openWAL(path)
	if err != nil {
		t.Fatal(err)
	}
	ends := []int64{0}
	for i := range uint64(5) {
		if err := w.StoreLog(&raft.Log{Index: i + 1, Term: 1, Data: []byte("entry")}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, w.size)
	}
	w.close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		os.WriteFile(path, text[:n], 0o600)
		w, err := openWAL(path)
		if err != nil {
			t.Fatalf("cut at %d: %v", n, err)
		}
		whole := 0
		for ends[whole+1] <= int64(n) {
			whole++
		}
		if w.hi != uint64(whole) || w.torn != int64(n)-ends[whole] || w.size != ends[whole] {
			t.Fatalf("cut at %d: %d logs, %d bytes torn", n, w.hi, w.torn)
		}
		w.close()
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 { // one bad byte in a record's body before the last
		bad := append([]byte(nil), text...)
		at := int(ends[rng.IntN(4)]) + headBytes + rng.IntN(20)
		bad[at] ^= 0x40
		os.WriteFile(path, bad, 0o600)
		if _, err := openWAL(path); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
}

func TestCompact(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	w, err := openWAL(path)
	if err != nil {
		t.Fatal(err)
	}
	w.SetUint64([]byte("term"), 7)
	for i := range uint64(20) {
		w.StoreLog(&raft.Log{Index: i + 1, Data: make([]byte, 64<<10)})
	}
	if err := w.DeleteRange(1, 18); err != nil {
		t.Fatal(err)
	}
	w.close()
	if w, err = openWAL(path); err != nil {
		t.Fatal(err)
	}
	defer w.close()
	term, err := w.GetUint64([]byte("term"))
	if w.lo != 19 || w.hi != 20 || w.size > 400<<10 || term != 7 || err != nil {
		t.Fatalf("logs %d to %d, %d bytes, term %d, %v", w.lo, w.hi, w.size, term, err)
	}
}

func FuzzWAL(f *testing.F) {
	p, _ := encode(record{Key: "k", Value: []byte("v")})
	f.Add(p)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "log")
		os.WriteFile(path, text, 0o600)
		if w, err := openWAL(path); err == nil {
			if w.size+w.torn != int64(len(text)) {
				t.Fatalf("%d bytes kept, %d torn, of %d", w.size, w.torn, len(text))
			}
			w.close()
		}
	})
}

// Changes proposed at any member hold whole or not at all, once, and are the same everywhere; without a majority they are
// refused while reads go on; a log and a snapshot of the first form are read on.
func TestCommit(t *testing.T) {
	addrs, dir := peers(t, 3), t.TempDir()
	all := map[string]*Store{}
	open := func(name string) {
		s, err := Open(Config{Name: name, Folder: filepath.Join(dir, name), Peers: addrs, Entries: 8, Queue: 64}, quiet)
		if err != nil {
			t.Fatal(err)
		}
		all[name] = s
	}
	for name := range addrs {
		open(name)
	}
	defer func() {
		for _, s := range all {
			s.Close()
		}
	}()
	commit := func(name string, c fsm.Change) fsm.Result {
		t.Helper()
		var r fsm.Result
		eventually(t, "a majority", func() (ok bool) {
			var err error
			r, err = all[name].Commit(c)
			return err == nil
		})
		return r
	}
	var leader *Store
	eventually(t, "a leader", func() bool {
		for _, s := range all {
			if s.raft.State() == raft.Leader {
				leader = s
			}
		}
		return leader != nil
	})
	if err := leader.raft.Apply([]byte(`{"Key":"old","Value":"eA=="}`), time.Second).Error(); err != nil { // as the first form had it
		t.Fatal(err)
	}
	zero := uint64(0)
	won := 0
	for name := range addrs { // each wants to be the first
		r := commit(name, fsm.Change{ID: "once-" + name, Author: name, Ops: []fsm.Op{{Key: "lock", Kind: fsm.Config, Value: []byte(name), If: &zero}, {Key: "by", Value: []byte(name)}}})
		if r.Fault == "" {
			won++
		} else if r.Fault != fsm.Conflict || r.Key != "lock" {
			t.Errorf("%+v", r)
		}
	}
	if won != 1 {
		t.Fatalf("%d have won", won)
	}
	first, _ := leader.Read("lock")
	for range 3 { // an answer that is lost: the same change comes again
		if r := commit("m1", fsm.Change{ID: "same", Ops: []fsm.Op{{Key: "lock", Kind: fsm.Config, Value: []byte("x"), If: &first.Revision}}}); r.Fault != "" {
			t.Fatalf("%+v", r)
		}
	}
	if h := leader.History("lock"); len(h) != 2 || string(h[1].Value) != "x" {
		t.Fatalf("%+v", h)
	}
	if r, err := leader.Rollback("lock", first.Revision, "op"); err != nil || r.Fault != "" {
		t.Fatal(r, err)
	}
	for name, s := range all {
		eventually(t, name+" has it", has(s, "lock", string(first.Value)))
		if !has(s, "old", "x")() || len(s.History("lock")) != 3 {
			t.Errorf("%s: %+v", name, s.History("lock"))
		}
		if l, rev := s.List("l"); len(l) != 1 || rev != l[0].Revision {
			t.Errorf("%s: %+v at %d", name, l, rev)
		}
	}
	if e, err := leader.Since(first.Revision); err != nil || len(e) != 2 {
		t.Errorf("%+v %v", e, err)
	}
	for i := range 20 { // beyond a snapshot
		commit("m2", fsm.Change{Ops: []fsm.Op{{Key: "n", Value: []byte{byte(i)}}}})
	}
	all["m0"].Close()
	open("m0")
	eventually(t, "a restart has all", func() bool { return has(all["m0"], "n", "\x13")() && len(all["m0"].History("lock")) == 3 })
	all["m1"].Close()
	all["m2"].Close()
	eventually(t, "nobody leads", func() bool {
		_, err := all["m0"].Commit(fsm.Change{Ops: []fsm.Op{{Key: "n"}}})
		return errors.Is(err, ErrNoLeader)
	})
	if !has(all["m0"], "n", "\x13")() {
		t.Error("reads need a majority")
	}
	delete(all, "m1")
	delete(all, "m2")
}
