package trace

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/goldenfile"
)

// records has one in which every field is set, and one in which none is.
var records = []Record{
	{At: time.Second, Kind: Facts, Controller: "c1", Worker: "w1", Request: "r", Attempt: "a", Class: "safe", Function: "resize", Tenant: "t", Key: "k",
		Outcome: "served <1>", Until: 2 * time.Second, Copies: 3, Capacity: 4.5, WarmingUp: true, Digest: "sha256:00", Revision: 5, Note: "n",
		Rules: &Rules{Classes: []Class{{Name: "safe", Effect: "safe", AllWorkers: true, WorkSeconds: 0.5}, {}}, AnswerGrace: 1, DrainGrace: 2,
			WarmupFraction: 0.25, WarmupTime: 3, CollapseFactor: 4, CollapseWindow: 5, LoadWindow: 6, LoadFree: 7, LoadRatio: 0.125, HedgedRequests: true, Slack: 8}},
	{Rules: &Rules{}},
	{},
}

// Traces are kept in files, and judged later by "kitehub rules check".
func TestWrittenTraceIsAsBefore(t *testing.T) {
	var written bytes.Buffer
	if err := Write(&written, records); err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "trace.jsonl", written.Bytes())

	read, err := Read(bytes.NewReader(goldenfile.Read(t, "trace.jsonl")))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, records) {
		t.Errorf("read: %+v\nwant: %+v", read, records)
	}
}

// Kinds are words in a trace.
func TestKindsAreAsBefore(t *testing.T) {
	var written bytes.Buffer
	for _, kind := range []Kind{Facts, RequestSent, Answered, RequestRead, RunStarted, RunEnded, ClientClosed, ResponseSent, LoadOrdered, ControllerUp, ControllerDown, WorkerUp, WorkerDown,
		Collapsed, ListDelivered, FaultInjected, AliasMigrated, Stall} {
		written.WriteString(string(kind) + "\n")
	}
	goldenfile.Compare(t, "kinds.txt", written.Bytes())
}

// Each field that is stored or sent has a key of its own: what it is called in Go may change, the format may not.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Record{})
}
