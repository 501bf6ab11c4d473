// Package controller puts one controller together from its configuration: the webhook front, the gateway loop, the
// back end and discovery. Programs and rigs start it; it decides nothing.
package controller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
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
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/store"
	"kitehub/scheduler"
)

// Options are what a configuration does not say.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
	Dial  backend.DialFunc // to workers; nil: the machine's
	// Sink and Handler, where set, stand between discovery and the gateway, and before the front. Rigs use them to
	// show that a gateway without a guard is caught.
	Sink    func(discovery.Sink) discovery.Sink
	Handler func(http1.Handler) http1.Handler
	// Models and Versions stand before the registry's view, likewise.
	Models   func(ingress.Models) ingress.Models
	Versions func(gateway.Versions) gateway.Versions
	// NoHooks starts without scripts: after a crash loop they may be its cause.
	NoHooks bool
	// Reload is what the operators' method reload brings about.
	Reload func() error
	// Predecessor, where set, is what another process hands over: see TakeOver.
	Predecessor *Succession
}

// A Controller runs until Stop or Kill.
type Controller struct {
	Gateway  *gateway.Gateway
	Front    *webhook.Front
	Backend  *backend.Backend
	HTTP     *http1.Server
	built    *config.Built
	log      zerolog.Logger
	listener net.Listener
	watcher  *discovery.Watcher
	peers    *Peers
	agent    *agent.Agent
	unlock   func() error
	// Reload, where set, is what operators bring about by the method reload. It is set before the first is served.
	Reload func() error
	RPC    *jsonrpc.Server // nil: none

	frontConfig       webhook.Config
	functions         *gateway.Functions
	models            *modelVersions
	hooks             atomic.Pointer[hookengine.Engine]
	notifier          *hookengine.Notifier
	tap               eventTap
	rpcListener       net.Listener
	draining          atomic.Bool
	successorListener *net.UnixListener
	options           Options
	handedOver        chan struct{}
	afterPredecessor  func()
	acceptDone        chan struct{} // closed when nothing more is accepted
	predecessorDone   chan struct{} // closed when the process before is done; nil: there was none

	mu       sync.Mutex
	conns    map[net.Conn]struct{} // to workers, for Kill
	killed   atomic.Bool           // killed: nothing may be dialled
	stopping atomic.Bool
}

// Start runs a controller. Its state folder is made if it is not there, and locked against a second controller.
func Start(b *config.Built, o Options) (*Controller, error) {
	c := &Controller{built: b, log: o.Log, conns: map[net.Conn]struct{}{}, options: o, handedOver: make(chan struct{}), acceptDone: make(chan struct{})}
	if err := c.start(o); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Controller) start(o Options) (err error) {
	b := c.built
	dir := filepath.Dir(b.Mark)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	if c.unlock, err = store.Lock(dir); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	bc := b.Backend
	bc.Clock, bc.Dial = o.Clock, c.trackConns(dial)
	c.Backend = backend.New(bc)
	gc := gateway.Config{Name: b.Name, Settings: b.Settings, Seed: b.Seed, Clock: o.Clock, Transport: c.Backend, Log: o.Log, OmitRequestLog: b.NoLines}
	if b.Settings.Limits.Peers && len(b.Peers) > 0 {
		if c.peers, err = newPeers(b); err != nil {
			return err
		}
		gc.Peers = c.peers
	}
	if b.Hooks != nil || b.RPC != nil {
		gc.Hooks, gc.MaxExplanations = &c.tap, b.Explain
	}
	c.Reload = o.Reload
	ms := &modelVersions{clock: o.Clock, tap: &c.tap}
	c.models = ms
	if b.Registry != "" {
		gc.Versions = ms
		if o.Versions != nil {
			gc.Versions = o.Versions(ms)
		}
	}
	if c.Gateway, err = gateway.New(gc); err != nil {
		return err
	}
	functions, err := gateway.NewFunctions(c.Gateway, b.Specs)
	if err != nil {
		return err
	}
	c.functions = functions
	wc := b.Webhook
	if b.Registry != "" {
		ms.gateway, ms.functions = c.Gateway, functions
		ask := func() {
			a := agent.Start(agent.Config{Client: &client.Client{Server: b.Registry, Name: b.Name, Key: b.Key, Wall: o.Clock.Wall,
				Dial: c.trackConns((&net.Dialer{}).DialContext)}, Node: b.Name, Clock: o.Clock, Log: o.Log, Moved: c.Gateway.RecheckVersions, Stage: ms.stageCopies, Ready: func(a *agent.Agent) { ms.agent.Store(a) }})
			c.mu.Lock()
			c.agent = a
			dead := c.killed.Load() || c.stopping.Load()
			c.mu.Unlock()
			if dead {
				a.Stop()
			}
		}
		if o.Predecessor == nil {
			ask()
		} else { // one name asks once: what it confirms would stand for the process before as well
			c.afterPredecessor = ask
		}
		wc.Models = ms
		if o.Models != nil {
			wc.Models = o.Models(ms)
		}
	}
	wc.Gateway, wc.Clock, wc.Log, wc.Mark, wc.Functions = c.Gateway, o.Clock, o.Log, webhook.File(b.Mark), functions.Find
	wc.Deadline = func(class int) time.Duration { return b.Settings.Classes[class].Deadline }
	wc.Effect = func(class int) scheduler.Idempotency { return b.Settings.Classes[class].Idempotency }
	if o.Predecessor != nil {
		wc.State = &o.Predecessor.s.state.Front
		c.Gateway.InheritBudget(o.Predecessor.s.state.Budget)
	}
	if c.Front, err = webhook.New(wc, b.Clients); err != nil {
		return fmt.Errorf("replay mark: %w", err)
	}
	if o.Predecessor != nil {
		if c.listener, err = o.Predecessor.listener(0); err != nil {
			return err
		}
	} else if b.Network == "unix" { // a socket that a killed process left behind must not stop this start
		if err := removeSocket(b.Listen); err != nil {
			return err
		}
	}
	if o.Predecessor == nil {
		if c.listener, err = net.Listen(b.Network, b.Listen); err != nil {
			return fmt.Errorf("webhook.listen: %w", err)
		}
	}
	c.frontConfig = wc
	if err := c.startHooks(o); err != nil {
		return err
	}
	go c.Gateway.Run()
	dc := b.Discovery
	dc.Sink, dc.Log, dc.Dial = c.Gateway, o.Log, c.trackConns((&net.Dialer{}).DialContext)
	if o.Sink != nil {
		dc.Sink = o.Sink(c.Gateway)
	}
	c.watcher = discovery.Start(dc)
	if c.peers != nil {
		go c.peers.Receive(c.Gateway)
	}
	handler := http1.Handler(c.Front)
	if o.Handler != nil {
		handler = o.Handler(handler)
	}
	if o.Predecessor != nil {
		if err := o.Predecessor.granted(); err != nil {
			return err
		}
	}
	if err := c.startRPC(o); err != nil {
		return err
	}
	c.HTTP = &http1.Server{Handler: handler, Limits: b.HTTP, MaxOpen: b.MaxOpen}
	go func() {
		defer close(c.acceptDone)
		if err := c.HTTP.Serve(c.listener); err != nil {
			o.Log.Error().Err(err).Msg("listener")
		}
	}()
	if o.Predecessor != nil {
		c.predecessorDone = make(chan struct{})
		go o.Predecessor.follow(c)
	}
	return c.serveHandover()
}

func removeSocket(name string) error {
	info, err := os.Lstat(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("webhook.listen: %s is there and is no socket", name)
	}
	if conn, err := net.DialTimeout("unix", name, time.Second); err == nil {
		conn.Close()
		return fmt.Errorf("webhook.listen: %s is in use", name)
	}
	return os.Remove(name)
}

// Addr returns where the controller listens.
func (c *Controller) Addr() string { return c.listener.Addr().String() }

// Name returns the controller's name.
func (c *Controller) Name() string { return c.built.Name }

// SetClients replaces clients and their keys by those of a configuration read anew.
func (c *Controller) SetClients(b *config.Built) error {
	old := c.built.Clients
	if len(b.Clients) < len(old) {
		return fmt.Errorf("clients: %d, fewer than the %d that run: take their keys away instead", len(b.Clients), len(old))
	}
	for i := range old {
		if b.Clients[i].Name != old[i].Name {
			return fmt.Errorf("clients[%d].name: %q, runs as %q: add clients at the end", i, b.Clients[i].Name, old[i].Name)
		}
	}
	c.Front.SetClients(b.Clients)
	c.built.Clients = b.Clients
	return nil
}

// trackConns notes connections, so that Kill can cut them as the end of a process would.
func (c *Controller) trackConns(dial backend.DialFunc) backend.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		t := &trackedConn{nc, c}
		c.mu.Lock()
		c.conns[t] = struct{}{}
		c.mu.Unlock()
		if c.killed.Load() {
			t.Close()
			return nil, net.ErrClosed
		}
		if sc, ok := nc.(syscall.Conn); ok {
			return &trackedSyscallConn{t, sc}, nil
		}
		return t, nil
	}
}

type trackedConn struct {
	net.Conn
	controller *Controller
}

func (t *trackedConn) Close() error {
	t.controller.mu.Lock()
	delete(t.controller.conns, t)
	t.controller.mu.Unlock()
	return t.Conn.Close()
}

// trackedSyscallConn keeps the view of the file descriptor, by which the back end tells a closed idle connection.
type trackedSyscallConn struct {
	*trackedConn
	sc syscall.Conn
}

func (t *trackedSyscallConn) SyscallConn() (syscall.RawConn, error) { return t.sc.SyscallConn() }

// Stop takes nothing more, finishes what is in hand within the time, answers the rest, and returns when all is
// closed. A second controller can start on the same state folder then.
func (c *Controller) Stop(within time.Duration) error {
	if c.stopping.Swap(true) {
		return nil
	}
	c.Drain()
	c.listener.Close()
	c.stopWatchWhenIdle()
	c.Gateway.Stop(within)
	c.HTTP.Drain(time.Second)
	if c.RPC != nil {
		c.RPC.Drain(time.Second)
	}
	c.watcher.Stop()
	if c.successorListener != nil {
		c.successorListener.Close()
	}
	err := c.Front.Close()
	c.closeHooks()
	c.Backend.Close()
	c.stopAgent()
	if c.peers != nil {
		c.peers.Close()
	}
	c.unlockStateDir()
	return err
}

func (c *Controller) stopAgent() {
	c.mu.Lock()
	a := c.agent
	c.mu.Unlock()
	if a != nil {
		a.Stop()
	}
}

func (c *Controller) closeHooks() {
	if c.hooks.Load() != nil {
		c.hooks.Load().Close()
	}
	if c.notifier != nil {
		c.notifier.Close()
	}
}

// stopWatchWhenIdle is called first on the way down: the list still matters while calls are out, so it is watched to the end
// of Stop unless nothing is in hand.
func (c *Controller) stopWatchWhenIdle() {
	if c.Gateway.Open() == 0 {
		c.watcher.Stop()
		return
	}
	go func() {
		for c.Gateway.Open() > 0 && !c.killed.Load() {
			time.Sleep(c.built.Settings.Tick)
		}
		c.watcher.Stop()
	}()
}

// Kill ends the controller as the end of its process would: nobody is answered, connections are cut, nothing is
// written.
func (c *Controller) Kill() {
	if c.stopping.Swap(true) {
		return
	}
	c.killed.Store(true)
	if c.listener != nil {
		c.listener.Close()
	}
	if c.HTTP != nil {
		c.HTTP.Cut()
	}
	if c.RPC != nil {
		c.RPC.Cut()
	}
	if c.rpcListener != nil {
		c.rpcListener.Close()
	}
	if c.successorListener != nil {
		c.successorListener.Close()
	}
	if c.Gateway != nil {
		c.Gateway.Kill()
	}
	if c.Front != nil {
		c.Front.Kill()
	}
	c.mu.Lock()
	conns := c.conns
	c.conns = map[net.Conn]struct{}{}
	c.mu.Unlock()
	for nc := range conns {
		nc.(*trackedConn).Conn.Close()
	}
	if c.watcher != nil {
		c.watcher.Stop()
	}
	if c.hooks.Load() != nil {
		c.hooks.Load().Kill()
	}
	c.closeHooks()
	if c.Backend != nil {
		c.Backend.Close()
	}
	c.stopAgent()
	if c.peers != nil {
		c.peers.Close()
	}
	c.unlockStateDir()
}

// unlockStateDir unlocks the folder, if it is this controller's.
func (c *Controller) unlockStateDir() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unlock != nil {
		c.unlock()
		c.unlock = nil
	}
}
