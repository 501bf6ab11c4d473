package msgpackrpc

import (
	"sync"
	"time"

	"kitehub/internal/gateway"
	"kitehub/scheduler"
)

// maxRemembered bounds the requests of a history that are not idempotent, in flight or ended. Beyond
// it none is accepted: to forget one could let it run twice.
const maxRemembered = 16 << 10

// historySlack is how long an ended request is remembered beyond the time for which its client
// waits: a request may be under way to the server for a moment.
const historySlack = time.Second

// A history knows, by txn, the requests that are in flight, and those that have ended but may have
// run. A client whose connection has ended, whatever ended it, sends a request without an answer
// once more on another connection, with the same txn. If the first one may have run, the second one
// has to keep the rules of a retry.
//
// A history is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	open     map[uint64]*openTxn
	ended    map[uint64]endedTxn
	reserved int // places for open requests that may have to be remembered
}

// An openTxn is a request that has no final answer from the gateway.
type openTxn struct {
	abandoned bool          // its client is gone; the answer will not be sent
	reserved  bool          // it has a place among those that may have to be remembered
	done      chan struct{} // closed when the gateway has answered
}

// A beginResult says whether a request may be submitted.
type beginResult int

const (
	begun     beginResult = iota
	inFlight              // a request with the same txn is in flight
	noHistory             // as many are remembered as may be
)

// An endedTxn is a request that has ended and may have run.
type endedTxn struct {
	firstRun  scheduler.EarlierRun
	expiresAt time.Duration
}

func newHistory() *history {
	return &history{open: map[uint64]*openTxn{}, ended: map[uint64]endedTxn{}}
}

// begin adds a request of a class. If the client of a request with the same txn is gone, begin waits
// until the gateway has given that one up. earlier describes the first run of the txn, if there may
// have been one.
func (h *history) begin(txn uint64, class *scheduler.Class, now time.Duration) (earlier *scheduler.EarlierRun, result beginResult) {
	for {
		h.mu.Lock()
		previous := h.open[txn]
		if previous == nil {
			break
		}
		abandoned := previous.abandoned
		h.mu.Unlock()
		if !abandoned {
			return nil, inFlight
		}
		<-previous.done
	}
	defer h.mu.Unlock()
	ended, known := h.ended[txn]
	remember := class.Idempotency != scheduler.Idempotent && !known
	if remember && len(h.ended)+h.reserved >= maxRemembered {
		return nil, noHistory
	}
	if remember {
		h.reserved++
	}
	h.open[txn] = &openTxn{reserved: remember, done: make(chan struct{})}
	if known && now < ended.expiresAt {
		earlier = &ended.firstRun
	}
	return earlier, begun
}

// close removes a request in flight. The caller holds mu.
func (h *history) close(txn uint64) {
	open := h.open[txn]
	if open == nil {
		return
	}
	if open.reserved {
		h.reserved--
	}
	delete(h.open, txn)
	close(open.done)
}

// knows reports whether a request with the txn is in flight or may have run.
func (h *history) knows(txn uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ended := h.ended[txn]
	return ended || h.open[txn] != nil
}

// abandon records that the client of a request is gone.
func (h *history) abandon(txn uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if open := h.open[txn]; open != nil {
		open.abandoned = true
	}
}

// end removes a request that the gateway has answered. It remembers a request that may have run
// until the given time, unless it may run again anyway.
func (h *history) end(txn uint64, class *scheduler.Class, answer *gateway.Answer, expiresAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.close(txn)
	if answer.FirstRun == nil || class.Idempotency == scheduler.Idempotent {
		return
	}
	h.ended[txn] = endedTxn{*answer.FirstRun, expiresAt}
}

// drop removes a request that was not submitted to the gateway.
func (h *history) drop(txn uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.close(txn)
}

// expire forgets the requests whose time is over.
func (h *history) expire(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for txn, ended := range h.ended {
		if now >= ended.expiresAt {
			delete(h.ended, txn)
		}
	}
}
