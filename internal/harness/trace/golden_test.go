package trace

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/goldenfile"
)

// records has a record in which every field is set and others in which none is.
var records = []Record{
	{At: time.Second, Kind: Facts, Controller: "c1", Worker: "w1", Request: "r", Attempt: "a", Class: "safe", Function: "resize", Tenant: "t", Key: "k",
		Outcome: "served <1>", Until: 2 * time.Second, Copies: 3, Capacity: 4.5, WarmingUp: true, Digest: "sha256:00", Revision: 5, Note: "n",
		Rules: &Rules{Classes: []Class{{Name: "safe", Effect: "safe", AllWorkers: true, WorkSeconds: 0.5}, {}}, AnswerGrace: 1, DrainGrace: 2,
			WarmupFraction: 0.25, WarmupTime: 3, CollapseFactor: 4, CollapseWindow: 5, LoadWindow: 6, LoadFree: 7, LoadRatio: 0.125, HedgedRequests: true, Slack: 8}},
	{Rules: &Rules{}},
	{},
}

// Traces are stored in files, and "kitehub rules check" reads them later: their format must not
// change.
func TestTraceFormatUnchanged(t *testing.T) {
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

// The kinds of records are written to traces: their texts must not change.
func TestKindsUnchanged(t *testing.T) {
	var written bytes.Buffer
	for _, kind := range []Kind{Facts, RequestSent, Answered, RequestRead, RunStarted, RunEnded, ClientClosed, ResponseSent, LoadOrdered, ControllerUp, ControllerDown, WorkerUp, WorkerDown,
		Collapsed, ListDelivered, FaultInjected, AliasMigrated, Stall} {
		written.WriteString(string(kind) + "\n")
	}
	goldenfile.Compare(t, "kinds.txt", written.Bytes())
}

// Every field that is written has an explicit JSON key, so that renaming a Go field does not change
// the format.
func TestFieldsHaveJSONKeys(t *testing.T) {
	goldenfile.RequireJSONTags(t, Record{})
}
