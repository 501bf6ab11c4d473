// Package controller assembles a controller from its configuration: the ingresses, the gateway, the
// backend, discovery, the registry agent and the hooks. The program and the test harnesses both use
// it, so that they run the same controller. The package makes no decisions about calls.
//
// # Lifecycle
//
// Start runs the steps of start.go in order and returns once calls are served. A controller ends
// with Stop (graceful shutdown), Kill (like a crash) or a handover to a successor process. The
// first of the three sets Controller.stopping, and the others then do nothing. The two sides of a
// handover are in handover_predecessor.go and handover_successor.go; package daemon defines the
// protocol.
package controller

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/config"
	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/hookengine"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/overload"
	"kitehub/internal/registry/agent"
)

// Options are the settings of a controller that are not part of its configuration.
type Options struct {
	// Clock and Log are required.
	Clock clock.Clock
	Log   zerolog.Logger
	// Dial connects to workers; nil: through the network of the machine.
	Dial backend.DialFunc
	// Sink and Handler, if set, wrap the sink of discovery and the handler of calls. Test harnesses
	// use them to disable a safeguard, and so to show that they detect a gateway without it.
	Sink    func(discovery.Sink) discovery.Sink
	Handler func(http1.Handler) http1.Handler
	// Models and Versions, if set, wrap the registry's view for the same purpose.
	Models   func(ingress.Models) ingress.Models
	Versions func(gateway.Versions) gateway.Versions
	// NoHooks starts the controller without scripts. In a crash loop they may be the cause.
	NoHooks bool
	// Reload implements the operators' method reload; nil: the method returns an error.
	Reload func() error
	// Predecessor, if set, is the handover from the process that this controller replaces. See
	// TakeOver.
	Predecessor *IncomingHandover
}

// A Controller runs until Stop, Kill or a handover. Start sets its exported fields, which must not
// be changed.
type Controller struct {
	Gateway *gateway.Gateway
	Webhook *webhook.Handler
	Backend *backend.Backend
	HTTP    *http1.Server
	// RPC serves operators and clients on the same machine; nil: not configured.
	RPC *jsonrpc.Server

	config  *config.ControllerConfig
	options Options
	log     zerolog.Logger

	// Set by the steps of start, and not changed afterwards.
	webhookConfig     webhook.Config // of Webhook; RPC uses parts of it
	functions         *gateway.Functions
	models            *modelVersions
	gate              *overload.Gate // for clients of both ingresses that send faster than others
	listener          net.Listener   // of HTTP
	watcher           *discovery.Watcher
	peers             *Peers // nil: peer messages are disabled or there are no other controllers
	notifier          *hookengine.Notifier
	rpcListener       net.Listener      // nil: not configured
	successorListener *net.UnixListener // nil: handovers are not configured
	// rpcKeysUnknownUntil is until when keyed JSON-RPC calls are rejected; 0: no predecessor.
	rpcKeysUnknownUntil time.Duration
	onPredecessorDone   func() // called once the predecessor is done; nil: nothing to do then

	events eventFanout
	// hookEngine is replaced when a handover is aborted. Nil: there are no scripts.
	hookEngine atomic.Pointer[hookengine.Engine]

	draining atomic.Bool // no further call is admitted
	stopping atomic.Bool // set by the first of Stop, Kill and a handover that succeeds
	killed   atomic.Bool // no further connection may be dialled

	acceptDone      chan struct{} // closed when no further connection is accepted
	predecessorDone chan struct{} // closed when the predecessor is done; nil: no predecessor
	handedOver      chan struct{} // closed when a successor serves and nothing is in flight here

	mu     sync.Mutex                // guards the fields below
	conns  map[*trackedConn]struct{} // open connections that were dialled; Kill cuts them
	agent  *agent.Agent              // nil: not configured, or the predecessor is not done
	unlock func() error              // unlocks the state folder; nil: not locked by this controller
}

// Start runs a controller. It creates the state folder if it is missing, and locks it against a
// second controller. If Start returns an error, nothing is left running.
func Start(cfg *config.ControllerConfig, o Options) (*Controller, error) {
	c := &Controller{
		config:     cfg,
		options:    o,
		log:        o.Log,
		conns:      map[*trackedConn]struct{}{},
		acceptDone: make(chan struct{}),
		handedOver: make(chan struct{}),
	}
	if err := c.start(); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// Addr returns the address at which the controller listens for calls.
func (c *Controller) Addr() string { return c.listener.Addr().String() }

// Name returns the controller's name.
func (c *Controller) Name() string { return c.config.Name }

// SetClients replaces the clients and their keys by those of a reloaded configuration. Clients can
// only be added at the end, so that a mistake in the file disables none, and a key cannot move to
// another client. SetClients must not be called concurrently.
func (c *Controller) SetClients(cfg *config.ControllerConfig) error {
	current := c.config.Clients
	if len(cfg.Clients) < len(current) {
		return fmt.Errorf("clients: %d configured, but %d are active: to disable a client, replace its keys instead",
			len(cfg.Clients), len(current))
	}
	for i := range current {
		if cfg.Clients[i].Name != current[i].Name {
			return fmt.Errorf("clients[%d].name: %q replaces the active client %q: add new clients at the end",
				i, cfg.Clients[i].Name, current[i].Name)
		}
	}
	if err := c.Webhook.SetClients(cfg.Clients); err != nil {
		return err
	}
	c.config.Clients = cfg.Clients
	return nil
}
