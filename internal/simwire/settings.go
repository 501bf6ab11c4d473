package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"kitehub/scheduler"
)

// milliseconds is a duration as the settings give it.
type milliseconds float64

func (m milliseconds) duration() time.Duration { return ToDuration(float64(m)) }

// settingsJSON is the JSON form of the settings. Its tags are the names of the protocol, and its
// fields have the names of scheduler.Settings. Unknown keys are ignored.
type settingsJSON struct {
	Controllers int         `json:"balancers"`
	Classes     []classJSON `json:"classes"`
	Clients     struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Discovery string      `json:"membershipMode"`
	Workload  string      `json:"workload"`
	Loading   loadingJSON `json:"domain"`
	Goal      struct {
		Overall     float64 `json:"whole"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		WorstWindow float64 `json:"worstWindow"`
	} `json:"goal"`
	Kinds           []string   `json:"kinds"`
	Limits          limitsJSON `json:"limits"`
	ControllerIndex int        `json:"me"`
	OverQuotaWeight float64    `json:"overShareWorth"`
	Prices          pricesJSON `json:"costs"`
	Report          struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Guarantees guaranteesJSON `json:"guarantees"`
	Tenants    []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	Tick       milliseconds `json:"tickMs"`
	Tier       int          `json:"tier"`
	Tiers      []string     `json:"tiers"`
	SizeSource string       `json:"weightSource"`
	WeightBy   string       `json:"worthBy"`
	Zone       int          `json:"zone"`
	Zones      []string     `json:"localities"`
}

type classJSON struct {
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

type loadingJSON struct {
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
	ReportsSameFunction bool         `json:"countsAlike"`
	ReportsLoadNotes    bool         `json:"warmNotes"`
}

type limitsJSON struct {
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

type pricesJSON struct {
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

type guaranteesJSON struct {
	AnswerGrace     milliseconds `json:"graceToAnswerMs"`
	MaxPollInterval milliseconds `json:"askWithinMs"`
	WarmupFraction  float64      `json:"coldFrom"`
	WarmupTime      milliseconds `json:"coldMs"`
	DrainGrace      milliseconds `json:"drainGraceMs"`
	CollapseFactor  float64      `json:"fallMultiple"`
	CollapseWindow  milliseconds `json:"overloadForMs"`
}

// Values of the protocol, as values of the scheduler.
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
	sizeSources = map[string]scheduler.SizeSource{
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

// ParseSettings parses the settings of a controller from JSON: the settings of a Provision, or the
// object "settings" in the configuration of a platform. It returns an error if the JSON is invalid
// or a value has the wrong type. An unknown value of an enumeration becomes the zero value, which
// the scheduler rejects where the value is required.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var t settingsJSON
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
		SizeSource:         sizeSources[t.SizeSource],
		LoadReportSource:   reportSources[t.Report.Via],
		Limits:             t.Limits.limits(),
		Loading:            t.Loading.loading(),
		Guarantees:         t.Guarantees.guarantees(),
		Goal: scheduler.Goal{
			Overall:     t.Goal.Overall,
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

func (t limitsJSON) limits() scheduler.Limits {
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

func (t loadingJSON) loading() scheduler.Loading {
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
		ReportsLoadNotes:    t.ReportsLoadNotes,
		ReportsSameFunction: t.ReportsSameFunction,
		MemoryMB:            t.MemoryMB,
		X0:                  t.X0,
		X1:                  t.X1,
	}
}

func (t guaranteesJSON) guarantees() scheduler.Guarantees {
	return scheduler.Guarantees{
		AnswerGrace:     t.AnswerGrace.duration(),
		DrainGrace:      t.DrainGrace.duration(),
		MaxPollInterval: t.MaxPollInterval.duration(),
		WarmupFraction:  t.WarmupFraction,
		WarmupTime:      t.WarmupTime.duration(),
		CollapseFactor:  t.CollapseFactor,
		CollapseWindow:  t.CollapseWindow.duration(),
	}
}

func (t pricesJSON) prices() scheduler.Prices {
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

func (t classJSON) class() scheduler.Class {
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
