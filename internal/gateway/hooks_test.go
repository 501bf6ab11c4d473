package gateway

import (
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// slowHooks are hooks that take long to advise on a call.
type slowHooks struct {
	clock *clock.Manual
	took  time.Duration
}

func (h slowHooks) CallArrived(hooklang.Call) hookadvice.Verdict {
	h.clock.Advance(h.took)
	return hookadvice.Verdict{}
}
func (slowHooks) CallEnded(string)               {}
func (slowHooks) Post(string, hooklang.Event)    {}
func (slowHooks) SetWorkers([]hookadvice.Worker) {}

// The client's time began only when the hooks had advised, so a call whose script took long was
// answered late by as much.
func TestHooksTimeCountsAgainstTheTimeLeft(t *testing.T) {
	g, _, clk, _ := newManualGateway(t)
	g.cfg.Hooks = slowHooks{clock: clk, took: 3 * time.Second}
	var got []Answer
	submit(t, g, 0, &got) // with 2 s left
	g.step(clk.Now())
	if len(got) != 1 || got[0].Kind != Rejected {
		t.Errorf("answers %+v to a call whose time ended while its script ran, want one Rejected at once", got)
	}
}
