package spool

import (
	"os"
	"path/filepath"
	"testing"
)

// kill ends the use of a spool as the end of its process does: only the lock is released.
func kill(t *testing.T, s *Spool) {
	t.Helper()
	checkNoError(t, s.lock.Close())
}

// adoptOne adopts the only spool below a folder.
func adoptOne(t *testing.T, root string) *Spool {
	t.Helper()
	left, err := Adopt(root, testOptions())
	if err != nil || len(left) != 1 {
		t.Fatalf("%d spools were adopted: %v", len(left), err)
	}
	return left[0]
}

// Guards against messages of a second outage that the next start takes for delivered: the spool was emptied in between,
// its segments were numbered from the first one again, and the saved cursor was that of the first outage.
func TestMessagesOfSecondOutageSurviveKill(t *testing.T) {
	for _, restartBetween := range []bool{false, true} {
		for first := 1; first < 60; first += 7 {
			dir := t.TempDir()
			s := createSpool(t, dir, testOptions())
			appendAll(t, s, testMessages(0, first))
			for !s.Empty() {
				if _, err := s.Next(nil, 5, 60); err != nil {
					t.Fatal(err)
				}
				checkNoError(t, s.SaveCursor())
				s.MarkDelivered(s.ReadOffset())
				checkNoError(t, s.SaveCursor())
			}
			if restartBetween {
				kill(t, s)
				s = createSpool(t, dir, testOptions())
			}
			appendAll(t, s, testMessages(100, 130))
			kill(t, s)
			checkMessages(t, readAll(t, adoptOne(t, dir)), testMessages(100, 130))
		}
	}
}

// copyOnCloseFile copies a folder when it is closed, as a kill at that moment would leave it.
type copyOnCloseFile struct {
	File
	copyFolder func()
}

func (f copyOnCloseFile) Close() error {
	err := f.File.Close()
	f.copyFolder()
	return err
}

// Guards against prepended messages that the next start removes, because the process was killed before the cursor was
// moved to them. Messages that were delivered may be read again then.
func TestPrependedMessagesSurviveKill(t *testing.T) {
	for delivered := range 12 {
		dir, killed := t.TempDir(), t.TempDir()
		s := createSpool(t, dir, testOptions())
		appendAll(t, s, testMessages(5, 17))
		if _, err := s.Next(nil, delivered, 1<<20); err != nil {
			t.Fatal(err)
		}
		s.MarkDelivered(s.ReadOffset())
		checkNoError(t, s.SaveCursor())
		s.options.CreateFile = func(path string) (File, error) {
			file, err := createFile(path)
			return copyOnCloseFile{file, func() {
				checkNoError(t, os.CopyFS(filepath.Join(killed, "one"), os.DirFS(s.dir)))
			}}, err
		}
		checkNoError(t, s.Prepend(testMessages(0, 5)))
		read := map[string]bool{}
		for _, msg := range readAll(t, adoptOne(t, killed)) {
			read[msg] = true
		}
		for i := range 17 {
			if isDelivered := i >= 5 && i < 5+delivered; !isDelivered && !read[string(testMessage(i))] {
				t.Errorf("%d delivered: message %d was removed", delivered, i)
			}
		}
	}
}
