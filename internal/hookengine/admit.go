package hookengine

import (
	"errors"
	"sync/atomic"
	"time"

	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// Admit runs the arrival handlers of the live versions for a call and returns the verdict on the
// call. It waits for them for a bounded time. The call counts as in flight for its tenant until
// CallEnded.
func (e *Engine) Admit(c hooklang.Call) hookadvice.Verdict {
	now := e.config.Clock.Now()
	var advice []hooklang.Advice
	if handlers := *e.arrivalHandlers.Load(); len(handlers) > 0 {
		env := hooklang.Env{Now: int64(now), Wall: e.config.Clock.Wall().Unix()}
		advice = e.awaitArrivalHandlers(handlers, c, env)
		e.Counts.InlineRuns.Add(int64(len(handlers)))
		e.Counts.InlineNanos.Add(int64(e.config.Clock.Now() - now))
	}
	e.gateMutex.Lock()
	verdict := e.gate.Admit(now, c.Tenant, advice)
	e.gateMutex.Unlock()
	if verdict.ShedAdvised {
		e.Counts.Rejections.Add(1)
	}
	if verdict.OverRejectionLimit {
		e.Counts.OverRejectionLimit.Add(1)
	}
	return verdict
}

// errRunDoesNotReturn is the fault of a run that takes longer than Config.RunTimeout.
var errRunDoesNotReturn = errors.New("the run does not return")

// awaitArrivalHandlers runs handlers for a call on another goroutine, so that the call goes on without
// their advice if a run does not return, which its limits should prevent. It waits for at most half
// of the time that the client waits.
func (e *Engine) awaitArrivalHandlers(handlers []inlineHandler, c hooklang.Call, env hooklang.Env) []hooklang.Advice {
	finished := make(chan []hooklang.Advice, 1)
	go func() { finished <- e.runArrivalHandlers(handlers, c, env) }()
	timeout := e.config.RunTimeout
	if c.Wait > 0 {
		timeout = min(timeout, c.Wait/2)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case advice := <-finished:
		return advice
	case <-timer.C:
		return nil
	}
}

// runArrivalHandlers runs handlers for a call and returns their advice. A run that takes longer than
// Config.RunTimeout counts as a fault of its script, so the circuit of a script whose runs do not
// return opens after a few of them.
func (e *Engine) runArrivalHandlers(handlers []inlineHandler, c hooklang.Call, env hooklang.Env) (advice []hooklang.Advice) {
	var current atomic.Int64 // index of the handler that runs
	overdue := time.AfterFunc(e.config.RunTimeout, func() {
		h := &handlers[current.Load()]
		run := &inlineRun{script: h.script, version: h.version, fault: errRunDoesNotReturn.Error()}
		e.enqueue(job{point: "arrive", run: run, at: time.Duration(env.Now)})
	})
	defer overdue.Stop()
	vm := e.vmPool.Get().(*hooklang.VM)
	for i := range handlers {
		current.Store(int64(i))
		advice = append(advice, e.runInline(vm, &handlers[i], c, env)...)
	}
	e.vmPool.Put(vm)
	return advice
}

// runInline runs one arrival handler. It queues the outcome, from which the engine's goroutine
// updates the version's statistics and circuit and runs the shadow.
func (e *Engine) runInline(vm *hooklang.VM, h *inlineHandler, c hooklang.Call, env hooklang.Env) []hooklang.Advice {
	monitored := e.monitor.begin(h.script, h.version, "arrive")
	result, err := vm.Run(h.program, "arrive", c, h.state, env, e.config.InlineLimits)
	e.monitor.end(monitored)
	run := &inlineRun{script: h.script, version: h.version, fuel: result.Fuel, advice: result.Advice}
	if err != nil {
		run.fault = err.Error()
	}
	j := job{point: "arrive", run: run, at: time.Duration(env.Now)}
	if h.shadow {
		j.event = c
	}
	e.enqueue(j)
	return result.Advice
}

// CallEnded records the end of a call for which Admit was called.
func (e *Engine) CallEnded(tenant string) {
	e.gateMutex.Lock()
	e.gate.CallEnded(tenant)
	e.gateMutex.Unlock()
}
