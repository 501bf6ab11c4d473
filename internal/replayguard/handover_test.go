package replayguard

import (
	"encoding/json"
	"reflect"
	"testing"

	"kitehub/internal/goldenfile"
)

// remembered has one entry in each state that a guard can hold, in the order in which Export
// returns them.
var remembered = []EntryState{
	{
		Key:           Key{Client: "a", ID: "msg_kept"},
		LastTimestamp: 1000001,
		Digest:        make([]byte, 32),
		Status:        200,
		Type:          "application/json",
		Body:          []byte(`{"a":"<b>"}`),
	},
	{
		Key:           Key{Client: "b", ID: "msg_running"},
		LastTimestamp: 1000002,
		Digest:        append([]byte{1, 2, 255}, make([]byte, 29)...),
		Running:       true,
	},
	{Key: Key{Client: "c", ID: "msg_dropped"}, LastTimestamp: 1000003, Digest: make([]byte, 32), AnswerEvicted: true},
	{
		Key:           Key{Client: "d", ID: "msg_refused"},
		LastTimestamp: 1000004,
		Digest:        make([]byte, 32),
		Rejected:      true,
		MayHaveRun:    true,
		Status:        503,
		Type:          "application/problem+json",
	},
}

// Guards against unintended changes of the exported entries: the process that takes over may run
// another version of the program.
func TestExportedMessagesAreAsBefore(t *testing.T) {
	guard := newGuard(0)
	guard.Import(State{Known: remembered})
	written, err := json.Marshal(guard.Export().Known)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "remembered.json", written)

	var read []EntryState
	if err := json.Unmarshal(goldenfile.Read(t, "remembered.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, remembered) {
		t.Errorf("read: %+v\nwant: %+v", read, remembered)
	}
}

// Guards against unintended changes of the key and the answer with which a process hands over the
// completion of a call. The tag of such an answer is never set, but is written.
func TestKeyAndAnswerAreAsBefore(t *testing.T) {
	type completion struct {
		Key    Key    `json:"key"`
		Answer Answer `json:"answer"`
	}
	completions := []completion{
		{Key{"a", "msg_a"}, Answer{Status: 200, Type: "application/json", Body: []byte("{}")}},
		{Key{"b", "msg_b"}, Answer{Rejected: true, Status: 503}},
		{},
	}
	written, err := json.Marshal(completions)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "key_answer.json", written)

	var read []completion
	if err := json.Unmarshal(goldenfile.Read(t, "key_answer.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, completions) {
		t.Errorf("read: %+v\nwant: %+v", read, completions)
	}
}

// Guards against a rename in Go that changes the format: each field that is stored or sent has an
// explicit JSON key.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Key{}, Answer{}, EntryState{}, State{})
}
