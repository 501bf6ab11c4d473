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
	if a, err := ann.Query(wire.Query{What: "watch"}); err != nil || len(a.Targets) != 1 || a.Targets[0].Version != "v1" {
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
	if a, err := d.client("ann").Query(wire.Query{What: "watch"}); err != nil || a.Targets[0].Version != "v2" || a.Targets[0].Revision != 2 {
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
			d.s.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) { n = int(st.LastMigration) })
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
		clk := clock.NewManual(time.Unix(1_800_000_000, 0))
		run := func() *service.Service {
			s, _, err := service.Open(service.Config{Settings: settings, Clock: clk, FS: store.Dir(dir), Log: zerolog.Nop(), Every: 7, Hold: 100 * ms})
			if err != nil {
				rt.Fatal(err)
			}
			return s
		}
		s := run()
		defer func() { s.Close() }()
		text := func() (b []byte) {
			s.Do(func(_ time.Duration, st *registry.State, _ *registry.Leases) { b, _ = json.Marshal(st) })
			return b
		}
		v := rapid.SampledFrom([]string{"v1", "v2", "v3"})
		m := rapid.SampledFrom([]string{"m", "n"})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			clk.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "dt")) * ms)
			var c registry.Command
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0, 1:
				x := v.Draw(rt, "v")
				c = registry.Push{Model: m.Draw(rt, "m"), Version: registry.Version{Name: x, Digest: "sha256:" + strings.Repeat(x[1:], 64)}}
			case 2, 3:
				c = registry.Promote{Model: m.Draw(rt, "m"), Alias: "current", To: v.Draw(rt, "v"), IfRevision: uint64(rapid.IntRange(0, 4).Draw(rt, "rev")), Copies: rapid.IntRange(0, 2).Draw(rt, "copies")}
			case 4:
				c = registry.CopiesReady{Model: m.Draw(rt, "m"), Version: v.Draw(rt, "v"), Worker: "w", Copies: rapid.IntRange(0, 2).Draw(rt, "copies")}
			case 5:
				c = registry.Rollback{Model: m.Draw(rt, "m"), Alias: "current", IfRevision: uint64(rapid.IntRange(0, 4).Draw(rt, "rev"))}
			case 6:
				c = rapid.SampledFrom([]registry.Command{registry.Tick{}, registry.Collect{}, registry.Policy{Model: "m", Stale: true}, registry.Condemn{Model: "n", Version: "v3"}}).Draw(rt, "other")
			case 7:
				c = registry.IdempotentCommand{Key: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"), Sum: "s", Command: registry.Policy{Model: "m", Stale: rapid.Bool().Draw(rt, "stale")}}
			default:
				s.Close()
				before := text()
				s = run()
				var after registry.State
				var want registry.State
				if err := errors.Join(json.Unmarshal(text(), &after), json.Unmarshal(before, &want)); err != nil {
					rt.Fatal(err)
				}
				// A new process may have gone on by itself since: time passes, and nobody holds a lease.
				if after.Epoch < want.Epoch || after.LastMigration < want.LastMigration || len(after.History) < len(want.History) || after.Confirmed < want.Confirmed {
					rt.Fatalf("before %s\nafter %+v", before, after)
				}
				for name, model := range want.Models {
					for vn, x := range model.Versions {
						y := after.Models[name].Versions[vn]
						if y == nil || y.Digest != x.Digest {
							rt.Fatalf("%s %s: %+v, was %+v", name, vn, y, x)
						}
					}
					for an, x := range model.Aliases {
						if y := after.Models[name].Aliases[an]; x.Revision > 0 && (y == nil || y.Revision < x.Revision || y.Revision == x.Revision && y.Version != x.Version) {
							rt.Fatalf("%s %s: %+v, was %+v", name, an, y, x)
						}
					}
				}
				continue
			}
			s.Commit(c) // refused or not, it is in the log
		}
	})
}
