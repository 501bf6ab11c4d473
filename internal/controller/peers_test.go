package controller

import (
	"net"
	"testing"
	"time"

	"kitehub/scheduler"
)

// Words go as they are where the address alone tells who sends, behind the sender's number elsewhere; one that is too long
// does not go at all.
func TestPeersPrefixTheIndexAndRejectStrangers(t *testing.T) {
	for _, numbered := range []bool{false, true} {
		other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		p, err := ListenPeers(2, "127.0.0.1:0", map[int]string{0: other.LocalAddr().String(), 1: "127.0.0.1:9"}, numbered)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		p.Send(0, make([]byte, maxMessage+1))
		p.Send(scheduler.Everyone, []byte("word"))
		want := "word"
		if numbered {
			want = "\x00\x00\x00\x02word"
		}
		b := make([]byte, 1000)
		other.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, _, err := other.ReadFromUDP(b); err != nil || string(b[:n]) != want {
			t.Errorf("numbered %v: %q, %v, want %q", numbered, b[:n], err, want)
		}
		from := other.LocalAddr().(*net.UDPAddr)
		if who, ok := p.sender([]byte("\x00\x00\x00\x00word"), from); who != 0 || !ok {
			t.Errorf("numbered %v: from %d, %v", numbered, who, ok)
		}
		if _, ok := p.sender([]byte("\x00\x00\x00\x01word"), &net.UDPAddr{IP: from.IP, Port: from.Port + 1}); ok {
			t.Errorf("numbered %v: a stranger's word is taken", numbered)
		}
	}
}
