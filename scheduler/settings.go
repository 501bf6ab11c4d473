package scheduler

import (
	"fmt"
	"math"
)

// check returns an error that names the first field that contradicts itself.
func check(s *Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: Classes: none given")
	}
	if s.Controllers < 1 {
		return fmt.Errorf("settings: Controllers: %d is under 1", s.Controllers)
	}
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings: Limits.Attempts: %d is under 1", s.Limits.MaxAttempts)
	}
	if !s.Loading.OnMissKnown {
		return fmt.Errorf("settings: Loading.LoadsOnMiss: unknown what a worker does on a miss")
	}
	l, g := s.Loading, s.Guarantees
	numbers := []struct {
		name string
		v    float64
	}{{"OverShareWorth", s.OverQuotaWeight}, {"Tick", float64(s.Tick)}, {"Loading.Free", l.BudgetFree},
		{"Loading.Ratio", l.BudgetRatio}, {"Loading.Window", float64(l.BudgetWindow)}, {"Loading.IdlePrice", l.IdlePrice},
		{"Loading.IdleLife", float64(l.IdleCopyTTL)}, {"Loading.Answer", float64(l.OrderTimeout)},
		{"Limits.Dial", float64(s.Limits.DialTimeout)}, {"Guarantees.ColdShare", g.WarmupFraction},
		{"Guarantees.FallFactor", g.CollapseFactor}, {"Guarantees.ColdFor", float64(g.WarmupTime)},
		{"Guarantees.DrainGrace", float64(g.DrainGrace)}, {"Guarantees.FallWithin", float64(g.CollapseWindow)},
		{"Guarantees.AnswerGrace", float64(g.AnswerGrace)}, {"Prices.Waste", s.Prices.Waste},
		{"Prices.LateFail", s.Prices.LateFail}, {"Prices.Origin", s.Prices.Origin}}
	for _, n := range numbers {
		if !(n.v >= 0) || math.IsInf(n.v, 0) {
			return fmt.Errorf("settings: %s: %v is negative or not finite", n.name, n.v)
		}
	}
	for i, c := range s.Classes {
		switch {
		case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent:
			return fmt.Errorf("settings: Classes[%d].Effect: unknown effect %d", i, c.Idempotency)
		case c.Idempotency == IdempotentWithKey && (c.DedupScope < AllWorkers || c.DedupScope > SameGroup):
			return fmt.Errorf("settings: Classes[%d].Scope: unknown group %d", i, c.DedupScope)
		case c.LatencyObjective <= 0 || c.Deadline <= 0:
			return fmt.Errorf("settings: Classes[%d]: aim %v and deadline %v must be above 0", i, c.LatencyObjective, c.Deadline)
		case c.DedupWindow < 0:
			return fmt.Errorf("settings: Classes[%d].Window: %v is negative", i, c.DedupWindow)
		case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0) || !(c.LateValue >= 0) || math.IsInf(c.LateValue, 0):
			return fmt.Errorf("settings: Classes[%d]: worth %v or late share %v is negative or not finite", i,
				c.PriorityWeight, c.LateValue)
		}
	}
	return nil
}
