package replayguard

import "time"

// Settings limit what a Guard accepts and how much it remembers. Durations are rounded up to whole
// seconds, the unit of timestamps.
type Settings struct {
	MaxAge         time.Duration // how far a timestamp may lie behind the clock
	MaxClockSkew   time.Duration // how far a timestamp may lie ahead of the clock
	WatermarkStep  time.Duration // how far beyond the needed value the watermark is written
	MaxEntries     int           // most ids to remember; messages with further ids are rejected
	MaxAnswerBytes int           // limit on the total size of the bodies of cached answers
}

// A Key identifies a message. Ids are unique within a client, which is identified by its name.
type Key struct {
	Client string `json:"Client"`
	ID     string `json:"ID"`
}

// A Message is a message whose signature has been verified.
type Message struct {
	Key
	Timestamp time.Time // when the client signed it, in whole seconds
	Digest    [32]byte  // digest of the signed body and the called function
	// HarmlessRetry says that the call may run again although an earlier attempt may have run.
	HarmlessRetry bool
}

// A Verdict says what to do with a message.
type Verdict int

// New, Retry, Join, Cached, AnswerEvicted and MayHaveRun accept the message; the other verdicts
// reject it.
const (
	New            Verdict = iota + 1 // execute it
	Retry                             // execute it again: an attempt was rejected without effect
	Join                              // an earlier attempt is in flight: wait for its answer
	Cached                            // an earlier attempt has completed: send its cached answer
	AnswerEvicted                     // an earlier attempt has completed, but its answer is not cached
	MayHaveRun                        // an earlier attempt was rejected but may have run: fail the call
	Replay                            // this message, or a newer one with its id, was accepted before
	IDReused                          // the id was used with another body or for another function
	Stale                             // the timestamp is too old
	Early                             // the timestamp is too far ahead
	PossibleReplay                    // maybe accepted before a restart: retry with a newer timestamp
	AtCapacity                        // MaxEntries ids are remembered already
)

// An Answer is the final outcome of a call.
type Answer struct {
	Rejected bool `json:"Refused"` // the client may retry the call
	// MayHaveRun says that the call was rejected although it may have run: it was of a class that
	// may run again.
	MayHaveRun bool   `json:"MayHaveRun"`
	Status     int    `json:"Status"` // HTTP status code
	Type       string `json:"Type"`   // media type of Body
	Body       []byte `json:"Body"`
	// Tag is opaque to the guard. It lets the caller tell whether the answer is still valid.
	Tag any `json:"Tag"`
}

// An entry is what a guard remembers about one id.
type entry struct {
	lastTimestamp int64 // highest timestamp accepted with this id, Unix seconds
	digest        [32]byte
	running       bool
	answerEvicted bool // the call has completed, and its answer is not cached
	mayHaveRun    bool // an attempt may have run; not known of attempts that are not rejected
	answer        Answer
}

// A Guard remembers the accepted messages. It is not safe for concurrent use.
//
// All times in its fields are Unix seconds.
type Guard struct {
	settings         Settings
	clock            int64 // latest time of day seen so far
	barrier          int64 // timestamps up to here may have been accepted by an earlier process
	durableWatermark int64 // the watermark on disk: timestamps above it are not accepted
	highestAccepted  int64 // highest timestamp accepted
	entries          map[Key]*entry
	// keysByTimestamp has a key under every lastTimestamp that its entry has had. sweep
	// skips all but the newest.
	keysByTimestamp map[int64][]Key
	sweptUpTo       int64 // keysByTimestamp has been swept up to here
	bodyBytes       int   // total size of the bodies of cached answers
}

// NewGuard returns a guard for a process that read the given watermark from disk. watermark is the
// zero time if there was none.
func NewGuard(settings Settings, now, watermark time.Time) *Guard {
	g := &Guard{settings: settings, entries: map[Key]*entry{}, keysByTimestamp: map[int64][]Key{}}
	if !watermark.IsZero() {
		g.barrier = watermark.Unix()
	}
	g.durableWatermark = g.barrier
	g.highestAccepted = g.barrier
	g.clock = now.Unix()
	g.sweptUpTo = g.newestStale() - 1
	return g
}

func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// newestStale returns the timestamp at or below which messages are stale.
func (g *Guard) newestStale() int64 { return g.clock - ceilSeconds(g.settings.MaxAge) }

// advanceClock moves the clock forward, but never back.
func (g *Guard) advanceClock(now time.Time) { g.clock = max(g.clock, now.Unix()) }

// Len returns the number of ids remembered.
func (g *Guard) Len() int { return len(g.entries) }

// Admit returns the verdict on a message, and remembers the message if the verdict accepts it.
// cached is set if the verdict is Cached. retryAfter, the time that the client should wait, is set
// if the verdict is PossibleReplay or AtCapacity. If the verdict is New or Retry, the caller must
// report the completion of the call with Complete or CompleteUncached.
func (g *Guard) Admit(now time.Time, m Message) (verdict Verdict, cached Answer, retryAfter time.Duration) {
	g.advanceClock(now)
	g.sweep()
	if verdict, retryAfter := g.reject(m); verdict != 0 {
		return verdict, Answer{}, retryAfter
	}
	timestamp := m.Timestamp.Unix()
	g.highestAccepted = max(g.highestAccepted, timestamp)
	e := g.entries[m.Key]
	if e == nil {
		e = &entry{digest: m.Digest, running: true}
		g.entries[m.Key] = e
		g.indexByTimestamp(m.Key, e, timestamp)
		return New, Answer{}, 0
	}
	g.indexByTimestamp(m.Key, e, timestamp)
	switch {
	case e.running:
		return Join, Answer{}, 0
	case e.answerEvicted:
		return AnswerEvicted, Answer{}, 0
	case e.answer.Rejected && e.mayHaveRun && !m.HarmlessRetry:
		return MayHaveRun, Answer{}, 0
	case e.answer.Rejected:
		g.dropAnswer(e)
		e.running = true
		return Retry, Answer{}, 0
	}
	return Cached, e.answer, 0
}

// reject returns the verdict on a message that is not accepted, and the time that the client should
// wait. The verdict is 0 if the message is accepted.
func (g *Guard) reject(m Message) (verdict Verdict, retryAfter time.Duration) {
	timestamp := m.Timestamp.Unix()
	e := g.entries[m.Key]
	switch {
	case timestamp <= g.newestStale():
		return Stale, 0
	case timestamp >= g.clock+ceilSeconds(g.settings.MaxClockSkew):
		return Early, 0
	case e != nil && timestamp <= e.lastTimestamp:
		return Replay, 0
	case e != nil && e.digest != m.Digest:
		return IDReused, 0
	case e == nil && timestamp <= g.barrier:
		return PossibleReplay, time.Duration(g.barrier-timestamp+1) * time.Second
	case timestamp > g.durableWatermark:
		// The next watermark is still being written, or cannot be written.
		return PossibleReplay, time.Second
	case e == nil && len(g.entries) >= g.settings.MaxEntries:
		return AtCapacity, time.Second
	}
	return 0, 0
}

// Complete records the answer of a call that was New or Retry. It caches the answer if there is
// room for its body; a rejection without room is cached without its body. Complete does nothing if
// no call with this key is in flight.
func (g *Guard) Complete(key Key, answer Answer) {
	e := g.entries[key]
	if e == nil || !e.running {
		return
	}
	e.running = false
	e.mayHaveRun = e.mayHaveRun || answer.MayHaveRun
	if g.bodyBytes+len(answer.Body) > g.settings.MaxAnswerBytes {
		if !answer.Rejected {
			e.answerEvicted = true
			return
		}
		answer.Body = nil
	}
	g.bodyBytes += len(answer.Body)
	e.answer = answer
}

// CompleteUncached records that a call that was New or Retry has completed without being rejected,
// and that its answer must not be cached.
func (g *Guard) CompleteUncached(key Key) {
	if e := g.entries[key]; e != nil && e.running {
		e.running = false
		e.answerEvicted = true
	}
}

// InvalidateAnswer drops a cached answer that is no longer valid and was never sent. A retry is
// then executed again, although the call has run.
func (g *Guard) InvalidateAnswer(key Key) {
	if e := g.entries[key]; e != nil && !e.running {
		g.dropAnswer(e)
		e.answer.Rejected = true
		e.mayHaveRun = true
		e.answerEvicted = false
	}
}

func (g *Guard) dropAnswer(e *entry) {
	g.bodyBytes -= len(e.answer.Body)
	e.answer = Answer{}
}

// indexByTimestamp sets the highest timestamp of an entry and indexes its key under it for sweep.
func (g *Guard) indexByTimestamp(key Key, e *entry, timestamp int64) {
	e.lastTimestamp = timestamp
	g.keysByTimestamp[timestamp] = append(g.keysByTimestamp[timestamp], key)
}

// sweep removes the entries whose timestamps have become stale. Any message that they could match
// is rejected as stale anyway.
func (g *Guard) sweep() {
	for limit := g.newestStale(); g.sweptUpTo < limit; {
		if len(g.keysByTimestamp) == 0 {
			g.sweptUpTo = limit
			return
		}
		g.sweptUpTo++
		keys := g.keysByTimestamp[g.sweptUpTo]
		delete(g.keysByTimestamp, g.sweptUpTo)
		for _, key := range keys {
			g.expire(key, g.sweptUpTo)
		}
	}
}

// expire removes an entry that is indexed under a stale timestamp, unless a later attempt has given
// it a newer one. The entry of a call that is still in flight stays, and is examined again one
// second later.
func (g *Guard) expire(key Key, timestamp int64) {
	e := g.entries[key]
	if e == nil || e.lastTimestamp != timestamp {
		return
	}
	if e.running {
		g.indexByTimestamp(key, e, timestamp+1)
		return
	}
	g.dropAnswer(e)
	delete(g.entries, key)
}
