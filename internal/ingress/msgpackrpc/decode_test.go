package msgpackrpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/vmihailenco/msgpack/v5"

	"kitehub/internal/harness/fakeplatform"
)

var request, with, txn = fakeplatform.Request, fakeplatform.Fields, fakeplatform.Txn

func decode(r io.Reader) (message, error) {
	d := decoder{r: bufio.NewReaderSize(r, 16), mostBody: 100}
	var m message
	err := d.next(&m)
	return m, err
}

func TestDecode(t *testing.T) {
	long := strings.Repeat("x", 300)
	tests := []struct {
		name  string
		in    []byte
		fault string // of a message whose end was found
		frame bool   // its end was not
	}{
		{"a call", request(7, "call", with(), []byte("body")), "", false},
		{"no body", request(7, "call", with()), "", false},
		{"empty body", request(7, "call", with(), []byte{}), "", false},
		{"wide numbers", request(uint64(1<<32-1), "call", with(), []byte("body")), "", false},
		{"status", request(8, "status", map[string]string{}), "", false},
		{"withdraw", fakeplatform.Withdraw(7, 8), "", false},
		{"fields that are no map", request(7, "call", "x", []byte("body")), "fields must be a map", false},
		{"a body that is no bin", request(7, "call", with(), 17), "the body must be bin", false},
		{"a field that is a number", request(7, "call", map[string]any{"limit": 1500}, []byte("b")), "a field that is no string", false},
		{"a field that is a tree", request(7, "call", map[string]any{"limit": []any{1, map[string]any{"a": 2.5}}}, []byte("b")), "a field that is no string", false},
		{"three params", request(7, "call", with(), []byte("b"), 3), "params must be fields and a body", false},
		{"no params", fakeplatform.Pack([]any{0, 7, "call", []any{}}), "params must be fields and a body", false},
		{"a field twice", append(request(7, "call")[:8], 0x91, 0x82, 0xa3, 't', 'x', 'n', 0xa1, 'a', 0xa3, 't', 'x', 'n', 0xa1, 'b'), "a field given twice", false},
		{"withdraw of a word", fakeplatform.Withdraw("x"), "a msgid that is no number", false},
		{"a body of 101 bytes", request(7, "call", with(), make([]byte, 101)), "", true},
		{"a body of 4 GB", append(request(7, "call", with(), []byte{})[:len(request(7, "call", with(), []byte{}))-2], 0xc6, 0xff, 0xff, 0xff, 0xff), "", true},
		{"a long field", request(7, "call", map[string]string{"txn": long}), "", true},
		{"a long method", request(7, long, with()), "", true},
		{"a map of 4 billion", append(request(7, "call")[:8], 0x91, 0xdf, 0xff, 0xff, 0xff, 0xff), "", true},
		{"an array of 4 billion", append(request(7, "call")[:8], 0xdd, 0xff, 0xff, 0xff, 0xff), "", true},
		{"deep arrays", append(request(7, "call")[:8], bytes.Repeat([]byte{0x91}, 50)...), "", true},
		{"endless fields", append(request(7, "call")[:8], append([]byte{0x91, 0xdc, 0, 0xff}, bytes.Repeat([]byte{0xd9, 0xff}, 20000)...)...), "", true},
		{"a negative msgid", request(-1, "call", with()), "", true},
		{"a msgid over 32 bits", request(uint64(1<<32), "call", with()), "", true},
		{"a msgid that is a word", request("7", "call", with()), "", true},
		{"an answer", fakeplatform.Pack([]any{1, 7, nil, nil}), "", true},
		{"a request of three", fakeplatform.Pack([]any{0, 7, "call"}), "", true},
		{"a notification of four", fakeplatform.Pack([]any{2, 7, "call", []any{}}), "", true},
		{"a map", fakeplatform.Pack(with()), "", true},
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n"), "", true},
		{"0xc1, which is never used", append(request(7, "call")[:8], 0x91, 0xc1), "", true},
	}
	for _, tt := range tests {
		for _, one := range []bool{false, true} {
			r := io.Reader(bytes.NewReader(append(tt.in, "rest"...)))
			if one {
				r = iotest.OneByteReader(r)
			}
			m, err := decode(r)
			if tt.frame != errors.Is(err, errFrame) || !tt.frame && err != nil {
				t.Errorf("%s, single bytes %v: error %v, want one of framing: %v", tt.name, one, err, tt.frame)
			}
			if err == nil && m.fault != tt.fault {
				t.Errorf("%s, single bytes %v: fault %q, want %q", tt.name, one, m.fault, tt.fault)
			}
		}
		for n := range tt.in { // cut anywhere
			if _, err := decode(bytes.NewReader(tt.in[:n])); err == nil {
				t.Errorf("%s: taken whole when cut at byte %d of %d", tt.name, n, len(tt.in))
				break
			}
		}
	}
}

func TestDecodeFields(t *testing.T) {
	m, err := decode(bytes.NewReader(request(7, "call", with(), []byte("body"))))
	want := fields{txn: "9b1f03aa5c7e2d41", limit: "1500", team: "acme", unique: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", item: "7f3a9c21e0b4d655",
		attrs: "memory_mb:512;lanes:2;load_ms:640"}
	if err != nil || m.id != 7 || m.method != "call" || m.fields != want || string(m.body) != "body" {
		t.Errorf("%+v, %v", m, err)
	}
}

// FuzzDecode holds the decoder against another one: what ours takes as a request, theirs reads the same.
func FuzzDecode(f *testing.F) {
	f.Add(request(7, "call", with(), []byte("body")))
	f.Add(fakeplatform.Withdraw(7))
	f.Add(request(uint64(1<<31), "call", map[string]any{"limit": 1500, "x": []any{1.5, nil, true}}, []byte("b")))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := decoder{r: bufio.NewReader(bytes.NewReader(in)), mostBody: 100}
		var m message
		if d.next(&m) != nil || m.fault != "" || m.kind != typeRequest {
			return
		}
		var v []any
		dec := msgpack.NewDecoder(bytes.NewReader(in))
		dec.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() })
		if err := dec.Decode(&v); err != nil {
			t.Fatalf("%x: ours takes it, theirs does not: %v", in, err)
		}
		params := v[3].([]any)
		if v[2] != m.method || len(params) == 2 && !bytes.Equal(params[1].([]byte), m.body) {
			t.Fatalf("%x: ours %+v, theirs %v", in, m, v)
		}
		for name, got := range map[string]string{"txn": m.fields.txn, "item": m.fields.item, "limit": m.fields.limit} {
			want, _ := params[0].(map[any]any)[name].(string)
			if got != want {
				t.Fatalf("%x: %s is %q, theirs %q", in, name, got, want)
			}
		}
	})
}
