package invariant

import (
	"encoding/json"
	"reflect"
	"testing"

	"kitehub/internal/goldenfile"
)

// "kitehub day play --json" prints violations, with a rule as its number; scripts parse that
// output.
func TestViolationJSONUnchanged(t *testing.T) {
	violations := []Violation{{Rule: OneAnswer}, {Rule: NoRepeat, At: 1}, {Rule: DrainGrace, At: 2}, {Rule: SlowStartBound, At: 3}, {Rule: LoadBudget, At: 4, Message: "too <many>"}}
	written, err := json.Marshal(violations)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "breaks.json", written)

	var read []Violation
	if err := json.Unmarshal(goldenfile.Read(t, "breaks.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, violations) {
		t.Errorf("read %+v, want %+v", read, violations)
	}
}

// Every field that is written has an explicit JSON key, so that renaming a Go field does not change
// the format.
func TestFieldsHaveJSONKeys(t *testing.T) {
	goldenfile.RequireJSONTags(t, Violation{})
}
