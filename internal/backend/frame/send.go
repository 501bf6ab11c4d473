package frame

import (
	"strconv"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// Send starts an attempt. It calls done once, on another goroutine. done must not block, as that
// goroutine may be the one that reads a connection.
func (b *Backend) Send(request backend.Attempt, done func(backend.Result)) backend.RunningAttempt {
	a := &attempt{backend: b, timeout: request.Timeout, startedAt: b.cfg.Clock.Now()}
	a.done = func(o scheduler.Outcome, resp *response, sent backend.Transmission) {
		result := b.result(o, resp, b.cfg.Clock.Now()-a.startedAt)
		result.Sent = sent
		done(result)
	}
	id, err := strconv.ParseUint(request.CallID, 16, 64)
	if err != nil { // cannot happen: ingress rejects such an ID
		go a.end(scheduler.NotStarted, nil)
		return a
	}
	a.exchange.id = id
	a.shouldStart = func() bool { return request.MayStart == nil || request.MayStart() }
	a.encodeFrame = func() []byte { return callFrame(id, request, request.Timeout-(b.cfg.Clock.Now()-a.startedAt)) }
	a.start(request.Worker)
	return a
}

// callFrame returns the frame of a call. left is the time left for the call.
func callFrame(id uint64, request backend.Attempt, left time.Duration) []byte {
	fields := make([]byte, 0, 128)
	fields = appendField(fields, "c", request.Class)
	fields = appendField(fields, "k", request.Function)
	fields = appendField(fields, "w", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if request.IdempotencyKey != "" {
		fields = appendField(fields, "i", request.IdempotencyKey)
	}
	frame := make([]byte, 0, headerSize+len(fields)+len(request.Body)+checksumSize)
	return appendFrame(frame, codeCall, id, fields, request.Body)
}

// result returns the result of an attempt. resp is nil if there was no response.
func (b *Backend) result(o scheduler.Outcome, resp *response, took time.Duration) backend.Result {
	result := backend.Result{Outcome: o, Took: took}
	if resp == nil {
		return result
	}
	fields := parseFields(resp.fields, b.cfg.ReportFields)
	result.Status = int(resp.code)
	result.Note = fields.note
	result.SameFunction = fields.sameFunction
	result.Report = fields.report
	if o == scheduler.OK {
		result.Body = resp.body
	}
	return result
}

// LoadCopies sends a load order. It calls done once, on another goroutine, with the number of
// copies that the worker has loaded. done must not block. A worker carries out a load order even if
// its connection ends: an order whose response is lost ends as Reset.
func (b *Backend) LoadCopies(o backend.LoadOrder, done func(scheduler.Outcome, int, time.Duration)) {
	id := b.nextID.Add(1)
	a := &attempt{
		backend:     b,
		exchange:    exchange{id: id, isLoadOrder: true},
		timeout:     b.cfg.OrderTimeout,
		startedAt:   b.cfg.Clock.Now(),
		shouldStart: func() bool { return true },
	}
	a.done = func(outcome scheduler.Outcome, resp *response, _ backend.Transmission) {
		copies := 0
		if resp != nil {
			copies = parseFields(resp.fields, nil).copies
		}
		done(outcome, copies, b.cfg.Clock.Now()-a.startedAt)
	}
	a.encodeFrame = func() []byte {
		fields := appendField(nil, "k", o.Function)
		fields = appendField(fields, "slots_up", strconv.Itoa(o.Copies))
		return appendFrame(nil, codeLoad, id, fields, nil)
	}
	a.start(o.Worker)
}

// Unload tells a worker to drop the idle copies of a function. There is no response. It is sent
// only on a connection that is already open. Without one, this controller has no copies at the
// worker that would be worth opening a connection.
func (b *Backend) Unload(id scheduler.WorkerID, function string) {
	functionID, err := strconv.ParseUint(function, 16, 64)
	w, _ := b.worker(id)
	if err != nil || w == nil {
		return
	}
	for _, c := range w.connections() {
		if !c.state(0).suspect && !w.withdrawn.Load() {
			c.out.Send(appendFrame(nil, codeUnload, functionID, nil, nil))
			return
		}
	}
}

// Probe reports NotStarted at once: the platform has no health check, and a ping only checks the
// connection.
func (b *Backend) Probe(_ scheduler.WorkerID, done func(scheduler.Outcome, time.Duration, []float64)) {
	go done(scheduler.NotStarted, 0, nil)
}
