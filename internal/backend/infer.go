package backend

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// Problem types (RFC 9457) by which a worker says that a call did not run. Nothing else counts as saying so.
const (
	ProblemFull = "urn:kitehub:problem:full"
	ProblemMiss = "urn:kitehub:problem:miss"
)

// The headers of the protocols spoken. The time left goes as Envoy's; the trace as W3C Trace Context has it.
const (
	HeaderJSONLength = "Inference-Header-Content-Length" // Open Inference Protocol, binary tensor data extension
	HeaderLoad       = "endpoint-load-metrics"           // ORCA
	HeaderTimeLeft   = "x-envoy-expected-rq-timeout-ms"
	HeaderKey        = "Idempotency-Key"
	HeaderTrace      = "traceparent"
	HeaderDigest     = "kitehub-digest" // of the bytes that are to run, and that ran
)

// An Attempt is one call of a function at a worker.
type Attempt struct {
	Worker   scheduler.WorkerID
	Call     string // the client's id of the call, for protocols that pass it on
	Class    string // its class's name, likewise
	Function string
	Trace    string // traceparent
	Key      string // repeats of it are dropped by the worker's group; "" for none
	Digest   string // of the bytes that are to run; "": any
	Body     []byte
	Timeout  time.Duration
	Wanted   func() bool // asked just before the first byte goes out; false ends it as Moot. nil: always
}

// A Result is how an attempt ended. Body is set where Outcome is OK.
type Result struct {
	Outcome scheduler.Outcome
	Took    time.Duration
	Note    scheduler.LoadNote
	Alike   int
	Report  []float64
	Body    []byte
	Digest  string // of the bytes that ran, as the worker says
	Status  int    // of the worker's answer, 0 if there was none
}

// A Running attempt can be cancelled, at any time and from any goroutine.
type Running interface{ Cancel() }

// Send starts an attempt; done is called once, on a goroutine of its own.
func (b *Backend) Send(a Attempt, done func(Result)) Running {
	x := &call{wanted: a.Wanted}
	go func() { done(b.infer(x, a)) }()
	return x
}

func (b *Backend) infer(x *call, a Attempt) Result {
	start := b.cfg.Clock.Now()
	p := b.peer(a.Worker)
	if p == nil {
		return Result{Outcome: scheduler.NotStarted}
	}
	head := make([]byte, 0, 192)
	head = append(head, `{"inputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":`...)
	head = strconv.AppendInt(head, int64(len(a.Body)), 10)
	head = append(head, `}}],"outputs":[{"name":"body","parameters":{"binary_data":true}}]}`...)
	req := &http1.Request{Method: "POST", Target: "/v2/models/" + url.PathEscape(a.Function) + "/infer"}
	req.Header = append(make(http1.Header, 0, 8), http1.Field{Name: "Host", Value: p.Name},
		http1.Field{Name: "User-Agent", Value: "kitehub/" + b.cfg.Controller},
		http1.Field{Name: "Content-Type", Value: "application/octet-stream"},
		http1.Field{Name: HeaderJSONLength, Value: strconv.Itoa(len(head))},
		http1.Field{Name: HeaderTimeLeft, Value: strconv.FormatInt(a.Timeout.Milliseconds(), 10)},
		http1.Field{Name: HeaderTrace, Value: a.Trace})
	if a.Key != "" {
		req.Header.Add(HeaderKey, a.Key)
	}
	if a.Digest != "" {
		req.Header.Add(HeaderDigest, a.Digest)
	}
	req.Body = append(head, a.Body...)
	resp, o := b.exchange(x, p, req, a.Timeout, false)
	res := Result{Outcome: o, Took: b.cfg.Clock.Now() - start}
	if o != scheduler.OK {
		return res
	}
	res.Status, res.Digest = resp.Status, resp.Header.Get(HeaderDigest)
	m := readLoad(resp.Header.Get(HeaderLoad))
	res.Report = m.report(b.cfg.Fields)
	res.Alike, res.Note = int(m.named["alike"]), scheduler.LoadNote(m.named["copy"])
	if res.Note < scheduler.NoLoadNote || res.Note > scheduler.LoadFailed {
		res.Note = scheduler.NoLoadNote
	}
	switch resp.Status {
	case 200:
		var ok bool
		if res.Body, ok = output(resp); !ok {
			res.Outcome = scheduler.Error
		}
	default:
		res.Outcome = saidBy(resp)
	}
	return res
}

// output takes the answer's one tensor out of a response, in binary or in JSON.
func output(resp *http1.Response) ([]byte, bool) {
	text, rest := resp.Body, []byte(nil)
	if v := resp.Header.Get(HeaderJSONLength); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > len(resp.Body) {
			return nil, false
		}
		text, rest = resp.Body[:n], resp.Body[n:]
	}
	var m struct {
		Outputs []struct {
			Parameters struct {
				Size *int `json:"binary_data_size"`
			} `json:"parameters"`
			Data []string `json:"data"`
		} `json:"outputs"`
	}
	if json.Unmarshal(text, &m) != nil || len(m.Outputs) == 0 {
		return nil, false
	}
	if n := m.Outputs[0].Parameters.Size; n != nil {
		if *n < 0 || *n > len(rest) {
			return nil, false
		}
		return rest[:*n], true
	}
	if len(m.Outputs[0].Data) != 1 {
		return nil, false
	}
	return []byte(m.Outputs[0].Data[0]), true
}

// saidBy reads what an answer other than 200 proves.
func saidBy(resp *http1.Response) scheduler.Outcome {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return scheduler.Error
	}
	var p struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(resp.Body, &p) != nil {
		return scheduler.Error
	}
	switch {
	case p.Type == ProblemFull && resp.Status == 503:
		return scheduler.AtCapacity
	case p.Type == ProblemMiss && resp.Status == 404:
		return scheduler.NotLoaded
	}
	return scheduler.Error
}

// An LoadOrder is a Hold of the module; Copies 0 only asks.
type LoadOrder struct {
	Worker   scheduler.WorkerID
	Function string
	Digest   string // of the bytes to load; "": the worker knows
	Copies   int
}

// LoadCopies starts an order; done is called once, on a goroutine of its own.
func (b *Backend) LoadCopies(o LoadOrder, done func(outcome scheduler.Outcome, copies int, took time.Duration)) {
	go func() {
		start := b.cfg.Clock.Now()
		outcome, copies := b.hold(o)
		done(outcome, copies, b.cfg.Clock.Now()-start)
	}()
}

func (b *Backend) hold(o LoadOrder) (scheduler.Outcome, int) {
	p := b.peer(o.Worker)
	if p == nil {
		return scheduler.NotStarted, 0
	}
	digest := ""
	if o.Digest != "" {
		digest = `,"digest":` + strconv.Quote(o.Digest)
	}
	req, within := b.post(p, "/v2/repository/index", []byte(`{"ready":true}`)), b.cfg.ProbeTimeout
	if o.Copies > 0 {
		req, within = b.post(p, "/v2/repository/models/"+url.PathEscape(o.Function)+"/load",
			[]byte(`{"parameters":{"copies":`+strconv.Itoa(o.Copies)+digest+`}}`)), b.cfg.OrderTimeout
	}
	resp, out := b.exchange(&call{}, p, req, within, o.Copies == 0)
	if out != scheduler.OK {
		return out, 0
	}
	if resp.Status != 200 {
		out = saidBy(resp)
		if out != scheduler.AtCapacity {
			out = scheduler.Error
		}
		return out, int(readLoad(resp.Header.Get(HeaderLoad)).named["copies"])
	}
	if o.Copies > 0 {
		return scheduler.OK, max(o.Copies, int(readLoad(resp.Header.Get(HeaderLoad)).named["copies"]))
	}
	n, ok := indexed(resp.Body, o.Function)
	if !ok {
		return scheduler.Error, 0
	}
	return scheduler.OK, n
}

// indexed finds how many copies of a function an index tells of: its "copies" parameter (ours), or one where
// it is just ready.
func indexed(body []byte, function string) (int, bool) {
	if !bytes.Contains(body, []byte(function)) {
		return 0, json.Valid(body)
	}
	var l []struct {
		Name, State string
		Copies      *int
	}
	if json.Unmarshal(body, &l) != nil {
		return 0, false
	}
	for _, m := range l {
		if m.Name == function && m.State == "READY" {
			if m.Copies != nil {
				return max(0, *m.Copies), true
			}
			return 1, true
		}
	}
	return 0, true
}

func (b *Backend) post(p *peer, target string, body []byte) *http1.Request {
	return &http1.Request{Method: "POST", Target: target, Body: body, Header: http1.Header{{Name: "Host", Value: p.Name},
		{Name: "User-Agent", Value: "kitehub/" + b.cfg.Controller}, {Name: "Content-Type", Value: "application/json"}}}
}

// Unload asks a worker to drop the idle copies of a function. Nothing is told of how that ends.
func (b *Backend) Unload(worker scheduler.WorkerID, function string) {
	if p := b.peer(worker); p != nil {
		req := b.post(p, "/v2/repository/models/"+url.PathEscape(function)+"/unload", []byte(`{}`))
		go b.exchange(&call{}, p, req, b.cfg.ProbeTimeout, false)
	}
}

// Probe asks a worker whether it is ready.
func (b *Backend) Probe(worker scheduler.WorkerID, done func(o scheduler.Outcome, took time.Duration, report []float64)) {
	go func() {
		p := b.peer(worker)
		if p == nil {
			done(scheduler.NotStarted, 0, nil)
			return
		}
		start := b.cfg.Clock.Now()
		req := &http1.Request{Method: "GET", Target: "/v2/health/ready", Header: http1.Header{{Name: "Host", Value: p.Name},
			{Name: "User-Agent", Value: "kitehub/" + b.cfg.Controller}}}
		resp, o := b.exchange(&call{}, p, req, b.cfg.ProbeTimeout, true)
		var report []float64
		if o == scheduler.OK {
			report = readLoad(resp.Header.Get(HeaderLoad)).report(b.cfg.Fields)
			if resp.Status != 200 {
				o = scheduler.Error
			}
		}
		done(o, b.cfg.Clock.Now()-start, report)
	}()
}
