package relay

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
)

// Guards against a keyed request that runs twice: it was sent again within the window in which its
// group drops repeats, but the connection came up only after it.
func TestKeyedRequestIsNotSentAgainAfterItsWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	calls := make(chan fakeplatform.Command, 10)
	worker, err := fakeplatform.ListenInvoker(func(_ int, c *net.TCPConn) {
		fakeplatform.ReadCommands(c, func(command fakeplatform.Command) bool {
			if command.Code == fakeplatform.Call {
				calls <- command
				c.SetLinger(0) // resets the connection
				return false
			}
			return true
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	config := parse(t, newDirectory(t).LocalAddr().String(), worker.Addr().String())
	update := &config.Settings.Classes[1]
	update.DedupWindow = window
	config.Settings.Limits.DialTimeout = 2 * window
	var dials atomic.Int64
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			<-time.After(window) // a connection that comes up late
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	r, err := Start(config, Options{Clock: clock.System(), Log: zerolog.Nop(), Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop(0, 0)
	conn, err := fakeplatform.Dial(r.Addr(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &testClient{conn, t}
	c.call(1, "update")
	if got := c.answers(1)["1"]; !strings.HasPrefix(got, "Failed") {
		t.Errorf("answer %q, want Failed: the request may have run", got)
	}
	if n := len(calls); n != 1 {
		t.Errorf("the call came to the worker %d times, want once: the window was over", n)
	}
}
