package frame

import (
	"bufio"
	"bytes"
	"testing"

	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// Whatever the input, a response that is accepted must be identical to a frame that a worker could
// have sent.
func FuzzReadResponse(f *testing.F) {
	f.Add(fakeplatform.Response(codeOK, 7, "note=resident", "answer"))
	f.Add(fakeplatform.Response(codePong, 7, "", "")[:17])
	f.Fuzz(func(t *testing.T, in []byte) {
		var resp response
		if readResponse(bufio.NewReader(bytes.NewReader(in)), 1000, &resp) != nil {
			return
		}
		parseFields(resp.fields, []scheduler.LoadReportField{scheduler.FieldUtilization})
		framed := fakeplatform.Response(resp.code, resp.id, resp.fields, string(resp.body))
		if !bytes.HasPrefix(in, framed) {
			t.Errorf("%x was parsed as %x", in, framed)
		}
	})
}
