package invariant

import (
	"slices"
	"time"

	"kitehub/internal/harness/trace"
)

// A requestTrace is what a trace has of one request of a client.
type requestTrace struct {
	sent     *trace.Record   // by the client; nil: no client sent it
	answers  []*trace.Record // read by the client
	reads    []*trace.Record // by workers
	runs     []*trace.Record // begun by workers
	attempts []span
}

// A span is an attempt as its worker saw it: from its request being read to its answer, or the end of its connection or worker.
type span struct {
	worker   string
	id       string
	from, to time.Duration
}

// An interval is a time from the first to the second, both on the trace's clock.
type interval struct{ from, to time.Duration }

// A history is a trace sorted by what it is about.
type history struct {
	requests map[string]*requestTrace
	order    []string              // keys of requests, in the order in which they first occur
	downs    map[string][]interval // by controller: from killed to up again
	stalls   []interval            // of the machine
	start    time.Duration
	end      time.Duration

	open     map[string]*span   // attempts under way, by worker and attempt
	attempts map[string][]*span // by request
	downAt   map[string]time.Duration
}

// newHistory sorts records, which are in order of time and at least one.
func newHistory(records []trace.Record) history {
	h := history{requests: map[string]*requestTrace{}, downs: map[string][]interval{}, start: records[0].At, end: records[len(records)-1].At,
		open: map[string]*span{}, attempts: map[string][]*span{}, downAt: map[string]time.Duration{}}
	for i := range records {
		h.add(&records[i])
	}
	for controller, at := range h.downAt {
		h.downs[controller] = append(h.downs[controller], interval{at, h.end + time.Hour})
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
		h.begin(r)
	case trace.RunStarted:
		t := h.request(r.Request)
		t.runs = append(t.runs, r)
	case trace.ResponseSent, trace.ClientClosed:
		h.endAttempt(r)
	case trace.WorkerDown, trace.Collapsed:
		h.endAttempts(r.Worker, r.At)
	case trace.Stall:
		h.stalls = append(h.stalls, interval{r.At, r.Until})
	case trace.ControllerDown:
		h.downAt[r.Controller] = r.At
	case trace.ControllerUp:
		if at, down := h.downAt[r.Controller]; down {
			h.downs[r.Controller] = append(h.downs[r.Controller], interval{at, r.At})
			delete(h.downAt, r.Controller)
		}
	}
}

// request returns the trace of a request, a new one where it has none yet.
func (h *history) request(id string) *requestTrace {
	t := h.requests[id]
	if t == nil {
		t = &requestTrace{}
		h.requests[id] = t
		h.order = append(h.order, id)
	}
	return t
}

func attemptKey(r *trace.Record) string { return r.Worker + " " + r.Attempt }

// begin opens an attempt, which lasts to the end of the trace unless something ends it.
func (h *history) begin(r *trace.Record) {
	s := &span{worker: r.Worker, id: r.Attempt, from: r.At, to: h.end}
	h.open[attemptKey(r)] = s
	h.attempts[r.Request] = append(h.attempts[r.Request], s)
}

func (h *history) endAttempt(r *trace.Record) {
	if s := h.open[attemptKey(r)]; s != nil {
		s.to = r.At
		delete(h.open, attemptKey(r))
	}
}

// endAttempts ends all attempts at a worker that is no more.
func (h *history) endAttempts(worker string, at time.Duration) {
	for key, s := range h.open {
		if s.worker == worker {
			s.to = at
			delete(h.open, key)
		}
	}
}

// wasDown tells whether a controller was down at some time of a span.
func (h *history) wasDown(controller string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.downs[controller], func(d interval) bool { return d.from <= to && d.to >= from })
}
