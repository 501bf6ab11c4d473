package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"kitehub/scheduler"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns the records with the header of a batch before them.
func frame(records []byte, count byte) []byte {
	n := headerSize + len(records)
	return append([]byte{0x40, 0xc0, 0x6e, 0x20, 0, 0, 0, 0, 0, 0, byte(n >> 8), byte(n), 0, 0, 0, count}, records...)
}

const worker = scheduler.WorkerID(0x0a124a071f43)

var events = []struct {
	name string
	hex  string
	want any
}{
	{"JOB_IN", `02 00000003 000121185d3a91c4 0000 00000000 0000007c55d20a01 406e000000000000 4028000000000000
		43c00000 40000000 00000000 01`,
		scheduler.Arrival{Request: 0x121185d3a91c4, Function: 0x7c55d20a01, TimeLeft: 240 * time.Millisecond,
			RunTimeHint: 12 * time.Millisecond, HasRunTimeHint: true, MemoryMB: 384, Lanes: 2}},
	{"ELAPSED", `06 00000003 000000000000004d`, scheduler.Timer{Token: 0x4d}},
	{"HANGUP", `05 00000003 000dbb200e6f2b19`, scheduler.ClientClosed{Request: 0xdbb200e6f2b19}},
	{"STREAMING", `03 00000003 000121185d3a91c4 4022800000000000 0a124a07 1f43 00`,
		scheduler.ResponseStarted{Request: 0x121185d3a91c4, Took: 9250 * time.Microsecond, Worker: worker}},
	{"RETURNED", `04 00000003 000121185d3a91c4 00 0a124a07 1f43 0001 4032800000000000 01 0a 01 40000000`,
		scheduler.AttemptEnded{Request: 0x121185d3a91c4, Worker: worker, Outcome: scheduler.OK,
			Took: 18500 * time.Microsecond, Complete: true, Note: scheduler.StartedLoad, SameFunction: 1, LoadReport: []float64{2}}},
	{"PROBE_DONE", `07 00000003 0001 0a124a07 1f43 3ff8000000000000 02 4040000040e00000`,
		scheduler.ProbeEnded{Worker: worker, Outcome: scheduler.OK, Took: 1500 * time.Microsecond, LoadReport: []float64{3, 7}}},
	{"MAIL", `08 00000003 00000002 0004 68692037`, scheduler.PeerMessageReceived{From: 2, Payload: []byte("hi 7")}},
	{"LOAD_DONE", `0a 00000003 0a124a07 1f43 0000007c55d20a01 0001 4084000000000000 01`,
		scheduler.LoadOrderEnded{Worker: worker, Function: 0x7c55d20a01, Outcome: scheduler.OK, Took: 640 * time.Millisecond,
			Copies: 1}},
	{"HALT", `09 00000003`, Halt{}},
	{"PROVISION", `00 00000003 0000000000000009 00000002 7b7d`, Provision{Seed: 9, Settings: []byte("{}")}},
	{"FLEET failed", `01 00000003 03 00000007 0000`, scheduler.ListUpdate{Kind: scheduler.ListFailed, Version: 7}},
}

func TestEachEventIsDecoded(t *testing.T) {
	for _, tt := range events {
		d := NewDecoder(bytes.NewReader(frame(unhex(t, tt.hex), 1)))
		b, err := d.Read()
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if len(b.Records) != 1 || b.Records[0].Instance != 3 || !reflect.DeepEqual(b.Records[0].Event, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, b.Records, tt.want)
		}
		if _, err := d.Read(); err != io.EOF {
			t.Errorf("%s: after the last frame: %v, want io.EOF", tt.name, err)
		}
	}
}

// A FLEET record refers to the latest POOL record with its list number, also where one batch uses
// the number twice.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	entry := func(id byte) string {
		return `3f800000 0000000000000000 0001 0a0000` + hex.EncodeToString([]byte{id}) + ` 1f43 03 01 0002`
	}
	fleet := ` 01 00000003 01 00000029 0000 `
	b, err := NewDecoder(bytes.NewReader(frame(unhex(t, `0b 0000 00000001 `+entry(1)+fleet+`0b 0000 00000001 `+
		entry(2)+fleet), 4))).Read()
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []scheduler.WorkerID{0x0a0000011f43, 0x0a0000021f43} {
		want := scheduler.ListUpdate{Kind: scheduler.FullList, Version: 0x29, Workers: []scheduler.WorkerInfo{{ID: id, Size: 1, Group: 1,
			State: scheduler.Ready, Kind: 1, Zone: 2}}}
		if got := b.Records[i].Event; !reflect.DeepEqual(got, want) {
			t.Errorf("list %d: %+v, want %+v", i, got, want)
		}
	}
}

func TestEachActionIsEncoded(t *testing.T) {
	tests := []struct {
		action scheduler.Action
		hex    string
	}{
		{scheduler.Send{Request: 0x121185d3a91c4, Worker: worker, Timeout: 80 * time.Millisecond},
			`00 00000003 000121185d3a91c4 4054000000000000 0a124a07 1f43`},
		{scheduler.Reject{Request: 0xdbb200e6f2b19, RetryAfter: 250 * time.Millisecond},
			`01 00000003 000dbb200e6f2b19 406f400000000000`},
		{scheduler.Fail{Request: 0xdbb200e6f2b19}, `02 00000003 000dbb200e6f2b19`},
		{scheduler.Cancel{Request: 0x121185d3a91c4, Attempt: 1}, `03 00000003 000121185d3a91c4 01`},
		{scheduler.Wake{At: 8964250 * time.Microsecond, Token: 0x4d}, `04 00000003 40c1822000000000 000000000000004d`},
		{scheduler.Probe{Worker: worker}, `05 00000003 0a124a07 1f43`},
		{scheduler.CloseIdleConnections{Worker: worker}, `06 00000003 0a124a07 1f43`},
		{scheduler.PeerMessage{To: scheduler.AllControllers, Payload: []byte("hi 7")}, `07 00000003 ffff 0004 68692037`},
		{scheduler.Log{Text: "two servers known"}, `08 00000003 0011 74776f2073657276657273206b6e6f776e`},
		{scheduler.WatchEndpoints{On: true}, `0a 00000003 01`},
		{scheduler.FetchEndpoints{}, `0b 00000003`},
		{scheduler.LoadOrder{Worker: worker, Function: 0x7c55d20a01, Copies: 1}, `0c 00000003 0a124a07 1f43 0000007c55d20a01 01`},
		{scheduler.Unload{Worker: worker, Function: 0x7c55d20a01}, `0d 00000003 0a124a07 1f43 0000007c55d20a01`},
	}
	for _, tt := range tests {
		var e Encoder
		e.Reset()
		if err := e.Action(3, tt.action); err != nil {
			t.Errorf("%T: %v", tt.action, err)
		}
		if got, want := e.Bytes()[8:], unhex(t, tt.hex); !bytes.Equal(got, want) {
			t.Errorf("%T: %x, want %x", tt.action, got, want)
		}
		if e.Bytes()[7] != 1 || int(e.Bytes()[3]) != len(e.Bytes()) {
			t.Errorf("%T: header %x", tt.action, e.Bytes()[:8])
		}
	}
}

// A frame that is truncated at any byte gives an error: it must not block, panic or look like the
// end of the input.
func TestTruncatedFrameIsAnError(t *testing.T) {
	for _, tt := range events {
		complete := frame(unhex(t, tt.hex), 1)
		for n := 1; n < len(complete); n++ {
			if _, err := NewDecoder(bytes.NewReader(complete[:n])).Read(); err == nil || err == io.EOF {
				t.Errorf("%s cut at %d: error %v", tt.name, n, err)
			}
			short := append([]byte(nil), complete[:n]...)
			if n >= headerSize {
				short[11], short[10] = byte(n), byte(n>>8)
				if _, err := NewDecoder(bytes.NewReader(short)).Read(); err == nil || errors.Is(err, io.EOF) {
					t.Errorf("%s with length %d: error %v", tt.name, n, err)
				}
			}
		}
	}
}

func TestMalformedRecordIsNamedWithItsOffset(t *testing.T) {
	tests := []struct{ name, hex, want string }{
		{"unknown code", `63 00000003`, "offset 16: unknown record code 99"},
		{"list without POOL", `01 00000003 01 00000029 0005`, "FLEET, offset 26: list 5 has no POOL"},
		{"entries past the frame", `0b 0000 ffffffff`, "POOL, offset 19: count of 4294967295 entries"},
		{"settings past the frame", `00 00000003 0000000000000009 ffffffff`, "PROVISION, offset 33"},
		{"unknown outcome", `07 00000003 0063 0a124a07 1f43 3ff8000000000000 00`, "PROBE_DONE, offset 21"},
	}
	for _, tt := range tests {
		_, err := NewDecoder(bytes.NewReader(frame(unhex(t, tt.hex), 1))).Read()
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one that contains %q", tt.name, err, tt.want)
		}
	}
}

func TestDurationRoundTrip(t *testing.T) {
	for us := int64(0); us < 1e12; us = us*3 + 1 {
		d := time.Duration(us) * time.Microsecond
		if got := ToDuration(FromDuration(d)); got != d {
			t.Errorf("%v is decoded as %v", d, got)
		}
	}
}

func TestSettingsAreMapped(t *testing.T) {
	s, err := ParseSettings([]byte(`{"balancers": 3, "new": [1], "tickMs": 2.5, "membershipMode": "ask", "classes":
		[{"effect": "token", "keyScope": "cell", "giveUpMs": 4000, "targetMs": 600, "windowMs": 5000, "worth": 1}],
		"domain": {"onMiss": "miss", "idleLifeMs": 8500}, "limits": {"mostTries": 3}, "report": {"via": "probe",
		"fields": ["backlog", "x1"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Controllers != 3 || s.Tick != 2500*time.Microsecond || !s.PollEndpoints {
		t.Errorf("settings %+v", s)
	}
	if c.Idempotency != scheduler.IdempotentWithKey || c.DedupScope != scheduler.SameGroup || c.DedupWindow != 5*time.Second {
		t.Errorf("class %+v", c)
	}
	if s.Loading.LoadsOnMiss || !s.Loading.OnMissKnown {
		t.Errorf("loading %+v", s.Loading)
	}
	report := []scheduler.LoadReportField{scheduler.FieldQueue, scheduler.FieldX1}
	if s.LoadReportSource != scheduler.LoadReportsInProbes || !reflect.DeepEqual(s.LoadReportFields, report) {
		t.Errorf("reports %v in %v", s.LoadReportFields, s.LoadReportSource)
	}
	if _, err := ParseSettings([]byte("{")); err == nil {
		t.Error("invalid JSON: no error")
	}
}

func FuzzDecode(f *testing.F) {
	for _, tt := range events {
		b, _ := hex.DecodeString(strings.Join(strings.Fields(tt.hex), ""))
		f.Add(frame(b, 1))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := NewDecoder(nil).Decode(b); err == nil && len(b) < headerSize {
			t.Error("a frame shorter than its header was read")
		}
	})
}
