package msgpackrpc

import (
	"errors"
	"net"
	"time"

	"kitehub/internal/inbox"
	"kitehub/internal/overload"
)

const (
	// freeConnRate is the number of new connections a second, over all clients, that do not wait.
	freeConnRate = 100.0
	// goneCost is what a connection costs whose client has closed it, as a part of what others cost.
	goneCost = 1.0 / 2
)

// maxCatchUp is how many connections may come at once after the process has been late.
const maxCatchUp = 16

// An acceptPacer spaces new connections beyond the normal rate. Only Serve's goroutine uses it.
type acceptPacer struct {
	meter    overload.Meter
	interval time.Duration // between two connections
	nextAt   time.Duration // when the next connection is due
}

// accepted records a new connection.
func (p *acceptPacer) accepted(now time.Duration, gone bool) {
	if p.meter.Take(now) {
		return
	}
	cost := p.interval
	if gone {
		cost = time.Duration(goneCost * float64(p.interval))
	}
	p.nextAt = max(p.nextAt, now-maxCatchUp*p.interval) + cost
}

// due returns for how long to wait before the next connection.
func (p *acceptPacer) due(now time.Duration) time.Duration { return max(0, p.nextAt-now) }

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	go s.closeSilentConns()
	pacer := acceptPacer{meter: overload.NewMeter(freeConnRate, float64(s.cfg.MaxConns)), interval: s.cfg.AcceptInterval}
	var queueEmptyAt time.Time // when no connection waited to be accepted
	for {
		if wait := pacer.due(s.cfg.Clock.Now()); wait > 0 {
			time.Sleep(wait)
		}
		if inbox.NoneWaits(listener) {
			queueEmptyAt = time.Now()
		}
		socket, err := listener.Accept()
		if err == nil {
			gone := s.accept(socket, queueEmptyAt)
			pacer.accepted(s.cfg.Clock.Now(), gone)
			continue
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// A lack of file descriptors is temporary, so the listener stays open.
		s.cfg.Log.Warn().Err(err).Msg("accept failed, retrying")
		time.Sleep(s.cfg.Settings.Tick)
	}
}

// accept admits a connection, which was opened after a time, and serves it, or rejects what has arrived on
// it and closes it. While no connection can be evicted yet, it waits, and further connections wait in the
// kernel's accept queue. It returns true for a connection whose client has closed it: nothing that it has
// sent is owed an answer, so it is closed at once.
func (s *Server) accept(socket net.Conn, openedAfter time.Time) (gone bool) {
	s.Counts.Accepted.Add(1)
	if inbox.PeerClosed(socket) {
		s.Counts.Gone.Add(1)
		socket.Close()
		return true
	}
	c := s.newConn(socket)
	c.in.OpenedAfter(openedAfter)
	admitted := s.admit(c)
	for admitted == admitLater {
		time.Sleep(s.cfg.Settings.Tick)
		admitted = s.admit(c)
	}
	if admitted == admitNever {
		c.enter(phaseRefusing)
		c.draining = true // what has arrived is rejected
	}
	go c.serve()
	return false
}
