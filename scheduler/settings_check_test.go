package scheduler

import (
	"math"
	"strings"
	"testing"
)

// The error of New names the invalid setting.
func TestNewNamesTheWrongSetting(t *testing.T) {
	tests := []struct {
		field   string
		corrupt func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 0 }},
		{"Classes[1].DedupScope", func(s *Settings) { s.Classes[1].DedupScope = 9 }},
		{"Loading.BudgetWindow", func(s *Settings) { s.Loading.BudgetWindow = -1 }},
		{"Loading.BudgetRatio", func(s *Settings) { s.Loading.BudgetRatio = math.NaN() }},
		{"Guarantees.WarmupFraction", func(s *Settings) { s.Guarantees.WarmupFraction = math.Inf(1) }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Classes[2].LatencyObjective", func(s *Settings) { s.Classes[2].LatencyObjective = 0 }},
		{"Classes[2].Deadline", func(s *Settings) { s.Classes[2].Deadline = -1 }},
		{"Classes[1].DedupWindow", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Classes[0].PriorityWeight", func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() }},
		{"Classes[0].LateValue", func(s *Settings) { s.Classes[0].LateValue = math.Inf(1) }},
		{"Controllers", func(s *Settings) { s.Controllers = 0 }},
	}
	for _, tt := range tests {
		s := testSettings()
		tt.corrupt(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("invalid %s: error %v does not name it", tt.field, err)
		}
	}
}
