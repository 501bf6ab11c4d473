package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

// An AdmissionGate judges calls as they arrive, by what hooks say of them and what holds for their tenants. It is not
// safe for concurrent use.
type AdmissionGate struct {
	settings Settings
	tenants  map[string]Tenant
	open     map[string]int // calls in flight by tenant

	windowStart time.Duration
	current     windowCounts
	previous    windowCounts // of the window before
}

// windowCounts are of one window.
type windowCounts struct {
	calls    int
	rejected int // because a hook said so
}

// A Verdict is what becomes of a call before the scheduler sees it.
type Verdict struct {
	ShedAdvised bool   // the call is to be rejected
	Why         string // if it is
	Weight      float64
	Notes       []hooklang.Advice // annotations, at most maxNotes
	// OverRejectionLimit: a hook wanted the call rejected, and the bound on rejections did not allow it.
	OverRejectionLimit bool
}

const (
	maxNotes = 4
	// minRejections are always allowed in a window: a fraction of few calls is none.
	minRejections = 10
)

// NewAdmissionGate returns a gate that knows of no tenant.
func NewAdmissionGate(s Settings) *AdmissionGate {
	return &AdmissionGate{settings: s.filled(), open: map[string]int{}}
}

// Set sets what holds for tenants.
func (g *AdmissionGate) Set(t Tenants) { g.tenants = t.By }

// Arrive judges a call, by what hooks say of it, and counts it in flight until CallEnded. now is the caller's clock.
func (g *AdmissionGate) Arrive(now time.Duration, tenant string, items []hooklang.Advice) Verdict {
	g.advanceWindow(now)
	g.current.calls++
	limits := g.tenants[tenant]
	v := readAdvice(items)
	v.Weight = limits.Weight
	if v.ShedAdvised { // the bound is on hooks alone: a tenant's cap has none
		if g.mayReject() {
			g.current.rejected++
		} else {
			v.ShedAdvised = false
			v.Why = ""
			v.OverRejectionLimit = true
		}
	}
	if limits.MaxOpenCalls > 0 && g.open[tenant] >= limits.MaxOpenCalls && !v.ShedAdvised {
		v.ShedAdvised = true
		v.Why = "the tenant's cap"
	}
	g.open[tenant]++
	return v
}

// readAdvice returns what hooks say of a call: the first rejection and the first annotations count.
func readAdvice(items []hooklang.Advice) (v Verdict) {
	for _, item := range items {
		switch {
		case item.Kind == "refuse" && !v.ShedAdvised:
			v.ShedAdvised = true
			v.Why = "hook: " + item.Text
		case item.Kind == "annotate" && len(v.Notes) < maxNotes:
			v.Notes = append(v.Notes, item)
		}
	}
	return v
}

// advanceWindow begins a new window if the present one is over.
func (g *AdmissionGate) advanceWindow(now time.Duration) {
	elapsed := now - g.windowStart
	if elapsed < g.settings.Window {
		return
	}
	g.previous = g.current
	if elapsed >= 2*g.settings.Window {
		g.previous = windowCounts{}
	}
	g.current = windowCounts{}
	g.windowStart = now
}

// mayReject reports whether one more call may be rejected because a hook says so.
func (g *AdmissionGate) mayReject() bool {
	rejected := g.current.rejected + g.previous.rejected + 1
	calls := g.current.calls + g.previous.calls
	return rejected <= minRejections || float64(rejected) <= g.settings.MaxRejectedFraction*float64(calls)
}

// CallEnded notes that a call was answered.
func (g *AdmissionGate) CallEnded(tenant string) {
	if g.open[tenant]--; g.open[tenant] <= 0 {
		delete(g.open, tenant)
	}
}
