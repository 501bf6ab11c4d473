package hookengine

import (
	"slices"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

func (e *Engine) run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			if !e.killed.Load() {
				e.store(true)
			}
			if e.log != nil {
				e.log.Close()
			}
			return
		case <-e.wake:
		case f := <-e.calls:
			f()
		case p := <-e.queue:
			e.one(p)
		case <-timer.C:
		}
		if l := e.list.Swap(nil); l != nil {
			e.advise([]hookadvice.Event{hookadvice.WorkerList{List: *l}})
		}
		e.follow()
		now := e.cfg.Clock.Now()
		e.timers(now)
		e.life.StartProbes(now)
		e.advise(nil)
		e.follow()
		e.store(false)
		timer.Reset(max(time.Millisecond, min(e.next(now)-now, time.Hour)))
	}
}

func (e *Engine) next(now time.Duration) time.Duration {
	at := now + time.Hour
	least := func(t time.Duration) {
		if t > 0 {
			at = min(at, t)
		}
	}
	least(e.life.NextProbe())
	least(e.table.NextExpiry())
	for _, r := range e.ran {
		if r.every > 0 {
			least(r.next)
		}
		if r.changed {
			least(e.saved + e.cfg.SaveInterval)
		}
	}
	return at
}

func (e *Engine) timers(now time.Duration) {
	for _, s := range e.life.Scripts {
		if r := e.ran[s.Name]; r != nil && r.every > 0 && now >= r.next {
			r.count++
			if r.next += r.every; r.next <= now { // late ones are not made up for
				r.next = now + r.every
			}
			open := 0
			if e.cfg.Open != nil {
				open = e.cfg.Open()
			}
			e.event(s, "timer", hooklang.Tick{Count: r.count, Open: open}, now)
		}
	}
}

// one carries out what was posted.
func (e *Engine) one(p posted) {
	if p.ran {
		e.life.RecordRun(p.at, p.script, p.version, p.fault, p.fuel)
		if p.fault != "" {
			e.Counts.Faults.Add(1)
		}
		for _, a := range p.advice {
			if a.Kind == "log" {
				e.cfg.Log.Info().Str("script", p.script).Msg(a.Text)
			}
		}
		if r := e.shadow[p.script]; r != nil && p.event != nil {
			e.try(r, p.point, p.event, p.advice, p.fault)
		}
		return
	}
	for _, s := range slices.Clone(e.life.Scripts) {
		e.event(s, p.point, p.event, e.cfg.Clock.Now())
	}
}

// event runs a script's handler of one event, aside, and then its shadow's.
func (e *Engine) event(s *Script, point string, ev hooklang.Event, now time.Duration) {
	r := e.ran[s.Name]
	if r == nil || !r.p.Has(point) {
		if sh := e.shadow[s.Name]; r != nil && sh != nil && sh.p.Has(point) {
			e.try(sh, point, ev, nil, "")
		}
		return
	}
	if !e.life.WithinRate(now, &s.Tally) {
		return // nor does its shadow see what it is not to be compared on
	}
	res, err := e.aside(r, point, ev)
	s.Tally.debt += res.Fuel
	fault := ""
	if err != nil {
		fault = err.Error()
		e.Counts.Faults.Add(1)
	} else if res.State != r.state {
		r.state, r.changed = res.State, true
		if r.p.Has("arrive") {
			e.publish()
		}
	}
	e.life.RecordRun(now, s.Name, r.version, fault, res.Fuel)
	if len(res.Advice) > 0 {
		var l []hooklang.Advice
		for _, a := range res.Advice {
			if a.Kind == "log" {
				e.cfg.Log.Info().Str("script", s.Name).Msg(a.Text)
			} else {
				l = append(l, a)
			}
		}
		e.advise([]hookadvice.Event{hookadvice.AdviceGiven{Script: s.Name, Version: r.version, Items: l}})
	}
	if sh := e.shadow[s.Name]; sh != nil {
		e.try(sh, point, ev, res.Advice, fault)
	}
}

func (e *Engine) aside(r *running, point string, ev hooklang.Event) (hooklang.Result, error) {
	begin := time.Now()
	lim := e.cfg.Aside
	if point == "arrive" {
		lim = e.cfg.Inline
	}
	lim.Stop = func() bool { return time.Since(begin) > e.cfg.RunTimeout }
	res, err := e.vm.Run(r.p, point, ev, r.state, hooklang.Env{Now: int64(e.cfg.Clock.Now()), Wall: e.cfg.Clock.Wall().Unix()}, lim)
	e.Counts.Aside.Add(1)
	e.Counts.AsideNanos.Add(int64(time.Since(begin)))
	return res, err
}

// try runs a shadow on an event that the live version has had, and compares. What it advises goes nowhere.
func (e *Engine) try(r *running, point string, ev hooklang.Event, live []hooklang.Advice, fault string) {
	if !r.p.Has(point) {
		e.life.RecordTrial(r.name, r.version, "", 0, len(live) == 0)
		return
	}
	if s := e.life.Find(r.name); s == nil || !e.life.WithinRate(e.cfg.Clock.Now(), &s.Trial) {
		return
	}
	res, err := e.aside(r, point, ev)
	if err != nil {
		e.life.RecordTrial(r.name, r.version, err.Error(), res.Fuel, false)
		return
	}
	r.state = res.State
	e.life.RecordTrial(r.name, r.version, "", res.Fuel, fault == "" && slices.Equal(res.Advice, live))
}
