package scenario

import (
	"fmt"
	"path/filepath"
	"strings"

	"kitehub/config"
	"kitehub/internal/controller"
	"kitehub/internal/harness/trace"
)

// startController starts a controller on the state directory that it has.
func (p *player) startController(i int) error { return p.runController(i, false) }

// runController starts a controller, or a successor that takes over from the one that runs.
func (p *player) runController(i int, takeOver bool) error {
	text := p.configText(i)
	var c config.Config
	f, err := config.Parse(controllerName(i), []byte(text), &c)
	if err != nil {
		return err
	}
	b, err := config.Build(f, &c)
	if err != nil {
		return err
	}
	if p.options.ModifyConfig != nil {
		p.options.ModifyConfig(b)
	}
	o := controller.Options{Clock: p.clk, Log: p.options.Log.With().Str("controller", b.Name).Logger(),
		Dial: p.net.dialer(c.Zone), Sink: p.options.Sink, Handler: p.options.Handler, Models: p.options.Models, Versions: p.options.Versions}
	if takeOver { // the predecessor finishes its open requests, and the successor continues its counters
		old := p.controllers[i]
		ctl, err := controller.TakeOver(p.socket(i, "h"), func(predecessor *controller.IncomingHandover) (*controller.Controller, error) {
			o.Predecessor = predecessor
			return controller.Start(b, o)
		})
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.controllers[i] = ctl
		p.predecessors = append(p.predecessors, old)
		p.mu.Unlock()
		<-old.HandedOver()
		return nil
	}
	// The controller counts as up from here: before Start returns, it may receive the endpoint list
	// and order loads.
	p.list.ForgetController(b.Name)
	p.log.Add(trace.Record{Kind: trace.ControllerUp, Controller: b.Name})
	ctl, err := controller.Start(b, o)
	if err != nil {
		return err
	}
	if err := p.loadHooks(i, ctl); err != nil {
		return err
	}
	p.mu.Lock()
	p.controllers[i] = ctl
	p.mu.Unlock()
	p.load.targets[i].set(ctl.Addr())
	return nil
}

// configText returns the configuration file of a controller, as an operator would write it.
func (p *player) configText(i int) string {
	s := p.day
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("name: %q me: %d controllers: %d zone: %q seed: %d tick_ms: 2 stop_ms: 5000", controllerName(i), i, s.Controllers, s.Zones[i%len(s.Zones)], s.Seed*1000+uint64(i)+1)
	for _, z := range s.Zones {
		w("zones: %q", z)
	}
	w("kinds { name: \"std\" memory_mb: %v }", s.Workers.MemoryMb)
	w("state_dir: %q", filepath.Join(p.dir, controllerName(i)))
	w(`webhook { listen: "127.0.0.1:0" prefix: "/call/" past_ms: 60000 future_ms: 1000 ahead_ms: 1000 remembered: 100000 kept_bytes: 16777216
  max_connections: 10000 max_body: 65536 first_byte_ms: 5000 head_ms: 3000 body_ms: 3000 idle_ms: 60000 }`)
	p.writeClasses(w)
	for i, t := range s.Tenants {
		w("tenants { name: %q share: %v }", t.Name, t.Share)
		w("clients { name: %q tenant: %q common_keys: %q }", "client-"+t.Name, t.Name, p.secrets[i])
	}
	if p.registry != nil {
		w("registry { server: %q key: %q }", p.registry.addr, p.registry.secrets[controllerName(i)])
	}
	if s.Stream {
		w("discovery { server: %q cluster: %q }", p.list.Addr(), cluster)
	} else {
		w("discovery { file: %q cluster: %q poll_ms: %d }", filepath.Join(p.dir, "list.json"), cluster, listPoll.Milliseconds())
	}
	p.writeLimits(w)
	w("report { fields: [IN_FLIGHT, QUEUE] }")
	if p.scriptCount(i) > 0 {
		w("hooks {}")
	}
	w("daemon { handover: %q }", p.socket(i, "h"))
	if s.SecondFront {
		w("rpc { socket: %q users { self: true name: \"second\" tenant: %q call: true operate: true } }", p.socket(i, "s"), s.Tenants[0].Name)
	}
	return b.String()
}

// writeClasses writes the classes and the functions of each.
func (p *player) writeClasses(w func(format string, args ...any)) {
	s := p.day
	for _, c := range s.Classes {
		scope := ""
		if c.Effect == "keyed" {
			scope = fmt.Sprintf("scope: SAME_GROUP window_ms: %v", c.WindowMs)
		}
		w("classes { name: %q effect: %s %s aim_ms: %v deadline_ms: %v worth: 1 late_share: 0.2 }", c.Name, strings.ToUpper(c.Effect), scope, c.AimMs, c.DeadlineMs)
		if s.Versions != nil {
			for i := range int(c.Functions) + spareFunctions {
				w("functions { name: %q class: %q memory_mb: %v lanes: %d load_ms: %v versions: true }", functionName(c.Name, i), c.Name, c.MemoryMb, c.Lanes, c.FetchMs+c.StartMs)
			}
			continue
		}
		w("functions { name: \"%s-*\" class: %q memory_mb: %v lanes: %d load_ms: %v most: %d }", c.Name, c.Name, c.MemoryMb, c.Lanes, c.FetchMs+c.StartMs, c.Functions+10)
	}
}

// writeLimits writes the sections for limits, loading and guarantees.
func (p *player) writeLimits(w func(format string, args ...any)) {
	s := p.day
	r := s.Rules
	w("limits { attempts: %d open: 20000 duplicate: %v cancel: true retry_after: true max_retry_after_ms: 1000 dial_ms: 250 keep_alive_ms: 20000 }", r.Attempts, r.Duplicate)
	w("loading { orders: true on_miss: LOAD idle_life_ms: %v answer_ms: 5000 window_ms: %v free: %v ratio: %v warm_notes: true counts_alike: true }",
		s.Workers.IdleLifeMs, r.LoadWindowMs, r.LoadFree, r.LoadRatio)
	w("guarantees { answer_grace_ms: 8 drain_grace_ms: %v cold_share: %v cold_ms: %v fall_factor: %v fall_within_ms: %v }", r.DrainGraceMs, r.ColdShare, r.ColdMs, r.FallFactor, r.FallWithinMs)
}

// socket returns the path of one of a controller's Unix sockets. It is in socketDir because the
// system limits such paths to about 100 bytes.
func (p *player) socket(i int, what string) string {
	return filepath.Join(p.socketDir, controllerName(i)+what)
}

// scriptCount returns the number of hook scripts that a controller runs.
func (p *player) scriptCount(i int) (n int) {
	for _, h := range p.day.Hooks {
		if h.Part == 0 || float64(i) < h.Part*float64(p.day.Controllers) {
			n++
		}
	}
	return n
}

// loadHooks loads the hook scripts of a controller.
func (p *player) loadHooks(i int, c *controller.Controller) error {
	for _, h := range p.day.Hooks {
		if h.Part == 0 || float64(i) < h.Part*float64(p.day.Controllers) {
			if err := c.LoadScript(h.Name, h.Text); err != nil {
				return err
			}
		}
	}
	return nil
}
