package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"kitehub/config"
	"kitehub/internal/gateway"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hookengine"
	"kitehub/internal/hooklang"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/store"
)

// errNoHooks is that a method on scripts was called where none are configured.
var errNoHooks = errors.New("no hooks are configured")

// An eventTap is the gateway's Hooks. It passes events on to the scripts and to those who have subscribed by RPC, so
// that all see the same. It is safe for concurrent use; either of the two may come and go.
type eventTap struct {
	engine atomic.Pointer[hookengine.Engine]
	rpc    atomic.Pointer[jsonrpc.Server]
}

var _ gateway.Hooks = (*eventTap)(nil)

// CallArrived implements gateway.Hooks.
func (t *eventTap) CallArrived(c hooklang.Call) hookadvice.Verdict {
	if e := t.engine.Load(); e != nil {
		return e.Admit(c)
	}
	return hookadvice.Verdict{}
}

// CallEnded implements gateway.Hooks.
func (t *eventTap) CallEnded(tenant string) {
	if e := t.engine.Load(); e != nil {
		e.CallEnded(tenant)
	}
}

// Post implements gateway.Hooks.
func (t *eventTap) Post(point string, event hooklang.Event) {
	if e := t.engine.Load(); e != nil {
		e.Post(point, event)
	}
	if s := t.rpc.Load(); s != nil {
		s.Publish(point, event)
	}
}

// SetWorkers implements gateway.Hooks.
func (t *eventTap) SetWorkers(l []hookadvice.Worker) {
	if e := t.engine.Load(); e != nil {
		e.SetWorkers(l)
	}
}

// adviceFacts is what advice is checked against. It implements hookengine's Facts.
type adviceFacts struct {
	functions *gateway.Functions
	tenants   map[string]bool
}

// Function returns the memory of a function in MB, and whether it is configured.
func (f adviceFacts) FunctionMemoryMB(name string) (float64, bool) {
	s, ok := f.functions.Spec(name)
	return s.MemoryMB, ok
}

// Tenant tells whether a tenant is configured.
func (f adviceFacts) HasTenant(name string) bool { return f.tenants[name] }

// adviceSink hands advice to the gateway. It implements hookengine's Sink.
type adviceSink struct{ controller *Controller }

// KeepWarm advises copies of a function. A model is kept warm as the version that its alias current names.
func (s adviceSink) KeepWarm(function string, copies int, until time.Duration) {
	if spec, ok := s.controller.functions.Spec(function); ok && spec.IsModel {
		model := s.controller.functions.Find(function) // a model is configured by its whole name: no pattern is used up
		if v, _, ok := s.controller.models.current(model); ok {
			s.controller.Gateway.KeepWarm(v.Name, copies, until)
		}
		return
	}
	s.controller.Gateway.KeepWarm(function, copies, until)
}

// RankWorker advises to prefer or avoid a worker.
func (s adviceSink) RankWorker(worker string, rank int, until time.Duration) {
	s.controller.Gateway.RankWorker(worker, rank, until)
}

// startHooks starts the scripts that were stored and those of the configured files. A script that is wrong must not
// prevent calls from being served: it is logged.
func (c *Controller) startHooks() error {
	if c.built.Hooks == nil || c.options.NoHooks {
		return nil
	}
	dir := filepath.Join(c.stateDir(), "hooks")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	e, err := hookengine.Start(c.hookConfig(dir))
	if err != nil {
		return err
	}
	c.hooks.Store(e)
	c.events.engine.Store(e)
	if err := c.loadScripts(c.built); err != nil {
		c.log.Error().Err(err).Msg("scripts rejected, keeping previous")
	}
	return nil
}

// hookConfig starts the notifier too, if there are targets for it.
func (c *Controller) hookConfig(dir string) hookengine.Config {
	facts := adviceFacts{c.functions, map[string]bool{}}
	for _, t := range c.built.Settings.Tenants {
		facts.tenants[t.Name] = true
	}
	hc := *c.built.Hooks
	hc.Catalog = facts
	hc.Sink = adviceSink{c}
	hc.Clock = c.options.Clock
	hc.Log = c.log
	hc.FS = store.Dir(dir)
	hc.CallsInFlight = c.Gateway.OpenRequests
	if len(c.built.Targets) > 0 {
		c.notifier = hookengine.NewNotifier(c.built.Name, c.built.Targets, c.options.Clock, c.log)
		hc.Notify = c.notifier.Notify
	}
	return hc
}

// loadScripts loads the files as they are now. Of one that is wrong the previous version goes on; the others are
// loaded.
func (c *Controller) loadScripts(b *config.ControllerConfig) error {
	var errs []error
	for _, s := range b.Scripts {
		text, err := os.ReadFile(s.File)
		if err == nil {
			var warnings hooklang.Problems
			_, warnings, err = c.hooks.Load().Load(s.Name, string(text), s.File, s.Shadow)
			for _, w := range warnings {
				c.log.Warn().Str("script", s.Name).Msg(w.Error())
			}
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("hooks.scripts %s: %w", s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// ReloadScripts loads the scripts' files as they are now. Its error names all that are wrong.
func (c *Controller) ReloadScripts(b *config.ControllerConfig) error {
	if c.hooks.Load() == nil {
		return nil
	}
	return c.loadScripts(b)
}

// HookEngine returns the engine that runs scripts, or nil.
func (c *Controller) HookEngine() *hookengine.Engine { return c.hooks.Load() }

// LoadScript loads a script for a test harness.
func (c *Controller) LoadScript(name, text string) error {
	if c.hooks.Load() == nil {
		return errNoHooks
	}
	_, _, err := c.hooks.Load().Load(name, text, "rig", false)
	return err
}
