package service_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/service"
	"kitehub/internal/store"
)

// A blockingFS is a directory in which the sync of a snapshot blocks until release is closed.
type blockingFS struct {
	store.FS
	started, release chan struct{}
}

func (fs blockingFS) Create(name string) (store.File, error) {
	file, err := fs.FS.Create(name)
	if name != "snapshot.new" || err != nil {
		return file, err
	}
	return blockingFile{file, fs}, nil
}

type blockingFile struct {
	store.File
	fs blockingFS
}

func (f blockingFile) Sync() error {
	f.fs.started <- struct{}{}
	<-f.fs.release
	return f.File.Sync()
}

// While a snapshot is being written no other one is started, so that on a slow disk the log grows
// and not the number of copies of the state in memory. Close waits for the snapshot, and a second
// Close does nothing.
func TestOneSnapshotAtATime(t *testing.T) {
	const snapshotInterval = 5
	fs := blockingFS{FS: store.Dir(t.TempDir()), started: make(chan struct{}, 100), release: make(chan struct{})}
	s, _, err := service.Open(service.Config{Settings: settings, Clock: clock.NewManual(time.Unix(1_800_000_000, 0)), FS: fs, Log: zerolog.Nop(), SnapshotInterval: snapshotInterval, LongPoll: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	commit := func(count int) {
		t.Helper()
		for range count {
			if _, err := s.Commit(registry.Tick{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	commit(snapshotInterval)
	<-fs.started
	before := runtime.NumGoroutine()
	commit(20 * snapshotInterval)
	if more := runtime.NumGoroutine() - before; more > 5 {
		t.Errorf("%d more goroutines after 20 times the snapshot interval, while one snapshot is being written", more)
	}
	close(fs.release)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Errorf("second Close: %v", err)
	}
}
