package controller

import (
	"errors"
	"fmt"
	"net"
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

// eventTap stands between the gateway, the hooks and those who watch: all see the same events.
type eventTap struct {
	engine atomic.Pointer[hookengine.Engine]
	rpc    atomic.Pointer[jsonrpc.Server]
}

func (t *eventTap) Arrive(c hooklang.Call) hookadvice.Verdict {
	if e := t.engine.Load(); e != nil {
		return e.Arrive(c)
	}
	return hookadvice.Verdict{}
}

func (t *eventTap) CallEnded(tenant string) {
	if e := t.engine.Load(); e != nil {
		e.CallEnded(tenant)
	}
}

func (t *eventTap) Post(point string, ev hooklang.Event) {
	if e := t.engine.Load(); e != nil {
		e.Post(point, ev)
	}
	if s := t.rpc.Load(); s != nil {
		s.Publish(point, ev)
	}
}

func (t *eventTap) Workers(l []hookadvice.Worker) {
	if e := t.engine.Load(); e != nil {
		e.Workers(l)
	}
}

// adviceFacts is what advice is checked against.
type adviceFacts struct {
	c       *Controller
	tenants map[string]bool
}

func (f adviceFacts) Function(name string) (float64, bool) {
	s, ok := f.c.functions.Spec(name)
	return s.MemoryMB, ok
}

func (f adviceFacts) Tenant(name string) bool { return f.tenants[name] }

// adviceSink hands advice to the module; a model is kept warm as the version that its alias current names.
type adviceSink struct{ c *Controller }

func (s adviceSink) KeepWarm(function string, copies int, until time.Duration) {
	if spec, ok := s.c.functions.Spec(function); ok && spec.Versions { // a model has no star: Find takes no place
		if v, _, ok := s.c.models.current(s.c.functions.Find(function)); ok {
			s.c.Gateway.KeepWarm(v.Name, copies, until)
		}
		return
	}
	s.c.Gateway.KeepWarm(function, copies, until)
}

func (s adviceSink) RankWorker(worker string, rank int, until time.Duration) {
	s.c.Gateway.RankWorker(worker, rank, until)
}

// startHooks starts the scripts that were stored and those of the files.
func (c *Controller) startHooks(o Options) error {
	if c.built.Hooks == nil || o.NoHooks {
		return nil
	}
	dir := filepath.Join(filepath.Dir(c.built.Mark), "hooks")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	f := adviceFacts{c, map[string]bool{}}
	for _, t := range c.built.Settings.Tenants {
		f.tenants[t.Name] = true
	}
	hc := *c.built.Hooks
	hc.Facts, hc.Sink, hc.Clock, hc.Log, hc.FS, hc.Open = f, adviceSink{c}, o.Clock, o.Log, store.Dir(dir), c.Gateway.Open
	if len(c.built.Targets) > 0 {
		c.notifier = hookengine.NewNotifier(c.built.Name, c.built.Targets, o.Clock, o.Log)
		hc.Notify = c.notifier.Notify
	}
	e, err := hookengine.Start(hc)
	if err != nil {
		return err
	}
	c.hooks.Store(e)
	c.tap.engine.Store(e)
	if err := c.loadScripts(c.built); err != nil { // a wrong script must not keep calls from being served
		o.Log.Error().Err(err).Msg("hooks: what ran before goes on")
	}
	return nil
}

// loadScripts takes the files as they are now. One that is wrong stays out, and what ran before goes on; the others are taken.
func (c *Controller) loadScripts(b *config.Built) error {
	var all []error
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
			all = append(all, fmt.Errorf("hooks.scripts %s: %w", s.Name, err))
		}
	}
	return errors.Join(all...)
}

// startRPC serves the second front.
func (c *Controller) startRPC(o Options) error {
	if c.built.RPC == nil {
		return nil
	}
	rc := *c.built.RPC
	wc := c.frontConfig
	rc.Gateway, rc.Functions, rc.Clock, rc.Log, rc.Operator = c.Gateway, c.functions.Find, o.Clock, o.Log, operator{c}
	rc.Deadline, rc.Effect, rc.Models = wc.Deadline, wc.Effect, wc.Models
	if o.Predecessor != nil {
		rc.After = o.Clock.Now()
	}
	c.RPC = jsonrpc.New(rc)
	c.tap.rpc.Store(c.RPC)
	var ln net.Listener
	var err error
	if o.Predecessor != nil {
		ln, err = o.Predecessor.listener(1)
	} else {
		ln, err = jsonrpc.Listen(c.built.Socket, c.built.Mode)
	}
	if err != nil {
		return fmt.Errorf("rpc.socket: %w", err)
	}
	c.rpcListener = ln
	go func() {
		if err := c.RPC.Serve(ln); err != nil {
			o.Log.Error().Err(err).Msg("rpc listener")
		}
	}()
	return nil
}

// operator carries out what operators ask for.
type operator struct{ c *Controller }

// Status is a controller at a glance.
type Status struct {
	Name     string           `json:"name"`
	PID      int              `json:"pid"`
	Open     int              `json:"open"`
	Draining bool             `json:"draining"`
	Answers  map[string]int64 `json:"answers"`
	RPC      map[string]int64 `json:"rpc"`
	Hooks    map[string]int64 `json:"hooks,omitempty"`
	StepUS   float64          `json:"mean_step_us"`
	Crashes  int64            `json:"module_crashes"`
}

func (op operator) Do(method string, user jsonrpc.User, params func(any) error) (any, error) {
	c := op.c
	switch method {
	case "status":
		n := &c.Gateway.Counts
		s := Status{Name: c.built.Name, PID: os.Getpid(), Open: c.Gateway.Open(), Draining: c.draining.Load(), Crashes: n.Crashes.Load(),
			StepUS:  float64(n.StepNanos.Load()) / 1e3 / float64(max(1, n.Steps.Load())),
			Answers: map[string]int64{"served": n.Served.Load(), "refused": n.Rejected.Load(), "failed": n.Failed.Load(), "gone": n.ClientClosed.Load(), "left": n.Superseded.Load(), "turned": n.OverCapacity.Load()}}
		if r := c.RPC; r != nil {
			k := &r.Counts
			s.RPC = map[string]int64{"connections": k.Connections.Load(), "denied": k.Denied.Load(), "messages": k.Messages.Load(), "bad": k.Bad.Load(), "calls": k.Calls.Load(),
				"cancelled": k.Cancelled.Load(), "joined": k.Joined.Load(), "kept": k.Kept.Load(), "events": k.Events.Load(), "events_lost": k.EventsLost.Load(), "cut": k.Cut.Load()}
		}
		if e := c.hooks.Load(); e != nil {
			k := &e.Counts
			s.Hooks = map[string]int64{"posted": k.Posted.Load(), "dropped": k.Dropped.Load(), "inline": k.Inline.Load(), "inline_ns": k.InlineNanos.Load() / max(1, k.Inline.Load()),
				"aside": k.Aside.Load(), "aside_ns": k.AsideNanos.Load() / max(1, k.Aside.Load()), "faults": k.Faults.Load(), "refusals": k.Refusals.Load(), "over": k.Over.Load()}
			if c.notifier != nil {
				s.Hooks["notices"], s.Hooks["notices_failed"], s.Hooks["notices_lost"] = c.notifier.Sent.Load(), c.notifier.Failed.Load(), c.notifier.Lost.Load()
			}
		}
		return s, nil
	case "workers":
		l, _, err := c.Gateway.View()
		return l, err
	case "functions":
		_, l, err := c.Gateway.View()
		return l, err
	case "explain":
		var p struct {
			ID string `json:"id"`
		}
		if err := params(&p); err != nil {
			return nil, err
		}
		x, ok, err := c.Gateway.Explain(p.ID)
		if err == nil && !ok {
			err = fmt.Errorf("%w: no call %q in hand or among the last", jsonrpc.ErrUnknown, p.ID)
		}
		return x, err
	case "drain":
		c.Drain()
		return map[string]int{"open": c.Gateway.Open()}, nil
	case "reload":
		if c.Reload == nil {
			return nil, errors.New("this program does not read its configuration anew")
		}
		return "ok", c.Reload()
	}
	if c.hooks.Load() == nil {
		switch method {
		case "hooks", "hook.load", "hook.promote", "hook.rollback", "hook.release", "hook.remove":
			return nil, errors.New("no hooks are configured")
		}
		return nil, jsonrpc.ErrMethod
	}
	return op.hook(method, user, params)
}

func (op operator) hook(method string, user jsonrpc.User, params func(any) error) (any, error) {
	e := op.c.hooks.Load()
	var p struct {
		Name   string `json:"name"`
		Text   string `json:"text"`
		Shadow bool   `json:"shadow"`
		Force  bool   `json:"force"`
	}
	if method == "hooks" {
		return e.Overview()
	}
	if err := params(&p); err != nil {
		return nil, err
	}
	var err error
	switch method {
	case "hook.load":
		v, warnings, err := e.Load(p.Name, p.Text, "user "+user.Name, p.Shadow)
		if err != nil {
			return nil, err
		}
		l := []string{}
		for _, w := range warnings {
			l = append(l, w.Error())
		}
		return map[string]any{"version": v, "warnings": l}, nil
	case "hook.promote":
		err = e.Promote(p.Name, p.Force)
	case "hook.rollback":
		err = e.Rollback(p.Name)
	case "hook.release":
		err = e.Release(p.Name)
	case "hook.remove":
		err = e.Remove(p.Name)
	default:
		return nil, jsonrpc.ErrMethod
	}
	if errors.Is(err, hookengine.ErrUnknown) {
		err = fmt.Errorf("%w: %s", jsonrpc.ErrUnknown, p.Name)
	}
	return "ok", err
}

// Drain has no further call taken; what is in hand goes on, and operators are served until Stop.
func (c *Controller) Drain() {
	c.draining.Store(true)
	c.Front.BeginStop()
	if c.RPC != nil {
		c.RPC.BeginStop()
	}
}

// Hooks returns the engine that runs scripts, or nil.
func (c *Controller) Hooks() *hookengine.Engine { return c.hooks.Load() }

// LoadHook takes a script.
func (c *Controller) LoadHook(name, text string) error {
	if c.hooks.Load() == nil {
		return errors.New("no hooks are configured")
	}
	_, _, err := c.hooks.Load().Load(name, text, "rig", false)
	return err
}

// SetScripts takes the hooks' files as they are now.
func (c *Controller) SetScripts(b *config.Built) error {
	if c.hooks.Load() == nil {
		return nil
	}
	return c.loadScripts(b)
}

var _ gateway.Hooks = (*eventTap)(nil)
