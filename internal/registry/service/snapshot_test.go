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

// stuckSnapshots is a folder in which the snapshot that is written first waits to be made durable until it is let go.
type stuckSnapshots struct {
	store.FS
	begun, release chan struct{}
}

func (f stuckSnapshots) Create(name string) (store.File, error) {
	file, err := f.FS.Create(name)
	if name != "snapshot.new" || err != nil {
		return file, err
	}
	return stuckFile{file, f}, nil
}

type stuckFile struct {
	store.File
	folder stuckSnapshots
}

func (f stuckFile) Sync() error {
	f.folder.begun <- struct{}{}
	<-f.folder.release
	return f.File.Sync()
}

// While a snapshot is being written no other is begun: a slow disk lets the log grow, and no copies of the state
// gather in memory. Closed twice the service ends once, after the snapshot.
func TestOneSnapshotAtATime(t *testing.T) {
	const every = 5
	folder := stuckSnapshots{FS: store.Dir(t.TempDir()), begun: make(chan struct{}, 100), release: make(chan struct{})}
	s, _, err := service.Open(service.Config{Settings: settings, Clock: clock.NewManual(time.Unix(1_800_000_000, 0)), FS: folder, Log: zerolog.Nop(), SnapshotInterval: every, LongPoll: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	commit := func(records int) {
		t.Helper()
		for range records {
			if _, err := s.Commit(registry.Tick{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	commit(every)
	<-folder.begun
	before := runtime.NumGoroutine()
	commit(20 * every)
	if more := runtime.NumGoroutine() - before; more > 5 {
		t.Errorf("%d goroutines more after 20 times the records of a snapshot, while one is being written", more)
	}
	close(folder.release)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Errorf("closed again: %v", err)
	}
}
