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

// After SIGTERM requests are still admitted for a while, all are answered, and the process ends without an error.
func TestSigtermAnswersWhatIsInFlight(t *testing.T) {
	v := newInvoker(t, 300*time.Millisecond, nil)
	r := start(t, v, newDirectory(t).LocalAddr().String())
	c := r.dial()
	for i := range 4 {
		c.call(i, "lookup")
	}
	r.stop <- syscall.SIGTERM
	r.log.wait(t, `"stopping"`)
	late := r.dial() // connections and requests still come for a while
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
		t.Error("it still listens")
	}
}

// What is open when the time for answers is over is answered, by a rejection where another attempt does no harm, and
// the connection ends in order after it.
func TestStopAnswersWhatIsStillOpen(t *testing.T) {
	came := make(chan struct{}, 3)
	ln, err := fakeplatform.Invoke(func(_ int, c *net.TCPConn) {
		fakeplatform.Commands(c, func(cmd fakeplatform.Command) bool {
			switch cmd.Code {
			case fakeplatform.Call:
				came <- struct{}{} // and never an answer
			case fakeplatform.Ping:
				c.Write(fakeplatform.Reply(fakeplatform.Pong, cmd.ID, "", ""))
			}
			return true
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg := parse(t, newDirectory(t).LocalAddr().String(), ln.Addr().String())
	r, err := Start(cfg, Options{Clock: clock.System(), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	pc, err := fakeplatform.Dial(r.Addr(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer pc.Close()
	c := &testClient{pc, t}
	for i, method := range []string{"lookup", "update", "move"} {
		c.call(i, method)
		<-came
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.Stop(0, 100*time.Millisecond)
	}()
	want := map[string]string{"0": "Rejected", "1": "Failed", "2": "Failed"} // these two may have run
	if got := c.answers(3); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the answers %d bytes, %v; want the end", n, err)
	}
	c.Close()
	<-stopped
}

// The platform waits no longer than its own bound, however long a deadline is.
func TestAnswerTimeoutIsBounded(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		400 * time.Millisecond: 400 * time.Millisecond,
		3 * time.Second:        3 * time.Second,
		15 * time.Second:       3 * time.Second,
	} {
		classes := []scheduler.Class{{Deadline: 100 * time.Millisecond}, {Deadline: deadline}}
		if got := answerTimeout(scheduler.Settings{Classes: classes}); got != want {
			t.Errorf("%v for a deadline of %v, want %v", got, deadline, want)
		}
	}
}

// While a request is open, a reload is still carried out and a second SIGTERM costs nothing.
func TestReloadAndSecondSigtermWhileStopping(t *testing.T) {
	answer := make(chan struct{})
	v := newInvoker(t, 0, func(int64) byte { <-answer; return fakeplatform.Served })
	second := newDirectory(t)
	r := start(t, v, newDirectory(t).LocalAddr().String())
	c := r.dial()
	c.call(1, "move")
	for v.Calls.Load() == 0 {
		runtime.Gosched()
	}
	r.stop <- syscall.SIGTERM
	r.log.wait(t, `"stopping"`)
	second.Set(fakeplatform.List{
		Serial: 3, Workers: []string{"s-1"}, Prio: 1, Addrs: []netip.AddrPort{addrPort(v.Addr())},
	})
	r.fields["names"] = second.LocalAddr().String()
	r.write()
	r.reload <- syscall.SIGHUP
	r.log.wait(t, `"version":3`)
	r.stop <- syscall.SIGTERM
	r.log.wait(t, "stopping already")
	close(answer)
	if got := c.answers(1)["1"]; got != "served body 1" {
		t.Errorf("the request in hand: %q", got)
	}
	if err := <-r.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A SIGTERM that comes while the controller starts is carried out once it has.
func TestSigtermDuringStartIsCarriedOut(t *testing.T) {
	v := newInvoker(t, 0, nil)
	r := start(t, v, newDirectory(t).LocalAddr().String(), syscall.SIGTERM)
	r.log.wait(t, `"stopping"`)
	if err := <-r.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// status asks, and returns once what came before on the connection has been taken in.
func (c *testClient) status(id int) {
	c.t.Helper()
	c.Write(fakeplatform.Request(id, "status", map[string]string{}))
	if got, what := c.Answer(); got != int64(id) {
		c.t.Fatalf("answer to %d: %s, want that of %d", got, what, id)
	}
}

// A call whose client withdrew it or closed while no worker was there is never sent; nor does a list that names no
// worker end the watch.
func TestCancelledWhileQueuedIsNeverSent(t *testing.T) {
	v := newInvoker(t, 0, nil)
	d := newDirectory(t)
	r := start(t, v, d.LocalAddr().String())
	d.Set(fakeplatform.List{Serial: 3})
	r.log.wait(t, `"version":3`)
	stays, leaves := r.dial(), r.dial()
	stays.call(1, "move")
	stays.call(2, "move")
	stays.Write(fakeplatform.Withdraw(1))
	stays.status(3)
	leaves.call(1, "lookup")
	leaves.status(2)
	if err := leaves.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := leaves.Read(make([]byte, 1)); n != 0 || err != io.EOF { // the ingress closes once it has withdrawn the call
		t.Errorf("%d bytes, %v to a client that left", n, err)
	}
	d.Set(fakeplatform.List{Serial: 4, Workers: []string{"s-1"}, Addrs: []netip.AddrPort{addrPort(v.Addr())}})
	if got := stays.answers(1)["2"]; got != "served body 2" {
		t.Errorf("the call that waited: %q", got)
	}
	stays.call(4, "lookup") // what was to follow would have come before it
	stays.answers(1)
	if n := v.Calls.Load(); n != 2 {
		t.Errorf("%d calls came to the worker, want the two that were waited for", n)
	}
}

// Somebody at a terminal need not wait.
func TestSecondInterruptEndsAtOnce(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	v := newInvoker(t, 0, func(int64) byte { <-never; return fakeplatform.Served })
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
