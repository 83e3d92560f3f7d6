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

// byteState is what a sync would do with a byte of a file.
type byteState byte

const (
	clean byteState = iota // the disk has it
	dirty                  // the next sync writes it
	lost                   // a failed sync has dropped it: the next one succeeds without it
)

// memoryFile is the content of a file as its readers see it and as the disk has it.
type memoryFile struct {
	content []byte
	states  []byteState // of each byte of content
	onDisk  []byte
}

// faultyFiles is a file system in memory whose calls can fail, and that can crash.
type faultyFiles struct {
	random      *rand.Rand // chooses what is left of a crash
	plan        faultPlan
	names       map[string]*memoryFile
	namesOnDisk map[string]*memoryFile
	faults      []string // what has failed, in order
}

// faultPlan chooses which calls fail.
type faultPlan interface {
	fails() bool
	// partOf returns how many bytes of a write that fails are written.
	partOf(length int) int
}

// noFaults is the faultPlan of a machine that works.
type noFaults struct{}

func (noFaults) fails() bool    { return false }
func (noFaults) partOf(int) int { return 0 }

// randomFaults makes a part of the calls fail.
type randomFaults struct {
	random *rand.Rand
	rate   float64
}

func (r randomFaults) fails() bool           { return r.random.Float64() < r.rate }
func (r randomFaults) partOf(length int) int { return r.random.IntN(length) }

// oneFault makes one call fail, the first one being 0. A write has written so many bytes by then.
type oneFault struct {
	call, bytes int
	calls       int // made so far
	writeLength int // of the write that failed, 0 if it was another call
}

func (o *oneFault) fails() bool {
	o.calls++
	return o.calls-1 == o.call
}

func (o *oneFault) partOf(length int) int {
	o.writeLength = length
	return min(o.bytes, length)
}

func newFaultyFiles(random *rand.Rand) *faultyFiles {
	return &faultyFiles{
		random:      random,
		plan:        noFaults{},
		names:       map[string]*memoryFile{},
		namesOnDisk: map[string]*memoryFile{},
	}
}

func (f *faultyFiles) fails(call string) bool {
	if !f.plan.fails() {
		return false
	}
	f.faults = append(f.faults, call)
	return true
}

// OpenFile implements fileSystem.
func (f *faultyFiles) OpenFile(path string, flag int) (logFile, error) {
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
func (f *faultyFiles) Rename(from, to string) error {
	if f.fails("rename") {
		return fmt.Errorf("rename: %w", errInjected)
	}
	f.names[to] = f.names[from]
	delete(f.names, from)
	return nil
}

// SyncFolder implements fileSystem. The names of all files are on the disk behind it.
func (f *faultyFiles) SyncFolder(string) error {
	if f.fails("sync folder") {
		return fmt.Errorf("sync folder: %w", errInjected)
	}
	f.syncNames()
	return nil
}

func (f *faultyFiles) syncNames() {
	clear(f.namesOnDisk)
	for name, file := range f.names {
		f.namesOnDisk[name] = file
	}
}

// crash leaves what the disk has. Of what was not synced it has a part that the seed chooses.
func (f *faultyFiles) crash() {
	if f.random.IntN(2) == 0 {
		f.syncNames()
	}
	clear(f.names)
	for name, file := range f.namesOnDisk {
		content := slices.Clone(file.onDisk)
		if pending := file.pendingEnd(); len(pending) > 0 && len(file.content)-len(pending) == len(content) {
			content = append(content, pending[:f.random.IntN(len(pending)+1)]...)
		}
		after := &memoryFile{content: content, onDisk: slices.Clone(content), states: make([]byteState, len(content))}
		f.names[name] = after
		f.namesOnDisk[name] = after
	}
}

// pendingEnd returns the dirty bytes at the end of the file.
func (m *memoryFile) pendingEnd() []byte {
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

// sync brings the dirty bytes to the disk. Of lost bytes the disk has what it had before, or zeros.
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

// loseDirtyBytes does what some systems do where a sync has failed.
func (m *memoryFile) loseDirtyBytes() {
	for i, state := range m.states {
		if state == dirty {
			m.states[i] = lost
		}
	}
}

// openFile is a logFile of faultyFiles.
type openFile struct {
	files  *faultyFiles
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

// Write implements io.Writer. One that fails has written a part.
func (o *openFile) Write(data []byte) (int, error) {
	n := len(data)
	var err error
	if o.files.fails("write") {
		n = o.files.plan.partOf(len(data))
		err = fmt.Errorf("write: %w", errInjected)
	}
	o.file.writeAt(data[:n], o.offset)
	o.offset += int64(n)
	return n, err
}

// Seek implements io.Seeker, from the start of the file.
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
