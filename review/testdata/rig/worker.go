package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Run is one run of a call at a worker.
type Run struct {
	Function string
	Body     string
	At       time.Time
}

// A Worker is a stand-in worker: it speaks the Open Inference Protocol, loads copies on demand, runs
// every call that arrives, and answers with the name of the function that ran.
type Worker struct {
	Name string
	Load time.Duration // how long a load takes
	Work time.Duration // how long a call runs

	c      *Case
	ln     net.Listener
	mu     sync.Mutex
	copies map[string]chan struct{} // closed when the copy stands, by function
	runs   []Run
}

// StartWorker starts a worker on a free port.
func (c *Case) StartWorker(name string, load, work time.Duration) *Worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	w := &Worker{Name: name, Load: load, Work: work, c: c, ln: ln, copies: map[string]chan struct{}{}}
	go http.Serve(ln, w)
	return w
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// load loads a copy of a function unless there is one, and returns when it stands.
func (w *Worker) load(function string) (loaded bool) {
	w.mu.Lock()
	standing := w.copies[function]
	if standing == nil {
		standing = make(chan struct{})
		w.copies[function] = standing
		w.mu.Unlock()
		w.c.Log("%s loads %s", w.Name, function)
		time.Sleep(w.Load)
		close(standing)
		w.c.Log("%s has loaded %s", w.Name, function)
		return true
	}
	w.mu.Unlock()
	<-standing
	return false
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	part := strings.Split(r.URL.EscapedPath(), "/")
	switch {
	case r.URL.Path == "/v2/health/ready":
		out.Header().Set("endpoint-load-metrics", "TEXT named_metrics.inflight=0,named_metrics.queue=0")
	case r.URL.Path == "/v2/repository/index":
		w.index(out)
	case len(part) == 5 && part[4] == "infer":
		w.infer(out, r, unescape(part[3]), body)
	case len(part) == 6 && part[5] == "load":
		w.load(unescape(part[4]))
		out.Header().Set("endpoint-load-metrics", "TEXT named_metrics.copies=1")
	case len(part) == 6 && part[5] == "unload":
		w.mu.Lock()
		delete(w.copies, unescape(part[4]))
		w.mu.Unlock()
	default:
		out.WriteHeader(404)
	}
}

func unescape(s string) string {
	name, _ := url.PathUnescape(s)
	return name
}

func (w *Worker) index(out http.ResponseWriter) {
	type model struct {
		Name   string `json:"name"`
		State  string `json:"state"`
		Copies int    `json:"copies"`
	}
	list := []model{}
	w.mu.Lock()
	for name := range w.copies {
		list = append(list, model{name, "READY", 1})
	}
	w.mu.Unlock()
	json.NewEncoder(out).Encode(list)
}

func (w *Worker) infer(out http.ResponseWriter, r *http.Request, function string, body []byte) {
	if n, err := strconv.Atoi(r.Header.Get("Inference-Header-Content-Length")); err == nil && n <= len(body) {
		body = body[n:]
	}
	note := 1 // a copy stood
	if w.load(function) {
		note = 2 // this call began a load
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{function, string(body), time.Now()})
	w.mu.Unlock()
	w.c.Log("%s runs %s with %.80s", w.Name, function, body)
	time.Sleep(w.Work)
	answer := fmt.Sprintf(`{"ran":%q}`, function)
	head := fmt.Sprintf(`{"model_name":%q,"outputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":%d}}]}`,
		function, len(answer))
	h := out.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Inference-Header-Content-Length", strconv.Itoa(len(head)))
	h.Set("endpoint-load-metrics", fmt.Sprintf("TEXT named_metrics.copy=%d,named_metrics.alike=0,named_metrics.inflight=1,named_metrics.queue=0", note))
	if digest := r.Header.Get("kitehub-digest"); digest != "" {
		h.Set("kitehub-digest", digest)
	}
	io.WriteString(out, head+answer)
}

// List returns the list of these workers for discovery.file.
func List(workers ...*Worker) string {
	var endpoints []string
	for _, w := range workers {
		endpoints = append(endpoints, fmt.Sprintf(`{"endpoint":{"hostname":%q,"address":{"socketAddress":{"address":"127.0.0.1","portValue":%d}}},`+
			`"healthStatus":"HEALTHY","loadBalancingWeight":1,"metadata":{"filterMetadata":{"kitehub":{"group":"g","kind":"std"}}}}`,
			w.Name, w.ln.Addr().(*net.TCPAddr).Port))
	}
	return `{"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","clusterName":"workers",` +
		`"endpoints":[{"locality":{},"lbEndpoints":[` + strings.Join(endpoints, ",") + `]}]}`
}
