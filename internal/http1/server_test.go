package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// echo returns the path and the body of the request.
func echo(_ *Conn, r *Request) *Response {
	return &Response{Status: 200, Header: Header{{"X-Path", r.Path()}}, Body: append([]byte(nil), r.Body...)}
}

// serve runs a server until the test ends, and returns its address.
func serve(t testing.TB, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		s.Abort()
	})
	return ln.Addr().String()
}

func dial(t testing.TB, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// read reads a response to a GET request.
func read(t testing.TB, br *bufio.Reader) *Response {
	t.Helper()
	l := Limits{}.WithDefaults()
	resp, err := ReadResponse(br, &l, "GET")
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestServerExchanges(t *testing.T) {
	addr := serve(t, &Server{Handler: HandlerFunc(echo), Limits: Limits{MaxBodyBytes: 100}})
	t.Run("pipelining and keep-alive", func(t *testing.T) {
		c, br := dial(t, addr)
		for range 2 {
			io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na"+
				"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"+
				"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\n")
			for i, want := range []string{"a", "", "c"} {
				resp := read(t, br)
				if string(resp.Body) != want || resp.Header.Get("X-Path") != fmt.Sprintf("/%d", i+1) {
					t.Errorf("response %d: %q", i, resp.Body)
				}
			}
		}
	})
	t.Run("100-continue", func(t *testing.T) {
		c, br := dial(t, addr)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
			t.Fatalf("%q %v", line, err)
		}
		br.ReadString('\n')
		io.WriteString(c, "ok")
		if resp := read(t, br); string(resp.Body) != "ok" {
			t.Errorf("%q", resp.Body)
		}
	})
	t.Run("too large a body is rejected before it is sent", func(t *testing.T) {
		c, br := dial(t, addr)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n")
		if resp := read(t, br); resp.Status != 413 || !resp.Close {
			t.Errorf("%d close %v", resp.Status, resp.Close)
		}
	})
	t.Run("HEAD", func(t *testing.T) {
		c, br := dial(t, addr)
		io.WriteString(c, "HEAD /h HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
			"GET /n HTTP/1.1\r\nHost: a\r\n\r\n")
		l := Limits{}.WithDefaults()
		resp, err := ReadResponse(br, &l, "HEAD")
		if err != nil || resp.Header.Get("Content-Length") != "3" {
			t.Fatalf("%+v %v", resp, err)
		}
		if resp := read(t, br); resp.Header.Get("X-Path") != "/n" {
			t.Errorf("%+v", resp)
		}
	})
	t.Run("close", func(t *testing.T) {
		c, br := dial(t, addr)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+
			"GET /never HTTP/1.1\r\nHost: a\r\n\r\n")
		if resp := read(t, br); !resp.Close {
			t.Error("no Connection: close")
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("err %v, want EOF", err)
		}
	})
	t.Run("ambiguous framing closes the connection", func(t *testing.T) {
		c, br := dial(t, addr)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na"+
			"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
		if resp := read(t, br); resp.Status != 400 || !resp.Close {
			t.Errorf("%d close %v", resp.Status, resp.Close)
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("err %v, want EOF", err)
		}
	})
	t.Run("net/http client", func(t *testing.T) {
		body := io.MultiReader(strings.NewReader("chu"), strings.NewReader("nked")) // sent chunked
		resp, err := http.Post("http://"+addr+"/go", "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "chunked" {
			t.Errorf("%q %v", b, err)
		}
	})
}

// Each timeout ends its connection, with a 408 response if a request has begun.
func TestServerTimeouts(t *testing.T) {
	const short = 30 * time.Millisecond
	tests := []struct {
		name   string
		limits Limits
		send   string
		status int // of the response before the connection ends; 0: none
	}{
		{"first byte", Limits{FirstByteTimeout: short}, "", 0},
		{"head", Limits{HeadTimeout: short}, "GET / HTTP/1.1\r\nHost:", 408},
		{"body", Limits{BodyTimeout: short}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na", 408},
		{"idle", Limits{IdleTimeout: short}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, br := dial(t, serve(t, &Server{Handler: HandlerFunc(echo), Limits: tt.limits}))
			io.WriteString(c, tt.send)
			if tt.status > 0 {
				if resp := read(t, br); resp.Status != tt.status {
					t.Errorf("status %d, want %d", resp.Status, tt.status)
				}
			}
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("err %v, want EOF", err)
			}
		})
	}
}

// A thousand connections that send their heads one byte at a time do not delay other requests.
func TestSlowClientsDoNotDelayOthers(t *testing.T) {
	s := &Server{Handler: HandlerFunc(echo), Limits: Limits{HeadTimeout: time.Minute, FirstByteTimeout: time.Minute}}
	addr := serve(t, s)
	var slow []net.Conn
	for range 1000 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HT")
		slow = append(slow, c)
	}
	c, br := dial(t, addr)
	for range 50 {
		for _, s := range slow[:20] {
			io.WriteString(s, "x")
		}
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if resp := read(t, br); resp.Status != 200 {
			t.Fatal(resp.Status)
		}
	}
}

// A connection beyond MaxConnections is answered 503 and closed; a later one is accepted once
// another has ended.
func TestConnectionBeyondMaxConnectionsIsRejected(t *testing.T) {
	s := &Server{Handler: HandlerFunc(echo), MaxConnections: 2}
	addr := serve(t, s)
	a, abr := dial(t, addr)
	b, bbr := dial(t, addr)
	io.WriteString(a, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	read(t, abr)
	io.WriteString(b, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	read(t, bbr)
	_, br := dial(t, addr)
	if resp := read(t, br); resp.Status != 503 || resp.Header.Get("Retry-After") == "" || s.Rejected.Load() != 1 {
		t.Errorf("%+v, %d rejected", resp, s.Rejected.Load())
	}
	io.WriteString(a, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	read(t, abr)
	if _, err := abr.ReadByte(); err != io.EOF {
		t.Fatal(err)
	}
	for { // the server may not have removed the closed connection yet
		c, br := dial(t, addr)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if read(t, br).Status == 200 {
			break
		}
	}
}

// An expiredDeadlineListener accepts connections on which every write deadline has already expired,
// as if the process had been descheduled between setting the deadline and writing.
type expiredDeadlineListener struct{ net.Listener }

type expiredDeadlineConn struct{ *net.TCPConn }

func (l expiredDeadlineListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return expiredDeadlineConn{nc.(*net.TCPConn)}, nil
}

func (c expiredDeadlineConn) SetWriteDeadline(time.Time) error {
	return c.TCPConn.SetWriteDeadline(time.Unix(1, 0))
}

// A connection is answered 503 even if the process gets so little CPU time that any write deadline
// would expire before the write.
func TestRejectionNeedsNoWriteDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handler: HandlerFunc(echo), MaxConnections: 1}
	done := make(chan error)
	go func() { done <- s.Serve(expiredDeadlineListener{ln}) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		s.Abort()
	})
	dial(t, ln.Addr().String())
	_, br := dial(t, ln.Addr().String())
	if resp := read(t, br); resp.Status != 503 || s.Rejected.Load() != 1 {
		t.Errorf("%+v, %d rejected", resp, s.Rejected.Load())
	}
}

// An exhaustedListener fails its first accepts, as if the process had no file descriptors left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64 // remaining failures
}

func (f *exhaustedListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: errors.Join(syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// When accept fails for lack of file descriptors, Serve neither returns nor retries without a wait.
func TestAcceptIsRetriedWithBackoff(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &exhaustedListener{Listener: ln}
	f.failures.Store(4)
	s := &Server{Handler: HandlerFunc(echo)}
	done := make(chan error)
	start := time.Now()
	go func() { done <- s.Serve(f) }()
	c, br := dial(t, ln.Addr().String())
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp := read(t, br); resp.Status != 200 {
		t.Error(resp.Status)
	}
	if least := 15 * minAcceptBackoff; time.Since(start) < least {
		t.Errorf("%v for four failures, want %v and more", time.Since(start), least)
	}
	if n := s.AcceptBackoffs.Load(); n != 4 {
		t.Errorf("%d backoffs, want 4", n)
	}
	ln.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	s.Abort()
}

// Drain lets a request in flight be answered, and closes idle connections.
func TestDrain(t *testing.T) {
	began, answer := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: HandlerFunc(func(c *Conn, r *Request) *Response {
		if r.Path() == "/slow" {
			close(began)
			<-answer
		}
		return echo(c, r)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln)
	busy, br := dial(t, ln.Addr().String())
	c, idle := dial(t, ln.Addr().String())
	// An answered request ensures that the connection is accepted before the listener closes.
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	read(t, idle)
	io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	ln.Close()
	done := make(chan struct{})
	go func() {
		s.Drain(time.Minute)
		close(done)
	}()
	if _, err := idle.ReadByte(); err == nil {
		t.Error("an idle connection was answered")
	}
	close(answer)
	if resp := read(t, br); resp.Status != 200 || !resp.Close {
		t.Errorf("%d close %v", resp.Status, resp.Close)
	}
	<-done
}

// A process that stands still between the permission to write and the write must not write once the
// permission has ended: an answer of a version whose migration was acknowledged meanwhile went out.
func TestStopAfterBeforeWriteExtendsNothing(t *testing.T) {
	const permitted = 20 * time.Millisecond
	addr := serve(t, &Server{Handler: HandlerFunc(func(*Conn, *Request) *Response {
		return &Response{Status: 200, BeforeWrite: func() (*Response, time.Duration, func()) {
			time.Sleep(permitted) // as if the process were stopped after the check
			return nil, permitted, nil
		}}
	})})
	c, br := dial(t, addr)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if b, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %q %v, want the connection closed without a byte", b, err)
	}
}
