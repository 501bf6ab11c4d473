package frame

import (
	"bufio"
	"bytes"
	"testing"

	"kitehub/internal/harness/fakeplatform"
	"kitehub/scheduler"
)

// Whatever bytes come, an answer that is accepted is one that a worker could have framed.
func FuzzReadAnswer(f *testing.F) {
	f.Add(fakeplatform.Reply(codeOK, 7, "note=resident", "answer"))
	f.Add(fakeplatform.Reply(codePong, 7, "", "")[:17])
	f.Fuzz(func(t *testing.T, in []byte) {
		var a answer
		if readAnswer(bufio.NewReader(bytes.NewReader(in)), 1000, &a) != nil {
			return
		}
		parseFields(a.fields, []scheduler.LoadReportField{scheduler.FieldUtilization})
		framed := fakeplatform.Reply(a.code, a.id, a.fields, string(a.body))
		if !bytes.HasPrefix(in, framed) {
			t.Errorf("%x was read as %x", in, framed)
		}
	})
}
