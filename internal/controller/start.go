package controller

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/store"
	"kitehub/scheduler"
)

// start runs the steps in their order and ends with the first error. Kill undoes whatever has been started: it skips
// what a step that did not run would have set.
func (c *Controller) start() error {
	steps := []func() error{
		c.lockStateDir,      // undone by unlockStateDir
		c.startBackend,      // Backend.Close
		c.listenPeers,       // Peers.Close
		c.newGateway,        // Gateway.Kill
		c.joinRegistry,      // stopAgent
		c.newFront,          // Front.Kill
		c.listen,            // the listener's Close
		c.startHooks,        // closeHooks
		c.runGateway,        // Gateway.Kill and Watcher.Stop
		c.awaitPredecessor,  // nothing to undo: TakeOver aborts the handover
		c.startRPC,          // Server.Cut and its listener's Close
		c.serveCalls,        // Server.Cut
		c.followPredecessor, // nothing to undo: it ends with the predecessor's link
		c.acceptSuccessors,  // the listener's Close
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// stateDir is where the replay watermark, the hooks and the lock are.
func (c *Controller) stateDir() string { return filepath.Dir(c.built.WatermarkFile) }

func (c *Controller) lockStateDir() error {
	if err := os.MkdirAll(c.stateDir(), 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	unlock, err := store.Lock(c.stateDir())
	if err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	c.setUnlock(unlock)
	return nil
}

func (c *Controller) startBackend() error {
	dial := c.options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	bc := c.built.Backend
	bc.Clock = c.options.Clock
	bc.Dial = c.trackConns(dial)
	c.Backend = backend.New(bc)
	return nil
}

func (c *Controller) listenPeers() (err error) {
	b := c.built
	if !b.Settings.Limits.Peers || len(b.Peers) == 0 {
		return nil
	}
	c.peers, err = ListenPeers(b.Settings.ControllerIndex, b.Listen, b.Peers, true)
	return err
}

// newGateway makes the gateway and its functions. The loop does not run yet.
func (c *Controller) newGateway() (err error) {
	b := c.built
	gc := gateway.Config{
		Name:           b.Name,
		Settings:       b.Settings,
		Seed:           b.Seed,
		Clock:          c.options.Clock,
		Transport:      c.Backend,
		Log:            c.log,
		OmitRequestLog: b.OmitRequestLog,
	}
	if c.peers != nil {
		gc.Peers = c.peers
	}
	if b.Hooks != nil || b.RPC != nil {
		gc.Hooks = &c.events
		gc.MaxExplanations = b.MaxExplanations
	}
	c.models = &modelVersions{clock: c.options.Clock, events: &c.events}
	if b.RegistryAddr != "" {
		gc.Versions = c.models
		if wrap := c.options.Versions; wrap != nil {
			gc.Versions = wrap(c.models)
		}
	}
	if c.Gateway, err = gateway.New(gc); err != nil {
		return err
	}
	c.functions, err = gateway.NewFunctions(c.Gateway, b.Functions)
	return err
}

// joinRegistry starts the agent that holds this controller's leases of aliases. With a predecessor it starts only when
// that is done: the registry knows one holder a name, and what this agent confirmed would count for both processes.
func (c *Controller) joinRegistry() error {
	if c.built.RegistryAddr == "" {
		return nil
	}
	c.models.gateway = c.Gateway
	c.models.functions = c.functions
	if c.options.Predecessor != nil {
		c.afterPredecessor = c.startAgent
		return nil
	}
	c.startAgent()
	return nil
}

func (c *Controller) startAgent() {
	b := c.built
	a := agent.Start(agent.Config{
		Client: &client.Client{
			Server: b.RegistryAddr,
			Name:   b.Name,
			Key:    b.RegistryKey,
			Wall:   c.options.Clock.Wall,
			Dial:   c.trackConns((&net.Dialer{}).DialContext),
		},
		Node:             b.Name,
		Clock:            c.options.Clock,
		Log:              c.log,
		OnAliasesChanged: c.Gateway.RecheckVersions,
		OnStage:          c.models.stageCopies,
		OnStart:          func(a *agent.Agent) { c.models.agent.Store(a) },
	})
	c.mu.Lock()
	c.agent = a
	stopped := c.killed.Load() || c.stopping.Load()
	c.mu.Unlock()
	if stopped { // stopAgent may have come before
		a.Stop()
	}
}

// newFront makes the webhook ingress, with the replay guard's state of the predecessor if there is one.
func (c *Controller) newFront() (err error) {
	b := c.built
	fc := b.Webhook
	fc.Gateway = c.Gateway
	fc.Clock = c.options.Clock
	fc.Log = c.log
	fc.Watermark = webhook.WatermarkFile(b.WatermarkFile)
	fc.Functions = c.functions.Find
	fc.Deadline = func(class int) time.Duration { return b.Settings.Classes[class].Deadline }
	fc.Idempotency = func(class int) scheduler.Idempotency { return b.Settings.Classes[class].Idempotency }
	if b.RegistryAddr != "" {
		fc.Models = c.models
		if wrap := c.options.Models; wrap != nil {
			fc.Models = wrap(c.models)
		}
	}
	if p := c.options.Predecessor; p != nil {
		fc.State = &p.state.Front
		c.Gateway.InheritBudget(p.state.Budget)
	}
	if c.Webhook, err = webhook.New(fc, b.Clients); err != nil {
		return fmt.Errorf("replay mark: %w", err)
	}
	c.frontConfig = fc
	return nil
}

// listen opens the listener for calls, or takes that of the predecessor.
func (c *Controller) listen() (err error) {
	if p := c.options.Predecessor; p != nil {
		c.listener, err = p.listener(frontListener)
		return err
	}
	if c.built.Network == "unix" {
		if err := removeStaleSocket(c.built.Listen); err != nil {
			return err
		}
	}
	if c.listener, err = net.Listen(c.built.Network, c.built.Listen); err != nil {
		return fmt.Errorf("webhook.listen: %w", err)
	}
	return nil
}

// removeStaleSocket removes the socket that a killed process left behind, which must not prevent this start. One that
// is in use is an error.
func removeStaleSocket(name string) error {
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

// runGateway starts the gateway's loop and what feeds it: discovery and the other controllers.
func (c *Controller) runGateway() error {
	go c.Gateway.Run()
	dc := c.built.Discovery
	dc.Sink = c.Gateway
	dc.Log = c.log
	dc.Dial = c.trackConns((&net.Dialer{}).DialContext)
	if wrap := c.options.Sink; wrap != nil {
		dc.Sink = wrap(c.Gateway)
	}
	c.watcher = discovery.Start(dc)
	if c.peers != nil {
		go c.peers.Receive(c.Gateway)
	}
	return nil
}

// awaitPredecessor returns when the predecessor has ceased to serve.
func (c *Controller) awaitPredecessor() error {
	if p := c.options.Predecessor; p != nil {
		return p.awaitGrant()
	}
	return nil
}

func (c *Controller) serveCalls() error {
	handler := http1.Handler(c.Webhook)
	if wrap := c.options.Handler; wrap != nil {
		handler = wrap(handler)
	}
	c.HTTP = &http1.Server{Handler: handler, Limits: c.built.HTTP, MaxConnections: c.built.MaxConnections}
	go func() {
		defer close(c.acceptDone)
		if err := c.HTTP.Serve(c.listener); err != nil {
			c.log.Error().Err(err).Msg("webhook listener failed")
		}
	}()
	return nil
}

// followPredecessor receives the predecessor's connections and answers until it is done.
func (c *Controller) followPredecessor() error {
	if p := c.options.Predecessor; p != nil {
		c.predecessorDone = make(chan struct{})
		go p.follow(c)
	}
	return nil
}
