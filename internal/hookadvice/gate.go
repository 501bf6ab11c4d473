package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

const (
	// maxNotes is how many annotations a call keeps.
	maxNotes = 4
	// minRejections is how many rejections in a window hooks always may make: a fraction of a few calls rounds to
	// none.
	minRejections = 10
)

// AdmissionGate judges calls as they arrive, by what hooks advise on them and by what is in force for their
// tenants. Like [Table] it is pure, and it is not safe for concurrent use: the hook engine guards it with a mutex.
type AdmissionGate struct {
	settings  Settings
	tenants   map[string]Tenant
	openCalls map[string]int // by tenant
	// Rejections are bounded as a fraction of the calls in this window and the previous one.
	windowStart time.Duration
	current     rejectionWindow
	previous    rejectionWindow
}

// rejectionWindow counts the calls of one window, and those of them that hooks had rejected.
type rejectionWindow struct{ calls, rejected int }

// Verdict is what hooks make of a call before the scheduler sees it.
type Verdict struct {
	ShedAdvised bool              // the call is to be rejected
	Reason      string            // the reason, if so
	Weight      float64           // of the tenant, as in [Tenant]
	Annotations []hooklang.Advice // annotations, the first few
	// OverRejectionLimit reports that a hook wanted the call rejected and the bound on rejections prevented it.
	OverRejectionLimit bool
}

// NewAdmissionGate returns a gate with nothing in force for any tenant.
func NewAdmissionGate(s Settings) *AdmissionGate {
	return &AdmissionGate{settings: s.withDefaults(), openCalls: map[string]int{}}
}

// SetTenants replaces what is in force for tenants.
func (g *AdmissionGate) SetTenants(t Tenants) { g.tenants = t.ByName }

// Arrive judges a call, and counts it as open until CallEnded. items is the advice of all hooks on it.
func (g *AdmissionGate) Admit(now time.Duration, tenant string, items []hooklang.Advice) (v Verdict) {
	g.rotateWindows(now)
	g.current.calls++
	inForce := g.tenants[tenant]
	v.Weight = inForce.Weight
	for _, item := range items {
		switch item.Kind {
		case "refuse":
			if !v.ShedAdvised {
				v.ShedAdvised = true
				v.Reason = "hook: " + item.Text
			}
		case "annotate":
			if len(v.Annotations) < maxNotes {
				v.Annotations = append(v.Annotations, item)
			}
		}
	}
	if v.ShedAdvised && !g.mayReject() {
		v.ShedAdvised = false
		v.Reason = ""
		v.OverRejectionLimit = true
	}
	if v.ShedAdvised {
		g.current.rejected++
	}
	// The bound is on what scripts decide call by call; a cap rejects without it.
	if capped := inForce.MaxInFlight > 0 && g.openCalls[tenant] >= inForce.MaxInFlight; capped && !v.ShedAdvised {
		v.ShedAdvised = true
		v.Reason = "the tenant's cap"
	}
	g.openCalls[tenant]++
	return v
}

// rotateWindows begins a new window when the current one is over.
func (g *AdmissionGate) rotateWindows(now time.Duration) {
	elapsed := now - g.windowStart
	if elapsed < g.settings.Window {
		return
	}
	g.previous = g.current
	if elapsed >= 2*g.settings.Window {
		g.previous = rejectionWindow{}
	}
	g.current = rejectionWindow{}
	g.windowStart = now
}

// mayReject reports whether hooks may reject one more call.
func (g *AdmissionGate) mayReject() bool {
	rejected := g.current.rejected + g.previous.rejected + 1
	calls := g.current.calls + g.previous.calls
	return rejected <= minRejections || float64(rejected) <= g.settings.MaxRejectedFraction*float64(calls)
}

// CallEnded says that a call that arrived was answered.
func (g *AdmissionGate) CallEnded(tenant string) {
	g.openCalls[tenant]--
	if g.openCalls[tenant] <= 0 {
		delete(g.openCalls, tenant)
	}
}
