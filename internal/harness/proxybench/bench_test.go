// Package proxybench compares the gateway with httputil.ReverseProxy in front of the same simulated
// workers. Both run alternately in one process, so that the ratio hardly depends on the machine. It
// has no tests; docs/gateway.md has results.
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

// startWorkers starts workers that respond at once, so that the cost of the gateway or proxy in
// front of them dominates.
func startWorkers(t testing.TB, n int) (addrs []string) {
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

const functionCount = 16

// configText returns the configuration file of the controller.
func configText(dir string) string {
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

// startController starts a controller in front of the workers.
func startController(t testing.TB, addrs []string) *controller.Controller {
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
	f, err := config.Parse("c", []byte(configText(dir)), &c)
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

// startUnsignedGateway starts the gateway behind a front that does not verify signatures, and
// returns its address. The difference to the webhook front is the cost of signatures.
func startUnsignedGateway(t testing.TB, addrs []string) string {
	ctl := startController(t, addrs)
	functionTable, err := gateway.NewFunctions(ctl.Gateway, []gateway.FunctionSpec{{Name: "g-*", Lanes: 1000, MemoryMB: 1, MaxNames: 100}})
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
		id, ok := ctl.Gateway.Submit(&gateway.Call{Function: functionTable.Find("g" + r.Path()[len("/call/f"):]), Body: r.Body, TimeLeft: 5 * time.Second,
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

// startProxy starts the reverse proxy, the peer in the comparison, and returns its address. With
// verify it checks signatures with the reference library of the Standard Webhooks specification.
func startProxy(t testing.TB, addrs []string, verify bool) string {
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
			r.Body = io.NopCloser(newBodyReader(body))
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

// A bodyReader reads a body that is in memory.
type bodyReader struct {
	b []byte
}

func newBodyReader(b []byte) *bodyReader { return &bodyReader{b} }

func (r *bodyReader) Read(p []byte) (int, error) {
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
var clientCount atomic.Int64

func dialClient(t testing.TB, addr string) *client {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	k, err := signing.ParseKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	return &client{nc: nc, br: bufio.NewReaderSize(nc, 4096), key: k, id: fmt.Sprint("c", clientCount.Add(1), "-")}
}

var callBody = []byte(`{"campsite":"lake-7","from":"2026-07-01","nights":7}`)

// call makes one call and reports whether it was served.
func (c *client) call(t testing.TB) bool {
	c.n++
	m := signing.Message{ID: c.id + strconv.Itoa(c.n), Timestamp: strconv.FormatInt(time.Now().Unix(), 10), Body: callBody}
	s, err := c.key.Sign(m)
	if err != nil {
		t.Fatal(err)
	}
	c.buf = http1.AppendRequest(c.buf[:0], &http1.Request{Method: "POST", Target: "/call/f-" + strconv.Itoa(c.n%functionCount), Body: callBody, Header: http1.Header{
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
		t.Errorf("status %d, want 200: %s", resp.Status, resp.Body)
	}
	return resp.Status == 200
}

// runClosedLoop makes calls on several connections, each of which starts the next call when the
// last one is answered. It returns the calls per second and the allocations per call.
func runClosedLoop(t testing.TB, addr string, conns int, d time.Duration) (perSecond float64, allocs float64) {
	var l []*client
	for range conns {
		l = append(l, dialClient(t, addr))
	}
	for _, c := range l[:min(conns, 2*functionCount)] { // warm up
		for range functionCount {
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

// runOpenLoop makes calls at a fixed rate and returns their latencies in µs, each from the intended
// start.
func runOpenLoop(t testing.TB, addr string, conns int, rate float64, d time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	var mu sync.Mutex
	jobs := make(chan time.Time, 100000)
	var wg sync.WaitGroup
	for range conns {
		c := dialClient(t, addr)
		for range functionCount {
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

// rounds is the number of measurements of each side, of which the best counts.
const rounds = 3

// BenchmarkCalls reports the calls per second of the gateway and of the proxy, which run
// alternately. The best of 3 rounds counts for each.
func BenchmarkCalls(b *testing.B) {
	addrs := startWorkers(b, 4)
	ctl := startController(b, addrs)
	pairs := []struct{ name, gateway, peer string }{{"signed", ctl.Addr(), startProxy(b, addrs, true)}, {"unsigned", startUnsignedGateway(b, addrs), startProxy(b, addrs, false)}}
	for _, p := range pairs {
		for _, conns := range []int{1, 64, 1000} {
			b.Run(fmt.Sprintf("%s/%d", p.name, conns), func(b *testing.B) {
				for b.Loop() {
					var gatewayRate, peerRate, gatewayAllocs, peerAllocs float64
					for range rounds {
						v, a := runClosedLoop(b, p.gateway, conns, time.Second)
						gatewayRate, gatewayAllocs = max(gatewayRate, v), a
						v, a = runClosedLoop(b, p.peer, conns, time.Second)
						peerRate, peerAllocs = max(peerRate, v), a
					}
					b.ReportMetric(gatewayRate, "calls/s")
					b.ReportMetric(peerRate, "peer-calls/s")
					b.ReportMetric(gatewayRate/peerRate, "ratio")
					b.ReportMetric(gatewayAllocs, "allocs/call")
					b.ReportMetric(peerAllocs, "peer-allocs/call")
				}
			})
		}
	}
}

// BenchmarkAddedLatency reports the latency that the gateway and the proxy add to calling a worker
// directly, at half of the rate that the slower of the two reaches.
func BenchmarkAddedLatency(b *testing.B) {
	addrs := startWorkers(b, 4)
	gatewayAddr, peerAddr := startController(b, addrs).Addr(), startProxy(b, addrs, true)
	for b.Loop() {
		a, _ := runClosedLoop(b, gatewayAddr, 64, time.Second)
		c, _ := runClosedLoop(b, peerAddr, 64, time.Second)
		rate := min(a, c) / 2
		var h [3][]float64
		for range rounds {
			for i, addr := range []string{addrs[0], gatewayAddr, peerAddr} {
				got := runOpenLoop(b, addr, 64, rate, 2*time.Second)
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

// TestMain runs the benchmarks. In a child process of BenchmarkIdleConnections, it opens the client
// ends of the idle connections instead and holds them until its standard input ends.
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

// BenchmarkIdleConnections reports the memory per idle connection, with 10,000 connections that
// have each made one call.
func BenchmarkIdleConnections(b *testing.B) {
	const conns = 10000
	addrs := startWorkers(b, 1)
	measure := func(addr string) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		// The client ends are in a child process, because file descriptors are limited and the
		// memory of the clients must not count.
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
			b.Fatalf("the child process printed %q, want ready: %v", line, err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		in.Close()
		c.Wait()
		return float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse) / conns
	}
	for b.Loop() {
		b.ReportMetric(measure(startController(b, addrs).Addr()), "bytes/conn")
		b.ReportMetric(measure(startProxy(b, addrs, true)), "peer-bytes/conn")
	}
}
