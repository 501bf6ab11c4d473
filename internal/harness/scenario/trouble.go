package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/scheduler"
)

// wait sleeps; false if the day ended first.
func (p *player) wait(d time.Duration) bool {
	select {
	case <-p.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (p *player) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
}

// pick draws a part of the workers that are listed as ready, at least one.
func (p *player) pick(part float64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []string
	for _, name := range p.host.Names() {
		if p.listed[name] == scheduler.Ready {
			l = append(l, name)
		}
	}
	p.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	n := min(len(l), max(1, int(math.Round(part*float64(len(l))))))
	l = l[:n]
	slices.Sort(l)
	return l
}

// trouble plays one trouble.
func (p *player) trouble(t *Trouble) {
	if !p.wait(seconds(t.AtS) - (p.clk.Now() - p.begin)) {
		return
	}
	length := seconds(t.ForS)
	p.log.Add(trace.Record{Kind: trace.FaultInjected, Note: fmt.Sprintf("%v part %v size %v %s", t.What, t.Part, t.Size, t.Target)})
	faults := map[What]fakeworker.Fault{What_CUT_ANSWERS: fakeworker.CutAnswer, What_GARBAGE: fakeworker.Garbage, What_TWO_ANSWERS: fakeworker.TwoAnswers,
		What_LONG_BODY: fakeworker.LongBody, What_HUGE_BODY: fakeworker.HugeBody, What_DRIP: fakeworker.Drip}
	if f, ok := faults[t.What]; ok {
		workers := p.pick(t.Part)
		for _, w := range workers {
			p.host.Fault(w, f)
		}
		p.wait(length)
		for _, w := range workers {
			p.host.Fault(w, fakeworker.NoFault)
		}
		return
	}
	l := p.load
	set := func(f func()) {
		l.mu.Lock()
		defer l.mu.Unlock()
		f()
	}
	switch t.What {
	case What_REGISTRY:
		if p.versions != nil {
			p.versions.kill()
			p.wait(length)
			if err := p.versions.start(); err != nil {
				p.fail(err)
			}
		}
	case What_LIES:
		if p.versions != nil {
			p.versions.lie(p.pick(t.Part))
		}
	case What_KILL:
		workers := p.pick(t.Part)
		for _, w := range workers {
			p.host.Kill(w)
		}
		p.change(func() {
			for _, w := range workers {
				delete(p.listed, w)
			}
		})
		if p.wait(length) {
			p.restart(workers)
		}
	case What_SILENT:
		workers := p.pick(t.Part)
		for _, w := range workers {
			p.host.Silence(w)
		}
		if p.wait(length) {
			p.restart(workers)
		}
	case What_SLOW, What_CROWDED:
		workers := p.pick(t.Part)
		set := func(slow, taken float64) {
			p.host.Do(func(f *workersim.Fleet) {
				for i, name := range p.host.Names() {
					if slices.Contains(workers, name) && f.Up(i) {
						f.Slow(i, slow)
						f.Crowd(i, taken)
					}
				}
			})
		}
		if t.What == What_SLOW {
			set(1/max(1, t.Size), 0)
		} else {
			set(1, min(0.95, t.Size))
		}
		p.wait(length)
		set(1, 0)
	case What_DEPLOY:
		p.deploy(t)
	case What_ZONE_CUT:
		p.net.cutZone(t.Target)
		p.wait(length)
		p.net.cutZone("")
	case What_STALE:
		p.list.Delay(ms(p.s.ListDelayMs) + seconds(t.Size))
		p.wait(length)
		p.list.Delay(ms(p.s.ListDelayMs))
	case What_NO_WORKERS:
		p.change(func() { p.hidden = true })
		p.wait(length)
		p.change(func() { p.hidden = false })
	case What_CONTROLLERS:
		p.killControllers(t, length)
	case What_HANDOVER:
		for i := range int(math.Ceil(t.Part * float64(len(p.controllers)))) {
			if err := p.runController(i, true); err != nil {
				p.fail(err)
			}
		}
	case What_JUMP:
		set(func() { l.rate = t.Size })
		p.wait(length)
		set(func() { l.rate = 1 })
	case What_HOT:
		set(func() { l.hot = t.Size })
		p.wait(length)
		set(func() { l.hot = 0 })
	case What_UNSEEN:
		set(func() { l.unseen = t.Size })
		p.wait(length)
		set(func() { l.unseen = 0 })
	case What_TENANT_JUMP:
		set(func() { l.tenant[t.Target] = t.Size })
		p.wait(length)
		set(func() { delete(l.tenant, t.Target) })
	case What_FLUSH:
		p.host.Do(func(f *workersim.Fleet) { f.Flush() })
	case What_STORE_SLOW:
		p.host.Do(func(f *workersim.Fleet) { f.SlowStore(t.Size) })
		p.wait(length)
		p.host.Do(func(f *workersim.Fleet) { f.SlowStore(1) })
	case What_STORE_REFUSES:
		p.host.Do(func(f *workersim.Fleet) { f.RefuseStore(true) })
		p.wait(length)
		p.host.Do(func(f *workersim.Fleet) { f.RefuseStore(false) })
	case What_CLASS_FAILS:
		p.host.FailClass(t.Target, true)
		p.wait(length)
		p.host.FailClass(t.Target, false)
	case What_SLOW_CONNECT:
		p.net.slowConnect(ms(t.Size))
		p.wait(length)
		p.net.slowConnect(0)
	}
}

// restart brings workers back cold; the list says so.
func (p *player) restart(workers []string) {
	now := time.Now()
	var up []string
	for _, w := range workers {
		if err := p.host.Restart(w); err == nil { // one that fell over stays down: the rules show it
			up = append(up, w)
		}
	}
	p.change(func() {
		for _, w := range up {
			p.listed[w], p.started[w] = scheduler.Ready, now
		}
	})
}

// deploy drains the workers in batches; each is dead soon after, and another comes in its place, cold.
func (p *player) deploy(t *Trouble) {
	workers := p.pick(t.Part)
	batch := max(1, int(math.Round(t.Size*float64(p.s.Workers.Count))))
	batches := (len(workers) + batch - 1) / batch
	pause := seconds(t.ForS) / time.Duration(max(1, batches))
	for len(workers) > 0 {
		n := min(batch, len(workers))
		now := workers[:n]
		workers = workers[n:]
		p.change(func() {
			for _, w := range now {
				p.listed[w] = scheduler.Draining
			}
		})
		p.host.Do(func(f *workersim.Fleet) {
			for i, name := range p.host.Names() {
				if slices.Contains(now, name) {
					f.Drain(i)
				}
			}
		})
		if !p.wait(seconds(t.DrainS)) {
			return
		}
		p.mu.Lock()
		fresh := p.spares[:min(n, len(p.spares))]
		p.spares = p.spares[len(fresh):]
		p.mu.Unlock()
		for _, w := range now {
			p.host.Kill(w)
		}
		p.change(func() {
			for _, w := range now {
				delete(p.listed, w)
			}
		})
		p.restart(fresh)
		if !p.wait(max(0, pause-seconds(t.DrainS))) {
			return
		}
	}
}

// killControllers ends controllers with no word, and starts them again on what they left on disk.
func (p *player) killControllers(t *Trouble, length time.Duration) {
	n := min(int(p.s.Controllers), max(1, int(math.Round(t.Part*float64(p.s.Controllers)))))
	p.mu.Lock()
	order := p.rng.Perm(int(p.s.Controllers))[:n]
	p.mu.Unlock()
	for _, i := range order {
		p.mu.Lock()
		c := p.controllers[i]
		p.controllers[i] = nil
		p.mu.Unlock()
		if c == nil {
			continue
		}
		p.log.Add(trace.Record{Kind: trace.ControllerDown, Controller: controllerName(i)})
		c.Kill()
		p.load.targets[i].set("")
	}
	if !p.wait(length) {
		return
	}
	for _, i := range order {
		p.mu.Lock()
		running := p.controllers[i] != nil
		p.mu.Unlock()
		if running {
			continue
		}
		if err := p.startController(i); err != nil {
			p.fail(fmt.Errorf("day: %s did not start again: %w", controllerName(i), err))
		}
	}
}
