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

// Config sets up a Gateway. Name, Settings, Clock and Transport are required; what may be nil says so.
type Config struct {
	// Name is the controller's name.
	Name string
	// Settings are the dispatcher's. Limits.MaxOpenRequests and Tick must be positive.
	Settings scheduler.Settings
	// Seed of all random draws of the dispatcher and of span ids.
	Seed uint64
	// Clock gives the monotonic time that the dispatcher reckons with, and the time of day.
	Clock clock.Clock
	// Transport carries attempts, load orders and health checks to the workers.
	Transport Transport
	// Lister fetches the endpoint list where it must be polled; nil: the list is pushed by Workers alone.
	Lister Lister
	// Peers carries gossip to other controllers; nil: there are none.
	Peers Peers
	// Versions answers whether a version of a model may still be used; nil: no call has a VersionBinding.
	Versions Versions
	// Hooks are notified of calls and workers; nil: there are none.
	Hooks Hooks
	// FunctionName, where set, gives the name of a function by its number. Functions then need not be added: no table grows
	// with the names that clients come up with.
	FunctionName func(scheduler.FunctionID) string
	// MaxExplanations is how many answered calls are kept for Explain; 0: none.
	MaxExplanations int
	// Log receives one line for each request, and the events of the loop.
	Log zerolog.Logger
	// OmitRequestLog leaves out the line for each request.
	OmitRequestLog bool
}

// A Transport carries attempts, load orders and health checks to workers. backend.Backend and frame.Backend are
// Transports.
//
// All methods are called on the loop's goroutine, but for Update, which is called under the gateway's lock by whoever
// calls Gateway.Workers. None may wait for the network. Each callback is called exactly once, on another goroutine;
// only Running.Cancel may call back on the goroutine that cancels.
type Transport interface {
	// Send starts an attempt. The callback gets its result.
	Send(backend.Attempt, func(backend.Result)) backend.RunningAttempt
	// LoadCopies orders a worker to hold copies of a function. The callback gets the outcome, the number of copies that
	// the worker then holds, and how long it took.
	LoadCopies(backend.LoadOrder, func(outcome scheduler.Outcome, copies int, took time.Duration))
	// Unload has a worker drop its copies of the named function.
	Unload(worker scheduler.WorkerID, function string)
	// Probe checks a worker's health. The callback gets the outcome, the round trip and the worker's load report.
	Probe(scheduler.WorkerID, func(outcome scheduler.Outcome, took time.Duration, report []float64))
	// CloseIdle closes idle connections to a worker.
	CloseIdle(scheduler.WorkerID)
	// Update replaces the endpoints of all workers. The slice is reused after the call.
	Update([]backend.Endpoint)
}

// A Lister fetches the endpoint list where it must be polled. Its methods are called on the loop's goroutine and must
// not block.
type Lister interface {
	// Watch starts or ends the watch.
	Watch(on bool)
	// Fetch asks for the complete list once.
	Fetch()
}

// Peers carries the dispatcher's gossip to other controllers. Send is called on the loop's goroutine and must not
// block; messages may be lost.
type Peers interface {
	// Send sends a message to the controller with index to, or to all with scheduler.Everyone.
	Send(to int, payload []byte)
}

// Versions is what the registry says of the versions of models. Its methods are safe for concurrent use and must not
// block.
type Versions interface {
	// MayAnswer tells whether a call that was resolved to the target may be sent and answered now.
	MayAnswer(registry.AliasName, registry.Target) registry.Verdict
	// CopiesReady reports that a worker holds copies of a function that is a version of a model.
	CopiesReady(function, worker string, copies int)
}

// Hooks are what operators' scripts observe of the gateway, and advise on calls. hookengine.Engine is one. The methods
// are safe for concurrent use and must not block.
type Hooks interface {
	// CallArrived advises on a call that is being submitted. CallEnded follows once for each.
	CallArrived(hooklang.Call) hookadvice.Verdict
	// CallEnded reports that a call of the tenant has been answered, or was not admitted after all.
	CallEnded(tenant string)
	// Post publishes an event to the handlers of a hook point.
	Post(point string, e hooklang.Event)
	// SetWorkers replaces the workers that advice may name.
	SetWorkers([]hookadvice.Worker)
}
