package hotrestart

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// openSharedIDs opens the request ids as a process does.
func openSharedIDs(t *testing.T, root string) *RequestIDs {
	t.Helper()
	shared, _ := Open(root, testAddress, 10, slog.New(slog.DiscardHandler))
	shared.Watch(time.Hour, func(f func()) { f() }, nil)
	t.Cleanup(shared.Close)
	ids, err := shared.OpenRequestIDs()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ids.Close() }) // a test may have closed it already
	return ids
}

// An id that one process has claimed can't be claimed by the other until it is released or has expired, also after the
// process has ended. A third process joins the second.
func TestRequestIDsAreSharedBetweenProcesses(t *testing.T) {
	root := t.TempDir()
	old := openSharedIDs(t, root)
	next := openSharedIDs(t, root)
	const now = 1000 * time.Second
	requireClaim := func(what string, ids *RequestIDs, id string, at time.Duration, want bool) {
		t.Helper()
		if got := ids.Claim(id, at, at+10*time.Second); got != want {
			t.Errorf("%s: claimed %v, want %v", what, got, want)
		}
	}
	requireClaim("new id", old, "a", now, true)
	requireClaim("id of this process", old, "a", now, false)
	requireClaim("id of the other process", next, "a", now, false)
	old.Release("a")
	requireClaim("released id", next, "a", now, true)
	requireClaim("id whose time is over", old, "a", now+10*time.Second, true)
	old.Keep("a", now+30*time.Second)
	requireClaim("id that is kept", next, "a", now+20*time.Second, false)
	if err := old.Close(); err != nil {
		t.Error(err)
	}
	third := openSharedIDs(t, root)
	requireClaim("id of a process that has ended", third, "a", now+20*time.Second, false)
	requireClaim("id that was kept long enough", third, "a", now+30*time.Second, true)
}

// Of the processes that claim an id at the same moment, at most one succeeds.
func TestRequestIDIsClaimedOnce(t *testing.T) {
	root := t.TempDir()
	processes := []*RequestIDs{openSharedIDs(t, root), openSharedIDs(t, root), openSharedIDs(t, root)}
	const rounds, idsPerRound = 50, requestIDsSlots / 4
	claimed := 0
	for round := range rounds {
		now := time.Duration(round) * time.Minute // the ids of the round before have expired
		var claims [idsPerRound]atomic.Int32
		var running sync.WaitGroup
		for _, process := range processes {
			running.Go(func() {
				for i := range claims {
					if process.Claim(fmt.Sprint(i), now, now+time.Second) {
						claims[i].Add(1)
					}
				}
			})
		}
		running.Wait()
		for i := range claims {
			if n := claims[i].Load(); n > 1 {
				t.Fatalf("id %d was claimed by %d processes", i, n)
			} else if n == 1 {
				claimed++
			}
		}
	}
	if want := rounds * idsPerRound * 9 / 10; claimed < want {
		t.Errorf("%d ids were claimed, want at least %d", claimed, want)
	}
}

// Where too many ids share their slots, the one that expires first is dropped.
func TestRequestIDsAreBounded(t *testing.T) {
	ids := openSharedIDs(t, t.TempDir())
	const count = 20 * requestIDsSlots
	for i := range count {
		if !ids.Claim(fmt.Sprint(i), 0, time.Duration(i+1)*time.Second) {
			t.Fatalf("id %d was not claimed", i)
		}
	}
	if ids.Claim(fmt.Sprint(count-1), 0, time.Hour) {
		t.Error("the id that expires last was dropped")
	}
	if !ids.Claim("0", 0, time.Second) {
		t.Error("the id that expires first was kept")
	}
}

// A file that names no such memory is skipped: a new set is opened.
func TestUnusableRequestIDsAreReplaced(t *testing.T) {
	regular, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = regular.Close() }() // nothing is written to it
	if err := regular.Truncate(requestIDsBytes); err != nil {
		t.Fatal(err)
	}
	zeroKey := strings.Repeat("00", requestIDsKey)
	for name, location := range map[string]string{
		"empty":               "",
		"no such process":     "/proc/999999999/fd/3 " + zeroKey,
		"an ordinary file":    fmt.Sprintf("/proc/%d/fd/%d %s", os.Getpid(), regular.Fd(), zeroKey),
		"longer than allowed": strings.Repeat("/", maxRequestIDsFile+1),
	} {
		t.Run(name, func(t *testing.T) {
			root := t.TempDir()
			first := openSharedIDs(t, root)
			if err := os.WriteFile(first.file, []byte(location), 0o600); err != nil {
				t.Fatal(err)
			}
			second := openSharedIDs(t, root)
			if !first.Claim("a", 0, time.Hour) || !second.Claim("a", 0, time.Hour) {
				t.Error("the id was not claimed in a new set")
			}
		})
	}
}
