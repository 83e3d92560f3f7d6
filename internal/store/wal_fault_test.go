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

// logContent is the content of a log: its entries and stable values.
type logContent struct {
	firstIndex, lastIndex uint64
	data                  map[uint64]string
	stable                map[string]string
}

// contentOf returns the content that a log has in memory.
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

// randomWrite performs one random write of the kinds that raft does, on the log w and on the model, which never fails.
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

// newModel returns a copy of a log whose calls never fail.
func newModel(t *testing.T, w *wal) *wal {
	t.Helper()
	model, err := openWALIn(newFaultyFileSystem(rand.New(rand.NewPCG(0, 0))), faultLogPath)
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

// faultRun writes to a log on a faulty file system, and keeps track of the contents that a crash may leave.
type faultRun struct {
	test              *testing.T
	files             *faultyFileSystem
	log               *wal
	allowedAfterCrash []logContent
}

func startFaultRun(t *testing.T, files *faultyFileSystem, plan faultPlan) *faultRun {
	t.Helper()
	files.plan = noFaults{}
	w, err := openWALIn(files, faultLogPath)
	if err != nil {
		t.Fatalf("after %v: %v", files.faults, err)
	}
	w.compactionThreshold = faultCompactionThreshold
	files.plan = plan
	return &faultRun{test: t, files: files, log: w, allowedAfterCrash: []logContent{contentOf(w)}}
}

// write performs one random write. Once the log has failed, no write may be acknowledged.
func (p *faultRun) write(random *rand.Rand, number int) {
	p.test.Helper()
	model := newModel(p.test, p.log)
	failedBefore := p.log.failure != nil
	err := randomWrite(random, number, p.log, model)
	switch {
	case err == nil && failedBefore:
		p.test.Fatalf("a write was acknowledged after the log failed: %v", p.log.failure)
	case err == nil:
		p.allowedAfterCrash = []logContent{contentOf(p.log)}
	case !errors.Is(err, errInjected):
		p.test.Fatal(err)
	case !failedBefore:
		p.allowedAfterCrash = append(p.allowedAfterCrash, contentOf(model), contentOf(p.log))
	}
}

// crash crashes the file system and checks that the next start finds all acknowledged writes, and beyond them at most
// those that have failed since.
func (p *faultRun) crash() {
	p.test.Helper()
	p.files.plan = noFaults{}
	p.files.crash()
	after, err := openWALIn(p.files, faultLogPath)
	if err != nil {
		p.test.Fatalf("after %v: %v", p.files.faults, err)
	}
	for _, content := range p.allowedAfterCrash {
		if contentOf(after).equals(content) {
			return
		}
	}
	p.test.Fatalf("after %v:\nfound       %+v\nwant one of %+v", p.files.faults, contentOf(after), p.allowedAfterCrash)
}

// Guards against acknowledged records that a crash loses because an earlier write, sync, truncate or rename had failed.
func TestAcknowledgedRecordsSurviveFaults(t *testing.T) {
	const (
		seeds   = 500
		crashes = 4  // per seed
		writes  = 60 // before each crash
	)
	rates := []float64{0, 0.01, 0.05, 0.2}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			files := newFaultyFileSystem(random)
			for range crashes {
				plan := randomFaults{random: random, rate: rates[random.IntN(len(rates))]}
				run := startFaultRun(t, files, plan)
				for number := range writes {
					run.write(random, number)
				}
				run.crash()
			}
		})
	}
}

// Guards against acknowledged records that a crash loses after a single fault. Each call of the file system fails once,
// and each write after each number of bytes.
func TestAcknowledgedRecordsSurviveEachFault(t *testing.T) {
	const writes = 30
	for call, callsRemain := 0, true; callsRemain; call++ {
		for bytes, writeLength := 0, 0; bytes <= writeLength; bytes++ {
			plan := &singleFault{failingCall: call, maxBytesWritten: bytes}
			random := rand.New(rand.NewPCG(1, 0))
			files := newFaultyFileSystem(rand.New(rand.NewPCG(uint64(call), uint64(bytes))))
			run := startFaultRun(t, files, plan)
			for number := range writes {
				run.write(random, number)
			}
			run.crash()
			writeLength = plan.writeLength - 1
			callsRemain = call < plan.calls
		}
	}
}
