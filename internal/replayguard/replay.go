// Package replayguard decides whether a verified message is new, a client's retry, or a replay. It is pure: time of
// day comes in with each call, and what must be durable goes out as a mark.
//
// The argument. A message carries an id and a timestamp, both signed. The guard takes a message only if its
// timestamp lies in (clock - Past, clock + Future), where clock is the latest time of day ever seen, so a clock
// set back reopens nothing. Every message taken is remembered until its timestamp has left that range by the
// past end; a message seen again meanwhile is found in memory. What memory loses with a restart, the mark
// replaces: no timestamp is taken above the mark that is on disk, so after a restart every message that any
// earlier life took lies at or below the mark, and all such messages are turned away. The mark is written ahead
// in steps of Ahead, not for each call. After a clean stop it is the highest timestamp taken, and costs nothing;
// after a kill it costs at most Future + Ahead of refusals, each of which tells the client when to come back.
// The price of the other choice, a journal of ids, is a synced write before each call runs.
//
// Controllers share nothing, so a message replayed at a second one is not found there. It must not verify there:
// each endpoint has a secret of its own (package webhook derives one for each from a common one).
package replayguard

import (
	"cmp"
	"slices"
	"time"
)

// Settings bound what a Guard takes and keeps.
type Settings struct {
	MaxAge         time.Duration // how old a timestamp may be
	MaxClockSkew   time.Duration // how far ahead of the clock it may be
	WatermarkStep  time.Duration // how far the mark is written beyond what is needed now
	MaxEntries     int           // ids remembered; beyond it messages are turned away
	MaxAnswerBytes int           // of kept answers, all together
}

// A Key names a message: ids are unique within a client.
type Key struct {
	Client int    `json:"Client"`
	ID     string `json:"ID"`
}

// A Message is a verified one.
type Message struct {
	Key
	Stamp  time.Time
	Digest [32]byte // of the signed body and what it calls
}

// A Verdict is what to do with a message.
type Verdict int

const (
	New           Verdict = iota + 1 // run it
	Retry                            // run it again: the earlier try was refused, which promised that this is harmless
	Join                             // an earlier try runs: wait for its answer
	Cached                           // an earlier try has ended: give its answer
	AnswerEvicted                    // it has ended in an answer that is no longer kept
	Replay                           // this very message, or an older one of its id, was taken before
	Reused                           // the id was used for something else
	Stale                            // the timestamp is too old
	Early                            // the timestamp is too far ahead
	Unsettled                        // it may have been taken before a restart: come again with a newer timestamp
	AtCapacity                       // no room to remember it
)

// An Answer is what a call ended in.
type Answer struct {
	Rejected bool   `json:"Refused"` // a client may try again
	Status   int    `json:"Status"`
	Type     string `json:"Type"`
	Body     []byte `json:"Body"`
	Tag      any    `json:"Tag"` // what the answer depends on, for who gives it; the guard does not look at it
}

type entry struct {
	last    int64 // highest timestamp taken, unix seconds
	digest  [32]byte
	running bool
	dropped bool // the answer was too large to keep
	answer  Answer
}

// A Guard holds what was taken. It is not safe for concurrent use.
type Guard struct {
	s       Settings
	clock   int64 // latest time of day seen, unix seconds
	barrier int64 // timestamps up to here may have been taken by an earlier life
	durable int64 // timestamps up to here may be taken
	highest int64 // timestamp taken
	known   map[Key]*entry
	byLast  map[int64][]Key // keys by the timestamp under which they were last filed
	swept   int64           // seconds up to here have been forgotten
	bytes   int
}

// NewGuard returns a guard that starts behind the mark that was on disk; the zero time if there was none.
func NewGuard(s Settings, now, mark time.Time) *Guard {
	g := &Guard{s: s, known: map[Key]*entry{}, byLast: map[int64][]Key{}}
	if !mark.IsZero() {
		g.barrier = mark.Unix()
	}
	g.durable, g.highest = g.barrier, g.barrier
	g.clock = now.Unix()
	g.swept = g.clock - ceil(s.MaxAge) - 1
	return g
}

func ceil(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// Barrier returns the time up to which messages may have been taken before a restart.
func (g *Guard) Barrier() time.Time { return time.Unix(g.barrier, 0) }

// WatermarkDue returns the mark that should be on disk by now, and whether the present one is too short. Saved must be
// told when it is there.
func (g *Guard) WatermarkDue(now time.Time) (mark time.Time, short bool) {
	g.clock = max(g.clock, now.Unix())
	need := g.clock + ceil(g.s.MaxClockSkew)
	return time.Unix(need+ceil(g.s.WatermarkStep), 0), g.durable < need+ceil(g.s.WatermarkStep)/2
}

// WatermarkSaved says that a mark is on disk and will survive.
func (g *Guard) WatermarkSaved(mark time.Time) { g.durable = max(g.durable, mark.Unix()) }

// FinalWatermark returns the mark for a clean stop: nothing above it was taken, and nothing more must be.
func (g *Guard) FinalWatermark() time.Time {
	g.durable = min(g.durable, g.highest)
	return time.Unix(g.highest, 0)
}

// Take judges a message, and remembers it where the verdict is New, Retry, Join or Kept. After says how long a
// client should wait where the verdict is Unsettled or Crowded.
func (g *Guard) Take(now time.Time, m Message) (v Verdict, kept Answer, after time.Duration) {
	g.clock = max(g.clock, now.Unix())
	g.forget()
	stamp := m.Stamp.Unix()
	switch {
	case stamp <= g.clock-ceil(g.s.MaxAge):
		return Stale, Answer{}, 0
	case stamp >= g.clock+ceil(g.s.MaxClockSkew):
		return Early, Answer{}, 0
	}
	e := g.known[m.Key]
	switch {
	case e != nil && stamp <= e.last:
		return Replay, Answer{}, 0
	case e != nil && e.digest != m.Digest:
		return Reused, Answer{}, 0
	case e == nil && stamp <= g.barrier:
		return Unsettled, Answer{}, time.Duration(g.barrier-stamp+1) * time.Second
	case stamp > g.durable:
		return Unsettled, Answer{}, time.Second // the mark is being written, or cannot be
	case e == nil && len(g.known) >= g.s.MaxEntries:
		return AtCapacity, Answer{}, time.Second
	}
	g.highest = max(g.highest, stamp)
	if e == nil {
		e = &entry{digest: m.Digest, running: true, last: stamp}
		g.known[m.Key] = e
		g.byLast[stamp] = append(g.byLast[stamp], m.Key)
		return New, Answer{}, 0
	}
	e.last = stamp
	g.byLast[stamp] = append(g.byLast[stamp], m.Key)
	switch {
	case e.running:
		return Join, Answer{}, 0
	case e.dropped:
		return AnswerEvicted, Answer{}, 0
	case e.answer.Rejected:
		g.bytes -= len(e.answer.Body)
		e.running, e.answer = true, Answer{}
		return Retry, Answer{}, 0
	}
	return Cached, e.answer, 0
}

// Ended says what a call that was New or Retry ended in.
func (g *Guard) Ended(k Key, a Answer) {
	e := g.known[k]
	if e == nil || !e.running {
		return
	}
	e.running = false
	if g.bytes+len(a.Body) > g.s.MaxAnswerBytes {
		if !a.Rejected {
			e.dropped = true
			return
		}
		a.Body = nil
	}
	g.bytes += len(a.Body)
	e.answer = a
}

// EndedUncached says that a call has ended, not refused, with an answer that is not kept.
func (g *Guard) EndedUncached(k Key) {
	if e := g.known[k]; e != nil && e.running {
		e.running, e.dropped = false, true
	}
}

// Withdraw says that a kept answer may not be given any more, and was never given; trying again does no harm.
func (g *Guard) Withdraw(k Key) {
	if e := g.known[k]; e != nil && !e.running {
		g.bytes -= len(e.answer.Body)
		e.answer, e.dropped = Answer{Rejected: true}, false
	}
}

// forget drops what a message of its timestamp could no longer match, as it would be Stale.
func (g *Guard) forget() {
	for edge := g.clock - ceil(g.s.MaxAge); g.swept < edge; {
		if len(g.byLast) == 0 {
			g.swept = edge
			return
		}
		g.swept++
		keys := g.byLast[g.swept]
		delete(g.byLast, g.swept)
		for _, k := range keys {
			switch e := g.known[k]; {
			case e == nil || e.last != g.swept: // gone, or filed anew by a later try
			case e.running: // its answer is still to come: look again a second on
				e.last = g.swept + 1
				g.byLast[e.last] = append(g.byLast[e.last], k)
			default:
				g.bytes -= len(e.answer.Body)
				delete(g.known, k)
			}
		}
	}
}

// Len returns how many ids are remembered.
func (g *Guard) Len() int { return len(g.known) }

// EntryState is one id, for a process that takes over.
type EntryState struct {
	Key     Key    `json:"Key"`
	Last    int64  `json:"Last"`
	Digest  []byte `json:"Digest"`
	Running bool   `json:"Running"`
	Dropped bool   `json:"Dropped"`
	Refused bool   `json:"Refused"`
	Status  int    `json:"Status"`
	Type    string `json:"Type"`
	Body    []byte `json:"Body"`
}

// Export returns all that is remembered, by the time it was last taken, and the marks.
func (g *Guard) Export() (l []EntryState, barrier, durable, highest int64) {
	for k, e := range g.known {
		r := EntryState{Key: k, Last: e.last, Digest: e.digest[:], Running: e.running, Dropped: e.dropped || e.answer.Tag != nil,
			Refused: e.answer.Rejected, Status: e.answer.Status, Type: e.answer.Type, Body: e.answer.Body}
		if r.Dropped { // of a version: it cannot be asked for at the other's door
			r.Body = nil
		}
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b EntryState) int {
		return cmp.Or(cmp.Compare(a.Last, b.Last), cmp.Compare(a.Key.Client, b.Key.Client), cmp.Compare(a.Key.ID, b.Key.ID))
	})
	return l, g.barrier, g.durable, g.highest
}

// Import takes what Export gave. A call that runs elsewhere is joined by nobody; Ended says how it ended.
func (g *Guard) Import(l []EntryState, barrier, durable, highest int64) {
	g.barrier, g.durable, g.highest = barrier, max(g.durable, durable), max(g.highest, highest)
	for _, r := range l {
		e := &entry{last: r.Last, running: r.Running, dropped: r.Dropped, answer: Answer{Rejected: r.Refused, Status: r.Status, Type: r.Type, Body: r.Body}}
		copy(e.digest[:], r.Digest)
		g.known[r.Key] = e
		g.byLast[r.Last] = append(g.byLast[r.Last], r.Key)
		g.bytes += len(r.Body)
	}
}
