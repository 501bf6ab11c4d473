package daemon

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each side gets each packet at each stage: it takes the right step, and only one of the two ever serves.
func TestOnlyOneProcessServes(t *testing.T) {
	all := []PacketKind{Hello, Sockets, TakeoverRequest, StatePart, StateComplete, StateTaken, Grant, Conn, Answer, Done, Abort, '?'}
	old := map[PacketKind][]PacketKind{
		0:             nil,
		Sockets:       {Hello},
		StateComplete: {Hello, TakeoverRequest},
		Grant:         {Hello, TakeoverRequest, StateTaken},
	}
	good := map[string]Action{"0H": OfferSockets, "LR": Pause, "ET": HandOff}
	for stage, before := range old {
		for _, k := range all {
			o := &PredecessorProtocol{}
			for _, b := range before {
				o.OnPacket(b)
			}
			m, err := o.OnPacket(k)
			name := strings.ReplaceAll(fmt.Sprintf("%c%c", stage, k), "\x00", "0")
			want, ok := good[name]
			switch {
			case ok && (m != want || err != nil):
				t.Errorf("old %s: %v, %v", name, m, err)
			case !ok && stage == Grant && m != Wait:
				t.Errorf("old %s: %v after Go", name, m)
			case !ok && stage != Grant && m != Resume:
				t.Errorf("old %s: %v", name, m)
			}
		}
	}
	steps := []PacketKind{Sockets, StatePart, StateComplete, Grant, Done}
	for n := range len(steps) + 1 {
		for _, k := range append(all, 0, 1) { // 0: lost, 1: late
			s := &SuccessorProtocol{}
			for _, b := range steps[:n] {
				s.OnPacket(b)
			}
			var m Action
			switch k {
			case 0:
				m = s.OnPeerLost()
			case 1:
				m = s.OnTimeout()
			default:
				m, _ = s.OnPacket(k)
			}
			serves := m == Serve || m == ServeAlone
			if may := n == 3 && (k == Grant || k == 0) || n == 4 && k == 0; serves != may {
				t.Errorf("new after %d steps, %c: %v", n, k, m)
			}
			if n < 3 && m == TakeState != (n == 2 && k == StateComplete) {
				t.Errorf("new after %d steps, %c: %v", n, k, m)
			}
		}
	}
}

// A supervisor gets the messages of sd_notify(3), and the watchdog only of the process that is named.
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
		t.Error("another's watchdog")
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
			t.Errorf("%v %v %q, %q is wanted", x.err, err, b[:n], x.want)
		}
	}
	if err := s.Ready("a\nREADY=0"); err == nil {
		t.Error("a line break is sent")
	}
	for _, bad := range []map[string]string{{"NOTIFY_SOCKET": "x"}, {"NOTIFY_SOCKET": "/x", "WATCHDOG_USEC": "-1"}} {
		if _, err := SupervisorFromEnv(func(k string) string { return bad[k] }, 7); err == nil {
			t.Errorf("%v is accepted", bad)
		}
	}
	if s, err := SupervisorFromEnv(func(string) string { return "" }, 7); err != nil || s.Ready("x") != nil {
		t.Error(err)
	}
}

// The file of a living process is neither overwritten nor removed by another.
func TestPIDFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "pid")
	me := os.Getpid()
	if err := WritePID(name, me); err != nil {
		t.Fatal(err)
	}
	if err := WritePID(name, me+1); err == nil {
		t.Error("the file of a living process is overwritten")
	}
	RemovePID(name, me+1)
	if _, err := os.Stat(name); err != nil {
		t.Error("another's file is removed")
	}
	os.WriteFile(name, []byte("2147483646\n"), 0o644) // nobody
	if err := WritePID(name, me); err != nil {
		t.Error(err)
	}
	if RemovePID(name, me); !os.IsNotExist(func() error { _, err := os.Stat(name); return err }()) {
		t.Error("it is still there")
	}
}

// Only recent starts that ended badly make a loop; a file that cannot be read counts as empty.
func TestCrashLoopCountsRecentCrashes(t *testing.T) {
	l := &CrashLoop{MaxStarts: 3, Window: time.Minute}
	at := time.Unix(1000, 0)
	for i, want := range []bool{false, false, false, true, true} {
		if got := l.RecordStart(at); got != want {
			t.Errorf("start %d: in a loop %v", i, got)
		}
		at = at.Add(time.Second)
	}
	if at = at.Add(time.Hour); l.RecordStart(at) {
		t.Error("what is long ago counts")
	}
	for range 5 { // each ends well
		l.RecordCleanExit(at)
		if at = at.Add(time.Second); l.RecordStart(at) {
			t.Error("a clean end counts")
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

// Packets keep their bounds, and a socket that is sent is the same one.
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
		k, p, _, err := b.Receive(10 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if k == StateComplete {
			break
		}
		got = append(got, p...)
	}
	if !bytes.Equal(got, text) {
		t.Errorf("%d bytes of %d", len(got), len(text))
	}
	if err := a.Send(StatePart, make([]byte, MaxPacketBody+1)); err == nil {
		t.Error("too large a packet is sent")
	}
	if _, _, _, err := b.Receive(time.Millisecond); err != ErrTimeout {
		t.Error(err)
	}
	a.Close()
	if _, _, _, err := b.Receive(10 * time.Second); err == nil || err == ErrTimeout {
		t.Error(err)
	}
}
