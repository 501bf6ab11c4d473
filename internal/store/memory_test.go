package store

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
)

// memFS is a directory in memory that separates durable data from data that only the kernel holds.
// It can inject errors, run out of space and crash. After a crash any subset of the unsynced
// changes may be on disk, with writes torn at sector boundaries.
type memFS struct {
	mu          sync.Mutex
	rng         *rand.Rand
	names       map[string]*inode // as the process sees them
	durable     map[string]*inode // as on disk
	nameChanges []func(map[string]*inode)
	freeBytes   int // negative: unlimited
	fail        func(op string) error
	syncs       int
}

type inode struct {
	data     []byte // as the process sees it
	synced   []byte // as on disk, without the unsynced writes
	unsynced []unsyncedWrite
}

type unsyncedWrite struct {
	offset int
	data   []byte
}

const sectorSize = 32 // bytes; small, so that records span several sectors

var errFault = errors.New("injected fault")
var errFull = errors.New("no space left")

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, seed)), names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1}
}

func (m *memFS) check(op string) error {
	if m.fail != nil {
		return m.fail(op)
	}
	return nil
}

// changeNames changes the names that the process sees. The change reaches the disk with SyncDir, or
// possibly at a crash.
func (m *memFS) changeNames(change func(map[string]*inode)) {
	change(m.names)
	m.nameChanges = append(m.nameChanges, change)
}

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create"); err != nil {
		return nil, err
	}
	n := &inode{}
	m.changeNames(func(d map[string]*inode) { d[name] = n })
	return &memFile{m, n}, nil
}

func (m *memFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("append"); err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		return nil, errors.New("no such file")
	}
	return &memFile{m, n}, nil
}

func (m *memFS) Open(name string) (io.ReadCloser, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.names[name]
	if n == nil {
		return nil, errors.New("no such file")
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(n.data))), nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("rename"); err != nil {
		return err
	}
	n := m.names[from]
	m.changeNames(func(d map[string]*inode) { delete(d, from); d[to] = n })
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("remove"); err != nil {
		return err
	}
	m.changeNames(func(d map[string]*inode) { delete(d, name) })
	return nil
}

func (m *memFS) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("truncate"); err != nil {
		return err
	}
	n := m.names[name]
	n.data = n.data[:size:size]
	n.synced, n.unsynced = slices.Clone(n.data), nil
	return nil
}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.names)), nil
}

func (m *memFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("syncdir"); err != nil {
		return err
	}
	for _, change := range m.nameChanges {
		change(m.durable)
	}
	m.nameChanges = nil
	return nil
}

// crash returns the directory as the next process finds it after a crash.
func (m *memFS) crash() *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Each unsynced name change may have reached the disk or not.
	for _, change := range m.nameChanges {
		if m.rng.IntN(2) == 0 {
			change(m.durable)
		}
	}
	crashed := newMemFS(m.rng.Uint64())
	copies := map[*inode]*inode{}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		n := m.durable[name]
		if copies[n] == nil {
			data := slices.Clone(n.synced)
			for _, w := range n.unsynced {
				for i := 0; i < len(w.data); i += sectorSize {
					part := w.data[i:min(i+sectorSize, len(w.data))]
					if m.rng.IntN(2) == 0 {
						continue
					}
					if missing := w.offset + i + len(part) - len(data); missing > 0 {
						data = append(data, make([]byte, missing)...)
					}
					copy(data[w.offset+i:], part)
				}
			}
			copies[n] = &inode{data: data, synced: slices.Clone(data)}
		}
		crashed.names[name], crashed.durable[name] = copies[n], copies[n]
	}
	return crashed
}

type memFile struct {
	m *memFS
	n *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	err := f.m.check("write")
	n := len(b)
	if err != nil {
		n = f.m.rng.IntN(n + 1)
	}
	if f.m.freeBytes >= 0 && n > f.m.freeBytes {
		n, err = f.m.freeBytes, errFull
	}
	if f.m.freeBytes >= 0 {
		f.m.freeBytes -= n
	}
	f.n.unsynced = append(f.n.unsynced, unsyncedWrite{len(f.n.data), slices.Clone(b[:n])})
	f.n.data = append(f.n.data, b[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.m.syncs++
	if err := f.m.check("sync"); err != nil {
		f.n.unsynced = nil // as on Linux: unwritten data is dropped, and the next sync succeeds
		return err
	}
	f.n.synced, f.n.unsynced = slices.Clone(f.n.data), nil
	return nil
}

func (f *memFile) Close() error { return nil }
