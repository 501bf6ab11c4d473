package replayguard

import "time"

// Settings bound what a Guard accepts and how much it remembers. Durations are rounded up to whole seconds, the unit
// of timestamps.
type Settings struct {
	MaxAge         time.Duration // how far a timestamp may lie behind the clock
	MaxClockSkew   time.Duration // how far a timestamp may lie ahead of the clock
	WatermarkStep  time.Duration // how far the watermark is written beyond what is needed at the time
	MaxEntries     int           // ids remembered; messages with further ids are rejected
	MaxAnswerBytes int           // total size of the bodies of cached answers
}

// A Key identifies a message: ids are unique within a client.
type Key struct {
	Client int    `json:"Client"`
	ID     string `json:"ID"`
}

// A Message is one whose signature has been verified.
type Message struct {
	Key
	Timestamp time.Time // when the client signed it; whole seconds count
	Digest    [32]byte  // of the signed body and the function that it calls
}

// A Verdict is what to do with a message.
type Verdict int

// New, Retry, Join, Cached and AnswerEvicted accept the message; the other verdicts reject it.
const (
	New            Verdict = iota + 1 // execute it
	Retry                             // execute it again: the earlier attempt was rejected before it had any effect
	Join                              // an earlier attempt is in flight: wait for its answer
	Cached                            // an earlier attempt has ended: send its cached answer
	AnswerEvicted                     // an earlier attempt has ended, but its answer is not cached
	Replay                            // this message, or a newer one with its id, was accepted before
	IDReused                          // the id was used with another body or for another function
	Stale                             // the timestamp is too old
	Early                             // the timestamp is too far ahead
	PossibleReplay                    // it may have been accepted before a restart: retry with a newer timestamp
	AtCapacity                        // as many ids as allowed are remembered
)

// An Answer is how a call ended.
type Answer struct {
	Rejected bool   `json:"Refused"` // the call had no effect, so the client may retry it
	Status   int    `json:"Status"`  // HTTP status code
	Type     string `json:"Type"`    // media type of Body
	Body     []byte `json:"Body"`
	Tag      any    `json:"Tag"` // opaque to the guard: what the caller needs to know whether the answer still holds
}

// An entry is what is remembered of one id.
type entry struct {
	lastStamp     int64 // highest timestamp accepted with this id, Unix seconds
	digest        [32]byte
	running       bool
	answerEvicted bool // the call has ended, and its answer is not cached
	answer        Answer
}

// A Guard remembers the messages that were accepted. It is not safe for concurrent use.
//
// All times are Unix seconds.
type Guard struct {
	settings   Settings
	clock      int64 // latest time of day seen
	barrier    int64 // timestamps up to here may have been accepted by an earlier process
	durable    int64 // the watermark on disk: timestamps above it are not accepted
	highest    int64 // highest timestamp accepted
	entries    map[Key]*entry
	byStamp    map[int64][]Key // keys by each lastStamp that their entries have had; older filings are skipped
	sweptUntil int64           // the filings of seconds up to here have been swept
	bodyBytes  int             // total size of the bodies of cached answers
}

// NewGuard returns a guard for a process that found the given watermark on disk; the zero time if there was none.
func NewGuard(settings Settings, now, watermark time.Time) *Guard {
	g := &Guard{settings: settings, entries: map[Key]*entry{}, byStamp: map[int64][]Key{}}
	if !watermark.IsZero() {
		g.barrier = watermark.Unix()
	}
	g.durable = g.barrier
	g.highest = g.barrier
	g.clock = now.Unix()
	g.sweptUntil = g.oldestAccepted() - 1
	return g
}

func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// oldestAccepted returns the timestamp at and below which messages are stale.
func (g *Guard) oldestAccepted() int64 { return g.clock - ceilSeconds(g.settings.MaxAge) }

// advance moves the clock forward, never back.
func (g *Guard) advance(now time.Time) { g.clock = max(g.clock, now.Unix()) }

// Len returns how many ids are remembered.
func (g *Guard) Len() int { return len(g.entries) }

// Admit judges a message, and remembers it if the verdict accepts it. The answer is set if the verdict is Cached, and
// retryAfter, how long the client should wait, if it is Unsettled or AtCapacity. The caller must report how a call
// that is New or Retry ended, with Ended or EndedUncached.
func (g *Guard) Admit(now time.Time, m Message) (verdict Verdict, cached Answer, retryAfter time.Duration) {
	g.advance(now)
	g.sweep()
	if verdict, retryAfter := g.reject(m); verdict != 0 {
		return verdict, Answer{}, retryAfter
	}
	stamp := m.Timestamp.Unix()
	g.highest = max(g.highest, stamp)
	known := g.entries[m.Key]
	if known == nil {
		known = &entry{digest: m.Digest, running: true}
		g.entries[m.Key] = known
		g.file(m.Key, known, stamp)
		return New, Answer{}, 0
	}
	g.file(m.Key, known, stamp)
	switch {
	case known.running:
		return Join, Answer{}, 0
	case known.answerEvicted:
		return AnswerEvicted, Answer{}, 0
	case known.answer.Rejected:
		g.dropAnswer(known)
		known.running = true
		return Retry, Answer{}, 0
	}
	return Cached, known.answer, 0
}

// reject returns the verdict on a message that is not accepted, and how long the client should wait; 0 if the
// message is accepted.
func (g *Guard) reject(m Message) (verdict Verdict, retryAfter time.Duration) {
	stamp := m.Timestamp.Unix()
	known := g.entries[m.Key]
	switch {
	case stamp <= g.oldestAccepted():
		return Stale, 0
	case stamp >= g.clock+ceilSeconds(g.settings.MaxClockSkew):
		return Early, 0
	case known != nil && stamp <= known.lastStamp:
		return Replay, 0
	case known != nil && known.digest != m.Digest:
		return IDReused, 0
	case known == nil && stamp <= g.barrier:
		return PossibleReplay, time.Duration(g.barrier-stamp+1) * time.Second
	case stamp > g.durable: // the watermark is being written, or cannot be
		return PossibleReplay, time.Second
	case known == nil && len(g.entries) >= g.settings.MaxEntries:
		return AtCapacity, time.Second
	}
	return 0, 0
}

// Complete reports how a call that was New or Retry ended. The answer is cached if it fits; of a rejection that does
// not fit, the body alone is left out. It does nothing if no call with this key is in flight.
func (g *Guard) Complete(key Key, answer Answer) {
	known := g.entries[key]
	if known == nil || !known.running {
		return
	}
	known.running = false
	if g.bodyBytes+len(answer.Body) > g.settings.MaxAnswerBytes {
		if !answer.Rejected {
			known.answerEvicted = true
			return
		}
		answer.Body = nil
	}
	g.bodyBytes += len(answer.Body)
	known.answer = answer
}

// CompleteUncached reports that a call that was New or Retry ended, without being rejected, and that its answer is not
// to be cached.
func (g *Guard) CompleteUncached(key Key) {
	if known := g.entries[key]; known != nil && known.running {
		known.running = false
		known.answerEvicted = true
	}
}

// InvalidateAnswer drops a cached answer that no longer holds and was never sent; a retry is then executed again.
func (g *Guard) InvalidateAnswer(key Key) {
	if known := g.entries[key]; known != nil && !known.running {
		g.dropAnswer(known)
		known.answer.Rejected = true
		known.answerEvicted = false
	}
}

func (g *Guard) dropAnswer(known *entry) {
	g.bodyBytes -= len(known.answer.Body)
	known.answer = Answer{}
}

// file gives an entry its highest timestamp, under which sweep will find it.
func (g *Guard) file(key Key, known *entry, stamp int64) {
	known.lastStamp = stamp
	g.byStamp[stamp] = append(g.byStamp[stamp], key)
}

// sweep forgets the entries whose timestamps have become stale: any message that they could match is rejected anyway.
func (g *Guard) sweep() {
	for edge := g.oldestAccepted(); g.sweptUntil < edge; {
		if len(g.byStamp) == 0 {
			g.sweptUntil = edge
			return
		}
		g.sweptUntil++
		keys := g.byStamp[g.sweptUntil]
		delete(g.byStamp, g.sweptUntil)
		for _, key := range keys {
			g.forget(key, g.sweptUntil)
		}
	}
}

// forget drops the entry that was filed under a stale timestamp, unless a later attempt has filed it anew. A call
// that is still in flight is kept, and examined again one second later.
func (g *Guard) forget(key Key, stamp int64) {
	known := g.entries[key]
	if known == nil || known.lastStamp != stamp {
		return
	}
	if known.running {
		g.file(key, known, stamp+1)
		return
	}
	g.dropAnswer(known)
	delete(g.entries, key)
}
