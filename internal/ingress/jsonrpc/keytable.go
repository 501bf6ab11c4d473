package jsonrpc

import (
	"crypto/sha256"
	"time"

	"kitehub/internal/gateway"
)

// A keyTable remembers calls with idempotency keys. A repeat of a call waits for the one in flight
// or gets its cached answer, for as long as the workers of the class drop repeats. The table does
// not outlive the process: a repeat after a restart is a new call, which the workers drop if it
// reaches the same group of workers.
//
// The table does not read a clock. The server's mutex guards it.
type keyTable struct {
	maxCalls    int // remembered at a time
	maxBytes    int // total size of all cached answers
	calls       map[string]*keyedCall
	oldestFirst []string // keys in the order in which their calls started
	bodyBytes   int      // total size of all cached answers
}

// A keyedCall is a call with an idempotency key.
type keyedCall struct {
	key         string
	digest      [32]byte      // of the function's name and the body
	expiresAt   time.Duration // when the call is forgotten, if it has ended by then
	waiters     []deliverFunc // one for each request that has waited, also for those that stopped
	waitersGone int           // how many of the waiters have stopped waiting
	cancel      func()        // set once the call is being submitted

	ended    bool
	answer   gateway.Answer
	binding  *gateway.VersionBinding // checked each time that the answer is written
	uncached bool                    // the answer did not fit into the cache
}

// A keyVerdict says how to handle a call with an idempotency key.
type keyVerdict int

const (
	keyNew        keyVerdict = iota // start the call
	keyInFlight                     // wait for the call in flight
	keyCached                       // send the cached answer
	keyReused                       // reject: the key was used for another call
	keyAtCapacity                   // reject for now
	keyUncached                     // fail: the call has ended, and its answer is not cached
)

const maxWaitersPerKey = 16 // requests that wait for one call at a time

// lookupOrStart looks up a key, and adds a new call under it if there is none. A new call is
// remembered for the given time from now. deliver is registered with a call that is new or in
// flight; complete returns it.
func (t *keyTable) lookupOrStart(now time.Duration, key string, content []byte, retention time.Duration, deliver deliverFunc) (
	keyVerdict, *keyedCall,
) {
	t.expire(now)
	digest := sha256.Sum256(content)
	if call := t.calls[key]; call != nil {
		switch {
		case call.digest != digest:
			return keyReused, call
		case call.ended && call.uncached:
			return keyUncached, call
		case call.ended:
			return keyCached, call
		case len(call.waiters)-call.waitersGone >= maxWaitersPerKey:
			return keyAtCapacity, call
		}
		call.waiters = append(call.waiters, deliver)
		return keyInFlight, call
	}
	if len(t.calls) >= t.maxCalls {
		return keyAtCapacity, nil
	}
	call := &keyedCall{key: key, digest: digest, expiresAt: now + retention, waiters: []deliverFunc{deliver}}
	t.calls[key] = call
	t.oldestFirst = append(t.oldestFirst, key)
	return keyNew, call
}

// expire forgets ended calls that have expired, oldest first. It stops at the first call that is in
// flight or has not expired, so younger calls may be remembered for longer than their retention.
func (t *keyTable) expire(now time.Duration) {
	for len(t.oldestFirst) > 0 {
		call := t.calls[t.oldestFirst[0]]
		if call != nil && (!call.ended || call.expiresAt > now) {
			return
		}
		if call != nil {
			t.forget(call)
		}
		t.oldestFirst = t.oldestFirst[1:]
	}
}

func (t *keyTable) forget(call *keyedCall) {
	t.bodyBytes -= len(call.answer.Body)
	delete(t.calls, call.key)
}

// complete records the answer to a call, and returns the functions that deliver it. A rejected call
// is forgotten, so that a retry is executed.
func (t *keyTable) complete(call *keyedCall, a gateway.Answer, b *gateway.VersionBinding) []deliverFunc {
	call.ended = true
	call.answer = a
	call.binding = b
	waiters := call.waiters
	call.waiters = nil
	call.cancel = nil
	switch {
	case a.Kind == gateway.Rejected:
		call.answer.Body = nil
		t.forget(call)
	case t.bodyBytes+len(a.Body) > t.maxBytes:
		call.answer.Body = nil
		call.uncached = true
	default:
		t.bodyBytes += len(a.Body)
	}
	return waiters
}

// withdraw forgets an ended call whose answer may not be written any more, so that a retry is
// executed.
func (t *keyTable) withdraw(key string) {
	if call := t.calls[key]; call != nil && call.ended {
		t.forget(call)
	}
}

// removeWaiter records that one request has stopped waiting. It reports whether the call is still
// in flight and no request waits for it any more.
func (call *keyedCall) removeWaiter() bool {
	call.waitersGone++
	return !call.ended && call.waitersGone == len(call.waiters)
}
