package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// staleStart is a start of a registry on a directory, with its own time of answers without a lease.
type staleStart struct {
	*Service
	clock *clock.Manual
}

func startWithStale(t *testing.T, dir string, stale time.Duration, snapshotInterval int) staleStart {
	t.Helper()
	settings := goldenSettings
	settings.LeaseDuration = time.Minute
	settings.StaleDuration = stale
	manual := clock.NewManual(time.Unix(1_800_000_000, 0))
	s, _, err := Open(Config{
		Settings:         settings,
		Clock:            manual,
		FS:               store.Dir(dir),
		Log:              zerolog.Nop(),
		SnapshotInterval: snapshotInterval,
		LongPoll:         time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return staleStart{s, manual}
}

// commit commits a command that must be accepted.
func (s staleStart) commit(t *testing.T, c registry.Command) {
	t.Helper()
	if _, err := s.Commit(c); err != nil {
		t.Fatalf("%#v: %v", c, err)
	}
}

// after advances the clock, waits for what is due then, and returns the status of a migration.
func (s staleStart) after(d time.Duration, migration uint64) (status, reason string) {
	s.clock.Advance(d)
	s.commitDue()
	return s.AwaitMigration(migration, 0)
}

// A change to fresh is awaited also by a process that started after it, with a shorter time in its
// settings: the controllers that answer without a lease are not known to it, and were granted the
// longer time. The order of the migration and of the change, and snapshots, make no difference.
func TestFreshSurvivesRestart(t *testing.T) {
	const granted, shorter = 10 * time.Minute, time.Second
	fresh := registry.Policy{Model: "m"}
	migrate := registry.Promote{Model: "m", Alias: "current", To: "v2", IfRevision: 1}
	for _, snapshotInterval := range []int{1, 3, 1000} {
		for name, orders := range map[string]struct{ before, after []registry.Command }{
			"fresh, restart, migration": {[]registry.Command{fresh}, []registry.Command{migrate}},
			"fresh, migration, restart": {[]registry.Command{fresh, migrate}, nil},
			"migration, fresh, restart": {[]registry.Command{migrate, fresh}, nil},
			"restart, fresh, migration": {nil, []registry.Command{fresh, migrate}},
			"migration, restart, fresh": {[]registry.Command{migrate}, []registry.Command{fresh}},
		} {
			t.Run(fmt.Sprint(name, ", snapshots every ", snapshotInterval), func(t *testing.T) {
				dir := t.TempDir()
				s := startWithStale(t, dir, granted, snapshotInterval)
				s.commit(t, goldenPush("m", "v1", "1"))
				s.commit(t, goldenPush("m", "v2", "2"))
				s.commit(t, registry.Policy{Model: "m", AllowStale: true})
				s.commit(t, registry.Promote{Model: "m", Alias: "current", To: "v1"})
				s.commitDue()
				s.Inspect(func(now time.Duration, state *registry.State, leases *registry.Leases) {
					if err := leases.Renew(now, "c1", state.Epoch, state.Epoch, nil); err != nil {
						t.Fatal(err)
					}
				})
				for _, c := range orders.before {
					s.commit(t, c)
				}
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				s = startWithStale(t, dir, shorter, snapshotInterval)
				defer s.Close()
				for _, c := range orders.after {
					s.commit(t, c)
				}
				if status, reason := s.after(granted, 2); status != "fenced" || !strings.Contains(reason, "stale") {
					t.Errorf("while the controller may answer without a lease: %s (%s)", status, reason)
				}
				if status, _ := s.after(2*time.Minute, 2); status != "acknowledged" {
					t.Errorf("after the controller can no longer answer: %s", status)
				}
				// A model whose policy is in force does not wait after another restart.
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				s = startWithStale(t, dir, granted, snapshotInterval)
				defer s.Close()
				s.commit(t, registry.Promote{Model: "m", Alias: "current", To: "v1", IfRevision: 2})
				if status, _ := s.after(2*time.Minute, 3); status != "acknowledged" {
					t.Errorf("a later migration after a lease: %s", status)
				}
			})
		}
	}
}
