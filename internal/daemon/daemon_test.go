package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each side receives each packet at each stage: it takes the right action, and only one of the two
// ever serves.
func TestOnlyOneProcessServes(t *testing.T) {
	all := []PacketKind{Hello, Sockets, TakeoverRequest, StatePart, StateComplete, StateTaken, Grant, Conn, Answer, Done, Abort, '?'}
	predecessorStages := map[PacketKind][]PacketKind{ // the packets that lead to each stage
		0:             nil,
		Sockets:       {Hello},
		StateComplete: {Hello, TakeoverRequest},
		Grant:         {Hello, TakeoverRequest, StateTaken},
	}
	allowed := map[string]Action{"0H": OfferSockets, "LR": Pause, "ET": HandOff}
	for stage, before := range predecessorStages {
		for _, k := range all {
			p := &PredecessorProtocol{}
			for _, b := range before {
				p.OnPacket(b)
			}
			action, err := p.OnPacket(k)
			name := strings.ReplaceAll(fmt.Sprintf("%c%c", stage, k), "\x00", "0")
			want, ok := allowed[name]
			switch {
			case ok && (action != want || err != nil):
				t.Errorf("predecessor at %s: action %v, error %v, want %v", name, action, err, want)
			case !ok && stage == Grant && action != Wait:
				t.Errorf("predecessor at %s: action %v after Grant, want wait", name, action)
			case !ok && stage != Grant && action != Resume:
				t.Errorf("predecessor at %s: action %v, want resume", name, action)
			}
		}
	}
	const lost, late PacketKind = 0, 1 // stand for OnPeerLost and OnTimeout
	packets := []PacketKind{Sockets, StatePart, StateComplete, Grant, Done}
	for n := range len(packets) + 1 {
		for _, k := range append(all, lost, late) {
			s := &SuccessorProtocol{}
			for _, b := range packets[:n] {
				s.OnPacket(b)
			}
			var action Action
			switch k {
			case lost:
				action = s.OnPeerLost()
			case late:
				action = s.OnTimeout()
			default:
				action, _ = s.OnPacket(k)
			}
			serves := action == Serve || action == ServeAlone
			if may := n == 3 && (k == Grant || k == lost) || n == 4 && k == lost; serves != may {
				t.Errorf("successor after %d packets, %q: action %v", n, k, action)
			}
			if n < 3 && action == TakeState != (n == 2 && k == StateComplete) {
				t.Errorf("successor after %d packets, %q: action %v", n, k, action)
			}
		}
	}
}

// The supervisor receives the messages of sd_notify(3). The watchdog applies only to the process
// that WATCHDOG_PID names.
func TestSupervisorMessages(t *testing.T) {
	name := filepath.Join(t.TempDir(), "n")
	c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: name, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	env := map[string]string{"NOTIFY_SOCKET": name, "WATCHDOG_USEC": "3000000", "WATCHDOG_PID": "7"}
	s, err := SupervisorFromEnv(func(k string) string { return env[k] }, 7)
	if err != nil || s.WatchdogInterval() != 1500*time.Millisecond {
		t.Fatal(err, s)
	}
	if s, _ := SupervisorFromEnv(func(k string) string { return env[k] }, 8); s.WatchdogInterval() != 0 {
		t.Error("the watchdog of another process is active")
	}
	for _, x := range []struct {
		err  error
		want string
	}{
		{s.Ready("ok"), "READY=1\nSTATUS=ok"},
		{s.Reloading(5), "RELOADING=1\nMONOTONIC_USEC=5"},
		{s.Stopping(), "STOPPING=1"},
		{s.Alive(), "WATCHDOG=1"},
		{s.MainPID(9), "MAINPID=9\nREADY=1"},
	} {
		b := make([]byte, 100)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if n, err := c.Read(b); x.err != nil || err != nil || string(b[:n]) != x.want {
			t.Errorf("send error %v, read error %v, message %q, want %q", x.err, err, b[:n], x.want)
		}
	}
	if err := s.Ready("a\nREADY=0"); err == nil {
		t.Error("a status with a line break was sent")
	}
	for _, bad := range []map[string]string{{"NOTIFY_SOCKET": "x"}, {"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "-1"}} {
		if _, err := SupervisorFromEnv(func(k string) string { return bad[k] }, 7); err == nil {
			t.Errorf("invalid environment %v was accepted", bad)
		}
	}
	if s, err := SupervisorFromEnv(func(string) string { return "" }, 7); err != nil || s.Ready("x") != nil {
		t.Error(err)
	}
}

// The file of a running process is neither overwritten nor removed by another.
func TestPIDFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "pid")
	self := os.Getpid()
	if err := WritePID(name, self); err != nil {
		t.Fatal(err)
	}
	if err := WritePID(name, self+1); err == nil {
		t.Error("the file of a running process was overwritten")
	}
	RemovePID(name, self+1)
	if _, err := os.Stat(name); err != nil {
		t.Error("the file of another process was removed")
	}
	os.WriteFile(name, []byte("2147483646\n"), 0o644) // no such process
	if err := WritePID(name, self); err != nil {
		t.Error(err)
	}
	if RemovePID(name, self); !os.IsNotExist(func() error { _, err := os.Stat(name); return err }()) {
		t.Error("the process's own file was not removed")
	}
}

// Only recent starts that ended in a crash make a crash loop; a file that cannot be parsed counts
// as empty.
func TestCrashLoopCountsRecentCrashes(t *testing.T) {
	l := &CrashLoop{MaxStarts: 3, Window: time.Minute}
	at := time.Unix(1000, 0)
	for i, want := range []bool{false, false, false, true, true} {
		if got := l.RecordStart(at); got != want {
			t.Errorf("start %d: in a crash loop: %v, want %v", i, got, want)
		}
		at = at.Add(time.Second)
	}
	if at = at.Add(time.Hour); l.RecordStart(at) {
		t.Error("crashes before the window are counted")
	}
	for range 5 {
		l.RecordCleanExit(at)
		if at = at.Add(time.Second); l.RecordStart(at) {
			t.Error("clean exits are counted as crashes")
		}
	}
	name := filepath.Join(t.TempDir(), "s")
	if err := l.Save(name); err != nil {
		t.Fatal(err)
	}
	k := &CrashLoop{}
	if k.Load(name); len(k.Starts) != len(l.Starts) || !k.Starts[0].At.Equal(l.Starts[0].At) {
		t.Error(k, l)
	}
	os.WriteFile(name, []byte("{"), 0o600)
	if k.Load(name); k.Starts != nil {
		t.Error(k)
	}
}

// Packet boundaries are preserved, and a received socket is the one that was sent.
func TestLinkCarriesPacketsAndSockets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	ln, err := ListenLinks(path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := DialLink(path)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	uc, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	b := NewLink(uc)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Send(Sockets, nil, tcp.(syscall.Conn)); err != nil {
		t.Fatal(err)
	}
	tcp.Close()
	_, _, files, err := b.Receive(10 * time.Second)
	if err != nil || len(files) != 1 {
		t.Fatal(err, files)
	}
	again, err := net.FileListener(files[0])
	files[0].Close()
	if err != nil || again.Addr().String() != tcp.Addr().String() {
		t.Fatal(err)
	}
	defer again.Close()
	if c, err := net.Dial("tcp", tcp.Addr().String()); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	text := bytes.Repeat([]byte("0123456789"), 30_000)
	go func() {
		if err := a.SendState(text); err != nil {
			t.Error(err)
		}
		a.Send(StateComplete, nil)
	}()
	var got []byte
	for {
		kind, part, _, err := b.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if kind == StateComplete {
			break
		}
		got = append(got, part...)
	}
	if !bytes.Equal(got, text) {
		t.Errorf("received a state of %d bytes that differs from the %d bytes sent", len(got), len(text))
	}
	if err := a.Send(StatePart, make([]byte, MaxPacketBody+1)); err == nil {
		t.Error("a packet beyond the maximum length was sent")
	}
	if _, _, _, err := b.Receive(time.Millisecond); err != ErrTimeout {
		t.Error(err)
	}
	a.Close()
	if _, _, _, err := b.Receive(10 * time.Second); err == nil || err == ErrTimeout {
		t.Error(err)
	}
}

// A process that closes the link with a packet unread resets it. What it had sent before, such as
// Abort, was lost to its peer, which took the reset for the end of that process.
func TestPacketsBeforeAResetArrive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	ln, err := ListenLinks(path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	successor, err := DialLink(path)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	conn, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	predecessor := NewLink(conn)
	if err := successor.Send(StateTaken, nil); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.Send(Abort, nil); err != nil {
		t.Fatal(err)
	}
	predecessor.Close()
	if kind, _, _, err := successor.Receive(time.Minute); err != nil || kind != Abort {
		t.Errorf("received %q, error %v, want Abort", kind, err)
	}
	if _, _, _, err := successor.Receive(time.Minute); err == nil || errors.Is(err, ErrTimeout) {
		t.Errorf("error %v, want the end of the link", err)
	}
}
