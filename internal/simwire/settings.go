package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"kitehub/scheduler"
)

type ms float64

func (m ms) d() time.Duration { return ToDuration(float64(m)) }

// env mirrors the settings text of the wire; what it does not name is skipped.
type env struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		AimStretch float64 `json:"aimStretch"`
		TargetMs   ms      `json:"targetMs"`
		GiveUpMs   ms      `json:"giveUpMs"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		LateShare  float64 `json:"lateShare"`
		Name       string  `json:"name"`
		Stream     bool    `json:"stream"`
		WindowMs   ms      `json:"windowMs"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	MembershipMode string `json:"membershipMode"`
	Workload       string `json:"workload"`
	Domain         struct {
		IdleLifeMs     ms        `json:"idleLifeMs"`
		MachineMb      []float64 `json:"machineMb"`
		LoadsAnyway    float64   `json:"loadsAnyway"`
		LoadRatio      float64   `json:"loadRatio"`
		LoadWindowMs   ms        `json:"loadWindowMs"`
		IdleMemoryCost float64   `json:"idleMemoryCost"`
		OnMiss         string    `json:"onMiss"`
		AnswerWithinMs ms        `json:"answerWithinMs"`
		MayOrder       bool      `json:"mayOrder"`
		ReportX0       string    `json:"reportX0"`
		ReportX1       string    `json:"reportX1"`
		CountsAlike    bool      `json:"countsAlike"`
		WarmNotes      bool      `json:"warmNotes"`
	} `json:"domain"`
	Goal struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		WorstWindow float64 `json:"worstWindow"`
	} `json:"goal"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		Cancel          bool    `json:"cancel"`
		KeepaliveMs     ms      `json:"keepaliveMs"`
		DialTimeoutMs   ms      `json:"dialTimeoutMs"`
		CPUUsPerRequest float64 `json:"cpuUsPerRequest"`
		CPUUsPerS       float64 `json:"cpuUsPerS"`
		MostTries       int     `json:"mostTries"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfterMs ms      `json:"maxRetryAfterMs"`
		PeerMessages    bool    `json:"peerMessages"`
		Probes          bool    `json:"probes"`
		RetryAfter      bool    `json:"retryAfter"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		StreamsPerConn  int     `json:"streamsPerConn"`
	} `json:"limits"`
	Me             int     `json:"me"`
	OverShareWorth float64 `json:"overShareWorth"`
	Costs          struct {
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
	} `json:"costs"`
	Report struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Guarantees struct {
		GraceToAnswerMs ms      `json:"graceToAnswerMs"`
		AskWithinMs     ms      `json:"askWithinMs"`
		ColdFrom        float64 `json:"coldFrom"`
		ColdMs          ms      `json:"coldMs"`
		DrainGraceMs    ms      `json:"drainGraceMs"`
		FallMultiple    float64 `json:"fallMultiple"`
		OverloadForMs   ms      `json:"overloadForMs"`
	} `json:"guarantees"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	TickMs       ms       `json:"tickMs"`
	Tier         int      `json:"tier"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weightSource"`
	WorthBy      string   `json:"worthBy"`
	Zone         int      `json:"zone"`
	Localities   []string `json:"localities"`
}

var (
	effects = map[string]scheduler.Idempotency{"pure": scheduler.Idempotent, "token": scheduler.IdempotentWithKey, "side_effect": scheduler.NonIdempotent}
	scopes  = map[string]scheduler.DedupScope{"all": scheduler.AllWorkers, "zone": scheduler.SameZone, "cell": scheduler.SameGroup}
	vias    = map[string]scheduler.ReportSource{"answers": scheduler.ReportsInAnswers, "probe": scheduler.ReportsInProbes}
	sizes   = map[string]scheduler.SizeMeaning{"nominal": scheduler.SizeNominal, "rough": scheduler.SizeRough,
		"live": scheduler.SizeLive}
	fields = map[string]scheduler.ReportField{"outstanding": scheduler.FieldInFlight, "backlog": scheduler.FieldQueue,
		"utilization": scheduler.FieldUtil, "recent_ms": scheduler.FieldLatencyMS, "throughput": scheduler.FieldRate,
		"errors_per_s": scheduler.FieldErrorRate, "x0": scheduler.FieldX0, "x1": scheduler.FieldX1}
)

// ParseSettings reads the settings of a controller: the text of a Provision on the simulator's wire, or the object
// "settings" of a platform's configuration. A word it does not know becomes the zero value, which the module rejects where
// it must know.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var e env
	if err := json.Unmarshal(text, &e); err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := scheduler.Settings{
		ControllerIndex: e.Me, Controllers: e.Balancers, Zone: e.Zone, Zones: e.Localities, Tier: e.Tier, Tiers: e.Tiers,
		Kinds: e.Kinds, OverQuotaWeight: e.OverShareWorth, WeightByWork: e.WorthBy == "work",
		ClientsMarkRetries: e.Clients.MarksRetry, PollForList: e.MembershipMode == "ask", Tick: e.TickMs.d(),
		Workload: e.Workload, Sizes: sizes[e.WeightSource], ReportVia: vias[e.Report.Via],
		Limits: scheduler.Limits{MaxAttempts: e.Limits.MostTries, MaxOpenRequests: e.Limits.MaxOpen,
			HedgedRequests: e.Limits.MayDuplicate, Cancel: e.Limits.Cancel, Probe: e.Limits.Probes,
			Peers: e.Limits.PeerMessages, RetryAfter: e.Limits.RetryAfter,
			MaxRetryAfter: e.Limits.MaxRetryAfterMs.d(), DialTimeout: e.Limits.DialTimeoutMs.d(),
			IdleConnectionTimeout: e.Limits.KeepaliveMs.d(), StreamsPerConnection: e.Limits.StreamsPerConn,
			CPUPerRequestUS: e.Limits.CPUUsPerRequest, CPUPerSecondUS: e.Limits.CPUUsPerS},
		Loading: scheduler.Loading{Orders: e.Domain.MayOrder, LoadsOnMiss: e.Domain.OnMiss == "load",
			OnMissKnown: e.Domain.OnMiss == "load" || e.Domain.OnMiss == "miss",
			IdleCopyTTL: e.Domain.IdleLifeMs.d(), OrderTimeout: e.Domain.AnswerWithinMs.d(),
			BudgetWindow: e.Domain.LoadWindowMs.d(), BudgetFree: e.Domain.LoadsAnyway, BudgetRatio: e.Domain.LoadRatio,
			IdlePrice: e.Domain.IdleMemoryCost, LoadNotesGiven: e.Domain.WarmNotes,
			SameFunctionCounted: e.Domain.CountsAlike, MemoryMB: e.Domain.MachineMb, X0: e.Domain.ReportX0,
			X1: e.Domain.ReportX1},
		Guarantees: scheduler.Guarantees{AnswerGrace: e.Guarantees.GraceToAnswerMs.d(),
			DrainGrace: e.Guarantees.DrainGraceMs.d(), PollWithin: e.Guarantees.AskWithinMs.d(),
			WarmupFraction: e.Guarantees.ColdFrom, WarmupTime: e.Guarantees.ColdMs.d(),
			CollapseFactor: e.Guarantees.FallMultiple, CollapseWindow: e.Guarantees.OverloadForMs.d()},
		Goal: scheduler.Goal{Overall: e.Goal.Whole, WorstWindow: e.Goal.WorstWindow, WorstClass: e.Goal.WorstClass,
			WorstTenant: e.Goal.WorstTenant},
		Prices: scheduler.Prices{Connection: e.Costs.Connection, CrossZone: e.Costs.CrossZone,
			LateFail: e.Costs.LateFail, Discovery: e.Costs.MembershipMode, Handshake: e.Costs.Handshake,
			Moves: e.Costs.Moves, Origin: e.Costs.Origin, Peer: e.Costs.Peer, Probe: e.Costs.Probe,
			Waste: e.Costs.Waste},
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, scheduler.Class{Name: c.Name, Idempotency: effects[c.Effect],
			DedupScope: scopes[c.KeyScope], DedupWindow: c.WindowMs.d(), LatencyObjective: c.TargetMs.d(), ObjectiveStretch: c.AimStretch,
			Deadline: c.GiveUpMs.d(), PriorityWeight: c.Worth, LateValue: c.LateShare, Stream: c.Stream})
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, scheduler.Tenant{Name: t.Name, Quota: t.QuotaPerS, Share: t.Share})
	}
	for _, f := range e.Report.Fields {
		s.Report = append(s.Report, fields[f])
	}
	return s, nil
}
