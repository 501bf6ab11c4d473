package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"kitehub/scheduler"
)

// milliseconds are a time of the wire.
type milliseconds float64

func (m milliseconds) duration() time.Duration { return ToDuration(float64(m)) }

// settingsText mirrors the settings text of the wire: its tags are the wire's words, its fields are named as those of
// scheduler.Settings. What it does not name is ignored.
type settingsText struct {
	Controllers int         `json:"balancers"`
	Classes     []classText `json:"classes"`
	Clients     struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Discovery string     `json:"membershipMode"`
	Workload  string     `json:"workload"`
	Loading   domainText `json:"domain"`
	Goal      struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		WorstWindow float64 `json:"worstWindow"`
	} `json:"goal"`
	Kinds           []string   `json:"kinds"`
	Limits          limitsText `json:"limits"`
	ControllerIndex int        `json:"me"`
	OverQuotaWeight float64    `json:"overShareWorth"`
	Prices          costsText  `json:"costs"`
	Report          struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Guarantees guaranteesText `json:"guarantees"`
	Tenants    []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	Tick     milliseconds `json:"tickMs"`
	Tier     int          `json:"tier"`
	Tiers    []string     `json:"tiers"`
	Sizes    string       `json:"weightSource"`
	WeightBy string       `json:"worthBy"`
	Zone     int          `json:"zone"`
	Zones    []string     `json:"localities"`
}

type classText struct {
	ObjectiveStretch float64      `json:"aimStretch"`
	LatencyObjective milliseconds `json:"targetMs"`
	Deadline         milliseconds `json:"giveUpMs"`
	Idempotency      string       `json:"effect"`
	DedupScope       string       `json:"keyScope"`
	LateValue        float64      `json:"lateShare"`
	Name             string       `json:"name"`
	Stream           bool         `json:"stream"`
	DedupWindow      milliseconds `json:"windowMs"`
	PriorityWeight   float64      `json:"worth"`
}

type domainText struct {
	IdleCopyTTL         milliseconds `json:"idleLifeMs"`
	MemoryMB            []float64    `json:"machineMb"`
	BudgetFree          float64      `json:"loadsAnyway"`
	BudgetRatio         float64      `json:"loadRatio"`
	BudgetWindow        milliseconds `json:"loadWindowMs"`
	IdlePrice           float64      `json:"idleMemoryCost"`
	OnMiss              string       `json:"onMiss"`
	OrderTimeout        milliseconds `json:"answerWithinMs"`
	Orders              bool         `json:"mayOrder"`
	X0                  string       `json:"reportX0"`
	X1                  string       `json:"reportX1"`
	SameFunctionCounted bool         `json:"countsAlike"`
	LoadNotesGiven      bool         `json:"warmNotes"`
}

type limitsText struct {
	Cancel                bool         `json:"cancel"`
	IdleConnectionTimeout milliseconds `json:"keepaliveMs"`
	DialTimeout           milliseconds `json:"dialTimeoutMs"`
	CPUPerRequestUS       float64      `json:"cpuUsPerRequest"`
	CPUPerSecondUS        float64      `json:"cpuUsPerS"`
	MaxAttempts           int          `json:"mostTries"`
	MaxOpenRequests       int          `json:"maxOpen"`
	MaxRetryAfter         milliseconds `json:"maxRetryAfterMs"`
	Peers                 bool         `json:"peerMessages"`
	Probe                 bool         `json:"probes"`
	RetryAfter            bool         `json:"retryAfter"`
	HedgedRequests        bool         `json:"mayDuplicate"`
	StreamsPerConnection  int          `json:"streamsPerConn"`
}

type costsText struct {
	Connection float64 `json:"connection"`
	CrossZone  float64 `json:"crossZone"`
	LateFail   float64 `json:"lateFail"`
	Discovery  float64 `json:"membershipMode"`
	Handshake  float64 `json:"handshake"`
	Moves      float64 `json:"moves"`
	Origin     float64 `json:"origin"`
	Peer       float64 `json:"peer"`
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"`
}

type guaranteesText struct {
	AnswerGrace    milliseconds `json:"graceToAnswerMs"`
	PollWithin     milliseconds `json:"askWithinMs"`
	WarmupFraction float64      `json:"coldFrom"`
	WarmupTime     milliseconds `json:"coldMs"`
	DrainGrace     milliseconds `json:"drainGraceMs"`
	CollapseFactor float64      `json:"fallMultiple"`
	CollapseWindow milliseconds `json:"overloadForMs"`
}

// The words of the wire in the terms of the scheduler.
var (
	idempotencies = map[string]scheduler.Idempotency{
		"pure":        scheduler.Idempotent,
		"token":       scheduler.IdempotentWithKey,
		"side_effect": scheduler.NonIdempotent,
	}
	scopes = map[string]scheduler.DedupScope{
		"all":  scheduler.AllWorkers,
		"zone": scheduler.SameZone,
		"cell": scheduler.SameGroup,
	}
	reportSources = map[string]scheduler.LoadReportSource{
		"answers": scheduler.LoadReportsInResponses,
		"probe":   scheduler.LoadReportsInProbes,
	}
	sizeMeanings = map[string]scheduler.SizeSource{
		"nominal": scheduler.SizeNominal,
		"rough":   scheduler.SizeEstimated,
		"live":    scheduler.SizeMeasured,
	}
	reportFields = map[string]scheduler.LoadReportField{
		"outstanding":  scheduler.FieldInFlight,
		"backlog":      scheduler.FieldQueue,
		"utilization":  scheduler.FieldUtilization,
		"recent_ms":    scheduler.FieldLatencyMS,
		"throughput":   scheduler.FieldRate,
		"errors_per_s": scheduler.FieldErrorRate,
		"x0":           scheduler.FieldX0,
		"x1":           scheduler.FieldX1,
	}
)

// ParseSettings reads the settings of a controller: the text of a Provision on the simulator's wire, or the object
// "settings" of a platform's configuration. Its error is that the text is not such JSON. An unknown word becomes the
// zero value, which the scheduler rejects where it must know.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := scheduler.Settings{
		ControllerIndex:    t.ControllerIndex,
		Controllers:        t.Controllers,
		Zone:               t.Zone,
		Zones:              t.Zones,
		Tier:               t.Tier,
		Tiers:              t.Tiers,
		Kinds:              t.Kinds,
		OverQuotaWeight:    t.OverQuotaWeight,
		WeightByRunTime:    t.WeightBy == "work",
		ClientsMarkRetries: t.Clients.MarksRetry,
		PollEndpoints:      t.Discovery == "ask",
		Tick:               t.Tick.duration(),
		Workload:           t.Workload,
		SizeSource:         sizeMeanings[t.Sizes],
		LoadReportSource:   reportSources[t.Report.Via],
		Limits:             t.Limits.limits(),
		Loading:            t.Loading.loading(),
		Guarantees:         t.Guarantees.guarantees(),
		Goal: scheduler.Goal{
			Overall:     t.Goal.Whole,
			WorstWindow: t.Goal.WorstWindow,
			WorstClass:  t.Goal.WorstClass,
			WorstTenant: t.Goal.WorstTenant,
		},
		Prices: t.Prices.prices(),
	}
	for _, c := range t.Classes {
		s.Classes = append(s.Classes, c.class())
	}
	for _, tenant := range t.Tenants {
		s.Tenants = append(s.Tenants, scheduler.Tenant{
			Name: tenant.Name, Quota: tenant.QuotaPerS, Share: tenant.Share,
		})
	}
	for _, field := range t.Report.Fields {
		s.LoadReportFields = append(s.LoadReportFields, reportFields[field])
	}
	return s, nil
}

func (t limitsText) limits() scheduler.Limits {
	return scheduler.Limits{
		MaxAttempts:           t.MaxAttempts,
		MaxOpenRequests:       t.MaxOpenRequests,
		HedgedRequests:        t.HedgedRequests,
		Cancel:                t.Cancel,
		Probe:                 t.Probe,
		Peers:                 t.Peers,
		RetryAfter:            t.RetryAfter,
		MaxRetryAfter:         t.MaxRetryAfter.duration(),
		DialTimeout:           t.DialTimeout.duration(),
		IdleConnectionTimeout: t.IdleConnectionTimeout.duration(),
		StreamsPerConnection:  t.StreamsPerConnection,
		CPUPerRequestUS:       t.CPUPerRequestUS,
		CPUPerSecondUS:        t.CPUPerSecondUS,
	}
}

func (t domainText) loading() scheduler.Loading {
	return scheduler.Loading{
		Orders:              t.Orders,
		LoadsOnMiss:         t.OnMiss == "load",
		OnMissKnown:         t.OnMiss == "load" || t.OnMiss == "miss",
		IdleCopyTTL:         t.IdleCopyTTL.duration(),
		OrderTimeout:        t.OrderTimeout.duration(),
		BudgetWindow:        t.BudgetWindow.duration(),
		BudgetFree:          t.BudgetFree,
		BudgetRatio:         t.BudgetRatio,
		IdlePrice:           t.IdlePrice,
		ReportsLoadNotes:    t.LoadNotesGiven,
		ReportsSameFunction: t.SameFunctionCounted,
		MemoryMB:            t.MemoryMB,
		X0:                  t.X0,
		X1:                  t.X1,
	}
}

func (t guaranteesText) guarantees() scheduler.Guarantees {
	return scheduler.Guarantees{
		AnswerGrace:     t.AnswerGrace.duration(),
		DrainGrace:      t.DrainGrace.duration(),
		MaxPollInterval: t.PollWithin.duration(),
		WarmupFraction:  t.WarmupFraction,
		WarmupTime:      t.WarmupTime.duration(),
		CollapseFactor:  t.CollapseFactor,
		CollapseWindow:  t.CollapseWindow.duration(),
	}
}

func (t costsText) prices() scheduler.Prices {
	return scheduler.Prices{
		Connection: t.Connection,
		CrossZone:  t.CrossZone,
		LateFail:   t.LateFail,
		Discovery:  t.Discovery,
		Handshake:  t.Handshake,
		Moves:      t.Moves,
		Origin:     t.Origin,
		Peer:       t.Peer,
		Probe:      t.Probe,
		Waste:      t.Waste,
	}
}

func (t classText) class() scheduler.Class {
	return scheduler.Class{
		Name:             t.Name,
		Idempotency:      idempotencies[t.Idempotency],
		DedupScope:       scopes[t.DedupScope],
		DedupWindow:      t.DedupWindow.duration(),
		LatencyObjective: t.LatencyObjective.duration(),
		ObjectiveStretch: t.ObjectiveStretch,
		Deadline:         t.Deadline.duration(),
		PriorityWeight:   t.PriorityWeight,
		LateValue:        t.LateValue,
		Stream:           t.Stream,
	}
}
