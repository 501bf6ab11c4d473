package scenario

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Scale multiplies the length of the scenario, of its faults and of the slow start of workers. The
// rate and the run times of calls stay the same.
func (d *Day) Scale(by float64) {
	d.LengthS *= by
	d.LeadS *= by
	d.Rules.ColdMs *= by
	for _, t := range d.Troubles {
		t.AtS, t.ForS, t.DrainS = t.AtS*by, t.ForS*by, t.DrainS*by
		if t.What == What_STALE {
			t.Size *= by
		}
	}
}

// Total returns the sum of the tallies of all classes, without a histogram.
func (r *Result) Total() (t Tally) {
	for _, tally := range r.Tallies {
		t.Calls += tally.Calls
		t.Served += tally.Served
		t.WithinObjective += tally.WithinObjective
		t.Rejected += tally.Rejected
		t.Failed += tally.Failed
		t.CutOff += tally.CutOff
		t.NoController += tally.NoController
		t.Late += tally.Late
		t.Attempts += tally.Attempts
	}
	return t
}

// Write prints the outcomes by class, the counts of all parties, and the verdict on the five rules.
func (r *Result) Write(w io.Writer) {
	at := func(tally *Tally, q float64) time.Duration {
		return (time.Duration(tally.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	for i, tally := range r.Tallies {
		fmt.Fprintf(w, "%-8s %5d calls: served %d (%d within the aim), refused %d, failed %d, late %d, cut off %d, no controller %d; p50 %v p99 %v max %v\n",
			r.Classes[i], tally.Calls, tally.Served, tally.WithinObjective, tally.Rejected, tally.Failed, tally.Late, tally.CutOff, tally.NoController, at(tally, 50), at(tally, 99), at(tally, 100))
	}
	t := r.Total()
	fmt.Fprintf(w, "answers: served %d, refused %d, failed %d, late %d of %d calls in %d tries; %d attempts, %d orders, %d fetches, %d turned away by the store\n",
		t.Served, t.Rejected, t.Failed, t.Late, t.Calls, t.Attempts, r.Attempts, r.LoadOrders, r.Fetches, r.RejectedFetches)
	fmt.Fprintf(w, "idle copies: %.0f MB s; controllers taken over: %d\n", r.IdleMemory, r.Handovers)
	if h := r.Latency[1]; h != nil && h.TotalCount() > 0 {
		for i, who := range []string{"without", "with"} {
			if k := r.Latency[i]; k.TotalCount() > 0 {
				fmt.Fprintf(w, "controllers %s scripts: %d served, p50 %v p99 %v\n", who, k.TotalCount(), time.Duration(k.ValueAtQuantile(50))*time.Microsecond, time.Duration(k.ValueAtQuantile(99))*time.Microsecond)
			}
		}
		for _, h := range r.Hooks {
			fmt.Fprintf(w, "scripts of %s: %d inline of %v, %d aside of %v, %d faults, %d calls refused, %d events dropped: %s\n", h.Controller, h.InlineRuns, h.InlineMean,
				h.BackgroundRuns, h.BackgroundMean, h.Faults, h.Rejected, h.Dropped, strings.Join(h.Statuses, ", "))
		}
	}
	fmt.Fprintf(w, "longest that a controller's step came late: %v\n", r.MaxStepDelay.Round(100*time.Microsecond))
	fmt.Fprintf(w, "most sent to a cold worker: %.2f of what pushes it over; answers whose signature does not verify: %d\n", r.Verdict.SlowStartPeak, r.InvalidSignatures)
	if v := r.Versions; v != nil {
		m := r.Migrations
		fmt.Fprintf(w, "moves: %d acknowledged, %d given up, %d unknown of %d; longest %v; calls begun anew %d, answers withheld at the door %d, answers of other bytes dropped %d\n",
			m.Acknowledged, m.Aborted, m.Unknown, m.Requested, m.Longest.Round(time.Millisecond), r.Restarted, r.Withheld, r.DigestMismatches)
		fmt.Fprintf(w, "versions: %d answers and %d runs judged, %d answers near a move, %d breaks\n", v.Answers, v.Runs, v.WithinSlack, len(v.Violations))
		for i, b := range v.Violations {
			if i < 10 {
				fmt.Fprintf(w, "  %v %s\n", b.At.Round(time.Millisecond), b.Message)
			}
		}
	}
	r.Verdict.Write(w, 10)
}
