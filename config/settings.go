package config

import (
	"kitehub/scheduler"
)

// Values of the schema's enums, as values of the scheduler.
var (
	idempotencies = map[Effect]scheduler.Idempotency{
		Effect_SAFE:   scheduler.Idempotent,
		Effect_KEYED:  scheduler.IdempotentWithKey,
		Effect_UNSAFE: scheduler.NonIdempotent,
	}
	scopes = map[Scope]scheduler.DedupScope{
		Scope_ALL_WORKERS: scheduler.AllWorkers,
		Scope_SAME_ZONE:   scheduler.SameZone,
		Scope_SAME_GROUP:  scheduler.SameGroup,
	}
	reportFields = map[Field]scheduler.LoadReportField{
		Field_IN_FLIGHT:  scheduler.FieldInFlight,
		Field_QUEUE:      scheduler.FieldQueue,
		Field_UTIL:       scheduler.FieldUtilization,
		Field_LATENCY_MS: scheduler.FieldLatencyMS,
		Field_RATE:       scheduler.FieldRate,
		Field_ERROR_RATE: scheduler.FieldErrorRate,
		Field_X0:         scheduler.FieldX0,
		Field_X1:         scheduler.FieldX1,
	}
)

// settings fills in the scheduler's settings from the configuration.
func (b *builder) settings() {
	c := b.cfg
	s := scheduler.Settings{
		ControllerIndex: int(c.Me),
		Controllers:     int(c.Controllers),
		Zone:            b.zone,
		Zones:           c.Zones,
		Tick:            ms(c.TickMs),
		Limits:          limits(c.Limits),
		Loading:         loading(c.Loading),
		Guarantees:      guarantees(c.Guarantees),
		Prices:          prices(c.Prices),
	}
	for _, kind := range c.Kinds {
		s.Kinds = append(s.Kinds, kind.Name)
		s.Loading.MemoryMB = append(s.Loading.MemoryMB, kind.MemoryMb)
	}
	for _, class := range c.Classes {
		s.Classes = append(s.Classes, schedulerClass(class))
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, scheduler.Tenant{Name: t.Name, Quota: t.QuotaPerS, Share: t.Share})
	}
	for _, field := range c.GetReport().GetFields() {
		s.LoadReportFields = append(s.LoadReportFields, reportFields[field])
	}
	if len(s.LoadReportFields) > 0 {
		s.LoadReportSource = scheduler.LoadReportsInResponses
	}
	b.result.Settings = s
}

func limits(l *Limits) scheduler.Limits {
	return scheduler.Limits{
		MaxAttempts:           int(l.Attempts),
		MaxOpenRequests:       int(l.Open),
		HedgedRequests:        l.Duplicate,
		Cancel:                l.Cancel,
		Probe:                 l.Probe,
		Peers:                 l.TellPeers,
		RetryAfter:            l.RetryAfter,
		MaxRetryAfter:         ms(l.MaxRetryAfterMs),
		DialTimeout:           ms(l.DialMs),
		IdleConnectionTimeout: ms(l.KeepAliveMs),
		StreamsPerConnection:  1, // HTTP/1.1
	}
}

func loading(l *Loading) scheduler.Loading {
	return scheduler.Loading{
		Orders:              l.Orders,
		LoadsOnMiss:         l.OnMiss == OnMiss_LOAD,
		OnMissKnown:         true,
		IdleCopyTTL:         ms(l.IdleLifeMs),
		OrderTimeout:        ms(l.AnswerMs),
		BudgetWindow:        ms(l.WindowMs),
		BudgetFree:          l.Free,
		BudgetRatio:         l.Ratio,
		IdlePrice:           l.IdlePrice,
		ReportsLoadNotes:    l.WarmNotes,
		ReportsSameFunction: l.CountsAlike,
	}
}

func guarantees(g *Guarantees) scheduler.Guarantees {
	return scheduler.Guarantees{
		AnswerGrace:    ms(g.AnswerGraceMs),
		DrainGrace:     ms(g.DrainGraceMs),
		WarmupFraction: g.ColdShare,
		WarmupTime:     ms(g.ColdMs),
		CollapseFactor: g.FallFactor,
		CollapseWindow: ms(g.FallWithinMs),
	}
}

// prices returns the prices of the configuration, all zero if it has none.
func prices(p *Prices) scheduler.Prices {
	return scheduler.Prices{
		CrossZone: p.GetCrossZone(),
		LateFail:  p.GetLateFail(),
		Origin:    p.GetOrigin(),
		Probe:     p.GetProbe(),
		Waste:     p.GetWaste(),
	}
}

func schedulerClass(c *Class) scheduler.Class {
	return scheduler.Class{
		Name:             c.Name,
		Idempotency:      idempotencies[c.Effect],
		DedupScope:       scopes[c.Scope],
		DedupWindow:      ms(c.WindowMs),
		LatencyObjective: ms(c.AimMs),
		ObjectiveStretch: c.AimStretch,
		Deadline:         ms(c.DeadlineMs),
		PriorityWeight:   c.Worth,
		LateValue:        c.LateShare,
	}
}
