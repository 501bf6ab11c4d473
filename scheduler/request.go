package scheduler

import (
	"slices"
	"time"
)

// A request is open from its arrival until it has its final answer and the last of its attempts has an
// outcome.
type request struct {
	Arrival
	queue         *queue
	arrivedAt     time.Duration
	answerBy      time.Duration // our own answer goes out at this time
	attempts      []attempt
	queued        bool          // it waits to be sent
	ended         bool          // it needs nothing more
	undecided     bool          // what follows an outcome is decided after the events of the step
	unplaceable   bool          // after its objective, and no worker can take it before its end
	observed      bool          // the admission has counted it
	loadAllowance time.Duration // time allowed for a load that it may wait for
	mayHedge      bool          // an attempt is given up on: another may go out beside it
}

// An attempt is one sending of a request to a worker.
type attempt struct {
	worker     *worker
	group      int // of the worker then
	zone       int // of the worker then
	sentAt     time.Duration
	work       float64 // seconds of run time that were expected
	done       bool    // it has an outcome
	mayHaveRun bool    // with done
	awaitsLoad bool    // it may wait for a load: it holds no token
	abandoned  bool    // cancelled by us
}

// hasOutstanding tells whether an attempt has no outcome yet.
func (r *request) hasOutstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done })
}
