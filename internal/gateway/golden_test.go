package gateway

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/goldenfile"
	"kitehub/scheduler"
)

// Operators and their tools read the JSON of workers, functions and explanations, so it must not
// change.
func TestViewsKeepTheirFormat(t *testing.T) {
	snapshot := scheduler.Snapshot{
		RingPosition: 1, RingSize: 2, Ready: true, Ejected: true, WarmingUp: true, HasCopy: true, Rank: -1,
		Tokens: 2.5, TokensInUse: 3, LatencyRatio: 0.5, AwaitingLoad: 4, AdmittedFraction: 0.25, Queued: 5, InFlight: 6,
	}
	for name, view := range map[string]any{
		"workers.json": &[]WorkerView{
			{"w1", scheduler.WorkerSnapshot{
				ID: 1, State: scheduler.Draining, Snapshot: snapshot, SinceLastResponse: 2 * time.Second, Copies: 3,
			}},
			{},
		},
		"functions.json": &[]FunctionView{
			{"resize", "w1", scheduler.FunctionSnapshot{
				ID: 1, Home: 2, Queued: 3, InFlight: 4, MeanRunTime: 5 * time.Second, MeanInterarrival: 6,
				Copies: 7, Desired: true,
			}},
			{},
		},
		"explained.json": &[]Explanation{
			{
				ID: "me:1", Request: 2, Function: "resize", Tenant: "t", Class: "safe", Answer: "served",
				TookMS: 3.5, Reason: "closed", Lines: []string{"a", "b"},
			},
			{Lines: []string{}},
		},
	} {
		written, err := json.Marshal(view)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		read := reflect.New(reflect.TypeOf(view).Elem()).Interface()
		if err := json.Unmarshal(goldenfile.Read(t, name), read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, view) {
			t.Errorf("%s: read %+v, want %+v", name, read, view)
		}
	}
}

// Each field has a JSON key in its tag, so renaming a Go field does not change the format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, WorkerView{}, FunctionView{}, Explanation{})
}
