// Package controller assembles one controller from its configuration: the ingresses, the gateway, the back end,
// discovery, the registry's agent and the hooks. It exists so that the program and the test harnesses start the same
// thing. It makes no decision about calls.
//
// # Life of a controller
//
// Start runs the steps of start.go in order and returns once calls are served. Three ways end it: Stop (graceful
// shutdown), Kill (as a crash would), and a handover to a successor process (handover_old.go, handover_new.go; the
// protocol is package daemon's). Controller.stopping is set by the first of them; the others then do nothing.
package controller

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

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
	"kitehub/internal/registry/agent"
)

// Options are what a configuration does not say.
type Options struct {
	// Clock and Log are required.
	Clock clock.Clock
	Log   zerolog.Logger
	// Dial connects to workers; nil: by the machine's network.
	Dial backend.DialFunc
	// Sink and Handler, where set, wrap what discovery feeds and what serves calls. Harnesses use them to show that a
	// gateway without a guard is caught.
	Sink    func(discovery.Sink) discovery.Sink
	Handler func(http1.Handler) http1.Handler
	// Models and Versions wrap the registry's view, likewise.
	Models   func(ingress.Models) ingress.Models
	Versions func(gateway.Versions) gateway.Versions
	// NoHooks starts without scripts: after a crash loop they may be its cause.
	NoHooks bool
	// Reload is what the operators' method reload does; nil: it is an error.
	Reload func() error
	// Predecessor, where set, is what another process hands over: see TakeOver.
	Predecessor *IncomingHandover
}

// A Controller runs until Stop, Kill or a handover. Its exported fields are set by Start and must not be changed.
type Controller struct {
	Gateway *gateway.Gateway
	Webhook *webhook.Handler
	Backend *backend.Backend
	HTTP    *http1.Server
	// RPC serves operators and callers on the same machine; nil: none is configured.
	RPC *jsonrpc.Server

	built   *config.ControllerConfig
	options Options
	log     zerolog.Logger

	// Set by the steps of start, and not changed afterwards.
	frontConfig       webhook.Config // of Front; RPC shares parts of it
	functions         *gateway.Functions
	models            *modelVersions
	listener          net.Listener // of HTTP
	watcher           *discovery.Watcher
	peers             *Peers // nil: there are no other controllers
	notifier          *hookengine.Notifier
	rpcListener       net.Listener      // nil: none is configured
	successorListener *net.UnixListener // nil: no handover is configured
	afterPredecessor  func()            // called once the predecessor is done; nil: nothing waits for it

	events eventTap
	hooks  atomic.Pointer[hookengine.Engine] // replaced when a handover is aborted; nil: no scripts

	draining atomic.Bool // no further call is admitted
	stopping atomic.Bool // set by the first of Stop, Kill and a handover that succeeds
	killed   atomic.Bool // nothing may be dialled

	acceptDone      chan struct{} // closed when no further connection is accepted
	predecessorDone chan struct{} // closed when the predecessor is done; nil: there was none
	handedOver      chan struct{} // closed when a successor serves and nothing is in flight here

	mu     sync.Mutex                // guards the fields below
	conns  map[*trackedConn]struct{} // for Kill
	agent  *agent.Agent              // nil: none, or it waits for the predecessor
	unlock func() error              // unlocks the state folder; nil: it is not locked by this controller
}

// Start runs a controller. Its state folder is made if it is missing, and locked against a second controller. On an
// error nothing is left running.
func Start(b *config.ControllerConfig, o Options) (*Controller, error) {
	c := &Controller{
		built:      b,
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

// Addr returns where the controller listens for calls.
func (c *Controller) Addr() string { return c.listener.Addr().String() }

// Name returns the controller's name.
func (c *Controller) Name() string { return c.built.Name }

// SetClients replaces clients and their keys by those of a configuration that was reloaded. Clients may only be added,
// at the end: their indexes are part of the replay guard's keys. It must not be called concurrently.
func (c *Controller) SetClients(b *config.ControllerConfig) error {
	old := c.built.Clients
	if len(b.Clients) < len(old) {
		return fmt.Errorf("clients: %d, fewer than the %d that run: take their keys away instead",
			len(b.Clients), len(old))
	}
	for i := range old {
		if b.Clients[i].Name != old[i].Name {
			return fmt.Errorf("clients[%d].name: %q, runs as %q: add clients at the end",
				i, b.Clients[i].Name, old[i].Name)
		}
	}
	c.Webhook.SetClients(b.Clients)
	c.built.Clients = b.Clients
	return nil
}
