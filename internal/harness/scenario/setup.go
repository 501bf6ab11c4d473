package scenario

import (
	"encoding/base64"
	"fmt"
	"path/filepath"

	"kitehub/internal/controller"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// spareFunctions is the number of functions of each class that workers can load beyond those that
// are called from the start. Calls go to them during an UNSEEN fault.
const spareFunctions = 3

// setUp starts the workers, the registry if the scenario has one, the endpoint list, and at last
// the controllers.
func (p *player) setUp() error {
	rules := p.traceRules()
	p.log.Add(trace.Record{Kind: trace.Facts, Rules: &rules, Note: p.day.Name})
	if len(p.day.Tenants) == 0 {
		p.day.Tenants = []*Tenant{{Name: "all", Share: 1}}
	}
	if err := p.startWorkers(); err != nil {
		return err
	}
	if err := p.startList(); err != nil {
		return err
	}
	p.drawSecrets()
	targets, err := p.targets()
	if err != nil {
		return err
	}
	p.load = newLoadGenerator(p.day, p.clk, p.log, targets)
	return p.startControllers()
}

// startWorkers starts the workers and as many spares, which are down until a deploy replaces
// workers by them.
func (p *player) startWorkers() error {
	hc, models := p.workerConfig()
	var err error
	if p.day.Versions != nil {
		if p.registry, err = newModelRegistry(p, models); err != nil {
			return err
		}
		hc.Fetch = p.registry.fetchBlob
	}
	if p.host, err = fakeworker.Start(hc); err != nil {
		return err
	}
	n := int(p.day.Workers.Count)
	for _, name := range p.host.Names()[n:] {
		p.host.Kill(name)
		p.spares = append(p.spares, name)
	}
	for _, name := range p.host.Names()[:n] {
		p.listed[name] = scheduler.Ready
	}
	return nil
}

// workerConfig returns the configuration of the workers and their functions, and the functions'
// names.
func (p *player) workerConfig() (hc fakeworker.Config, models []string) {
	s := p.day
	hc = fakeworker.Config{Clock: p.clk, Trace: p.log, Fleet: workersim.Config{
		Store: workersim.Store{FullRateFetches: s.Store.Pace, MaxFetches: int(s.Store.Limit)},
		SlowStart: workersim.SlowStart{WarmupFraction: s.Rules.ColdShare, WarmupTime: ms(s.Rules.ColdMs),
			CollapseFactor: s.Rules.FallFactor, CollapseWindow: ms(s.Rules.FallWithinMs)}}}
	n := int(s.Workers.Count)
	for i := range 2 * n {
		spec := p.workerSpec(i)
		hc.Fleet.Workers = append(hc.Fleet.Workers, spec)
		p.specs[spec.Name] = spec
	}
	for _, c := range s.Classes {
		hc.Fleet.DedupWindow = max(hc.Fleet.DedupWindow, ms(c.WindowMs))
		for i := range int(c.Functions) + spareFunctions {
			name := functionName(c.Name, i)
			hc.Functions = append(hc.Functions, fakeworker.FunctionConfig{
				Function: workersim.Function{Name: name, MemoryMB: c.MemoryMb, Lanes: int(c.Lanes), Fetch: ms(c.FetchMs), Start: ms(c.StartMs)},
				Class:    c.Name, Work: ms(c.WorkMs), Keyed: c.Effect == "keyed", Versions: s.Versions != nil})
			models = append(models, name)
		}
	}
	return hc, models
}

// workerSpec returns the properties of a worker by its number. A spare is in the zone and the group
// of the worker that it may replace.
func (p *player) workerSpec(i int) workersim.Spec {
	w := p.day.Workers
	place := i % int(w.Count)
	return workersim.Spec{Name: fmt.Sprintf("w%02d", i), Zone: p.day.Zones[place%len(p.day.Zones)], Group: fmt.Sprintf("g%d", place/int(w.GroupSize)),
		Cores: w.Cores, Speed: w.Speeds[place%len(w.Speeds)], MemoryMB: w.MemoryMb, Queue: int(w.Queue),
		LoadSlots: int(w.LoadSlots), IdleCopyTTL: ms(w.IdleLifeMs), Eager: w.Eager}
}

// startList publishes the first endpoint list, in a file or by a server.
func (p *player) startList() (err error) {
	p.net = newNetwork(p.zoneOf)
	if p.list, err = fakeworker.NewDiscoveryServer(cluster, p.log); err != nil {
		return err
	}
	p.list.SetDelay(ms(p.day.ListDelayMs))
	if !p.day.Stream {
		var names []string
		for i := range int(p.day.Controllers) {
			names = append(names, controllerName(i))
		}
		p.list.WriteToFile(filepath.Join(p.dir, "list.json"), listPoll, names)
	}
	p.publishList()
	return nil
}

// drawSecrets draws one secret for each tenant, common to all controllers.
func (p *player) drawSecrets() {
	for range p.day.Tenants {
		var b [32]byte
		for i := range b {
			b[i] = byte(p.rng.Uint32())
		}
		p.secrets = append(p.secrets, "whsec_"+base64.StdEncoding.EncodeToString(b[:]))
	}
}

// targets returns the controllers as clients see them, each with the keys that are derived for it.
func (p *player) targets() (targets []*target, err error) {
	p.controllers = make([]*controller.Controller, p.day.Controllers)
	for i := range p.controllers {
		t := &target{name: controllerName(i), hasScripts: p.scriptCount(i) > 0}
		for _, secret := range p.secrets {
			own, err := signing.DeriveSecret(secret, t.name)
			if err != nil {
				return nil, err
			}
			k, err := signing.ParseKey(own)
			if err != nil {
				return nil, err
			}
			t.keys = append(t.keys, k)
		}
		if p.day.SecondFront {
			t.socket = p.socket(i, "s")
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// startControllers starts all controllers at once, as after a power failure.
func (p *player) startControllers() (err error) {
	errs := make(chan error, len(p.controllers))
	for i := range p.controllers {
		go func() { errs <- p.startController(i) }()
	}
	for range p.controllers {
		if e := <-errs; e != nil {
			err = e
		}
	}
	return err
}
