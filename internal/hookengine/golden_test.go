package hookengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/goldenfile"
	"kitehub/internal/hookadvice"
	"kitehub/internal/http1"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

const storedText = "state seen int = 0\non ended(c) { seen = seen + 1 }\n"

// storedScripts returns a script with every stored field set, and one with hardly any.
func storedScripts() []*Script {
	version := func(number uint64) *Version {
		return &Version{Number: number, Digest: Digest(storedText), Text: storedText, Source: "user <me>"}
	}
	quarantined := version(2)
	quarantined.QuarantineReason = "raised"
	return []*Script{
		{
			Name:        "a",
			Live:        version(3),
			Previous:    quarantined,
			Shadow:      version(4),
			LiveStats:   RunStats{Runs: 1, Faults: 2, Fuel: 3, Mismatches: 4, Skipped: 5},
			ShadowStats: RunStats{Runs: 6, Faults: 7, Fuel: 8, Mismatches: 9, Skipped: 10},
			LastFault:   "raised",
		},
		{Name: "b", Live: &Version{Number: 1, Digest: Digest(storedText), Text: storedText}},
	}
}

const storedState = `[{"name":"seen","type":"int","value":"7"}]`

// openStoreFolder opens the store in a folder and returns its contents.
func openStoreFolder(t *testing.T, folder string) (log *store.Log, snapshot []byte, records [][]byte) {
	t.Helper()
	log, _, err := store.Open(store.Dir(folder), store.Options{MaxRecordBytes: 16 << 20, MaxGroupBytes: 32 << 20},
		func(_ uint64, state []byte) error { snapshot = append([]byte(nil), state...); return nil },
		func(_ uint64, payload []byte) error {
			records = append(records, append([]byte(nil), payload...))
			return nil
		})
	if err != nil {
		t.Fatal(err)
	}
	return log, snapshot, records
}

// The format of the records of scripts and states, and of the snapshot that replaces them, is
// fixed.
func TestStoredFormat(t *testing.T) {
	folder := t.TempDir()
	log, _, _ := openStoreFolder(t, folder)
	engine := &Engine{
		config:    Config{Log: zerolog.Nop()},
		lifecycle: &Lifecycle{Scripts: storedScripts(), LastVersion: 4},
		storage:   storage{log: log, savedStates: map[string]json.RawMessage{"a": json.RawMessage(storedState)}},
	}
	engine.appendRecord(record{Scripts: engine.lifecycle.Scripts, LastVersion: engine.lifecycle.LastVersion})
	engine.appendRecord(record{State: "a", Value: json.RawMessage(storedState)})
	engine.appendRecord(record{})
	log.Close()
	log, snapshot, records := openStoreFolder(t, folder)
	if snapshot != nil || len(records) != 3 {
		t.Fatalf("snapshot of %d bytes and %d records", len(snapshot), len(records))
	}
	goldenfile.Compare(t, "record_scripts.json", records[0])
	goldenfile.Compare(t, "record_state.json", records[1])
	goldenfile.Compare(t, "record_empty.json", records[2])

	engine.log, engine.recordsSinceSnapshot = log, recordsPerSnapshot-1
	engine.appendRecord(record{State: "a", Value: json.RawMessage(storedState)})
	if engine.storeErr != nil || engine.recordsSinceSnapshot != 0 {
		t.Fatal(engine.storeErr, engine.recordsSinceSnapshot)
	}
	log.Close()
	log, snapshot, _ = openStoreFolder(t, folder)
	log.Close()
	goldenfile.Compare(t, "snapshot.json", snapshot)
}

// An engine restores what an earlier release stored, from records or from a snapshot.
func TestRestoreStoredFormat(t *testing.T) {
	fill := map[string]func(*store.Log) error{
		"records": func(log *store.Log) error {
			for _, name := range []string{"record_scripts.json", "record_state.json"} {
				if _, err := log.Append(context.Background(), goldenfile.Read(t, name)); err != nil {
					return err
				}
			}
			return nil
		},
		"snapshot": func(log *store.Log) error {
			seq, err := log.Append(context.Background(), goldenfile.Read(t, "record_empty.json"))
			if err != nil {
				return err
			}
			return log.Snapshot(seq, goldenfile.Read(t, "snapshot.json"))
		},
	}
	for name, fill := range fill {
		folder := t.TempDir()
		log, _, _ := openStoreFolder(t, folder)
		if err := fill(log); err != nil {
			t.Fatal(err)
		}
		log.Close()
		engine := &Engine{
			config:    Config{FS: store.Dir(folder), Clock: clock.System(), Log: zerolog.Nop()},
			lifecycle: NewLifecycle(LifecycleSettings{}, 1),
			live:      map[string]*loadedVersion{},
			shadows:   map[string]*loadedVersion{},
		}
		var err error
		if engine.table, err = hookadvice.NewTable(hookadvice.Settings{CallLimit: 1}, nil); err != nil {
			t.Fatal(err)
		}
		if err := engine.restore(); err != nil {
			t.Fatal(err)
		}
		engine.log.Close()
		read := engine.lifecycle
		if got, _ := json.Marshal(read.Scripts); !reflect.DeepEqual(read.Scripts, storedScripts()) || read.LastVersion != 4 {
			t.Errorf("%s: read %s, last version %d", name, got, read.LastVersion)
		}
		if state := string(engine.savedStates["a"]); state != storedState {
			t.Errorf("%s: read the state %s", name, state)
		}
		if state := engine.live["a"].state.String(); state != "state seen int = 7\n" {
			t.Errorf("%s: runs with %s", name, state)
		}
		if engine.shadows["a"] == nil || engine.live["b"] == nil {
			t.Errorf("%s: not all versions were restored", name)
		}
	}
}

// The format of a notification, a signed webhook, is fixed.
func TestNotificationFormat(t *testing.T) {
	key, err := signing.ParseKey("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received := make(chan string, 1)
	server := &http1.Server{Handler: http1.HandlerFunc(func(_ *http1.Conn, r *http1.Request) *http1.Response {
		written := fmt.Sprintf("%s %s\n", r.Method, r.Target)
		for _, name := range []string{"User-Agent", "Content-Type", "webhook-id"} {
			written += fmt.Sprintf("%s: %s\n", name, r.Header.Get(name))
		}
		received <- written + "\n" + string(r.Body) + "\n"
		return &http1.Response{Status: 204}
	})}
	go server.Serve(listener)
	defer server.Abort()
	target := Target{Name: "ops", Address: listener.Addr().String(), Path: "/n", Key: key}
	notifier := NewNotifier("c1", []Target{target}, clock.System(), zerolog.Nop())
	defer notifier.Close()
	notification := hookadvice.Notification{Script: "a", Target: "ops", Text: `lost "3" <of> 4`}
	if err := notifier.send(queuedNotification{Notification: notification, id: "note_1", queuedAt: time.Unix(1700000000, 5e8)}); err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "notice.txt", []byte(<-received))
}

// The format of the overview of scripts and advice for operators is fixed.
func TestOverviewFormat(t *testing.T) {
	now := 10 * time.Second
	overview := Overview{
		Scripts: []ScriptOverview{
			{Name: "a", Status: "open", Live: 1, Digest: "sha256:00", Previous: 2, Shadow: 3, Points: []string{"ended"}, LiveStats: RunStats{Runs: 4, Faults: 5, Fuel: 6, Mismatches: 7, Skipped: 8},
				ShadowStats: &RunStats{Runs: 9}, LastFault: "raised", State: "state n int = 1\n", ProbeInS: 1.5},
			{Name: "b", Status: "empty"},
		},
		AdviceInForce: []string{
			inForceLine(hookadvice.KeepWarm{Function: "resize", Copies: 2, Until: now + 90*time.Second}, now),
			inForceLine(hookadvice.RankWorker{Worker: "w1", Rank: -1, Until: now + time.Second}, now),
			inForceLine(hookadvice.Tenants{ByName: map[string]hookadvice.Tenant{"t": {Weight: 0.5, MaxInFlight: 3}, "s": {}}}, now),
			inForceLine(hookadvice.Tenants{}, now),
		},
		Posted: 1, Dropped: 2, QueueLength: 3, AdviceAccepted: 4, CallsRejected: 5, OverRejectionLimit: 6, AdviceSuppressed: 7,
	}
	for name, overview := range map[string]Overview{"overview.json": overview, "overview_empty.json": {Scripts: []ScriptOverview{}, AdviceInForce: []string{}}} {
		goldenfile.RoundTrip(t, name, overview)
	}
}

// Every field that is stored or sent has a JSON tag, so that renaming it in Go does not change the
// format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, record{}, snapshot{}, Overview{}, hookadvice.Tenants{})
}
