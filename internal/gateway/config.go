package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// Config configures a Gateway. Name, Settings, Clock and Transport are required. The comment of an
// optional field says what its zero value means.
type Config struct {
	// Name is the controller's name.
	Name string
	// Settings are passed to the dispatcher. Limits.MaxOpenRequests and Tick must be positive.
	Settings scheduler.Settings
	// Seed seeds all random draws of the dispatcher, and the span ids.
	Seed uint64
	// Clock gives the monotonic time that the dispatcher uses, and the time of day.
	Clock clock.Clock
	// Transport carries attempts, load orders and probes to the workers.
	Transport Transport
	// Lister fetches the endpoint list if it has to be polled. Nil: the list only arrives through
	// UpdateWorkers.
	Lister Lister
	// Peers carries peer messages to other controllers. Nil: there are no other controllers.
	Peers Peers
	// Versions reports whether a version of a model may still be used. Nil: no call has a
	// VersionBinding.
	Versions Versions
	// Hooks are notified of calls and workers. Nil: there are no hooks.
	Hooks Hooks
	// FunctionName, if set, returns the name of a function by its id. Functions then need not be
	// added, so no table grows with the names that clients make up.
	FunctionName func(scheduler.FunctionID) string
	// MaxExplanations is how many answered calls are kept for Explain; 0: none.
	MaxExplanations int
	// Log receives one line per request and the events of the loop.
	Log zerolog.Logger
	// OmitRequestLog turns off the line per request.
	OmitRequestLog bool
}

// A Transport carries attempts, load orders and probes to workers. backend.Backend and
// frame.Backend implement it.
//
// All methods except Update are called on the loop's goroutine. Gateway.UpdateWorkers calls Update
// on its caller's goroutine, under the gateway's lock. No method may wait for the network. Each
// callback is called exactly once, on another goroutine; only RunningAttempt.Cancel may call back
// on the goroutine that cancels.
type Transport interface {
	// Send starts an attempt. The callback receives its result.
	Send(backend.Attempt, func(backend.Result)) backend.RunningAttempt
	// LoadCopies orders a worker to hold copies of a function. The callback receives the outcome,
	// the number of copies that the worker then holds, and how long the order took.
	LoadCopies(backend.LoadOrder, func(outcome scheduler.Outcome, copies int, took time.Duration))
	// Unload orders a worker to drop its copies of the named function.
	Unload(worker scheduler.WorkerID, function string)
	// Probe sends a health check probe to a worker. The callback receives the outcome, the
	// round-trip time and the worker's load report.
	Probe(scheduler.WorkerID, func(outcome scheduler.Outcome, took time.Duration, report []float64))
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(scheduler.WorkerID)
	// Update replaces the endpoints of all workers. The gateway reuses the slice after the call.
	Update([]backend.Endpoint)
}

// A Lister fetches the endpoint list if it has to be polled. Its methods are called on the loop's
// goroutine and must not block.
type Lister interface {
	// Watch starts or stops watching the list.
	Watch(on bool)
	// Fetch requests the complete list once.
	Fetch()
}

// Peers carries the dispatcher's peer messages to other controllers. Send is called on the loop's
// goroutine and must not block. Messages may be lost.
type Peers interface {
	// Send sends a message to the controller with index to, or to all controllers if to is
	// scheduler.AllControllers.
	Send(to int, payload []byte)
}

// Versions gives the registry's view of the versions of models. Its methods are safe for concurrent
// use and must not block.
type Versions interface {
	// MayAnswer reports whether a call that was resolved to the target may be sent and answered
	// now.
	MayAnswer(registry.AliasName, registry.Target) registry.Verdict
	// CopiesReady reports that a worker holds copies of a function that is a version of a model.
	CopiesReady(function, worker string, copies int)
}

// Hooks observe the gateway and advise on calls, on behalf of operators' scripts. The methods are
// safe for concurrent use and must not block.
type Hooks interface {
	// CallArrived advises on a call that is being submitted. CallEnded follows once for each call.
	CallArrived(hooklang.Call) hookadvice.Verdict
	// CallEnded reports that a call of the tenant was answered, or was not admitted after all.
	CallEnded(tenant string)
	// Post publishes an event to the handlers of a hook point.
	Post(point string, e hooklang.Event)
	// SetWorkers replaces the workers that advice may name.
	SetWorkers([]hookadvice.Worker)
}
