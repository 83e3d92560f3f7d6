package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/raft"
)

const (
	faultLogPath             = "/store/log"
	faultCompactionThreshold = 2 << 10
)

// logContent is what a log amounts to.
type logContent struct {
	firstIndex, lastIndex uint64
	data                  map[uint64]string
	stable                map[string]string
}

// contentOf returns what a log holds in memory.
func contentOf(w *wal) logContent {
	content := logContent{
		firstIndex: w.firstIndex,
		lastIndex:  w.lastIndex,
		data:       map[uint64]string{},
		stable:     map[string]string{},
	}
	for index, entry := range w.entries {
		content.data[index] = string(entry.Data)
	}
	for key, value := range w.stable {
		content.stable[key] = string(value)
	}
	return content
}

func (c logContent) equals(other logContent) bool {
	return c.firstIndex == other.firstIndex && c.lastIndex == other.lastIndex &&
		maps.Equal(c.data, other.data) && maps.Equal(c.stable, other.stable)
}

// randomWrite makes one write as raft does, to a log and to one in memory that never fails.
func randomWrite(random *rand.Rand, number int, w, model *wal) error {
	var write func(*wal) error
	value := fmt.Sprintf("value %d", number)
	switch choice := random.IntN(10); {
	case choice < 5 || w.lastIndex == 0 && choice >= 8:
		next := w.lastIndex + 1
		if w.lastIndex == 0 {
			next = 1
		}
		write = func(to *wal) error { return to.StoreLog(&raft.Log{Index: next, Data: []byte(value)}) }
	case choice < 8:
		key := fmt.Appendf(nil, "key %d", random.IntN(3))
		write = func(to *wal) error { return to.Set(key, []byte(value)) }
	default:
		last := w.firstIndex + random.Uint64N(w.lastIndex-w.firstIndex+1)
		first := w.firstIndex
		if choice == 8 {
			first, last = last, w.lastIndex
		}
		write = func(to *wal) error { return to.DeleteRange(first, last) }
	}
	err := write(w)
	if modelErr := write(model); modelErr != nil {
		return modelErr
	}
	return err
}

// newModel returns a log that never fails, with the content of another one.
func newModel(t *testing.T, w *wal) *wal {
	t.Helper()
	model, err := openWALIn(newFaultyFiles(rand.New(rand.NewPCG(0, 0))), faultLogPath)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := w.encodeAll()
	if err != nil {
		t.Fatal(err)
	}
	model.file.(*openFile).file.writeAt(encoded, 0)
	if model, err = openWALIn(model.files, faultLogPath); err != nil {
		t.Fatal(err)
	}
	return model
}

// faultPlay writes to a log whose file system fails, and knows what may be found after a crash.
type faultPlay struct {
	test    *testing.T
	files   *faultyFiles
	log     *wal
	allowed []logContent
}

func startFaultPlay(t *testing.T, files *faultyFiles, plan faultPlan) *faultPlay {
	t.Helper()
	files.plan = noFaults{}
	w, err := openWALIn(files, faultLogPath)
	if err != nil {
		t.Fatalf("after %v: %v", files.faults, err)
	}
	w.compactionThreshold = faultCompactionThreshold
	files.plan = plan
	return &faultPlay{test: t, files: files, log: w, allowed: []logContent{contentOf(w)}}
}

// write makes one random write. Nothing may be acknowledged once the log has failed.
func (p *faultPlay) write(random *rand.Rand, number int) {
	p.test.Helper()
	model := newModel(p.test, p.log)
	failedBefore := p.log.failure != nil
	err := randomWrite(random, number, p.log, model)
	switch {
	case err == nil && failedBefore:
		p.test.Fatalf("acknowledged behind %v", p.log.failure)
	case err == nil:
		p.allowed = []logContent{contentOf(p.log)}
	case !errors.Is(err, errInjected):
		p.test.Fatal(err)
	case !failedBefore:
		p.allowed = append(p.allowed, contentOf(model), contentOf(p.log))
	}
}

// crash fails the test unless the next start finds all that was acknowledged and nothing else but, at most, what has
// failed since.
func (p *faultPlay) crash() {
	p.test.Helper()
	p.files.plan = noFaults{}
	p.files.crash()
	after, err := openWALIn(p.files, faultLogPath)
	if err != nil {
		p.test.Fatalf("after %v: %v", p.files.faults, err)
	}
	for _, content := range p.allowed {
		if contentOf(after).equals(content) {
			return
		}
	}
	p.test.Fatalf("after %v:\nfound %+v\nof    %+v", p.files.faults, contentOf(after), p.allowed)
}

// Guards against acknowledged records that are gone after a crash because an earlier write, sync, cut or rename had
// failed.
func TestAcknowledgedRecordsSurviveFaults(t *testing.T) {
	const (
		seeds   = 500
		crashes = 4 // of one seed
		writes  = 60
	)
	rates := []float64{0, 0.01, 0.05, 0.2}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			files := newFaultyFiles(random)
			for range crashes {
				plan := randomFaults{random: random, rate: rates[random.IntN(len(rates))]}
				play := startFaultPlay(t, files, plan)
				for number := range writes {
					play.write(random, number)
				}
				play.crash()
			}
		})
	}
}

// Guards against the same: each call of the file system fails once, and each write at each of its bytes.
func TestAcknowledgedRecordsSurviveEachFault(t *testing.T) {
	const writes = 30
	for call, more := 0, true; more; call++ {
		for bytes, writeLength := 0, 0; bytes <= writeLength; bytes++ {
			plan := &oneFault{call: call, bytes: bytes}
			random := rand.New(rand.NewPCG(1, 0))
			files := newFaultyFiles(rand.New(rand.NewPCG(uint64(call), uint64(bytes))))
			play := startFaultPlay(t, files, plan)
			for number := range writes {
				play.write(random, number)
			}
			play.crash()
			writeLength = plan.writeLength - 1
			more = call < plan.calls
		}
	}
}
