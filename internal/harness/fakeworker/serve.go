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

func (h *Host) newRequest() (uint64, chan workersim.Event) {
	ch := make(chan workersim.Event, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextID++
	h.waiting[h.nextID] = ch
	return h.nextID, ch
}

// await waits for an effect while watching the connection; false if the other end left first.
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

// hush blocks while the worker is silent; false if the other end left.
func (w *site) hush(c *http1.Conn) bool {
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

func (w *site) serve(c *http1.Conn, r *http1.Request) *http1.Response {
	if !w.hush(c) {
		return nil
	}
	if r.Header.Get("Host") != w.name { // the port was another worker's when the list was written
		return fault(421, "urn:kitehub:problem:misdirected")
	}
	path := r.Path()
	switch {
	case path == "/v2/health/ready" || path == "/v2/health/live":
		return w.reported(&http1.Response{Status: 200}, nil, 0)
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
				w.h.Do(func(f *workersim.Fleet) { f.Unload(w.index, name) })
				return &http1.Response{Status: 200}
			}
		}
	}
	return fault(404, "urn:kitehub:problem:path")
}

func fault(status int, kind string) *http1.Response {
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: "application/problem+json"}},
		Body: []byte(`{"type":"` + kind + `","status":` + strconv.Itoa(status) + `}`)}
}

// reported adds the load report.
func (w *site) reported(resp *http1.Response, e *workersim.Event, copies int) *http1.Response {
	var rep workersim.Report
	w.h.Do(func(f *workersim.Fleet) { rep = f.Report(w.index) })
	s := fmt.Sprintf("TEXT cpu_utilization=%.3f, named_metrics.queue=%d, named_metrics.inflight=%d, named_metrics.x0=%.3f, named_metrics.x1=%d",
		rep.Utilization, rep.Queue, rep.InFlight, rep.Memory, rep.Loads)
	if e != nil {
		s += fmt.Sprintf(", named_metrics.copy=%d, named_metrics.alike=%d", e.CopyState, e.SameFunction)
	}
	if copies > 0 {
		s += fmt.Sprintf(", named_metrics.copies=%d", copies)
	}
	resp.Header.Add(backend.HeaderLoadReport, s)
	return resp
}

func (w *site) models() *http1.Response {
	type line struct {
		Name   string `json:"name"`
		State  string `json:"state"`
		Copies int    `json:"copies"`
	}
	l := []line{}
	w.h.Do(func(f *workersim.Fleet) {
		for _, k := range w.h.cfg.Functions {
			if n := f.Copies(w.index, k.Name); n > 0 {
				l = append(l, line{k.Name, "READY", n})
			}
		}
	})
	body, _ := json.Marshal(l)
	return w.reported(&http1.Response{Status: 200, Body: body}, nil, 0)
}

// controller is who sent a request, by its user agent.
func controller(r *http1.Request) string {
	return strings.TrimPrefix(r.Header.Get("User-Agent"), "kitehub/")
}

func (w *site) load(c *http1.Conn, r *http1.Request, name string) *http1.Response {
	k := w.h.kind(name)
	var m struct {
		Parameters struct {
			Copies int    `json:"copies"`
			Digest string `json:"digest"`
		} `json:"parameters"`
	}
	if k == nil || len(r.Body) > 0 && json.Unmarshal(r.Body, &m) != nil {
		return fault(400, "urn:kitehub:problem:load")
	}
	copies := max(1, m.Parameters.Copies)
	w.h.cfg.Trace.Add(trace.Record{Kind: trace.LoadOrdered, Worker: w.name, Controller: controller(r), Function: name, Copies: copies})
	if k.Versions && w.proved(k, m.Parameters.Digest) == "" {
		return w.reported(fault(500, "urn:kitehub:problem:load-failed"), nil, 0)
	}
	id, ch := w.h.newRequest()
	w.h.Do(func(f *workersim.Fleet) { f.EnsureCopies(w.index, id, &k.Function, copies) })
	e, ok := await(c, ch)
	if !ok || e.Outcome == workersim.Reset || !w.hush(c) {
		return nil
	}
	switch e.Outcome {
	case workersim.OK:
		return w.reported(&http1.Response{Status: 200}, nil, e.Copies)
	case workersim.AtCapacity:
		return w.reported(fault(503, backend.ProblemAtCapacity), nil, e.Copies)
	}
	return w.reported(fault(500, "urn:kitehub:problem:load-failed"), nil, e.Copies)
}

// kind returns what a name is: a function, or a version of a model.
func (h *Host) kind(name string) *FunctionConfig {
	if k := h.kinds[name]; k != nil {
		return k
	}
	model, _, ok := strings.Cut(name, "@")
	k := h.kinds[model]
	if !ok || k == nil || !k.Versions {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := h.made[name]; v != nil {
		return v
	}
	v := *k
	v.Name = name
	h.made[name] = &v
	return &v
}

// ServeStaleVersion has a worker hold a version under the name of another, and say nothing of it when asked to run it: as one that comes
// back from silence with old bytes.
func (h *Host) ServeStaleVersion(worker, name, digest string) {
	w := h.site(worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded[name], w.corrupt = digest, true
}

// proved has the bytes of a version at the worker, and returns the digest of what will run; "" if it cannot be had.
func (w *site) proved(k *FunctionConfig, digest string) string {
	if !k.Versions {
		return ""
	}
	w.mu.Lock()
	have, lies := w.loaded[k.Name], w.corrupt
	w.mu.Unlock()
	if have != "" && (have == digest || lies) {
		return have
	}
	model, _, _ := strings.Cut(k.Name, "@")
	if digest == "" || w.h.cfg.Fetch == nil {
		return ""
	}
	if err := w.h.cfg.Fetch(w.name, model, digest); err != nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded[k.Name] = digest
	return digest
}

// infer runs one call in the model, and answers as it ended there.
func (w *site) infer(c *http1.Conn, r *http1.Request, name string) *http1.Response {
	k := w.h.kind(name)
	traceparent := strings.Split(r.Header.Get(backend.HeaderTraceParent), "-")
	if k == nil || len(traceparent) != 4 {
		return fault(404, backend.ProblemNotLoaded)
	}
	body := callBody(r)
	rec := trace.Record{Kind: trace.RequestRead, Worker: w.name, Controller: controller(r), Request: traceparent[1], Attempt: traceparent[2],
		Class: k.Class, Function: name, Key: r.Header.Get(backend.HeaderIdempotencyKey)}
	w.h.cfg.Trace.Add(rec)
	if k.Versions {
		if rec.Digest = w.proved(k, r.Header.Get(backend.HeaderDigest)); rec.Digest == "" {
			return w.reported(fault(404, backend.ProblemNotLoaded), &workersim.Event{CopyState: loadFailedNote}, 0) // nothing ran
		}
		w.mu.Lock()
		if w.corrupt {
			rec.Note = "lie" // on purpose: what is checked is that its answer goes nowhere
		}
		w.mu.Unlock()
	}
	e, ok := w.run(c, k, rec, workOf(k, body))
	if !ok {
		return nil
	}
	rec.Kind, rec.At, rec.Outcome = trace.ResponseSent, 0, string(e.Outcome)
	w.h.cfg.Trace.Add(rec)
	return w.wrong(c, w.reported(inferResponse(name, body, rec.Digest, &e), &e, 0))
}

// loadFailedNote is how a load report says that a load failed.
const loadFailedNote = 4

// callBody returns the call's own bytes: those behind the JSON head of the inference request, if it has one.
func callBody(r *http1.Request) []byte {
	if n, err := strconv.Atoi(r.Header.Get(backend.HeaderJSONLength)); err == nil && n >= 0 && n <= len(r.Body) {
		return r.Body[n:]
	}
	return r.Body
}

// workOf returns the seconds of work that a call asks for, or the mean of its kind.
func workOf(k *FunctionConfig, body []byte) float64 {
	var m struct {
		WorkMS float64 `json:"work_ms"`
	}
	json.Unmarshal(body, &m)
	if m.WorkMS > 0 {
		return m.WorkMS / 1000
	}
	return k.Work.Seconds()
}

// run has the model run a call, and waits for its end; false if the connection has ended before, or the worker.
func (w *site) run(c *http1.Conn, k *FunctionConfig, rec trace.Record, work float64) (e workersim.Event, ok bool) {
	id, ch := w.h.newRequest()
	w.h.mu.Lock()
	w.h.began[id] = rec
	fails := w.h.fails[k.Class]
	w.h.mu.Unlock()
	call := workersim.Call{ID: id, Function: &k.Function, Work: work, MeanWork: k.Work.Seconds(), Fails: fails}
	if k.Keyed {
		call.Key = rec.Key
	}
	w.h.Do(func(f *workersim.Fleet) { f.Call(w.index, call) })
	e, ok = await(c, ch)
	if ok && e.Outcome != workersim.Reset {
		ok = w.hush(c)
	}
	if !ok {
		rec.Kind, rec.At = trace.ClientClosed, 0
		w.h.cfg.Trace.Add(rec)
		w.h.Do(func(f *workersim.Fleet) { f.Cancel(w.index, id) })
		return e, false
	}
	if e.Outcome == workersim.Reset {
		c.Reset()
		return e, false
	}
	return e, true
}

// inferResponse echoes the body of a call that was served.
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
		return fault(503, backend.ProblemAtCapacity)
	}
	return fault(500, "urn:kitehub:problem:"+string(e.Outcome))
}

// wrong answers as the fault set for the worker has it.
func (w *site) wrong(c *http1.Conn, resp *http1.Response) *http1.Response {
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
			case <-w.h.end:
				return nil
			}
		}
	default:
		return resp
	}
	return nil
}
