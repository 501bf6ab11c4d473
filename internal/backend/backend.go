// Package backend carries the module's sends, orders and probes to workers, over the Open Inference Protocol
// (KServe v2) with its model repository extension, on HTTP/1.1. It decides nothing: its one duty beyond carrying is
// to say of each attempt exactly what is known of it, since the module may repeat only what never ran.
//
//	connect refused, or not up within Dial       ConnectFailed   no byte went out
//	withdrawn or cancelled before the first byte Moot            no byte went out
//	the write failed with no byte taken          ConnectFailed   no byte went out
//	anything else that cut the connection        Reset           it may have run, on a reused connection too
//	no answer in time                            TimedOut        it may have run
//	an answer that says so, by its problem type  Full, Miss      the worker's word that nothing ran
//	any other answer but 200                     Error           it may have run
//	garbage, a body over the limit               Reset           it may have run
//
// A connection whose answer is not wholly read, or that holds bytes past it, is never used again.
package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// An Endpoint is where a worker listens.
type Endpoint struct {
	ID      scheduler.WorkerID
	Name    string
	Network string // tcp or unix
	Addr    string
	Ready   bool // neither draining nor gone
}

// A DialFunc opens a connection. Rigs put a network of their own here.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config sets up a Backend.
type Config struct {
	Controller       string // told to workers as the user agent
	Clock            clock.Clock
	Dial             DialFunc // nil: the machine's
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // of idle connections; must be under the workers' own
	MaxIdlePerWorker int           // idle connections to one worker
	Limits           http1.Limits  // of answers
	OrderTimeout     time.Duration // longest wait for the answer to an order
	ProbeTimeout     time.Duration // longest wait for the answer to a question
	Fields           []scheduler.ReportField
}

// A Backend holds the connections to all workers. It is safe for concurrent use.
type Backend struct {
	cfg    Config
	mu     sync.RWMutex
	peers  map[scheduler.WorkerID]*peer
	closed atomic.Bool
	// Opened counts connections opened, Reused those taken from the idle ones, Stale idle ones found closed.
	Opened, Reused, Stale atomic.Int64
}

// A peer is one worker as known now.
type peer struct {
	Endpoint
	withdrawn atomic.Bool // it drains or is gone: nothing new to it
	mu        sync.Mutex
	idle      []*conn // the one used last is last
	closed    bool
}

type conn struct {
	net.Conn
	br    *bufio.Reader
	since time.Duration // idle since
	used  bool
}

// New returns a backend with no workers.
func New(cfg Config) *Backend {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.MaxIdlePerWorker == 0 {
		cfg.MaxIdlePerWorker = 64
	}
	cfg.Limits = cfg.Limits.Filled()
	return &Backend{cfg: cfg, peers: map[scheduler.WorkerID]*peer{}}
}

// Update replaces the list of workers. What is not yet on the wire to one that is not Ready, or no longer
// listed, does not go there any more: it ends as Moot. Attempts under way to it go on.
func (b *Backend) Update(list []Endpoint) {
	b.mu.Lock()
	old := b.peers
	b.peers = make(map[scheduler.WorkerID]*peer, len(list))
	for _, e := range list {
		p := old[e.ID]
		if p == nil || p.Network != e.Network || p.Addr != e.Addr || p.Name != e.Name {
			p = &peer{Endpoint: e}
		}
		p.withdrawn.Store(!e.Ready)
		b.peers[e.ID] = p
	}
	var gone []*peer
	for id, p := range old {
		if b.peers[id] != p {
			gone = append(gone, p)
		}
	}
	b.mu.Unlock()
	for _, p := range gone {
		p.withdrawn.Store(true)
		p.close()
	}
}

// Close ends all idle connections; those in use end when their attempts do.
func (b *Backend) Close() {
	b.closed.Store(true)
	b.Update(nil)
}

// CloseIdle frees the idle connections to a worker.
func (b *Backend) CloseIdle(id scheduler.WorkerID) {
	if p := b.peer(id); p != nil {
		p.mu.Lock()
		idle := p.idle
		p.idle = nil
		p.mu.Unlock()
		for _, c := range idle {
			c.Close()
		}
	}
}

func (b *Backend) peer(id scheduler.WorkerID) *peer {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.peers[id]
}

func (p *peer) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// take returns an idle connection that still stands, or nil. One that the worker has closed is found out here,
// before a byte is written: afterwards nothing would prove that the call did not run.
func (b *Backend) take(p *peer) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if b.cfg.Clock.Now()-c.since < b.cfg.IdleTimeout && quiet(c) {
			b.Reused.Add(1)
			return c
		}
		b.Stale.Add(1)
		c.Close()
	}
}

// quiet tells whether an idle connection is open with nothing to read.
func quiet(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func (b *Backend) give(p *peer, c *conn) {
	c.since, c.used = b.cfg.Clock.Now(), true
	p.mu.Lock()
	if p.closed || b.closed.Load() {
		p.mu.Unlock()
		c.Close()
		return
	}
	var old *conn
	p.idle = append(p.idle, c)
	if len(p.idle) > b.cfg.MaxIdlePerWorker || b.cfg.Clock.Now()-p.idle[0].since >= b.cfg.IdleTimeout {
		old = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// A call is one exchange with a worker under way. Cancel may come at any time from elsewhere.
type call struct {
	mu        sync.Mutex
	c         *conn
	cancel    context.CancelFunc // of the dial
	cancelled bool
	wanted    func() bool
}

// Cancel gives the exchange up: its connection is closed and its answer, if any, dropped.
func (x *call) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled {
		return
	}
	x.cancelled = true
	if x.cancel != nil {
		x.cancel()
	}
	if x.c != nil {
		x.c.Close()
	}
}

// hold notes the connection, so that Cancel finds it; false if it is cancelled already.
func (x *call) hold(c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.c = c
	return !x.cancelled
}

// commit marks the first byte as going out, unless the exchange was cancelled, its worker withdrawn, or it is no longer
// wanted.
func (x *call) commit(p *peer, always bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled || p.withdrawn.Load() && !always || x.wanted != nil && !x.wanted() {
		return false
	}
	return true
}

func (x *call) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// exchange sends a request to a worker and reads its answer. The outcome is OK where an answer was read,
// whatever its status. always sends to a withdrawn worker too: questions may go there.
func (b *Backend) exchange(x *call, p *peer, req *http1.Request, within time.Duration, always bool) (*http1.Response, scheduler.Outcome) {
	end := time.Now().Add(within)
	c := b.take(p)
	if c == nil {
		var o scheduler.Outcome
		if c, o = b.dial(x, p, within, always); c == nil {
			return nil, o
		}
	}
	if !x.hold(c) || !x.commit(p, always) {
		c.Close()
		return nil, scheduler.NotStarted
	}
	resp, o := b.talk(x, c, req, end)
	if o == scheduler.OK && !resp.Close && c.br.Buffered() == 0 && x.hold(nil) {
		b.give(p, c)
	} else {
		c.Close()
	}
	if x.isCancelled() && o != scheduler.OK {
		o = scheduler.Cancelled
	}
	return resp, o
}

func (b *Backend) dial(x *call, p *peer, within time.Duration, always bool) (*conn, scheduler.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), min(b.cfg.DialTimeout, within))
	defer cancel()
	x.mu.Lock()
	x.cancel = cancel
	dead := x.cancelled
	x.mu.Unlock()
	if dead || p.withdrawn.Load() && !always {
		return nil, scheduler.NotStarted
	}
	nc, err := b.cfg.Dial(ctx, p.Network, p.Addr)
	if err != nil {
		if x.isCancelled() {
			return nil, scheduler.NotStarted
		}
		return nil, scheduler.ConnectFailed
	}
	b.Opened.Add(1)
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, http1.ReadBuffer)}, scheduler.OK
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, http1.ReadBuffer); return &b }}

const mostPooled = 64 << 10 // bytes of a buffer that is kept for the next request

func (b *Backend) talk(x *call, c *conn, req *http1.Request, end time.Time) (*http1.Response, scheduler.Outcome) {
	c.SetDeadline(end)
	buf := buffers.Get().(*[]byte)
	*buf = http1.AppendRequest((*buf)[:0], req)
	n, err := c.Write(*buf)
	if cap(*buf) <= mostPooled {
		buffers.Put(buf)
	}
	if err != nil {
		switch {
		case n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed):
			return nil, scheduler.ConnectFailed // the kernel took nothing: nothing can have run
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, scheduler.TimedOut
		}
		return nil, scheduler.Reset
	}
	resp, err := http1.ReadResponse(c.br, &b.cfg.Limits, req.Method)
	switch {
	case err == nil:
		return resp, scheduler.OK
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, scheduler.TimedOut
	}
	return nil, scheduler.Reset
}
