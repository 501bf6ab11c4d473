package discovery

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/goldenfile"
	"kitehub/scheduler"
)

// testWorkers contains every kind of worker that a list can contain.
var testWorkers = []gateway.Worker{
	worker("a", "127.0.0.1:1", scheduler.Ready),
	worker("b", "[::1]:2", scheduler.Draining),
	{Name: "bare", Network: "tcp", Addr: "127.0.0.1:3", State: scheduler.Ready},
	{
		Name:    "u",
		Network: "unix",
		Addr:    "/run/u",
		Zone:    "b",
		State:   scheduler.Ready,
		Size:    1,
		Started: time.Unix(1700000001, 0).UTC(),
	},
}

// Guards against a change to the format of the cache, which the next version of the program would
// not be able to read.
func TestCacheFormatIsUnchanged(t *testing.T) {
	for name, workers := range map[string][]gateway.Worker{"cache.json": testWorkers, "cache_empty.json": nil} {
		file := filepath.Join(t.TempDir(), name)
		inForce := map[string]gateway.Worker{}
		for _, w := range workers {
			inForce[w.Name] = w
		}
		watcher := &Watcher{cfg: Config{Cluster: "c", CacheFile: file}, state: State{Cluster: "c", workers: inForce}}
		watcher.saveCache()
		written, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		sink := &lastListSink{}
		golden := filepath.Join("testdata", "golden", name)
		(&Watcher{cfg: Config{Cluster: "c", CacheFile: golden, Sink: sink}}).loadCache()
		byName := map[string]gateway.Worker{}
		for _, w := range sink.workers {
			byName[w.Name] = w
		}
		if sink.kind != scheduler.CachedList || !reflect.DeepEqual(byName, inForce) {
			t.Errorf("%s: loaded %v as kind %v, want %v", name, byName, sink.kind, inForce)
		}
	}
}

// A lastListSink records the last list that it was notified of.
type lastListSink struct {
	kind    scheduler.ListKind
	workers []gateway.Worker
}

func (s *lastListSink) UpdateWorkers(kind scheduler.ListKind, _ uint32, workers []gateway.Worker) error {
	s.kind, s.workers = kind, workers
	return nil
}

// Guards against a change to the JSON of requests and updates, which are Envoy's messages.
func TestMessageFormatIsUnchanged(t *testing.T) {
	changed, removed, err := Delta([]gateway.Worker{testWorkers[0], testWorkers[3]}, testWorkers[:3], "7")
	if err != nil {
		t.Fatal(err)
	}
	for name, message := range map[string]any{
		"request.json": &Request{
			VersionInfo:   "6",
			Node:          Node{"c1"},
			ResourceNames: []string{"c"},
			TypeURL:       TypeAssignment,
			ResponseNonce: "n",
			ErrorDetail:   &ErrorDetail{Code: 3, Message: "clusterName: empty"},
		},
		"request_first.json": &Request{TypeURL: TypeEndpoint},
		"update.json": &Update{
			VersionInfo:       "7",
			SystemVersionInfo: "8",
			TypeURL:           TypeEndpoint,
			Nonce:             "n",
			Resources:         changed,
			RemovedResources:  removed,
		},
		"update_empty.json": &Update{},
	} {
		written, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		read := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err := json.Unmarshal(goldenfile.Read(t, name), read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, message) {
			t.Errorf("%s: decoded %+v, want %+v", name, read, message)
		}
	}
}

// Every field that is stored or sent needs a JSON key in its tag, so that renaming it in Go does
// not change the format.
func TestFieldsHaveJSONKeys(t *testing.T) {
	goldenfile.RequireJSONTags(t, Assignment{}, Request{}, Update{}, Resource{})
}
