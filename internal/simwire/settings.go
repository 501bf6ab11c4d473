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

// settingsText mirrors the settings text of the wire. What it does not name is ignored.
type settingsText struct {
	Balancers int         `json:"balancers"`
	Classes   []classText `json:"classes"`
	Clients   struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	MembershipMode string     `json:"membershipMode"`
	Workload       string     `json:"workload"`
	Domain         domainText `json:"domain"`
	Goal           struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		WorstWindow float64 `json:"worstWindow"`
	} `json:"goal"`
	Kinds          []string   `json:"kinds"`
	Limits         limitsText `json:"limits"`
	Me             int        `json:"me"`
	OverShareWorth float64    `json:"overShareWorth"`
	Costs          costsText  `json:"costs"`
	Report         struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Guarantees guaranteesText `json:"guarantees"`
	Tenants    []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	TickMs       milliseconds `json:"tickMs"`
	Tier         int          `json:"tier"`
	Tiers        []string     `json:"tiers"`
	WeightSource string       `json:"weightSource"`
	WorthBy      string       `json:"worthBy"`
	Zone         int          `json:"zone"`
	Localities   []string     `json:"localities"`
}

type classText struct {
	AimStretch float64      `json:"aimStretch"`
	TargetMs   milliseconds `json:"targetMs"`
	GiveUpMs   milliseconds `json:"giveUpMs"`
	Effect     string       `json:"effect"`
	KeyScope   string       `json:"keyScope"`
	LateShare  float64      `json:"lateShare"`
	Name       string       `json:"name"`
	Stream     bool         `json:"stream"`
	WindowMs   milliseconds `json:"windowMs"`
	Worth      float64      `json:"worth"`
}

type domainText struct {
	IdleLifeMs     milliseconds `json:"idleLifeMs"`
	MachineMb      []float64    `json:"machineMb"`
	LoadsAnyway    float64      `json:"loadsAnyway"`
	LoadRatio      float64      `json:"loadRatio"`
	LoadWindowMs   milliseconds `json:"loadWindowMs"`
	IdleMemoryCost float64      `json:"idleMemoryCost"`
	OnMiss         string       `json:"onMiss"`
	AnswerWithinMs milliseconds `json:"answerWithinMs"`
	MayOrder       bool         `json:"mayOrder"`
	ReportX0       string       `json:"reportX0"`
	ReportX1       string       `json:"reportX1"`
	CountsAlike    bool         `json:"countsAlike"`
	WarmNotes      bool         `json:"warmNotes"`
}

type limitsText struct {
	Cancel          bool         `json:"cancel"`
	KeepaliveMs     milliseconds `json:"keepaliveMs"`
	DialTimeoutMs   milliseconds `json:"dialTimeoutMs"`
	CPUUsPerRequest float64      `json:"cpuUsPerRequest"`
	CPUUsPerS       float64      `json:"cpuUsPerS"`
	MostTries       int          `json:"mostTries"`
	MaxOpen         int          `json:"maxOpen"`
	MaxRetryAfterMs milliseconds `json:"maxRetryAfterMs"`
	PeerMessages    bool         `json:"peerMessages"`
	Probes          bool         `json:"probes"`
	RetryAfter      bool         `json:"retryAfter"`
	MayDuplicate    bool         `json:"mayDuplicate"`
	StreamsPerConn  int          `json:"streamsPerConn"`
}

type costsText struct {
	Connection     float64 `json:"connection"`
	CrossZone      float64 `json:"crossZone"`
	LateFail       float64 `json:"lateFail"`
	MembershipMode float64 `json:"membershipMode"`
	Handshake      float64 `json:"handshake"`
	Moves          float64 `json:"moves"`
	Origin         float64 `json:"origin"`
	Peer           float64 `json:"peer"`
	Probe          float64 `json:"probe"`
	Waste          float64 `json:"waste"`
}

type guaranteesText struct {
	GraceToAnswerMs milliseconds `json:"graceToAnswerMs"`
	AskWithinMs     milliseconds `json:"askWithinMs"`
	ColdFrom        float64      `json:"coldFrom"`
	ColdMs          milliseconds `json:"coldMs"`
	DrainGraceMs    milliseconds `json:"drainGraceMs"`
	FallMultiple    float64      `json:"fallMultiple"`
	OverloadForMs   milliseconds `json:"overloadForMs"`
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
	reportSources = map[string]scheduler.ReportSource{
		"answers": scheduler.ReportsInAnswers,
		"probe":   scheduler.ReportsInProbes,
	}
	sizeMeanings = map[string]scheduler.SizeMeaning{
		"nominal": scheduler.SizeNominal,
		"rough":   scheduler.SizeRough,
		"live":    scheduler.SizeLive,
	}
	reportFields = map[string]scheduler.ReportField{
		"outstanding":  scheduler.FieldInFlight,
		"backlog":      scheduler.FieldQueue,
		"utilization":  scheduler.FieldUtil,
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
		ControllerIndex:    t.Me,
		Controllers:        t.Balancers,
		Zone:               t.Zone,
		Zones:              t.Localities,
		Tier:               t.Tier,
		Tiers:              t.Tiers,
		Kinds:              t.Kinds,
		OverQuotaWeight:    t.OverShareWorth,
		WeightByWork:       t.WorthBy == "work",
		ClientsMarkRetries: t.Clients.MarksRetry,
		PollForList:        t.MembershipMode == "ask",
		Tick:               t.TickMs.duration(),
		Workload:           t.Workload,
		Sizes:              sizeMeanings[t.WeightSource],
		ReportVia:          reportSources[t.Report.Via],
		Limits:             t.Limits.limits(),
		Loading:            t.Domain.loading(),
		Guarantees:         t.Guarantees.guarantees(),
		Goal: scheduler.Goal{
			Overall:     t.Goal.Whole,
			WorstWindow: t.Goal.WorstWindow,
			WorstClass:  t.Goal.WorstClass,
			WorstTenant: t.Goal.WorstTenant,
		},
		Prices: t.Costs.prices(),
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
		s.Report = append(s.Report, reportFields[field])
	}
	return s, nil
}

func (t limitsText) limits() scheduler.Limits {
	return scheduler.Limits{
		MaxAttempts:           t.MostTries,
		MaxOpenRequests:       t.MaxOpen,
		HedgedRequests:        t.MayDuplicate,
		Cancel:                t.Cancel,
		Probe:                 t.Probes,
		Peers:                 t.PeerMessages,
		RetryAfter:            t.RetryAfter,
		MaxRetryAfter:         t.MaxRetryAfterMs.duration(),
		DialTimeout:           t.DialTimeoutMs.duration(),
		IdleConnectionTimeout: t.KeepaliveMs.duration(),
		StreamsPerConnection:  t.StreamsPerConn,
		CPUPerRequestUS:       t.CPUUsPerRequest,
		CPUPerSecondUS:        t.CPUUsPerS,
	}
}

func (t domainText) loading() scheduler.Loading {
	return scheduler.Loading{
		Orders:              t.MayOrder,
		LoadsOnMiss:         t.OnMiss == "load",
		OnMissKnown:         t.OnMiss == "load" || t.OnMiss == "miss",
		IdleCopyTTL:         t.IdleLifeMs.duration(),
		OrderTimeout:        t.AnswerWithinMs.duration(),
		BudgetWindow:        t.LoadWindowMs.duration(),
		BudgetFree:          t.LoadsAnyway,
		BudgetRatio:         t.LoadRatio,
		IdlePrice:           t.IdleMemoryCost,
		LoadNotesGiven:      t.WarmNotes,
		SameFunctionCounted: t.CountsAlike,
		MemoryMB:            t.MachineMb,
		X0:                  t.ReportX0,
		X1:                  t.ReportX1,
	}
}

func (t guaranteesText) guarantees() scheduler.Guarantees {
	return scheduler.Guarantees{
		AnswerGrace:    t.GraceToAnswerMs.duration(),
		DrainGrace:     t.DrainGraceMs.duration(),
		PollWithin:     t.AskWithinMs.duration(),
		WarmupFraction: t.ColdFrom,
		WarmupTime:     t.ColdMs.duration(),
		CollapseFactor: t.FallMultiple,
		CollapseWindow: t.OverloadForMs.duration(),
	}
}

func (t costsText) prices() scheduler.Prices {
	return scheduler.Prices{
		Connection: t.Connection,
		CrossZone:  t.CrossZone,
		LateFail:   t.LateFail,
		Discovery:  t.MembershipMode,
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
		Idempotency:      idempotencies[t.Effect],
		DedupScope:       scopes[t.KeyScope],
		DedupWindow:      t.WindowMs.duration(),
		LatencyObjective: t.TargetMs.duration(),
		ObjectiveStretch: t.AimStretch,
		Deadline:         t.GiveUpMs.duration(),
		PriorityWeight:   t.Worth,
		LateValue:        t.LateShare,
		Stream:           t.Stream,
	}
}
