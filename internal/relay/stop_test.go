package relay

import (
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// After SIGTERM requests are still admitted for a while, all are answered, and the process ends
// without an error.
func TestSigtermAnswersRequestsInFlight(t *testing.T) {
	v := newInvoker(t, 300*time.Millisecond, nil)
	r := start(t, v, newDirectory(t).LocalAddr().String())
	c := r.dial()
	for i := range 4 {
		c.call(i, "lookup")
	}
	r.stop <- syscall.SIGTERM
	r.log.wait(t, `"stopping"`)
	late := r.dial() // connections and requests may still arrive for a while
	late.call(1, "move")
	if got := late.answers(1)["1"]; got != "served body 1" {
		t.Errorf("a request after SIGTERM: %q", got)
	}
	for id, got := range c.answers(4) {
		if got != "served body "+id {
			t.Errorf("request %s, open at SIGTERM: %q", id, got)
		}
	}
	if err := <-r.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	if _, err := net.Dial("tcp", r.addr); err == nil {
		t.Error("the relay still listens after it has ended")
	}
}

// Requests that are still open when the answer timeout is over get an answer, which is a rejection
// if a retry does no harm. The connection is closed cleanly after it.
func TestStopAnswersRequestsStillOpen(t *testing.T) {
	received := make(chan struct{}, 3)
	ln, err := fakeplatform.ListenInvoker(func(_ int, c *net.TCPConn) {
		fakeplatform.ReadCommands(c, func(cmd fakeplatform.Command) bool {
			switch cmd.Code {
			case fakeplatform.Call:
				received <- struct{}{} // without an answer
			case fakeplatform.Ping:
				c.Write(fakeplatform.Response(fakeplatform.Pong, cmd.ID, "", ""))
			}
			return true
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	config := parse(t, newDirectory(t).LocalAddr().String(), ln.Addr().String())
	r, err := Start(config, Options{Clock: clock.System(), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := fakeplatform.Dial(r.Addr(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &testClient{conn, t}
	for i, method := range []string{"lookup", "update", "move"} {
		c.call(i, method)
		<-received
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.Stop(0, 100*time.Millisecond)
	}()
	want := map[string]string{"0": "Rejected", "1": "Failed", "2": "Failed"} // 1 and 2 may have run
	if got := c.answers(3); !maps.Equal(got, want) {
		t.Errorf("answers %v, want %v", got, want)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the answers: %d bytes, %v; want EOF", n, err)
	}
	c.Close()
	<-stopped
}

// The answer timeout is bounded by what the platform waits, however long a deadline is.
func TestAnswerTimeoutIsBounded(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		400 * time.Millisecond: 400 * time.Millisecond,
		3 * time.Second:        3 * time.Second,
		15 * time.Second:       3 * time.Second,
	} {
		classes := []scheduler.Class{{Deadline: 100 * time.Millisecond}, {Deadline: deadline}}
		if got := answerTimeout(scheduler.Settings{Classes: classes}); got != want {
			t.Errorf("answer timeout %v for a deadline of %v, want %v", got, deadline, want)
		}
	}
}

// While a request is open after SIGTERM, a reload is still carried out, and a second SIGTERM
// changes nothing.
func TestReloadAndSecondSigtermWhileStopping(t *testing.T) {
	answer := make(chan struct{})
	v := newInvoker(t, 0, func(int64) byte { <-answer; return fakeplatform.OK })
	second := newDirectory(t)
	r := start(t, v, newDirectory(t).LocalAddr().String())
	c := r.dial()
	c.call(1, "move")
	for v.Calls.Load() == 0 {
		runtime.Gosched()
	}
	r.stop <- syscall.SIGTERM
	r.log.wait(t, `"stopping"`)
	second.Set(fakeplatform.DirectoryResponse{
		Serial: 3, Workers: []string{"s-1"}, Priority: 1, Addrs: []netip.AddrPort{addrPort(v.Addr())},
	})
	r.fields["names"] = second.LocalAddr().String()
	r.write()
	r.reload <- syscall.SIGHUP
	r.log.wait(t, `"version":3`)
	r.stop <- syscall.SIGTERM
	r.log.wait(t, "stopping already")
	close(answer)
	if got := c.answers(1)["1"]; got != "served body 1" {
		t.Errorf("answer to the request in flight: %q", got)
	}
	if err := <-r.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A SIGTERM that arrives while the controller starts is carried out after the start.
func TestSigtermDuringStartIsCarriedOut(t *testing.T) {
	v := newInvoker(t, 0, nil)
	r := start(t, v, newDirectory(t).LocalAddr().String(), syscall.SIGTERM)
	r.log.wait(t, `"stopping"`)
	if err := <-r.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// status sends a status request and waits for its response. By then the relay has processed
// everything that was sent before on the connection.
func (c *testClient) status(id int) {
	c.t.Helper()
	c.Write(fakeplatform.Request(id, "status", map[string]string{}))
	if got, text := c.Answer(); got != int64(id) {
		c.t.Fatalf("response to %d: %s, want the one to %d", got, text, id)
	}
}

// A call that its client withdraws, or whose client closes, while there is no worker is never sent.
// A list without workers does not end the watch.
func TestCancelledWhileQueuedIsNeverSent(t *testing.T) {
	v := newInvoker(t, 0, nil)
	d := newDirectory(t)
	r := start(t, v, d.LocalAddr().String())
	d.Set(fakeplatform.DirectoryResponse{Serial: 3})
	r.log.wait(t, `"version":3`)
	staying, leaving := r.dial(), r.dial()
	staying.call(1, "move")
	staying.call(2, "move")
	staying.Write(fakeplatform.CancelNotification(1))
	staying.status(3)
	leaving.call(1, "lookup")
	leaving.status(2)
	if err := leaving.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The ingress closes the connection after it has withdrawn the call.
	if n, err := leaving.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, %v to a client that closed", n, err)
	}
	d.Set(fakeplatform.DirectoryResponse{Serial: 4, Workers: []string{"s-1"}, Addrs: []netip.AddrPort{addrPort(v.Addr())}})
	if got := staying.answers(1)["2"]; got != "served body 2" {
		t.Errorf("answer to the call that kept waiting: %q", got)
	}
	staying.call(4, "lookup") // a withdrawn call that was sent would reach the worker first
	staying.answers(1)
	if n := v.Calls.Load(); n != 2 {
		t.Errorf("%d calls reached the worker, want the two whose client still waited", n)
	}
}

// A second interrupt ends the relay at once, so an operator at a terminal need not wait.
func TestSecondInterruptEndsAtOnce(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	v := newInvoker(t, 0, func(int64) byte { <-never; return fakeplatform.OK })
	r := start(t, v, newDirectory(t).LocalAddr().String())
	r.dial().call(1, "move")
	for v.Calls.Load() == 0 {
		runtime.Gosched()
	}
	r.stop <- os.Interrupt
	r.stop <- os.Interrupt
	if err := <-r.ended; err == nil || !strings.Contains(err.Error(), "1 requests open") {
		t.Errorf("ended with %v", err)
	}
}
