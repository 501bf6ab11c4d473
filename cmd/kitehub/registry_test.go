package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// startRegistry starts a process with the registry of examples/loopback in a directory, and returns
// it with its address.
func startRegistry(t *testing.T, dir, listen string) (*exec.Cmd, string) {
	t.Helper()
	text, err := os.ReadFile("../../examples/loopback/registry.textproto")
	if err != nil {
		t.Fatal(err)
	}
	r := strings.NewReplacer(
		"127.0.0.1:8090", listen,
		`"registry-state"`, strconv.Quote(filepath.Join(dir, "state")),
		"lease_ms: 5000", "lease_ms: 300",
		"hold_ms: 1500", "hold_ms: 100",
	)
	config := filepath.Join(dir, "r.textproto")
	if err := os.WriteFile(config, []byte(r.Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return launch(t, "registry", "serve", "--config", config)
}

// The registry commands work against real processes: also after the registry was killed, and after
// an export was imported into another registry.
func TestRegistryCommands(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "op.key")
	if err := os.WriteFile(key, []byte("whsec_b3BlcmF0b3Itb3BlcmF0b3Itb3BlcmF0b3I=\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p, addr := startRegistry(t, dir, "127.0.0.1:0")
	run := func(stdin []byte, args ...string) (string, int) {
		c := program(append([]string{"registry"}, args...)...)
		c.Env = append(c.Env, "KITEHUB_REGISTRY="+addr, "KITEHUB_REGISTRY_KEY="+key)
		c.Stdin = bytes.NewReader(stdin)
		out, _ := c.CombinedOutput()
		return string(out), c.ProcessState.ExitCode()
	}
	d1, d2 := "sha256:"+strings.Repeat("1", 64), "sha256:"+strings.Repeat("2", 64)
	for _, tt := range []struct {
		args   string
		exit   int
		output string
	}{
		{"push price v1 " + d1 + " --size 10 --why first", 0, ""},
		{"push price v2 " + d2 + " --size 10", 0, ""},
		{"push price v1 " + d2 + " --size 10", 1, "a version never changes"},
		{"push price v3 sha256:12", 1, `digest: "sha256:12"`},
		{"promote price current v1 --if-revision 0 --key a", 0, "move 1 is acknowledged"},
		{"promote price current v1 --if-revision 0 --key a", 0, "nothing was done anew"},
		{"promote price current v2 --if-revision 0", 1, "at revision 1, not 0"},
		{"promote price current v2", 2, "missing flags: --if-revision"},
		{"stage price current v2 --if-revision 1", 1, "--copies"},
		{"stage price current v2 --if-revision 1 --copies 2 --wait 50ms", 1, "still staging"},
		{"rollback price current --if-revision 1 --why changed", 0, ""},
		{"move 2", 0, "given up rolled back: changed"},
		{"promote price current v2 --if-revision 1", 0, "acknowledged"},
		{"rollback price current --if-revision 2", 0, "acknowledged"},
		{"policy price stale", 0, ""},
		{"list", 0, "current  v1"},
		{"history price", 0, "operator  push price v1 " + d1 + "  first"},
		{"gc", 0, ""},
		{"condemn price v2 --why wrong", 0, ""},
		{"promote price current v2 --if-revision 3", 1, "condemned"},
	} {
		out, exit := run(nil, strings.Fields(tt.args)...)
		if exit != tt.exit || !strings.Contains(out, tt.output) {
			t.Errorf("%s: exit %d, want %d with %q: %s", tt.args, exit, tt.exit, tt.output, out)
		}
	}
	second, err := program("registry", "serve", "--config", filepath.Join(dir, "r.textproto")).CombinedOutput()
	if err == nil || !strings.Contains(string(second), "is another process's") {
		t.Errorf("two registries in one directory: %v: %s", err, second)
	}
	p.Process.Kill()
	p.Wait()
	if out, exit := run(nil, "push", "price", "v9", d1, "--key", "b"); exit != 1 || !strings.Contains(out, "repeating it with --key b is safe") {
		t.Errorf("without a registry: exit %d: %s", exit, out)
	}
	p, _ = startRegistry(t, dir, addr)
	if out, exit := run(nil, "list"); exit != 0 || !strings.Contains(out, "revision 3") || !strings.Contains(out, "condemned") {
		t.Errorf("after a kill: exit %d: %s", exit, out)
	}
	exported, exit := run(nil, "export")
	if exit != 0 {
		t.Fatal(exported)
	}
	p.Process.Kill()
	p.Wait()
	p, addr = startRegistry(t, t.TempDir(), "127.0.0.1:0")
	if out, exit := run([]byte(exported), "import", "--key", "i"); exit != 0 {
		t.Errorf("import: %s", out)
	}
	if out, _ := run([]byte(exported), "import", "--key", "i"); strings.Count(out, "nothing was done anew") < 2 {
		t.Errorf("repeated import: %s", out)
	}
	if out, _ := run([]byte(`{"Pushs":[]}`), "import"); !strings.Contains(out, `unknown field "Pushs"`) {
		t.Errorf("import with a misspelled key: %s", out)
	}
	if again, _ := run(nil, "export"); again != exported {
		t.Errorf("second export:\n%s\nwant\n%s", again, exported)
	}
	p.Process.Signal(os.Interrupt)
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}
