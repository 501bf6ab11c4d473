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

// errNoHooks is returned by methods on scripts if no hooks are configured.
var errNoHooks = errors.New("no hooks are configured")

// An eventFanout implements gateway.Hooks. It forwards the same events to the scripts and to the
// subscribers of the RPC server. It is safe for concurrent use; either destination can be set or
// removed at any time.
type eventFanout struct {
	engine atomic.Pointer[hookengine.Engine] // nil: no scripts
	rpc    atomic.Pointer[jsonrpc.Server]    // nil: no RPC server
}

var _ gateway.Hooks = (*eventFanout)(nil)

// CallArrived implements gateway.Hooks.
func (f *eventFanout) CallArrived(c hooklang.Call) hookadvice.Verdict {
	if e := f.engine.Load(); e != nil {
		return e.Admit(c)
	}
	return hookadvice.Verdict{}
}

// CallEnded implements gateway.Hooks.
func (f *eventFanout) CallEnded(tenant string) {
	if e := f.engine.Load(); e != nil {
		e.CallEnded(tenant)
	}
}

// Post implements gateway.Hooks.
func (f *eventFanout) Post(point string, event hooklang.Event) {
	if e := f.engine.Load(); e != nil {
		e.Post(point, event)
	}
	if s := f.rpc.Load(); s != nil {
		s.Publish(point, event)
	}
}

// SetWorkers implements gateway.Hooks.
func (f *eventFanout) SetWorkers(l []hookadvice.Worker) {
	if e := f.engine.Load(); e != nil {
		e.SetWorkers(l)
	}
}

// adviceFacts provides the functions and tenants that advice may name. It implements
// hookadvice.Catalog.
type adviceFacts struct {
	functions *gateway.Functions
	tenants   map[string]bool
}

// FunctionMemoryMB returns the memory of a function in MB, and whether it is configured.
func (f adviceFacts) FunctionMemoryMB(name string) (float64, bool) {
	s, ok := f.functions.Spec(name)
	return s.MemoryMB, ok
}

// HasTenant reports whether a tenant is configured.
func (f adviceFacts) HasTenant(name string) bool { return f.tenants[name] }

// adviceSink passes the advice of scripts to the gateway. It implements hookengine.Sink.
type adviceSink struct{ controller *Controller }

// KeepWarm implements hookengine.Sink: it asks for copies of a function. For a model these are
// copies of the version that its alias "current" names.
func (s adviceSink) KeepWarm(function string, copies int, until time.Duration) {
	if spec, ok := s.controller.functions.Spec(function); ok && spec.IsModel {
		// A model is configured by its full name, so this Find does not use up the bound of a
		// pattern.
		model := s.controller.functions.Find(function)
		if v, _, ok := s.controller.models.currentVersion(model); ok {
			s.controller.Gateway.KeepWarm(v.Name, copies, until)
		}
		return
	}
	s.controller.Gateway.KeepWarm(function, copies, until)
}

// RankWorker implements hookengine.Sink: it makes the gateway prefer or avoid a worker.
func (s adviceSink) RankWorker(worker string, rank int, until time.Duration) {
	s.controller.Gateway.RankWorker(worker, rank, until)
}

// startHooks starts the hook engine with its stored scripts, and loads those of the configured
// files. An invalid script is only logged, as it must not prevent calls from being served.
func (c *Controller) startHooks() error {
	if c.config.Hooks == nil || c.options.NoHooks {
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
	c.hookEngine.Store(e)
	c.events.engine.Store(e)
	if err := c.loadScripts(c.config); err != nil {
		c.log.Error().Err(err).Msg("scripts rejected, keeping previous")
	}
	return nil
}

// hookConfig returns the configuration of the hook engine. It also starts the notifier if there are
// targets for it.
func (c *Controller) hookConfig(dir string) hookengine.Config {
	facts := adviceFacts{c.functions, map[string]bool{}}
	for _, t := range c.config.Settings.Tenants {
		facts.tenants[t.Name] = true
	}
	hc := *c.config.Hooks
	hc.Catalog = facts
	hc.Sink = adviceSink{c}
	hc.Clock = c.options.Clock
	hc.Log = c.log
	hc.FS = store.Dir(dir)
	hc.CallsInFlight = c.Gateway.OpenRequests
	if len(c.config.Targets) > 0 {
		c.notifier = hookengine.NewNotifier(c.config.Name, c.config.Targets, c.options.Clock, c.log)
		hc.Notify = c.notifier.Notify
	}
	return hc
}

// loadScripts loads the configured files with their present content. The previous version of an
// invalid script stays active; the other scripts are loaded.
func (c *Controller) loadScripts(cfg *config.ControllerConfig) error {
	var errs []error
	for _, s := range cfg.Scripts {
		text, err := os.ReadFile(s.File)
		if err == nil {
			var warnings hooklang.Problems
			_, warnings, err = c.hookEngine.Load().Load(s.Name, string(text), s.File, s.Shadow)
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

// ReloadScripts loads the configured script files again. Its error names every invalid script; the
// others are loaded.
func (c *Controller) ReloadScripts(cfg *config.ControllerConfig) error {
	if c.hookEngine.Load() == nil {
		return nil
	}
	return c.loadScripts(cfg)
}

// HookEngine returns the engine that runs the scripts, or nil if there is none.
func (c *Controller) HookEngine() *hookengine.Engine { return c.hookEngine.Load() }

// LoadScript loads a script. Test harnesses use it.
func (c *Controller) LoadScript(name, text string) error {
	if c.hookEngine.Load() == nil {
		return errNoHooks
	}
	_, _, err := c.hookEngine.Load().Load(name, text, "rig", false)
	return err
}
