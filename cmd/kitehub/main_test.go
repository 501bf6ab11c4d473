package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// TestMain runs the program itself instead of the tests if KITEHUB_RUN is set, so that tests can
// start and kill real processes.
func TestMain(m *testing.M) {
	if os.Getenv("KITEHUB_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program with the given arguments.
func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "KITEHUB_RUN=1")
	return c
}

// listenAddress matches the address in the log line of a process that starts to serve.
var listenAddress = regexp.MustCompile(`"listen":"([^"]+)"`)

// serve starts a controller process, and returns it with its address.
func serve(t *testing.T, config string) (*exec.Cmd, string) {
	t.Helper()
	return launch(t, "serve", "--config", config)
}

// launch starts a process that serves, and returns it with its address.
func launch(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	c := program(args...)
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	addr := make(chan string, 1)
	go func() {
		sc := bufio.NewScanner(stderr)
		for sc.Scan() {
			if m := listenAddress.FindStringSubmatch(sc.Text()); m != nil {
				addr <- m[1]
			}
		}
		close(addr)
	}()
	select {
	case a, ok := <-addr:
		if !ok {
			t.Fatal("the process ended before it served")
		}
		return c, a
	case <-time.After(20 * time.Second):
		t.Fatal("the process does not serve")
	}
	return nil, ""
}

const secret = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"

// post sends a signed call with an id.
func post(addr, id, function, body string) (*http.Response, error) {
	k, err := signing.ParseKey(secret)
	if err != nil {
		return nil, err
	}
	m := signing.Message{ID: id, Timestamp: strconv.FormatInt(time.Now().Unix(), 10), Body: []byte(body)}
	s, err := k.Sign(m)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest("POST", "http://"+addr+"/call/"+function, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("webhook-id", id)
	req.Header.Set("webhook-timestamp", m.Timestamp)
	req.Header.Set("webhook-signature", s)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
}

// startExample starts a stand-in worker, and writes the configuration of examples/loopback with
// another directory and port.
func startExample(t *testing.T) (dir, config string, host *fakeworker.Host, log *trace.Log) {
	t.Helper()
	dir = t.TempDir()
	clk := clock.System()
	log = trace.NewLog(clk.Now)
	host, err := fakeworker.Start(fakeworker.Config{
		Clock: clk,
		Trace: log,
		Fleet: workersim.Config{
			Store: workersim.Store{FullRateFetches: 4},
			Workers: []workersim.Spec{{
				Name: "w", Cores: 2, Speed: 1, MemoryMB: 4000, Queue: 9, LoadSlots: 2, IdleCopyTTL: time.Minute,
			}},
		},
		Functions: []fakeworker.FunctionConfig{{
			Function: workersim.Function{Name: "trade", MemoryMB: 1, Lanes: 4, Fetch: time.Millisecond},
			Class:    "trade",
			Work:     time.Millisecond,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	text, err := discovery.MarshalAssignment("workers", []gateway.Worker{
		{Name: "w", Network: "tcp", Addr: host.Addr("w"), State: scheduler.Ready, Size: 1},
	})
	if err == nil {
		err = discovery.WriteFile(filepath.Join(dir, "workers.json"), text)
	}
	var b []byte
	if err == nil {
		b, err = os.ReadFile("../../examples/loopback/kitehub.textproto")
	}
	if err != nil {
		t.Fatal(err)
	}
	r := strings.NewReplacer(
		"127.0.0.1:8080", "127.0.0.1:0",
		`"state"`, strconv.Quote(filepath.Join(dir, "state")),
		`"workers.json"`, strconv.Quote(filepath.Join(dir, "workers.json")),
		"future_ms: 5000", "future_ms: 1000",
		"ahead_ms: 5000", "ahead_ms: 1000",
	)
	config = filepath.Join(dir, "c.textproto")
	if err := os.WriteFile(config, []byte(r.Replace(string(b))), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir, config, host, log
}

// status sends a signed call of the function trade, and returns the HTTP status of the response.
func status(t *testing.T, addr, id, body string) int {
	t.Helper()
	resp, err := post(addr, id, "trade", body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A SIGKILL (kill -9) at any moment leaves no state that prevents the next start, or that lets a
// call run twice.
func TestRestartAfterKill(t *testing.T) {
	_, config, _, log := startExample(t)
	for i := range 5 {
		c, addr := serve(t, config)
		if i > 0 { // called before the kill, with a timestamp that is not newer than the watermark
			if got := status(t, addr, "same", `{}`); got != 503 && got != 200 {
				t.Errorf("round %d: %d", i, got)
			}
		}
		for { // until the clock has passed the watermark
			got := status(t, addr, fmt.Sprint("round-", i), `{}`)
			if got == 200 {
				break
			}
			if got != 503 {
				t.Fatalf("round %d: %d", i, got)
			}
			time.Sleep(50 * time.Millisecond)
		}
		go post(addr, fmt.Sprint("cut-", i), "trade", `{"work_ms":1000}`)
		time.Sleep(time.Duration(i) * time.Millisecond)
		c.Process.Kill()
		c.Wait()
	}
	ran := map[string]int{}
	for _, r := range log.Records() {
		if r.Kind == trace.RunStarted {
			ran[r.Request]++
		}
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// After a SIGTERM, calls in flight are answered and the process exits with status 0. After a second
// one, it exits at once with status 1.
func TestSignals(t *testing.T) {
	_, config, _, log := startExample(t)
	runsStarted := func() int {
		n := 0
		for _, r := range log.Records() {
			if r.Kind == trace.RunStarted {
				n++
			}
		}
		return n
	}
	c, addr := serve(t, config)
	got := make(chan int, 1)
	go func() { got <- status(t, addr, "a", `{"work_ms":500}`) }()
	for runsStarted() < 1 {
		time.Sleep(time.Millisecond)
	}
	c.Process.Signal(syscall.SIGTERM)
	if s := <-got; s != 200 {
		t.Errorf("call in flight: %d", s)
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	c, addr = serve(t, config) // after a graceful shutdown only older timestamps are rejected
	served := false
	for !served {
		served = status(t, addr, fmt.Sprint("b", time.Now().UnixNano()), `{}`) == 200
	}
	n := runsStarted()
	go post(addr, "c", "trade", `{"work_ms":3000}`)
	for runsStarted() == n {
		time.Sleep(time.Millisecond)
	}
	c.Process.Signal(syscall.SIGTERM)
	for { // until the shutdown has begun
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		nc.Close()
	}
	c.Process.Signal(syscall.SIGTERM)
	var exit *exec.ExitError
	if err := c.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("second signal: %v", err)
	}
}

// Commands exit with the documented status, and print what is wrong.
func TestExitStatus(t *testing.T) {
	dir, config, _, _ := startExample(t)
	bad := filepath.Join(dir, "bad.textproto")
	os.WriteFile(bad, []byte("name: \"c1\"\nbogus: 1\n"), 0o600)
	badRegistry := filepath.Join(dir, "registry.textproto")
	text, err := os.ReadFile("../../examples/loopback/registry.textproto")
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.NewReplacer("hold_ms: 1500", "hold_ms: 1700", "whsec_b3Bl", "whsec_*").Replace(string(text)))
	os.WriteFile(badRegistry, text, 0o600)
	tests := []struct {
		args   []string
		exit   int
		output string
	}{
		{[]string{"config", "check", config}, 0, "1 files are well"},
		{[]string{"config", "check", bad}, 2, bad + ":2: unknown field: bogus; see docs/operate.md"},
		{[]string{"config", "check", config, config}, 2, "also used by"},
		{[]string{"serve", "--config", bad}, 2, "unknown field"},
		{[]string{"serve"}, 2, "missing flags"},
		{[]string{"registry", "serve", "--config", badRegistry}, 2, badRegistry + ":9: hold_ms: 1700 is over a third of lease_ms 5000"},
		{[]string{"registry", "serve", "--config", badRegistry}, 2, badRegistry + ":26: callers[0].keys[0]: "},
		{[]string{"bogus"}, 2, "unexpected argument"},
		{[]string{"day", "play", "nothing"}, 1, "no such file"},
		{[]string{"rules", "check", filepath.Join(dir, "none")}, 1, "no such file"},
		{[]string{"day", "list"}, 0, "deploy-and-controllers"},
		{[]string{"key", "new"}, 0, "whsec_"},
		{[]string{"day", "play", "quiet", "--scale", "0.1", "--trace", filepath.Join(dir, "t.json")}, 0, "rule 1, one answer: kept"},
		{[]string{"rules", "check", filepath.Join(dir, "t.json")}, 0, "rule 5, loads rationed: kept"},
	}
	for _, tt := range tests {
		out, err := program(tt.args...).CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		if code != tt.exit || !strings.Contains(string(out), tt.output) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s", tt.args, code, tt.exit, tt.output, out)
		}
	}
}
