package hooklang

import (
	"encoding/json"
	"testing"

	"kitehub/internal/goldenfile"
)

// everyType is a script with a state variable of each type. Its values are easily lost in JSON: an
// int above 2^53, strings with quotes, empty collections.
const everyType = `state flag bool = true
state count int = 9007199254740993
state share float = 0.1
state name string = "a \"quoted\" <name>"
state pause duration = 1500ms
state recent list[int] = [3, 1, 2]
state none list[string] = list[string]{}
state seen map[string]int = map[string]int{"b": 2, "a": 1}
state by_number map[int]list[float] = map[int]list[float]{7: [0.5], 8: list[float]{}}
`

// One process stores the state of a script and a later one reads it, possibly with another version
// of the program. The stored form must therefore not change.
func TestStoredStateIsAsBefore(t *testing.T) {
	program, err := Compile("every.hook", everyType)
	if err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(program.InitialState())
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "state.json", written)

	restored, err := program.RestoreState(goldenfile.Read(t, "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !restored.Equal(program.InitialState()) {
		t.Errorf("restored state is %v\nwant %v", restored, program.InitialState())
	}
}

// Subscribers receive events as JSON, including fields with zero values. The format must not
// change.
func TestSentEventsAreAsBefore(t *testing.T) {
	var written []byte
	for _, event := range []Event{
		Call{Function: "resize", Tenant: "t", Client: "c", Class: "safe", Retry: true, Wait: 3, Size: 4, Open: 5},
		Ended{Function: "resize", Tenant: "t", Class: "safe", Worker: "w1", Answer: "served", Took: 6, Attempts: 2, Late: true},
		Worker{Name: "w1", Group: "g", Zone: "z", State: "ready"},
		Load{Function: "resize", Worker: "w1", Outcome: "full", Took: 7},
		Level{Name: "spare", Before: "all", Why: "late"},
		Tick{Count: 8, Open: 9},
		Move{Model: "m", Alias: "current", Version: "m-2", Revision: 10},
		Call{}, Ended{}, Worker{}, Load{}, Level{}, Tick{}, Move{},
	} {
		line, err := json.Marshal(event)
		if err != nil {
			t.Fatal(err)
		}
		written = append(append(written, line...), '\n')
	}
	goldenfile.Compare(t, "events.jsonl", written)
}

// Each stored or sent field has an explicit JSON key, so that a rename in Go does not change the
// format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Call{}, Ended{}, Worker{}, Load{}, Level{}, Tick{}, Move{}, savedVariable{})
}
