// Package proxybench measures the gateway against httputil.ReverseProxy before the same stand-in workers, in one run, by
// turns, so that the ratio holds on whatever machine it is run. It is no test: see docs/gateway.md for figures.
package proxybench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	standard "github.com/standard-webhooks/standard-webhooks/libraries/go"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/controller"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

const secret = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"

// workers are as quick as can be: what is measured is what stands before them.
func workers(t testing.TB, n int) (addrs []string) {
	t.Helper()
	head := `{"model_name":"f","outputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":15}}]}`
	body := append([]byte(head), `{"price":42.50}`...)
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http1.Server{Limits: http1.Limits{IdleTimeout: time.Hour, FirstByteTimeout: time.Hour}, Handler: http1.HandlerFunc(func(*http1.Conn, *http1.Request) *http1.Response {
			return &http1.Response{Status: 200, Body: body, Header: http1.Header{{Name: "Content-Type", Value: "application/octet-stream"},
				{Name: "Inference-Header-Content-Length", Value: strconv.Itoa(len(head))},
				{Name: "endpoint-load-metrics", Value: "TEXT cpu_utilization=0.1, named_metrics.queue=0, named_metrics.inflight=1, named_metrics.copy=1"}}}
		})}
		go s.Serve(ln)
		t.Cleanup(func() { ln.Close(); s.Abort() })
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

const functions = 16

func text(dir string) string {
	return fmt.Sprintf(`name: "c1" controllers: 1 tick_ms: 0.1 state_dir: %q stop_ms: 1000
webhook { listen: "127.0.0.1:0" prefix: "/call/" past_ms: 60000 future_ms: 5000 ahead_ms: 60000 remembered: 100000000 kept_bytes: 1000000
  max_connections: 20000 max_body: 65536 first_byte_ms: 3600000 head_ms: 60000 body_ms: 60000 idle_ms: 3600000 }
classes { name: "quote" effect: SAFE aim_ms: 1000 deadline_ms: 5000 worth: 1 }
functions { name: "f-*" class: "quote" memory_mb: 1 lanes: 1000 }
clients { name: "shop" keys: %q }
discovery { file: %q cluster: "c" poll_ms: 1000 }
limits { attempts: 3 open: 20000 cancel: true dial_ms: 1000 keep_alive_ms: 3600000 }
loading { orders: false on_miss: LOAD idle_life_ms: 3600000 answer_ms: 5000 warm_notes: true }
guarantees { drain_grace_ms: 500 cold_share: 0.2 cold_ms: 1000 fall_factor: 2 fall_within_ms: 1000 }
log { no_requests: true }`, dir, secret, filepath.Join(dir, "list.json"))
}

func start(t testing.TB, addrs []string) *controller.Controller {
	t.Helper()
	dir := t.TempDir()
	var l []gateway.Worker
	for i, a := range addrs {
		l = append(l, gateway.Worker{Name: fmt.Sprint("w", i), Network: "tcp", Addr: a, State: scheduler.Ready, Size: 1})
	}
	list, err := discovery.MarshalAssignment("c", l)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "list.json"), list, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	var c config.Config
	f, err := config.Parse("c", []byte(text(dir)), &c)
	if err != nil {
		t.Fatal(err)
	}
	b, err := config.Build(f, &c)
	if err != nil {
		t.Fatal(err)
	}
	ctl, err := controller.Start(b, controller.Options{Clock: clock.System(), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ctl.Kill)
	return ctl
}

// unsigned is the gateway behind a front that verifies nothing: what signatures cost is the difference.
func unsigned(t testing.TB, addrs []string) string {
	ctl := start(t, addrs)
	fns, err := gateway.NewFunctions(ctl.Gateway, []gateway.FunctionSpec{{Name: "g-*", Lanes: 1000, MemoryMB: 1, MaxNames: 100}})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http1.Server{MaxConnections: 20000, Limits: http1.Limits{IdleTimeout: time.Hour, FirstByteTimeout: time.Hour}, Handler: http1.HandlerFunc(func(c *http1.Conn, r *http1.Request) *http1.Response {
		done := make(chan struct{})
		var a gateway.Answer
		id, ok := ctl.Gateway.Submit(&gateway.Call{Function: fns.Find("g" + r.Path()[len("/call/f"):]), Body: r.Body, TimeLeft: 5 * time.Second,
			Deliver: func(got gateway.Answer) { a = got; c.Wake(); close(done) }})
		if !ok {
			return &http1.Response{Status: 503}
		}
		if c.Await(done) {
			ctl.Gateway.Cancel(id)
			return nil
		}
		if a.Kind != gateway.Served {
			return &http1.Response{Status: 503}
		}
		return &http1.Response{Status: 200, Body: a.Body}
	})}
	go s.Serve(ln)
	t.Cleanup(func() { ln.Close(); s.Abort() })
	return ln.Addr().String()
}

// proxy is the peer; with signatures it verifies by the specification's own library.
func proxy(t testing.TB, addrs []string, verify bool) string {
	var next atomic.Uint64
	p := &httputil.ReverseProxy{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Hour}, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: addrs[next.Add(1)%uint64(len(addrs))]})
	}}
	wh, err := standard.NewWebhook(secret)
	if err != nil {
		t.Fatal(err)
	}
	h := http.Handler(p)
	if verify {
		h = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err == nil {
				err = wh.Verify(body, r.Header)
			}
			if err != nil {
				w.WriteHeader(401)
				return
			}
			r.Body = io.NopCloser(newReader(body))
			p.ServeHTTP(w, r)
		})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

type reader struct {
	b []byte
}

func newReader(b []byte) *reader { return &reader{b} }

func (r *reader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}

// A client sends signed calls on one connection.
type client struct {
	nc  net.Conn
	br  *bufio.Reader
	key *signing.Key
	n   int
	id  string
	buf []byte
}

var limits = http1.Limits{}.WithDefaults()
var clients atomic.Int64

func dialClient(t testing.TB, addr string) *client {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k, err := signing.ParseKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	return &client{nc: nc, br: bufio.NewReaderSize(nc, 4096), key: k, id: fmt.Sprint("c", clients.Add(1), "-")}
}

var callBody = []byte(`{"campsite":"lake-7","from":"2026-07-01","nights":7}`)

func (c *client) call(t testing.TB) bool {
	c.n++
	m := signing.Message{ID: c.id + strconv.Itoa(c.n), Timestamp: strconv.FormatInt(time.Now().Unix(), 10), Body: callBody}
	s, err := c.key.Sign(m)
	if err != nil {
		t.Fatal(err)
	}
	c.buf = http1.AppendRequest(c.buf[:0], &http1.Request{Method: "POST", Target: "/call/f-" + strconv.Itoa(c.n%functions), Body: callBody, Header: http1.Header{
		{Name: "Host", Value: "x"}, {Name: "Content-Type", Value: "application/json"}, {Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Timestamp}, {Name: "webhook-signature", Value: s}}})
	if _, err := c.nc.Write(c.buf); err != nil {
		t.Error(err)
		return false
	}
	resp, err := http1.ReadResponse(c.br, &limits, "POST")
	if err != nil {
		t.Error(err)
		return false
	}
	if resp.Status != 200 {
		t.Errorf("%d %s", resp.Status, resp.Body)
	}
	return resp.Status == 200
}

// closed runs n connections, each with the next call right after the last answer.
func closed(t testing.TB, addr string, conns int, d time.Duration) (perSecond float64, allocs float64) {
	var l []*client
	for range conns {
		l = append(l, dialClient(t, addr))
	}
	for _, c := range l[:min(conns, 2*functions)] { // warm
		for range functions {
			c.call(t)
		}
	}
	var n atomic.Int64
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	end := time.Now().Add(d)
	start := time.Now()
	for _, c := range l {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.nc.Close()
			for time.Now().Before(end) && c.call(t) {
				n.Add(1)
			}
		}()
	}
	wg.Wait()
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(n.Load()) / took.Seconds(), float64(after.Mallocs-before.Mallocs) / float64(n.Load())
}

// open runs calls at a rate, each timed from when it should have started.
func open(t testing.TB, addr string, conns int, rate float64, d time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	var mu sync.Mutex
	jobs := make(chan time.Time, 100000)
	var wg sync.WaitGroup
	for range conns {
		c := dialClient(t, addr)
		for range functions {
			c.call(t)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.nc.Close()
			for at := range jobs {
				if c.call(t) {
					mu.Lock()
					h.RecordValue(int64(time.Since(at) / time.Microsecond))
					mu.Unlock()
				}
			}
		}()
	}
	start := time.Now()
	for i := 0; ; i++ {
		at := start.Add(time.Duration(float64(i) / rate * 1e9))
		if at.Sub(start) > d {
			break
		}
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		jobs <- at
	}
	close(jobs)
	wg.Wait()
	return h
}

const rounds = 3

// BenchmarkCalls: calls a second, ours and the peer's by turns; best of three rounds each.
func BenchmarkCalls(b *testing.B) {
	addrs := workers(b, 4)
	ctl := start(b, addrs)
	peers := []struct{ name, ours, theirs string }{{"signed", ctl.Addr(), proxy(b, addrs, true)}, {"unsigned", unsigned(b, addrs), proxy(b, addrs, false)}}
	for _, p := range peers {
		for _, conns := range []int{1, 64, 1000} {
			b.Run(fmt.Sprintf("%s/%d", p.name, conns), func(b *testing.B) {
				for b.Loop() {
					var ours, theirs, ourAllocs, theirAllocs float64
					for range rounds {
						v, a := closed(b, p.ours, conns, time.Second)
						ours, ourAllocs = max(ours, v), a
						v, a = closed(b, p.theirs, conns, time.Second)
						theirs, theirAllocs = max(theirs, v), a
					}
					b.ReportMetric(ours, "calls/s")
					b.ReportMetric(theirs, "peer-calls/s")
					b.ReportMetric(ours/theirs, "ratio")
					b.ReportMetric(ourAllocs, "allocs/call")
					b.ReportMetric(theirAllocs, "peer-allocs/call")
				}
			})
		}
	}
}

// BenchmarkAdded: time added at half of what the slower of the two can do, over calling a worker directly.
func BenchmarkAdded(b *testing.B) {
	addrs := workers(b, 4)
	ours, theirs := start(b, addrs).Addr(), proxy(b, addrs, true)
	for b.Loop() {
		a, _ := closed(b, ours, 64, time.Second)
		c, _ := closed(b, theirs, 64, time.Second)
		rate := min(a, c) / 2
		var h [3][]float64
		for range rounds {
			for i, addr := range []string{addrs[0], ours, theirs} {
				got := open(b, addr, 64, rate, 2*time.Second)
				h[i] = append(h[i], float64(got.ValueAtQuantile(50)), float64(got.ValueAtQuantile(99)))
			}
		}
		least := func(i, q int) float64 { return min(h[i][q], h[i][q+2], h[i][q+4]) }
		for q, name := range []string{"p50", "p99"} {
			direct := least(0, q)
			b.ReportMetric(least(1, q)-direct, "µs-added-"+name)
			b.ReportMetric(least(2, q)-direct, "µs-peer-added-"+name)
		}
		b.ReportMetric(rate, "calls/s")
	}
}

// TestMain is also the process that holds the far ends of idle connections.
func TestMain(m *testing.M) {
	addr, n := os.Getenv("BENCH_IDLE"), 0
	if addr == "" {
		os.Exit(m.Run())
	}
	fmt.Sscan(os.Getenv("BENCH_CONNS"), &n)
	var l []net.Conn
	for range n {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		var b [4096]byte
		nc.Read(b[:])
		l = append(l, nc)
	}
	fmt.Println("ready")
	io.Copy(io.Discard, os.Stdin)
	runtime.KeepAlive(l)
	os.Exit(0)
}

// BenchmarkIdle: memory for ten thousand idle connections, each after one call.
func BenchmarkIdle(b *testing.B) {
	const conns = 10000
	addrs := workers(b, 1)
	measure := func(addr string) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		// The other ends are another process's: file descriptors are few, and its memory is not ours.
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "BENCH_IDLE="+addr, "BENCH_CONNS="+strconv.Itoa(conns))
		in, err := c.StdinPipe()
		if err != nil {
			b.Fatal(err)
		}
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			b.Fatal(err)
		}
		if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || line != "ready\n" {
			b.Fatal(line, err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		in.Close()
		c.Wait()
		return float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse) / conns
	}
	for b.Loop() {
		b.ReportMetric(measure(start(b, addrs).Addr()), "bytes/conn")
		b.ReportMetric(measure(proxy(b, addrs, true)), "peer-bytes/conn")
	}
}
