package dns

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// A Sink takes news of the list. gateway.Gateway is one.
type Sink interface {
	Workers(kind scheduler.ListKind, version uint32, l []gateway.Worker) error
}

// Config sets up a Watcher.
type Config struct {
	Service string // name of the SRV records
	Server  string // IP address and port
	Serial  uint32 // of the list that is held already; 0: none is
	Period  time.Duration
	Sink    Sink
	Log     zerolog.Logger
}

// Counts are for the log and for tests.
type Counts struct{ Asked, Changed, Same, Unfit, Silent atomic.Int64 }

// A Watcher asks the directory until Stop. An answer that is lost or unfit is asked for again at once, so that the list
// is never older than the period and the time that the losses took.
//
// It always has one socket, which no server owns: neither a server that is not there nor a change of servers needs a
// descriptor, which idle clients may have taken meanwhile. Where silence lasts, another is taken in its place if there is one: what
// lies between may have lost this one's way.
type Watcher struct {
	cfg     Config
	service dnsmessage.Name
	Counts  Counts

	mu     sync.Mutex
	conn   *net.UDPConn // changed by run alone
	server netip.AddrPort
	ended  bool
	wake   chan struct{} // the server has changed, or the watch ends
	wg     sync.WaitGroup
}

const (
	patiencePart = 2 // of the period is waited for one answer
	renewAfter   = 4 // questions in a row without a fit answer, until another socket is tried
	jitterPart   = 8 // of the period at most is drawn off it: controllers that start together do not ask in step for long
)

// Start begins to ask.
func Start(cfg Config) (*Watcher, error) {
	service, err := dnsmessage.NewName(cfg.Service + ".")
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", cfg.Service, err)
	}
	w := &Watcher{cfg: cfg, service: service, wake: make(chan struct{}, 1)}
	if w.server, err = Address(cfg.Server); err != nil {
		return nil, err
	}
	if w.conn, err = net.ListenUDP("udp4", nil); err != nil {
		return nil, fmt.Errorf("socket to the directory: %w", err)
	}
	w.wg.Add(1)
	go w.run()
	return w, nil
}

// Address reads where a directory is. It is an IP address, as there is nobody to ask for the address of a name.
func Address(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err == nil && (!a.Addr().Unmap().Is4() || a.Port() == 0) {
		err = fmt.Errorf("%.64q: want an IPv4 address and a port", s)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), err
}

// SetServer has another server asked from now on, at once. The list and its number stay. The server in force may be named
// again: nothing changes then.
func (w *Watcher) SetServer(server string) error {
	a, err := Address(server)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a != w.server {
		w.server = a
		w.interrupt()
	}
	return nil
}

// Stop ends the watch.
func (w *Watcher) Stop() {
	w.mu.Lock()
	w.ended = true
	w.interrupt()
	w.mu.Unlock()
	w.wg.Wait()
}

// interrupt ends the wait for an answer, and the one for the next question. The lock is held, as in until: a wait that
// begins after it has seen what changed.
func (w *Watcher) interrupt() {
	w.conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// until has the socket read to a time at most; false if meanwhile another server is to be asked, or none any more.
func (w *Watcher) until(server netip.AddrPort, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || server != w.server {
		return false
	}
	w.conn.SetReadDeadline(end)
	return true
}

func (w *Watcher) current() (server netip.AddrPort, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server, w.ended
}

func (w *Watcher) run() {
	defer w.wg.Done()
	defer func() { w.conn.Close() }()
	lost := 0
	state := State{Serial: w.cfg.Serial}
	buf := make([]byte, MostBytes+1)
	jitter := func() time.Duration { return rand.N(w.cfg.Period/jitterPart + 1) }
	timer := time.NewTimer(jitter())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-w.wake:
		}
		server, ended := w.current()
		if ended {
			return
		}
		begun := time.Now()
		wait := w.cfg.Period / patiencePart
		if w.ask(server, &state, buf, begun.Add(wait)) {
			wait, lost = w.cfg.Period-jitter(), 0
		} else if lost++; lost%renewAfter == 0 {
			w.renew()
		}
		timer.Reset(max(0, wait-time.Since(begun)))
	}
}

// renew takes another socket, from another port; the old one stays where none is to be had.
func (w *Watcher) renew() {
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return
	}
	w.mu.Lock()
	old := w.conn
	w.conn = conn
	w.mu.Unlock()
	old.Close()
}

// ask puts one question and takes what comes until its answer is there; false if none was.
func (w *Watcher) ask(server netip.AddrPort, state *State, buf []byte, end time.Time) bool {
	id := uint16(rand.Uint32())
	q, err := Question(id, w.service)
	if err != nil || !w.until(server, end) {
		return false
	}
	w.Counts.Asked.Add(1)
	if _, err := w.conn.WriteToUDPAddrPort(q, server); err != nil {
		w.cfg.Log.Warn().Err(err).Stringer("server", server).Msg("directory")
	}
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			w.Counts.Silent.Add(1)
			return false
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != server {
			continue // of a server that was asked before, or anybody's
		}
		serial, l, err := Parse(buf[:n], id, w.service)
		if n > MostBytes && err == nil {
			err = fmt.Errorf("an answer of over %d bytes", MostBytes)
		}
		if err != nil {
			w.Counts.Unfit.Add(1)
			continue // the right answer may still come
		}
		if !state.Advance(serial) {
			w.Counts.Same.Add(1)
			return serial == state.Serial
		}
		w.Counts.Changed.Add(1)
		if err := w.cfg.Sink.Workers(scheduler.FullList, serial, l); err != nil {
			w.cfg.Log.Error().Err(err).Uint32("serial", serial).Msg("list not taken")
		}
		return true
	}
}
