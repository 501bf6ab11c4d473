// Package fakeworker puts sockets around package workersim: workers that speak the Open Inference Protocol with its
// repository extension and ORCA reports, and that can be told to fail in every way that a real one might. One Host
// holds them all, eighty or more. What really happened goes to the trace, whatever the answers say.
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

// A FunctionConfig of function tells how calls of it run.
type FunctionConfig struct {
	workersim.Function
	Class string
	Work  time.Duration // mean, on a core of speed 1
	Keyed bool
	// Versions says that Name is a model: functions "name@version" are loaded, from bytes fetched and proved.
	Versions bool
}

// Config sets up a Host.
type Config struct {
	Fleet     workersim.Config
	Functions []FunctionConfig
	Clock     clock.Clock
	Trace     *trace.Log
	Limits    http1.Limits
	// Fetch gets the bytes of a digest for a worker, proved; nil: functions have no versions.
	Fetch func(worker, model, digest string) error
}

// A Fault is a way of answering wrongly. The call runs all the same.
type Fault int

// The faults of a worker's answers.
const (
	NoFault           Fault = iota
	TruncatedResponse       // reset in mid-answer
	Garbage                 // bytes that are no HTTP
	DuplicateResponse       // a second answer behind the first
	OverlongBody            // more body than the length tells
	ByteAtATime             // one byte a second
	HugeBody                // a body over every limit
)

// A Host runs stand-in workers. It is safe for concurrent use.
type Host struct {
	cfg     Config
	kinds   map[string]*FunctionConfig
	do      chan func(*workersim.Fleet)
	end     chan struct{}
	stopped sync.WaitGroup
	workers []*site

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan workersim.Event
	began   map[uint64]trace.Record
	fails   map[string]bool            // classes whose calls end in errors
	made    map[string]*FunctionConfig // versions of models
}

// A site is one worker's socket.
type site struct {
	h      *Host
	index  int
	name   string
	addr   string
	mu     sync.Mutex
	server *http1.Server
	ln     net.Listener
	silent chan struct{} // closed when silence ends; nil: it speaks
	fault  Fault
	// The digests of the versions that are loaded, by name; a worker that Lies runs them whatever it is asked for.
	loaded  map[string]string
	corrupt bool
}

// Start opens a loopback listener for each worker.
func Start(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, kinds: map[string]*FunctionConfig{}, do: make(chan func(*workersim.Fleet), 256), end: make(chan struct{}),
		waiting: map[uint64]chan workersim.Event{}, began: map[uint64]trace.Record{}, fails: map[string]bool{}, made: map[string]*FunctionConfig{}}
	for i := range cfg.Functions {
		h.kinds[cfg.Functions[i].Name] = &cfg.Functions[i]
	}
	for i, s := range cfg.Fleet.Workers {
		w := &site{h: h, index: i, name: s.Name, loaded: map[string]string{}}
		if err := w.listen("127.0.0.1:0"); err != nil {
			h.Close()
			return nil, err
		}
		h.workers = append(h.workers, w)
		cfg.Trace.Add(trace.Record{Kind: trace.WorkerUp, Worker: s.Name, Capacity: s.Cores * s.Speed})
	}
	h.stopped.Add(1)
	go h.run()
	return h, nil
}

// Close ends all workers.
func (h *Host) Close() {
	for _, w := range h.workers {
		w.shut()
	}
	if h.end != nil {
		close(h.end)
		h.stopped.Wait()
	}
}

// run owns the fleet.
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
		case <-h.end:
			return
		case <-timer.C:
			h.tell(f.Advance(h.cfg.Clock.Now()))
		case do := <-h.do:
			h.tell(f.Advance(h.cfg.Clock.Now()))
			do(f)
			h.tell(f.Advance(h.cfg.Clock.Now()))
		}
	}
}

// tell hands what happened to those who wait, and to the trace.
func (h *Host) tell(effects []workersim.Event) {
	for _, e := range effects {
		w := h.workers[e.Worker]
		switch e.Kind {
		case workersim.Collapsed:
			h.cfg.Trace.Add(trace.Record{At: e.At, Kind: trace.Collapsed, Worker: w.name})
			go w.shut()
			continue
		case workersim.RunStarted:
			h.mu.Lock()
			rec := h.began[e.ID]
			h.mu.Unlock()
			rec.Kind, rec.At = trace.RunStarted, e.At
			h.cfg.Trace.Add(rec)
			continue
		}
		h.mu.Lock()
		ch := h.waiting[e.ID]
		delete(h.waiting, e.ID)
		rec, call := h.began[e.ID]
		delete(h.began, e.ID)
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

// Do runs f on the fleet and waits for it.
func (h *Host) Do(f func(*workersim.Fleet)) {
	done := make(chan struct{})
	select {
	case h.do <- func(fl *workersim.Fleet) { f(fl); close(done) }:
		select {
		case <-done:
		case <-h.end:
		}
	case <-h.end:
	}
}

func (h *Host) site(name string) *site {
	for _, w := range h.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// Names returns the workers' names in the order of their specs.
func (h *Host) Names() (l []string) {
	for _, w := range h.workers {
		l = append(l, w.name)
	}
	return l
}

// Addr returns where a worker listens, or would.
func (h *Host) Addr(name string) string {
	w := h.site(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Kill ends a worker's process: its connections are reset and its address refuses.
func (h *Host) Kill(name string) {
	w := h.site(name)
	h.cfg.Trace.Add(trace.Record{Kind: trace.WorkerDown, Worker: name})
	w.shut()
	h.Do(func(f *workersim.Fleet) { f.Kill(w.index) })
}

// Restart brings a worker up again, cold and empty, at its old address unless that is taken: see Addr.
func (h *Host) Restart(name string) error {
	w := h.site(name)
	h.Kill(name)
	up := false
	h.Do(func(f *workersim.Fleet) { up = f.Start(w.index) })
	if !up {
		return fmt.Errorf("standin: %s fell over and stays down", name)
	}
	w.Speak()
	w.Fault(NoFault)
	w.mu.Lock()
	clear(w.loaded)
	w.corrupt = false
	w.mu.Unlock()
	s := h.cfg.Fleet.Workers[w.index]
	h.cfg.Trace.Add(trace.Record{Kind: trace.WorkerUp, Worker: name, Capacity: s.Cores * s.Speed, WarmingUp: true})
	if err := w.listen(w.addr); err != nil { // somebody took the port meanwhile
		return w.listen("127.0.0.1:0")
	}
	return nil
}

// Silence has a worker accept and read, and say nothing, until Speak or Restart.
func (h *Host) Silence(name string) { h.site(name).Silence() }

// SetFault has a worker answer wrongly until it is told otherwise.
func (h *Host) SetFault(name string, f Fault) { h.site(name).Fault(f) }

// FailClass has all calls of a class end in errors, or ends that.
func (h *Host) FailClass(class string, fails bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails[class] = fails
}

func (w *site) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent == nil {
		w.silent = make(chan struct{})
	}
}

func (w *site) Speak() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent != nil {
		close(w.silent)
		w.silent = nil
	}
}

func (w *site) Fault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *site) state() (silent chan struct{}, f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent, w.fault
}

func (w *site) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	limits := w.h.cfg.Limits
	limits.IdleTimeout = max(limits.IdleTimeout, time.Minute) // above the gateways' keep-alive, as it should be
	w.mu.Lock()
	w.ln, w.addr = ln, ln.Addr().String()
	w.server = &http1.Server{Handler: http1.HandlerFunc(w.serve), Limits: limits}
	server := w.server
	w.mu.Unlock()
	go server.Serve(ln)
	return nil
}

func (w *site) shut() {
	w.mu.Lock()
	ln, server := w.ln, w.server
	w.ln, w.server = nil, nil
	w.mu.Unlock()
	if ln != nil {
		ln.Close()
		server.Abort()
	}
}
