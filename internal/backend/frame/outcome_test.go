package frame

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// A call that may have run must not be reported as one that did not, or a retry would run it twice.
func TestOutcomeOfEachEnd(t *testing.T) {
	const id = 0x9b1f03aa5c7e2d41
	frame := fakeplatform.Response
	write := func(parts ...[]byte) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			c.Write(bytes.Join(parts, nil))
			readUntilClosed(c)
		}
	}
	corrupted := func(corrupt func([]byte)) []byte {
		b := frame(codeOK, id, "note=resident", "answer")
		corrupt(b)
		return b
	}
	ok := frame(codeOK, id, "note=booted", "answer")
	singleBytes := func(c *net.TCPConn) {
		for i := range ok {
			c.Write(ok[i : i+1])
		}
		readUntilClosed(c)
	}
	wrongChecksum := corrupted(func(b []byte) { b[len(b)-1] ^= 1 })
	changedBody := corrupted(func(b []byte) { b[headerSize+15] ^= 1 })
	wrongMagic := corrupted(func(b []byte) { b[0] = magicCommand })
	hugeBody := corrupted(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) })
	hugeFields := corrupted(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 0xffff) })
	tests := []struct {
		name    string
		respond func(*net.TCPConn) // responds to the call; the connection is closed afterwards
		want    scheduler.Outcome
	}{
		{"OK", write(ok), scheduler.OK},
		{"OK in single bytes", singleBytes, scheduler.OK},
		{"not loaded", write(frame(codeNotLoaded, id, "note=boot_error", "")), scheduler.NotLoaded},
		{"at capacity", write(frame(codeAtCapacity, id, "company=9", "")), scheduler.AtCapacity},
		{"already ended", write(frame(codeAlreadyEnded, id, "", "")), scheduler.NotStarted},
		{"error", write(frame(codeError, id, "", "")), scheduler.Error},
		{"OK twice", write(ok, ok), scheduler.OK},
		{"unknown ID before the response", write(frame(codeAtCapacity, 5, "", ""), ok), scheduler.OK},
		{"unexpected pong before the response", write(frame(codePong, id, "", ""), ok), scheduler.OK},
		{"unknown code", write(frame(71, id, "", ""), ok), scheduler.Reset},
		{"wrong checksum", write(wrongChecksum), scheduler.Reset},
		{"corrupted body", write(changedBody), scheduler.Reset},
		{"wrong magic byte", write(wrongMagic), scheduler.Reset},
		{"header announcing 3 GB", write(hugeBody, make([]byte, 1<<20)), scheduler.Reset},
		{"fields over the limit", write(hugeFields), scheduler.Reset},
		{"garbage", write([]byte("HTTP/1.1 200 OK\r\n\r\n")), scheduler.Reset},
		{"truncated", func(c *net.TCPConn) { c.Write(ok[:len(ok)-3]) }, scheduler.Reset},
		{"closed", func(*net.TCPConn) {}, scheduler.Reset},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }, scheduler.Reset},
		{"at capacity, then garbage", write(frame(codeAtCapacity, id, "", ""), []byte("noise")), scheduler.AtCapacity},
	}
	for _, tt := range tests {
		addr := startFakeWorker(t, func(_ int, c *net.TCPConn) {
			if _, err := fakeplatform.ReadCommand(c); err == nil {
				tt.respond(c)
			}
		})
		r := sendAndWait(newTestBackend(t, addr, nil), newAttempt(id))
		if r.Outcome != tt.want || (r.Outcome == scheduler.OK) != (string(r.Body) == "answer") {
			t.Errorf("%s: %v, body %q, want outcome %v", tt.name, r.Outcome, r.Body, tt.want)
		}
	}
}

func TestResultHasFieldsOfResponse(t *testing.T) {
	addr, _ := startRecordingWorker(t, func(command fakeplatform.Command) []byte {
		return fakeplatform.Response(codeOK, command.ID, "note=booted,company=3,load=queue:2;util:0.5", "answer")
	})
	b := newTestBackend(t, addr, func(c *Config) {
		c.ReportFields = []scheduler.LoadReportField{scheduler.FieldUtilization, scheduler.FieldQueue}
	})
	r := sendAndWait(b, newAttempt(1))
	if r.Outcome != scheduler.OK || r.Note != scheduler.StartedLoad || r.SameFunction != 3 {
		t.Errorf("%+v", r)
	}
	if len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 2 {
		t.Errorf("report %v, want utilization 0.5 and queue 2", r.Report)
	}
}
