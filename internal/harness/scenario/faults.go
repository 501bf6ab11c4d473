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

// wait sleeps for d. It returns false if the scenario ended first.
func (p *player) wait(d time.Duration) bool {
	select {
	case <-p.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// recordError keeps the first error of the scenario.
func (p *player) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
}

// pickWorkers draws a fraction of the workers that are listed as ready, at least one if there is
// any.
func (p *player) pickWorkers(part float64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workers []string
	for _, name := range p.host.Names() {
		if p.listed[name] == scheduler.Ready {
			workers = append(workers, name)
		}
	}
	p.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	n := min(len(workers), max(1, int(math.Round(part*float64(len(workers))))))
	workers = workers[:n]
	slices.Sort(workers)
	return workers
}

// answerFaults maps the faults that make workers answer wrongly.
var answerFaults = map[What]fakeworker.Fault{
	What_CUT_ANSWERS: fakeworker.TruncatedResponse,
	What_GARBAGE:     fakeworker.Garbage,
	What_TWO_ANSWERS: fakeworker.DuplicateResponse,
	What_LONG_BODY:   fakeworker.OverlongBody,
	What_HUGE_BODY:   fakeworker.HugeBody,
	What_DRIP:        fakeworker.ByteAtATime,
}

// faultInjectors maps each other kind of fault to the function that injects it, waits for its
// length and reverts it.
var faultInjectors = map[What]func(p *player, t *Trouble, length time.Duration){
	What_REGISTRY:      (*player).restartRegistry,
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
	What_HOT:           (*player).concentrateCalls,
	What_UNSEEN:        (*player).callUnseenFunctions,
	What_TENANT_JUMP:   (*player).multiplyTenantTraffic,
	What_FLUSH:         (*player).flushCopies,
	What_STORE_SLOW:    (*player).slowStore,
	What_STORE_REFUSES: (*player).rejectFetches,
	What_CLASS_FAILS:   (*player).failClass,
	What_SLOW_CONNECT:  (*player).slowConnections,
}

// inject waits for the time of a fault and injects it.
func (p *player) inject(t *Trouble) {
	if !p.wait(seconds(t.AtS) - (p.clk.Now() - p.begin)) {
		return
	}
	p.log.Add(trace.Record{Kind: trace.FaultInjected, Note: fmt.Sprintf("%v part %v size %v %s", t.What, t.Part, t.Size, t.Target)})
	if fault, ok := answerFaults[t.What]; ok {
		p.corruptAnswers(t, fault)
	} else if inject := faultInjectors[t.What]; inject != nil {
		inject(p, t, seconds(t.ForS))
	}
}

// corruptAnswers has some workers answer wrongly.
func (p *player) corruptAnswers(t *Trouble, fault fakeworker.Fault) {
	workers := p.pickWorkers(t.Part)
	for _, w := range workers {
		p.host.SetFault(w, fault)
	}
	p.wait(seconds(t.ForS))
	for _, w := range workers {
		p.host.SetFault(w, fakeworker.NoFault)
	}
}

// restartRegistry kills the registry and starts it again after the length of the fault.
func (p *player) restartRegistry(_ *Trouble, length time.Duration) {
	if p.registry == nil {
		return
	}
	p.registry.kill()
	p.wait(length)
	if err := p.registry.start(); err != nil {
		p.recordError(err)
	}
}

// corruptCopies has some workers run other bytes than they are asked to run.
func (p *player) corruptCopies(t *Trouble, _ time.Duration) {
	if p.registry != nil {
		p.registry.runWrongBytes(p.pickWorkers(t.Part))
	}
}

func (p *player) killWorkers(t *Trouble, length time.Duration) {
	workers := p.pickWorkers(t.Part)
	for _, w := range workers {
		p.host.Kill(w)
	}
	p.updateList(func() {
		for _, w := range workers {
			delete(p.listed, w)
		}
	})
	if p.wait(length) {
		p.restartWorkers(workers)
	}
}

func (p *player) silenceWorkers(t *Trouble, length time.Duration) {
	workers := p.pickWorkers(t.Part)
	for _, w := range workers {
		p.host.Silence(w)
	}
	if p.wait(length) {
		p.restartWorkers(workers)
	}
}

func (p *player) slowWorkers(t *Trouble, length time.Duration) {
	workers := p.pickWorkers(t.Part)
	p.setSpeed(workers, 1/max(1, t.Size), 0)
	p.wait(length)
	p.setSpeed(workers, 1, 0)
}

// maxStolenShare is the largest fraction of its cores that a worker can lose to other processes.
const maxStolenShare = 0.95

func (p *player) stealCPU(t *Trouble, length time.Duration) {
	workers := p.pickWorkers(t.Part)
	p.setSpeed(workers, 1, min(maxStolenShare, t.Size))
	p.wait(length)
	p.setSpeed(workers, 1, 0)
}

// setSpeed sets the speed of workers that are up, and the fraction of their cores that other
// processes use.
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
	p.list.SetDelay(ms(p.day.ListDelayMs) + seconds(t.Size))
	p.wait(length)
	p.list.SetDelay(ms(p.day.ListDelayMs))
}

func (p *player) emptyList(_ *Trouble, length time.Duration) {
	p.updateList(func() { p.listEmptied = true })
	p.wait(length)
	p.updateList(func() { p.listEmptied = false })
}

func (p *player) handOver(t *Trouble, _ time.Duration) {
	for i := range int(math.Ceil(t.Part * float64(len(p.controllers)))) {
		if err := p.runController(i, true); err != nil {
			p.recordError(err)
		}
	}
}

// changeLoad changes a setting of the load generator under its lock, waits, and resets it.
func (p *player) changeLoad(length time.Duration, set, reset func(l *loadGenerator)) {
	locked := func(f func(l *loadGenerator)) {
		p.load.mu.Lock()
		defer p.load.mu.Unlock()
		f(p.load)
	}
	locked(set)
	p.wait(length)
	locked(reset)
}

func (p *player) multiplyTraffic(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *loadGenerator) { l.rateFactor = t.Size }, func(l *loadGenerator) { l.rateFactor = 1 })
}

// concentrateCalls sends a share of all calls to one function of each class.
func (p *player) concentrateCalls(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *loadGenerator) { l.hotShare = t.Size }, func(l *loadGenerator) { l.hotShare = 0 })
}

func (p *player) callUnseenFunctions(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *loadGenerator) { l.unseenShare = t.Size }, func(l *loadGenerator) { l.unseenShare = 0 })
}

func (p *player) multiplyTenantTraffic(t *Trouble, length time.Duration) {
	p.changeLoad(length, func(l *loadGenerator) { l.tenantFactors[t.Target] = t.Size }, func(l *loadGenerator) { delete(l.tenantFactors, t.Target) })
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
	p.net.setDialDelay(ms(t.Size))
	p.wait(length)
	p.net.setDialDelay(0)
}

// restartWorkers starts workers again, which are warming up then, and lists them as ready.
func (p *player) restartWorkers(workers []string) {
	now := time.Now()
	var restarted []string
	for _, w := range workers {
		if err := p.host.Restart(w); err == nil { // a worker that does not start stays unlisted, which the checks of the rules show
			restarted = append(restarted, w)
		}
	}
	p.updateList(func() {
		for _, w := range restarted {
			p.listed[w], p.started[w] = scheduler.Ready, now
		}
	})
}

// deploy drains workers in batches. Those of a batch are killed after the fault's drain time and
// replaced by spares, which are warming up.
func (p *player) deploy(t *Trouble) {
	workers := p.pickWorkers(t.Part)
	batch := max(1, int(math.Round(t.Size*float64(p.day.Workers.Count))))
	batches := (len(workers) + batch - 1) / batch
	pause := seconds(t.ForS) / time.Duration(max(1, batches))
	for len(workers) > 0 {
		n := min(batch, len(workers))
		draining := workers[:n]
		workers = workers[n:]
		p.updateList(func() {
			for _, w := range draining {
				p.listed[w] = scheduler.Draining
			}
		})
		p.host.Do(func(f *workersim.Fleet) {
			for i, name := range p.host.Names() {
				if slices.Contains(draining, name) {
					f.Drain(i)
				}
			}
		})
		if !p.wait(seconds(t.DrainS)) {
			return
		}
		p.mu.Lock()
		replacements := p.spares[:min(n, len(p.spares))]
		p.spares = p.spares[len(replacements):]
		p.mu.Unlock()
		for _, w := range draining {
			p.host.Kill(w)
		}
		p.updateList(func() {
			for _, w := range draining {
				delete(p.listed, w)
			}
		})
		p.restartWorkers(replacements)
		if !p.wait(max(0, pause-seconds(t.DrainS))) {
			return
		}
	}
}

// killControllers kills controllers without a shutdown and starts them again with the state that
// they left on disk.
func (p *player) killControllers(t *Trouble, length time.Duration) {
	n := min(int(p.day.Controllers), max(1, int(math.Round(t.Part*float64(p.day.Controllers)))))
	p.mu.Lock()
	order := p.rng.Perm(int(p.day.Controllers))[:n]
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
			p.recordError(fmt.Errorf("controller %s did not restart: %w", controllerName(i), err))
		}
	}
}
