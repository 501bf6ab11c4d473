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

// A successor process takes over from a running one: the old one exits with 0, the supervisor hears of the new one, and
// what an operator loaded goes on. All by the program's own commands.
func TestTakeOverProcess(t *testing.T) {
	dir, file, _, _ := example(t)
	socks, err := os.MkdirTemp("", "kh")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(socks) })
	at := func(name string) string { return filepath.Join(socks, name) }
	text, _ := os.ReadFile(file)
	more := `
hooks {}
rpc { socket: "` + at("s") + `" explain: 100 users { self: true name: "ops" operate: true call: true } }
daemon { handover: "` + at("h") + `" pid_file: "` + filepath.Join(dir, "pid") + `" starts: 3 within_ms: 60000 }
`
	if err := os.WriteFile(file, append(text, more...), 0o600); err != nil {
		t.Fatal(err)
	}
	words, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: at("n"), Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer words.Close()
	t.Setenv("NOTIFY_SOCKET", at("n"))
	hear := func(want string) {
		t.Helper()
		b := make([]byte, 200)
		words.SetReadDeadline(time.Now().Add(20 * time.Second))
		n, err := words.Read(b)
		if err != nil || !strings.HasPrefix(string(b[:n]), want) {
			t.Errorf("%q, %v: %q is wanted", b[:n], err, want)
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
	hear("READY=1")
	script := filepath.Join(dir, "notes.hook")
	os.WriteFile(script, []byte("on arrive(c) {\nannotate(\"size\", str(c.size))\n}\n"), 0o600)
	run("hook", "fmt", script)
	run("hook", "check", script)
	run("hook", "load", script, "--socket", at("s"))
	if got := run("hooks", "--socket", at("s")); !strings.Contains(got, "notes   live") {
		t.Error(got)
	}
	if got := status(t, addr, "a", `{}`); got != 200 {
		t.Error(got)
	}
	if got := run("explain", "a", "--socket", at("s")); !strings.Contains(got, "served") || !strings.Contains(got, "attempt 1") {
		t.Error(got)
	}
	next, nextAddr := launch(t, "serve", "--config", file, "--take-over")
	hear("MAINPID=" + strconv.Itoa(next.Process.Pid) + "\nREADY=1")
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	if nextAddr != addr {
		t.Errorf("%s serves %s", nextAddr, addr)
	}
	if got := status(t, addr, "a", `{}`); got != 409 && got != 200 { // taken before: its answer is kept, or it is a replay
		t.Error(got)
	}
	if got := status(t, addr, "b", `{}`); got != 200 {
		t.Error(got)
	}
	if got := run("hooks", "--socket", at("s")); !strings.Contains(got, "notes   live") {
		t.Error(got)
	}
	if got := run("status", "--socket", at("s")); !strings.Contains(got, strconv.Itoa(next.Process.Pid)) {
		t.Error(got)
	}
	if got := run("call", "trade", "--socket", at("s"), "--wait", "2s"); !strings.Contains(got, `"outcome": "served"`) {
		t.Error(got)
	}
	if pid, _ := os.ReadFile(filepath.Join(dir, "pid")); strings.TrimSpace(string(pid)) != strconv.Itoa(next.Process.Pid) {
		t.Errorf("pid file: %s", pid)
	}
	run("drain", "--socket", at("s"))
	if got := status(t, addr, "c", `{}`); got != 503 {
		t.Error(got)
	}
}
