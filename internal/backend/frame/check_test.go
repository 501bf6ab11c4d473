package frame

import (
	"testing"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

func TestCheckSilence(t *testing.T) {
	const patience = 10
	tests := []struct {
		name                     string
		now, lastHeard, pingedAt time.Duration
		want                     checkAction
	}{
		{"not silent for long", 10, 5, 0, keepConn},
		{"silent for too long", 16, 5, 0, pingConn},
		{"ping may still be answered", 26, 5, 16, keepConn},
		{"ping not answered", 27, 5, 16, closeConn},
		{"heard a moment ago", 40, 39, 0, keepConn},
	}
	for _, tt := range tests {
		if got := checkSilence(tt.now, tt.lastHeard, tt.pingedAt, patience); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

const (
	testPatience = time.Minute
	overPatience = testPatience + time.Second
)

// startWithClock returns a backend whose silence a test's clock measures.
func startWithClock(t *testing.T, addr string) (*Backend, *clock.Manual) {
	t.Helper()
	manual := clock.NewManual(time.Unix(1e9, 0))
	b := start(t, addr, func(c *Config) {
		c.Clock = manual
		c.PingAfter = testPatience
	})
	return b, manual
}

// A slow worker's connection answers pings: it is kept until the call is answered.
func TestSlowWorkersConnectionIsKept(t *testing.T) {
	const pings = 3
	seen := 0
	addr, commands := startRecorder(t, func(command fakeplatform.Command) []byte {
		if command.Code != codePing {
			return nil
		}
		pong := fakeplatform.Reply(codePong, command.ID, "", "")
		if seen++; seen == pings {
			return append(pong, fakeplatform.Reply(codeOK, 7, "", "answer")...)
		}
		return pong
	})
	b, manual := startWithClock(t, addr)
	results := make(chan backend.Result, 1)
	b.Send(newCall(7), func(r backend.Result) { results <- r })
	<-commands
	w, _ := b.worker(1)
	for range pings {
		manual.Advance(overPatience)
		b.check()
		if ping := <-commands; ping.Code != codePing {
			t.Fatalf("%+v, want a ping", ping)
		}
		waitFor(func() bool { return !w.connections()[0].state(0).suspect }) // the pong is read
	}
	if r := <-results; r.Outcome != scheduler.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// A connection that answers no ping, or is stuck within an answer, is closed.
func TestDeadConnectionIsClosed(t *testing.T) {
	tests := []struct {
		name   string
		answer func(fakeplatform.Command) []byte
	}{
		{"dead", ignore},
		{"stuck within an answer", func(command fakeplatform.Command) []byte {
			if command.Code == codeCall {
				return fakeplatform.Reply(codeOK, command.ID, "", "answer")[:20]
			}
			return fakeplatform.Reply(codePong, command.ID, "", "")
		}},
	}
	for _, tt := range tests {
		addr, commands := startRecorder(t, tt.answer)
		b, manual := startWithClock(t, addr)
		results := make(chan backend.Result, 1)
		b.Send(newCall(7), func(r backend.Result) { results <- r })
		<-commands
		manual.Advance(overPatience)
		b.check()
		if ping := <-commands; ping.Code != codePing {
			t.Fatalf("%s: %+v, want a ping", tt.name, ping)
		}
		manual.Advance(overPatience)
		b.check()
		if r := <-results; r.Outcome != scheduler.Reset {
			t.Errorf("%s: %v, want Reset", tt.name, r.Outcome)
		}
	}
}

// Nothing new is sent on a connection whose ping is not answered yet, even after what was in flight on it has ended.
func TestConnectionWithPingOutIsNotUsed(t *testing.T) {
	addr, commands := startRecorder(t, func(command fakeplatform.Command) []byte {
		if command.Conn > 0 {
			return serve(command)
		}
		return nil
	})
	b, manual := startWithClock(t, addr)
	results := make(chan backend.Result, 1)
	first := b.Send(newCall(1), func(r backend.Result) { results <- r })
	<-commands
	manual.Advance(overPatience)
	b.check()
	if ping := <-commands; ping.Code != codePing {
		t.Fatalf("%+v, want a ping", ping)
	}
	if r, sent := run(b, newCall(2)), <-commands; r.Outcome != scheduler.OK || sent.Conn == 0 {
		t.Errorf("call beside the first: %v on connection %d", r.Outcome, sent.Conn)
	}
	first.Cancel()
	<-results
	<-commands // the worker is told
	b.check()
	if r, sent := run(b, newCall(3)), <-commands; r.Outcome != scheduler.OK || sent.Conn == 0 {
		t.Errorf("call after the first was cancelled: %v on connection %d", r.Outcome, sent.Conn)
	}
	manual.Advance(overPatience)
	b.check()
	waitFor(func() bool { return b.Traffic()[0].Conns <= 1 }) // the dead one is closed; the other, idle, may be too
}
