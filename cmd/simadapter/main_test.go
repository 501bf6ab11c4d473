package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsText = `{"balancers": 1, "tickMs": 2, "classes": [{"effect": "pure", "giveUpMs": 4000, "targetMs": 600,
	"worth": 1}], "domain": {"onMiss": "load", "idleLifeMs": 8500}, "limits": {"mostTries": 3, "dialTimeoutMs": 250}}`

// bigEndian returns the concatenated big-endian encodings of its arguments.
func bigEndian(parts ...any) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func provision(instance uint32, text string) []byte {
	return bigEndian(byte(0), instance, uint64(1), uint32(len(text)), []byte(text))
}

func batch(ms float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(bigEndian(ms, uint32(16+len(body)), uint32(len(records))), body...)
}

var (
	worker = append(bigEndian(byte(11), uint16(0), uint32(1), float32(1), float64(0), uint16(0), uint32(9), uint16(80),
		byte(3)), bigEndian(byte(0), uint16(0))...)
	fleet = bigEndian(byte(1), uint32(3), byte(2), uint32(1), uint16(0))
	job   = bigEndian(byte(2), uint32(3), uint64(77), uint16(0), uint32(0), uint64(5), float64(3000), float64(0), float32(1),
		float32(2), float32(0), byte(0))
	halt = bigEndian(byte(9), uint32(3))
)

// codes returns the record code of the first action in each response, and -1 for a response without
// one.
func codes(t *testing.T, out []byte) (l []int) {
	t.Helper()
	for len(out) > 0 {
		n := binary.BigEndian.Uint32(out)
		if n > 8 {
			l = append(l, int(out[8]))
		} else {
			l = append(l, -1)
		}
		out = out[n:]
	}
	return l
}

func TestResponsesToBatches(t *testing.T) {
	tests := []struct {
		name  string
		in    [][]byte
		codes []int
		err   string
	}{
		{"empty batch", [][]byte{batch(1)}, []int{-1}, ""},
		{"a request is sent", [][]byte{batch(1, provision(3, settingsText), worker, fleet), batch(2, job)}, []int{-1, 0}, ""},
		{"a new instance has no state of the halted one", [][]byte{batch(1, provision(3, settingsText), worker, fleet, job, halt,
			provision(3, settingsText)), batch(2, job)}, []int{-1, 4}, ""},
		{"rejected settings", [][]byte{batch(1, provision(3, "{}"))}, []int{9}, ""},
		{"unknown instance", [][]byte{batch(1, job)}, nil, "JOB_IN, offset 16: instance 3 does not exist"},
		{"invalid JSON", [][]byte{batch(1, provision(3, "]"))}, nil, "PROVISION"},
		{"short frame", [][]byte{batch(math.Pi)[:15]}, nil, "short frame"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		err := serve(bytes.NewReader(bytes.Join(tt.in, nil)), &out)
		if tt.err == "" && err != nil || tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.err)
		}
		got := codes(t, out.Bytes())
		if len(got) != len(tt.codes) {
			t.Errorf("%s: response codes %v, want %v", tt.name, got, tt.codes)
			continue
		}
		for i := range got {
			if got[i] != tt.codes[i] {
				t.Errorf("%s: response codes %v, want %v", tt.name, got, tt.codes)
			}
		}
	}
}
