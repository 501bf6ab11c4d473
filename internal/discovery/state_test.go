package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// fullUpdate returns an update with a complete list.
func fullUpdate(t *testing.T, version string, workers ...gateway.Worker) Update {
	t.Helper()
	return Update{
		VersionInfo: version,
		TypeURL:     TypeAssignment,
		Resources:   []json.RawMessage{json.RawMessage(list(t, workers...))},
	}
}

// deltaUpdate returns an update with the delta from one list to another.
func deltaUpdate(t *testing.T, version string, from, to []gateway.Worker) Update {
	t.Helper()
	changed, removed, err := Delta(from, to, version)
	if err != nil {
		t.Fatal(err)
	}
	return Update{SystemVersionInfo: version, TypeURL: TypeEndpoint, Resources: changed, RemovedResources: removed}
}

// summary returns the names of workers, each followed by the number of its state.
func summary(workers []gateway.Worker) string {
	var out []string
	for _, w := range workers {
		out = append(out, fmt.Sprint(w.Name, int(w.State)))
	}
	return strings.Join(out, " ")
}

// Applies updates in sequence and checks, after each of them, the reported change and the list in
// force.
func TestApplyUpdatesInSequence(t *testing.T) {
	a := worker("a", "127.0.0.1:1", scheduler.Ready)
	b := worker("b", "127.0.0.1:2", scheduler.Ready)
	c := worker("c", "127.0.0.1:3", scheduler.Ready)
	draining := worker("a", "127.0.0.1:1", scheduler.Draining)
	sameAddress := worker("x", "127.0.0.1:2", scheduler.Ready)
	workers := func(l ...gateway.Worker) []gateway.Worker { return l }
	full := func(version string, l ...gateway.Worker) Update { return fullUpdate(t, version, l...) }
	delta := func(version string, from, to []gateway.Worker) Update { return deltaUpdate(t, version, from, to) }
	truncated := full("9", a)
	truncated.Resources[0] = truncated.Resources[0][:40]
	changedAndRemoved := delta("9", nil, workers(b))
	changedAndRemoved.RemovedResources = []string{"b"}
	removedAgain := Update{SystemVersionInfo: "4", TypeURL: TypeEndpoint, RemovedResources: []string{"a"}}

	state := State{Cluster: "c"}
	steps := []struct {
		name      string
		update    Update
		wantError string
		wantEvent string // kind and summary of the workers
		wantList  string
	}{
		{"delta first", delta("1", nil, workers(a)), "before the first complete list", "", ""},
		{"complete list", full("1", a, b), "", "2 a1 b1", "a1 b1"},
		{"same version", full("1", a), "", "", "a1 b1"},
		{"a drains", delta("2", workers(a, b), workers(draining, b)), "", "1 a2", "a2 b1"},
		{"older version", full("1", a, b), "", "", "a2 b1"},
		{"truncated", truncated, "not a ClusterLoadAssignment", "", "a2 b1"},
		{"duplicate address", delta("9", nil, workers(sameAddress)), `used by both "b" and "x"`, "", "a2 b1"},
		{"changed and removed", changedAndRemoved, "is changed by the same update", "", "a2 b1"},
		{"no version", full("", a), "versionInfo: empty", "", "a2 b1"},
		{"unsupported type", Update{VersionInfo: "9", TypeURL: "x"}, "typeUrl", "", "a2 b1"},
		{"a removed, c added", delta("3", workers(draining, b), workers(b, c)), "", "1 c1 a3", "b1 c1"},
		{"a removed again", removedAgain, "", "1", "b1 c1"},
		{"all removed", full("5"), "", "2", ""},
		{"all added again", full("6", a, b, c), "", "2 a1 b1 c1", "a1 b1 c1"},
	}
	for _, step := range steps {
		event, err := state.Apply(step.update)
		if (err == nil) != (step.wantError == "") || err != nil && !strings.Contains(err.Error(), step.wantError) {
			t.Errorf("%s: %v, want %q", step.name, err, step.wantError)
		}
		got := ""
		if event != nil {
			got = strings.TrimSpace(fmt.Sprint(int(event.Kind)) + " " + summary(event.Workers))
		}
		if got != step.wantEvent {
			t.Errorf("%s: event %q, want %q", step.name, got, step.wantEvent)
		}
		if got := summary(state.Workers()); got != step.wantList {
			t.Errorf("%s: list %q, want %q", step.name, got, step.wantList)
		}
	}
}

// Guards against ignoring the updates of a server that has restarted its version numbers.
func TestVersionsAreNotComparedAcrossConnections(t *testing.T) {
	a := worker("a", "127.0.0.1:1", scheduler.Ready)
	state := State{Cluster: "c"}
	if event, err := state.Apply(fullUpdate(t, "6", a)); err != nil || event == nil {
		t.Fatal(event, err)
	}
	if event, err := state.Apply(fullUpdate(t, "2", a)); err != nil || event != nil {
		t.Errorf("older version on the same connection: %v, %v", event, err)
	}
	state.Reconnected()
	if event, err := state.Apply(fullUpdate(t, "2", a)); err != nil || event == nil {
		t.Errorf("older version on a new connection: %v, %v", event, err)
	}
}
