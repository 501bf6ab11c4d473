package relaysoak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Rates of the shim's faults, as fractions of the connections.
const (
	connectErrorRate  = 0.03
	connectHangRate   = 0.03
	connectSlowRate   = 0.15
	acceptErrorRate   = 0.05
	resetRate         = 0.05
	readErrorRate     = 0.02
	pauseRate         = 0.05 // of the pieces that are passed on
	maxPause          = 50 * time.Millisecond
	maxSlowConnect    = 240 * time.Millisecond
	maxBytesToReset   = 4000
	pieceSize         = 2000     // bytes that are passed on at a time
	socketBufferBytes = 4 << 10  // of the relay's end
	relayBufferBytes  = 32 << 10 // of the shim's end towards the relay
)

// A Shim stands between a relay and its sockets, in the relay's process. It is safe for concurrent
// use.
type Shim struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewShim returns a shim whose faults follow from a seed.
func NewShim(seed uint64) *Shim {
	return &Shim{random: rand.New(rand.NewPCG(seed, 0x5417))}
}

// chance reports true with the given probability.
func (s *Shim) chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// below returns a number from 0 to n-1.
func (s *Shim) below(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// connectErrors are the errors with which connect may fail for a moment.
var connectErrors = []error{syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH}

// Dial opens a connection to a worker. It implements backend.DialFunc.
func (s *Shim) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch {
	case s.chance(connectErrorRate):
		return nil, &net.OpError{Op: "dial", Net: network, Err: connectErrors[s.below(len(connectErrors))]}
	case s.chance(connectHangRate):
		<-ctx.Done()
		return nil, ctx.Err()
	case s.chance(connectSlowRate):
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Duration(s.below(int(maxSlowConnect)))):
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return s.wrap(conn.(*net.TCPConn), true)
}

// Listen opens the listener for clients. It implements relay.ListenFunc.
func (s *Shim) Listen(network, addr string) (net.Listener, error) {
	ln, err := net.Listen(network, addr)
	return &faultyListener{ln, s}, err
}

type faultyListener struct {
	net.Listener
	shim *Shim
}

// acceptErrors are the errors with which accept may fail for a moment.
var acceptErrors = []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	if l.shim.chance(acceptErrorRate) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: acceptErrors[l.shim.below(len(acceptErrors))]}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.shim.wrap(conn.(*net.TCPConn), false)
}

// A faultyConn is the relay's end of a connection.
type faultyConn struct {
	*net.UnixConn
	remaining int // bytes to read before reads fail; negative: they do not
}

// readErrors are the errors with which a broken connection may show itself.
var readErrors = []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.remaining == 0 {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: readErrors[len(b)%len(readErrors)]}
	}
	if c.remaining > 0 {
		b = b[:min(len(b), c.remaining)]
	}
	n, err := c.UnixConn.Read(b)
	if c.remaining > 0 {
		c.remaining -= n
	}
	return n, err
}

// wrap puts a pair of sockets with small buffers before a connection. Only connections to workers
// are reset and have failing reads: a client's connection must not end unless one side closes it.
func (s *Shim) wrap(conn *net.TCPConn, toWorker bool) (net.Conn, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		conn.Close()
		return nil, err
	}
	syscall.SetsockoptInt(fds[0], syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
	syscall.SetsockoptInt(fds[1], syscall.SOL_SOCKET, syscall.SO_SNDBUF, relayBufferBytes)
	ours, err := unixConn(fds[1])
	if err != nil {
		conn.Close()
		syscall.Close(fds[0])
		return nil, err
	}
	relays, err := unixConn(fds[0])
	if err != nil {
		conn.Close()
		ours.Close()
		return nil, err
	}
	p := &pump{shim: s, conn: conn, ours: ours, bytesToReset: -1}
	wrapped := &faultyConn{UnixConn: relays, remaining: -1}
	if toWorker && s.chance(resetRate) {
		p.bytesToReset = s.below(maxBytesToReset)
	}
	if toWorker && s.chance(readErrorRate) {
		wrapped.remaining = s.below(maxBytesToReset)
	}
	go p.fromRelay()
	go p.toRelay()
	return wrapped, nil
}

func unixConn(fd int) (*net.UnixConn, error) {
	file := os.NewFile(uintptr(fd), "socketpair")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// A pump passes bytes between the relay's end and the network.
type pump struct {
	shim         *Shim
	conn         *net.TCPConn
	ours         *net.UnixConn
	bytesToReset int // bytes from the relay before the connection is reset; negative: it is not
}

// fromRelay passes on what the relay writes, in small pieces and with pauses.
func (p *pump) fromRelay() {
	buffer := make([]byte, pieceSize)
	for {
		if p.shim.chance(pauseRate) {
			time.Sleep(time.Duration(p.shim.below(int(maxPause))))
		}
		n, err := p.ours.Read(buffer)
		if p.bytesToReset >= 0 && n >= p.bytesToReset {
			p.conn.Write(buffer[:p.bytesToReset])
			p.conn.SetLinger(0)
			p.conn.Close()
			p.ours.Close()
			return
		}
		if p.bytesToReset >= 0 {
			p.bytesToReset -= n
		}
		if n > 0 {
			if _, writeErr := p.conn.Write(buffer[:n]); writeErr != nil {
				p.ours.Close()
				return
			}
		}
		if err != nil {
			p.conn.CloseWrite()
			return
		}
	}
}

// toRelay passes on what the relay reads, unchanged.
func (p *pump) toRelay() {
	_, err := io.Copy(p.ours, p.conn)
	if err != nil { // the network's connection was reset, or the relay's end is closed
		p.ours.Close()
		p.conn.Close()
		return
	}
	p.ours.CloseWrite()
}
