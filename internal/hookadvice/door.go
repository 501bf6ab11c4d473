package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

// A AdmissionGate judges calls as they arrive, by what hooks say of them and what stands for their tenants. Like the Table it is pure,
// and it is not safe for concurrent use.
type AdmissionGate struct {
	s       Settings
	tenants map[string]Tenant
	open    map[string]int // calls in hand by tenant
	// Calls and refusals in this window and the one before.
	from          time.Duration
	calls, denied [2]int
}

// A Verdict is what becomes of a call before the module sees it.
type Verdict struct {
	ShedAdvised bool
	Why         string
	Weight      float64
	Notes       []hooklang.Advice // annotations, at most notesKept
	// OverRejectionLimit tells that a hook wanted it refused and the bound on refusals did not let it.
	OverRejectionLimit bool
}

const (
	notesKept = 4
	refuseLow = 10 // refusals in a window that are always let: a share of few calls is none
)

// NewAdmissionGate returns a door that knows of no tenant.
func NewAdmissionGate(s Settings) *AdmissionGate {
	return &AdmissionGate{s: s.filled(), open: map[string]int{}}
}

// Set tells what holds for tenants.
func (d *AdmissionGate) Set(t Tenants) { d.tenants = t.By }

// Arrive judges a call, and counts it in hand until Left.
func (d *AdmissionGate) Arrive(now time.Duration, tenant string, items []hooklang.Advice) (v Verdict) {
	if gone := now - d.from; gone >= d.s.Window {
		d.calls[1], d.denied[1] = d.calls[0], d.denied[0]
		if gone >= 2*d.s.Window {
			d.calls[1], d.denied[1] = 0, 0
		}
		d.calls[0], d.denied[0], d.from = 0, 0, now
	}
	d.calls[0]++
	t := d.tenants[tenant]
	v.Weight = t.Weight
	for _, a := range items {
		switch a.Kind {
		case "refuse":
			if !v.ShedAdvised {
				v.ShedAdvised, v.Why = true, "hook: "+a.Text
			}
		case "annotate":
			if len(v.Notes) < notesKept {
				v.Notes = append(v.Notes, a)
			}
		}
	}
	if v.ShedAdvised { // by a script: a tenant's cap is no one's whim, and has no bound
		n := d.denied[0] + d.denied[1] + 1
		if n > refuseLow && float64(n) > d.s.MaxRejectedFraction*float64(d.calls[0]+d.calls[1]) {
			v.ShedAdvised, v.Why, v.OverRejectionLimit = false, "", true
		} else {
			d.denied[0]++
		}
	}
	if t.MaxOpenCalls > 0 && d.open[tenant] >= t.MaxOpenCalls && !v.ShedAdvised {
		v.ShedAdvised, v.Why = true, "the tenant's cap"
	}
	d.open[tenant]++
	return v
}

// CallEnded says that a call was answered.
func (d *AdmissionGate) CallEnded(tenant string) {
	if d.open[tenant]--; d.open[tenant] <= 0 {
		delete(d.open, tenant)
	}
}
