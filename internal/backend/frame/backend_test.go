package frame

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

const testFunction = "7f3a9c21e0b4d655"

// startInvoker starts a worker that plays a script on the n-th connection to it (from 0).
func startInvoker(t *testing.T, script func(n int, c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := fakeplatform.Invoke(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// startRecorder starts a worker that answers each command as a function says, and hands over the commands.
func startRecorder(t *testing.T, answer func(fakeplatform.Command) []byte) (
	addr string, commands <-chan fakeplatform.Command,
) {
	t.Helper()
	ln, commands, err := fakeplatform.Record(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), commands
}

// serve answers every call, and nothing else.
func serve(command fakeplatform.Command) []byte {
	if command.Code != codeCall {
		return nil
	}
	return fakeplatform.Reply(codeOK, command.ID, "", "answer")
}

func ignore(fakeplatform.Command) []byte { return nil }

// drain keeps a connection open and reads on until the other side closes it.
func drain(c net.Conn) { io.Copy(io.Discard, c) }

// start returns a backend with one worker, number 1.
func start(t *testing.T, addr string, change func(*Config)) *Backend {
	t.Helper()
	cfg := Config{
		Clock:               clock.System(),
		DialTimeout:         5 * time.Second,
		WorkerIdleTimeout:   time.Hour,
		MaxExchangesPerConn: 100,
		MaxConns:            8,
		MaxBody:             64 << 10,
		PingAfter:           time.Hour,
		MaxResponseDelay:    time.Hour,
		OrderTimeout:        20 * time.Second,
		Log:                 zerolog.Nop(),
	}
	if change != nil {
		change(&cfg)
	}
	b := New(cfg)
	t.Cleanup(b.Close)
	b.Update([]backend.Endpoint{endpoint(1, addr)})
	return b
}

// endpoint returns a ready worker.
func endpoint(id scheduler.WorkerID, addr string) backend.Endpoint {
	return backend.Endpoint{ID: id, Name: fmt.Sprint("w", id), Network: "tcp", Addr: addr, Ready: true}
}

// draining returns a worker that drains.
func draining(id scheduler.WorkerID, addr string) backend.Endpoint {
	e := endpoint(id, addr)
	e.Ready = false
	return e
}

// newCall returns a call at worker 1.
func newCall(id uint64) backend.Attempt {
	return backend.Attempt{
		Worker:   1,
		CallID:   fmt.Sprintf("%016x", id),
		Class:    "lookup",
		Function: testFunction,
		Body:     []byte("body"),
		Timeout:  20 * time.Second,
	}
}

// newCallAt returns a call at a worker.
func newCallAt(worker scheduler.WorkerID, id uint64) backend.Attempt {
	call := newCall(id)
	call.Worker = worker
	return call
}

// run sends an attempt and waits for its end.
func run(b *Backend, call backend.Attempt) backend.Result {
	results := make(chan backend.Result, 1)
	b.Send(call, func(r backend.Result) { results <- r })
	return <-results
}

// runLoad sends a load order and waits for its end.
func runLoad(b *Backend, copies int) (scheduler.Outcome, int) {
	type result struct {
		outcome scheduler.Outcome
		copies  int
	}
	results := make(chan result, 1)
	order := backend.LoadOrder{Worker: 1, Function: testFunction, Copies: copies}
	b.LoadCopies(order, func(o scheduler.Outcome, n int, _ time.Duration) { results <- result{o, n} })
	r := <-results
	return r.outcome, r.copies
}

// waitFor waits until a condition holds that other goroutines bring about; go test's time-out ends it if it never
// does.
func waitFor(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

func expectConns(t *testing.T, commands <-chan fakeplatform.Command, want ...int) {
	t.Helper()
	for i, conn := range want {
		if got := (<-commands).Conn; got != conn {
			t.Errorf("command %d came on connection %d, want %d", i, got, conn)
		}
	}
}
