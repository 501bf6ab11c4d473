package controller

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/overload"
	"kitehub/internal/registry/agent"
	"kitehub/internal/registry/client"
	"kitehub/internal/store"
	"kitehub/scheduler"
)

// start prepares the controller, waits until a predecessor has stopped serving, and serves. What can
// fail is a part of prepare: a predecessor that has granted service does not resume.
func (c *Controller) start() error {
	if err := c.prepare(); err != nil {
		return err
	}
	if p := c.options.Predecessor; p != nil {
		if err := p.awaitGrant(); err != nil {
			return err
		}
	}
	c.serve()
	return nil
}

// prepare runs the steps in order and returns the first error. The comments name what Kill calls to
// undo each step. Kill also works after a part of the steps: it skips fields that are not set.
func (c *Controller) prepare() error {
	steps := []func() error{
		c.lockStateDir,       // undone by unlockStateDir
		c.startBackend,       // Backend.Close
		c.listenPeers,        // Peers.Close
		c.newGateway,         // Gateway.Kill
		c.startRegistryAgent, // stopAgent
		c.newWebhook,         // Webhook.Kill
		c.listen,             // the listener's Close
		c.listenRPC,          // the listener's Close
		c.listenSuccessors,   // the listener's Close
		c.startHooks,         // closeHooks
		c.runGateway,         // Gateway.Kill and Watcher.Stop
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// serve serves calls, operators and successors. Kill undoes it by Server.Abort, Server.Close of RPC
// and the listeners' Close.
func (c *Controller) serve() {
	c.serveRPC()
	c.serveCalls()
	c.followPredecessor()
	c.acceptSuccessors()
}

// stateDir returns the folder of the replay watermark, the stored scripts and the lock.
func (c *Controller) stateDir() string { return filepath.Dir(c.config.WatermarkFile) }

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
	c.gate = overload.NewGate(c.options.Clock, float64(runtime.GOMAXPROCS(0)))
	bc := c.config.Backend
	bc.Clock = c.options.Clock
	bc.Dial = c.trackConns(dial)
	c.Backend = backend.New(bc)
	return nil
}

func (c *Controller) listenPeers() (err error) {
	cfg := c.config
	if !cfg.Settings.Limits.Peers || len(cfg.Peers) == 0 {
		return nil
	}
	c.peers, err = ListenPeers(cfg.Settings.ControllerIndex, cfg.Listen, cfg.Peers, true)
	return err
}

// newGateway creates the gateway and its functions. It does not start the gateway's loop.
func (c *Controller) newGateway() (err error) {
	cfg := c.config
	gc := gateway.Config{
		Name:           cfg.Name,
		Settings:       cfg.Settings,
		Seed:           cfg.Seed,
		Clock:          c.options.Clock,
		Transport:      c.Backend,
		Log:            c.log,
		OmitRequestLog: cfg.OmitRequestLog,
	}
	if c.peers != nil {
		gc.Peers = c.peers
	}
	if cfg.Hooks != nil || cfg.RPC != nil {
		gc.Hooks = &c.events
		gc.MaxExplanations = cfg.MaxExplanations
	}
	c.models = &modelVersions{clock: c.options.Clock, events: &c.events}
	if cfg.RegistryAddr != "" {
		gc.Versions = c.models
		if wrap := c.options.Versions; wrap != nil {
			gc.Versions = wrap(c.models)
		}
	}
	if c.Gateway, err = gateway.New(gc); err != nil {
		return err
	}
	c.functions, err = gateway.NewFunctions(c.Gateway, cfg.Functions)
	return err
}

// startRegistryAgent starts the agent that holds this controller's lease on aliases. After a
// handover the agent starts only once the predecessor is done: the registry knows one lease holder
// per name, so what this agent confirms would count for both processes.
func (c *Controller) startRegistryAgent() error {
	if c.config.RegistryAddr == "" {
		return nil
	}
	c.models.gateway = c.Gateway
	c.models.functions = c.functions
	if c.options.Predecessor != nil {
		c.onPredecessorDone = c.startAgent
		return nil
	}
	c.startAgent()
	return nil
}

func (c *Controller) startAgent() {
	cfg := c.config
	a := agent.Start(agent.Config{
		Client: &client.Client{
			Server: cfg.RegistryAddr,
			Name:   cfg.Name,
			Key:    cfg.RegistryKey,
			Wall:   c.options.Clock.Wall,
			Dial:   c.trackConns((&net.Dialer{}).DialContext),
		},
		Node:             cfg.Name,
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
	if stopped { // stopAgent may have run before c.agent was set
		a.Stop()
	}
}

// newWebhook creates the webhook ingress, with the predecessor's replay guard state if there is
// one.
func (c *Controller) newWebhook() (err error) {
	cfg := c.config
	fc := cfg.Webhook
	fc.Gateway = c.Gateway
	fc.Clock = c.options.Clock
	fc.Log = c.log
	fc.Watermark = webhook.WatermarkFile(cfg.WatermarkFile)
	fc.Functions = c.functions.Find
	fc.Deadline = func(class int) time.Duration { return cfg.Settings.Classes[class].Deadline }
	fc.Idempotency = func(class int) scheduler.Idempotency { return cfg.Settings.Classes[class].Idempotency }
	fc.HarmlessRetry = func(class int) bool { return cfg.Settings.Classes[class].HarmlessRetry() }
	if cfg.RegistryAddr != "" {
		fc.Models = c.models
		if wrap := c.options.Models; wrap != nil {
			fc.Models = wrap(c.models)
		}
	}
	if p := c.options.Predecessor; p != nil {
		fc.State = &p.state.Webhook
		c.Gateway.InheritBudget(p.state.Budget)
		c.inheritRPCKeys(p.state.RPCKeys)
	}
	if c.Webhook, err = webhook.New(fc, cfg.Clients); err != nil {
		return err
	}
	c.webhookConfig = fc
	return nil
}

// runGateway starts the gateway's loop and its inputs: discovery and peer messages.
func (c *Controller) runGateway() error {
	go c.Gateway.Run()
	dc := c.config.Discovery
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

// serveCalls accepts connections of clients.
func (c *Controller) serveCalls() {
	handler := http1.Handler(c.Webhook)
	if wrap := c.options.Handler; wrap != nil {
		handler = wrap(handler)
	}
	c.HTTP = &http1.Server{
		Handler: handler, Limits: c.config.HTTP, MaxConnections: c.config.MaxConnections,
		Gate: c.gate, Budget: newClientBudget(c.config.MaxConnections),
	}
	go func() {
		defer close(c.acceptDone)
		if err := c.HTTP.Serve(c.listener); err != nil {
			c.log.Error().Err(err).Msg("webhook listener failed")
		}
	}()
}

// clientMemoryDivisor gives the part of the memory for what the clients of one ingress make the process
// hold.
const clientMemoryDivisor = 8

// newClientBudget returns the budget of an ingress for a number of connections; 0: the default.
func newClientBudget(conns int) *overload.Budget {
	return overload.NewBudget(overload.ProcessMemory()/clientMemoryDivisor, cmp.Or(conns, defaultConnections))
}

// defaultConnections is how many connections share a budget if the configuration does not say.
const defaultConnections = 10_000

// followPredecessor starts to receive the predecessor's connections and answers, until the
// predecessor is done.
func (c *Controller) followPredecessor() {
	if p := c.options.Predecessor; p != nil {
		p.closeUnclaimed(true)
		c.predecessorDone = make(chan struct{})
		go p.follow(c)
	}
}
