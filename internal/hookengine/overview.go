package hookengine

import (
	"encoding/json"
	"time"

	"kitehub/internal/hookadvice"
)

// ScriptOverview describes a script to operators.
type ScriptOverview struct {
	Name        string    `json:"name"`
	Status      string    `json:"status"`              // see [Script.Status]
	Live        uint64    `json:"live,omitempty"`      // number of the live version
	Digest      string    `json:"digest,omitempty"`    // of the live version's text
	Previous    uint64    `json:"before,omitempty"`    // number of the previous version
	Shadow      uint64    `json:"shadow,omitempty"`    // number of the shadow version
	Points      []string  `json:"points,omitempty"`    // points that the live version has handlers for
	LiveStats   RunStats  `json:"tally"`               // of the live version
	ShadowStats *RunStats `json:"trial,omitempty"`     // of the shadow version
	LastFault   string    `json:"fault,omitempty"`     // see [Script]
	State       string    `json:"state,omitempty"`     // of the live version, as declarations in the hook language
	ProbeInS    float64   `json:"back_in_s,omitempty"` // seconds until the open circuit admits a probe
}

// Overview describes all scripts and their advice to operators.
type Overview struct {
	Scripts            []ScriptOverview `json:"scripts"`
	AdviceInForce      []string         `json:"standing"`            // one line per item, see inForceLine
	Posted             int64            `json:"posted"`              // events and inline runs queued so far
	Dropped            int64            `json:"dropped"`             // events and inline runs dropped by the full queue
	QueueLength        int              `json:"waiting"`             // events and inline runs in the queue
	AdviceAccepted     int              `json:"advice_taken"`        // items of advice accepted so far
	CallsRejected      int64            `json:"calls_refused"`       // calls rejected by hooks or a cap
	OverRejectionLimit int64            `json:"refusals_over_bound"` // rejections by hooks that the limit overruled
	AdviceSuppressed   int              `json:"advice_set_aside"`    // items of advice suppressed
}

// Overview returns the scripts, the advice in force and the counters. It returns an error if the
// engine has stopped.
func (e *Engine) Overview() (o Overview, err error) {
	o.Scripts = []ScriptOverview{}
	o.AdviceInForce = []string{}
	err = e.runOnEngine(func() {
		now := e.config.Clock.Now()
		for _, s := range e.lifecycle.Scripts {
			o.Scripts = append(o.Scripts, e.scriptOverview(s, now))
		}
		for _, effect := range e.table.InForce() {
			o.AdviceInForce = append(o.AdviceInForce, inForceLine(effect, now))
		}
		o.AdviceAccepted = e.table.Counts.Accepted
		o.AdviceSuppressed = e.table.Counts.Suppressed
	})
	o.Posted = e.Counts.Posted.Load()
	o.Dropped = e.Counts.Dropped.Load()
	o.QueueLength = len(e.queue)
	o.CallsRejected = e.Counts.Rejections.Load()
	o.OverRejectionLimit = e.Counts.OverRejectionLimit.Load()
	return o, err
}

func (e *Engine) scriptOverview(s *Script, now time.Duration) ScriptOverview {
	shown := ScriptOverview{Name: s.Name, Status: s.Status(now), LiveStats: s.LiveStats, LastFault: s.LastFault}
	if s.Live != nil {
		shown.Live = s.Live.Number
		shown.Digest = s.Live.Digest
	}
	if s.Previous != nil {
		shown.Previous = s.Previous.Number
	}
	if s.Shadow != nil {
		trial := s.ShadowStats
		shown.Shadow = s.Shadow.Number
		shown.ShadowStats = &trial
	}
	if live := e.live[s.Name]; live != nil {
		shown.Points, _ = live.program.Points()
		shown.State = live.state.String()
	}
	if s.circuit.open && s.circuit.openUntil > now {
		shown.ProbeInS = (s.circuit.openUntil - now).Seconds()
	}
	return shown
}

// inForceLine formats an item of advice in force as its kind followed by JSON, for operators.
func inForceLine(effect hookadvice.Effect, now time.Duration) string {
	kind := "tenants"
	shown := any(effect)
	switch effect := effect.(type) {
	case hookadvice.KeepWarm:
		kind = "warm"
		remaining := (effect.Until - now).Seconds()
		shown = map[string]any{"function": effect.Function, "copies": effect.Copies, "for_s": remaining}
	case hookadvice.RankWorker:
		kind = "regard"
		remaining := (effect.Until - now).Seconds()
		shown = map[string]any{"worker": effect.Worker, "rank": effect.Rank, "for_s": remaining}
	}
	text, _ := json.Marshal(shown) // cannot fail for these types
	return kind + " " + string(text)
}
