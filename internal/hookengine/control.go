package hookengine

import (
	"context"
	"encoding/json"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// recordsKept is how many records the log may have before a snapshot of all is written.
const recordsKept = 200

func (e *Engine) append(r record) {
	if e.log == nil || e.failed != nil {
		return
	}
	text, err := json.Marshal(r)
	if err == nil {
		e.seq, err = e.log.Append(context.Background(), text)
	}
	if err != nil { // hooks go on; what they store from here on does not outlive the process
		e.failed = err
		e.cfg.Log.Error().Err(err).Msg("hooks: scripts and states are not stored any more: start anew")
		return
	}
	if e.since++; e.since >= recordsKept {
		e.since = 0
		s := snapshot{Scripts: e.life.Scripts, Last: e.life.Last, States: map[string]json.RawMessage{}}
		for _, k := range e.life.Scripts {
			if text := e.states[k.Name]; text != nil { // of one in quarantine too
				s.States[k.Name] = text
			}
		}
		if text, err = json.Marshal(s); err == nil {
			err = e.log.Snapshot(e.seq, text)
		}
		if err != nil {
			e.cfg.Log.Warn().Err(err).Msg("hooks: no snapshot: the log grows")
		}
	}
}

// store writes states that have changed, not too often unless all is to be written.
func (e *Engine) store(all bool) {
	now := e.cfg.Clock.Now()
	if !all && now < e.saved+e.cfg.SaveInterval {
		return
	}
	for _, s := range e.life.Scripts {
		r := e.ran[s.Name]
		if r == nil || !r.changed {
			continue
		}
		r.changed, e.saved = false, now
		text, err := r.state.MarshalJSON()
		if err == nil {
			e.append(record{State: s.Name, Value: text})
			e.states[s.Name] = text
		}
	}
}

// Load checks a text and takes it as a script's next version.
func (e *Engine) Load(name, text, from string, shadow bool) (version uint64, warnings hooklang.Problems, err error) {
	p, err := hooklang.Compile(name+".hook", text)
	if err != nil {
		return 0, nil, err
	}
	if err := p.FirstFailure(); err != nil { // a script whose own tests fail is not what its author means
		return 0, p.Warnings, err
	}
	if stopped := e.do(func() { version, err = e.life.Load(name, text, from, shadow); e.follow() }); stopped != nil {
		return 0, p.Warnings, stopped
	}
	return version, p.Warnings, err
}

// Promote makes the shadow version of a script live, as [Lifecycle.Promote] does.
func (e *Engine) Promote(name string, force bool) error {
	return e.act(func() error { return e.life.Promote(name, force) })
}

// Rollback makes the previous version live again, as [Lifecycle.Rollback] does.
func (e *Engine) Rollback(name string) error {
	return e.act(func() error { return e.life.Rollback(name) })
}

// Release ends the quarantine of a script, as [Lifecycle.Release] does.
func (e *Engine) Release(name string) error {
	return e.act(func() error { return e.life.Release(name) })
}

// Remove deletes a script with its versions and state, as [Lifecycle.Remove] does.
func (e *Engine) Remove(name string) error {
	return e.act(func() error { return e.life.Remove(name) })
}

func (e *Engine) act(f func() error) (err error) {
	if stopped := e.do(func() { err = f(); e.follow() }); stopped != nil {
		return stopped
	}
	return err
}

// Shown is a script as operators see it.
type Shown struct {
	Name    string   `json:"name"`
	Status  string   `json:"status"`
	Live    uint64   `json:"live,omitempty"`
	Digest  string   `json:"digest,omitempty"`
	Before  uint64   `json:"before,omitempty"`
	Shadow  uint64   `json:"shadow,omitempty"`
	Points  []string `json:"points,omitempty"`
	Tally   Tally    `json:"tally"`
	Trial   *Tally   `json:"trial,omitempty"`
	Fault   string   `json:"fault,omitempty"`
	State   string   `json:"state,omitempty"`
	BackInS float64  `json:"back_in_s,omitempty"`
}

// Overview is all that operators see of hooks.
type Overview struct {
	Scripts  []Shown  `json:"scripts"`
	Standing []string `json:"standing"`
	Posted   int64    `json:"posted"`
	Dropped  int64    `json:"dropped"`
	Waiting  int      `json:"waiting"`
	Taken    int      `json:"advice_taken"`
	Refused  int64    `json:"calls_refused"`
	Over     int64    `json:"refusals_over_bound"`
	Aside    int      `json:"advice_set_aside"`
}

// Overview returns how the scripts are, and what they advise that stands.
func (e *Engine) Overview() (o Overview, err error) {
	o.Scripts, o.Standing = []Shown{}, []string{}
	err = e.do(func() {
		now := e.cfg.Clock.Now()
		for _, s := range e.life.Scripts {
			x := Shown{Name: s.Name, Status: s.Status(now), Tally: s.Tally, Fault: s.Fault}
			if s.Live != nil {
				x.Live, x.Digest = s.Live.Number, s.Live.Digest
			}
			if s.Before != nil {
				x.Before = s.Before.Number
			}
			if s.Shadow != nil {
				trial := s.Trial
				x.Shadow, x.Trial = s.Shadow.Number, &trial
			}
			if r := e.ran[s.Name]; r != nil {
				x.Points, _ = r.p.Points()
				x.State = r.state.String()
			}
			if s.circuit.open && s.circuit.openUntil > now {
				x.BackInS = (s.circuit.openUntil - now).Seconds()
			}
			o.Scripts = append(o.Scripts, x)
		}
		for _, x := range e.table.InForce() {
			o.Standing = append(o.Standing, standing(x, now))
		}
		o.Taken, o.Aside = e.table.Counts.Accepted, e.table.Counts.Suppressed
	})
	o.Posted, o.Dropped, o.Waiting = e.Counts.Posted.Load(), e.Counts.Dropped.Load(), len(e.queue)
	o.Refused, o.Over = e.Counts.Refusals.Load(), e.Counts.Over.Load()
	return o, err
}

func standing(x hookadvice.Effect, now time.Duration) string {
	text, _ := json.Marshal(x)
	kind := "tenants"
	switch x := x.(type) {
	case hookadvice.KeepWarm:
		kind = "warm"
		text, _ = json.Marshal(map[string]any{"function": x.Function, "copies": x.Copies, "for_s": (x.Until - now).Seconds()})
	case hookadvice.RankWorker:
		kind = "regard"
		text, _ = json.Marshal(map[string]any{"worker": x.Worker, "rank": x.Rank, "for_s": (x.Until - now).Seconds()})
	}
	return kind + " " + string(text)
}
