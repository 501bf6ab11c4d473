package controller

import (
	"errors"
	"fmt"
	"os"

	"kitehub/internal/hookengine"
	"kitehub/internal/ingress/jsonrpc"
)

// serveRPC starts the RPC server for operators and for clients on the same machine.
func (c *Controller) serveRPC() {
	if c.rpcListener == nil {
		return
	}
	rc := *c.config.RPC
	rc.Gateway = c.Gateway
	rc.Functions = c.functions.Find
	rc.Clock = c.options.Clock
	rc.Log = c.log
	rc.Operator = operator{c}
	rc.Deadline = c.webhookConfig.Deadline
	rc.Idempotency = c.webhookConfig.Idempotency
	rc.Models = c.webhookConfig.Models
	if c.options.Predecessor != nil {
		rc.TakeoverTime = c.options.Clock.Now()
		rc.KeysUnknownUntil = c.rpcKeysUnknownUntil
	}
	rc.Gate = c.gate
	rc.Budget = newClientBudget(rc.MaxConns)
	c.RPC = jsonrpc.New(rc)
	c.events.rpc.Store(c.RPC)
	go func() {
		if err := c.RPC.Serve(c.rpcListener); err != nil {
			c.log.Error().Err(err).Msg("rpc listener failed")
		}
	}()
}

// Status is the result of the operators' method status.
type Status struct {
	Name           string           `json:"name"`
	PID            int              `json:"pid"`
	InFlight       int              `json:"open"` // calls in flight
	Draining       bool             `json:"draining"`
	Answers        map[string]int64 `json:"answers"` // number by outcome since the start
	RPC            map[string]int64 `json:"rpc"`
	Hooks          map[string]int64 `json:"hooks,omitempty"`
	Registry       map[string]int64 `json:"registry,omitempty"`
	MeanStepMicros float64          `json:"mean_step_us"` // mean scheduler step time, in microseconds
	ModuleCrashes  int64            `json:"module_crashes"`
}

// operator executes the operators' methods. It implements jsonrpc.Operator and is safe for
// concurrent use.
type operator struct{ controller *Controller }

// Do executes a method; params decodes its parameters. It returns jsonrpc.ErrUnknownMethod for an
// unknown method, and an error that wraps jsonrpc.ErrUnknownObject for an unknown call or script.
func (op operator) Do(method string, user jsonrpc.User, params func(any) error) (any, error) {
	c := op.controller
	switch method {
	case "status":
		return c.status(), nil
	case "workers":
		l, _, err := c.Gateway.View()
		return l, err
	case "functions":
		_, l, err := c.Gateway.View()
		return l, err
	case "explain":
		return op.explain(params)
	case "drain":
		c.Drain()
		return map[string]int{"open": c.Gateway.OpenRequests()}, nil
	case "reload":
		if c.options.Reload == nil {
			return nil, errors.New("this program does not read its configuration anew")
		}
		return "ok", c.options.Reload()
	}
	engine := c.hookEngine.Load()
	if engine == nil {
		return nil, errorWithoutHooks(method)
	}
	if method == "hooks" {
		return engine.Overview()
	}
	return doScriptMethod(engine, method, user, params)
}

// errorWithoutHooks returns the error of a method that needs hooks, or does not exist, in a
// controller without hooks.
func errorWithoutHooks(method string) error {
	switch method {
	case "hooks", "hook.load", "hook.promote", "hook.rollback", "hook.release", "hook.remove":
		return errNoHooks
	}
	return jsonrpc.ErrUnknownMethod
}

func (op operator) explain(params func(any) error) (any, error) {
	var p struct {
		ID string `json:"id"`
	}
	if err := params(&p); err != nil {
		return nil, err
	}
	x, ok, err := op.controller.Gateway.Explain(p.ID)
	if err == nil && !ok {
		err = fmt.Errorf("%w: no call %q in hand or among the last", jsonrpc.ErrUnknownObject, p.ID)
	}
	return x, err
}

func (c *Controller) status() Status {
	counts := &c.Gateway.Counts
	s := Status{
		Name:     c.config.Name,
		PID:      os.Getpid(),
		InFlight: c.Gateway.OpenRequests(),
		Draining: c.draining.Load(),
		Answers: map[string]int64{
			"served":  counts.Served.Load(),
			"refused": counts.Rejected.Load(),
			"failed":  counts.Failed.Load(),
			"gone":    counts.ClientClosed.Load(),
			"left":    counts.Superseded.Load(),
			"turned":  counts.OverCapacity.Load(),
		},
		MeanStepMicros: float64(counts.StepNanos.Load()) / 1e3 / float64(max(1, counts.Steps.Load())),
		ModuleCrashes:  counts.Panics.Load(),
	}
	if c.RPC != nil {
		s.RPC = rpcStatus(c.RPC)
	}
	if engine := c.hookEngine.Load(); engine != nil {
		s.Hooks = c.hookStatus(engine)
	}
	if c.models != nil {
		s.Registry = c.models.status()
	}
	return s
}

func rpcStatus(server *jsonrpc.Server) map[string]int64 {
	counts := &server.Counts
	return map[string]int64{
		"connections": counts.Connections.Load(),
		"denied":      counts.Denied.Load(),
		"messages":    counts.Messages.Load(),
		"bad":         counts.Malformed.Load(),
		"calls":       counts.Calls.Load(),
		"cancelled":   counts.Cancelled.Load(),
		"joined":      counts.Joined.Load(),
		"kept":        counts.Cached.Load(),
		"events":      counts.Events.Load(),
		"events_lost": counts.EventsDropped.Load(),
		"cut":         counts.WriteFailures.Load(),
	}
}

func (c *Controller) hookStatus(engine *hookengine.Engine) map[string]int64 {
	counts := &engine.Counts
	status := map[string]int64{
		"posted":    counts.Posted.Load(),
		"dropped":   counts.Dropped.Load(),
		"inline":    counts.InlineRuns.Load(),
		"inline_ns": counts.InlineNanos.Load() / max(1, counts.InlineRuns.Load()),
		"aside":     counts.BackgroundRuns.Load(),
		"aside_ns":  counts.BackgroundNanos.Load() / max(1, counts.BackgroundRuns.Load()),
		"faults":    counts.Faults.Load(),
		"refusals":  counts.Rejections.Load(),
		"over":      counts.OverRejectionLimit.Load(),
	}
	status["running"], status["overdue"] = engine.RunsInProgress()
	if c.notifier != nil {
		status["notices"] = c.notifier.Sent.Load()
		status["notices_failed"] = c.notifier.Failed.Load()
		status["notices_lost"] = c.notifier.Dropped.Load()
	}
	return status
}

// scriptParams are the parameters of all methods on one script. Each method uses some of them.
type scriptParams struct {
	Name   string `json:"name"`
	Text   string `json:"text"`
	Shadow bool   `json:"shadow"`
	Force  bool   `json:"force"`
}

// doScriptMethod executes a method on one script.
func doScriptMethod(engine *hookengine.Engine, method string, user jsonrpc.User, params func(any) error) (any, error) {
	var p scriptParams
	if err := params(&p); err != nil {
		return nil, err
	}
	var err error
	switch method {
	case "hook.load":
		return loadScript(engine, p, user)
	case "hook.promote":
		err = engine.Promote(p.Name, p.Force)
	case "hook.rollback":
		err = engine.Rollback(p.Name)
	case "hook.release":
		err = engine.Release(p.Name)
	case "hook.remove":
		err = engine.Remove(p.Name)
	default:
		return nil, jsonrpc.ErrUnknownMethod
	}
	if errors.Is(err, hookengine.ErrUnknownScript) {
		err = fmt.Errorf("%w: %s", jsonrpc.ErrUnknownObject, p.Name)
	}
	return "ok", err
}

func loadScript(engine *hookengine.Engine, p scriptParams, user jsonrpc.User) (any, error) {
	version, warnings, err := engine.Load(p.Name, p.Text, "user "+user.Name, p.Shadow)
	if err != nil {
		return nil, err
	}
	texts := []string{}
	for _, w := range warnings {
		texts = append(texts, w.Error())
	}
	return map[string]any{"version": version, "warnings": texts}, nil
}
