package gateway

import (
	"errors"
	"fmt"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/hooklang"
	"kitehub/scheduler"
)

// errUnknownRequest indicates a fault in the dispatcher, which must act on open requests only.
var errUnknownRequest = errors.New("action on a request that is not open")

// execute carries out one action of the dispatcher.
func (g *Gateway) execute(a scheduler.Action, now time.Duration) {
	switch a := a.(type) {
	case scheduler.Send:
		g.dispatch(a, now)
	case scheduler.Reject:
		g.answerDecided(a.Request, Answer{Kind: Rejected, RetryAfter: a.RetryAfter}, now)
	case scheduler.Fail:
		r := g.inFlight[a.Request]
		g.answerDecided(a.Request, Answer{Kind: Failed, DeadlineExceeded: r != nil && r.outstanding > 0}, now)
	case scheduler.Cancel:
		g.cancelAttempt(a)
	case scheduler.Wake:
		g.wakeups = append(g.wakeups, a)
	case scheduler.Log:
		g.cfg.Log.Info().Str("text", a.Text).Msg("dispatcher note")
	default:
		g.executeOnWorkers(a)
	}
}

// executeOnWorkers carries out an action that concerns workers, the endpoint list or other
// controllers rather than a request.
func (g *Gateway) executeOnWorkers(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.LoadOrder:
		g.orderLoad(a)
	case scheduler.Unload:
		if name, _, ok := g.functionName(a.Function); ok {
			g.cfg.Transport.Unload(a.Worker, name)
		}
	case scheduler.Probe:
		g.probe(a)
	case scheduler.CloseIdleConnections:
		g.cfg.Transport.CloseIdle(a.Worker)
	case scheduler.WatchEndpoints:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Watch(a.On)
		}
	case scheduler.FetchEndpoints:
		if g.cfg.Lister != nil {
			g.cfg.Lister.Fetch()
		}
	case scheduler.PeerMessage:
		if g.cfg.Peers != nil && g.cfg.Settings.Limits.Peers {
			g.cfg.Peers.Send(a.To, a.Payload)
		}
	default:
		g.cfg.Log.Error().Str("action", fmt.Sprintf("%T", a)).Msg("unknown action")
	}
}

// answerDecided gives the final answer that the dispatcher has decided on. If a worker's answer was
// faster, it does nothing: the event of that attempt comes with the next step.
func (g *Gateway) answerDecided(id scheduler.RequestID, a Answer, now time.Duration) {
	r := g.inFlight[id]
	if r == nil || r.recorded {
		g.cfg.Log.Error().Uint64("request", uint64(id)).Err(errUnknownRequest).Msg("answer dropped")
		return
	}
	if r.claim(a.Kind) {
		g.answer(id, r, a, now)
	}
}

func (g *Gateway) cancelAttempt(a scheduler.Cancel) {
	r := g.inFlight[a.Request]
	if r != nil && a.Attempt < len(r.attempts) && r.attempts[a.Attempt].running != nil {
		r.attempts[a.Attempt].running.Cancel()
	}
}

func (g *Gateway) probe(a scheduler.Probe) {
	g.cfg.Transport.Probe(a.Worker, func(o scheduler.Outcome, took time.Duration, report []float64) {
		g.enqueue(scheduler.ProbeEnded{Worker: a.Worker, Outcome: o, Took: took, LoadReport: report})
	})
}

// orderLoad orders a worker to hold copies of a function. An order for a function that is no longer
// known is not sent.
func (g *Gateway) orderLoad(a scheduler.LoadOrder) {
	name, digest, ok := g.functionName(a.Function)
	if !ok {
		g.enqueue(scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function, Outcome: scheduler.NotStarted})
		return
	}
	order := backend.LoadOrder{Worker: a.Worker, Function: name, Digest: digest, Copies: a.Copies}
	g.cfg.Transport.LoadCopies(order, func(o scheduler.Outcome, copies int, took time.Duration) {
		g.loadEnded(order, o, copies, took)
		g.enqueue(scheduler.LoadOrderEnded{
			Worker: a.Worker, Function: a.Function, Outcome: o, Took: took, Copies: copies,
		})
	})
}

// loadEnded notifies the registry and the hooks of a finished load order. It runs on a backend
// goroutine.
func (g *Gateway) loadEnded(order backend.LoadOrder, o scheduler.Outcome, copies int, took time.Duration) {
	if order.Digest != "" && o == scheduler.OK && g.cfg.Versions != nil {
		g.cfg.Versions.CopiesReady(order.Function, g.workerName(order.Worker), copies)
	}
	if h := g.cfg.Hooks; h != nil && (o == scheduler.AtCapacity || o == scheduler.Error) {
		h.Post("load_refused", hooklang.Load{
			Function: order.Function, Worker: g.workerName(order.Worker), Outcome: outcomeNames[o], Took: took,
		})
	}
}
