package hotrestart

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	requestIDsFilePrefix = "writes-" // followed by the ids of the process and of its descriptor
	maxRequestIDsFile    = 256       // bytes

	requestIDsName  = "limeladder-writes" // of the memory, for whoever lists the files of a process
	requestIDsKey   = 32                  // bytes of the key, with which the memory begins
	requestIDsSlots = 4096
	slotBytes       = 8
	requestIDsBytes = requestIDsKey + requestIDsSlots*slotBytes
	requestIDsSeals = unix.F_SEAL_SHRINK | unix.F_SEAL_GROW | unix.F_SEAL_SEAL

	// An id may be in any of these consecutive slots. If all are taken, the id that expires first is dropped.
	slotsForID = 16

	// A slot contains the time until which the id is in the set, in seconds since the Unix epoch, and a part of the hash
	// of the id. 0 is a free slot.
	expiryBits = 32
	expiryMask = 1<<expiryBits - 1
)

// errOtherRequestIDs means that what a file of the folder names is not the memory of a set of request ids, or not that
// of the set that it means.
var errOtherRequestIDs = errors.New("not the memory of the request ids")

// RequestIDs is a set of client request ids that the processes of one router share in memory: each sees at once what
// another has added. Ids expire, and their number is limited. A nil *RequestIDs is a set of its own that stays empty.
//
// The memory has no name in a file system, so that no access to it waits for a disk. Each process writes a file to the
// shared folder that tells the next one where to find it.
type RequestIDs struct {
	memory    *os.File
	mapping   []byte // the key, then the slots
	slots     []atomic.Uint64
	hashInput []byte // the key, then the id that was hashed last
	file      string // that this process has written to the folder
}

// OpenRequestIDs opens the set that the other process of this router has open, or a new one if there is none. It
// returns nil if nothing is shared. It must be called before Watch.
func (s *SharedState) OpenRequestIDs() (*RequestIDs, error) {
	if s.folder == nil {
		return nil, nil
	}
	ids := s.joinRequestIDs()
	if ids == nil {
		var err error
		ids, err = newRequestIDs()
		if err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("%s%d-%d", requestIDsFilePrefix, os.Getpid(), ids.memory.Fd())
	location := fmt.Sprintf("/proc/%d/fd/%d %x", os.Getpid(), ids.memory.Fd(), ids.key())
	ids.file = s.folder.file(name)
	if err := s.folder.write(name, []byte(location)); err != nil {
		return nil, errors.Join(err, ids.Close())
	}
	return ids, nil
}

// joinRequestIDs opens the set of another process. It returns nil if there is none, and removes the files that killed
// processes have left.
func (s *SharedState) joinRequestIDs() *RequestIDs {
	paths, err := filepath.Glob(s.folder.file(requestIDsFilePrefix + "*"))
	if err != nil {
		return nil
	}
	for _, path := range paths {
		if !s.startedAlone {
			if ids, err := openRequestIDs(path); err == nil {
				return ids
			}
		}
		_ = os.Remove(path) // the file is small, and the next start retries
	}
	return nil
}

// openRequestIDs opens the set that a file of the folder names.
func openRequestIDs(path string) (*RequestIDs, error) {
	content, err := readBounded(path, maxRequestIDsFile)
	if err != nil {
		return nil, err
	}
	var process, descriptor int
	var key []byte
	if _, err := fmt.Sscanf(string(content), "/proc/%d/fd/%d %x", &process, &descriptor, &key); err != nil {
		return nil, err
	}
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/%d", process, descriptor), os.O_RDWR|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	ids, err := mapRequestIDs(memory)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(ids.key(), key) {
		return nil, errors.Join(errOtherRequestIDs, ids.Close())
	}
	return ids, nil
}

// newRequestIDs returns an empty set in new memory.
func newRequestIDs() (*RequestIDs, error) {
	descriptor, err := unix.MemfdCreate(requestIDsName, unix.MFD_CLOEXEC|unix.MFD_ALLOW_SEALING)
	if err != nil {
		return nil, err
	}
	memory := os.NewFile(uintptr(descriptor), requestIDsName)
	content := make([]byte, requestIDsBytes)
	_, _ = rand.Read(content[:requestIDsKey]) // never fails
	_, err = memory.Write(content)
	if err == nil {
		_, err = unix.FcntlInt(memory.Fd(), unix.F_ADD_SEALS, requestIDsSeals)
	}
	if err != nil {
		return nil, errors.Join(err, memory.Close())
	}
	return mapRequestIDs(memory)
}

// mapRequestIDs maps the memory of a set, and closes it if that fails.
func mapRequestIDs(memory *os.File) (*RequestIDs, error) {
	err := checkRequestIDs(memory)
	if err != nil {
		return nil, errors.Join(err, memory.Close())
	}
	mapping, err := unix.Mmap(
		int(memory.Fd()), 0, requestIDsBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(err, memory.Close())
	}
	// A mapping begins on a page, and the key has whole words, so the slots are aligned.
	slots := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapping[requestIDsKey])), requestIDsSlots)
	return &RequestIDs{memory: memory, mapping: mapping, slots: slots}, nil
}

// checkRequestIDs returns an error unless a file is the memory of a set, which nobody can shorten any more: an access
// beyond its end would end this process.
func checkRequestIDs(memory *os.File) error {
	info, err := memory.Stat()
	if err != nil {
		return err
	}
	seals, err := unix.FcntlInt(memory.Fd(), unix.F_GET_SEALS, 0)
	if err != nil {
		return err
	}
	if info.Size() != requestIDsBytes || seals&requestIDsSeals != requestIDsSeals {
		return errOtherRequestIDs
	}
	return nil
}

// key returns the key of the hash, which keeps others from choosing ids that share a slot.
func (s *RequestIDs) key() []byte { return s.mapping[:requestIDsKey] }

// Close ends this process's use of the set. What it has added stays there for the other process.
func (s *RequestIDs) Close() error {
	if s == nil {
		return nil
	}
	err := errors.Join(unix.Munmap(s.mapping), s.memory.Close())
	if s.file != "" {
		err = errors.Join(err, os.Remove(s.file))
	}
	return err
}

// Claim adds an id until the given time, unless it is there at the time now, and reports whether it has added it. Times
// count from the Unix epoch, and until is rounded up to a second. Of two processes that add the same id at the same
// moment at most one succeeds.
func (s *RequestIDs) Claim(id string, now, until time.Duration) (claimed bool) {
	if s == nil {
		return true
	}
	first, tag := s.locate(id)
	var slot *atomic.Uint64
	for slot == nil {
		if s.find(first, tag, now, nil) != nil {
			return false
		}
		slot = s.insert(first, tag, now, until)
	}
	if s.find(first, tag, now, slot) != nil {
		slot.Store(0) // the other process has added the id in the same moment, and may have seen this one
		return false
	}
	return true
}

// Keep changes the time until which an id stays in the set. Only the process that has claimed the id may call it.
func (s *RequestIDs) Keep(id string, until time.Duration) { s.replace(id, expiry(until)) }

// Release removes an id. Only the process that has claimed the id may call it.
func (s *RequestIDs) Release(id string) { s.replace(id, 0) }

// replace sets the expiry of an id that is in the set; 0 removes the id.
func (s *RequestIDs) replace(id string, expiry uint64) {
	if s == nil {
		return
	}
	first, tag := s.locate(id)
	slot := s.find(first, tag, 0, nil)
	switch {
	case slot == nil: // dropped because too many ids share its slots
	case expiry == 0:
		slot.Store(0)
	default:
		slot.Store(tag | expiry)
	}
}

// locate returns the first of the slots that an id may be in, and the part of its hash that its slot contains.
func (s *RequestIDs) locate(id string) (first int, tag uint64) {
	s.hashInput = append(append(s.hashInput[:0], s.key()...), id...)
	hash := sha256.Sum256(s.hashInput)
	first = int(binary.LittleEndian.Uint64(hash[:8]) % requestIDsSlots)
	tag = binary.LittleEndian.Uint64(hash[8:16]) &^ expiryMask
	return first, tag
}

// slot returns one of the slots that an id may be in.
func (s *RequestIDs) slot(first, offset int) *atomic.Uint64 {
	return &s.slots[(first+offset)%requestIDsSlots]
}

// find returns the slot of an id that is in the set at the given time, without looking at the slot except. It returns
// nil if there is none.
func (s *RequestIDs) find(first int, tag uint64, now time.Duration, except *atomic.Uint64) *atomic.Uint64 {
	for offset := range slotsForID {
		slot := s.slot(first, offset)
		content := slot.Load()
		if slot != except && content != 0 && content&^expiryMask == tag && !expired(content, now) {
			return slot
		}
	}
	return nil
}

// insert writes an id into a slot that is free at the given time, or into the one that expires first. It returns nil if
// another process has written to that slot meanwhile.
func (s *RequestIDs) insert(first int, tag uint64, now, until time.Duration) *atomic.Uint64 {
	slot := s.slot(first, 0)
	content := slot.Load()
	for offset := 1; offset < slotsForID && !expired(content, now); offset++ {
		other := s.slot(first, offset)
		if otherContent := other.Load(); otherContent&expiryMask < content&expiryMask {
			slot, content = other, otherContent
		}
	}
	if !slot.CompareAndSwap(content, tag|expiry(until)) {
		return nil
	}
	return slot
}

// expiry returns a time as a slot contains it.
func expiry(until time.Duration) uint64 {
	return uint64((until+time.Second-1)/time.Second) & expiryMask
}

// expired reports whether the id of a slot is no longer in the set, or the slot is free.
func expired(content uint64, now time.Duration) bool {
	return content&expiryMask <= uint64(now/time.Second)&expiryMask
}
