package scenario

import (
	"fmt"
	"time"

	"kitehub/internal/harness/trace"
)

const (
	stallCheckInterval = 5 * time.Millisecond
	minStall           = 15 * time.Millisecond
)

// recordStalls adds stalls of the whole process to the trace, so that the checks do not blame the
// gateway for a busy or paused machine.
func (p *player) recordStalls() {
	defer p.wg.Done()
	for last := p.clk.Now(); p.wait(stallCheckInterval); {
		now := p.clk.Now()
		if now-last > minStall {
			p.log.Add(trace.Record{At: last + stallCheckInterval, Kind: trace.Stall, Until: now})
		}
		last = now
	}
}

// printProgress prints the counts of calls every second.
func (p *player) printProgress() {
	defer p.wg.Done()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(time.Second):
		}
		p.load.mu.Lock()
		var t Tally
		for _, tally := range p.load.tally {
			t.Calls, t.Served, t.Rejected, t.Failed = t.Calls+tally.Calls, t.Served+tally.Served, t.Rejected+tally.Rejected, t.Failed+tally.Failed
		}
		p.load.mu.Unlock()
		fmt.Fprintf(p.options.Progress, "%5.1f s  served %d, refused %d, failed %d of %d\n", (p.clk.Now() - p.begin).Seconds(), t.Served, t.Rejected, t.Failed, t.Calls)
	}
}
