package hookadvice

import (
	"time"

	"kitehub/internal/hooklang"
)

const (
	// maxAnnotations is the number of annotations retained per call.
	maxAnnotations = 4
	// minRejections is the number of rejections that hooks may always make in a window, because a
	// fraction of only a few calls would round to none.
	minRejections = 10
)

// AdmissionGate decides on calls as they arrive, by the advice of hooks on the call and by the
// advice in force for its tenant. Like [Table] it is pure. It is not safe for concurrent use: the
// hook engine guards it with a mutex.
type AdmissionGate struct {
	settings Settings
	tenants  map[string]Tenant
	inFlight map[string]int // calls by tenant
	// Rejections are limited to a fraction of the calls in the current and the previous window.
	windowStart time.Duration
	current     rejectionWindow
	previous    rejectionWindow
}

// rejectionWindow counts the calls of one window and those that hooks rejected.
type rejectionWindow struct{ calls, rejected int }

// Verdict is the decision of hooks on a call before it reaches the scheduler.
type Verdict struct {
	ShedAdvised bool              // the call should be rejected
	Reason      string            // why, if ShedAdvised
	Weight      float64           // of the tenant, see [Tenant]
	Annotations []hooklang.Advice // the first maxAnnotations
	// OverRejectionLimit reports that a hook rejected the call, but the limit on rejections
	// overruled it.
	OverRejectionLimit bool
}

// NewAdmissionGate returns a gate with no advice in force for any tenant.
func NewAdmissionGate(s Settings) *AdmissionGate {
	return &AdmissionGate{settings: s.withDefaults(), inFlight: map[string]int{}}
}

// SetTenants replaces the advice in force for tenants.
func (g *AdmissionGate) SetTenants(t Tenants) { g.tenants = t.ByName }

// Admit decides on a call and counts it as in flight until CallEnded. The items are the advice of
// all hooks on the call.
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
			if len(v.Annotations) < maxAnnotations {
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
	// The limit on rejections applies to decisions on single calls only, not to a tenant's cap.
	if capped := inForce.MaxInFlight > 0 && g.inFlight[tenant] >= inForce.MaxInFlight; capped && !v.ShedAdvised {
		v.ShedAdvised = true
		v.Reason = "the tenant's cap"
	}
	g.inFlight[tenant]++
	return v
}

// rotateWindows starts a new window if the current one has ended.
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

// mayReject reports whether the limit lets hooks reject one more call.
func (g *AdmissionGate) mayReject() bool {
	rejected := g.current.rejected + g.previous.rejected + 1
	calls := g.current.calls + g.previous.calls
	return rejected <= minRejections || float64(rejected) <= g.settings.MaxRejectedFraction*float64(calls)
}

// CallEnded records the end of a call for which Admit was called.
func (g *AdmissionGate) CallEnded(tenant string) {
	g.inFlight[tenant]--
	if g.inFlight[tenant] <= 0 {
		delete(g.inFlight, tenant)
	}
}
