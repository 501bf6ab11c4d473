package hookadvice

import (
	"slices"
	"testing"
	"time"

	"kitehub/internal/hooklang"
)

// Hooks may have half of the calls in a window rejected, and no more.
func TestHooksMayRejectOnlyAFractionOfCalls(t *testing.T) {
	gate := NewAdmissionGate(Settings{})
	refuse := []hooklang.Advice{{Kind: "refuse", Text: "x"}}
	rejected, over := 0, 0
	for i := range 1000 {
		v := gate.Arrive(time.Duration(i)*10*time.Millisecond, "u", refuse)
		if v.ShedAdvised {
			rejected++
		}
		if v.OverRejectionLimit {
			over++
		}
		gate.CallEnded("u")
	}
	if rejected < 490 || rejected > 510 || over != 1000-rejected {
		t.Errorf("%d rejected, %d over the limit, of 1000", rejected, over)
	}
}

func TestTenantHasWeightAndCap(t *testing.T) {
	gate := NewAdmissionGate(Settings{})
	gate.Set(Tenants{map[string]Tenant{"t": {Weight: 2, MaxOpenCalls: 3}}})
	var shed []bool
	for range 5 {
		v := gate.Arrive(11*time.Second, "t", nil)
		shed = append(shed, v.ShedAdvised)
		if v.Weight != 2 {
			t.Errorf("verdict %+v, want weight 2", v)
		}
	}
	if !slices.Equal(shed, []bool{false, false, false, true, true}) {
		t.Errorf("calls rejected: %v, want those beyond three in flight", shed)
	}
	for range 3 {
		gate.CallEnded("t")
	}
	if v := gate.Arrive(12*time.Second, "t", nil); v.ShedAdvised {
		t.Errorf("rejected below the cap: %+v", v)
	}
}

func TestAnnotationsAreKept(t *testing.T) {
	gate := NewAdmissionGate(Settings{})
	v := gate.Arrive(0, "t", []hooklang.Advice{{Kind: "annotate", Key: "k"}})
	if v.ShedAdvised || len(v.Notes) != 1 || v.Notes[0].Key != "k" {
		t.Errorf("verdict %+v, want one note", v)
	}
}
