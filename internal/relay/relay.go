package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
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
	maxBodyBytes     = 16 << 10 // bytes of a client's body
	maxOpenPerConn   = 32       // requests open on one connection
	directoryService = "_app._tcp.cluster.lan"
)

// Options are what a configuration does not say.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
}

// A Relay runs until Stop.
type Relay struct {
	Gateway  *gateway.Gateway
	Front    *msgpackrpc.Front
	Backend  *frame.Backend
	Watcher  *dns.Watcher
	cfg      *Config
	log      zerolog.Logger
	listener net.Listener
	peers    *controller.Peers
	done     chan struct{}
}

// Start runs a controller. Its listener is open and its list known when it returns.
func Start(c *Config, o Options) (r *Relay, err error) {
	s, b := c.Settings, divideLimits(c.Limits)
	r = &Relay{cfg: c, log: o.Log, done: make(chan struct{})}
	r.Backend = frame.New(frame.Config{Clock: o.Clock, Within: s.Limits.DialTimeout, Idle: s.Limits.IdleConnectionTimeout, Streams: s.Limits.StreamsPerConnection,
		Conns: b.workerConns, MostBody: b.answerBytes, Patience: s.Limits.DialTimeout, Forget: time.Duration(lateAnswerDeadlines * float64(longestDeadline(s))),
		Order: s.Loading.OrderTimeout, Report: s.Report, Log: o.Log})
	defer func() {
		if err != nil {
			r.Backend.Close()
			if r.peers != nil {
				r.peers.Close()
			}
		}
	}()
	gc := gateway.Config{Name: c.Name, Settings: s, Seed: c.Seed, Clock: o.Clock, Transport: r.Backend, NameOf: msgpackrpc.Item, Log: o.Log, OmitRequestLog: true}
	if s.Limits.Peers && len(c.Peers) > 0 {
		if r.peers, err = controller.ListenPeers(s.ControllerIndex, c.PeerListen, c.Peers, false); err != nil {
			return nil, &ConfigError{"peer_listen", err}
		}
		gc.Peers = r.peers
	}
	if r.Gateway, err = gateway.New(gc); err != nil {
		return nil, &ConfigError{"settings", err}
	}
	if err = r.Gateway.Workers(scheduler.CachedList, c.Serial, c.KnownWorkers); err != nil {
		return nil, &ConfigError{"known", err}
	}
	r.Front = msgpackrpc.New(msgpackrpc.Config{Gateway: r.Gateway, Clock: o.Clock, Settings: s, Log: o.Log, MostBody: maxBodyBytes, MostOpen: maxOpenPerConn,
		Conns: b.clientConns, Within: dialTimeouts(s, firstMessageDials), Stall: dialTimeouts(s, stalledReaderDials)})
	if r.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, &ConfigError{EnvListen, err}
	}
	if r.Watcher, err = dns.Start(dns.Config{Service: directoryService, Server: c.DirectoryAddr, Serial: c.Serial, Sink: r.Gateway, Log: o.Log,
		Period: time.Duration(pollFraction * float64(s.Guarantees.DrainGrace))}); err != nil {
		r.listener.Close()
		return nil, &ConfigError{"names", err}
	}
	go r.Gateway.Run()
	if r.peers != nil {
		go r.peers.Receive(r.Gateway)
	}
	go func() {
		if err := r.Front.Serve(r.listener); err != nil {
			r.log.Error().Err(err).Msg("listener")
		}
	}()
	go r.reportLoop()
	return r, nil
}

// Addr returns where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Reload takes from a configuration read anew what may change in service: where the directory is.
func (r *Relay) Reload(c *Config) {
	if err := r.Watcher.SetServer(c.DirectoryAddr); err != nil {
		r.log.Error().Err(err).Msg("the new configuration is not taken, the old one stays")
		return
	}
	r.log.Info().Str("names", c.DirectoryAddr).Msg("configuration read anew")
}

// Stop goes on taking requests for lameDuck, as long as the platform may still send any, then takes no more and answers what is in
// hand within the time. What is left of that time's last part is for answers to reach their clients.
func (r *Relay) Stop(lameDuck, within time.Duration) {
	r.Front.Drain()
	time.Sleep(lameDuck)
	last := time.Duration(deliveryFraction * float64(within))
	r.Gateway.Stop(within - last)
	r.Front.Finish(last)
	r.listener.Close()
	r.Front.Close()
	r.Watcher.Stop()
	r.Backend.Close()
	if r.peers != nil {
		r.peers.Close()
	}
	close(r.done)
}

const reportInterval = 5 * time.Second

// reportLoop logs what was done, now and then.
func (r *Relay) reportLoop() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	before := map[scheduler.WorkerID]frame.Seen{}
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
		}
		if views, _, err := r.Gateway.View(); err == nil {
			seen := r.Backend.Seen()
			lines, differ := compareEstimates(seen, before, views)
			clear(before)
			for _, s := range seen {
				before[s.Worker] = s
			}
			r.log.Info().Int("differ", differ).Strs("workers", lines).Msg("beliefs")
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		g, f, b, w := &r.Gateway.Counts, &r.Front.Counts, &r.Backend.Counts, &r.Watcher.Counts
		r.log.Info().Int64("served", g.Served.Load()).Int64("refused", g.Rejected.Load()).Int64("failed", g.Failed.Load()).
			Int64("gone", g.ClientClosed.Load()).Int64("turned", g.OverCapacity.Load()).Int("open", r.Gateway.Open()).Int64("crashes", g.Crashes.Load()).
			Int64("steps", g.Steps.Load()).Int64("step_us", g.StepNanos.Load()/1000).Int64("late_us", g.MaxStepDelayNanos.Load()/1000).
			Int("clients", r.Front.Conns()).Int64("accepted", f.Accepted.Load()).Int64("evicted", f.Evicted.Load()).Int64("shut", f.Shut.Load()).
			Int64("requests", f.Requests.Load()).Int64("invalid", f.Invalid.Load()).Int64("over", f.Over.Load()).Int64("broken", f.Broken.Load()).
			Int64("withdrawn", f.Withdrawn.Load()).
			Int64("opened", b.Opened.Load()).Int64("dial_failed", b.DialFailed.Load()).Int64("lost_new", b.LostNew.Load()).Int64("lost_used", b.LostUsed.Load()).Int64("noise", b.Broken.Load()).Int64("strays", b.Strays.Load()).
			Int64("pings", b.Pings.Load()).Int64("dead", b.Dead.Load()).Int64("no_place", b.NoPlace.Load()).
			Int64("asked", w.Asked.Load()).Int64("lists", w.Changed.Load()).Int64("unfit", w.Unfit.Load()).Int64("silent", w.Silent.Load()).
			Uint64("heap_kb", m.HeapInuse>>10).Uint64("sys_kb", m.Sys>>10).Uint32("gc", m.NumGC).Int("goroutines", runtime.NumGoroutine()).Msg("so far")
	}
}

// applyLimits enforces the limits on this process.
func applyLimits(l Limits) {
	b := divideLimits(l)
	runtime.GOMAXPROCS(b.maxProcs)
	debug.SetMemoryLimit(b.heapBytes)
	var cur syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &cur) == nil && cur.Cur != uint64(l.Sockets) && uint64(l.Sockets) <= cur.Max {
		cur.Cur = uint64(l.Sockets)
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &cur) // the descriptors are budgeted anyway
	}
}

// Signals are what a controller is told by its platform. They come on two channels: one that is full of reloads must not cost
// the request to stop.
type Signals struct {
	Reload <-chan os.Signal // read the configuration again
	Stop   <-chan os.Signal
}

// Run is the whole life of a controller, until it is told to stop and has answered what it took. It reads the configuration anew
// when told so, also while it stops: drains must still be learned while requests are in hand.
func Run(env func(string) string, log zerolog.Logger, signals Signals) error {
	c, err := Load(env)
	if err != nil {
		return err
	}
	applyLimits(c.Limits)
	log = log.With().Str("controller", c.Name).Logger()
	r, err := Start(c, Options{Clock: clock.System(), Log: log})
	if err != nil {
		return err
	}
	log.Info().Str("listen", r.Addr()).Int("workers", len(c.KnownWorkers)).Float64("cores", c.Limits.Cores).Float64("memory_mb", c.Limits.MemoryMB).
		Int("sockets", c.Limits.Sockets).Msg("serving")
	var ended chan struct{} // nil until it is told to stop
	for {
		select {
		case <-ended:
			log.Info().Msg("stopped")
			return nil
		case <-signals.Reload:
			next, err := Load(env)
			if err != nil {
				log.Error().Err(err).Msg("the new configuration is not taken, the old one stays")
				continue
			}
			r.Reload(next)
		case sig := <-signals.Stop:
			switch {
			case ended == nil:
				log.Info().Str("signal", sig.String()).Msg("stopping")
				ended = make(chan struct{})
				go func() {
					r.Stop(lameDuck, answerTimeout(c.Settings))
					close(ended)
				}()
			case sig == os.Interrupt: // somebody at a terminal who will not wait
				return fmt.Errorf("relay: ended by a second %s with %d requests open", sig, r.Gateway.Open())
			default: // it is said twice: the requests in hand are worth no less for it
				log.Info().Str("signal", sig.String()).Int("open", r.Gateway.Open()).Msg("stopping already")
			}
		}
	}
}

// IsConfigError tells whether an error is one of configuration.
func IsConfigError(err error) bool {
	var p *ConfigError
	return errors.As(err, &p)
}
