package invariant

import (
	"strings"
	"testing"
	"time"

	"kitehub/internal/harness/trace"
)

func TestVersions(t *testing.T) {
	const ms = time.Millisecond
	migrated := func(at time.Duration, rev uint64, digest string) trace.Record {
		return trace.Record{At: at, Kind: trace.AliasMigrated, Function: "m@current", Revision: rev, Digest: digest, Note: "m@" + digest}
	}
	// call returns the records of a request that was sent, ran and was served.
	call := func(sent, answered time.Duration, rev uint64, digest string) []trace.Record {
		return []trace.Record{{At: sent, Kind: trace.RequestSent, Request: "r"}, {At: sent + 1, Kind: trace.RunStarted, Request: "r", Function: "m@" + digest, Digest: digest},
			{At: answered, Kind: trace.Answered, Request: "r", Function: "m@current", Outcome: "served", Revision: rev}}
	}
	tests := []struct {
		name        string
		records     []trace.Record
		want        string // part of the violation; "" for none
		withinSlack int
	}{
		{"before the migration", call(10*ms, 20*ms, 1, "a"), "", 0},
		{"after the migration, of the new version", call(110*ms, 120*ms, 2, "b"), "", 0},
		{"in flight when the migration was acknowledged", call(90*ms, 130*ms, 1, "a"), "", 1},
		{"long after the acknowledgement", call(90*ms, 160*ms, 1, "a"), "received 60ms after revision 2", 0},
		{"requested after the acknowledgement", call(101*ms, 102*ms, 1, "a"), "requested 1ms after revision 2", 0},
		{"versions a, b, a: answer of the first a after the migration to the second", call(90*ms, 290*ms, 1, "a"), "received 190ms after revision 2", 0},
		{"other bytes under the revision", call(110*ms, 120*ms, 2, "a"), "none of its runs had digest b", 0},
		{"other bytes under the name", []trace.Record{{At: 5, Kind: trace.RunStarted, Worker: "w", Function: "m@a", Digest: "b"}}, "w ran digest b as m@a, whose digest is a", 0},
	}
	for _, tt := range tests {
		records := append([]trace.Record{migrated(0, 1, "a"), migrated(100*ms, 2, "b"), migrated(200*ms, 3, "a")}, tt.records...)
		v := Versions(records, 50*ms)
		if v.WithinSlack != tt.withinSlack || (tt.want == "") != (len(v.Violations) == 0) || len(v.Violations) > 0 && !strings.Contains(v.Violations[0].Message, tt.want) {
			t.Errorf("%s: %d answers within the slack, violations %v, want %q", tt.name, v.WithinSlack, v.Violations, tt.want)
		}
	}
}
