package controller

import (
	"net"
	"testing"
	"time"

	"kitehub/scheduler"
)

// Messages are sent as they are where the address alone identifies the sender, behind its index elsewhere; one that is
// too long is not sent, and one of a stranger is rejected.
func TestPeersPrefixTheIndexAndRejectStrangers(t *testing.T) {
	for _, indexed := range []bool{false, true} {
		other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		p, err := ListenPeers(2, "127.0.0.1:0", map[int]string{0: other.LocalAddr().String(), 1: "127.0.0.1:9"}, indexed)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		p.Send(0, make([]byte, maxMessage+1))
		p.Send(scheduler.AllControllers, []byte("word"))
		want := "word"
		if indexed {
			want = "\x00\x00\x00\x02word"
		}
		b := make([]byte, 1000)
		other.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, _, err := other.ReadFromUDP(b); err != nil || string(b[:n]) != want {
			t.Errorf("indexed %v: %q, %v, want %q", indexed, b[:n], err, want)
		}
		from := other.LocalAddr().(*net.UDPAddr)
		if who, ok := p.sender([]byte("\x00\x00\x00\x00word"), from); who != 0 || !ok {
			t.Errorf("indexed %v: from %d, %v", indexed, who, ok)
		}
		if _, ok := p.sender([]byte("\x00\x00\x00\x01word"), &net.UDPAddr{IP: from.IP, Port: from.Port + 1}); ok {
			t.Errorf("indexed %v: a stranger's message is accepted", indexed)
		}
	}
}
