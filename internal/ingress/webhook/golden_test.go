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

// The watermark is stored by one process and read by a later one: misread, it would allow replays.
func TestStoredMarkIsAsBefore(t *testing.T) {
	file := WatermarkFile(filepath.Join(t.TempDir(), "mark"))
	mark := time.Unix(1700000009, 0)
	if err := file.Save(mark); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(string(file))
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "mark", written)

	if read, err := WatermarkFile(filepath.Join("testdata", "golden", "mark")).Load(); err != nil || !read.Equal(mark) {
		t.Errorf("read %v, %v; want %v", read, err, mark)
	}
}

// What a front knows of messages goes to the process that takes over.
func TestHandedOverStateIsAsBefore(t *testing.T) {
	for name, state := range map[string]State{
		"state.json": {
			Known: []replayguard.EntryState{{
				Key:           replayguard.Key{Client: 1, ID: "msg_a"},
				LastTimestamp: 5,
				Digest:        []byte{1, 2},
				Running:       true,
			}},
			Barrier: 6,
			Durable: 7,
			Highest: 8,
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

// Each field that is stored or sent has a key of its own: what it is called in Go may change, the format may not.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.Tagged(t, State{})
}
