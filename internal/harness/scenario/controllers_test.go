package scenario

import (
	"os"
	"testing"

	"kitehub/internal/discovery"
	"kitehub/internal/harness/trace"
)

// TestControllerIsUpInTheTraceBeforeItStarts guards against a controller that appears in the trace
// only after Start has returned. Its first load orders would then count against the load budget of
// the process that was killed before it.
func TestControllerIsUpInTheTraceBeforeItStarts(t *testing.T) {
	var p *player
	starting := 0
	p = newPlayer(loadShortened(t, "killed"), Options{Dir: t.TempDir(), Sink: func(sink discovery.Sink) discovery.Sink {
		p.mu.Lock()
		defer p.mu.Unlock()
		starting++
		up := 0
		for _, r := range p.log.Records() {
			if r.Kind == trace.ControllerUp {
				up++
			}
		}
		if up < starting {
			t.Errorf("%d controllers are starting, but the trace shows %d as up", starting, up)
		}
		return sink
	}})
	sockets, err := os.MkdirTemp("", "kh") // a short path, as socket paths are limited
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(sockets)
	p.socketDir = sockets
	defer p.close()
	if err := p.setUp(); err != nil {
		t.Fatal(err)
	}
	if starting != int(p.day.Controllers) {
		t.Errorf("%d controllers started, want %d", starting, p.day.Controllers)
	}
}
