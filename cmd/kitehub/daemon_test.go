package main

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A successor process takes over from a running one: the old process exits with status 0, the
// supervisor is notified of the new one, and a script that an operator loaded stays live. The test
// uses only the program's own commands.
func TestTakeOverProcess(t *testing.T) {
	dir, file, _, _ := startExample(t)
	socketDir, err := os.MkdirTemp("", "kh") // short, since the path of a socket has a limited length
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(socketDir) })
	socket := func(name string) string { return filepath.Join(socketDir, name) }
	text, _ := os.ReadFile(file)
	sections := `
hooks {}
rpc { socket: "` + socket("s") + `" explain: 100 users { self: true name: "ops" operate: true call: true } }
daemon { handover: "` + socket("h") + `" pid_file: "` + filepath.Join(dir, "pid") + `" starts: 3 within_ms: 60000 }
`
	if err := os.WriteFile(file, append(text, sections...), 0o600); err != nil {
		t.Fatal(err)
	}
	notifications, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: socket("n"), Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer notifications.Close()
	t.Setenv("NOTIFY_SOCKET", socket("n"))
	expectNotification := func(want string) {
		t.Helper()
		b := make([]byte, 200)
		notifications.SetReadDeadline(time.Now().Add(20 * time.Second))
		n, err := notifications.Read(b)
		if err != nil || !strings.HasPrefix(string(b[:n]), want) {
			t.Errorf("notification %q, error %v, want the prefix %q", b[:n], err, want)
		}
	}
	run := func(args ...string) string {
		t.Helper()
		out, err := program(args...).CombinedOutput()
		if err != nil {
			t.Errorf("%v: %v: %s", args, err, out)
		}
		return string(out)
	}
	old, addr := serve(t, file)
	expectNotification("READY=1")
	script := filepath.Join(dir, "notes.hook")
	os.WriteFile(script, []byte("on arrive(c) {\nannotate(\"size\", str(c.size))\n}\n"), 0o600)
	run("hook", "fmt", script)
	run("hook", "check", script)
	run("hook", "load", script, "--socket", socket("s"))
	if got := run("hooks", "--socket", socket("s")); !strings.Contains(got, "notes   live") {
		t.Error(got)
	}
	if got := status(t, addr, "a", `{}`); got != 200 {
		t.Error(got)
	}
	if got := run("explain", "a", "--socket", socket("s")); !strings.Contains(got, "served") || !strings.Contains(got, "attempt 1") {
		t.Error(got)
	}
	next, nextAddr := launch(t, "serve", "--config", file, "--take-over")
	expectNotification("MAINPID=" + strconv.Itoa(next.Process.Pid) + "\nREADY=1")
	if err := old.Wait(); err != nil {
		t.Errorf("old process: %v", err)
	}
	if nextAddr != addr {
		t.Errorf("the successor listens on %s, want %s", nextAddr, addr)
	}
	// A repeated call gets the cached answer, or is rejected as a replay.
	if got := status(t, addr, "a", `{}`); got != 409 && got != 200 {
		t.Error(got)
	}
	if got := status(t, addr, "b", `{}`); got != 200 {
		t.Error(got)
	}
	if got := run("hooks", "--socket", socket("s")); !strings.Contains(got, "notes   live") {
		t.Error(got)
	}
	if got := run("status", "--socket", socket("s")); !strings.Contains(got, strconv.Itoa(next.Process.Pid)) {
		t.Error(got)
	}
	if got := run("call", "trade", "--socket", socket("s"), "--wait", "2s"); !strings.Contains(got, `"outcome": "served"`) {
		t.Error(got)
	}
	if pid, _ := os.ReadFile(filepath.Join(dir, "pid")); strings.TrimSpace(string(pid)) != strconv.Itoa(next.Process.Pid) {
		t.Errorf("pid file: %s", pid)
	}
	run("drain", "--socket", socket("s"))
	if got := status(t, addr, "c", `{}`); got != 503 {
		t.Error(got)
	}
}

// A successor whose PID file could not be written ended after its predecessor had given up service,
// so that no process served. It fails before now, and the predecessor serves on.
func TestTakeOverWithUnusablePIDFile(t *testing.T) {
	dir, file, _, _ := startExample(t)
	socketDir, err := os.MkdirTemp("", "kh") // short, since the path of a socket has a limited length
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(socketDir) })
	text, _ := os.ReadFile(file)
	write := func(file, pidFile string) {
		t.Helper()
		daemon := "\ndaemon { handover: \"" + filepath.Join(socketDir, "h") + "\" pid_file: \"" + pidFile + "\" }\n"
		if err := os.WriteFile(file, append(text[:len(text):len(text)], daemon...), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file, filepath.Join(dir, "pid"))
	_, addr := serve(t, file)
	next := filepath.Join(dir, "next.textproto")
	write(next, filepath.Join(dir, "missing", "pid"))
	out, err := program("serve", "--config", next, "--take-over").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "pid file") {
		t.Errorf("the successor ended with %v: %s", err, out)
	}
	if got := status(t, addr, "a", `{}`); got != 200 {
		t.Errorf("status %d from the predecessor, want 200", got)
	}
}
