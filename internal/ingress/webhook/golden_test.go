package webhook

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/goldenfile"
	"kitehub/internal/replayguard"
)

// The watermark is saved by one process and loaded by a later one, possibly of another version.
// Misread, it would allow replays.
func TestStoredWatermarkKeepsFormat(t *testing.T) {
	file := WatermarkFile(filepath.Join(t.TempDir(), "mark"))
	watermark := time.Unix(1700000009, 0)
	if err := file.Save(watermark); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(string(file))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "mark", written)

	if read, err := WatermarkFile(filepath.Join("testdata", "golden", "mark")).Load(); err != nil || !read.Equal(watermark) {
		t.Errorf("read %v, %v; want %v", read, err, watermark)
	}
}

// The state of the replay guard is handed over to a process that may run another version.
func TestHandedOverStateKeepsFormat(t *testing.T) {
	for name, state := range map[string]State{
		"state.json": {
			State: replayguard.State{
				Known: []replayguard.EntryState{{
					Key:           replayguard.Key{Client: "shop", ID: "msg_a"},
					LastTimestamp: 5,
					Digest:        []byte{1, 2},
					Running:       true,
				}},
				Barrier: 6,
				Highest: 8,
				Swept:   7,
			},
			KeyOwners: KeyOwners{"f1": "shop"},
		},
		"state_empty.json": {},
	} {
		written, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		var read State
		if err := json.Unmarshal(goldenfile.Read(t, name), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, state) {
			t.Errorf("%s: read %+v, want %+v", name, read, state)
		}
	}
}

// Every field that is stored or sent has an explicit JSON key, so that renaming a Go field does not
// change the format.
func TestStateFieldsHaveJSONKeys(t *testing.T) {
	goldenfile.RequireJSONTags(t, State{})
}
