package webhook

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/replayguard"
)

// newPauseTest returns a Handler with a watermark store, whose clock stands still.
func newPauseTest(t *testing.T, store WatermarkStore) *Handler {
	t.Helper()
	h, err := New(Config{
		Clock:         clock.NewManual(time.Unix(1_800_000_000, 0)),
		Replay:        replayguard.Settings{MaxAge: time.Minute, MaxClockSkew: time.Second, WatermarkStep: time.Hour, MaxEntries: 9, MaxAnswerBytes: 99},
		Watermark:     store,
		HarmlessRetry: func(int) bool { return true },
		Log:           zerolog.Nop(),
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Kill)
	return h
}

// A message that waited in the pause of a handover was admitted although the controller had been
// stopped meanwhile.
func TestMessageThatWaitedIsNotAdmittedAfterStop(t *testing.T) {
	h := newPauseTest(t, WatermarkFile(filepath.Join(t.TempDir(), "mark")))
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

// A slowStore is a WatermarkStore whose Save calls onSave.
type slowStore struct{ onSave func() }

func (slowStore) Load() (time.Time, error) { return time.Time{}, nil }

func (s slowStore) Save(time.Time) error {
	s.onSave()
	return nil
}

// A watermark that was being saved when a handover began was saved beside the successor, whose own
// save then failed, or was replaced by the older watermark.
func TestPauseWaitsForAWatermarkThatIsBeingSaved(t *testing.T) {
	var saving, saved atomic.Bool
	var h *Handler
	paused := make(chan bool, 1)
	h = newPauseTest(t, slowStore{func() {
		if !saving.Load() { // the first watermark, saved by New
			return
		}
		go func() {
			h.Pause(nil)
			paused <- saved.Load()
		}()
		select {
		case saved := <-paused:
			paused <- saved
		case <-time.After(50 * time.Millisecond): // a handover that waits takes this time
		}
		saved.Store(true)
	}})
	saving.Store(true)
	if err := h.RewriteWatermark(); err != nil {
		t.Fatal(err)
	}
	if !<-paused {
		t.Error("the pause began while a watermark was being saved")
	}
	h.Resume()
}
