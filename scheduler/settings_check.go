package scheduler

import (
	"fmt"
	"math"
)

// check returns an error that names the first setting that is missing, out of range, or contradicts
// another.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes: at least one is required")
	case s.Controllers < 1:
		return fmt.Errorf("settings: Controllers: %d is under 1", s.Controllers)
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: Limits.MaxAttempts: %d is under 1", s.Limits.MaxAttempts)
	case !s.Loading.OnMissKnown:
		return fmt.Errorf("settings: Loading.LoadsOnMiss: not set")
	}
	if err := s.checkNumbers(); err != nil {
		return err
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(); err != nil {
			return fmt.Errorf("settings: Classes[%d]%w", i, err)
		}
	}
	return nil
}

// checkNumbers returns an error that names the first number that is negative or not finite.
func (s *Settings) checkNumbers() error {
	loading, guarantees := s.Loading, s.Guarantees
	numbers := []struct {
		name  string
		value float64
	}{
		{"OverQuotaWeight", s.OverQuotaWeight},
		{"Tick", float64(s.Tick)},
		{"Loading.BudgetFree", loading.BudgetFree},
		{"Loading.BudgetRatio", loading.BudgetRatio},
		{"Loading.BudgetWindow", float64(loading.BudgetWindow)},
		{"Loading.IdlePrice", loading.IdlePrice},
		{"Loading.IdleCopyTTL", float64(loading.IdleCopyTTL)},
		{"Loading.OrderTimeout", float64(loading.OrderTimeout)},
		{"Limits.DialTimeout", float64(s.Limits.DialTimeout)},
		{"Guarantees.WarmupFraction", guarantees.WarmupFraction},
		{"Guarantees.CollapseFactor", guarantees.CollapseFactor},
		{"Guarantees.WarmupTime", float64(guarantees.WarmupTime)},
		{"Guarantees.DrainGrace", float64(guarantees.DrainGrace)},
		{"Guarantees.CollapseWindow", float64(guarantees.CollapseWindow)},
		{"Guarantees.AnswerGrace", float64(guarantees.AnswerGrace)},
		{"Prices.Waste", s.Prices.Waste},
		{"Prices.LateFail", s.Prices.LateFail},
		{"Prices.Origin", s.Prices.Origin},
	}
	for _, number := range numbers {
		if !finiteNonNegative(number.value) {
			return fmt.Errorf("settings: %s: %v is negative or not finite", number.name, number.value)
		}
	}
	return nil
}

// check returns an error that begins with the name of the first invalid field, after a period.
func (c *Class) check() error {
	switch {
	case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent:
		return fmt.Errorf(".Idempotency: unknown value %d", c.Idempotency)
	case c.Idempotency == IdempotentWithKey && (c.DedupScope < AllWorkers || c.DedupScope > SameGroup):
		return fmt.Errorf(".DedupScope: unknown value %d", c.DedupScope)
	case c.LatencyObjective <= 0:
		return fmt.Errorf(".LatencyObjective: %v is not above 0", c.LatencyObjective)
	case c.Deadline <= 0:
		return fmt.Errorf(".Deadline: %v is not above 0", c.Deadline)
	case c.DedupWindow < 0:
		return fmt.Errorf(".DedupWindow: %v is negative", c.DedupWindow)
	case !finiteNonNegative(c.PriorityWeight):
		return fmt.Errorf(".PriorityWeight: %v is negative or not finite", c.PriorityWeight)
	case !finiteNonNegative(c.LateValue):
		return fmt.Errorf(".LateValue: %v is negative or not finite", c.LateValue)
	}
	return nil
}

// finiteNonNegative reports whether a number is 0 or above, and neither infinite nor NaN.
func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
