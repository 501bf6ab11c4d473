// Package fakeworker runs fake workers for tests. It serves the fleet model of package workersim
// over sockets, with the Open Inference Protocol, its repository extension and ORCA load reports,
// and can inject the faults of real workers. One Host runs all workers of a test, eighty or more.
// The trace records what really happened, whatever the responses say.
package fakeworker

import (
	"fmt"
	"net"
	"sync"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/http1"
)

// A FunctionConfig describes a function and how its calls run.
type FunctionConfig struct {
	workersim.Function
	Class string
	Work  time.Duration // mean per call, on a core of speed 1
	Keyed bool
	// Versions makes Name the name of a model. Its functions are "name@version", loaded from bytes
	// that are fetched and verified.
	Versions bool
}

// Config has the settings of a Host.
type Config struct {
	Fleet     workersim.Config
	Functions []FunctionConfig
	Clock     clock.Clock
	Trace     *trace.Log
	Limits    http1.Limits
	// Fetch fetches the bytes of a digest for a worker and verifies them. It is nil if no function
	// has versions.
	Fetch func(worker, model, digest string) error
}

// A Fault is a way in which a worker corrupts its response to a call. The call still runs.
type Fault int

// The faults of a worker's responses.
const (
	NoFault           Fault = iota
	TruncatedResponse       // the connection is reset after half of the response
	Garbage                 // bytes that are not HTTP
	DuplicateResponse       // the response is sent twice
	OverlongBody            // the body is longer than its declared length
	ByteAtATime             // one byte per second
	HugeBody                // the declared length exceeds every limit
)

// A Host runs fake workers. It is safe for concurrent use.
type Host struct {
	cfg       Config
	functions map[string]*FunctionConfig
	commands  chan func(*workersim.Fleet) // run by the goroutine that owns the fleet
	closed    chan struct{}
	stopped   sync.WaitGroup
	workers   []*worker

	mu             sync.Mutex
	nextID         uint64
	pending        map[uint64]chan workersim.Event // by the id of a call or a load order
	calls          map[uint64]trace.Record         // record of each call that has not ended, by id
	failingClasses map[string]bool                 // classes whose calls end in an error
	versions       map[string]*FunctionConfig      // by name, "model@version"
}

// A worker is one fake worker's listener and its faults.
type worker struct {
	host   *Host
	index  int
	name   string
	addr   string
	mu     sync.Mutex
	server *http1.Server
	ln     net.Listener
	silent chan struct{} // closed when the worker responds again; nil if it does
	fault  Fault
	// digests has the digests of the loaded versions, by name. With servesStale, the worker runs
	// them whichever digest a call asks for.
	digests     map[string]string
	servesStale bool
}

// Start opens a loopback listener for each worker.
func Start(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, functions: map[string]*FunctionConfig{}, commands: make(chan func(*workersim.Fleet), 256), closed: make(chan struct{}),
		pending: map[uint64]chan workersim.Event{}, calls: map[uint64]trace.Record{}, failingClasses: map[string]bool{}, versions: map[string]*FunctionConfig{}}
	for i := range cfg.Functions {
		h.functions[cfg.Functions[i].Name] = &cfg.Functions[i]
	}
	for i, spec := range cfg.Fleet.Workers {
		w := &worker{host: h, index: i, name: spec.Name, digests: map[string]string{}}
		if err := w.listen("127.0.0.1:0"); err != nil {
			h.Close()
			return nil, err
		}
		h.workers = append(h.workers, w)
		cfg.Trace.Add(trace.Record{Kind: trace.WorkerUp, Worker: spec.Name, Capacity: spec.Cores * spec.Speed})
	}
	h.stopped.Add(1)
	go h.run()
	return h, nil
}

// Close stops all workers.
func (h *Host) Close() {
	for _, w := range h.workers {
		w.close()
	}
	if h.closed != nil {
		close(h.closed)
		h.stopped.Wait()
	}
}

// run owns the fleet: it advances the model and runs the commands.
func (h *Host) run() {
	defer h.stopped.Done()
	f := workersim.New(h.cfg.Fleet, h.cfg.Clock.Now())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if next, ok := f.Next(); ok {
			wait = max(0, next-h.cfg.Clock.Now())
		}
		timer.Reset(wait)
		select {
		case <-h.closed:
			return
		case <-timer.C:
			h.dispatch(f.Advance(h.cfg.Clock.Now()))
		case do := <-h.commands:
			h.dispatch(f.Advance(h.cfg.Clock.Now()))
			do(f)
			h.dispatch(f.Advance(h.cfg.Clock.Now()))
		}
	}
}

// dispatch records events in the trace and passes them to the handlers that wait for them.
func (h *Host) dispatch(events []workersim.Event) {
	for _, e := range events {
		w := h.workers[e.Worker]
		switch e.Kind {
		case workersim.Collapsed:
			h.cfg.Trace.Add(trace.Record{At: e.At, Kind: trace.Collapsed, Worker: w.name})
			go w.close()
			continue
		case workersim.RunStarted:
			h.mu.Lock()
			rec := h.calls[e.ID]
			h.mu.Unlock()
			rec.Kind, rec.At = trace.RunStarted, e.At
			h.cfg.Trace.Add(rec)
			continue
		}
		h.mu.Lock()
		ch := h.pending[e.ID]
		delete(h.pending, e.ID)
		rec, call := h.calls[e.ID]
		delete(h.calls, e.ID)
		h.mu.Unlock()
		if call {
			rec.Kind, rec.At, rec.Outcome = trace.RunEnded, e.At, string(e.Outcome)
			if e.Repeat {
				rec.Note = "repeat"
			}
			h.cfg.Trace.Add(rec)
		}
		if ch != nil {
			ch <- e
		}
	}
}

// Do runs f with the fleet and waits until it has returned.
func (h *Host) Do(f func(*workersim.Fleet)) {
	done := make(chan struct{})
	select {
	case h.commands <- func(fl *workersim.Fleet) { f(fl); close(done) }:
		select {
		case <-done:
		case <-h.closed:
		}
	case <-h.closed:
	}
}

func (h *Host) worker(name string) *worker {
	for _, w := range h.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// Names returns the workers' names in the order of their specs.
func (h *Host) Names() (names []string) {
	for _, w := range h.workers {
		names = append(names, w.name)
	}
	return names
}

// Addr returns the address on which a worker listens, or last listened if it is down.
func (h *Host) Addr(name string) string {
	w := h.worker(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Kill simulates the death of a worker's process: its connections are reset, and its address
// refuses new ones.
func (h *Host) Kill(name string) {
	w := h.worker(name)
	h.cfg.Trace.Add(trace.Record{Kind: trace.WorkerDown, Worker: name})
	w.close()
	h.Do(func(f *workersim.Fleet) { f.Kill(w.index) })
}

// Restart starts a worker again, warming up and without copies. It listens on its old address
// unless that is taken; see Addr. A worker that collapsed cannot be restarted.
func (h *Host) Restart(name string) error {
	w := h.worker(name)
	h.Kill(name)
	up := false
	h.Do(func(f *workersim.Fleet) { up = f.Start(w.index) })
	if !up {
		return fmt.Errorf("fakeworker: %s collapsed and cannot be restarted", name)
	}
	w.endSilence()
	w.setFault(NoFault)
	w.mu.Lock()
	clear(w.digests)
	w.servesStale = false
	w.mu.Unlock()
	spec := h.cfg.Fleet.Workers[w.index]
	h.cfg.Trace.Add(trace.Record{Kind: trace.WorkerUp, Worker: name, Capacity: spec.Cores * spec.Speed, WarmingUp: true})
	if err := w.listen(w.addr); err != nil { // another process has taken the port
		return w.listen("127.0.0.1:0")
	}
	return nil
}

// Silence makes a worker accept connections and read requests without responding, until Restart.
func (h *Host) Silence(name string) { h.worker(name).silence() }

// SetFault makes a worker corrupt its responses until SetFault or Restart.
func (h *Host) SetFault(name string, f Fault) { h.worker(name).setFault(f) }

// FailClass sets whether all calls of a class end in an error.
func (h *Host) FailClass(class string, fails bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failingClasses[class] = fails
}

func (w *worker) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent == nil {
		w.silent = make(chan struct{})
	}
}

func (w *worker) endSilence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent != nil {
		close(w.silent)
		w.silent = nil
	}
}

func (w *worker) setFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *worker) state() (silent chan struct{}, f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent, w.fault
}

func (w *worker) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	limits := w.host.cfg.Limits
	limits.IdleTimeout = max(limits.IdleTimeout, time.Minute) // must exceed the gateways' keep-alive
	w.mu.Lock()
	w.ln, w.addr = ln, ln.Addr().String()
	w.server = &http1.Server{Handler: http1.HandlerFunc(w.serve), Limits: limits}
	server := w.server
	w.mu.Unlock()
	go server.Serve(ln)
	return nil
}

func (w *worker) close() {
	w.mu.Lock()
	ln, server := w.ln, w.server
	w.ln, w.server = nil, nil
	w.mu.Unlock()
	if ln != nil {
		ln.Close()
		server.Abort()
	}
}
