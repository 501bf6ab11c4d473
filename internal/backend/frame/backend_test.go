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

// startFakeWorker starts a worker that runs script on the n-th connection to it (from 0).
func startFakeWorker(t *testing.T, script func(n int, c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := fakeplatform.ListenInvoker(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// startRecordingWorker starts a worker that sends the commands it receives on a channel and
// responds with what the respond function returns.
func startRecordingWorker(t *testing.T, respond func(fakeplatform.Command) []byte) (
	addr string, commands <-chan fakeplatform.Command,
) {
	t.Helper()
	ln, commands, err := fakeplatform.RecordInvoker(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), commands
}

// respondOK responds to calls and ignores other commands.
func respondOK(command fakeplatform.Command) []byte {
	if command.Code != codeCall {
		return nil
	}
	return fakeplatform.Response(codeOK, command.ID, "", "answer")
}

func noResponse(fakeplatform.Command) []byte { return nil }

// readUntilClosed keeps a connection open and reads from it until the other side closes it.
func readUntilClosed(c net.Conn) { io.Copy(io.Discard, c) }

// newTestBackend returns a backend with one worker, whose ID is 1.
func newTestBackend(t *testing.T, addr string, change func(*Config)) *Backend {
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

// endpoint returns the endpoint of a ready worker.
func endpoint(id scheduler.WorkerID, addr string) backend.Endpoint {
	return backend.Endpoint{ID: id, Name: fmt.Sprint("w", id), Network: "tcp", Addr: addr, Ready: true}
}

// drainingEndpoint returns the endpoint of a draining worker.
func drainingEndpoint(id scheduler.WorkerID, addr string) backend.Endpoint {
	e := endpoint(id, addr)
	e.Ready = false
	return e
}

// newAttempt returns an attempt at worker 1 for the call with the given ID.
func newAttempt(id uint64) backend.Attempt {
	return backend.Attempt{
		Worker:   1,
		CallID:   fmt.Sprintf("%016x", id),
		Class:    "lookup",
		Function: testFunction,
		Body:     []byte("body"),
		Timeout:  20 * time.Second,
	}
}

// newAttemptAt returns an attempt at the given worker.
func newAttemptAt(worker scheduler.WorkerID, id uint64) backend.Attempt {
	call := newAttempt(id)
	call.Worker = worker
	return call
}

// sendAndWait sends an attempt and waits for its result.
func sendAndWait(b *Backend, call backend.Attempt) backend.Result {
	results := make(chan backend.Result, 1)
	b.Send(call, func(r backend.Result) { results <- r })
	return <-results
}

// loadAndWait sends a load order and waits for its result.
func loadAndWait(b *Backend, copies int) (scheduler.Outcome, int) {
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

// waitFor waits until other goroutines make a condition true. If that never happens, the timeout of
// go test ends the wait.
func waitFor(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// expectConns checks the numbers of the connections on which the next commands arrive.
func expectConns(t *testing.T, commands <-chan fakeplatform.Command, want ...int) {
	t.Helper()
	for i, conn := range want {
		if got := (<-commands).Conn; got != conn {
			t.Errorf("command %d arrived on connection %d, want %d", i, got, conn)
		}
	}
}
