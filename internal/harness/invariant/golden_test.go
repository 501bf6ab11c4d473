package invariant

import (
	"encoding/json"
	"reflect"
	"testing"

	"kitehub/internal/goldenfile"
)

// "kitehub day play --json" prints the breaks of rules, a rule by its number; scripts read it.
func TestPrintedBreaksAreAsBefore(t *testing.T) {
	breaks := []Violation{{Rule: OneAnswer}, {Rule: NoRepeat, At: 1}, {Rule: DrainGrace, At: 2}, {Rule: SlowStartBound, At: 3}, {Rule: LoadBudget, At: 4, Message: "too <many>"}}
	written, err := json.Marshal(breaks)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "breaks.json", written)

	var read []Violation
	if err := json.Unmarshal(goldenfile.Read(t, "breaks.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, breaks) {
		t.Errorf("read %+v, want %+v", read, breaks)
	}
}

// Each field that is stored or sent has a key of its own: what it is called in Go may change, the format may not.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Violation{})
}
