package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

func worker(name, addr string, state scheduler.WorkerState) gateway.Worker {
	return gateway.Worker{
		Name:    name,
		Network: "tcp",
		Addr:    addr,
		Zone:    "a",
		Group:   "g",
		Kind:    "std",
		State:   state,
		Size:    2,
		Started: time.Unix(1700000000, 5e8).UTC(),
	}
}

// list returns a complete list of cluster "c" as JSON.
func list(t *testing.T, workers ...gateway.Worker) string {
	t.Helper()
	text, err := MarshalAssignment("c", workers)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestMarshalAssignmentRoundTrip(t *testing.T) {
	in := []gateway.Worker{
		worker("a", "127.0.0.1:1", scheduler.Ready),
		worker("b", "[::1]:2", scheduler.Draining),
		{Name: "u", Network: "unix", Addr: "/run/u", State: scheduler.Ready, Size: 1},
	}
	out, err := ParseAssignment([]byte(list(t, in...)), "c")
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(in) != fmt.Sprint(out) {
		t.Errorf("got %v\nwant %v", out, in)
	}
}

// validList returns a list that ParseAssignment accepts. Tests corrupt it.
func validList(t *testing.T) string {
	t.Helper()
	valid := list(t, worker("a", "127.0.0.1:1", scheduler.Ready), worker("b", "127.0.0.1:2", scheduler.Ready))
	if _, err := ParseAssignment([]byte(valid), "c"); err != nil {
		t.Fatal(err)
	}
	return valid
}

func TestTruncatedListIsRejected(t *testing.T) {
	valid := validList(t)
	for i := range valid {
		if _, err := ParseAssignment([]byte(valid[:i]), "c"); err == nil {
			t.Fatalf("list truncated at byte %d was accepted", i)
		}
	}
}

func TestErrorNamesInvalidField(t *testing.T) {
	valid := validList(t)
	tests := []struct{ old, new, wantError string }{
		{`"clusterName": "c"`, `"clusterName": ""`, "clusterName: empty"},
		{`"clusterName": "c"`, `"clusterName": "d"`, `clusterName: "d", want "c"`},
		{`"hostname": "b"`, `"hostname": "a"`, `hostname: duplicate "a"`},
		{`"hostname": "b"`, `"hostname": ""`, "endpoints[0].lbEndpoints[1].endpoint.hostname: empty"},
		{`"portValue": 2`, `"portValue": 1`, `address: 127.0.0.1:1 is used by both "a" and "b"`},
		{`"portValue": 2`, `"portValue": 70000`, `portValue: 70000 of "b" is out of range`},
		{`"address": "127.0.0.1"`, `"address": "localhost"`, "is not an IP address"},
		{`"healthStatus": "HEALTHY"`, `"healthStatus": "FINE"`, `healthStatus: "FINE"`},
		{`2023-11-14T`, `yesterday`, "started"},
		{TypeAssignment, "type.googleapis.com/x", "@type"},
	}
	for _, tt := range tests {
		if !strings.Contains(valid, tt.old) {
			t.Fatalf("%q is not in %s", tt.old, valid)
		}
		_, err := ParseAssignment([]byte(strings.Replace(valid, tt.old, tt.new, 1)), "c")
		if err == nil || !strings.Contains(err.Error(), tt.wantError) {
			t.Errorf("%s: %v, want %q", tt.new, err, tt.wantError)
		}
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	extended := strings.Replace(validList(t), `"clusterName"`, `"policy": {"x": 1}, "clusterName"`, 1)
	if _, err := ParseAssignment([]byte(extended), "c"); err != nil {
		t.Error(err)
	}
}
