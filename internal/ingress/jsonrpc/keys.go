package jsonrpc

import (
	"crypto/sha256"
	"time"

	"kitehub/internal/gateway"
)

// A keyTable remembers calls with idempotency keys, so that a client's repeat waits for the one in flight, or gets
// its answer, for as long as the class's workers drop repeats. It does not outlive the process: a repeat after a
// restart is a new call, which the workers drop if it goes to the same group.
//
// It reads no clock, and is guarded by the server's mutex.
type keyTable struct {
	maxCalls  int // remembered at once
	maxBytes  int // of all cached answers
	calls     map[string]*keyedCall
	order     []string // keys, in the order in which their calls began
	bodyBytes int      // of all cached answers
}

// A keyedCall is a call with an idempotency key.
type keyedCall struct {
	key     string
	digest  [32]byte      // of the function's name and the body
	until   time.Duration // forgotten then, if it has ended
	waiting []deliverFunc // of all requests that have waited for it
	left    int           // of them, those that wait no more
	cancel  func()        // set once it is being started

	ended   bool
	answer  gateway.Answer
	binding *gateway.VersionBinding // of the answer, which is checked each time that it is written
	evicted bool                    // the answer was too large to cache
}

// A keyVerdict is what to do with a call by its key.
type keyVerdict int

const (
	keyNew        keyVerdict = iota // start it
	keyJoin                         // wait for the one in flight
	keyCached                       // send the cached answer
	keyReused                       // reject it: the key was used for another call
	keyAtCapacity                   // reject it for now
	keyEvicted                      // the call has ended, and its answer is not cached
)

const maxJoin = 16 // requests that wait for one call

// take looks a key up, and remembers a new call for the given time from now. A call that is new or joins is answered
// by deliver, which end returns.
func (t *keyTable) take(now time.Duration, key string, content []byte, remember time.Duration, deliver deliverFunc) (
	keyVerdict, *keyedCall,
) {
	t.expire(now)
	digest := sha256.Sum256(content)
	if call := t.calls[key]; call != nil {
		switch {
		case call.digest != digest:
			return keyReused, call
		case call.ended && call.evicted:
			return keyEvicted, call
		case call.ended:
			return keyCached, call
		case len(call.waiting)-call.left >= maxJoin:
			return keyAtCapacity, call
		}
		call.waiting = append(call.waiting, deliver)
		return keyJoin, call
	}
	if len(t.calls) >= t.maxCalls {
		return keyAtCapacity, nil
	}
	call := &keyedCall{key: key, digest: digest, until: now + remember, waiting: []deliverFunc{deliver}}
	t.calls[key] = call
	t.order = append(t.order, key)
	return keyNew, call
}

// expire forgets the oldest calls whose time is up. One that is in flight holds back those that began after it.
func (t *keyTable) expire(now time.Duration) {
	for len(t.order) > 0 {
		call := t.calls[t.order[0]]
		if call != nil && (!call.ended || call.until > now) {
			return
		}
		if call != nil {
			t.forget(call)
		}
		t.order = t.order[1:]
	}
}

func (t *keyTable) forget(call *keyedCall) {
	t.bodyBytes -= len(call.answer.Body)
	delete(t.calls, call.key)
}

// end gives a call its answer and returns the functions that deliver it. A rejected call is forgotten: a retry is
// executed.
func (t *keyTable) end(call *keyedCall, a gateway.Answer, b *gateway.VersionBinding) []deliverFunc {
	call.ended = true
	call.answer = a
	call.binding = b
	waiting := call.waiting
	call.waiting = nil
	call.cancel = nil
	switch {
	case a.Kind == gateway.Rejected:
		call.answer.Body = nil
		t.forget(call)
	case t.bodyBytes+len(a.Body) > t.maxBytes:
		call.answer.Body = nil
		call.evicted = true
	default:
		t.bodyBytes += len(a.Body)
	}
	return waiting
}

// withdraw forgets a call whose answer may not be written any more: a retry is executed.
func (t *keyTable) withdraw(key string) {
	if call := t.calls[key]; call != nil && call.ended {
		t.forget(call)
	}
}

// leave notes that one request waits no more; true if none is left and the call has not ended.
func (call *keyedCall) leave() bool {
	call.left++
	return !call.ended && call.left == len(call.waiting)
}
