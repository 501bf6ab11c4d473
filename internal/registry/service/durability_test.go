package service_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/registry/service"
	"kitehub/internal/registry/wire"
	"kitehub/internal/store"
)

// A fullFS is a directory on a disk that can be full.
type fullFS struct {
	store.FS
	mu   sync.Mutex
	full bool
}

type fullFile struct {
	store.File
	fs *fullFS
}

func (fs *fullFS) Append(name string) (store.File, error) {
	file, err := fs.FS.Append(name)
	return &fullFile{file, fs}, err
}

func (fs *fullFS) Create(name string) (store.File, error) {
	file, err := fs.FS.Create(name)
	return &fullFile{file, fs}, err
}

func (f *fullFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	full := f.fs.full
	f.fs.mu.Unlock()
	if full {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// On a full disk a command is rejected and changes nothing. Once there is space again, commands are
// committed.
func TestDiskFull(t *testing.T) {
	fs := &fullFS{FS: store.Dir(t.TempDir())}
	r := open(t, fs)
	ann := r.client("ann")
	must(t, ann, "p1", push("v1"))
	must(t, ann, "p2", push("v2"))
	must(t, ann, "k1", promote("v1", 0))
	fs.mu.Lock()
	fs.full = true
	fs.mu.Unlock()
	if _, err := ann.Command("k2", promote("v2", 1)); status(err) != 507 {
		t.Errorf("with a full disk: %v, want 507", err)
	}
	if a, err := ann.Query(wire.Query{Kind: "watch"}); err != nil || len(a.Targets) != 1 || a.Targets[0].Version != "v1" {
		t.Errorf("after the failure: %+v, %v", a, err)
	}
	fs.mu.Lock()
	fs.full = false
	fs.mu.Unlock()
	if a := must(t, ann, "k2", promote("v2", 1)); a.Status != "acknowledged" {
		t.Errorf("with space again: %+v", a)
	}
	r.kill()
	r.start()
	a, err := r.client("ann").Query(wire.Query{Kind: "watch"})
	if err != nil || a.Targets[0].Version != "v2" || a.Targets[0].Revision != 2 {
		t.Errorf("after a restart: %+v, %v", a, err)
	}
}

// If the process is killed between the write of the log and the response, a retry with the same key
// finds the migration.
func TestKilledBeforeResponse(t *testing.T) {
	dir := t.TempDir()
	r := open(t, store.Dir(dir))
	must(t, r.client("ann"), "p1", push("v1"))
	for i := range 10 {
		key := fmt.Sprint("k", i)
		done := make(chan error, 1)
		go func() {
			_, err := r.client("ann").Command(key, promote("v1", uint64(i)))
			done <- err
		}()
		for { // until the command is in the log
			migrations := 0
			r.s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { migrations = int(st.LastMigration) })
			if migrations > i {
				break
			}
		}
		r.kill()
		<-done
		r.start()
		a := must(t, r.client("ann"), key, promote("v1", uint64(i)))
		if a.Migration != uint64(i+1) || !a.Replayed || a.Status != "acknowledged" {
			t.Fatalf("round %d: %+v", i, a)
		}
	}
}

// A new process assumes that controllers may hold leases of the previous one, and ignores files
// that are not its own.
func TestRestartWaitsForLeases(t *testing.T) {
	r := open(t, store.Dir(t.TempDir()))
	must(t, r.client("ann"), "p1", push("v1"))
	must(t, r.client("ann"), "p2", push("v2"))
	must(t, r.client("ann"), "k1", promote("v1", 0))
	r.kill()
	r.start()
	begin := time.Now()
	a := must(t, r.client("ann"), "k2", promote("v2", 1))
	if took := time.Since(begin); a.Status != "acknowledged" || took < settings.LeaseDuration-50*ms {
		t.Errorf("%+v after %v, before a lease of %v could have expired", a, took, settings.LeaseDuration)
	}
	if err := os.WriteFile(filepath.Join(string(r.fs.(store.Dir)), "junk"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.kill()
	r.start() // a file that is not its own is ignored
}

// The recovered state is the committed one, whatever commands were committed and wherever the
// process ended.
func TestRecoveredState(t *testing.T) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "20")
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "registry")
		if err != nil {
			rt.Fatal(err)
		}
		run := &restartingService{t: rt, dir: dir, clock: clock.NewManual(time.Unix(1_800_000_000, 0))}
		run.open()
		defer func() { run.service.Close() }()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			run.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "dt")) * ms)
			kind := rapid.IntRange(0, 8).Draw(rt, "what")
			if kind == 8 {
				run.restart()
				continue
			}
			run.service.Commit(run.drawCommand(kind)) // a rejected command is also in the log
		}
	})
}

// A restartingService is a service that is restarted on its directory, between randomly drawn
// commands.
type restartingService struct {
	t       *rapid.T
	dir     string
	clock   *clock.Manual
	service *service.Service
}

func (r *restartingService) open() {
	s, _, err := service.Open(service.Config{
		Settings:         settings,
		Clock:            r.clock,
		FS:               store.Dir(r.dir),
		Log:              zerolog.Nop(),
		SnapshotInterval: 7,
		LongPoll:         100 * ms,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.service = s
}

// stateText returns the state as JSON.
func (r *restartingService) stateText() (text []byte) {
	r.service.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { text, _ = json.Marshal(st) })
	return text
}

// drawCommand draws a command of a kind, given by number.
func (r *restartingService) drawCommand(kind int) registry.Command {
	model := func() string { return rapid.SampledFrom([]string{"m", "n"}).Draw(r.t, "m") }
	version := func() string { return rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(r.t, "v") }
	revision := func() uint64 { return uint64(rapid.IntRange(0, 4).Draw(r.t, "rev")) }
	copies := func() int { return rapid.IntRange(0, 2).Draw(r.t, "copies") }
	switch kind {
	case 0, 1:
		name := version()
		digest := "sha256:" + strings.Repeat(name[1:], 64)
		return registry.Push{Model: model(), Version: registry.Version{Name: name, Digest: digest}}
	case 2, 3:
		return registry.Promote{
			Model:      model(),
			Alias:      "current",
			To:         version(),
			IfRevision: revision(),
			Copies:     copies(),
		}
	case 4:
		return registry.CopiesReady{Model: model(), Version: version(), Worker: "w", Copies: copies()}
	case 5:
		return registry.Rollback{Model: model(), Alias: "current", IfRevision: revision()}
	case 6:
		return rapid.SampledFrom([]registry.Command{
			registry.Tick{},
			registry.Collect{},
			registry.Policy{Model: "m", AllowStale: true},
			registry.Condemn{Model: "n", Version: "v3"},
		}).Draw(r.t, "other")
	}
	return registry.IdempotentCommand{
		Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(r.t, "key"),
		Checksum: "s",
		Command:  registry.Policy{Model: "m", AllowStale: rapid.Bool().Draw(r.t, "stale")},
	}
}

// restart restarts the service and checks that nothing that was committed is lost. The new process
// may have taken further steps by itself, as time has passed and no controller holds a lease.
func (r *restartingService) restart() {
	r.service.Close()
	before := r.stateText()
	r.open()
	var after, want registry.State
	if err := errors.Join(json.Unmarshal(r.stateText(), &after), json.Unmarshal(before, &want)); err != nil {
		r.t.Fatal(err)
	}
	if after.Epoch < want.Epoch || after.ConfirmedEpoch < want.ConfirmedEpoch ||
		after.LastMigration < want.LastMigration || len(after.History) < len(want.History) {
		r.t.Fatalf("before %s\nafter %+v", before, after)
	}
	for name, model := range want.Models {
		for version, old := range model.Versions {
			recovered := after.Models[name].Versions[version]
			if recovered == nil || recovered.Digest != old.Digest {
				r.t.Fatalf("%s %s: %+v, was %+v", name, version, recovered, old)
			}
		}
		for alias, old := range model.Aliases {
			if old.Revision == 0 { // its migration was staging and may have been aborted
				continue
			}
			recovered := after.Models[name].Aliases[alias]
			if recovered == nil || recovered.Revision < old.Revision ||
				recovered.Revision == old.Revision && recovered.Version != old.Version {
				r.t.Fatalf("%s %s: %+v, was %+v", name, alias, recovered, old)
			}
		}
	}
}
