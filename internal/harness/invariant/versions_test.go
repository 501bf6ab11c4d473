package invariant

import (
	"strings"
	"testing"
	"time"

	"kitehub/internal/harness/trace"
)

func TestVersions(t *testing.T) {
	const ms = time.Millisecond
	moved := func(at time.Duration, rev uint64, digest string) trace.Record {
		return trace.Record{At: at, Kind: trace.AliasMigrated, Function: "m@current", Revision: rev, Digest: digest, Note: "m@" + digest}
	}
	// call is one that was asked for, ran and was served.
	call := func(asked, answered time.Duration, rev uint64, ran string) []trace.Record {
		return []trace.Record{{At: asked, Kind: trace.RequestSent, Request: "r"}, {At: asked + 1, Kind: trace.RunStarted, Request: "r", Function: "m@" + ran, Digest: ran},
			{At: answered, Kind: trace.Answered, Request: "r", Function: "m@current", Outcome: "served", Revision: rev}}
	}
	tests := []struct {
		name string
		rs   []trace.Record
		want string // in the break; "": none
		near int
	}{
		{"before the move", call(10*ms, 20*ms, 1, "a"), "", 0},
		{"after the move, of the new one", call(110*ms, 120*ms, 2, "b"), "", 0},
		{"on its way as the move was acknowledged", call(90*ms, 130*ms, 1, "a"), "", 1},
		{"long after the acknowledgement", call(90*ms, 160*ms, 1, "a"), "came 60ms after revision 2", 0},
		{"asked for after it", call(101*ms, 102*ms, 1, "a"), "asked for 1ms after revision 2", 0},
		{"A, B, A: the first A's answer after the second's", call(90*ms, 290*ms, 1, "a"), "came 190ms after revision 2", 0},
		{"other bytes under the revision", call(110*ms, 120*ms, 2, "a"), "none of its runs was of b", 0},
		{"other bytes under the name", []trace.Record{{At: 5, Kind: trace.RunStarted, Worker: "w", Function: "m@a", Digest: "b"}}, "w ran b as m@a", 0},
	}
	for _, tt := range tests {
		rs := append([]trace.Record{moved(0, 1, "a"), moved(100*ms, 2, "b"), moved(200*ms, 3, "a")}, tt.rs...)
		v := Versions(rs, 50*ms)
		if v.WithinSlack != tt.near || (tt.want == "") != (len(v.Violations) == 0) || len(v.Violations) > 0 && !strings.Contains(v.Violations[0].Message, tt.want) {
			t.Errorf("%s: near %d, breaks %v, want %q", tt.name, v.WithinSlack, v.Violations, tt.want)
		}
	}
}
