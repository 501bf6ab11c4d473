package hookengine

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A notification is signed and retried with the same webhook-id until it is accepted. One without a
// known target is counted as failed.
func TestNotifier(t *testing.T) {
	key, err := signing.ParseKey("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var ids []string
	accepted := make(chan string, 10)
	srv := &http1.Server{Handler: http1.HandlerFunc(func(_ *http1.Conn, r *http1.Request) *http1.Response {
		mu.Lock()
		defer mu.Unlock()
		m := signing.Message{ID: r.Header.Get("webhook-id"), Timestamp: r.Header.Get("webhook-timestamp"), Body: r.Body}
		if !key.Verify(m, r.Header.Get("webhook-signature")) || r.Path() != "/n" {
			t.Errorf("%s: wrong signature or path", r.Target)
		}
		if ids = append(ids, m.ID); len(ids) < 3 {
			return &http1.Response{Status: 500}
		}
		accepted <- string(r.Body)
		return &http1.Response{Status: 204}
	})}
	go srv.Serve(ln)
	defer srv.Abort()
	defer ln.Close()
	target := Target{Name: "ops", Address: ln.Addr().String(), Path: "/n", Key: key}
	n := NewNotifier("c", []Target{target}, clock.System(), zerolog.Nop())
	defer n.Close()
	n.Notify(hookadvice.Notification{Script: "a", Target: "unknown", Text: "x"})
	n.Notify(hookadvice.Notification{Script: "a", Target: "ops", Text: "lost 3"})
	select {
	case got := <-accepted:
		if !strings.Contains(got, `"type":"hook.notice"`) || !strings.Contains(got, `"text":"lost 3"`) {
			t.Error(got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("notification was not accepted")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(ids) != 3 || ids[0] != ids[2] || n.Failed.Load() != 1 {
		t.Errorf("ids %v, %d failed", ids, n.Failed.Load())
	}
}
