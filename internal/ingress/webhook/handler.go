package webhook

import (
	"fmt"
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

// A Client is a sender of webhooks with its keys.
type Client struct {
	Name   string
	Tenant int
	// Keys verify messages; there are several during a key rotation. A response is signed with the
	// key that verified its request.
	Keys []*signing.Key
	// SigningKey signs responses if the verifying key cannot (v1a); if it is nil, they are
	// unsigned.
	SigningKey *signing.Key
}

// FunctionSource says where a message names the function to call.
type FunctionSource int

// Sources of the function's name.
const (
	FromPath FunctionSource = iota // the part of the path after Prefix
	FromBody                       // the string member FunctionField of the JSON body
)

// Config configures a Handler.
type Config struct {
	Prefix         string // of the path, including the final slash
	FunctionSource FunctionSource
	FunctionField  string
	Gateway        *gateway.Gateway
	Functions      func(name string) *gateway.Function // returns nil for an unknown name
	Deadline       func(class int) time.Duration       // maximum timeout of a call of the class
	Idempotency    func(class int) scheduler.Idempotency
	HarmlessRetry  func(class int) bool // a call of the class may run again
	Clock          clock.Clock
	Replay         replayguard.Settings
	Watermark      WatermarkStore // stores the replay guard's watermark
	Log            zerolog.Logger
	State          *State         // handed over by the previous process; nil: none
	MaxJoin        int            // maximum requests per call in flight, the first included; 0: 16
	Models         ingress.Models // nil: there are no models
}

const defaultMaxJoin = 16

// Counts counts requests by the reason why they were not submitted to the gateway, and events of
// calls of models.
type Counts struct {
	Unverified      atomic.Int64 // without a valid signature
	Replayed        atomic.Int64
	IDReused        atomic.Int64
	Stale           atomic.Int64 // with a timestamp too old or too far ahead
	Joined          atomic.Int64 // retries that joined a call in flight
	Cached          atomic.Int64 // retries answered with a cached answer
	PossibleReplay  atomic.Int64 // possibly accepted by a previous process
	UnknownFunction atomic.Int64 // that name no known function
	AtCapacity      atomic.Int64 // too many ids remembered, or requests waiting for the call
	Disconnected    atomic.Int64 // whose client had disconnected before they were submitted

	Restarted atomic.Int64 // calls restarted because their alias migrated
	Withheld  atomic.Int64 // answers not written because their version may no longer answer
}

// A Handler answers webhooks. It is safe for concurrent use. Each connection serves its requests on
// its own goroutine; another goroutine saves the watermark ahead of the clock.
type Handler struct {
	Counts Counts

	cfg      Config
	clients  atomic.Pointer[[]Client]
	binder   ingress.Binder
	stopping atomic.Bool
	stop     chan struct{} // closed by Close and Kill
	wg       sync.WaitGroup

	// watermarkMutex is held while the watermark is saved, so that Pause waits for that. It is
	// locked before mu.
	watermarkMutex sync.Mutex

	mu         sync.Mutex
	guard      *replayguard.Guard
	keyOwners  KeyOwners // of all keys since the first process that handed over
	inFlight   map[replayguard.Key]*inFlightCall
	pauseEnded chan struct{} // closed when the current pause ends; nil: not paused
	handedOver bool          // a successor process serves all further requests
	// onCallEnd is called when a call ends, to notify the successor; nil if there is none.
	onCallEnd func(replayguard.Key, replayguard.Answer)
}

// New returns a Handler whose watermark has been saved. It fails if the watermark cannot be loaded
// or saved, or if a key of the previous process now belongs to another client.
func New(cfg Config, clients []Client) (*Handler, error) {
	watermark, err := cfg.Watermark.Load()
	if err != nil {
		return nil, fmt.Errorf("replay watermark: %w", err)
	}
	if cfg.MaxJoin == 0 {
		cfg.MaxJoin = defaultMaxJoin
	}
	h := &Handler{
		cfg:      cfg,
		guard:    replayguard.NewGuard(cfg.Replay, cfg.Clock.Wall(), watermark),
		inFlight: map[replayguard.Key]*inFlightCall{},
		stop:     make(chan struct{}),
	}
	if s := cfg.State; s != nil {
		h.guard.Import(s.State)
		h.keyOwners = s.KeyOwners
	}
	h.binder = ingress.Binder{
		Models:      cfg.Models,
		Idempotency: cfg.Idempotency,
		Clock:       cfg.Clock,
		Restarts:    &h.Counts.Restarted,
	}
	if err := h.SetClients(clients); err != nil {
		return nil, err
	}
	if err := h.writeWatermark(); err != nil {
		return nil, fmt.Errorf("replay watermark: %w", err)
	}
	h.wg.Add(1)
	go h.writeWatermarks()
	return h, nil
}

// SetClients replaces the clients and their keys. Calls in flight are not affected. It changes
// nothing and returns an error if a key has moved from one client to another: see KeyOwners.
func (h *Handler) SetClients(clients []Client) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	owners, err := h.keyOwners.with(clients)
	if err != nil {
		return err
	}
	h.keyOwners = owners
	h.clients.Store(&clients)
	return nil
}

// BeginStop makes the Handler reject all further requests and close their connections.
func (h *Handler) BeginStop() { h.stopping.Store(true) }

// Close stops the Handler and saves the watermark of a clean stop, unless a successor has taken
// over. No request may be served afterwards.
func (h *Handler) Close() error {
	h.Kill()
	h.mu.Lock()
	watermark := h.guard.FinalWatermark()
	handedOver := h.handedOver
	h.mu.Unlock()
	if handedOver {
		return nil
	}
	return h.cfg.Watermark.Save(watermark)
}

// Kill stops the Handler without saving the watermark, as a crash of the process would.
func (h *Handler) Kill() {
	h.stopping.Store(true)
	close(h.stop)
	h.wg.Wait()
}

// Serve implements http1.Handler: it verifies a request, serves it and signs the response.
func (h *Handler) Serve(c *http1.Conn, r *http1.Request) *http1.Response {
	path := r.Path()
	if h.stopping.Load() {
		return stoppingResponse()
	}
	if !strings.HasPrefix(path, h.cfg.Prefix) {
		return problemResponse(404, "unknown", "no such path", nil)
	}
	if r.Method != "POST" {
		resp := problemResponse(405, "unknown", "calls are POSTed", nil)
		resp.Header.Add("Allow", "POST")
		return resp
	}
	sender, fault := h.verify(r)
	if fault != "" {
		h.Counts.Unverified.Add(1)
		resp := problemResponse(401, "forged", fault, nil)
		resp.Header.Add("WWW-Authenticate", `Signature realm="webhook"`)
		return resp
	}
	return h.sign(sender, h.serveVerified(c, r, sender))
}
