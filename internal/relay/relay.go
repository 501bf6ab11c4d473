// Package relay is a controller for a platform that configures by environment and JSON: the MessagePack-RPC ingress,
// the gateway, the framed back end and the directory over DNS, within the limits that the platform sets to the machine.
// It exists beside package controller because that platform fixes the protocols and the way a process starts and ends;
// it makes no decision about calls.
//
// # Goroutines
//
// Run, on the goroutine of the command, reads the signals. Start adds one goroutine each for the gateway's loop, the
// ingress, the reports and, if there are other controllers, their messages; the parts have their own besides.
package relay

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend/frame"
	"kitehub/internal/clock"
	"kitehub/internal/controller"
	"kitehub/internal/discovery/dns"
	"kitehub/internal/gateway"
	"kitehub/internal/ingress/msgpackrpc"
	"kitehub/scheduler"
)

// Bounds of the platform's protocol: its PROTOCOL page.
const (
	maxBodyBytes     = 16 << 10 // of a client's body
	maxOpenPerConn   = 32       // requests open on one connection
	directoryService = "_app._tcp.cluster.lan"
)

// Options are what a configuration does not say. Both fields are required.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
}

// A Relay is a running controller, until Stop. Its fields are set by Start and must not be changed.
type Relay struct {
	Gateway *gateway.Gateway
	Ingress *msgpackrpc.Front
	Backend *frame.Backend
	Watcher *dns.Watcher

	cfg      *Config
	options  Options
	budget   budget
	listener net.Listener
	peers    *controller.Peers // nil: there are no other controllers
	undo     []func()          // of the start, in the order of its steps
	done     chan struct{}     // closed to end the reports
}

// Start runs a controller. Its listener is open and its endpoint list known when it returns. A setting that cannot be
// worked with is a *ConfigError; nothing is left running then.
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

// undoStart undoes the steps that have run, the last one first.
func (r *Relay) undoStart() {
	for i := len(r.undo) - 1; i >= 0; i-- {
		r.undo[i]()
	}
}

func (r *Relay) startBackend() error {
	s := r.cfg.Settings
	r.Backend = frame.New(frame.Config{
		Clock:               r.options.Clock,
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

// newGateway makes the gateway with the endpoint list that the configuration holds, and the ingress. Neither runs yet.
func (r *Relay) newGateway() (err error) {
	c := r.cfg
	gc := gateway.Config{
		Name:           c.Name,
		Settings:       c.Settings,
		Seed:           c.Seed,
		Clock:          r.options.Clock,
		Transport:      r.Backend,
		FunctionName:   msgpackrpc.Item,
		Log:            r.options.Log,
		OmitRequestLog: true,
	}
	if r.peers != nil {
		gc.Peers = r.peers
	}
	if r.Gateway, err = gateway.New(gc); err != nil {
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
		MaxBody:        maxBodyBytes,
		MaxInFlight:    maxOpenPerConn,
		Conns:          r.budget.clientConns,
		MessageTimeout: dialTimeouts(c.Settings, firstMessageDials),
		StallTimeout:   dialTimeouts(c.Settings, stalledReaderDials),
	})
	return nil
}

func (r *Relay) listen() error {
	ln, err := net.Listen("tcp", r.cfg.Listen)
	if err != nil {
		return &ConfigError{EnvListen, err}
	}
	r.listener = ln
	r.undo = append(r.undo, func() { ln.Close() })
	return nil
}

// watchDirectory keeps the endpoint list up to date. It is the last step that may fail: nothing undoes it.
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

// serve starts what cannot fail.
func (r *Relay) serve() {
	go r.Gateway.Run()
	if r.peers != nil {
		go r.peers.Receive(r.Gateway)
	}
	go func() {
		if err := r.Ingress.Serve(r.listener); err != nil {
			r.options.Log.Error().Err(err).Msg("listener")
		}
	}()
	go r.reportLoop()
}

// Addr returns where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Reload takes from a configuration that was reloaded what may change in service: where the directory is. It is safe
// while Stop runs.
func (r *Relay) Reload(c *Config) {
	if err := r.Watcher.SetServer(c.DirectoryAddr); err != nil {
		r.options.Log.Error().Err(err).Msg(configRejected)
		return
	}
	r.options.Log.Info().Str("names", c.DirectoryAddr).Msg("configuration read anew")
}

// Stop shuts down gracefully. It goes on admitting requests for lameDuck, as long as the platform may still send any,
// then admits no more and answers what is open within the time. The last part of that time is for answers to reach
// their clients. It must be called once.
func (r *Relay) Stop(lameDuck, within time.Duration) {
	r.Ingress.Drain()
	time.Sleep(lameDuck)
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
