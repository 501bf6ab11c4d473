package replayguard

import (
	"cmp"
	"slices"
)

// An EntryState is what a guard remembers about one id, in the form in which a process hands it
// over to its successor. The successor may run another version of the program, so the JSON keys are
// fixed.
type EntryState struct {
	Key           Key    `json:"Key"`
	LastTimestamp int64  `json:"Last"`    // highest timestamp accepted, Unix seconds
	Digest        []byte `json:"Digest"`  // 32 bytes
	Running       bool   `json:"Running"` // the call is in flight
	AnswerEvicted bool   `json:"Dropped"` // the call has completed, and its answer is not cached
	Rejected      bool   `json:"Refused"` // the call was rejected; it may be retried
	Status        int    `json:"Status"`
	Type          string `json:"Type"`
	Body          []byte `json:"Body"`
}

// Export returns all entries, ordered by timestamp and key, and three times of the guard in Unix
// seconds: the barrier, the watermark on disk and the highest accepted timestamp.
//
// A tagged answer is exported as evicted. Its tag has a meaning only in this process, so the
// successor could not tell whether the answer is still valid.
func (g *Guard) Export() (states []EntryState, barrier, durableWatermark, highestAccepted int64) {
	for key, e := range g.entries {
		state := EntryState{
			Key:           key,
			LastTimestamp: e.lastTimestamp,
			Digest:        e.digest[:],
			Running:       e.running,
			AnswerEvicted: e.answerEvicted || e.answer.Tag != nil,
			Rejected:      e.answer.Rejected,
			Status:        e.answer.Status,
			Type:          e.answer.Type,
		}
		if !state.AnswerEvicted {
			state.Body = e.answer.Body
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b EntryState) int {
		return cmp.Or(
			cmp.Compare(a.LastTimestamp, b.LastTimestamp),
			cmp.Compare(a.Key.Client, b.Key.Client),
			cmp.Compare(a.Key.ID, b.Key.ID),
		)
	})
	return states, g.barrier, g.durableWatermark, g.highestAccepted
}

// Import loads what Export returned in another process. Calls that are in flight there count as
// running here until Complete or CompleteUncached is called for them.
func (g *Guard) Import(states []EntryState, barrier, durableWatermark, highestAccepted int64) {
	g.barrier = barrier
	g.durableWatermark = max(g.durableWatermark, durableWatermark)
	g.highestAccepted = max(g.highestAccepted, highestAccepted)
	for _, state := range states {
		e := &entry{
			running:       state.Running,
			answerEvicted: state.AnswerEvicted,
			answer: Answer{
				Rejected: state.Rejected,
				Status:   state.Status,
				Type:     state.Type,
				Body:     state.Body,
			},
		}
		copy(e.digest[:], state.Digest)
		g.entries[state.Key] = e
		g.indexByTimestamp(state.Key, e, state.LastTimestamp)
		g.bodyBytes += len(state.Body)
	}
}
