// Package frame carries the module's sends and orders to the invokers of a platform, in binary frames on shared
// connections. It decides nothing: beyond carrying it says of each attempt exactly what is known of it, as ends.go lists.
//
// Shared connections fail together: one answer that cannot be read ends every attempt on its connection as one that may
// have run. So attempts are spread over the connections that the descriptors allow, and share only beyond that.
package frame

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/scheduler"
)

// Config sets up a Backend.
type Config struct {
	Clock    clock.Clock
	Dial     backend.DialFunc // nil: the machine's
	Within   time.Duration    // a connection that is not up by then has failed
	Idle     time.Duration    // workers close connections that are idle for so long
	Streams  int              // exchanges on one connection
	Conns    int              // connections to all workers
	MostBody int              // bytes of an answer's body
	Patience time.Duration    // silence after which a connection with something open is asked, and as long again for its answer
	Forget   time.Duration    // an answer that comes later than this after its exchange has ended cannot come any more
	Order    time.Duration    // longest wait for the answer to an order
	Report   []scheduler.ReportField
	Log      zerolog.Logger
}

// Counts are for the log and for tests.
type Counts struct {
	// LostNew counts connections that ended under their first exchange, LostUsed those that ended under a later one.
	Opened, DialFailed, LostNew, LostUsed, Broken, Strays, Pings, Dead, NoPlace atomic.Int64
}

// A Backend holds the connections to all workers. It is safe for concurrent use.
type Backend struct {
	cfg    Config
	lim    limits
	Counts Counts
	ids    atomic.Uint64 // of orders and pings
	held   atomic.Int64  // connections that stand or are being opened

	mu     sync.RWMutex
	peers  map[scheduler.WorkerID]*peer
	old    []*peer // no longer listed, with something still open
	most   int     // connections to one worker
	closed bool
	done   chan struct{}
}

// idlePart of the workers' own idle time is the longest ours may be: what we send must not meet their close.
const idlePart = 2

// trusted is how long an idle connection is used again. A call that meets a connection which the other side, or something
// between, has dropped meanwhile may have run; opening one costs a dial at most, so beyond that time it is not risked.
func trusted(dial, idle time.Duration) time.Duration { return min(dial, idle/idlePart) }

// New returns a backend with no workers, which watches its connections until Close.
func New(cfg Config) *Backend {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	b := &Backend{cfg: cfg, lim: limits{streams: max(1, cfg.Streams), lifeIdle: trusted(cfg.Within, cfg.Idle)}, peers: map[scheduler.WorkerID]*peer{},
		most: max(1, cfg.Conns), done: make(chan struct{})}
	b.ids.Store(uint64(cfg.Clock.Now()))
	go b.watch()
	return b
}

// watch checks all connections, some times in the span within which silence is judged.
func (b *Backend) watch() {
	t := time.NewTicker(max(b.cfg.Patience/4, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
		}
		b.check()
	}
}

func (b *Backend) check() {
	now := b.cfg.Clock.Now()
	b.mu.Lock()
	l := make([]*peer, 0, len(b.peers)+len(b.old))
	for _, p := range b.peers {
		l = append(l, p)
	}
	kept := b.old[:0]
	for _, p := range b.old {
		p.mu.Lock()
		left := len(p.conns) + p.dialling
		p.mu.Unlock()
		if left > 0 {
			l, kept = append(l, p), append(kept, p)
		}
	}
	clear(b.old[len(kept):])
	b.old = kept
	b.mu.Unlock()
	for _, p := range l {
		for _, c := range p.list() {
			c.check(now)
		}
	}
}

// Update replaces the list of workers. From here on nothing new goes to one that is not Ready, or no longer listed; what is
// open to it goes on. A worker with another name or address is another, whatever connections lead to its address.
func (b *Backend) Update(list []backend.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers
	b.peers = make(map[scheduler.WorkerID]*peer, len(list))
	for _, e := range list {
		p := old[e.ID]
		if p == nil || p.Network != e.Network || p.Addr != e.Addr || p.Name != e.Name {
			p = &peer{b: b, Name: e.Name, Network: e.Network, Addr: e.Addr}
		}
		p.withdrawn.Store(!e.Ready)
		b.peers[e.ID] = p
	}
	for id, p := range old {
		if b.peers[id] != p {
			p.withdrawn.Store(true)
			b.old = append(b.old, p)
		}
	}
	b.most = share(b.cfg.Conns, len(list))
}

// Close ends all connections, and all that is open on them.
func (b *Backend) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	close(b.done)
	l := b.old
	for _, p := range b.peers {
		l = append(l, p)
	}
	b.mu.Unlock()
	for _, p := range l {
		p.withdrawn.Store(true)
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		for _, c := range p.list() {
			c.out.Close()
		}
	}
}

func (b *Backend) peer(id scheduler.WorkerID) (*peer, int) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.peers[id], b.most
}

// CloseIdle frees the idle connections to a worker.
func (b *Backend) CloseIdle(id scheduler.WorkerID) {
	p, _ := b.peer(id)
	if p == nil {
		return
	}
	for _, c := range p.list() {
		if c.view(0).out == 0 {
			c.out.Close()
		}
	}
}

// An attempt is one call or order under way. It is a backend.Running.
type attempt struct {
	b      *Backend
	x      exchange
	frame  func() []byte // built just before it goes out: the time left is in it
	fit    func() bool
	ended  func(scheduler.Outcome, *answer)
	within time.Duration
	start  time.Duration

	mu        sync.Mutex
	cancel    context.CancelFunc // of the dial
	cancelled bool
	c         *conn
	over      bool
}

// Send starts an attempt; done is called once, never by Send itself.
func (b *Backend) Send(a backend.Attempt, done func(backend.Result)) backend.Running {
	t := &attempt{b: b, within: a.Timeout, start: b.cfg.Clock.Now()}
	t.ended = func(o scheduler.Outcome, ans *answer) {
		res := backend.Result{Outcome: o, Took: b.cfg.Clock.Now() - t.start}
		if ans != nil {
			s := parseFields(ans.text, b.cfg.Report)
			res.Status, res.Note, res.Alike, res.Report = int(ans.code), s.note, s.alike, s.report
			if o == scheduler.OK {
				res.Body = ans.body
			}
		}
		done(res)
	}
	id, err := strconv.ParseUint(a.Call, 16, 64)
	if err != nil { // the front takes no such id
		go t.end(scheduler.NotStarted, nil)
		return t
	}
	t.x.id = id
	t.fit = func() bool { return a.Wanted == nil || a.Wanted() }
	t.frame = func() []byte {
		f := make([]byte, 0, 128)
		f = appendField(f, "c", a.Class)
		f = appendField(f, "k", a.Function)
		left := a.Timeout - (b.cfg.Clock.Now() - t.start)
		f = appendField(f, "w", strconv.FormatInt(max(1, left.Milliseconds()), 10))
		if a.Key != "" {
			f = appendField(f, "i", a.Key)
		}
		return appendFrame(make([]byte, 0, headSize+len(f)+len(a.Body)+checkSize), codeCall, id, f, a.Body)
	}
	t.carry(a.Worker)
	return t
}

// LoadCopies sends an order to load. It stands even if its connection ends, so a lost one is told as such.
func (b *Backend) LoadCopies(o backend.LoadOrder, done func(scheduler.Outcome, int, time.Duration)) {
	t := &attempt{b: b, within: b.cfg.Order, start: b.cfg.Clock.Now()}
	t.x.id, t.x.order = b.ids.Add(1), true
	t.ended = func(out scheduler.Outcome, ans *answer) {
		copies := 0
		if ans != nil {
			copies = parseFields(ans.text, nil).copies
		}
		done(out, copies, b.cfg.Clock.Now()-t.start)
	}
	t.fit = func() bool { return true }
	t.frame = func() []byte {
		f := appendField(nil, "k", o.Function)
		f = appendField(f, "slots_up", strconv.Itoa(o.Copies))
		return appendFrame(nil, codeHold, t.x.id, f, nil)
	}
	t.carry(o.Worker)
}

// Unload has a worker drop its idle copies of a function. There is no answer.
func (b *Backend) Unload(w scheduler.WorkerID, function string) {
	id, err := strconv.ParseUint(function, 16, 64)
	p, _ := b.peer(w)
	if err != nil || p == nil {
		return
	}
	for _, c := range p.list() { // where none is open there is no copy of ours that is worth a connection
		if v := c.view(0); !v.suspect && !p.withdrawn.Load() {
			c.out.Send(appendFrame(nil, codeUnload, id, nil, nil))
			return
		}
	}
}

// Probe is not spoken here: what a ping tells is of the connection alone. The platform allows none.
func (b *Backend) Probe(w scheduler.WorkerID, done func(scheduler.Outcome, time.Duration, []float64)) {
	go done(scheduler.NotStarted, 0, nil)
}

// carry puts the attempt on a connection, at once where one stands.
func (t *attempt) carry(w scheduler.WorkerID) {
	p, most := t.b.peer(w)
	if p == nil {
		go t.end(scheduler.NotStarted, nil)
		return
	}
	c, found := t.b.place(p, t.x.id, most)
	if c == nil && found == noPlace && t.b.evictIdle(p) {
		c, found = t.b.place(p, t.x.id, most)
	}
	switch {
	case c != nil && t.put(c):
	case found == dialOne:
		go t.dial(p)
	case c != nil:
		go t.end(scheduler.NotStarted, nil) // nothing of it went out
	default:
		t.b.Counts.NoPlace.Add(1)
		go t.end(scheduler.ConnectFailed, nil)
	}
}

// place chooses a connection, or takes a place for a new one.
func (b *Backend) place(p *peer, id uint64, most int) (*conn, int) {
	now := b.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	views := make([]view, len(p.conns))
	for i, c := range p.conns {
		views[i] = c.view(id)
	}
	lim := b.lim
	lim.most = most
	if int(b.held.Load()) >= b.cfg.Conns { // old workers still have some
		lim.most = 0
	}
	i := pick(views, p.dialling, lim, now)
	switch {
	case i >= 0:
		return p.conns[i], i
	case i == dialOne:
		p.dialling++
		b.held.Add(1)
	}
	return nil, i
}

// evictIdle closes the connection of another worker that has been idle longest, where all that may be open are: a worker that has
// none must not wait for those that have more than they use. It tells whether one was closed.
func (b *Backend) evictIdle(p *peer) bool {
	if int(b.held.Load()) < b.cfg.Conns {
		return false
	}
	b.mu.RLock()
	others := slices.Concat(slices.Collect(maps.Values(b.peers)), b.old)
	b.mu.RUnlock()
	var longest *conn
	var since time.Duration
	for _, o := range others {
		if o == p {
			continue
		}
		for _, c := range o.list() {
			if v := c.view(0); v.out == 0 && v.used && (longest == nil || v.since < since) {
				longest, since = c, v.since
			}
		}
	}
	return longest != nil && longest.evict()
}

// put starts the exchange on a connection; false if nothing went out.
func (t *attempt) put(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	now := t.b.cfg.Clock.Now()
	left := t.within - (now - t.start)
	t.x.over = t.end
	t.x.timer = time.AfterFunc(max(left, 0), func() { t.timedOut() })
	if !c.start(&t.x, t.frame(), now, func() bool { return !c.p.withdrawn.Load() && t.fit() }) {
		t.x.timer.Stop()
		return false
	}
	t.c = c
	if !t.x.order {
		c.p.open.Add(1)
	}
	return true
}

// tally notes how a call ended that went out.
func (t *attempt) tally(p *peer, o scheduler.Outcome) {
	p.open.Add(-1)
	switch o {
	case scheduler.OK:
		p.answered.Add(1)
		p.took.Add(int64(t.b.cfg.Clock.Now() - t.x.sent))
	case scheduler.Reset, scheduler.ConnectFailed, scheduler.TimedOut:
		p.lost.Add(1)
	}
}

// Seen is what passed between this controller and a worker: the truth that the module's belief can be held against.
type Seen struct {
	Worker   scheduler.WorkerID
	Name     string
	Conns    int
	Open     int           // calls on the sockets
	Answered int64         // calls served
	Lost     int64         // calls whose connection ended, or whose time did, with no answer
	Took     time.Duration // sum over the calls served, from the first byte out to the answer
}

// Seen returns what passed, of the workers now listed.
func (b *Backend) Seen() (l []Seen) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.peers {
		p.mu.Lock()
		n := len(p.conns)
		p.mu.Unlock()
		l = append(l, Seen{Worker: id, Name: p.Name, Conns: n, Open: int(p.open.Load()), Answered: p.answered.Load(), Lost: p.lost.Load(), Took: time.Duration(p.took.Load())})
	}
	slices.SortFunc(l, func(a, b Seen) int { return cmp.Compare(a.Worker, b.Worker) })
	return l
}

func (t *attempt) timedOut() {
	t.mu.Lock()
	c := t.c
	t.mu.Unlock()
	if c != nil {
		c.giveUp(&t.x, scheduler.TimedOut)
	}
}

// dial opens a connection and puts the attempt on it.
func (t *attempt) dial(p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), min(t.b.cfg.Within, t.within))
	defer cancel()
	t.mu.Lock()
	t.cancel = cancel
	unwanted := t.cancelled || p.withdrawn.Load()
	t.mu.Unlock()
	var nc net.Conn
	err := net.ErrClosed
	if !unwanted {
		nc, err = t.b.cfg.Dial(ctx, p.Network, p.Addr)
	}
	p.mu.Lock()
	p.dialling--
	if err == nil && p.closed {
		nc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		p.mu.Unlock()
		t.b.held.Add(-1)
		t.mu.Lock()
		unwanted = unwanted || t.cancelled
		t.mu.Unlock()
		if unwanted {
			t.end(scheduler.NotStarted, nil)
		} else {
			t.b.Counts.DialFailed.Add(1)
			t.end(scheduler.ConnectFailed, nil)
		}
		return
	}
	t.b.Counts.Opened.Add(1)
	c := t.b.newConn(p, nc)
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	if !t.put(c) {
		t.end(scheduler.NotStarted, nil) // the connection is for whoever comes next
	}
	c.read()
}

// Cancel gives the attempt up.
func (t *attempt) Cancel() {
	t.mu.Lock()
	t.cancelled = true
	if t.cancel != nil {
		t.cancel()
	}
	c := t.c
	t.mu.Unlock()
	if c != nil {
		c.giveUp(&t.x, scheduler.Cancelled)
	}
}

// end tells how the attempt ended, once.
func (t *attempt) end(o scheduler.Outcome, a *answer) {
	t.mu.Lock()
	over, c := t.over, t.c
	t.over = true
	t.mu.Unlock()
	if over {
		return
	}
	if c != nil && !t.x.order {
		t.tally(c.p, o)
	}
	t.ended(o, a)
}
