package backend

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// Problem types (RFC 9457) by which a worker says that a call did not run. Nothing else counts as saying so.
const (
	ProblemAtCapacity = "urn:kitehub:problem:full" // with status 503: the worker has no capacity
	ProblemNotLoaded  = "urn:kitehub:problem:miss" // with status 404: the function is not loaded
)

// Headers of the protocols spoken.
const (
	HeaderJSONLength     = "Inference-Header-Content-Length" // Open Inference Protocol, binary tensor data extension
	HeaderLoadReport     = "endpoint-load-metrics"           // load report, in ORCA's form
	HeaderTimeout        = "x-envoy-expected-rq-timeout-ms"  // time left for the call, in milliseconds, as Envoy has it
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTraceParent    = "traceparent"    // W3C Trace Context
	HeaderDigest         = "kitehub-digest" // of the bytes that are to run, or that ran
)

// Paths of the Open Inference Protocol and its model repository extension.
const (
	pathReady = "/v2/health/ready"
	pathIndex = "/v2/repository/index"
)

func pathInfer(function string) string { return "/v2/models/" + url.PathEscape(function) + "/infer" }

func pathLoad(function string) string {
	return "/v2/repository/models/" + url.PathEscape(function) + "/load"
}

func pathUnload(function string) string {
	return "/v2/repository/models/" + url.PathEscape(function) + "/unload"
}

// header returns the fields that all requests to a worker begin with.
func (b *Backend) header(w *worker) http1.Header {
	return append(make(http1.Header, 0, 8),
		http1.Field{Name: "Host", Value: w.Name},
		http1.Field{Name: "User-Agent", Value: "kitehub/" + b.cfg.Controller},
	)
}

// postJSON returns a request with a JSON body.
func (b *Backend) postJSON(w *worker, path, body string) *http1.Request {
	header := append(b.header(w), http1.Field{Name: "Content-Type", Value: "application/json"})
	return &http1.Request{Method: http.MethodPost, Target: path, Header: header, Body: []byte(body)}
}

// problemOutcome returns what an answer other than 200 proves.
func problemOutcome(resp *http1.Response) scheduler.Outcome {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return scheduler.Error
	}
	var problem struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(resp.Body, &problem) != nil {
		return scheduler.Error
	}
	switch {
	case problem.Type == ProblemAtCapacity && resp.Status == http.StatusServiceUnavailable:
		return scheduler.AtCapacity
	case problem.Type == ProblemNotLoaded && resp.Status == http.StatusNotFound:
		return scheduler.NotLoaded
	}
	return scheduler.Error
}
