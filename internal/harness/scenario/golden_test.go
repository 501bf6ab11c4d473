package scenario

import (
	"encoding/json"
	"reflect"
	"testing"

	"kitehub/internal/goldenfile"
)

// "kitehub day play --json" prints the total of the tallies, and scripts read it.
func TestPrintedTotalIsAsBefore(t *testing.T) {
	total := Tally{Calls: 1, Served: 2, WithinObjective: 3, Rejected: 4, Failed: 5, CutOff: 6, NoController: 7, Late: 8, Attempts: 9}
	for name, total := range map[string]Tally{"total.json": total, "total_empty.json": {}} {
		written, err := json.Marshal(total)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		var read Tally
		if err := json.Unmarshal(goldenfile.Read(t, name), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, total) {
			t.Errorf("%s: read %+v, want %+v", name, read, total)
		}
	}
}

// Every field of the printed total has an explicit JSON key, so that renaming a Go field does not
// change the format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Tally{})
}
