package dns

import (
	"errors"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

const service = fakeplatform.Service

func name(s string) dnsmessage.Name { return dnsmessage.MustNewName(s + ".") }

// packResponse encodes the directory's response to the query with the given ID.
func packResponse(t testing.TB, l fakeplatform.DirectoryResponse, id uint16) []byte {
	t.Helper()
	message, err := l.Pack(id)
	if err != nil {
		t.Fatal(err)
	}
	return message
}

func TestParse(t *testing.T) {
	two := []string{"s-2", "s-1"}
	tests := []struct {
		name      string
		list      fakeplatform.DirectoryResponse
		id        uint16 // ID of the query; that of the response is 7
		wantError string
	}{
		{"complete", fakeplatform.DirectoryResponse{Workers: two}, 7, ""},
		{"empty", fakeplatform.DirectoryResponse{}, 7, ""},
		{"draining", fakeplatform.DirectoryResponse{Workers: two, Priority: 1}, 7, ""},
		{"another ID", fakeplatform.DirectoryResponse{Workers: two}, 8, "not a response"},
		{"a query", fakeplatform.DirectoryResponse{Workers: two, NotResponse: true}, 7, "not a response"},
		{"another question", fakeplatform.DirectoryResponse{Workers: two, Question: "_web._tcp.cluster.lan"}, 7, "not a response"},
		{"failure", fakeplatform.DirectoryResponse{Workers: two, RCode: dnsmessage.RCodeServerFailure}, 7, "failure"},
		{"truncated", fakeplatform.DirectoryResponse{Workers: two, Truncated: true}, 7, "truncated"},
		{"no serial", fakeplatform.DirectoryResponse{Workers: two, NoSOA: true}, 7, "no serial"},
		{"no A record", fakeplatform.DirectoryResponse{Workers: two, NoA: true}, 7, "missing"},
		{"no TXT record", fakeplatform.DirectoryResponse{Workers: two, NoTXT: true}, 7, "missing"},
		{"duplicate records", fakeplatform.DirectoryResponse{Workers: two, DuplicateRecords: true}, 7, ""},
		{"unknown priority", fakeplatform.DirectoryResponse{Workers: two, Priority: 2}, 7, "unknown priority 2"},
		{"invalid start time", fakeplatform.DirectoryResponse{Workers: two, Started: "soon"}, 7, "not a valid time"},
	}
	for _, tt := range tests {
		tt.list.Serial = 41
		message := packResponse(t, tt.list, 7)
		serial, workers, err := Parse(message, tt.id, name(service))
		if !matches(err, tt.wantError) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.wantError)
		}
		if err == nil && (serial != 41 || len(workers) != len(tt.list.Workers)) {
			t.Errorf("%s: %d, %v", tt.name, serial, workers)
		}
		for n := range message { // every truncated message is rejected
			if _, _, err := Parse(message[:n], 7, name(service)); err == nil {
				t.Errorf("%s: accepted when truncated at byte %d of %d", tt.name, n, len(message))
				break
			}
		}
	}
	if _, _, err := Parse(nil, 1, name(service)); err == nil || errors.Is(err, errUnrelated) {
		t.Errorf("empty message: %v", err)
	}
}

// matches reports whether an error contains a text. An empty text matches only a nil error.
func matches(err error, want string) bool {
	if want == "" {
		return err == nil
	}
	return err != nil && strings.Contains(err.Error(), want)
}

func TestParsedWorkerCombinesItsRecords(t *testing.T) {
	list := fakeplatform.DirectoryResponse{Serial: 41, Workers: []string{"s-2", "s-1"}, Started: "1500"}
	_, workers, err := Parse(packResponse(t, list, 7), 7, name(service))
	if err != nil {
		t.Fatal(err)
	}
	want := gateway.Worker{
		Name:    "s-1",
		Network: "tcp",
		Addr:    "10.1.0.10:7001",
		Zone:    "east",
		Group:   "2",
		Kind:    "std",
		State:   scheduler.Ready,
		Size:    4,
		Started: time.UnixMilli(1500),
	}
	if len(workers) != 2 || workers[0] != want {
		t.Errorf("%+v, want %+v first", workers, want)
	}
}

// A worker may be listed twice with the same data. It is draining if either record says so.
func TestWorkerListedTwice(t *testing.T) {
	tests := []struct {
		name      string
		change    func(*dnsmessage.SRVResource) // applied to one of the two records
		wantState scheduler.WorkerState
		wantError string
	}{
		{"identical", func(*dnsmessage.SRVResource) {}, scheduler.Ready, ""},
		{"ready and draining", func(r *dnsmessage.SRVResource) { r.Priority = 1 }, scheduler.Draining, ""},
		{"different ports", func(r *dnsmessage.SRVResource) { r.Port++ }, 0, "listed twice"},
		{"different sizes", func(r *dnsmessage.SRVResource) { r.Weight = 80 }, 0, "listed twice"},
	}
	for _, tt := range tests {
		for _, changed := range []int{0, 1} { // each of the two records
			var message dnsmessage.Message
			list := fakeplatform.DirectoryResponse{Serial: 41, Workers: []string{"s-1"}, DuplicateRecords: true}
			if err := message.Unpack(packResponse(t, list, 7)); err != nil {
				t.Fatal(err)
			}
			tt.change(message.Answers[changed].Body.(*dnsmessage.SRVResource))
			packed, err := message.Pack()
			if err != nil {
				t.Fatal(err)
			}
			_, workers, err := Parse(packed, 7, name(service))
			if !matches(err, tt.wantError) {
				t.Errorf("%s: error %v, want %q", tt.name, err, tt.wantError)
			}
			if err == nil && (len(workers) != 1 || workers[0].State != tt.wantState) {
				t.Errorf("%s: %+v", tt.name, workers)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(packResponse(f, fakeplatform.DirectoryResponse{Serial: 41, Workers: []string{"a", "b"}}, 7))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, workers, err := Parse(in, 7, name(service))
		if err != nil {
			return
		}
		for _, w := range workers {
			if w.Name == "" || w.Zone == "" || w.State == 0 {
				t.Errorf("%x: %+v", in, w)
			}
		}
	})
}
