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

func decode(r io.Reader) (message, error) {
	d := decoder{r: bufio.NewReaderSize(r, 16), maxBody: 100}
	var m message
	err := d.next(&m)
	return m, err
}

// The decoder must read a message to its end and report why it is invalid, if it is, or fail with
// errMalformed. It must not accept a truncated message.
func TestDecode(t *testing.T) {
	long := strings.Repeat("x", 300)
	complete := newRequest(7, "call", withFields(), []byte{})
	noParams := newRequest(7, "call")[:8] // up to the method
	after := func(head []byte, rest ...byte) []byte { return append(bytes.Clone(head), rest...) }
	number := map[string]any{"limit": 1500}
	nested := map[string]any{"limit": []any{1, map[string]any{"a": 2.5}}}
	twice := after(noParams, 0x91, 0x82, 0xa3, 't', 'x', 'n', 0xa1, 'a', 0xa3, 't', 'x', 'n', 0xa1, 'b')
	hugeBody := after(complete[:len(complete)-2], 0xc6, 0xff, 0xff, 0xff, 0xff)
	hugeMap := after(noParams, 0x91, 0xdf, 0xff, 0xff, 0xff, 0xff)
	hugeArray := after(noParams, 0xdd, 0xff, 0xff, 0xff, 0xff)
	deepArrays := after(noParams, bytes.Repeat([]byte{0x91}, 50)...)
	endless := after(after(noParams, 0x91, 0xdc, 0, 0xff), bytes.Repeat([]byte{0xd9, 0xff}, 20000)...)
	tests := []struct {
		name      string
		in        []byte
		fault     string // expected of a message that is read to its end
		malformed bool   // the end of the message cannot be found
	}{
		{"a call", newRequest(7, "call", withFields(), []byte("body")), "", false},
		{"no body", newRequest(7, "call", withFields()), "", false},
		{"empty body", newRequest(7, "call", withFields(), []byte{}), "", false},
		{"wide numbers", newRequest(uint64(1<<32-1), "call", withFields(), []byte("body")), "", false},
		{"status", newRequest(8, "status", map[string]string{}), "", false},
		{"withdraw", fakeplatform.CancelNotification(7, 8), "", false},
		{"fields that are not a map", newRequest(7, "call", "x", []byte("body")), "fields must be a map", false},
		{"a body that is not binary", newRequest(7, "call", withFields(), 17), "the body must be bin", false},
		{"a field that is a number", newRequest(7, "call", number, []byte("b")), "a field that is no string", false},
		{"a field that is nested", newRequest(7, "call", nested, []byte("b")), "a field that is no string", false},
		{"three params", newRequest(7, "call", withFields(), []byte("b"), 3), "params must be fields and a body", false},
		{"no params", fakeplatform.Pack([]any{0, 7, "call", []any{}}), "params must be fields and a body", false},
		{"a field twice", twice, "a field given twice", false},
		{"withdraw of a string", fakeplatform.CancelNotification("x"), "a msgid that is no number", false},
		{"a body of 101 bytes", newRequest(7, "call", withFields(), make([]byte, 101)), "", true},
		{"a body of 4 GB", hugeBody, "", true},
		{"a long field", newRequest(7, "call", map[string]string{"txn": long}), "", true},
		{"a long method", newRequest(7, long, withFields()), "", true},
		{"a map of 4 billion", hugeMap, "", true},
		{"an array of 4 billion", hugeArray, "", true},
		{"deep arrays", deepArrays, "", true},
		{"endless fields", endless, "", true},
		{"a negative msgid", newRequest(-1, "call", withFields()), "", true},
		{"a msgid over 32 bits", newRequest(uint64(1<<32), "call", withFields()), "", true},
		{"a msgid that is a string", newRequest("7", "call", withFields()), "", true},
		{"a response", fakeplatform.Pack([]any{1, 7, nil, nil}), "", true},
		{"a request of three", fakeplatform.Pack([]any{0, 7, "call"}), "", true},
		{"a notification of four", fakeplatform.Pack([]any{2, 7, "call", []any{}}), "", true},
		{"a map", fakeplatform.Pack(withFields()), "", true},
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n"), "", true},
		{"0xc1, which MessagePack does not use", after(noParams, 0x91, 0xc1), "", true},
	}
	for _, tt := range tests {
		for _, oneByteReads := range []bool{false, true} {
			r := io.Reader(bytes.NewReader(append(tt.in, "rest"...)))
			if oneByteReads {
				r = iotest.OneByteReader(r)
			}
			m, err := decode(r)
			if tt.malformed != errors.Is(err, errMalformed) || !tt.malformed && err != nil {
				t.Errorf("%s, one-byte reads %v: error %v, want errMalformed: %v",
					tt.name, oneByteReads, err, tt.malformed)
			}
			if err == nil && m.fault != tt.fault {
				t.Errorf("%s, one-byte reads %v: fault %q, want %q", tt.name, oneByteReads, m.fault, tt.fault)
			}
		}
		for n := range tt.in { // truncated at every byte
			if _, err := decode(bytes.NewReader(tt.in[:n])); err == nil {
				t.Errorf("%s: accepted when truncated at byte %d of %d", tt.name, n, len(tt.in))
				break
			}
		}
	}
}

func TestDecodeFields(t *testing.T) {
	m, err := decode(bytes.NewReader(newRequest(7, "call", withFields(), []byte("body"))))
	want := fields{
		txn:    "9b1f03aa5c7e2d41",
		limit:  "1500",
		team:   "acme",
		unique: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		item:   "7f3a9c21e0b4d655",
		attrs:  "memory_mb:512;lanes:2;load_ms:640",
	}
	if err != nil || m.id != 7 || m.method != "call" || m.fields != want || string(m.body) != "body" {
		t.Errorf("decoded %+v, error %v, want fields %+v", m, err, want)
	}
}

// FuzzDecode checks every request that the decoder accepts against another implementation of
// MessagePack, which must decode it to the same values.
func FuzzDecode(f *testing.F) {
	f.Add(newRequest(7, "call", withFields(), []byte("body")))
	f.Add(fakeplatform.CancelNotification(7))
	f.Add(newRequest(uint64(1<<31), "call", map[string]any{"limit": 1500, "x": []any{1.5, nil, true}}, []byte("b")))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := decoder{r: bufio.NewReader(bytes.NewReader(in)), maxBody: 100}
		var m message
		if d.next(&m) != nil || m.fault != "" || m.kind != typeRequest {
			return
		}
		var v []any
		dec := msgpack.NewDecoder(bytes.NewReader(in))
		dec.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() })
		if err := dec.Decode(&v); err != nil {
			t.Fatalf("%x: accepted, but the other decoder fails: %v", in, err)
		}
		params := v[3].([]any)
		if v[2] != m.method || len(params) == 2 && !bytes.Equal(params[1].([]byte), m.body) {
			t.Fatalf("%x: decoded %+v, the other decoder %v", in, m, v)
		}
		for name, got := range map[string]string{"txn": m.fields.txn, "item": m.fields.item, "limit": m.fields.limit} {
			want, _ := params[0].(map[any]any)[name].(string)
			if got != want {
				t.Fatalf("%x: %s is %q, by the other decoder %q", in, name, got, want)
			}
		}
	})
}
