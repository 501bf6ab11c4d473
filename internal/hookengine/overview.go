package hookengine

import (
	"encoding/json"
	"time"

	"kitehub/internal/hookadvice"
)

// Shown is a script as operators see it. Versions are given by their numbers.
type Shown struct {
	Name    string   `json:"name"`
	Status  string   `json:"status"`
	Live    uint64   `json:"live,omitempty"`
	Digest  string   `json:"digest,omitempty"`
	Before  uint64   `json:"before,omitempty"`
	Shadow  uint64   `json:"shadow,omitempty"`
	Points  []string `json:"points,omitempty"` // that the live version has handlers of
	Tally   Tally    `json:"tally"`
	Trial   *Tally   `json:"trial,omitempty"`
	Fault   string   `json:"fault,omitempty"`
	State   string   `json:"state,omitempty"`     // of the live version
	BackInS float64  `json:"back_in_s,omitempty"` // seconds until an open circuit is probed
}

// Overview is all that operators see of hooks. The numbers are those of Counts and of hookadvice.Counts.
type Overview struct {
	Scripts  []Shown  `json:"scripts"`
	Standing []string `json:"standing"` // advice that holds
	Posted   int64    `json:"posted"`
	Dropped  int64    `json:"dropped"`
	Waiting  int      `json:"waiting"` // events
	Taken    int      `json:"advice_taken"`
	Refused  int64    `json:"calls_refused"`
	Over     int64    `json:"refusals_over_bound"`
	Aside    int      `json:"advice_set_aside"`
}

// Overview returns how the scripts are, and what holds of their advice.
func (e *Engine) Overview() (o Overview, err error) {
	o.Scripts = []Shown{}
	o.Standing = []string{}
	err = e.onLoop(func() {
		now := e.cfg.Clock.Now()
		for _, s := range e.lifecycle.Scripts {
			o.Scripts = append(o.Scripts, e.show(s, now))
		}
		for _, effect := range e.table.Standing() {
			o.Standing = append(o.Standing, showStanding(effect, now))
		}
		o.Taken = e.table.Counts.Taken
		o.Aside = e.table.Counts.Aside
	})
	o.Posted = e.Counts.Posted.Load()
	o.Dropped = e.Counts.Dropped.Load()
	o.Waiting = len(e.queue)
	o.Refused = e.Counts.Refusals.Load()
	o.Over = e.Counts.Over.Load()
	return o, err
}

// show returns how a script is. It runs on the loop.
func (e *Engine) show(s *Script, now time.Duration) Shown {
	shown := Shown{Name: s.Name, Status: s.Status(now), Tally: s.Tally, Fault: s.Fault}
	if s.Live != nil {
		shown.Live = s.Live.Number
		shown.Digest = s.Live.Digest
	}
	if s.Before != nil {
		shown.Before = s.Before.Number
	}
	if s.Shadow != nil {
		trial := s.Trial
		shown.Shadow = s.Shadow.Number
		shown.Trial = &trial
	}
	if live := e.active[s.Name]; live != nil {
		shown.Points, _ = live.program.Points()
		shown.State = live.state.String()
	}
	if s.open && s.openUntil > now {
		shown.BackInS = (s.openUntil - now).Seconds()
	}
	return shown
}

// showStanding returns a line of a kind and JSON.
func showStanding(effect hookadvice.Effect, now time.Duration) string {
	kind := "tenants"
	var members any = effect
	switch effect := effect.(type) {
	case hookadvice.KeepWarm:
		kind = "warm"
		members = map[string]any{
			"function": effect.Function,
			"copies":   effect.Copies,
			"for_s":    (effect.Until - now).Seconds(),
		}
	case hookadvice.RankWorker:
		kind = "regard"
		members = map[string]any{
			"worker": effect.Worker,
			"rank":   effect.Rank,
			"for_s":  (effect.Until - now).Seconds(),
		}
	}
	text, _ := json.Marshal(members) // strings and numbers cannot fail
	return kind + " " + string(text)
}
