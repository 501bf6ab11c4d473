package scenario

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Scale makes the day, its troubles and its cold spells longer or shorter. Calls stay as they are.
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

// Total adds the tallies of all classes, but for their histograms.
func (r *Result) Total() (t Tally) {
	for _, y := range r.Tallies {
		t.Calls += y.Calls
		t.Served += y.Served
		t.WithinObjective += y.WithinObjective
		t.Rejected += y.Rejected
		t.Failed += y.Failed
		t.CutOff += y.CutOff
		t.NoController += y.NoController
		t.Late += y.Late
		t.Attempts += y.Attempts
	}
	return t
}

// Write prints answers by class, what it cost, and the five rules.
func (r *Result) Write(w io.Writer) {
	at := func(y *Tally, q float64) time.Duration {
		return (time.Duration(y.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	for i, y := range r.Tallies {
		fmt.Fprintf(w, "%-8s %5d calls: served %d (%d within the aim), refused %d, failed %d, late %d, cut off %d, no controller %d; p50 %v p99 %v max %v\n",
			r.Classes[i], y.Calls, y.Served, y.WithinObjective, y.Rejected, y.Failed, y.Late, y.CutOff, y.NoController, at(y, 50), at(y, 99), at(y, 100))
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
			fmt.Fprintf(w, "scripts of %s: %d inline of %v, %d aside of %v, %d faults, %d calls refused, %d events dropped: %s\n", h.Controller, h.Inline, h.InlineMean,
				h.Aside, h.AsideMean, h.Faults, h.Rejected, h.Dropped, strings.Join(h.Statuses, ", "))
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
