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

// A Sink is notified of each new list, with its serial as the version. gateway.Gateway implements
// it. An error is logged.
type Sink interface {
	UpdateWorkers(kind scheduler.ListKind, version uint32, workers []gateway.Worker) error
}

// Config configures a Watcher.
type Config struct {
	Service      string        // name of the SRV records, without the final dot
	Server       string        // IPv4 address and port of the directory
	Serial       uint32        // serial of the list already in force; 0 if there is none
	PollInterval time.Duration // time between two polls
	Sink         Sink
	Log          zerolog.Logger
}

// Counts holds counters for the log and for tests.
type Counts struct {
	Queries   atomic.Int64 // queries sent
	Updates   atomic.Int64 // responses with a newer list
	Unchanged atomic.Int64 // responses with the list in force or an older one
	Invalid   atomic.Int64 // messages from the directory that are not valid responses to the query
	TimedOut  atomic.Int64 // queries that timed out or were interrupted
}

// A Watcher polls the directory until Stop. If the response to a query is lost or invalid, the next
// query is sent before the poll interval has elapsed, so that the list is never older than the poll
// interval plus the time lost to failed queries.
//
// The watcher always has one socket, which is not connected to a server. Changing the server, or
// polling one that is down, therefore needs no new file descriptor, of which idle clients may have
// left none. If no valid response arrives for a long time, another socket replaces it if a
// descriptor is available: an intermediary such as a NAT gateway may have lost the mapping for its
// port.
//
// The goroutine of run sends and receives, notifies the sink, and is the only one to replace conn.
// SetServer and Stop may be called from any goroutine.
type Watcher struct {
	Counts Counts

	cfg     Config
	service dnsmessage.Name
	wake    chan struct{} // signalled when the server has changed or the watcher is stopped
	wg      sync.WaitGroup

	mu      sync.Mutex
	conn    *net.UDPConn
	server  netip.AddrPort
	stopped bool
}

const (
	// responseTimeoutDivisor is the ratio of the poll interval to the timeout of a query.
	responseTimeoutDivisor = 2
	// jitterDivisor is the ratio of the poll interval to the largest random reduction of a wait.
	// The jitter keeps controllers that were started together from polling at the same time.
	jitterDivisor = 8
	// replaceSocketAfter is the number of consecutive queries without a valid response after which
	// the socket is replaced.
	replaceSocketAfter = 4
)

// Start starts polling.
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

// ParseAddress parses the address of a directory: an IPv4 address and a port. A host name is not
// allowed, as there is no other directory to resolve it.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && (!address.Addr().Unmap().Is4() || address.Port() == 0) {
		err = fmt.Errorf("%.64q: want an IPv4 address and a port", text)
	}
	return unmap(address), err
}

// unmap converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare as equal.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// SetServer changes the server to poll and polls it at once. The list in force and its serial are
// kept. Setting the current server again has no effect.
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

// Stop stops polling. After it returns, the sink is not notified any more.
func (w *Watcher) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.interrupt()
	w.mu.Unlock()
	w.wg.Wait()
}

// interrupt ends a wait for a response or for the next query. The caller must hold w.mu, as
// setDeadline does. A wait therefore either begins before the interrupt, which ends it, or after
// it, and then sees the change.
func (w *Watcher) interrupt() {
	w.conn.SetReadDeadline(time.Unix(1, 0)) // in the past, so that reads return at once
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// setDeadline sets the deadline for the response of a server. It returns false if another server
// was set meanwhile or the watcher was stopped.
func (w *Watcher) setDeadline(server netip.AddrPort, deadline time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || server != w.server {
		return false
	}
	w.conn.SetReadDeadline(deadline)
	return true
}

func (w *Watcher) currentServer() (server netip.AddrPort, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server, w.stopped
}

// run sends a query every poll interval, and sooner after a failure or a change of the server.
func (w *Watcher) run() {
	defer w.wg.Done()
	defer func() { w.conn.Close() }()
	failures := 0 // consecutive
	state := State{Serial: w.cfg.Serial}
	buffer := make([]byte, maxResponseBytes+1) // one more byte, to detect longer responses
	timer := time.NewTimer(w.jitter())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-w.wake:
		}
		server, stopped := w.currentServer()
		if stopped {
			return
		}
		begin := time.Now()
		wait := w.cfg.PollInterval / responseTimeoutDivisor
		if w.poll(server, &state, buffer, begin.Add(wait)) {
			wait = w.cfg.PollInterval - w.jitter()
			failures = 0
		} else if failures++; failures%replaceSocketAfter == 0 {
			w.replaceSocket()
		}
		timer.Reset(max(0, wait-time.Since(begin)))
	}
}

func (w *Watcher) jitter() time.Duration { return rand.N(w.cfg.PollInterval/jitterDivisor + 1) }

// replaceSocket replaces the socket with one on another port. It keeps the old one if no file
// descriptor is available.
func (w *Watcher) replaceSocket() {
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

// poll sends one query and reads messages until a valid response arrives. It returns false if none
// arrived before the deadline, if it was interrupted or if the list received is older than the one
// in force.
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
			continue // from the previous server or forged
		}
		serial, workers, err := Parse(buffer[:n], id, w.service)
		if n > maxResponseBytes && err == nil {
			err = fmt.Errorf("response of over %d bytes", maxResponseBytes)
		}
		if err != nil {
			w.Counts.Invalid.Add(1)
			continue // the valid response may still arrive
		}
		return w.apply(state, serial, workers)
	}
}

// apply notifies the sink of a list if it is newer than the one in force. It returns false if the
// list is older, in which case the directory must be polled again soon.
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
