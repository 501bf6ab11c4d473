package service

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/goldenfile"
	"kitehub/internal/registry"
	"kitehub/internal/registry/wire"
	"kitehub/internal/store"
)

// Directories of the current format; of format 1, which has no settings; and of format 2, whose
// settings have no end of the policy stale.
const (
	goldenDir        = "testdata/golden/folder"
	goldenDirFormat1 = "testdata/golden/folder-format1"
	goldenDirFormat2 = "testdata/golden/folder-format2"
)

// goldenSettings are longer than any run of the tests, so that only the manual clock makes anything
// due.
var goldenSettings = registry.Settings{LeaseDuration: time.Hour, StaleDuration: time.Second, MaxClockDrift: 0.01, SettleTimeout: time.Minute, StagingTimeout: time.Hour, Retention: time.Hour, AutoRollbackWindow: 2 * time.Hour, MinCalls: 10, MaxErrorIncrease: 0.2,
	MaxModels: 10, MaxVersions: 20, MaxAliases: 5, MaxControllers: 5, MaxRemembered: 1000}

// A scenario runs a registry through a sequence of steps, each of which ends before the next
// begins. Its only controller holds a lease, so that a migration waits until the scenario makes the
// controller confirm its epoch.
type scenario struct {
	t     *testing.T
	clock *clock.Manual
	dir   string
	*Service
}

func (s *scenario) open(snapshotInterval int, renamed chan struct{}) *store.Recovered {
	s.t.Helper()
	service, recovered, err := Open(Config{Settings: goldenSettings, Clock: s.clock, FS: renameNotifier{store.Dir(s.dir), renamed}, Log: zerolog.Nop(), SnapshotInterval: snapshotInterval, LongPoll: time.Minute})
	if err != nil {
		s.t.Fatal(err)
	}
	s.Service = service
	return recovered
}

// A renameNotifier is a directory that closes renamed once a snapshot has been renamed to its final
// name.
type renameNotifier struct {
	store.FS
	renamed chan struct{}
}

func (f renameNotifier) Rename(from, to string) error {
	defer close(f.renamed)
	return f.FS.Rename(from, to)
}

// commit commits a command that must be accepted.
func (s *scenario) commit(c registry.Command) {
	s.t.Helper()
	if _, err := s.Commit(c); err != nil {
		s.t.Fatalf("%#v: %v", c, err)
	}
}

// commitRejected commits a command that must be rejected. The log has it all the same.
func (s *scenario) commitRejected(c registry.Command) {
	s.t.Helper()
	var rejected *RejectedError
	if _, err := s.Commit(c); !errors.As(err, &rejected) {
		s.t.Fatalf("%#v: %v, want it rejected", c, err)
	}
}

// confirm advances the clock and makes the controller confirm an epoch. Both happen at once for the
// service, which then does what is due by itself.
func (s *scenario) confirm(after time.Duration, epoch uint64) {
	s.t.Helper()
	s.Inspect(func(_ time.Duration, state *registry.State, leases *registry.Leases) {
		s.clock.Advance(after)
		if err := leases.Renew(s.now(), "c1", epoch, state.Epoch, nil); err != nil {
			s.t.Fatal(err)
		}
	})
	s.wakeDeadlineLoop()
}

// awaitEnd waits until a migration has ended with a status.
func (s *scenario) awaitEnd(migration uint64, want string) {
	s.t.Helper()
	if status, reason := s.AwaitMigration(migration, time.Minute); status != want {
		s.t.Fatalf("migration %d is %s %s, want %s", migration, status, reason, want)
	}
}

func goldenDigest(digit string) string { return "sha256:" + strings.Repeat(digit, 64) }

func goldenPush(model, version, digit string) registry.Push {
	return registry.Push{
		Model: model,
		Version: registry.Version{
			Name:     version,
			Digest:   goldenDigest(digit),
			Size:     1000,
			MemoryMB: 12.5,
			Lanes:    2,
			LoadTime: 3 * time.Second,
		},
		By:     "ann",
		Reason: "to try " + version,
	}
}

// unusualText has characters that JSON writes in another way if HTML is not escaped, and one that
// is not ASCII.
const unusualText = "why: <a> & \"b\" \u00e9"

// runBeforeSnapshot is the part of the scenario that the snapshot contains: a migration that is
// acknowledged, one that was rolled back while staging, one that waits for the controller, one that
// is staging, and a version that is condemned.
func (s *scenario) runBeforeSnapshot() {
	s.confirm(time.Second, 0)
	s.commit(registry.IdempotentCommand{Key: "ann p1", Checksum: "5a1", Command: goldenPush("m", "v1", "1")})
	s.commit(goldenPush("m", "v2", "2"))
	s.commit(goldenPush("m", "v3", "3"))
	s.commit(goldenPush("n", "w1", "4"))
	s.commit(registry.IdempotentCommand{Key: "ann k1", Checksum: "5a2", Command: registry.Promote{Model: "m", Alias: "current", To: "v1", By: "ann", Reason: unusualText}})
	s.confirm(time.Second, 1)
	s.awaitEnd(1, "acknowledged")
	s.commit(registry.CopiesReady{Model: "m", Version: "v1", Worker: "worker-1", Copies: 2})
	s.commit(registry.CallsEnded{Model: "m", Version: "v1", Calls: 20, Errors: 1})
	s.confirm(time.Second, 1)
	s.commit(registry.Promote{Model: "m", Alias: "current", To: "v2", IfRevision: 1, Copies: 2, By: "bob", Reason: "to be aborted"})
	s.commit(registry.Rollback{Model: "m", Alias: "current", IfRevision: 1, By: "ann", Reason: "not this one"})
	s.awaitEnd(2, "given up")
	s.commit(registry.Promote{Model: "m", Alias: "current", To: "v2", IfRevision: 1, Copies: 1, By: "bob", Reason: "again"})
	s.commit(registry.CopiesReady{Model: "m", Version: "v2", Worker: "worker-1", Copies: 1})
	s.commit(registry.CallsEnded{Model: "m", Version: "v2", Calls: 5, Errors: 1})
	s.commit(registry.Policy{Model: "n", AllowStale: true, By: "ann", Reason: "better than none"})
	s.commit(goldenPush("m", "bad", "5"))
	s.commit(registry.Condemn{Model: "m", Version: "bad", By: "ann", Reason: "leaks"})
	s.commitRejected(registry.Promote{Model: "m", Alias: "current", To: "v3", IfRevision: 7, By: "bob", Reason: "a revision that is not"})
	s.commit(registry.Promote{Model: "n", Alias: "current", To: "w1", Copies: 3, By: "ann", Reason: "staging still"})
}

// recordsBeforeSnapshot is the number of records of runBeforeSnapshot, including the two that the
// service commits by itself: the settings and the confirmation of an epoch. In format 1 there are no
// settings.
const (
	recordsBeforeSnapshot        = 19
	recordsBeforeSnapshotFormat1 = 18
)

// runAfterSnapshot is the part of the scenario that the log contains after the snapshot: every kind
// of command, keys that were used before, a migration that is rolled back while staging, and one
// that times out.
func (s *scenario) runAfterSnapshot() {
	s.commit(registry.IdempotentCommand{Key: "ann k1", Checksum: "5a2", Command: registry.Promote{Model: "m", Alias: "current", To: "v1", By: "ann", Reason: unusualText}})
	s.commitRejected(registry.IdempotentCommand{Key: "ann k1", Checksum: "0ther", Command: registry.Policy{Model: "m", AllowStale: true, By: "ann"}})
	s.commit(registry.IdempotentCommand{Key: "ann p4", Checksum: "5a3", Command: goldenPush("m", "v4", "6")})
	// A push whose optional fields are all empty.
	s.commit(registry.Push{Model: "m", Version: registry.Version{Name: "v5", Digest: goldenDigest("7")}})
	s.commit(registry.CopiesReady{Model: "n", Version: "w1", Worker: "worker-2", Copies: 3})
	s.commit(registry.CallsEnded{Model: "n", Version: "w1", Calls: 3})
	s.commit(registry.Policy{Model: "n", By: "bob", Reason: "not any more"})
	s.commit(registry.Promote{Model: "m", Alias: "canary", To: "v4", Copies: 1, By: "bob", Reason: "to be aborted"})
	s.commit(registry.Rollback{Model: "m", Alias: "canary", By: "bob", Reason: "changed my mind"})
	s.awaitEnd(5, "given up")
	s.commit(registry.Promote{Model: "m", Alias: "canary", To: "v3", Copies: 2, By: "ann", Reason: "no copies will stand"})
	s.confirm(time.Hour, 2)
	s.awaitEnd(6, "given up") // by a tick that the service commits itself
	s.confirm(2*time.Minute, 6)
	// The service confirms the epoch itself, and the policy fresh before it, as earlier leases have
	// expired.
	s.awaitEnd(4, "acknowledged")
	s.commit(registry.Condemn{Model: "m", Version: "v4", By: "bob", Reason: unusualText})
	s.commit(registry.Collect{Except: []registry.VersionRef{{Model: "m", Version: "v3"}, {Model: "m", Version: "gone"}}, By: "ann", Reason: "room"})
	s.commit(registry.Collect{})
	s.commitRejected(registry.Promote{Model: "m", Alias: "current", To: "v4", IfRevision: 2, By: "bob", Reason: "condemned"})
	s.commit(registry.IdempotentCommand{Key: "bob r1", Checksum: "5a4", Command: registry.Rollback{Model: "m", Alias: "current", IfRevision: 2, By: "bob", Reason: "v2 is slow"}})
}

// stateOf returns the state of a service in its stored form, indented.
func stateOf(t *testing.T, s *Service) []byte {
	t.Helper()
	var text []byte
	var err error
	s.Inspect(func(_ time.Duration, state *registry.State, _ *registry.Leases) { text, err = json.Marshal(state) })
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	if err := json.Indent(&lines, text, "", " "); err != nil {
		t.Fatal(err)
	}
	lines.WriteByte('\n')
	return lines.Bytes()
}

// payloads returns the contents of the files of a directory: the snapshot and the records after it.
// It opens a copy, as opening a directory may change it.
func payloads(t *testing.T, dir string) (snapshot []byte, records [][]byte) {
	t.Helper()
	log, _, err := store.Open(store.Dir(copyOf(t, dir)), store.Options{}, func(_ uint64, text []byte) error {
		snapshot = bytes.Clone(text)
		return nil
	}, func(_ uint64, text []byte) error {
		records = append(records, bytes.Clone(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return snapshot, records
}

func copyOf(t *testing.T, dir string) string {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return copied
}

// The same commands at the same times write the same files, byte for byte, and result in the same
// state.
func TestGoldenBytes(t *testing.T) {
	s := &scenario{t: t, clock: clock.NewManual(time.Unix(1_800_000_000, 0)), dir: t.TempDir()}
	renamed := make(chan struct{})
	s.open(recordsBeforeSnapshot, renamed)
	s.runBeforeSnapshot()
	select {
	case <-renamed: // Close waits for the rest of the snapshot
	case <-time.After(time.Minute):
		t.Fatalf("no snapshot after %d records", s.log.DurableSeq())
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	want := store.Recovered{SnapshotSeq: recordsBeforeSnapshot, LastSeq: recordsBeforeSnapshot}
	if recovered := s.open(1000, nil); *recovered != want {
		t.Fatalf("before the snapshot: %+v", *recovered)
	}
	s.runAfterSnapshot()
	s.commit(registry.ChangeSettings{Settings: goldenSettings})
	state := stateOf(t, s.Service)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if goldenfile.Updating() {
		if err := errors.Join(os.RemoveAll(goldenDir), os.CopyFS(goldenDir, os.DirFS(s.dir))); err != nil {
			t.Fatal(err)
		}
	}
	snapshot, records := payloads(t, s.dir)
	goldenfile.Compare(t, "snapshot.json", append(snapshot, '\n'))
	goldenfile.Compare(t, "records.jsonl", append(bytes.Join(records, []byte("\n")), '\n'))
	goldenfile.Compare(t, "state.json", state)
	got := goldenfile.ReadFolder(t, s.dir)
	golden := goldenfile.ReadFolder(t, goldenDir)
	for name := range golden {
		if !bytes.Equal(got[name], golden[name]) {
			t.Errorf("%s: bytes differ from those in %s", name, goldenDir)
		}
	}
	if names := slices.Sorted(maps.Keys(got)); len(names) != len(golden) {
		t.Errorf("files %v, want as many as in %s", names, goldenDir)
	}
}

// A directory that was written earlier yields the same state as it did then, and opening it does
// not change its files.
func TestGoldenOpens(t *testing.T) {
	s := &scenario{t: t, clock: clock.NewManual(time.Unix(1_900_000_000, 0)), dir: copyOf(t, goldenDir)}
	recovered := s.open(1000, nil)
	goldenfile.Compare(t, "state.json", stateOf(t, s.Service))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, records := payloads(t, goldenDir)
	if recovered.SnapshotSeq != recordsBeforeSnapshot || recovered.ReplayedRecords != len(records) || recovered.DiscardedBytes != 0 {
		t.Errorf("recovered: %+v, want %d records after %d", *recovered, len(records), recordsBeforeSnapshot)
	}
	for name, old := range goldenfile.ReadFolder(t, goldenDir) {
		if !bytes.Equal(goldenfile.ReadFolder(t, s.dir)[name], old) {
			t.Errorf("opening the directory changed %s", name)
		}
	}
}

// A directory of format 1 yields the same state as it did when that format was current. Opening it
// adds the settings to the log, once, and keeps every record that it has.
func TestGoldenFormat1Opens(t *testing.T) {
	testEarlierFormatOpens(t, goldenDirFormat1, "format1", recordsBeforeSnapshotFormat1)
}

// The same for a directory of format 2: no migration that was acknowledged then waits again.
func TestGoldenFormat2Opens(t *testing.T) {
	testEarlierFormatOpens(t, goldenDirFormat2, "format2", recordsBeforeSnapshot)
}

func testEarlierFormatOpens(t *testing.T, dir, format string, recordsBeforeSnapshot uint64) {
	s := &scenario{t: t, clock: clock.NewManual(time.Unix(1_900_000_000, 0)), dir: copyOf(t, dir)}
	snapshot, records := payloads(t, dir)
	goldenfile.Compare(t, "snapshot-"+format+".json", append(bytes.Clone(snapshot), '\n'))
	goldenfile.Compare(t, "records-"+format+".jsonl", append(bytes.Join(records, []byte("\n")), '\n'))
	recovered := s.open(1000, nil)
	goldenfile.Compare(t, "state-before-format3.json", stateOf(t, s.Service))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if recovered.SnapshotSeq != recordsBeforeSnapshot || recovered.ReplayedRecords != len(records) || recovered.DiscardedBytes != 0 {
		t.Errorf("recovered: %+v, want %d records after %d", *recovered, len(records), recordsBeforeSnapshot)
	}
	newSnapshot, newRecords := payloads(t, s.dir)
	if !bytes.Equal(newSnapshot, snapshot) || len(newRecords) != len(records)+1 || !reflect.DeepEqual(newRecords[:len(records)], records) {
		t.Errorf("the first start changed what the directory had: %d records, had %d", len(newRecords), len(records))
	}
	again := s.open(1000, nil)
	if again.ReplayedRecords != len(records)+1 {
		t.Errorf("second start: %d records, want %d", again.ReplayedRecords, len(records)+1)
	}
	goldenfile.Compare(t, "state-before-format3.json", stateOf(t, s.Service))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, after := payloads(t, s.dir); !reflect.DeepEqual(after, newRecords) {
		t.Error("the second start added records")
	}
}

// The snapshot is encoded to the same bytes after it was decoded: no key is dropped, as
// json.Unmarshal does with unknown ones.
func TestGoldenSnapshotRoundTrip(t *testing.T) {
	text, _ := payloads(t, goldenDir)
	var decoded snapshot
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, text) {
		t.Errorf("got\n%s\nwant\n%s", again, text)
	}
	recovered := recovery{state: &registry.State{}}
	if err := recovered.restore(recordsBeforeSnapshot, text); err != nil {
		t.Fatal(err)
	}
	if again, err := marshalSnapshot(recovered.state); err != nil || !bytes.Equal(again, text) {
		t.Errorf("restored: got\n%s\nwant\n%s (%v)", again, text, err)
	}
}

// The golden log has every kind of command, and each record is encoded to the same bytes after it
// was decoded to a command.
func TestGoldenRecords(t *testing.T) {
	_, records := payloads(t, goldenDir)
	kinds := map[string]int{}
	for _, text := range records {
		var r record
		if err := unmarshalStrict(text, &r); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		c, err := r.command()
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		again := record{At: r.At}
		again.set(c)
		if got, err := json.Marshal(again); err != nil || !bytes.Equal(got, text) {
			t.Errorf("got  %s\nwant %s (%v)", got, text, err)
		}
		var keys map[string]json.RawMessage
		if err := json.Unmarshal(text, &keys); err != nil {
			t.Fatal(err)
		}
		for key := range keys {
			kinds[key]++
		}
	}
	for field := range reflect.TypeFor[record]().Fields() {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if kinds[key] == 0 {
			t.Errorf("no record of the golden log has %q", key)
		}
	}
}

// An unknown key prevents the start, both in a record and in the command that it contains.
func TestUnknownKeyPreventsStart(t *testing.T) {
	for _, text := range []string{
		`{"at":1,"tick":{},"more":1}`,
		`{"at":1,"tick":{"More":1}}`,
		`{"at":1,"promote":{"Model":"m","Alias":"current","To":"v1","IfRevison":1}}`,
		`{"at":1,"push":{"Model":"m","Name":"v1","Colour":"red"}}`,
		`{"at":1,"collect":{"Except":[{"Model":"m","Versions":"v1"}]}}`,
	} {
		dir := copyOf(t, goldenDir)
		ignore := func(uint64, []byte) error { return nil }
		log, _, err := store.Open(store.Dir(dir), store.Options{}, ignore, ignore)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), []byte(text)); err != nil {
			t.Fatal(err)
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(Config{
			Settings:         goldenSettings,
			Clock:            clock.NewManual(time.Unix(1_900_000_000, 0)),
			FS:               store.Dir(dir),
			Log:              zerolog.Nop(),
			SnapshotInterval: 1000,
			LongPoll:         time.Minute,
		})
		if err == nil {
			s.Close()
		}
		if err == nil || !strings.Contains(err.Error(), "unknown field") {
			t.Errorf("%s: %v, want an error about an unknown field", text, err)
		}
	}
}

// Every field that is stored or sent has a JSON tag, so that renames in Go change no format.
func TestStoredFieldsAreTagged(t *testing.T) {
	goldenfile.RequireJSONTags(t, record{}, snapshot{}, registry.State{}, wire.Command{}, wire.Query{}, wire.Response{}, wire.DiscoveryRequest{}, wire.DiscoveryResponse{})
}
