package fakeworker

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/backend"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/http1"
)

// newRequest returns the id of a new call or load order and the channel that receives its end.
func (h *Host) newRequest() (uint64, chan workersim.Event) {
	ch := make(chan workersim.Event, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	h.pending[h.nextID] = ch
	return h.nextID, ch
}

// await waits for an event. It returns false if the other end closes the connection first.
func await(c *http1.Conn, ch chan workersim.Event) (workersim.Event, bool) {
	var e workersim.Event
	done := make(chan struct{})
	quit := make(chan struct{})
	defer close(quit)
	go func() {
		select {
		case e = <-ch:
			c.Wake()
			close(done)
		case <-quit:
		}
	}()
	if c.Await(done) {
		return workersim.Event{}, false
	}
	c.Rearm()
	return e, true
}

// waitWhileSilent blocks while the worker is silent. It returns false if the other end closes the
// connection first.
func (w *worker) waitWhileSilent(c *http1.Conn) bool {
	silent, _ := w.state()
	if silent == nil {
		return true
	}
	done, quit := make(chan struct{}), make(chan struct{})
	defer close(quit)
	go func() {
		select {
		case <-silent:
			c.Wake()
			close(done)
		case <-quit:
		}
	}()
	if c.Await(done) {
		return false
	}
	c.Rearm()
	return true
}

func (w *worker) serve(c *http1.Conn, r *http1.Request) *http1.Response {
	if !w.waitWhileSilent(c) {
		return nil
	}
	if r.Header.Get("Host") != w.name { // the port belonged to another worker when the list was written
		return problem(421, "urn:kitehub:problem:misdirected")
	}
	path := r.Path()
	switch {
	case path == "/v2/health/ready" || path == "/v2/health/live":
		return w.withLoadReport(&http1.Response{Status: 200}, nil, 0)
	case path == "/v2/repository/index":
		return w.models()
	}
	part := strings.Split(path, "/")
	if len(part) == 5 && part[1] == "v2" && part[2] == "models" && part[4] == "infer" {
		if name, err := url.PathUnescape(part[3]); err == nil {
			return w.infer(c, r, name)
		}
	}
	if len(part) == 6 && part[1] == "v2" && part[2] == "repository" && part[3] == "models" {
		if name, err := url.PathUnescape(part[4]); err == nil {
			switch part[5] {
			case "load":
				return w.load(c, r, name)
			case "unload":
				w.host.Do(func(f *workersim.Fleet) { f.Unload(w.index, name) })
				return &http1.Response{Status: 200}
			}
		}
	}
	return problem(404, "urn:kitehub:problem:path")
}

func problem(status int, kind string) *http1.Response {
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: "application/problem+json"}},
		Body: []byte(`{"type":"` + kind + `","status":` + strconv.Itoa(status) + `}`)}
}

// withLoadReport adds a load report to a response. The event, which may be nil, gives the state of
// the copy that served the call.
func (w *worker) withLoadReport(resp *http1.Response, e *workersim.Event, copies int) *http1.Response {
	var report workersim.Report
	w.host.Do(func(f *workersim.Fleet) { report = f.Report(w.index) })
	value := fmt.Sprintf("TEXT cpu_utilization=%.3f, named_metrics.queue=%d, named_metrics.inflight=%d, named_metrics.x0=%.3f, named_metrics.x1=%d",
		report.Utilization, report.Queue, report.InFlight, report.Memory, report.Loads)
	if e != nil {
		value += fmt.Sprintf(", named_metrics.copy=%d, named_metrics.alike=%d", e.CopyState, e.SameFunction)
	}
	if copies > 0 {
		value += fmt.Sprintf(", named_metrics.copies=%d", copies)
	}
	resp.Header.Add(backend.HeaderLoadReport, value)
	return resp
}

// models returns the repository index: the functions that are loaded, with their copies.
func (w *worker) models() *http1.Response {
	type model struct {
		Name   string `json:"name"`
		State  string `json:"state"`
		Copies int    `json:"copies"`
	}
	loaded := []model{}
	w.host.Do(func(f *workersim.Fleet) {
		for _, fn := range w.host.cfg.Functions {
			if n := f.Copies(w.index, fn.Name); n > 0 {
				loaded = append(loaded, model{fn.Name, "READY", n})
			}
		}
	})
	body, _ := json.Marshal(loaded)
	return w.withLoadReport(&http1.Response{Status: 200, Body: body}, nil, 0)
}

// controllerName returns the name of the controller that sent a request, from its user agent.
func controllerName(r *http1.Request) string {
	return strings.TrimPrefix(r.Header.Get("User-Agent"), "kitehub/")
}

// load handles a load order: it waits until the copies are loaded or cannot be.
func (w *worker) load(c *http1.Conn, r *http1.Request, name string) *http1.Response {
	fn := w.host.function(name)
	var order struct {
		Parameters struct {
			Copies int    `json:"copies"`
			Digest string `json:"digest"`
		} `json:"parameters"`
	}
	if fn == nil || len(r.Body) > 0 && json.Unmarshal(r.Body, &order) != nil {
		return problem(400, "urn:kitehub:problem:load")
	}
	copies := max(1, order.Parameters.Copies)
	w.host.cfg.Trace.Add(trace.Record{Kind: trace.LoadOrdered, Worker: w.name, Controller: controllerName(r), Function: name, Copies: copies})
	if fn.Versions && w.ensureVersion(fn, order.Parameters.Digest) == "" {
		return w.withLoadReport(problem(500, "urn:kitehub:problem:load-failed"), nil, 0)
	}
	id, ch := w.host.newRequest()
	w.host.Do(func(f *workersim.Fleet) { f.EnsureCopies(w.index, id, &fn.Function, copies) })
	e, ok := await(c, ch)
	if !ok || e.Outcome == workersim.Reset || !w.waitWhileSilent(c) {
		return nil
	}
	switch e.Outcome {
	case workersim.OK:
		return w.withLoadReport(&http1.Response{Status: 200}, nil, e.Copies)
	case workersim.AtCapacity:
		return w.withLoadReport(problem(503, backend.ProblemAtCapacity), nil, e.Copies)
	}
	return w.withLoadReport(problem(500, "urn:kitehub:problem:load-failed"), nil, e.Copies)
}

// function returns the function of a name, which may be "model@version"; nil if it is unknown.
func (h *Host) function(name string) *FunctionConfig {
	if fn := h.functions[name]; fn != nil {
		return fn
	}
	model, _, ok := strings.Cut(name, "@")
	fn := h.functions[model]
	if !ok || fn == nil || !fn.Versions {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := h.versions[name]; v != nil {
		return v
	}
	v := *fn
	v.Name = name
	h.versions[name] = &v
	return &v
}

// ServeStaleVersion makes a worker run the bytes of a digest under the name of another version
// instead of rejecting the call, as a worker that was unreachable for a while does with old bytes.
// Its responses name the digest that ran.
func (h *Host) ServeStaleVersion(worker, name, digest string) {
	w := h.worker(worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.digests[name], w.servesStale = digest, true
}

// ensureVersion fetches a version unless the worker has it, and returns the digest of the bytes
// that calls run; "" if the version is not available.
func (w *worker) ensureVersion(fn *FunctionConfig, digest string) string {
	if !fn.Versions {
		return ""
	}
	w.mu.Lock()
	have, stale := w.digests[fn.Name], w.servesStale
	w.mu.Unlock()
	if have != "" && (have == digest || stale) {
		return have
	}
	model, _, _ := strings.Cut(fn.Name, "@")
	if digest == "" || w.host.cfg.Fetch == nil {
		return ""
	}
	if err := w.host.cfg.Fetch(w.name, model, digest); err != nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.digests[fn.Name] = digest
	return digest
}

// infer runs one call in the fleet model and responds with its outcome.
func (w *worker) infer(c *http1.Conn, r *http1.Request, name string) *http1.Response {
	fn := w.host.function(name)
	traceparent := strings.Split(r.Header.Get(backend.HeaderTraceParent), "-")
	if fn == nil || len(traceparent) != 4 {
		return problem(404, backend.ProblemNotLoaded)
	}
	body := callBody(r)
	rec := trace.Record{Kind: trace.RequestRead, Worker: w.name, Controller: controllerName(r), Request: traceparent[1], Attempt: traceparent[2],
		Class: fn.Class, Function: name, Key: r.Header.Get(backend.HeaderIdempotencyKey)}
	w.host.cfg.Trace.Add(rec)
	if fn.Versions {
		if rec.Digest = w.ensureVersion(fn, r.Header.Get(backend.HeaderDigest)); rec.Digest == "" {
			return w.withLoadReport(problem(404, backend.ProblemNotLoaded), &workersim.Event{CopyState: loadFailedState}, 0) // nothing ran
		}
		w.mu.Lock()
		if w.servesStale {
			rec.Note = "lie" // expected: the check is that no client receives its answer
		}
		w.mu.Unlock()
	}
	e, ok := w.run(c, fn, rec, workSeconds(fn, body))
	if !ok {
		return nil
	}
	rec.Kind, rec.At, rec.Outcome = trace.ResponseSent, 0, string(e.Outcome)
	w.host.cfg.Trace.Add(rec)
	return w.applyFault(c, w.withLoadReport(inferResponse(name, body, rec.Digest, &e), &e, 0))
}

// loadFailedState is the state of a copy, in a load report, whose load failed.
const loadFailedState = 4

// callBody returns the bytes of the call, which follow the JSON head of the inference request if it
// has one.
func callBody(r *http1.Request) []byte {
	if n, err := strconv.Atoi(r.Header.Get(backend.HeaderJSONLength)); err == nil && n >= 0 && n <= len(r.Body) {
		return r.Body[n:]
	}
	return r.Body
}

// workSeconds returns the seconds of work that a call asks for, or the mean of its function.
func workSeconds(fn *FunctionConfig, body []byte) float64 {
	var params struct {
		WorkMS float64 `json:"work_ms"`
	}
	json.Unmarshal(body, &params)
	if params.WorkMS > 0 {
		return params.WorkMS / 1000
	}
	return fn.Work.Seconds()
}

// run runs a call in the fleet model and waits for its end. It returns false if the connection or
// the worker ends first.
func (w *worker) run(c *http1.Conn, fn *FunctionConfig, rec trace.Record, work float64) (e workersim.Event, ok bool) {
	id, ch := w.host.newRequest()
	w.host.mu.Lock()
	w.host.calls[id] = rec
	fails := w.host.failingClasses[fn.Class]
	w.host.mu.Unlock()
	call := workersim.Call{ID: id, Function: &fn.Function, Work: work, MeanWork: fn.Work.Seconds(), Fails: fails}
	if fn.Keyed {
		call.Key = rec.Key
	}
	w.host.Do(func(f *workersim.Fleet) { f.Call(w.index, call) })
	e, ok = await(c, ch)
	if ok && e.Outcome != workersim.Reset {
		ok = w.waitWhileSilent(c)
	}
	if !ok {
		rec.Kind, rec.At = trace.ClientClosed, 0
		w.host.cfg.Trace.Add(rec)
		w.host.Do(func(f *workersim.Fleet) { f.Cancel(w.index, id) })
		return e, false
	}
	if e.Outcome == workersim.Reset {
		c.Reset()
		return e, false
	}
	return e, true
}

// inferResponse returns the response to a call: its own body if it was served, and a problem
// otherwise.
func inferResponse(name string, body []byte, digest string, e *workersim.Event) *http1.Response {
	switch e.Outcome {
	case workersim.OK:
		head := `{"model_name":"` + name + `","outputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":` +
			strconv.Itoa(len(body)) + `}}]}`
		resp := &http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/octet-stream"},
			{Name: backend.HeaderJSONLength, Value: strconv.Itoa(len(head))}}, Body: append([]byte(head), body...)}
		if digest != "" {
			resp.Header.Add(backend.HeaderDigest, digest)
		}
		return resp
	case workersim.AtCapacity:
		return problem(503, backend.ProblemAtCapacity)
	}
	return problem(500, "urn:kitehub:problem:"+string(e.Outcome))
}

// applyFault writes a response as the worker's fault corrupts it and returns nil. Without a fault
// it returns the response.
func (w *worker) applyFault(c *http1.Conn, resp *http1.Response) *http1.Response {
	_, f := w.state()
	whole := http1.AppendResponse(nil, resp, false)
	switch f {
	case TruncatedResponse:
		c.Write(whole[:len(whole)/2])
		c.Reset()
	case Garbage:
		c.Write([]byte("\x00\xff\x16\x03 this is not the protocol that you asked for\r\n\r\n"))
	case DuplicateResponse:
		c.Write(append(whole, whole...))
	case OverlongBody:
		c.Write(append(whole, "and some more that no length tells of"...))
	case HugeBody:
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"))
	case ByteAtATime:
		for i := range whole {
			if _, err := c.Write(whole[i : i+1]); err != nil {
				return nil
			}
			select {
			case <-time.After(time.Second):
			case <-w.host.closed:
				return nil
			}
		}
	default:
		return resp
	}
	return nil
}
