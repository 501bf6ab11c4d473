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

// memory is a folder in memory that knows what is durable and what only the kernel holds. It can fail, fill up and
// crash: of all that was not synced, any part may then be on disk, in any order, torn at any sector.
type memory struct {
	mu       sync.Mutex
	rng      *rand.Rand
	names    map[string]*inode // as seen
	durable  map[string]*inode // as on disk
	ops      []func(map[string]*inode)
	capacity int // bytes that still fit; below 0: any number
	fail     func(op string) error
	syncs    int
}

type inode struct {
	data   []byte // as seen
	synced []byte // as on disk
	writes []write
}

type write struct {
	at   int
	data []byte
}

const sector = 32 // small, so that records span several

var errFault = errors.New("fault")
var errFull = errors.New("no capacity")

func newMemory(seed uint64) *memory {
	return &memory{rng: rand.New(rand.NewPCG(seed, seed)), names: map[string]*inode{}, durable: map[string]*inode{}, capacity: -1}
}

func (m *memory) check(op string) error {
	if m.fail != nil {
		return m.fail(op)
	}
	return nil
}

// name changes the names as seen. On disk they change with SyncDir, or perhaps at a crash.
func (m *memory) name(f func(map[string]*inode)) {
	f(m.names)
	m.ops = append(m.ops, f)
}

func (m *memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create"); err != nil {
		return nil, err
	}
	n := &inode{}
	m.name(func(d map[string]*inode) { d[name] = n })
	return &handle{m, n}, nil
}

func (m *memory) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("append"); err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		return nil, errors.New("no such file")
	}
	return &handle{m, n}, nil
}

func (m *memory) Open(name string) (io.ReadCloser, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.names[name]
	if n == nil {
		return nil, errors.New("no such file")
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(n.data))), nil
}

func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("rename"); err != nil {
		return err
	}
	n := m.names[from]
	m.name(func(d map[string]*inode) { delete(d, from); d[to] = n })
	return nil
}

func (m *memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("remove"); err != nil {
		return err
	}
	m.name(func(d map[string]*inode) { delete(d, name) })
	return nil
}

func (m *memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("truncate"); err != nil {
		return err
	}
	n := m.names[name]
	n.data = n.data[:size:size]
	n.synced, n.writes = slices.Clone(n.data), nil
	return nil
}

func (m *memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.names)), nil
}

func (m *memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("syncdir"); err != nil {
		return err
	}
	for _, f := range m.ops {
		f(m.durable)
	}
	m.ops = nil
	return nil
}

// crash returns the folder as it is found afterwards.
func (m *memory) crash() *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.ops { // names too may reach the disk in any order
		if m.rng.IntN(2) == 0 {
			f(m.durable)
		}
	}
	out := newMemory(m.rng.Uint64())
	done := map[*inode]*inode{}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		n := m.durable[name]
		if done[n] == nil {
			data := slices.Clone(n.synced)
			for _, w := range n.writes {
				for i := 0; i < len(w.data); i += sector {
					part := w.data[i:min(i+sector, len(w.data))]
					if m.rng.IntN(2) == 0 {
						continue
					}
					if grow := w.at + i + len(part) - len(data); grow > 0 {
						data = append(data, make([]byte, grow)...)
					}
					copy(data[w.at+i:], part)
				}
			}
			done[n] = &inode{data: data, synced: slices.Clone(data)}
		}
		out.names[name], out.durable[name] = done[n], done[n]
	}
	return out
}

type handle struct {
	m *memory
	n *inode
}

func (h *handle) Write(b []byte) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	err := h.m.check("write")
	n := len(b)
	if err != nil {
		n = h.m.rng.IntN(n + 1)
	}
	if h.m.capacity >= 0 && n > h.m.capacity {
		n, err = h.m.capacity, errFull
	}
	if h.m.capacity >= 0 {
		h.m.capacity -= n
	}
	h.n.writes = append(h.n.writes, write{len(h.n.data), slices.Clone(b[:n])})
	h.n.data = append(h.n.data, b[:n]...)
	return n, err
}

func (h *handle) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.m.syncs++
	if err := h.m.check("sync"); err != nil {
		h.n.writes = nil // as Linux does: what could not be written is dropped, and the next sync succeeds
		return err
	}
	h.n.synced, h.n.writes = slices.Clone(h.n.data), nil
	return nil
}

func (h *handle) Close() error { return nil }
