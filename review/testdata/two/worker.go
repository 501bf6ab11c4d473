package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A fleet is a set of stand-in workers that share a list of the keys that they have seen. They
// speak the Open Inference Protocol as docs/gateway.md has it, load at once, and echo the body.
type fleet struct {
	bench  *bench
	work   time.Duration // how long a call runs
	window time.Duration // for how long repeats of a key are dropped
	quiet  bool          // runs are not recorded
	reply  string        // answer to all calls; "": the body of the call

	mu   sync.Mutex
	runs []effect
	keys map[string]time.Time // when a key was first run
}

// An effect is one effect: a call that a worker has run.
type effect struct {
	at                time.Time
	worker, key, body string
}

// listen starts a worker and returns its address.
func (f *fleet) listen(name string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(name, w, r) }), IdleTimeout: time.Minute}
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

func (f *fleet) serve(name string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Host != name:
		w.WriteHeader(421)
	case r.URL.Path == "/v2/repository/index":
		io.WriteString(w, "[]")
	case strings.HasSuffix(r.URL.Path, "/infer"):
		f.infer(name, w, r, body)
	}
}

func (f *fleet) infer(name string, w http.ResponseWriter, r *http.Request, body []byte) {
	if n, err := strconv.Atoi(r.Header.Get("Inference-Header-Content-Length")); err == nil && n <= len(body) {
		body = body[n:]
	}
	if key := r.Header.Get("Idempotency-Key"); f.isNew(key) {
		f.ran(name, key, string(body))
		f.mu.Lock()
		work := f.work
		f.mu.Unlock()
		time.Sleep(work)
	} else {
		f.bench.notef("%s drops a repeat of key %s", name, key)
	}
	if f.reply != "" {
		body = []byte(f.reply)
	}
	head, _ := json.Marshal(map[string]any{"outputs": []any{map[string]any{
		"name": "body", "shape": []int{1}, "datatype": "BYTES",
		"parameters": map[string]any{"binary_data_size": len(body)},
	}}})
	if digest := r.Header.Get("kitehub-digest"); digest != "" {
		w.Header().Set("kitehub-digest", digest)
	}
	w.Header().Set("Inference-Header-Content-Length", strconv.Itoa(len(head)))
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(body)))
	w.Write(head)
	w.Write(body)
}

// isNew reports whether a key was not run within the window, and if so remembers it. A call without
// a key is always new.
func (f *fleet) isNew(key string) bool {
	if key == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.keys[key]; ok && time.Since(at) < f.window {
		return false
	}
	if f.keys == nil {
		f.keys = map[string]time.Time{}
	}
	f.keys[key] = time.Now()
	return true
}

func (f *fleet) ran(worker, key, body string) {
	if f.quiet {
		return
	}
	f.mu.Lock()
	f.runs = append(f.runs, effect{time.Now(), worker, key, body})
	f.mu.Unlock()
	if len(body) > 60 {
		body = body[:60] + "…"
	}
	f.bench.notef("%s runs key %q body %s", worker, key, body)
}

// runsOf returns the effects of the calls whose body is the given one.
func (f *fleet) runsOf(body string) (runs []effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.body == body {
			runs = append(runs, r)
		}
	}
	return runs
}

// workerList returns a ClusterLoadAssignment with workers by name and address, in the given order.
func workerList(workers ...[2]string) string {
	var endpoints []any
	for _, w := range workers {
		host, port, _ := net.SplitHostPort(w[1])
		n, _ := strconv.Atoi(port)
		endpoints = append(endpoints, map[string]any{
			"endpoint":     map[string]any{"hostname": w[0], "address": map[string]any{"socketAddress": map[string]any{"address": host, "portValue": n}}},
			"healthStatus": "HEALTHY", "loadBalancingWeight": 1,
			"metadata": map[string]any{"filterMetadata": map[string]any{"kitehub": map[string]any{"group": "g", "kind": "std"}}},
		})
	}
	text, _ := json.MarshalIndent(map[string]any{
		"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", "clusterName": "workers",
		"endpoints": []any{map[string]any{"locality": map[string]any{}, "lbEndpoints": endpoints}},
	}, "", " ")
	return fmt.Sprintf("%s\n", text)
}
