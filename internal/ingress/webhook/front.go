package webhook

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/replayguard"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// A Client is one that may call.
type Client struct {
	Name       string
	Tenant     int
	Keys       []*signing.Key // any verifies; several while one is replaced. Answers are signed with the one that verified
	SigningKey *signing.Key   // signs answers if the key that verified cannot (v1a); nil: they are not signed then
}

// FunctionSource says where a call names its function.
type FunctionSource int

// Sources of the function's name.
const (
	FromPath FunctionSource = iota // the rest of the path after Prefix
	FromBody                       // a string field of the JSON body
)

// Config sets up a Front.
type Config struct {
	Prefix         string // of the path, with its last slash
	FunctionSource FunctionSource
	FunctionField  string // for FromBody
	Gateway        *gateway.Gateway
	Functions      func(name string) *gateway.Function // nil: no such function
	Deadline       func(class int) time.Duration       // longest time that a client of the class waits
	Idempotency    func(class int) scheduler.Idempotency
	Clock          clock.Clock
	Replay         replayguard.Settings
	Watermark      WatermarkStore // keeps the replay guard's watermark
	Log            zerolog.Logger
	State          *State         // of the previous process; nil: there is none
	MaxJoin        int            // requests that wait for the same call; 0: 16
	Models         ingress.Models // nil: no function has versions
}

const defaultMaxJoin = 16

// Counts of requests, by what became of them before the gateway, and of bound calls.
type Counts struct {
	Unverified      atomic.Int64 // not verified
	Replayed        atomic.Int64
	Reused          atomic.Int64
	Stale           atomic.Int64 // with a timestamp too old or too far ahead
	Joined          atomic.Int64 // retries that waited for a call in flight
	Cached          atomic.Int64 // retries answered with a cached answer
	Unsettled       atomic.Int64 // rejected because they may have been accepted before a restart
	UnknownFunction atomic.Int64 // of an unknown function
	AtCapacity      atomic.Int64 // rejected because too many ids are remembered, or too many requests wait for the call

	Restarted atomic.Int64 // calls that began anew because their alias had moved
	Withheld  atomic.Int64 // answers not written because their version no longer may answer
}

// A Handler answers webhooks. It is safe for concurrent use: each connection serves its requests on a goroutine of its
// own, and one goroutine writes the watermark ahead.
type Handler struct {
	Counts Counts

	cfg     Config
	clients atomic.Pointer[[]Client]
	binder  ingress.Binder
	closing atomic.Bool
	stop    chan struct{} // closed by Close and Kill
	stopped sync.WaitGroup

	mu       sync.Mutex
	guard    *replayguard.Guard
	inFlight map[replayguard.Key]*inFlightCall
	resumed  chan struct{} // closed when the present pause ends; nil: there is none
	passed   bool          // a successor serves all further requests
	// onEnd is notified of calls that end, for a successor; nil if there is none.
	onEnd func(replayguard.Key, replayguard.Answer)
}

// New returns a front. Its watermark is on disk then; it is an error if that cannot be written or read.
func New(cfg Config, clients []Client) (*Handler, error) {
	watermark, err := cfg.Watermark.Load()
	if err != nil {
		return nil, err
	}
	if cfg.MaxJoin == 0 {
		cfg.MaxJoin = defaultMaxJoin
	}
	f := &Handler{
		cfg:      cfg,
		guard:    replayguard.NewGuard(cfg.Replay, cfg.Clock.Wall(), watermark),
		inFlight: map[replayguard.Key]*inFlightCall{},
		stop:     make(chan struct{}),
	}
	if s := cfg.State; s != nil {
		f.guard.Import(s.Known, s.Barrier, s.Durable, s.Highest)
	}
	f.binder = ingress.Binder{
		Models:      cfg.Models,
		Idempotency: cfg.Idempotency,
		Clock:       cfg.Clock,
		Restarts:    &f.Counts.Restarted,
	}
	f.clients.Store(&clients)
	if err := f.writeWatermark(); err != nil {
		return nil, err
	}
	f.stopped.Add(1)
	go f.writeWatermarks()
	return f, nil
}

// SetClients replaces the clients and their keys. Calls in flight go on. Clients are remembered by their place in the
// list, so it may only grow at its end or have its entries changed in place.
func (f *Handler) SetClients(clients []Client) { f.clients.Store(&clients) }

// BeginStop rejects all further requests and closes their connections.
func (f *Handler) BeginStop() { f.closing.Store(true) }

// Close writes the watermark of a clean stop, unless a successor has taken over. No call may be served afterwards.
func (f *Handler) Close() error {
	f.Kill()
	f.mu.Lock()
	watermark := f.guard.FinalWatermark()
	passed := f.passed
	f.mu.Unlock()
	if passed {
		return nil
	}
	return f.cfg.Watermark.Save(watermark)
}

// Kill stops the front without writing anything, as the end of the process would.
func (f *Handler) Kill() {
	f.closing.Store(true)
	close(f.stop)
	f.stopped.Wait()
}

// Serve implements http1.Handler.
func (f *Handler) Serve(c *http1.Conn, r *http1.Request) *http1.Response {
	path := r.Path()
	if f.closing.Load() {
		resp := problem(503, "refused", "stopping: another controller takes calls", nil)
		resp.Close = true
		resp.Header.Add("Retry-After", "1")
		return resp
	}
	if !strings.HasPrefix(path, f.cfg.Prefix) {
		return problem(404, "unknown", "no such path", nil)
	}
	if r.Method != "POST" {
		resp := problem(405, "unknown", "calls are POSTed", nil)
		resp.Header.Add("Allow", "POST")
		return resp
	}
	sender, fault := f.verify(r)
	if fault != "" {
		f.Counts.Unverified.Add(1)
		resp := problem(401, "forged", fault, nil)
		resp.Header.Add("WWW-Authenticate", `Signature realm="webhook"`)
		return resp
	}
	return f.signed(sender, f.serveVerified(c, r, sender))
}
