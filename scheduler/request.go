package scheduler

import (
	"slices"
	"time"
)

// request is the state of a request, from its arrival until it has ended and each of its attempts
// has an outcome.
type request struct {
	Arrival
	queue             *queue
	arrivedAt         time.Duration
	answerDeadline    time.Duration // without an answer by then, the dispatcher rejects or fails it
	attempts          []attempt
	queued            bool          // waits in its queue to be sent
	ended             bool          // answered, or its client has left
	retryPending      bool          // an attempt has ended; the retry is decided after all events
	unplaceable       bool          // past its objective; no worker can take it by its deadline
	admissionObserved bool          // counted by the admission
	loadAllowance     time.Duration // added to its objective for a load that it may wait for
	mayHedge          bool          // an attempt is given up on, and another may start beside it
	entries           requestEntries
}

// attempt is one sending of a request to a worker.
type attempt struct {
	worker          *worker
	group           int // group of the worker at that time
	zone            int // zone of the worker at that time
	sentAt          time.Duration
	work            float64 // expected run time, seconds
	done            bool    // has an outcome
	mayHaveRun      bool    // valid once done is set
	awaitsLoad      bool    // may wait for a load, so holds no token of the concurrency limit
	cancelRequested bool    // a Cancel was issued
}

// hasOutstanding reports whether an attempt has no outcome yet.
func (r *request) hasOutstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done })
}

// wasSent reports whether an attempt of the request has been sent, also before its arrival.
func (r *request) wasSent() bool { return len(r.attempts) > 0 || r.Earlier != nil }
