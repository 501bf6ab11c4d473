package scenario

import (
	"os"
	"testing"

	"kitehub/internal/discovery"
	"kitehub/internal/harness/trace"
)

// The trace has the beginning of a controller's life before anything that it does: what a new life orders while it starts counts
// for its own budget, not for that of the life before.
func TestControllerIsUpInTheTraceBeforeItStarts(t *testing.T) {
	var p *player
	starting := 0
	p = newPlayer(small(t, "killed"), Options{Dir: t.TempDir(), Sink: func(sink discovery.Sink) discovery.Sink {
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
			t.Errorf("%d controllers start, %d are up in the trace", starting, up)
		}
		return sink
	}})
	sockets, err := os.MkdirTemp("", "kh") // their names must be short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(sockets)
	p.socks = sockets
	defer p.close()
	if err := p.setUp(); err != nil {
		t.Fatal(err)
	}
	if starting != int(p.s.Controllers) {
		t.Errorf("%d controllers started, want %d", starting, p.s.Controllers)
	}
}
