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

// A Sink is notified of each new list, with its serial as the version. gateway.Gateway is one.
type Sink interface {
	UpdateWorkers(kind scheduler.ListKind, version uint32, workers []gateway.Worker) error
}

// Config sets up a Watcher.
type Config struct {
	Service      string        // name of the SRV records, without the final dot
	Server       string        // IPv4 address and port of the directory
	Serial       uint32        // of the list already in force; 0: there is none
	PollInterval time.Duration // how often the directory is polled
	Sink         Sink
	Log          zerolog.Logger
}

// Counts are for the log and for tests.
type Counts struct {
	Queries   atomic.Int64 // queries sent
	Updates   atomic.Int64 // answers with a newer list
	Unchanged atomic.Int64 // answers with the list in force, or an older one
	Invalid   atomic.Int64 // messages from the directory that do not answer the query
	TimedOut  atomic.Int64 // queries without an answer in time, or interrupted
}

// A Watcher polls the directory until Stop. A query whose answer is lost or invalid is repeated sooner than after a
// period, so that the list is never older than the period and the time that the losses took.
//
// The watcher always has one socket, which is not connected to a server: neither a server that is down nor a change
// of servers needs a file descriptor, which idle clients may have used up meanwhile. If answers stay away for long,
// another socket replaces it where a descriptor is to be had: something on the way, a NAT gateway for instance, may
// have lost the path back to its port.
//
// One goroutine, run, sends and receives, notifies the sink, and alone replaces conn. SetServer and Stop may be
// called from any goroutine.
type Watcher struct {
	Counts Counts

	cfg     Config
	service dnsmessage.Name
	wake    chan struct{} // receives when the server has changed, or the watcher is stopped
	wg      sync.WaitGroup

	mu      sync.Mutex
	conn    *net.UDPConn
	server  netip.AddrPort
	stopped bool
}

const (
	// The answer to a query is waited for a period divided by this.
	answerTimeoutDivisor = 2
	// A wait is shortened at random by up to a period divided by this, so that controllers that were started together
	// do not poll in step.
	jitterDivisor = 8
	// The socket is replaced after so many queries in a row without a valid answer.
	renewSocketAfter = 4
)

// Start begins to poll.
func Start(cfg Config) (*Watcher, error) {
	service, err := dnsmessage.NewName(cfg.Service + ".")
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", cfg.Service, err)
	}
	w := &Watcher{cfg: cfg, service: service, wake: make(chan struct{}, 1)}
	if w.server, err = ParseAddress(cfg.Server); err != nil {
		return nil, err
	}
	if w.conn, err = net.ListenUDP("udp4", nil); err != nil {
		return nil, fmt.Errorf("socket to the directory: %w", err)
	}
	w.wg.Add(1)
	go w.run()
	return w, nil
}

// ParseAddress parses the address of a directory: an IPv4 address and a port. It cannot be a name, as there is no other
// directory to resolve one.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && (!address.Addr().Unmap().Is4() || address.Port() == 0) {
		err = fmt.Errorf("%.64q: want an IPv4 address and a port", text)
	}
	return unmap(address), err
}

// unmap turns an IPv4 address in IPv6 form into plain IPv4, so that equal addresses compare equal.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// SetServer polls another server from now on, beginning at once. The list in force and its serial stay. Setting the
// present server changes nothing.
func (w *Watcher) SetServer(server string) error {
	address, err := ParseAddress(server)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.server {
		w.server = address
		w.interrupt()
	}
	return nil
}

// Stop stops the polling, and returns when the sink is notified no more.
func (w *Watcher) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.interrupt()
	w.mu.Unlock()
	w.wg.Wait()
}

// interrupt ends a wait for an answer or for the next query. The caller holds mu, as setDeadline does: a wait either
// begins before the interrupt, and is ended by it, or after, and sees what has changed.
func (w *Watcher) interrupt() {
	w.conn.SetReadDeadline(time.Unix(1, 0)) // long past
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// setDeadline bounds the wait for the answer of a server. It returns false if meanwhile another server was set, or
// the watcher was stopped.
func (w *Watcher) setDeadline(server netip.AddrPort, deadline time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || server != w.server {
		return false
	}
	w.conn.SetReadDeadline(deadline)
	return true
}

func (w *Watcher) current() (server netip.AddrPort, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server, w.stopped
}

// run sends a query every period, and sooner after a failure or a change of servers.
func (w *Watcher) run() {
	defer w.wg.Done()
	defer func() { w.conn.Close() }()
	failures := 0 // in a row
	state := State{Serial: w.cfg.Serial}
	buffer := make([]byte, maxAnswerBytes+1) // one more, to recognise a longer answer
	timer := time.NewTimer(w.jitter())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-w.wake:
		}
		server, stopped := w.current()
		if stopped {
			return
		}
		begin := time.Now()
		wait := w.cfg.PollInterval / answerTimeoutDivisor
		if w.poll(server, &state, buffer, begin.Add(wait)) {
			wait = w.cfg.PollInterval - w.jitter()
			failures = 0
		} else if failures++; failures%renewSocketAfter == 0 {
			w.renewSocket()
		}
		timer.Reset(max(0, wait-time.Since(begin)))
	}
}

func (w *Watcher) jitter() time.Duration { return rand.N(w.cfg.PollInterval/jitterDivisor + 1) }

// renewSocket replaces the socket by one with another port. The old one stays if there is no descriptor for another.
func (w *Watcher) renewSocket() {
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

// poll sends one query and reads messages until its answer comes; false if none came before the deadline, or if it
// was interrupted.
func (w *Watcher) poll(server netip.AddrPort, state *State, buffer []byte, deadline time.Time) bool {
	id := uint16(rand.Uint32())
	query, err := packQuery(id, w.service)
	if err != nil || !w.setDeadline(server, deadline) {
		return false
	}
	w.Counts.Queries.Add(1)
	if _, err := w.conn.WriteToUDPAddrPort(query, server); err != nil {
		w.cfg.Log.Warn().Err(err).Stringer("server", server).Msg("endpoint directory unreachable")
	}
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			w.Counts.TimedOut.Add(1)
			return false
		}
		if unmap(from) != server {
			continue // from the previous server, or forged
		}
		serial, workers, err := Parse(buffer[:n], id, w.service)
		if n > maxAnswerBytes && err == nil {
			err = fmt.Errorf("an answer of over %d bytes", maxAnswerBytes)
		}
		if err != nil {
			w.Counts.Invalid.Add(1)
			continue // the valid answer may still come
		}
		return w.apply(state, serial, workers)
	}
}

// apply notifies the sink of a list if it is newer than the one in force. It returns false if it is older: the
// directory must be polled again soon.
func (w *Watcher) apply(state *State, serial uint32, workers []gateway.Worker) bool {
	if !state.Advance(serial) {
		w.Counts.Unchanged.Add(1)
		return serial == state.Serial
	}
	w.Counts.Updates.Add(1)
	if err := w.cfg.Sink.UpdateWorkers(scheduler.FullList, serial, workers); err != nil {
		w.cfg.Log.Error().Err(err).Uint32("serial", serial).Msg("endpoint list rejected, keeping previous")
	}
	return true
}
