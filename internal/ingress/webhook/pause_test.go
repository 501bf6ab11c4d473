package webhook

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/replayguard"
)

// A message that waited in the pause of a handover was admitted although the controller had been
// stopped meanwhile.
func TestMessageThatWaitedIsNotAdmittedAfterStop(t *testing.T) {
	h, err := New(Config{
		Clock:         clock.NewManual(time.Unix(1_800_000_000, 0)),
		Replay:        replayguard.Settings{MaxAge: time.Minute, MaxClockSkew: time.Second, WatermarkStep: time.Second, MaxEntries: 9, MaxAnswerBytes: 99},
		Watermark:     WatermarkFile(filepath.Join(t.TempDir(), "mark")),
		HarmlessRetry: func(int) bool { return true },
		Log:           zerolog.Nop(),
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Kill()
	h.Pause(nil)
	h.BeginStop()
	admitted := make(chan *http1.Response)
	go func() {
		a, resp := h.admit(message{
			sender:   sender{timestamp: time.Unix(1_800_000_000, 0)},
			key:      replayguard.Key{Client: "shop", ID: "waits"},
			request:  &http1.Request{},
			function: &gateway.Function{Name: "f"},
		})
		if resp == nil {
			t.Errorf("the message is admitted with verdict %v", a.verdict)
		}
		admitted <- resp
	}()
	h.Resume()
	if resp := <-admitted; resp != nil && (resp.Status != 503 || !resp.Close) {
		t.Errorf("response %+v, want status 503 and the end of the connection", resp)
	}
}
