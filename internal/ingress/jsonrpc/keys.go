package jsonrpc

import (
	"crypto/sha256"
	"time"

	"kitehub/internal/gateway"
)

// keys remembers keyed calls, so that a client's repeat joins the one that runs, or gets its answer, for as long as the class's
// workers drop repeats. It is pure but for its callers' lock: the time is given. It does not outlive the process: a repeat
// after a restart is a new call, which the workers drop if it goes to the same group.
type keys struct {
	most  int // remembered at once
	bytes int // of kept answers
	by    map[string]*keyed
	order []string // by when they began
	kept  int
}

type keyed struct {
	digest  [32]byte
	id      string
	waiting []reader
	left    int // of them, those that were given up
	ended   bool
	answer  gateway.Answer
	bound   *gateway.VersionBinding // of the answer; asked for anew each time that it goes out
	lost    bool                    // its answer was too large to keep
	until   time.Duration
	hangUp  func()
}

// A reader takes the answer of a keyed call; written is called when it has written it, or never will.
type reader func(a gateway.Answer, b *gateway.VersionBinding, written func())

type take int

const (
	takeNew take = iota
	takeJoin
	takeKept
	takeReused
	takeFull
	takeLost
)

const mostJoin = 16

// take looks a key up, and begins it if it is new. within is how long it is remembered from now.
func (k *keys) take(now time.Duration, key string, body []byte, within time.Duration, deliver reader) (take, *keyed) {
	digest := sha256.Sum256(body)
	k.expire(now)
	if e := k.by[key]; e != nil {
		switch {
		case e.digest != digest:
			return takeReused, e
		case e.ended && e.lost:
			return takeLost, e
		case e.ended:
			return takeKept, e
		case len(e.waiting)-e.left >= mostJoin:
			return takeFull, e
		}
		e.waiting = append(e.waiting, deliver)
		return takeJoin, e
	}
	if len(k.by) >= k.most {
		return takeFull, nil
	}
	e := &keyed{digest: digest, id: key, until: now + within, waiting: []reader{deliver}}
	k.by[key] = e
	k.order = append(k.order, key)
	return takeNew, e
}

func (k *keys) expire(now time.Duration) {
	for len(k.order) > 0 {
		e := k.by[k.order[0]]
		if e != nil && (!e.ended || e.until > now) {
			return
		}
		if e != nil {
			k.forget(e)
		}
		k.order = k.order[1:]
	}
}

func (k *keys) forget(e *keyed) {
	k.kept -= len(e.answer.Body)
	delete(k.by, e.id)
}

// end gives a call its answer and returns who waits for it. A refused one is forgotten: the next try runs anew.
func (k *keys) end(e *keyed, a gateway.Answer, b *gateway.VersionBinding) []reader {
	e.ended, e.answer, e.bound = true, a, b
	l := e.waiting
	e.waiting, e.hangUp = nil, nil
	if a.Kind == gateway.Rejected {
		e.answer.Body = nil
		k.forget(e)
		return l
	}
	if k.kept+len(a.Body) > k.bytes {
		e.answer.Body, e.lost = nil, true
		return l
	}
	k.kept += len(a.Body)
	return l
}

// withdraw forgets a call whose answer was stopped at the door, and may be had by another run.
func (k *keys) withdraw(key string) {
	if e := k.by[key]; e != nil && e.ended {
		k.forget(e)
	}
}

// leave says that one who waits has left; true if none is left to wait.
func (e *keyed) leave() bool {
	e.left++
	return !e.ended && e.left == len(e.waiting)
}
