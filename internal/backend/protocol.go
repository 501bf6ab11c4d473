package backend

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// Problem types (RFC 9457) with which a worker declares that a call did not run. No other response
// is taken as proof of that.
const (
	ProblemAtCapacity = "urn:kitehub:problem:full" // with status 503: the worker has no capacity
	ProblemNotLoaded  = "urn:kitehub:problem:miss" // with status 404: the function is not loaded
)

// Header names of requests to workers and of their responses.
const (
	// HeaderJSONLength is the header of the binary tensor data extension of the Open Inference
	// Protocol.
	HeaderJSONLength = "Inference-Header-Content-Length"
	// HeaderLoadReport holds a load report in an ORCA format.
	HeaderLoadReport = "endpoint-load-metrics"
	// HeaderTimeout holds the time left for the call in milliseconds, as sent by Envoy.
	HeaderTimeout        = "x-envoy-expected-rq-timeout-ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTraceParent    = "traceparent"    // W3C Trace Context
	HeaderDigest         = "kitehub-digest" // digest of the function's bytes to run or that ran
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

// commonHeader returns the header fields that all requests to a worker share.
func (b *Backend) commonHeader(w *worker) http1.Header {
	return append(make(http1.Header, 0, 8),
		http1.Field{Name: "Host", Value: w.Name},
		http1.Field{Name: "User-Agent", Value: "kitehub/" + b.cfg.Controller},
	)
}

// newJSONRequest returns a POST request with a JSON body.
func (b *Backend) newJSONRequest(w *worker, path, body string) *http1.Request {
	header := append(b.commonHeader(w), http1.Field{Name: "Content-Type", Value: "application/json"})
	return &http1.Request{Method: http.MethodPost, Target: path, Header: header, Body: []byte(body)}
}

// problemOutcome returns the outcome that a response with a status other than 200 proves.
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
