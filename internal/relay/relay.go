// Package relay is a controller for a platform that configures it by environment variables and a
// JSON file. It joins the MessagePack-RPC ingress, the gateway, the framed backend and the
// directory over DNS, within the limits that the platform sets for the machine. It exists beside
// package controller because the platform fixes the protocols and the way in which a process starts
// and stops. It makes no decision about calls.
//
// # Goroutines
//
// Run handles the signals on the goroutine of its caller. Start adds one goroutine each for the
// gateway's loop, the ingress, the periodic log lines and, if there are other controllers, their
// messages. The components start further goroutines of their own.
package relay

import (
	"net"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/backend/frame"
	"kitehub/internal/clock"
	"kitehub/internal/controller"
	"kitehub/internal/discovery/dns"
	"kitehub/internal/gateway"
	"kitehub/internal/ingress/msgpackrpc"
	"kitehub/internal/overload"
	"kitehub/scheduler"
)

// Limits of the platform's protocol, from its PROTOCOL page.
const (
	maxBodyBytes     = 16 << 10 // of the body of a call
	maxOpenPerConn   = 32       // open requests on one connection
	directoryService = "_app._tcp.cluster.lan"
)

// Options holds what the configuration does not contain. Clock and Log are required.
type Options struct {
	Clock  clock.Clock
	Log    zerolog.Logger
	Dial   backend.DialFunc // opens connections to workers; nil means net.Dialer.DialContext
	Listen ListenFunc       // opens the listener for clients; nil means net.Listen
}

// A ListenFunc opens a listener, as net.Listen does.
type ListenFunc func(network, addr string) (net.Listener, error)

// A Relay is a running controller, until Stop. Start sets its exported fields, which must not be
// changed.
type Relay struct {
	Gateway *gateway.Gateway
	Ingress *msgpackrpc.Server
	Backend *frame.Backend
	Watcher *dns.Watcher

	cfg      *Config
	options  Options
	budget   budget
	listener net.Listener
	peers    *controller.Peers // nil if there are no other controllers
	undo     []func()          // undo functions of the start steps that have run, in their order
	done     chan struct{}     // closed to end reportLoop
}

// Start starts a controller. When it returns, the listener is open and the endpoint list is known.
// An invalid setting is a *ConfigError; nothing is left running then.
func Start(c *Config, o Options) (*Relay, error) {
	r := &Relay{cfg: c, options: o, budget: divideLimits(c.Limits), done: make(chan struct{})}
	steps := []func() error{
		r.startBackend,
		r.listenPeers,
		r.newGateway,
		r.listen,
		r.watchDirectory,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			r.undoStart()
			return nil, err
		}
	}
	r.serve()
	return r, nil
}

// undoStart undoes the start steps that have run, in reverse order.
func (r *Relay) undoStart() {
	for i := len(r.undo) - 1; i >= 0; i-- {
		r.undo[i]()
	}
}

func (r *Relay) startBackend() error {
	s := r.cfg.Settings
	r.Backend = frame.New(frame.Config{
		Clock:               r.options.Clock,
		Dial:                r.options.Dial,
		DialTimeout:         s.Limits.DialTimeout,
		WorkerIdleTimeout:   s.Limits.IdleConnectionTimeout,
		MaxExchangesPerConn: s.Limits.StreamsPerConnection,
		MaxConns:            r.budget.workerConns,
		MaxBody:             r.budget.answerBytes,
		PingAfter:           s.Limits.DialTimeout,
		MaxResponseDelay:    time.Duration(lateAnswerDeadlines * float64(longestDeadline(s))),
		OrderTimeout:        s.Loading.OrderTimeout,
		ReportFields:        s.LoadReportFields,
		Log:                 r.options.Log,
	})
	r.undo = append(r.undo, func() { r.Backend.Close() })
	return nil
}

func (r *Relay) listenPeers() error {
	s := r.cfg.Settings
	if !s.Limits.Peers || len(r.cfg.Peers) == 0 {
		return nil
	}
	peers, err := controller.ListenPeers(s.ControllerIndex, r.cfg.PeerListen, r.cfg.Peers, false)
	if err != nil {
		return &ConfigError{"peer_listen", err}
	}
	r.peers = peers
	r.undo = append(r.undo, peers.Close)
	return nil
}

// newGateway creates the gateway, with the endpoint list from the configuration, and the ingress.
// Neither runs yet.
func (r *Relay) newGateway() (err error) {
	c := r.cfg
	settings := c.Settings
	settings.Limits.MaxFunctions = r.budget.functions
	gatewayConfig := gateway.Config{
		Name:           c.Name,
		Settings:       settings,
		Seed:           c.Seed,
		Clock:          r.options.Clock,
		Transport:      r.Backend,
		FunctionName:   msgpackrpc.FunctionName,
		Log:            r.options.Log,
		OmitRequestLog: true,
	}
	if r.peers != nil {
		gatewayConfig.Peers = r.peers
	}
	r.undo = append(r.undo, func() { close(r.done) })
	if r.Gateway, err = gateway.New(gatewayConfig); err != nil {
		return &ConfigError{"settings", err}
	}
	if err = r.Gateway.UpdateWorkers(scheduler.CachedList, c.Serial, c.KnownWorkers); err != nil {
		return &ConfigError{"known", err}
	}
	r.Ingress = msgpackrpc.New(msgpackrpc.Config{
		Gateway:        r.Gateway,
		Clock:          r.options.Clock,
		Settings:       c.Settings,
		Log:            r.options.Log,
		Gate:           overload.NewGate(r.options.Clock, c.Limits.Cores),
		Lag:            overload.NewLagMonitor(r.done),
		Budget:         overload.NewBudget(r.budget.clientBytes, r.budget.clientConns),
		MaxBody:        maxBodyBytes,
		MaxInFlight:    maxOpenPerConn,
		MaxConns:       r.budget.clientConns,
		AcceptInterval: r.budget.acceptInterval,
		MessageTimeout: dialTimeouts(c.Settings, firstMessageDials),
		StallTimeout:   dialTimeouts(c.Settings, stalledReaderDials),
	})
	return nil
}

func (r *Relay) listen() error {
	listen := r.options.Listen
	if listen == nil {
		listen = net.Listen
	}
	ln, err := listen("tcp", r.cfg.Listen)
	if err != nil {
		return &ConfigError{EnvListen, err}
	}
	limitBacklog(ln, r.budget.backlog)
	r.listener = ln
	r.undo = append(r.undo, func() { ln.Close() })
	return nil
}

// limitBacklog bounds the queue of connections that a listener has not accepted. Behind a flood of them, a
// longer queue would only make the last ones wait longer. Of a crowd that fills a shorter one, some would
// count as open for their clients while the kernel drops what they send. Without it, as with a listener
// that is no socket, the system's bound applies.
func limitBacklog(ln net.Listener, most int) {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), most) })
	}
}

// watchDirectory starts to keep the endpoint list up to date. It must be the last step that can
// fail, as it adds no undo function.
func (r *Relay) watchDirectory() error {
	watcher, err := dns.Start(dns.Config{
		Service:      directoryService,
		Server:       r.cfg.DirectoryAddr,
		Serial:       r.cfg.Serial,
		Sink:         r.Gateway,
		Log:          r.options.Log,
		PollInterval: time.Duration(pollFraction * float64(r.cfg.Settings.Guarantees.DrainGrace)),
	})
	if err != nil {
		return &ConfigError{"names", err}
	}
	r.Watcher = watcher
	return nil
}

// serve starts the parts whose start cannot fail.
func (r *Relay) serve() {
	go r.Gateway.Run()
	if r.peers != nil {
		go r.peers.Receive(r.Gateway)
	}
	go func() {
		if err := r.Ingress.Serve(r.listener); err != nil {
			r.options.Log.Error().Err(err).Msg("listener failed")
		}
	}()
	go r.reportLoop()
}

// Addr returns the address on which clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Reload applies the part of a new configuration that may change while the relay runs: the address
// of the directory. It may be called while Stop runs.
func (r *Relay) Reload(next *Config) {
	if err := r.Watcher.SetServer(next.DirectoryAddr); err != nil {
		r.options.Log.Error().Err(err).Msg(configRejected)
		return
	}
	r.options.Log.Info().Str("names", next.DirectoryAddr).Msg("configuration reloaded")
}

// Stop shuts down gracefully. It continues to admit requests for the lame duck period, during which
// the platform may still send some. Then it admits no more, and answers the open requests within
// the given time. The last part of that time is left for answers to reach their clients. Stop must
// be called at most once.
func (r *Relay) Stop(lameDuckPeriod, within time.Duration) {
	r.Ingress.Drain()
	time.Sleep(lameDuckPeriod)
	delivery := time.Duration(deliveryFraction * float64(within))
	r.Gateway.Stop(within - delivery)
	r.Ingress.Finish(delivery)
	r.listener.Close()
	r.Ingress.Close()
	r.Watcher.Stop()
	r.Backend.Close()
	if r.peers != nil {
		r.peers.Close()
	}
	close(r.done)
}
