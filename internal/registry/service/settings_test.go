package service

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// A settingsTest runs a registry that is restarted under other settings. No controller holds a
// lease, so that an epoch is confirmed as soon as the leases of earlier processes have ended.
type settingsTest struct {
	scenario
	settings         registry.Settings
	snapshotInterval int
}

func newSettingsTest(t *testing.T, snapshotInterval int) *settingsTest {
	return &settingsTest{scenario{t: t, clock: clock.NewManual(time.Unix(1_800_000_000, 0)), dir: t.TempDir()}, goldenSettings, snapshotInterval}
}

func (s *settingsTest) tryStart() error {
	service, _, err := Open(Config{Settings: s.settings, Clock: s.clock, FS: store.Dir(s.dir), Log: zerolog.Nop(), SnapshotInterval: s.snapshotInterval, LongPoll: time.Millisecond})
	s.Service = service
	return err
}

func (s *settingsTest) start() {
	s.t.Helper()
	if err := s.tryStart(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *settingsTest) stop() {
	s.t.Helper()
	if err := s.Close(); err != nil {
		s.t.Fatal(err)
	}
}

// wait advances the clock, and then waits until an epoch is confirmed.
func (s *settingsTest) wait(after time.Duration, epoch uint64) {
	s.t.Helper()
	s.clock.Advance(after)
	s.commit(registry.Tick{}) // the registry's time is that of the last command
	s.wakeDeadlineLoop()
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		var confirmed uint64
		s.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) { confirmed = state.ConfirmedEpoch })
		if confirmed >= epoch {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("epoch %d is not confirmed, %d is", epoch, confirmed)
		}
	}
}

func (s *settingsTest) promote(to string, revision uint64, copies int) {
	s.t.Helper()
	s.commit(registry.Promote{Model: "m", Alias: "current", To: to, IfRevision: revision, Copies: copies, By: "ann"})
}

// decisions returns what the registry has decided, as JSON. The lists that settings bound are left
// out.
func (s *settingsTest) decisions() []byte {
	s.t.Helper()
	var text []byte
	var err error
	s.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
		text, err = json.Marshal([]any{state.Epoch, state.ConfirmedEpoch, state.LastMigration, state.Models, state.Fences, state.Condemned})
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return text
}

// migrate makes the alias name v2 after v1, and waits until that is acknowledged.
func (s *settingsTest) migrate() {
	s.t.Helper()
	s.commit(goldenPush("m", "v1", "1"))
	s.commit(goldenPush("m", "v2", "2"))
	s.promote("v1", 0, 0)
	s.wait(0, 1)
	s.commit(registry.CallsEnded{Model: "m", Version: "v1", Calls: 100})
	s.promote("v2", 1, 0)
	s.wait(0, 2)
}

// migrateBack makes the registry migrate the alias back to v1, as v2 fails in 30 of 100 calls, 30
// minutes after the migration.
func (s *settingsTest) migrateBack() {
	s.t.Helper()
	s.migrate()
	s.wait(30*time.Minute, 2)
	s.commit(registry.CallsEnded{Model: "m", Version: "v2", Calls: 100, Errors: 30})
	s.wait(0, 3)
}

// A registry that was restarted with a smaller staging_ms undid an acknowledged migration, as it
// decided the commands of its log again under its new settings. The same for each other setting.
func TestRestartUnderOtherSettingsKeepsDecisions(t *testing.T) {
	cases := []struct {
		name   string
		change func(*registry.Settings)
		run    func(*settingsTest)
	}{
		{"staging_ms", func(s *registry.Settings) { s.StagingTimeout = time.Second }, func(s *settingsTest) {
			s.migrate()
			s.promote("v1", 2, 1)
			s.wait(time.Minute, 2)
			s.commit(registry.CopiesReady{Model: "m", Version: "v1", Worker: "w", Copies: 1})
			s.wait(0, 3)
		}},
		{"staging_ms longer", func(s *registry.Settings) { s.StagingTimeout = 10 * time.Hour }, func(s *settingsTest) {
			s.migrate()
			s.promote("v1", 2, 1)
			s.wait(time.Hour, 2) // the migration is given up
			s.commit(registry.CopiesReady{Model: "m", Version: "v1", Worker: "w", Copies: 1})
			s.wait(0, 2)
		}},
		{"worse", func(s *registry.Settings) { s.MaxErrorIncrease = 0.9 }, (*settingsTest).migrateBack},
		{"least_calls", func(s *registry.Settings) { s.MinCalls = 1000 }, (*settingsTest).migrateBack},
		{"watch_ms", func(s *registry.Settings) { s.AutoRollbackWindow = time.Minute }, (*settingsTest).migrateBack},
		{"keep_ms", func(s *registry.Settings) { s.Retention = time.Second }, func(s *settingsTest) {
			s.migrate()
			s.commit(goldenPush("m", "v3", "3"))
			s.promote("v3", 2, 0)
			s.wait(time.Minute, 3)
			s.commit(registry.Collect{By: "ann"}) // v1 was superseded a minute ago
			s.promote("v1", 3, 0)
			s.wait(0, 4)
		}},
		{"remembered", func(s *registry.Settings) { s.MaxRemembered = 1 }, func(s *settingsTest) {
			s.commit(goldenPush("m", "v1", "1"))
			allow := registry.IdempotentCommand{Key: "ann 1", Checksum: "1", Command: registry.Policy{Model: "m", AllowStale: true}}
			s.commit(allow)
			s.commit(registry.IdempotentCommand{Key: "ann 2", Checksum: "2", Command: registry.Policy{Model: "m"}})
			s.commit(allow) // a repetition, which changes nothing
			s.wait(0, 2)
		}},
		{"limit on models", func(s *registry.Settings) { s.MaxModels = 1 }, func(s *settingsTest) {
			s.commit(goldenPush("n", "w1", "4"))
			s.migrate()
		}},
		{"limit on versions", func(s *registry.Settings) { s.MaxVersions = 1 }, (*settingsTest).migrate},
		{"limit on aliases", func(s *registry.Settings) { s.MaxAliases = 1 }, func(s *settingsTest) {
			s.migrate()
			s.commit(registry.Promote{Model: "m", Alias: "canary", To: "v1", By: "ann"})
			s.wait(0, 3)
		}},
		{"lease_ms", func(s *registry.Settings) { s.LeaseDuration = time.Minute }, (*settingsTest).migrate},
		{"settle_ms", func(s *registry.Settings) { s.SettleTimeout = time.Second }, (*settingsTest).migrate},
	}
	for _, c := range cases {
		for _, snapshotInterval := range []int{1000, 4, 1} {
			t.Run(fmt.Sprintf("%s, snapshot every %d", c.name, snapshotInterval), func(t *testing.T) {
				s := newSettingsTest(t, snapshotInterval)
				s.start()
				c.run(s)
				s.stop()
				want := s.decisions()
				c.change(&s.settings)
				for range 2 { // the second start finds the new settings in the log
					s.start()
					if got := s.decisions(); !bytes.Equal(got, want) {
						t.Errorf("after the restart\n%s\nwant\n%s", got, want)
					}
					s.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) {
						if state.Settings != s.settings {
							t.Errorf("settings %+v, want %+v", state.Settings, s.settings)
						}
					})
					s.stop()
				}
			})
		}
	}
}

// A registry that was restarted with a smaller lease_ms waited for that lease only, while
// controllers could still answer under the longer ones that it had granted before.
func TestShorterLeaseWaitsForEarlierLeases(t *testing.T) {
	const longLease, shortLease = 10 * time.Minute, time.Minute
	for _, snapshotInterval := range []int{1000, 1} {
		s := newSettingsTest(t, snapshotInterval)
		s.settings.MaxClockDrift = 0
		s.settings.LeaseDuration = longLease
		s.start()
		s.migrate()
		s.stop()
		s.settings.LeaseDuration = shortLease
		for range 2 { // the long leases may still be valid after a second restart
			s.start()
			s.clock.Advance(longLease / 4)
			s.commit(registry.Tick{})
			s.stop()
		}
		s.start()
		confirmed := func(after time.Duration) (epoch uint64) {
			s.clock.Advance(after)
			s.Inspect(func(now time.Duration, _ *registry.State, leases *registry.Leases) {
				epoch = leases.ConfirmedEpoch(now)
			})
			return epoch
		}
		if epoch := confirmed(longLease / 2); epoch != 0 {
			t.Errorf("epoch %d is confirmed although leases of %v may still be valid", epoch, longLease)
		}
		if epoch := confirmed(time.Nanosecond); epoch == 0 {
			t.Errorf("no epoch is confirmed after the end of leases of %v", longLease)
		}
		s.commit(registry.Tick{}) // the next process continues from here
		s.stop()
		s.start()
		if epoch := confirmed(shortLease); epoch != 0 {
			t.Errorf("epoch %d is confirmed although leases of %v may still be valid", epoch, shortLease)
		}
		if epoch := confirmed(time.Nanosecond); epoch == 0 {
			t.Errorf("no epoch is confirmed after the end of leases of %v: the long ones have ended before", shortLease)
		}
		s.stop()
	}
}

// A log of an earlier version has no settings. If those of the configuration contradict it, the
// start fails instead of undoing what was acknowledged, and the former settings still open it.
func TestFormat1LogUnderOtherSettingsIsRefused(t *testing.T) {
	s := newSettingsTest(t, 1000)
	ignore := func(uint64, []byte) error { return nil }
	log, _, err := store.Open(store.Dir(s.dir), store.Options{}, ignore, ignore)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []struct {
		at time.Duration
		c  registry.Command
	}{
		{0, goldenPush("m", "v1", "1")},
		{0, registry.Promote{Model: "m", Alias: "current", To: "v1", Copies: 1}},
		{6 * time.Second, registry.Tick{}},
		{9 * time.Second, registry.CopiesReady{Model: "m", Version: "v1", Worker: "w", Copies: 1}},
		{9 * time.Second, registry.EpochConfirmed{Epoch: 1}},
	} {
		rec := record{At: r.at}
		rec.set(r.c)
		text, err := json.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), text); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	former := s.settings
	s.settings.StagingTimeout = 5 * time.Second
	if err := s.tryStart(); !errors.Is(err, ErrOtherSettings) {
		t.Fatalf("%v, want %v", err, ErrOtherSettings)
	}
	changed := s.settings
	for _, s.settings = range []registry.Settings{former, changed} {
		s.start()
		s.awaitEnd(1, "acknowledged")
		s.stop()
	}
}

// New settings that cannot be written prevent the start, as what is decided under them could not be
// recovered. Unchanged settings need no write.
func TestSettingsThatCannotBeWritten(t *testing.T) {
	s := newSettingsTest(t, 1000)
	s.start()
	s.migrate()
	s.stop()
	open := func() error {
		service, _, err := Open(Config{Settings: s.settings, Clock: s.clock, FS: readOnlyFS{store.Dir(s.dir)}, Log: zerolog.Nop(), SnapshotInterval: 1000, LongPoll: time.Millisecond})
		if err == nil {
			err = service.Close()
		}
		return err
	}
	if err := open(); err != nil {
		t.Errorf("with the same settings: %v", err)
	}
	s.settings.MinCalls++
	if err := open(); !errors.Is(err, errReadOnly) {
		t.Errorf("with other settings: %v, want %v", err, errReadOnly)
	}
}

var errReadOnly = errors.New("read-only")

// A readOnlyFS is a directory whose files cannot be written.
type readOnlyFS struct{ store.FS }

func (fs readOnlyFS) Append(name string) (store.File, error) {
	file, err := fs.FS.Append(name)
	return readOnlyFile{file}, err
}

type readOnlyFile struct{ store.File }

func (readOnlyFile) Write([]byte) (int, error) { return 0, errReadOnly }

// A snapshot of a later format is refused.
func TestUnknownSnapshotFormat(t *testing.T) {
	r := recovery{state: &registry.State{}}
	if err := r.restore(1, fmt.Appendf(nil, `{"Format":%d}`, snapshotFormat+1)); err == nil {
		t.Errorf("a snapshot of format %d was restored", snapshotFormat+1)
	}
}
