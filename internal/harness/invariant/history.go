package invariant

import (
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A requestTrace has the records of one request of a client.
type requestTrace struct {
	sent     *trace.Record   // by the client; nil if no client sent it
	answers  []*trace.Record // received by the client
	reads    []*trace.Record // by workers
	runs     []*trace.Record // started by workers
	attempts []attemptSpan
}

// An attemptSpan is an attempt as its worker saw it: from reading the request until the response,
// or until the connection or the worker ended.
type attemptSpan struct {
	worker   string
	id       string
	from, to time.Duration
}

// An interval is a period on the trace's clock.
type interval struct{ from, to time.Duration }

// A history is a trace grouped by request, controller and stall.
type history struct {
	requests   map[string]*requestTrace
	requestIDs []string              // in the order in which they first occur
	downtimes  map[string][]interval // by controller: from its kill to its restart
	stalls     []interval            // of the machine
	start      time.Duration
	end        time.Duration

	// State of the pass over the records.
	openAttempts map[string]*attemptSpan   // by worker and attempt
	attempts     map[string][]*attemptSpan // by request
	downSince    map[string]time.Duration  // by controller
}

// newHistory groups the records, of which there is at least one. They are sorted by time.
func newHistory(records []trace.Record) history {
	h := history{requests: map[string]*requestTrace{}, downtimes: map[string][]interval{}, start: records[0].At, end: records[len(records)-1].At,
		openAttempts: map[string]*attemptSpan{}, attempts: map[string][]*attemptSpan{}, downSince: map[string]time.Duration{}}
	for i := range records {
		h.add(&records[i])
	}
	for controller, at := range h.downSince {
		h.downtimes[controller] = append(h.downtimes[controller], interval{at, h.end + time.Hour})
	}
	for id, attempts := range h.attempts {
		for _, s := range attempts {
			h.requests[id].attempts = append(h.requests[id].attempts, *s)
		}
	}
	return h
}

func (h *history) add(r *trace.Record) {
	switch r.Kind {
	case trace.RequestSent:
		h.request(r.Request).sent = r
	case trace.Answered:
		t := h.request(r.Request)
		t.answers = append(t.answers, r)
	case trace.RequestRead:
		t := h.request(r.Request)
		t.reads = append(t.reads, r)
		h.startAttempt(r)
	case trace.RunStarted:
		t := h.request(r.Request)
		t.runs = append(t.runs, r)
	case trace.ResponseSent, trace.ClientClosed:
		h.endAttempt(r)
	case trace.WorkerDown, trace.Collapsed:
		h.endAttemptsAt(r.Worker, r.At)
	case trace.Stall:
		h.stalls = append(h.stalls, interval{r.At, r.Until})
	case trace.ControllerDown:
		h.downSince[r.Controller] = r.At
	case trace.ControllerUp:
		if at, down := h.downSince[r.Controller]; down {
			h.downtimes[r.Controller] = append(h.downtimes[r.Controller], interval{at, r.At})
			delete(h.downSince, r.Controller)
		}
	}
}

// request returns the trace of a request and creates it if there is none yet.
func (h *history) request(id string) *requestTrace {
	t := h.requests[id]
	if t == nil {
		t = &requestTrace{}
		h.requests[id] = t
		h.requestIDs = append(h.requestIDs, id)
	}
	return t
}

func attemptKey(r *trace.Record) string { return r.Worker + " " + r.Attempt }

// startAttempt opens an attempt, which lasts until the end of the trace unless a record ends it.
func (h *history) startAttempt(r *trace.Record) {
	s := &attemptSpan{worker: r.Worker, id: r.Attempt, from: r.At, to: h.end}
	h.openAttempts[attemptKey(r)] = s
	h.attempts[r.Request] = append(h.attempts[r.Request], s)
}

func (h *history) endAttempt(r *trace.Record) {
	if s := h.openAttempts[attemptKey(r)]; s != nil {
		s.to = r.At
		delete(h.openAttempts, attemptKey(r))
	}
}

// endAttemptsAt ends all attempts at a worker that was killed or that collapsed.
func (h *history) endAttemptsAt(worker string, at time.Duration) {
	for key, s := range h.openAttempts {
		if s.worker == worker {
			s.to = at
			delete(h.openAttempts, key)
		}
	}
}

// wasDown reports whether a controller was down at some time in a period.
func (h *history) wasDown(controller string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.downtimes[controller], func(d interval) bool { return d.from <= to && d.to >= from })
}
