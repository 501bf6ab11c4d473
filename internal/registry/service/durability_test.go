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

// fullFS is a folder on a disk that can be full.
type fullFS struct {
	store.FS
	mu   sync.Mutex
	full bool
}

type fullFile struct {
	store.File
	fs *fullFS
}

func (f *fullFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &fullFile{w, f}, err
}

func (f *fullFS) Create(name string) (store.File, error) {
	w, err := f.FS.Create(name)
	return &fullFile{w, f}, err
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

// On a full disk a command is rejected and nothing changes; once there is capacity, commands are committed again.
func TestDiskFull(t *testing.T) {
	fs := &fullFS{FS: store.Dir(t.TempDir())}
	d := open(t, fs)
	ann := d.client("ann")
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
		t.Errorf("after it: %+v, %v", a, err)
	}
	fs.mu.Lock()
	fs.full = false
	fs.mu.Unlock()
	if a := must(t, ann, "k2", promote("v2", 1)); a.Status != "acknowledged" {
		t.Errorf("with room again: %+v", a)
	}
	d.kill()
	d.start()
	a, err := d.client("ann").Query(wire.Query{Kind: "watch"})
	if err != nil || a.Targets[0].Version != "v2" || a.Targets[0].Revision != 2 {
		t.Errorf("after a restart: %+v, %v", a, err)
	}
}

// After the process is killed between the log's write and its reply, the same key finds the migration.
func TestKilledBeforeReply(t *testing.T) {
	dir := t.TempDir()
	d := open(t, store.Dir(dir))
	must(t, d.client("ann"), "p1", push("v1"))
	for i := range 10 {
		key := fmt.Sprint("k", i)
		got := make(chan error, 1)
		go func() {
			_, err := d.client("ann").Command(key, promote("v1", uint64(i)))
			got <- err
		}()
		for { // until it is in the log
			n := 0
			d.s.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { n = int(st.LastMigration) })
			if n > i {
				break
			}
		}
		d.kill()
		<-got
		d.start()
		a := must(t, d.client("ann"), key, promote("v1", uint64(i)))
		if a.Migration != uint64(i+1) || !a.Replayed || a.Status != "acknowledged" {
			t.Fatalf("round %d: %+v", i, a)
		}
	}
}

// A new process assumes that a lease of the previous one may be left, and reads only its own files.
func TestRestartWaitsForLeases(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	must(t, d.client("ann"), "p1", push("v1"))
	must(t, d.client("ann"), "p2", push("v2"))
	must(t, d.client("ann"), "k1", promote("v1", 0))
	d.kill()
	d.start()
	begin := time.Now()
	a := must(t, d.client("ann"), "k2", promote("v2", 1))
	if took := time.Since(begin); a.Status != "acknowledged" || took < settings.LeaseDuration-50*ms {
		t.Errorf("%+v after %v, before a lease of %v could have run out", a, took, settings.LeaseDuration)
	}
	if err := os.WriteFile(filepath.Join(string(d.fs.(store.Dir)), "junk"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.kill()
	d.start() // a file that is not its own is left alone
}

// Whatever commands are committed, and wherever the process ends, the recovered state is the one that was committed.
func TestRecoveredIsTheSame(t *testing.T) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "20")
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "registry")
		if err != nil {
			rt.Fatal(err)
		}
		r := &restarts{t: rt, dir: dir, clock: clock.NewManual(time.Unix(1_800_000_000, 0))}
		r.open()
		defer func() { r.service.Close() }()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			r.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "dt")) * ms)
			what := rapid.IntRange(0, 8).Draw(rt, "what")
			if what == 8 {
				r.restart()
				continue
			}
			r.service.Commit(r.drawCommand(what)) // rejected or not, the log holds it
		}
	})
}

// restarts is a service that is restarted on its folder, between commands that are drawn.
type restarts struct {
	t       *rapid.T
	dir     string
	clock   *clock.Manual
	service *service.Service
}

func (r *restarts) open() {
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
func (r *restarts) stateText() (text []byte) {
	r.service.Inspect(func(_ time.Duration, st *registry.State, _ *registry.Leases) { text, _ = json.Marshal(st) })
	return text
}

// drawCommand draws a command of a kind, by its number.
func (r *restarts) drawCommand(kind int) registry.Command {
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

// restart restarts the service and checks that nothing that was committed is lost. A new process may have gone on by
// itself since: time passes, and nobody holds a lease.
func (r *restarts) restart() {
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
			if old.Revision == 0 { // its migration was staging, and may have been aborted
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
