package replayguard

import (
	"encoding/json"
	"reflect"
	"testing"

	"kitehub/internal/goldenfile"
)

// remembered is one message in each state that a guard can have it in, in the order in which Export gives them.
var remembered = []EntryState{
	{
		Key:           Key{Client: 1, ID: "msg_kept"},
		LastTimestamp: 1000001,
		Digest:        make([]byte, 32),
		Status:        200,
		Type:          "application/json",
		Body:          []byte(`{"a":"<b>"}`),
	},
	{
		Key:           Key{Client: 2, ID: "msg_running"},
		LastTimestamp: 1000002,
		Digest:        append([]byte{1, 2, 255}, make([]byte, 29)...),
		Running:       true,
	},
	{Key: Key{Client: 3, ID: "msg_dropped"}, LastTimestamp: 1000003, Digest: make([]byte, 32), AnswerEvicted: true},
	{
		Key:           Key{Client: 4, ID: "msg_refused"},
		LastTimestamp: 1000004,
		Digest:        make([]byte, 32),
		Rejected:      true,
		Status:        503,
		Type:          "application/problem+json",
	},
}

// What a guard remembers goes to the process that takes over, which may be of another version.
func TestExportedMessagesAreAsBefore(t *testing.T) {
	guard := newGuard(0)
	guard.Import(remembered, 1, 2, 3)
	exported, _, _, _ := guard.Export()
	written, err := json.Marshal(exported)
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

// How a call ended goes over as a key and an answer, whose tag is never set then but is written.
func TestKeyAndAnswerAreAsBefore(t *testing.T) {
	type end struct {
		Key    Key    `json:"key"`
		Answer Answer `json:"answer"`
	}
	ends := []end{
		{Key{1, "msg_a"}, Answer{Status: 200, Type: "application/json", Body: []byte("{}")}},
		{Key{2, "msg_b"}, Answer{Rejected: true, Status: 503}},
		{},
	}
	written, err := json.Marshal(ends)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "key_answer.json", written)

	var read []end
	if err := json.Unmarshal(goldenfile.Read(t, "key_answer.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, ends) {
		t.Errorf("read: %+v\nwant: %+v", read, ends)
	}
}

// Each field that is stored or sent has a key of its own: what it is called in Go may change, the format may not.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.Tagged(t, Key{}, Answer{}, EntryState{})
}
