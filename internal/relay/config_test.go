package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"kitehub/internal/backend/frame"
	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A log line for each worker puts the estimates beside the traffic on the sockets. The sum of their
// differences is returned.
func TestEstimatesAreComparedWithTheSockets(t *testing.T) {
	current := []frame.Traffic{
		{Worker: 1, Name: "a", InFlight: 3, Served: 30, TotalTime: 3 * time.Second, Conns: 4},
		{Worker: 2, Name: "b", InFlight: 0, Lost: 2},
		{Worker: 3, Name: "c"},
	}
	previous := map[scheduler.WorkerID]frame.Traffic{1: {Served: 10, TotalTime: time.Second}}
	view := func(name string, s scheduler.Snapshot) gateway.WorkerView {
		return gateway.WorkerView{Name: name, WorkerSnapshot: scheduler.WorkerSnapshot{Snapshot: s}}
	}
	views := []gateway.WorkerView{
		view("a", scheduler.Snapshot{TokensInUse: 2, AwaitingLoad: 1, Tokens: 4, LatencyRatio: 1.5}),
		view("b", scheduler.Snapshot{TokensInUse: 2, Ejected: true}),
	}
	lines, difference := compareEstimates(current, previous, views)
	want := []string{
		"a out 3/3 conns 4 served 20 in 100ms lost 0; well pace 1.50 tokens 4.0",
		"b out 2/0 conns 0 served 0 in 0ms lost 2; ejected pace 0.00 tokens 0.0",
		"c out 0/0 conns 0 served 0 in 0ms lost 0; not known pace 0.00 tokens 0.0",
	}
	if difference != 2 || !slices.Equal(lines, want) {
		t.Errorf("difference %d, want 2; lines %q", difference, lines)
	}
}

// The machine's limits in the configuration are applied to the process.
func TestLimitsHoldForTheProcess(t *testing.T) {
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		t.Fatal(err)
	}
	defer func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files)
	}()
	applyLimits(Limits{Cores: 1.5, MemoryMB: 64, Sockets: 300})
	var now syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &now)
	if p, m := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1); p != 2 || m != 32<<20 || now.Cur != 300 {
		t.Errorf("%d processors, %d bytes of heap, %d descriptors", p, m, now.Cur)
	}
}

// A wrong or missing setting is an error that names its field.
func TestConfig(t *testing.T) {
	base := func() map[string]any {
		return map[string]any{
			"name": "n3", "listen": "127.0.0.1:0", "seed": "8c", "names": "127.0.0.1:53",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
			"known":  known("127.0.0.1:2"), "settings": json.RawMessage(settingsText),
		}
	}
	limits := func(cores, memoryMB, sockets any) map[string]any {
		l := map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets}
		maps.DeleteFunc(l, func(_ string, v any) bool { return v == nil })
		return l
	}
	tests := []struct {
		name, field string // field: the invalid one; "" if none
		change      func(map[string]any)
	}{
		{"valid", "", func(map[string]any) {}},
		{"no listen", EnvListen, func(m map[string]any) { delete(m, "listen") }},
		{"no name", EnvName, func(m map[string]any) { delete(m, "name") }},
		{"no directory", "names", func(m map[string]any) { delete(m, "names") }},
		{"directory without an address", "names", func(m map[string]any) { m["names"] = "names.cluster:53" }},
		{"seed", "seed", func(m map[string]any) { m["seed"] = "xyz" }},
		{"no settings", "settings", func(m map[string]any) { delete(m, "settings") }},
		{"settings that are not an object", "settings", func(m map[string]any) { m["settings"] = 7 }},
		{"sockets", "limits.sockets", func(m map[string]any) { m["limits"] = limits(1, 64, 3) }},
		{"memory", "limits.memory_mb", func(m map[string]any) { m["limits"] = limits(1, nil, 300) }},
		{"cores", "limits.cores", func(m map[string]any) { m["limits"] = limits(-1, 64, 300) }},
		{"an endpoint", "known.cmds[1].nodes.targets[1].endpoint", func(m map[string]any) { m["known"] = known("nowhere") }},
		{"a state", "known.cmds[0].nodes.targets[0].state", func(m map[string]any) {
			targets := `[{"uid": "a", "endpoint": "a:1", "state": "asleep"}]`
			m["known"] = json.RawMessage(`{"cmds": [{"nodes": {"targets": ` + targets + `}}]}`)
		}},
		{"peer messages without a listen address", "peer_listen", func(m map[string]any) {
			m["settings"] = json.RawMessage(strings.Replace(settingsText, `"cancel": true`, `"peerMessages": true`, 1))
		}},
	}
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string { return map[string]string{EnvConfig: path}[k] }
	for _, tt := range tests {
		m := base()
		tt.change(m)
		b, _ := json.Marshal(m)
		os.WriteFile(path, b, 0o600)
		c, err := Load(env)
		var configErr *ConfigError
		if errors.As(err, &configErr); tt.field == "" && err != nil || tt.field != "" && (configErr == nil || configErr.Field != tt.field) {
			t.Errorf("%s: %v, want field %q", tt.name, err, tt.field)
		}
		if err != nil {
			continue
		}
		if c.Serial != 2 || c.Seed != 0x8c {
			t.Errorf("%s: serial %d, seed %x", tt.name, c.Serial, c.Seed)
		}
		if w := c.KnownWorkers; len(w) != 1 || w[0].Name != "s-1" || w[0].Group != "0" {
			t.Errorf("%s: workers %+v", tt.name, w)
		}
	}
	for name, path := range map[string]string{"not set": "", "no file": "/nonesuch"} {
		if _, err := Load(func(string) string { return path }); !IsConfigError(err) || !strings.Contains(err.Error(), EnvConfig) {
			t.Errorf("%s: %v", name, err)
		}
	}
	os.WriteFile(path, bytes.Repeat([]byte("["), 100), 0o600)
	if _, err := Load(env); !IsConfigError(err) {
		t.Errorf("no JSON: %v", err)
	}
}

// No part of the budget is empty, and the parts do not exceed the limits.
func TestLimitsAreDividedWithinTheirBounds(t *testing.T) {
	for _, l := range []Limits{{0.25, 32, minSockets}, {0.25, 48, 256}, {1, 192, 1024}, {2.5, 2048, 4096}} {
		b := divideLimits(l)
		if b.clientConns < 1 || b.workerConns < 1 || b.clientConns+b.workerConns > l.Sockets-16 {
			t.Errorf("%+v: %+v", l, b)
		}
		if 3*b.clientConns < l.Sockets-48 {
			t.Errorf("%+v: %+v: too few connections for the platform's clients", l, b)
		}
		if b.maxProcs < 1 || float64(b.maxProcs) < l.Cores || b.heapBytes <= 0 || float64(b.heapBytes) > l.MemoryMB*(1<<20) {
			t.Errorf("%+v: %+v", l, b)
		}
	}
}

func TestTimesFollowTheSettings(t *testing.T) {
	s := scheduler.Settings{
		Classes: []scheduler.Class{{Deadline: 4}, {Deadline: 9}, {Deadline: 5}},
		Limits:  scheduler.Limits{DialTimeout: 10},
	}
	if longestDeadline(s) != 9 || dialTimeouts(s, 2.5) != 25 {
		t.Errorf("%v, %v", longestDeadline(s), dialTimeouts(s, 2.5))
	}
}
