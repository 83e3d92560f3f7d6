package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
)

var errInjected = errors.New("injected fault")

// byteState is the state of a byte of a file. It determines what the next sync does with the byte.
type byteState byte

const (
	clean byteState = iota // the byte is on the disk
	dirty                  // the next sync writes the byte
	lost                   // a failed sync has dropped the byte, and the next one succeeds without writing it
)

// memoryFile is a file in memory: its content as readers see it, and as it is on the simulated disk.
type memoryFile struct {
	content []byte
	states  []byteState // of each byte of content
	onDisk  []byte
}

// faultyFileSystem is a file system in memory that can crash and whose calls can fail.
type faultyFileSystem struct {
	random      *rand.Rand // chooses which unsynced data survives a crash
	plan        faultPlan
	names       map[string]*memoryFile
	namesOnDisk map[string]*memoryFile
	faults      []string // the calls that have failed, in order
}

// faultPlan chooses which calls fail.
type faultPlan interface {
	fails() bool
	// bytesWritten returns how many bytes a failing write of the given length writes.
	bytesWritten(length int) int
}

// noFaults is a faultPlan in which no call fails.
type noFaults struct{}

func (noFaults) fails() bool          { return false }
func (noFaults) bytesWritten(int) int { return 0 }

// randomFaults makes each call fail with probability rate.
type randomFaults struct {
	random *rand.Rand
	rate   float64
}

func (r randomFaults) fails() bool                 { return r.random.Float64() < r.rate }
func (r randomFaults) bytesWritten(length int) int { return r.random.IntN(length) }

// singleFault makes one call fail. Calls are numbered from 0. A failing write writes at most maxBytesWritten bytes.
type singleFault struct {
	failingCall, maxBytesWritten int
	calls                        int // number of calls so far
	writeLength                  int // length of the write that failed, or 0 if another call failed
}

func (o *singleFault) fails() bool {
	o.calls++
	return o.calls-1 == o.failingCall
}

func (o *singleFault) bytesWritten(length int) int {
	o.writeLength = length
	return min(o.maxBytesWritten, length)
}

func newFaultyFileSystem(random *rand.Rand) *faultyFileSystem {
	return &faultyFileSystem{
		random:      random,
		plan:        noFaults{},
		names:       map[string]*memoryFile{},
		namesOnDisk: map[string]*memoryFile{},
	}
}

func (f *faultyFileSystem) fails(call string) bool {
	if !f.plan.fails() {
		return false
	}
	f.faults = append(f.faults, call)
	return true
}

// OpenFile implements fileSystem.
func (f *faultyFileSystem) OpenFile(path string, flag int) (logFile, error) {
	if f.fails("open") {
		return nil, fmt.Errorf("open: %w", errInjected)
	}
	file := f.names[path]
	if file == nil {
		file = &memoryFile{}
		f.names[path] = file
	}
	if flag&os.O_TRUNC != 0 {
		file.truncate(0)
	}
	return &openFile{files: f, file: file}, nil
}

// Rename implements fileSystem.
func (f *faultyFileSystem) Rename(from, to string) error {
	if f.fails("rename") {
		return fmt.Errorf("rename: %w", errInjected)
	}
	f.names[to] = f.names[from]
	delete(f.names, from)
	return nil
}

// SyncFolder implements fileSystem. It syncs the names of all files.
func (f *faultyFileSystem) SyncFolder(string) error {
	if f.fails("sync folder") {
		return fmt.Errorf("sync folder: %w", errInjected)
	}
	f.syncNames()
	return nil
}

func (f *faultyFileSystem) syncNames() {
	clear(f.namesOnDisk)
	for name, file := range f.names {
		f.namesOnDisk[name] = file
	}
}

// crash discards everything that is not on the disk. Of the data that was not synced a random part survives.
func (f *faultyFileSystem) crash() {
	if f.random.IntN(2) == 0 {
		f.syncNames()
	}
	clear(f.names)
	for name, file := range f.namesOnDisk {
		content := slices.Clone(file.onDisk)
		if tail := file.dirtyTail(); len(tail) > 0 && len(file.content)-len(tail) == len(content) {
			content = append(content, tail[:f.random.IntN(len(tail)+1)]...)
		}
		after := &memoryFile{content: content, onDisk: slices.Clone(content), states: make([]byteState, len(content))}
		f.names[name] = after
		f.namesOnDisk[name] = after
	}
}

// dirtyTail returns the contiguous dirty bytes at the end of the file.
func (m *memoryFile) dirtyTail() []byte {
	start := len(m.content)
	for start > 0 && m.states[start-1] == dirty {
		start--
	}
	return m.content[start:]
}

func (m *memoryFile) truncate(size int64) {
	m.content = m.content[:size]
	m.states = m.states[:size]
}

func (m *memoryFile) writeAt(data []byte, offset int64) {
	end := int(offset) + len(data)
	for len(m.content) < end {
		m.content = append(m.content, 0)
		m.states = append(m.states, dirty)
	}
	copy(m.content[offset:], data)
	for i := int(offset); i < end; i++ {
		m.states[i] = dirty
	}
}

// sync writes the dirty bytes to the disk. In place of lost bytes the disk keeps its previous content, or zeros.
func (m *memoryFile) sync() {
	onDisk := make([]byte, len(m.content))
	for i, state := range m.states {
		switch {
		case state != lost:
			onDisk[i] = m.content[i]
			m.states[i] = clean
		case i < len(m.onDisk):
			onDisk[i] = m.onDisk[i]
		}
	}
	m.onDisk = onDisk
}

// loseDirtyBytes drops the dirty bytes, as some operating systems do when a sync fails.
func (m *memoryFile) loseDirtyBytes() {
	for i, state := range m.states {
		if state == dirty {
			m.states[i] = lost
		}
	}
}

// openFile is a logFile of a faultyFileSystem.
type openFile struct {
	files  *faultyFileSystem
	file   *memoryFile
	offset int64
}

// Read implements io.Reader.
func (o *openFile) Read(buffer []byte) (int, error) {
	if o.offset >= int64(len(o.file.content)) {
		return 0, io.EOF
	}
	n := copy(buffer, o.file.content[o.offset:])
	o.offset += int64(n)
	return n, nil
}

// Write implements io.Writer. A failing write writes part of the data.
func (o *openFile) Write(data []byte) (int, error) {
	n := len(data)
	var err error
	if o.files.fails("write") {
		n = o.files.plan.bytesWritten(len(data))
		err = fmt.Errorf("write: %w", errInjected)
	}
	o.file.writeAt(data[:n], o.offset)
	o.offset += int64(n)
	return n, err
}

// Seek implements io.Seeker for offsets from the start of the file.
func (o *openFile) Seek(offset int64, _ int) (int64, error) {
	if o.files.fails("seek") {
		return 0, fmt.Errorf("seek: %w", errInjected)
	}
	o.offset = offset
	return offset, nil
}

// Truncate implements logFile.
func (o *openFile) Truncate(size int64) error {
	if o.files.fails("truncate") {
		return fmt.Errorf("truncate: %w", errInjected)
	}
	o.file.truncate(size)
	return nil
}

// Sync implements logFile.
func (o *openFile) Sync() error {
	if o.files.fails("sync") {
		o.file.loseDirtyBytes()
		return fmt.Errorf("sync: %w", errInjected)
	}
	o.file.sync()
	return nil
}

// Close implements io.Closer.
func (o *openFile) Close() error { return nil }
