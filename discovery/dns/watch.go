package dns

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/dns/dnsmessage"

	"kitehub/choice"
	"kitehub/gateway"
)

// A Sink takes news of the list. gateway.Gateway is one.
type Sink interface {
	Workers(kind choice.ListKind, version uint32, l []gateway.Worker) error
}

// Config sets up a Watcher.
type Config struct {
	Service string // name of the SRV records
	Server  string // host:port
	Serial  uint32 // of the list that is held already
	Period  time.Duration
	Sink    Sink
	Log     zerolog.Logger
}

// Counts are for the log and for tests.
type Counts struct{ Asked, News, Same, Unfit, Silent atomic.Int64 }

// A Watcher asks the directory until Stop. An answer that is lost or unfit is asked for again at once, so that the list
// is never older than the period and the time that the losses took.
type Watcher struct {
	cfg     Config
	service dnsmessage.Name
	Counts  Counts

	mu     sync.Mutex
	server string
	conn   *net.UDPConn
	ended  bool
	turn   chan struct{} // the server has changed
	wg     sync.WaitGroup
}

// patiencePart of the period is waited for one answer.
const patiencePart = 2

// Start begins to ask.
func Start(cfg Config) (*Watcher, error) {
	service, err := dnsmessage.NewName(cfg.Service + ".")
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", cfg.Service, err)
	}
	w := &Watcher{cfg: cfg, service: service, server: cfg.Server, turn: make(chan struct{}, 1)}
	w.wg.Add(1)
	go w.run()
	return w, nil
}

// Turn has another server asked from now on. The list and its number stay.
func (w *Watcher) Turn(server string) { w.change(func() { w.server = server }) }

// Stop ends the watch.
func (w *Watcher) Stop() {
	w.change(func() { w.ended = true })
	w.wg.Wait()
}

// change changes something under the lock and has the watch look at it at once.
func (w *Watcher) change(f func()) {
	w.mu.Lock()
	f()
	if w.conn != nil {
		w.conn.Close()
	}
	w.mu.Unlock()
	select {
	case w.turn <- struct{}{}:
	default:
	}
}

func (w *Watcher) run() {
	defer w.wg.Done()
	state := State{Serial: w.cfg.Serial}
	buf := make([]byte, MostBytes+1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-w.turn:
		}
		begun := time.Now()
		conn, ended := w.dial()
		if ended {
			return
		}
		wait := w.cfg.Period / patiencePart
		if conn != nil && w.ask(conn, &state, buf, begun.Add(wait)) {
			wait = w.cfg.Period
		}
		timer.Reset(max(0, wait-time.Since(begun)))
	}
}

// dial returns the socket to the server now in force. One socket is kept for as long as the server is, connected, so that
// only the server's datagrams come in.
func (w *Watcher) dial() (conn *net.UDPConn, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil, true
	}
	if w.conn != nil && w.conn.RemoteAddr().String() == w.server {
		return w.conn, false
	}
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
	addr, err := net.ResolveUDPAddr("udp", w.server)
	if err == nil {
		w.conn, err = net.DialUDP("udp", nil, addr)
	}
	if err != nil {
		w.cfg.Log.Warn().Err(err).Str("server", w.server).Msg("directory")
		return nil, false
	}
	return w.conn, false
}

// ask puts one question and takes what comes until its answer is there; false if none was.
func (w *Watcher) ask(conn *net.UDPConn, state *State, buf []byte, until time.Time) bool {
	id := uint16(rand.Uint32())
	q, err := Question(id, w.service)
	if err != nil {
		return false
	}
	w.Counts.Asked.Add(1)
	if _, err := conn.Write(q); err != nil {
		return w.dropped(conn, err)
	}
	conn.SetReadDeadline(until)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return w.dropped(conn, err)
		}
		serial, l, err := Parse(buf[:n], id, w.service)
		if n > MostBytes && err == nil {
			err = fmt.Errorf("an answer of over %d bytes", MostBytes)
		}
		if err != nil {
			w.Counts.Unfit.Add(1)
			continue // the right answer may still come
		}
		if !state.Believe(serial) {
			w.Counts.Same.Add(1)
			return serial == state.Serial
		}
		w.Counts.News.Add(1)
		if err := w.cfg.Sink.Workers(choice.Whole, serial, l); err != nil {
			w.cfg.Log.Error().Err(err).Uint32("serial", serial).Msg("list not taken")
		}
		return true
	}
}

// dropped notes a question without an answer. A socket whose server is not there is opened anew.
func (w *Watcher) dropped(conn *net.UDPConn, err error) bool {
	w.Counts.Silent.Add(1)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == conn {
		conn.Close()
		w.conn = nil
	}
	return false
}
