package frame

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// Each way that a call can end is reported exactly as far as it is proven.
func TestOutcomeOfEachEnd(t *testing.T) {
	const id = 0x9b1f03aa5c7e2d41
	reply := fakeplatform.Reply
	write := func(parts ...[]byte) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			c.Write(bytes.Join(parts, nil))
			drain(c)
		}
	}
	changed := func(change func([]byte)) []byte {
		frame := reply(codeOK, id, "note=resident", "answer")
		change(frame)
		return frame
	}
	ok := reply(codeOK, id, "note=booted", "answer")
	singleBytes := func(c *net.TCPConn) {
		for i := range ok {
			c.Write(ok[i : i+1])
		}
		drain(c)
	}
	wrongChecksum := changed(func(b []byte) { b[len(b)-1] ^= 1 })
	changedBody := changed(func(b []byte) { b[headSize+15] ^= 1 })
	wrongMark := changed(func(b []byte) { b[0] = markCommand })
	hugeBody := changed(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) })
	hugeFields := changed(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 0xffff) })
	tests := []struct {
		name   string
		answer func(*net.TCPConn) // to the call; then the connection is closed
		want   scheduler.Outcome
	}{
		{"OK", write(ok), scheduler.OK},
		{"OK in single bytes", singleBytes, scheduler.OK},
		{"not loaded", write(reply(codeNotLoaded, id, "note=boot_error", "")), scheduler.NotLoaded},
		{"at capacity", write(reply(codeAtCapacity, id, "company=9", "")), scheduler.AtCapacity},
		{"ended already", write(reply(codeEndedAlready, id, "", "")), scheduler.NotStarted},
		{"error", write(reply(codeError, id, "", "")), scheduler.Error},
		{"OK twice", write(ok, ok), scheduler.OK},
		{"an answer with an unknown id first", write(reply(codeAtCapacity, 5, "", ""), ok), scheduler.OK},
		{"a pong without a ping first", write(reply(codePong, id, "", ""), ok), scheduler.OK},
		{"an unknown code", write(reply(71, id, "", ""), ok), scheduler.Reset},
		{"a wrong checksum", write(wrongChecksum), scheduler.Reset},
		{"a changed body", write(changedBody), scheduler.Reset},
		{"a wrong mark", write(wrongMark), scheduler.Reset},
		{"3 GB by its head", write(hugeBody, make([]byte, 1<<20)), scheduler.Reset},
		{"fields over the bound", write(hugeFields), scheduler.Reset},
		{"garbage", write([]byte("HTTP/1.1 200 OK\r\n\r\n")), scheduler.Reset},
		{"truncated", func(c *net.TCPConn) { c.Write(ok[:len(ok)-3]) }, scheduler.Reset},
		{"closed", func(*net.TCPConn) {}, scheduler.Reset},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }, scheduler.Reset},
		{"at capacity, then garbage", write(reply(codeAtCapacity, id, "", ""), []byte("noise")), scheduler.AtCapacity},
	}
	for _, tt := range tests {
		addr := startInvoker(t, func(_ int, c *net.TCPConn) {
			if _, err := fakeplatform.ReadCommand(c); err == nil {
				tt.answer(c)
			}
		})
		r := run(start(t, addr, nil), newCall(id))
		if r.Outcome != tt.want || (r.Outcome == scheduler.OK) != (string(r.Body) == "answer") {
			t.Errorf("%s: %v, body %q, want outcome %v", tt.name, r.Outcome, r.Body, tt.want)
		}
	}
}

func TestResultHasFieldsOfAnswer(t *testing.T) {
	addr, _ := startRecorder(t, func(command fakeplatform.Command) []byte {
		return fakeplatform.Reply(codeOK, command.ID, "note=booted,company=3,load=queue:2;util:0.5", "answer")
	})
	b := start(t, addr, func(c *Config) {
		c.ReportFields = []scheduler.LoadReportField{scheduler.FieldUtilization, scheduler.FieldQueue}
	})
	r := run(b, newCall(1))
	if r.Outcome != scheduler.OK || r.Note != scheduler.StartedLoad || r.SameFunction != 3 {
		t.Errorf("%+v", r)
	}
	if len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 2 {
		t.Errorf("report %v, want utilization 0.5 and queue 2", r.Report)
	}
}
