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

// answerFaults are the ways in which workers answer wrongly.
var answerFaults = map[What]fakeworker.Fault{
	What_CUT_ANSWERS: fakeworker.TruncatedResponse,
	What_GARBAGE:     fakeworker.Garbage,
	What_TWO_ANSWERS: fakeworker.DuplicateResponse,
	What_LONG_BODY:   fakeworker.OverlongBody,
	What_HUGE_BODY:   fakeworker.HugeBody,
	What_DRIP:        fakeworker.ByteAtATime,
}

// faultPlayers has, for each other kind of fault, what injects it, waits for its length, and takes it back.
var faultPlayers = map[What]func(p *player, t *Trouble, length time.Duration){
	What_REGISTRY:      (*player).stopRegistry,
	What_LIES:          (*player).corruptCopies,
	What_KILL:          (*player).killWorkers,
	What_SILENT:        (*player).silenceWorkers,
	What_SLOW:          (*player).slowWorkers,
	What_CROWDED:       (*player).stealCPU,
	What_DEPLOY:        func(p *player, t *Trouble, _ time.Duration) { p.deploy(t) },
	What_ZONE_CUT:      (*player).partitionZone,
	What_STALE:         (*player).delayList,
	What_NO_WORKERS:    (*player).emptyList,
	What_CONTROLLERS:   (*player).killControllers,
	What_HANDOVER:      (*player).handOver,
	What_JUMP:          (*player).multiplyTraffic,
	What_HOT:           (*player).heatFunction,
	What_UNSEEN:        (*player).callUnseenFunctions,
	What_TENANT_JUMP:   (*player).multiplyTenant,
	What_FLUSH:         (*player).flushCopies,
	What_STORE_SLOW:    (*player).slowStore,
	What_STORE_REFUSES: (*player).rejectFetches,
	What_CLASS_FAILS:   (*player).failClass,
	What_SLOW_CONNECT:  (*player).slowConnections,
}

// inject plays one fault of the script at its time.
func (p *player) inject(t *Trouble) {
	if !p.wait(seconds(t.AtS) - (p.clk.Now() - p.begin)) {
		return
	}
	p.log.Add(trace.Record{Kind: trace.FaultInjected, Note: fmt.Sprintf("%v part %v size %v %s", t.What, t.Part, t.Size, t.Target)})
	if fault, ok := answerFaults[t.What]; ok {
		p.corruptAnswers(t, fault)
	} else if play := faultPlayers[t.What]; play != nil {
		play(p, t, seconds(t.ForS))
	}
}

func (p *player) corruptAnswers(t *Trouble, fault fakeworker.Fault) {
	workers := p.pick(t.Part)
	for _, w := range workers {
		p.host.SetFault(w, fault)
	}
	p.wait(seconds(t.ForS))
	for _, w := range workers {
		p.host.SetFault(w, fakeworker.NoFault)
	}
}

func (p *player) stopRegistry(_ *Trouble, length time.Duration) {
	if p.versions == nil {
		return
	}
	p.versions.kill()
	p.wait(length)
	if err := p.versions.start(); err != nil {
		p.fail(err)
	}
}

// corruptCopies has some workers run other bytes than they prove.
func (p *player) corruptCopies(t *Trouble, _ time.Duration) {
	if p.versions != nil {
		p.versions.lie(p.pick(t.Part))
	}
}

func (p *player) killWorkers(t *Trouble, length time.Duration) {
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
}

func (p *player) silenceWorkers(t *Trouble, length time.Duration) {
	workers := p.pick(t.Part)
	for _, w := range workers {
		p.host.Silence(w)
	}
	if p.wait(length) {
		p.restart(workers)
	}
}

func (p *player) slowWorkers(t *Trouble, length time.Duration) {
	workers := p.pick(t.Part)
	p.setSpeed(workers, 1/max(1, t.Size), 0)
	p.wait(length)
	p.setSpeed(workers, 1, 0)
}

// mostStolen is the largest fraction of its cores that a worker may lose to a neighbour.
const mostStolen = 0.95

func (p *player) stealCPU(t *Trouble, length time.Duration) {
	workers := p.pick(t.Part)
	p.setSpeed(workers, 1, min(mostStolen, t.Size))
	p.wait(length)
	p.setSpeed(workers, 1, 0)
}

// setSpeed sets the speed of workers that are up, and the fraction of their cores that neighbours take.
func (p *player) setSpeed(workers []string, speed, stolen float64) {
	p.host.Do(func(f *workersim.Fleet) {
		for i, name := range p.host.Names() {
			if slices.Contains(workers, name) && f.Up(i) {
				f.SetSpeedFactor(i, speed)
				f.SetStolenFraction(i, stolen)
			}
		}
	})
}

func (p *player) partitionZone(t *Trouble, length time.Duration) {
	p.net.cutZone(t.Target)
	p.wait(length)
	p.net.cutZone("")
}

func (p *player) delayList(t *Trouble, length time.Duration) {
	p.list.SetDelay(ms(p.s.ListDelayMs) + seconds(t.Size))
	p.wait(length)
	p.list.SetDelay(ms(p.s.ListDelayMs))
}

func (p *player) emptyList(_ *Trouble, length time.Duration) {
	p.change(func() { p.hidden = true })
	p.wait(length)
	p.change(func() { p.hidden = false })
}

func (p *player) handOver(t *Trouble, _ time.Duration) {
	for i := range int(math.Ceil(t.Part * float64(len(p.controllers)))) {
		if err := p.runController(i, true); err != nil {
			p.fail(err)
		}
	}
}

// changeLoad sets something of the load under its lock, waits, and sets it back.
func (p *player) changeLoad(length time.Duration, set, reset func(l *load)) {
	locked := func(f func(l *load)) {
		p.load.mu.Lock()
		defer p.load.mu.Unlock()
		f(p.load)
	}
	locked(set)
	p.wait(length)
	locked(reset)
}

func (p *player) multiplyTraffic(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *load) { l.rate = t.Size }, func(l *load) { l.rate = 1 })
}

func (p *player) heatFunction(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *load) { l.hot = t.Size }, func(l *load) { l.hot = 0 })
}

func (p *player) callUnseenFunctions(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *load) { l.unseen = t.Size }, func(l *load) { l.unseen = 0 })
}

func (p *player) multiplyTenant(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *load) { l.tenant[t.Target] = t.Size }, func(l *load) { delete(l.tenant, t.Target) })
}

func (p *player) flushCopies(*Trouble, time.Duration) {
	p.host.Do(func(f *workersim.Fleet) { f.Flush() })
}

func (p *player) slowStore(t *Trouble, length time.Duration) {
	p.host.Do(func(f *workersim.Fleet) { f.SetStoreSpeedFactor(t.Size) })
	p.wait(length)
	p.host.Do(func(f *workersim.Fleet) { f.SetStoreSpeedFactor(1) })
}

func (p *player) rejectFetches(_ *Trouble, length time.Duration) {
	p.host.Do(func(f *workersim.Fleet) { f.RejectFetches(true) })
	p.wait(length)
	p.host.Do(func(f *workersim.Fleet) { f.RejectFetches(false) })
}

func (p *player) failClass(t *Trouble, length time.Duration) {
	p.host.FailClass(t.Target, true)
	p.wait(length)
	p.host.FailClass(t.Target, false)
}

func (p *player) slowConnections(t *Trouble, length time.Duration) {
	p.net.slowConnect(ms(t.Size))
	p.wait(length)
	p.net.slowConnect(0)
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
