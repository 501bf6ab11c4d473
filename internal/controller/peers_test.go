package controller

import (
	"net"
	"testing"
	"time"

	"kitehub/scheduler"
)

// Peer messages are sent without a header if the address alone identifies the sender, and after the
// sender's index otherwise. A message that is too long is not sent, and a message from an unknown
// address is rejected.
func TestPeersPrefixIndexAndRejectUnknownSenders(t *testing.T) {
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
		p.Send(0, make([]byte, maxMessageBytes+1))
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
		if sender, ok := p.sender([]byte("\x00\x00\x00\x00word"), from); sender != 0 || !ok {
			t.Errorf("indexed %v: got sender %d, %v, want 0, true", indexed, sender, ok)
		}
		if _, ok := p.sender([]byte("\x00\x00\x00\x01word"), &net.UDPAddr{IP: from.IP, Port: from.Port + 1}); ok {
			t.Errorf("indexed %v: a message from an unknown address is accepted", indexed)
		}
	}
}
