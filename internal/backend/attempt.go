package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// An Attempt describes one sending of a request to a worker.
type Attempt struct {
	Worker      scheduler.WorkerID
	CallID      string // the client's ID of the call, for protocols that pass it on
	Class       string // the name of the request's class, for protocols that pass it on
	Function    string
	TraceParent string // W3C Trace Context

	// IdempotencyKey lets the worker's group drop repeats of the same call. It is "" if the call
	// has no key.
	IdempotencyKey string

	Digest  string // digest of the function's bytes to run; "" for any
	Body    []byte
	Timeout time.Duration // of the whole attempt, including the dial

	// MayStart is called just before the first byte is sent. If it returns false, nothing is sent
	// and the attempt ends as NotStarted. Nil means always true. MayStart must not block.
	MayStart func() bool
}

// A Transmission describes what an attempt has sent to its worker. The zero value means nothing.
type Transmission struct {
	Conn     uint64        // number of the connection, unique in the process; 0: no byte was sent
	Delay    time.Duration // from the start of the attempt to its first byte
	Complete bool          // the kernel has accepted the last byte
}

// A Result describes how an attempt ended.
type Result struct {
	Outcome scheduler.Outcome
	Took    time.Duration
	Sent    Transmission       // zero if the protocol does not report it
	Note    scheduler.LoadNote // what the worker reports about loading the function

	// SameFunction is how many calls of the same function the worker reports as in flight.
	SameFunction int

	// Report is the load report, in the order of Config.ReportFields; nil if there was none.
	Report []float64

	Body   []byte // the function's output, if Outcome is OK
	Digest string // digest of the function's bytes that ran, as reported by the worker
	Status int    // status of the worker's response; 0 if there was none
}

// Send starts an attempt. It calls done once, on a separate goroutine.
func (b *Backend) Send(a Attempt, done func(Result)) RunningAttempt {
	x := &exchange{shouldSend: a.MayStart}
	go func() { done(b.infer(x, a)) }()
	return x
}

func (b *Backend) infer(x *exchange, a Attempt) Result {
	start := b.cfg.Clock.Now()
	w := b.worker(a.Worker)
	if w == nil {
		return Result{Outcome: scheduler.NotStarted}
	}
	req := b.inferRequest(w, a)
	x.beforeSend = func() { req.Header.Add(HeaderTimeout, formatTimeout(a.Timeout-(b.cfg.Clock.Now()-start))) }
	resp, outcome := b.exchange(x, w, req, a.Timeout)
	result := Result{Outcome: outcome, Took: b.cfg.Clock.Now() - start}
	if outcome != scheduler.OK {
		return result
	}
	result.Status = resp.Status
	result.Digest = resp.Header.Get(HeaderDigest)
	report := parseLoadReport(resp.Header.Get(HeaderLoadReport))
	result.Report = report.values(b.cfg.ReportFields)
	result.SameFunction = int(report.named["alike"])
	result.Note = report.loadNote()
	if resp.Status != http.StatusOK {
		result.Outcome = problemOutcome(resp)
		return result
	}
	var ok bool
	if result.Body, ok = outputTensor(resp); !ok {
		result.Outcome = scheduler.Error
	}
	return result
}

// formatTimeout returns the value of HeaderTimeout for the time that a call has left.
func formatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// inferRequest returns the inference request of an attempt, without HeaderTimeout. The call's body is its only input
// tensor, in binary form after the JSON that describes it.
func (b *Backend) inferRequest(w *worker, a Attempt) *http1.Request {
	body := make([]byte, 0, 192+len(a.Body))
	body = append(body, `{"inputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":`...)
	body = strconv.AppendInt(body, int64(len(a.Body)), 10)
	body = append(body, `}}],"outputs":[{"name":"body","parameters":{"binary_data":true}}]}`...)
	header := append(b.commonHeader(w),
		http1.Field{Name: "Content-Type", Value: "application/octet-stream"},
		http1.Field{Name: HeaderJSONLength, Value: strconv.Itoa(len(body))},
		http1.Field{Name: HeaderTraceParent, Value: a.TraceParent},
	)
	if a.IdempotencyKey != "" {
		header.Add(HeaderIdempotencyKey, a.IdempotencyKey)
	}
	if a.Digest != "" {
		header.Add(HeaderDigest, a.Digest)
	}
	return &http1.Request{
		Method: http.MethodPost,
		Target: pathInfer(a.Function),
		Header: header,
		Body:   append(body, a.Body...),
	}
}

// outputTensor returns the first output tensor of a response, which is either in binary form after
// the JSON or a string within it. It returns false if there is no output or its form is unknown.
func outputTensor(resp *http1.Response) ([]byte, bool) {
	jsonPart := resp.Body
	var binary []byte
	if value := resp.Header.Get(HeaderJSONLength); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > len(resp.Body) {
			return nil, false
		}
		jsonPart = resp.Body[:n]
		binary = resp.Body[n:]
	}
	var message struct {
		Outputs []struct {
			Parameters struct {
				Size *int `json:"binary_data_size"`
			} `json:"parameters"`
			Data []string `json:"data"`
		} `json:"outputs"`
	}
	if json.Unmarshal(jsonPart, &message) != nil || len(message.Outputs) == 0 {
		return nil, false
	}
	output := message.Outputs[0]
	if size := output.Parameters.Size; size != nil {
		if *size < 0 || *size > len(binary) {
			return nil, false
		}
		return binary[:*size], true
	}
	if len(output.Data) != 1 {
		return nil, false
	}
	return []byte(output.Data[0]), true
}
