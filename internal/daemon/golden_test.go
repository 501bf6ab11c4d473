package daemon

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"kitehub/internal/goldenfile"
)

// The crash-loop file is written at one start of the process and read at the next, which may run
// another version of the program.
func TestStoredStartsKeepTheirFormat(t *testing.T) {
	starts := []Start{
		{At: time.Date(2026, 3, 4, 5, 6, 7, 890, time.UTC), Clean: true},
		{At: time.Date(2026, 3, 4, 5, 6, 8, 0, time.FixedZone("", 3600))},
	}
	for name, starts := range map[string][]Start{"starts.json": starts, "starts_none.json": nil} {
		stored := filepath.Join(t.TempDir(), name)
		loop := CrashLoop{Starts: starts}
		if err := loop.Save(stored); err != nil {
			t.Fatal(err)
		}
		written, err := os.ReadFile(stored)
		if err != nil {
			t.Fatal(err)
		}
		goldenfile.Compare(t, name, written)

		read := CrashLoop{Starts: []Start{{Clean: true}}}
		read.Load(filepath.Join("testdata", "golden", name))
		if len(read.Starts) != len(starts) {
			t.Fatalf("%s: read %v, want %v", name, read.Starts, starts)
		}
		for i := range starts {
			if !read.Starts[i].At.Equal(starts[i].At) || read.Starts[i].Clean != starts[i].Clean {
				t.Errorf("%s: read %v, want %v", name, read.Starts, starts)
			}
		}
	}
}

// Packets are exchanged between two versions of the program: one byte for the kind, then the body.
// A long state is sent in parts.
func TestPacketsKeepTheirFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	listener, err := ListenLinks(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sender, err := DialLink(path)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	receiver, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	receiver.SetReadDeadline(time.Now().Add(10 * time.Second))

	kinds := []PacketKind{Hello, Sockets, TakeoverRequest, StatePart, StateComplete, StateTaken, Grant, Conn, Answer, Done, Abort}
	var written []byte
	recordPacket := func(name string) {
		packet := make([]byte, 2*MaxPacketBody)
		n, err := receiver.Read(packet)
		if err != nil {
			t.Fatal(err)
		}
		line := fmt.Sprintf("%s: %q", name, packet[:n])
		if n > 100 {
			line = fmt.Sprintf("%s: %q and %d bytes more", name, packet[:10], n-10)
		}
		written = append(written, line+"\n"...)
	}
	// The names that the golden file uses; some differ from those of the constants.
	names := []string{"Hello", "Sockets", "Wish", "Part", "Whole", "Taken", "Go", "Conn", "Answer", "Done", "Abort"}
	for i, kind := range kinds {
		if err := sender.Send(kind, []byte("{\x00}")); err != nil {
			t.Fatal(err)
		}
		recordPacket(names[i])
		if err := sender.Send(kind, nil); err != nil {
			t.Fatal(err)
		}
		recordPacket(names[i] + " alone")
	}
	for _, size := range []int{0, MaxPacketBody, MaxPacketBody + 1} {
		if err := sender.SendState(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		for sent := 0; sent == 0 || sent < size; sent += MaxPacketBody {
			recordPacket(fmt.Sprintf("text of %d bytes", size))
		}
	}
	goldenfile.Compare(t, "packets.txt", written)
}

// Packets that earlier versions of the program wrote are read.
func TestPacketsOfOtherVersionsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "h")
	listener, err := ListenLinks(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	writer, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	accepted, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	link := NewLink(accepted)
	defer link.Close()
	for _, packet := range []string{"H", "L", "R", "S{}", "E", "T", "G", "CGET /", `A{"Unkept":true}`, "D", "X"} {
		if _, err := writer.Write([]byte(packet)); err != nil {
			t.Fatal(err)
		}
		kind, body, _, err := link.Receive(10 * time.Second)
		if err != nil || !reflect.DeepEqual(append([]byte{byte(kind)}, body...), []byte(packet)) {
			t.Errorf("%q is read as kind %q with body %q: %v", packet, kind, body, err)
		}
	}
}

// Every stored or sent field has an explicit JSON key: renaming the field does not change the
// format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, Start{})
}
