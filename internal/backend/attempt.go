package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"kitehub/internal/http1"
	"kitehub/scheduler"
)

// An Attempt is one attempt at a call of a function, at one worker.
type Attempt struct {
	Worker         scheduler.WorkerID
	CallID         string // the client's id of the call, for protocols that pass it on
	Class          string // the name of the call's class, likewise
	Function       string
	TraceParent    string // traceparent
	IdempotencyKey string // idempotency key: the worker's group drops repeats of it; "" for none
	Digest         string // of the bytes that are to run; "" for any
	Body           []byte
	Timeout        time.Duration // for the whole attempt, the dial included

	// MayStart is called just before the first byte is sent; if it returns false the attempt ends as NotStarted. Nil
	// stands for true. It must not block.
	MayStart func() bool
}

// A Result is how an attempt ended.
type Result struct {
	Outcome      scheduler.Outcome
	Took         time.Duration
	Note         scheduler.LoadNote // what the worker says of the function's load
	SameFunction int                // calls of the same function in flight at the worker, as it says
	Report       []float64          // load report, in the order of Config.Fields; nil if there was none
	Body         []byte             // the answer, if Outcome is OK
	Digest       string             // of the bytes that ran, as the worker says
	Status       int                // of the worker's answer; 0 if there was none
}

// Send starts an attempt. done is called once, on a goroutine of its own.
func (b *Backend) Send(a Attempt, done func(Result)) RunningAttempt {
	x := &exchange{wanted: a.MayStart}
	go func() { done(b.infer(x, a)) }()
	return x
}

func (b *Backend) infer(x *exchange, a Attempt) Result {
	start := b.cfg.Clock.Now()
	w := b.worker(a.Worker)
	if w == nil {
		return Result{Outcome: scheduler.NotStarted}
	}
	resp, outcome := b.exchange(x, w, b.inferRequest(w, a), a.Timeout)
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

// inferRequest packs the call's body as the one input tensor, in binary behind the JSON that describes it.
func (b *Backend) inferRequest(w *worker, a Attempt) *http1.Request {
	body := make([]byte, 0, 192+len(a.Body))
	body = append(body, `{"inputs":[{"name":"body","shape":[1],"datatype":"BYTES","parameters":{"binary_data_size":`...)
	body = strconv.AppendInt(body, int64(len(a.Body)), 10)
	body = append(body, `}}],"outputs":[{"name":"body","parameters":{"binary_data":true}}]}`...)
	header := append(b.header(w),
		http1.Field{Name: "Content-Type", Value: "application/octet-stream"},
		http1.Field{Name: HeaderJSONLength, Value: strconv.Itoa(len(body))},
		http1.Field{Name: HeaderTimeout, Value: strconv.FormatInt(a.Timeout.Milliseconds(), 10)},
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

// outputTensor returns the answer's first tensor, in binary behind the JSON or as a string in it; false if there is
// none, or not in a form understood.
func outputTensor(resp *http1.Response) ([]byte, bool) {
	text := resp.Body
	var binary []byte
	if value := resp.Header.Get(HeaderJSONLength); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > len(resp.Body) {
			return nil, false
		}
		text = resp.Body[:n]
		binary = resp.Body[n:]
	}
	var answer struct {
		Outputs []struct {
			Parameters struct {
				Size *int `json:"binary_data_size"`
			} `json:"parameters"`
			Data []string `json:"data"`
		} `json:"outputs"`
	}
	if json.Unmarshal(text, &answer) != nil || len(answer.Outputs) == 0 {
		return nil, false
	}
	output := answer.Outputs[0]
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
