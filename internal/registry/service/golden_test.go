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

const goldenFolder = "testdata/golden/folder"

// goldenSettings are long beside any run of the tests, so that only the manual clock brings times about.
var goldenSettings = registry.Settings{LeaseDuration: time.Hour, MaxClockDrift: 0.01, SettleTimeout: time.Minute, StagingTimeout: time.Hour, Retention: time.Hour, AutoRollbackWindow: 2 * time.Hour, MinCalls: 10, MaxErrorIncrease: 0.2,
	MaxModels: 10, MaxVersions: 20, MaxAliases: 5, MaxControllers: 5, MaxRemembered: 1000}

// A script is a registry that is led through a life by a test, each step ended before the next begins. Its one
// controller holds a lease, so that a move waits until the script has it confirm the move's epoch.
type script struct {
	t      *testing.T
	clock  *clock.Manual
	folder string
	*Service
}

func (s *script) open(every int, renamed chan struct{}) *store.Recovered {
	s.t.Helper()
	service, recovered, err := Open(Config{Settings: goldenSettings, Clock: s.clock, FS: watchedFolder{store.Dir(s.folder), renamed}, Log: zerolog.Nop(), SnapshotInterval: every, LongPoll: time.Minute})
	if err != nil {
		s.t.Fatal(err)
	}
	s.Service = service
	return recovered
}

// watchedFolder tells when a snapshot has got its name.
type watchedFolder struct {
	store.FS
	renamed chan struct{}
}

func (f watchedFolder) Rename(from, to string) error {
	defer close(f.renamed)
	return f.FS.Rename(from, to)
}

// commit commits a command that is to be accepted.
func (s *script) commit(c registry.Command) {
	s.t.Helper()
	if _, err := s.Commit(c); err != nil {
		s.t.Fatalf("%#v: %v", c, err)
	}
}

// commitRejected commits a command that is to be rejected; the log holds it all the same.
func (s *script) commitRejected(c registry.Command) {
	s.t.Helper()
	var rejected *RejectedError
	if _, err := s.Commit(c); !errors.As(err, &rejected) {
		s.t.Fatalf("%#v: %v, want it rejected", c, err)
	}
}

// confirm lets time pass and the controller confirm an epoch, at one moment for the service, which then does by
// itself what is due.
func (s *script) confirm(after time.Duration, epoch uint64) {
	s.t.Helper()
	s.Inspect(func(_ time.Duration, state *registry.State, leases *registry.Leases) {
		s.clock.Advance(after)
		if err := leases.Renew(s.now(), "c1", epoch, state.Epoch, nil); err != nil {
			s.t.Fatal(err)
		}
	})
	s.wakeDeadlineLoop()
}

// awaitEnd waits until a migration has ended.
func (s *script) awaitEnd(migration uint64, want string) {
	s.t.Helper()
	if status, why := s.AwaitMigration(migration, time.Minute); status != want {
		s.t.Fatalf("migration %d is %s %s, want %s", migration, status, why, want)
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

// A text that JSON would write in another way if HTML were not escaped, and one that is not ASCII.
const awkward = "why: <a> & \"b\" \u00e9"

// beforeSnapshot is the part of the script that the snapshot holds: a move that is acknowledged, one that was rolled
// back while staging, one that waits for the controller, one that is staging, and a version that is condemned.
func (s *script) beforeSnapshot() {
	s.confirm(time.Second, 0)
	s.commit(registry.IdempotentCommand{Key: "ann p1", Checksum: "5a1", Command: goldenPush("m", "v1", "1")})
	s.commit(goldenPush("m", "v2", "2"))
	s.commit(goldenPush("m", "v3", "3"))
	s.commit(goldenPush("n", "w1", "4"))
	s.commit(registry.IdempotentCommand{Key: "ann k1", Checksum: "5a2", Command: registry.Promote{Model: "m", Alias: "current", To: "v1", By: "ann", Reason: awkward}})
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

// recordsBeforeSnapshot counts those of beforeSnapshot, with the one that the service commits itself.
const recordsBeforeSnapshot = 18

// behindSnapshot is the part of the script that the log holds behind the snapshot: every kind of command, keys that
// were used before, a move that is rolled back while staging, and one that the time ends.
func (s *script) behindSnapshot() {
	s.commit(registry.IdempotentCommand{Key: "ann k1", Checksum: "5a2", Command: registry.Promote{Model: "m", Alias: "current", To: "v1", By: "ann", Reason: awkward}})
	s.commitRejected(registry.IdempotentCommand{Key: "ann k1", Checksum: "0ther", Command: registry.Policy{Model: "m", AllowStale: true, By: "ann"}})
	s.commit(registry.IdempotentCommand{Key: "ann p4", Checksum: "5a3", Command: goldenPush("m", "v4", "6")})
	s.commit(registry.Push{Model: "m", Version: registry.Version{Name: "v5", Digest: goldenDigest("7")}}) // all that may be empty is
	s.commit(registry.CopiesReady{Model: "n", Version: "w1", Worker: "worker-2", Copies: 3})
	s.commit(registry.CallsEnded{Model: "n", Version: "w1", Calls: 3})
	s.commit(registry.Policy{Model: "n", By: "bob", Reason: "not any more"})
	s.commit(registry.Promote{Model: "m", Alias: "canary", To: "v4", Copies: 1, By: "bob", Reason: "to be aborted"})
	s.commit(registry.Rollback{Model: "m", Alias: "canary", By: "bob", Reason: "changed my mind"})
	s.awaitEnd(5, "given up")
	s.commit(registry.Promote{Model: "m", Alias: "canary", To: "v3", Copies: 2, By: "ann", Reason: "no copies will stand"})
	s.confirm(time.Hour, 2)
	s.awaitEnd(6, "given up") // by the service's own tick
	s.confirm(2*time.Minute, 5)
	s.awaitEnd(4, "acknowledged") // by the service's own word of what the controller reached; the quiet time is over
	s.commit(registry.Condemn{Model: "m", Version: "v4", By: "bob", Reason: awkward})
	s.commit(registry.Collect{Except: []registry.VersionRef{{Model: "m", Version: "v3"}, {Model: "m", Version: "gone"}}, By: "ann", Reason: "room"})
	s.commit(registry.Collect{})
	s.commitRejected(registry.Promote{Model: "m", Alias: "current", To: "v4", IfRevision: 2, By: "bob", Reason: "condemned"})
	s.commit(registry.IdempotentCommand{Key: "bob r1", Checksum: "5a4", Command: registry.Rollback{Model: "m", Alias: "current", IfRevision: 2, By: "bob", Reason: "v2 is slow"}})
}

// stateOf returns the state of a service in the form in which it is stored, on lines of their own.
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

// payloads returns what the files of a folder hold, as text: the snapshot on the first line, and then each record.
// The folder is copied, as opening it may change it.
func payloads(t *testing.T, folder string) (snapshot []byte, records [][]byte) {
	t.Helper()
	log, _, err := store.Open(store.Dir(copyOf(t, folder)), store.Options{}, func(_ uint64, text []byte) error {
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

func copyOf(t *testing.T, folder string) string {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return copied
}

// The same commands at the same times write the same folder, byte for byte, and lead to the same state.
func TestGoldenBytes(t *testing.T) {
	s := &script{t: t, clock: clock.NewManual(time.Unix(1_800_000_000, 0)), folder: t.TempDir()}
	renamed := make(chan struct{})
	s.open(recordsBeforeSnapshot, renamed)
	s.beforeSnapshot()
	select {
	case <-renamed: // and Close waits for what is left of it
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
	s.behindSnapshot()
	state := stateOf(t, s.Service)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if goldenfile.Updating() {
		if err := errors.Join(os.RemoveAll(goldenFolder), os.CopyFS(goldenFolder, os.DirFS(s.folder))); err != nil {
			t.Fatal(err)
		}
	}
	snapshot, records := payloads(t, s.folder)
	goldenfile.Compare(t, "snapshot.json", append(snapshot, '\n'))
	goldenfile.Compare(t, "records.jsonl", append(bytes.Join(records, []byte("\n")), '\n'))
	goldenfile.Compare(t, "state.json", state)
	got := goldenfile.Files(t, s.folder)
	golden := goldenfile.Files(t, goldenFolder)
	for name := range golden {
		if !bytes.Equal(got[name], golden[name]) {
			t.Errorf("%s: other bytes than in %s", name, goldenFolder)
		}
	}
	if names := slices.Sorted(maps.Keys(got)); len(names) != len(golden) {
		t.Errorf("files %v, want as many as in %s", names, goldenFolder)
	}
}

// A folder that was written before leads to the state that it led to, and opening it changes nothing in it.
func TestGoldenOpens(t *testing.T) {
	s := &script{t: t, clock: clock.NewManual(time.Unix(1_900_000_000, 0)), folder: copyOf(t, goldenFolder)}
	recovered := s.open(1000, nil)
	goldenfile.Compare(t, "state.json", stateOf(t, s.Service))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, records := payloads(t, goldenFolder)
	if recovered.SnapshotSeq != recordsBeforeSnapshot || recovered.ReplayedRecords != len(records) || recovered.DiscardedBytes != 0 {
		t.Errorf("recovered: %+v, want %d records behind %d", *recovered, len(records), recordsBeforeSnapshot)
	}
	for name, old := range goldenfile.Files(t, goldenFolder) {
		if !bytes.Equal(goldenfile.Files(t, s.folder)[name], old) {
			t.Errorf("%s was changed by opening it", name)
		}
	}
}

// The snapshot alone leads to its own bytes again: nothing of it is passed over, as json.Unmarshal does with keys
// that it does not know.
func TestGoldenSnapshotComesBack(t *testing.T) {
	snapshot, _ := payloads(t, goldenFolder)
	var state registry.State
	if err := json.Unmarshal(snapshot, &state); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(&state)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, snapshot) {
		t.Errorf("got\n%s\nwant\n%s", again, snapshot)
	}
}

// Every kind of command is in the golden log, each record comes back as its own bytes, and so do its fields one by
// one: a record that is read leads to the same command.
func TestGoldenRecords(t *testing.T) {
	_, records := payloads(t, goldenFolder)
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

// A key that is not known stops the start, in a record and in the command that it holds.
func TestUnknownKeyStopsTheStart(t *testing.T) {
	for _, text := range []string{
		`{"at":1,"tick":{},"more":1}`,
		`{"at":1,"tick":{"More":1}}`,
		`{"at":1,"promote":{"Model":"m","Alias":"current","To":"v1","IfRevison":1}}`,
		`{"at":1,"push":{"Model":"m","Name":"v1","Colour":"red"}}`,
		`{"at":1,"collect":{"Except":[{"Model":"m","Versions":"v1"}]}}`,
	} {
		folder := copyOf(t, goldenFolder)
		ignore := func(uint64, []byte) error { return nil }
		log, _, err := store.Open(store.Dir(folder), store.Options{}, ignore, ignore)
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
			FS:               store.Dir(folder),
			Log:              zerolog.Nop(),
			SnapshotInterval: 1000,
			LongPoll:         time.Minute,
		})
		if err == nil {
			s.Close()
		}
		if err == nil || !strings.Contains(err.Error(), "unknown field") {
			t.Errorf("%s: %v, want an error of an unknown field", text, err)
		}
	}
}

// Every field that is stored or sent has a key of its own, so that renames in Go change no format.
func TestStoredFieldsAreTagged(t *testing.T) {
	goldenfile.Tagged(t, record{}, registry.State{}, wire.Command{}, wire.Query{}, wire.Response{}, wire.DiscoveryRequest{}, wire.DiscoveryResponse{})
}
