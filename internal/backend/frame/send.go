package frame

import (
	"strconv"
	"time"

	"kitehub/internal/backend"
	"kitehub/scheduler"
)

// Send starts an attempt. done is called once, never by Send itself. It must not block: it may run on the goroutine
// that reads a connection.
func (b *Backend) Send(request backend.Attempt, done func(backend.Result)) backend.RunningAttempt {
	a := &attempt{backend: b, timeout: request.Timeout, begin: b.cfg.Clock.Now()}
	a.done = func(o scheduler.Outcome, ans *answer) {
		done(b.result(o, ans, b.cfg.Clock.Now()-a.begin))
	}
	id, err := strconv.ParseUint(request.CallID, 16, 64)
	if err != nil { // ingress accepts no such id
		go a.end(scheduler.NotStarted, nil)
		return a
	}
	a.exchange.id = id
	a.wanted = func() bool { return request.MayStart == nil || request.MayStart() }
	a.encode = func() []byte { return callFrame(id, request, request.Timeout-(b.cfg.Clock.Now()-a.begin)) }
	a.start(request.Worker)
	return a
}

// callFrame returns the frame of a call with the time left for it.
func callFrame(id uint64, request backend.Attempt, left time.Duration) []byte {
	fields := make([]byte, 0, 128)
	fields = appendField(fields, "c", request.Class)
	fields = appendField(fields, "k", request.Function)
	fields = appendField(fields, "w", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if request.IdempotencyKey != "" {
		fields = appendField(fields, "i", request.IdempotencyKey)
	}
	frame := make([]byte, 0, headSize+len(fields)+len(request.Body)+checksumSize)
	return appendFrame(frame, codeCall, id, fields, request.Body)
}

// result returns the result of an attempt, with an answer if there was one.
func (b *Backend) result(o scheduler.Outcome, ans *answer, took time.Duration) backend.Result {
	result := backend.Result{Outcome: o, Took: took}
	if ans == nil {
		return result
	}
	fields := parseFields(ans.fields, b.cfg.ReportFields)
	result.Status = int(ans.code)
	result.Note = fields.note
	result.SameFunction = fields.sameFunction
	result.Report = fields.report
	if o == scheduler.OK {
		result.Body = ans.body
	}
	return result
}

// LoadCopies sends a load order. done is called once, never by LoadCopies itself, with the number of copies that the
// worker has loaded; it must not block. A worker carries out an order even if its connection ends: one whose answer
// is lost ends as Reset.
func (b *Backend) LoadCopies(o backend.LoadOrder, done func(scheduler.Outcome, int, time.Duration)) {
	id := b.nextID.Add(1)
	a := &attempt{
		backend:  b,
		exchange: exchange{id: id, isOrder: true},
		timeout:  b.cfg.OrderTimeout,
		begin:    b.cfg.Clock.Now(),
		wanted:   func() bool { return true },
	}
	a.done = func(outcome scheduler.Outcome, ans *answer) {
		copies := 0
		if ans != nil {
			copies = parseFields(ans.fields, nil).copies
		}
		done(outcome, copies, b.cfg.Clock.Now()-a.begin)
	}
	a.encode = func() []byte {
		fields := appendField(nil, "k", o.Function)
		fields = appendField(fields, "slots_up", strconv.Itoa(o.Copies))
		return appendFrame(nil, codeLoad, id, fields, nil)
	}
	a.start(o.Worker)
}

// Unload has a worker drop the idle copies of a function. There is no answer. It is sent only on a connection already
// open: without one, this controller has no copies there that are worth opening one.
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

// Probe reports at once that no health check was made: the platform has none, and a ping examines the connection
// alone.
func (b *Backend) Probe(_ scheduler.WorkerID, done func(scheduler.Outcome, time.Duration, []float64)) {
	go done(scheduler.NotStarted, 0, nil)
}
